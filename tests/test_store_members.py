"""Members of a store that come, go, and come back."""

from __future__ import annotations

import socket
import threading
import time
from pathlib import Path

import pytest

from gradegap.store.errors import RequestFailedError
from gradegap.store.member_client import MemberClient
from tests.support.cluster import (
    cluster,
    put,
    status_if_reachable,
    value,
    write_through_any,
)
from tests.support.node_environment import wait_for


def test_a_member_away_beyond_the_log_comes_back_by_a_snapshot(tmp_path: Path) -> None:
    with cluster(tmp_path, STORE_KEEP="20") as c:
        leader = c.leader()
        away = c.others(leader)[0]
        put(c, leader, "first", "x")
        c.kill(away)
        with c.member_client(leader) as r:
            for k in range(300):
                r.set(f"k{k % 50}", "v" * 2000 + str(k))
        assert c.status(leader)["first_index"] > 100
        c.start(away)
        wait_for(c.has_equal_states, 15.0)
        assert int(c.counters(away)["store_snapshots_taken"]) >= 1
        c.kill(away)
        c.start(away)  # and what it was sent is on its disk
        wait_for(c.has_equal_states, 15.0)
        assert value(c, away, "first") == "x"


def test_a_member_that_lost_its_disk_comes_back_as_another(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        put(c, "n1", "k", 1)
        lost = c.others(c.leader())[0]
        old = c.status(lost)["id"]
        c.kill(lost)
        for file in (tmp_path / lost).iterdir():
            file.unlink()
        time.sleep(2.1)  # a daemon that answers is not replaced by another of its name
        c.start(lost)
        wait_for(lambda: status_if_reachable(c, lost)["role"] == "follower", 10.0)
        assert c.status(lost)["id"] != old

        def voters() -> set[str]:
            return {m["id"] for m in status_if_reachable(c, c.leader() or "n1")["members"] if m["voter"]}

        wait_for(lambda: len(voters()) == 3 and old not in voters(), 10.0)
        wait_for(c.has_equal_states, 10.0)
        c.kill(c.others(lost)[0])  # it counts for the quorum again
        wait_for(lambda: write_through_any(c, "x", "again", [lost]), 10.0)


def test_members_are_added_and_removed_and_a_removed_one_disturbs_nobody(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        c.names.append("n4")
        c.add_member("n4")
        c.start("n4")
        wait_for(lambda: "not_invited" in "".join(c.log(n) for n in ("n1", "n2", "n3")), 10.0)
        assert (
            c.cli(
                "store", "add", "n4", c.relay.addresses["n4"], "--node", c.listen_addresses["n1"]
            ).returncode
            == 0
        )
        wait_for(lambda: len(status_if_reachable(c, "n4")["members"]) == 4, 10.0)
        wait_for(lambda: all(m["voter"] for m in status_if_reachable(c, c.leader() or "n1")["members"]), 10.0)
        gone = c.leader()
        left = [n for n in c.names if n != gone]
        assert c.cli("store", "remove", gone, "--node", c.listen_addresses[gone]).returncode == 0
        new = wait_for(lambda: c.leader(left), 10.0)
        term = c.status(new)["term"]
        wait_for(lambda: status_if_reachable(c, gone)["removed"], 5.0)
        time.sleep(1.2)  # several elections' time
        assert c.status(new)["term"] == term and c.leader(left) == new
        with pytest.raises(RequestFailedError, match="removed"):
            put(c, gone, "k", 1)
        assert put(c, new, "k", 1)


def test_two_changes_of_members_at_once_are_made_one_after_the_other(tmp_path: Path) -> None:
    with cluster(tmp_path, 4) as c:
        leader = c.leader()
        a, b = c.others(leader)[:2]
        done: list[int] = []

        def remove(name: str) -> None:
            result = c.cli("store", "remove", name, "--node", c.listen_addresses[leader])
            done.append(result.returncode)
            assert result.returncode in (0, 1) and result.stderr.count("\n") == result.returncode

        threads = [threading.Thread(target=remove, args=(n,)) for n in (a, b)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        assert 0 in done
        left = [m["name"] for m in c.status(c.leader())["members"]]
        assert len(left) == 4 - done.count(0) and put(c, leader, "k", 1)


def test_a_member_of_another_cluster_is_rejected_and_counted(tmp_path: Path) -> None:
    with cluster(tmp_path, 1) as c:
        with pytest.raises(RequestFailedError, match="secret"):
            MemberClient(c.listen_addresses["n1"], b"another secret of others", 1.0)
        with socket.create_connection(("127.0.0.1", int(c.listen_addresses["n1"].split(":")[1]))) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            assert b"garbled" in sock.recv(4096)
        counters = c.counters("n1")
        assert counters["store_link_secret"] == "1" and counters["store_link_garbled"] == "1"
