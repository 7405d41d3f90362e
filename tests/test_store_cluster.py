"""Three store members as processes, under kills, pauses, partitions, corruption and floods of writes.

No acknowledged write may be lost, and no read may return stale state.
"""

from __future__ import annotations

import random
import signal
import threading
import time
from pathlib import Path

import pytest

from gradegap.store import wire
from gradegap.store.errors import RequestFailedError
from gradegap.store.records import Event, KeyUpdate
from tests.support.cluster import (
    cluster,
    put,
    status_if_reachable,
    value,
    value_if_reachable,
    write_through_any,
)
from tests.support.node_environment import wait_for


def test_write_is_replicated_and_survives_kill_of_any_member(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        for k, victim in enumerate((store.leader(), "n1", "n2", "n3")):
            assert put(store, store.names[k % 3], f"k{k}", k) > 0
            store.kill(victim)
            remaining = [name for name in store.names if name != victim]
            assert [value(store, name, f"k{k}") for name in remaining] == [k, k]
            store.start(victim)
            wait_for(lambda victim=victim: value_if_reachable(store, victim, "k0") == 0)  # type: ignore[misc]
        wait_for(store.has_equal_states, 10.0)
        # Kill all members at once: committed state must not have been in memory only.
        for name in store.names:
            store.kill(name)
        for name in store.names:
            store.start(name)
        wait_for(store.leader, 10.0)
        assert [value(store, "n1", f"k{k}") for k in range(4)] == [0, 1, 2, 3]


FAULT_POINTS = ["before-commit", "entries", "after-commit", "synced", "sent", "state"]


@pytest.mark.parametrize("fault_point", FAULT_POINTS)
@pytest.mark.parametrize("role", ["leader", "follower"])
def test_member_killed_at_any_step_of_write_loses_no_acknowledged_write(
    tmp_path: Path, fault_point: str, role: str
) -> None:
    with cluster(tmp_path) as store:
        leader = store.leader()
        victim = leader if role == "leader" else store.others(leader)[0]
        # Restart the victim with a fault point, at which it kills itself during one of the next writes.
        store.kill(victim)
        store.start(victim, {"STORE_FAULT": f"{fault_point}:9"})
        wait_for(lambda: store.leader(), 10.0)
        # Wait until the victim is up or already dead; otherwise the writes may end before it takes part.
        wait_for(
            lambda: store.processes[victim].poll() is not None or status_if_reachable(store, victim)["role"],
            15.0,
        )
        if role == "leader":
            try:
                with store.member_client(store.leader()) as client:
                    client.request(wire.TransferLeadership(victim))
            except RequestFailedError:
                pass  # the victim died during the transfer
        acknowledged, unknown = {}, set()
        alive = [name for name in store.names if name != victim]
        for k in range(2000):
            contact = random.Random(k).choice(alive)
            try:
                acknowledged[f"w{k}"] = put(store, contact, f"w{k}", k, 8.0)
            except RequestFailedError as error:
                assert error.kind == "unknown", error  # noqa: PT017
                unknown.add(k)
            if store.processes[victim].poll() is not None and k > 5:
                break
        assert store.processes[victim].wait(5) == -signal.SIGKILL
        store.start(victim)
        wait_for(lambda: value_if_reachable(store, victim, "w0") is not None or 0 in unknown, 15.0)
        wait_for(store.has_equal_states, 10.0)
        for name in store.names:
            with store.member_client(name) as client:
                stored = {item.key: item.value for item in client.list("w")}
            assert acknowledged.keys() <= stored.keys()


def test_isolated_leader_commits_nothing_and_steps_down(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        old_leader = store.leader()
        others = store.others(old_leader)
        put(store, old_leader, "k", "before")
        store.relay.partition({old_leader}, set(others))
        results: list[str] = []

        def minority() -> None:
            for k in range(20):
                try:
                    put(store, old_leader, f"minority{k}", k, 0.5)
                    results.append("ok")
                except RequestFailedError as error:
                    results.append(error.kind)

        thread = threading.Thread(target=minority)
        thread.start()
        new_leader = wait_for(lambda: store.leader(others), 5.0)
        assert new_leader != old_leader
        for k in range(20):
            put(store, new_leader, f"majority{k}", k)
        thread.join()
        assert "ok" not in results and set(results) <= {"unknown", "no_quorum"}
        with pytest.raises(RequestFailedError) as error, store.member_client(old_leader, 1.0) as client:
            client.get("k")  # must not return a stale value
        assert error.value.kind == "no_quorum"
        with store.member_client(old_leader, 1.0) as client:
            assert client.value("k", stale=True) == "before"
        store.relay.heal()
        wait_for(store.has_equal_states, 15.0)
        with store.member_client(old_leader) as client:
            stored = {item.key for item in client.list()}
        assert {f"majority{k}" for k in range(20)} <= stored


@pytest.mark.parametrize("direction", ["in", "out"])
def test_one_way_partition_does_not_stop_other_members(tmp_path: Path, direction: str) -> None:
    with cluster(tmp_path) as store:
        old_leader = store.leader()
        others = store.others(old_leader)
        pairs = (
            {(old_leader, name) for name in others}
            if direction == "out"
            else {(name, old_leader) for name in others}
        )
        store.relay.blocked_pairs |= pairs
        wait_for(lambda: write_through_any(store, direction, "k", others), 10.0)
        assert value(store, store.leader(others), "k") == direction
        store.relay.heal()
        wait_for(store.has_equal_states, 15.0)


def test_resumed_leader_serves_no_stale_read(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        old_leader = store.leader()
        others = store.others(old_leader)
        put(store, old_leader, "k", 1)
        with store.member_client(old_leader, 8.0) as client:
            store.suspend(old_leader)
            wait_for(lambda: store.leader(others), 5.0)
            put(store, others[0], "k", 2)
            # Sent while the leader is stopped, so that it reads the request before it learns of the new term.
            client.sock.sendall(client.channel.send(wire.Request(1, wire.Get("k"), 6.0)))
            store.resume(old_leader)
            while not client.messages:
                client.receive()
            answer = client.messages[0]
        assert isinstance(answer, wire.Response) and answer.items[0].value == 2
        wait_for(store.has_equal_states, 10.0)


def test_corrupted_links_reconnect_without_loss(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        leader = store.leader()
        pairs = [(dialer, member) for dialer in store.names for member in store.names if dialer != member]
        store.relay.delay_s = 0.01
        for k in range(60):
            store.relay.corrupted_pairs.add(pairs[k % len(pairs)])
            wait_for(lambda k=k: write_through_any(store, str(k), f"k{k}", store.names), 10.0)  # type: ignore[misc]
        with store.member_client(leader) as client:
            assert len(client.list("k")) == 60
        counted = sum(int(store.counters(name).get("store_link_garbled", 0)) for name in store.names)
        assert counted >= 3
        wait_for(store.has_equal_states, 10.0)


def test_watch_across_leader_change_yields_each_event_once(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        leader = store.leader()
        follower = store.others(leader)[0]
        events: list[Event] = []

        def watch(name: str) -> None:
            since = 1
            while True:
                try:
                    with store.member_client(name) as client:
                        for event in client.watch("w", since):
                            events.append(event)
                            since = event.revision + 1
                except (RequestFailedError, OSError):
                    if ended.is_set():
                        return
                    name = store.names[(store.names.index(name) + 1) % 3]
                    time.sleep(0.05)

        ended = threading.Event()
        thread = threading.Thread(target=watch, args=(leader,), daemon=True)
        thread.start()
        for k in range(30):
            wait_for(lambda k=k: write_through_any(store, "x", f"w{k}", store.others(leader)), 10.0)  # type: ignore[misc]
            if k == 10:
                store.kill(leader)  # the member that serves the watch
        wait_for(lambda: len(events) >= 30 and events[-1].key == "w29", 10.0)
        with store.member_client(follower) as client:
            history = client.request(wire.History("w")).events
        assert [(event.revision, event.key) for event in events] == [
            (event.revision, event.key) for event in history
        ]
        ended.set()


def test_write_flood_is_rejected_with_bounded_memory(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        leader = store.leader()

        def resident_kb() -> int:
            pid = store.processes[leader].pid
            line = next(
                line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if "VmRSS" in line
            )
            return int(line.split()[1])

        put(store, leader, "k", 1)
        before_kb = resident_kb()
        for name in store.others(leader):
            store.suspend(name)  # without a majority nothing can be committed
        with store.member_client(leader, 1.0) as client:
            large_value = "x" * 30_000
            for k in range(6000):
                client.sock.sendall(
                    client.channel.send(
                        wire.Request(k + 10, wire.Transaction((KeyUpdate(f"f{k % 9}", large_value),)), 3.0)
                    )
                )
            outcomes: dict[str, int] = {}
            client.sock.settimeout(15.0)
            while sum(outcomes.values()) < 6000:
                client.receive()
                for response in client.messages:
                    assert isinstance(response, wire.Response)
                    outcomes[
                        response.text.split(":")[0] if response.outcome == "no" else response.outcome
                    ] = (
                        outcomes.get(
                            response.text.split(":")[0] if response.outcome == "no" else response.outcome, 0
                        )
                        + 1
                    )
                client.messages.clear()
        assert outcomes.get("busy", 0) > 1000 and "ok" not in outcomes, outcomes
        assert resident_kb() - before_kb < 150_000, "kB"
        for name in store.others(leader):
            store.resume(name)
        wait_for(lambda: write_through_any(store, "x", "after", store.names), 10.0)
        wait_for(store.has_equal_states, 15.0)


def test_key_with_ttl_expires_across_leader_change(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        leader = store.leader()
        with store.member_client(leader) as client:
            client.set("t", 1, ttl_ms=1500)
        store.kill(leader)
        others = store.others(leader)
        wait_for(lambda: store.leader(others), 5.0)
        wait_for(lambda: value_if_reachable(store, others[0], "t") is None, 8.0)
        with store.member_client(others[0]) as client:
            (event,) = [event for event in client.request(wire.History("t")).events if event.deleted]
        assert event.cause == "expired"


def test_wrong_wall_clocks_affect_neither_expiry_nor_elections(tmp_path: Path) -> None:
    with cluster(tmp_path, started=False) as store:
        for name, offset_ms in zip(store.names, ("-90000", "0", "90000"), strict=True):
            store.start(name, {"STORE_WALL": offset_ms})
        wait_for(store.leader, 15.0)
        term = store.status(store.leader())["term"]
        with store.member_client(store.leader()) as client:
            client.set("short", 1, ttl_ms=1200)
            client.set("long", 1, ttl_ms=60_000)
        for name in store.names:
            with store.member_client(store.leader()) as client:
                if store.leader() != name:
                    client.request(wire.TransferLeadership(name))
            wait_for(lambda name=name: store.leader() == name, 5.0)  # type: ignore[misc]
            put(store, name, "k", name)
        started_at = time.monotonic()
        wait_for(lambda: value_if_reachable(store, "n1", "short") is None, 8.0)
        assert time.monotonic() - started_at < 5.0 and value(store, "n1", "long") == 1
        assert store.status(store.leader())["term"] <= term + 6
        wait_for(store.has_equal_states, 10.0)
