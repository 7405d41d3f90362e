"""Membership of the store: rejoining, adding, removing and rejecting members."""

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


def test_member_behind_compacted_log_catches_up_by_snapshot(tmp_path: Path) -> None:
    with cluster(tmp_path, STORE_KEEP="20") as store:
        leader = store.leader()
        victim = store.others(leader)[0]
        put(store, leader, "first", "x")
        store.kill(victim)
        with store.member_client(leader) as client:
            for k in range(300):
                client.set(f"k{k % 50}", "v" * 2000 + str(k))
        assert store.status(leader)["first_index"] > 100
        store.start(victim)
        wait_for(store.has_equal_states, 15.0)
        assert int(store.counters(victim)["store_snapshots_taken"]) >= 1
        store.kill(victim)
        store.start(victim)  # the installed snapshot must be on its disk
        wait_for(store.has_equal_states, 15.0)
        assert value(store, victim, "first") == "x"


def test_member_without_its_data_rejoins_with_new_id(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        put(store, "n1", "k", 1)
        victim = store.others(store.leader())[0]
        old_id = store.status(victim)["id"]
        store.kill(victim)
        for file in (tmp_path / victim).iterdir():
            file.unlink()
        time.sleep(2.1)  # a member that still responds is not replaced by another with its name
        store.start(victim)
        wait_for(lambda: status_if_reachable(store, victim)["role"] == "follower", 10.0)
        assert store.status(victim)["id"] != old_id

        def voters() -> set[str]:
            return {
                member["id"]
                for member in status_if_reachable(store, store.leader() or "n1")["members"]
                if member["voter"]
            }

        wait_for(lambda: len(voters()) == 3 and old_id not in voters(), 10.0)
        wait_for(store.has_equal_states, 10.0)
        store.kill(store.others(victim)[0])  # the rejoined member must count for the quorum again
        wait_for(lambda: write_through_any(store, "x", "again", [victim]), 10.0)


def test_member_is_added_and_removed_and_causes_no_election_afterwards(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        store.names.append("n4")
        store.add_member("n4")
        store.start("n4")
        wait_for(lambda: "not_invited" in "".join(store.log(name) for name in ("n1", "n2", "n3")), 10.0)
        assert (
            store.cli(
                "store", "add", "n4", store.relay.addresses["n4"], "--node", store.listen_addresses["n1"]
            ).returncode
            == 0
        )
        wait_for(lambda: len(status_if_reachable(store, "n4")["members"]) == 4, 10.0)
        wait_for(
            lambda: all(
                member["voter"] for member in status_if_reachable(store, store.leader() or "n1")["members"]
            ),
            10.0,
        )
        removed = store.leader()
        remaining = [name for name in store.names if name != removed]
        assert (
            store.cli("store", "remove", removed, "--node", store.listen_addresses[removed]).returncode == 0
        )
        new_leader = wait_for(lambda: store.leader(remaining), 10.0)
        term = store.status(new_leader)["term"]
        wait_for(lambda: status_if_reachable(store, removed)["removed"], 5.0)
        time.sleep(1.2)  # several election timeouts
        assert store.status(new_leader)["term"] == term and store.leader(remaining) == new_leader
        with pytest.raises(RequestFailedError, match="removed"):
            put(store, removed, "k", 1)
        assert put(store, new_leader, "k", 1)


def test_concurrent_membership_changes_are_serialized(tmp_path: Path) -> None:
    with cluster(tmp_path, 4) as store:
        leader = store.leader()
        first, second = store.others(leader)[:2]
        exit_codes: list[int] = []

        def remove(name: str) -> None:
            result = store.cli("store", "remove", name, "--node", store.listen_addresses[leader])
            exit_codes.append(result.returncode)
            assert result.returncode in (0, 1) and result.stderr.count("\n") == result.returncode

        threads = [threading.Thread(target=remove, args=(name,)) for name in (first, second)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert 0 in exit_codes
        remaining = [member["name"] for member in store.status(store.leader())["members"]]
        assert len(remaining) == 4 - exit_codes.count(0) and put(store, leader, "k", 1)


def test_peer_with_other_secret_or_protocol_is_rejected_and_counted(tmp_path: Path) -> None:
    with cluster(tmp_path, 1) as store:
        with pytest.raises(RequestFailedError, match="secret"):
            MemberClient(store.listen_addresses["n1"], b"another secret of others", 1.0)
        with socket.create_connection(("127.0.0.1", int(store.listen_addresses["n1"].split(":")[1]))) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            assert b"garbled" in sock.recv(4096)
        counters = store.counters("n1")
        assert counters["store_link_secret"] == "1" and counters["store_link_garbled"] == "1"
