"""The ring of keys in a running store: rolled over, retired, and never shown."""

from __future__ import annotations

import json
import time
from pathlib import Path

import msgspec

from gradegap.resume.token import KEY_RING_KEY, KeyRing, TokenPayload, seal_token
from tests.support.cluster import cluster


def test_a_ring_is_rotated_and_tokens_are_inspected(tmp_path: Path) -> None:
    with cluster(tmp_path, 1) as c:
        node = ("--node", c.listen_addresses["n1"])
        assert c.cli("keys", "list", *node).stdout == "no keys\n"
        first = c.cli("keys", "rotate", *node).stdout.strip()
        with c.member_client("n1") as r:
            ring = msgspec.convert(r.value(KEY_RING_KEY), KeyRing)
            place = TokenPayload("s" * 16, "7f3a", "live", "s-1", 4, 2, int(time.time()) + 60)
            token = seal_token(ring, r.status()["cluster"], place)
        second = c.cli("keys", "rotate", *node).stdout.strip()
        listed = c.cli("keys", "list", *node).stdout
        assert [line.split()[:2] for line in listed.splitlines()] == [[second, "seals"], [first, "in"]]
        assert ring.keys[0].secret not in listed
        told = json.loads(c.cli("token", "inspect", token, "--json", *node).stdout)
        assert (told["session"], told["position"], told["epoch"]) == ("s" * 16, 4, 2)
        refused = c.cli("keys", "retire", second, *node)
        assert refused.returncode == 1 and "rotate first" in refused.stderr
        assert c.cli("keys", "retire", first, *node).returncode == 0
        retired = c.cli("token", "inspect", token, *node)
        assert retired.returncode == 1 and "retired_key" in retired.stderr and token not in retired.stderr
        assert c.cli("keys", "retire", "00000000", *node).returncode == 1
        bad = c.cli("store", "set", KEY_RING_KEY, '{"keys": [{"id": "zz"}]}', *node)
        assert bad.returncode == 1 and "invalid" in bad.stderr
