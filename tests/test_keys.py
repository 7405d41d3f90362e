"""Commands for the key ring in a running store: rotation, retirement, and inspection without secrets."""

from __future__ import annotations

import json
import time
from pathlib import Path

import msgspec

from gradegap.resume.token import KEY_RING_KEY, KeyRing, TokenPayload, seal_token
from tests.support.cluster import cluster


def test_key_ring_commands_rotate_retire_and_inspect(tmp_path: Path) -> None:
    with cluster(tmp_path, 1) as running_cluster:
        node = ("--node", running_cluster.listen_addresses["n1"])
        assert running_cluster.cli("keys", "list", *node).stdout == "no keys\n"
        first_id = running_cluster.cli("keys", "rotate", *node).stdout.strip()
        with running_cluster.member_client("n1") as member:
            ring = msgspec.convert(member.value(KEY_RING_KEY), KeyRing)
            place = TokenPayload("s" * 16, "7f3a", "live", "s-1", 4, 2, int(time.time()) + 60)
            token = seal_token(ring, member.status()["cluster"], place)
        second_id = running_cluster.cli("keys", "rotate", *node).stdout.strip()
        listed = running_cluster.cli("keys", "list", *node).stdout
        assert [line.split()[:2] for line in listed.splitlines()] == [[second_id, "seals"], [first_id, "in"]]
        assert ring.keys[0].secret not in listed
        inspected = json.loads(running_cluster.cli("token", "inspect", token, "--json", *node).stdout)
        assert (inspected["session"], inspected["position"], inspected["epoch"]) == ("s" * 16, 4, 2)
        refused_retirement = running_cluster.cli("keys", "retire", second_id, *node)
        assert refused_retirement.returncode == 1 and "rotate first" in refused_retirement.stderr
        assert running_cluster.cli("keys", "retire", first_id, *node).returncode == 0
        inspection_after_retirement = running_cluster.cli("token", "inspect", token, *node)
        assert (
            inspection_after_retirement.returncode == 1
            and "retired_key" in inspection_after_retirement.stderr
            and token not in inspection_after_retirement.stderr
        )
        assert running_cluster.cli("keys", "retire", "00000000", *node).returncode == 1
        invalid_update = running_cluster.cli("store", "set", KEY_RING_KEY, '{"keys": [{"id": "zz"}]}', *node)
        assert invalid_update.returncode == 1 and "invalid" in invalid_update.stderr
