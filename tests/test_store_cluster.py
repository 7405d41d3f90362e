"""Three members as processes: killed, stopped, cut off, replaced, flooded; nothing committed is lost."""

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


def test_a_write_is_at_every_member_and_survives_the_death_of_any(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        for k, victim in enumerate((c.leader(), "n1", "n2", "n3")):
            assert put(c, c.names[k % 3], f"k{k}", k) > 0
            c.kill(victim)
            left = [n for n in c.names if n != victim]
            assert [value(c, n, f"k{k}") for n in left] == [k, k]
            c.start(victim)
            wait_for(lambda victim=victim: value_if_reachable(c, victim, "k0") == 0)  # type: ignore[misc]
        wait_for(c.has_equal_states, 10.0)
        # All at once: nothing was in memory alone.
        for n in c.names:
            c.kill(n)
        for n in c.names:
            c.start(n)
        wait_for(c.leader, 10.0)
        assert [value(c, "n1", f"k{k}") for k in range(4)] == [0, 1, 2, 3]


POINTS = ["before-commit", "entries", "after-commit", "synced", "sent", "state"]


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("who", ["leader", "follower"])
def test_a_member_killed_at_any_step_of_a_write_loses_nothing(tmp_path: Path, point: str, who: str) -> None:
    with cluster(tmp_path) as c:
        leader = c.leader()
        victim = leader if who == "leader" else c.others(leader)[0]
        # Started again, so that it ends itself in the middle of one of the next writes.
        c.kill(victim)
        c.start(victim, {"STORE_FAULT": f"{point}:9"})
        wait_for(lambda: c.leader(), 10.0)
        # It takes part again, or is dead already: else the writes are over before it has come up.
        wait_for(
            lambda: c.processes[victim].poll() is not None or status_if_reachable(c, victim)["role"], 15.0
        )
        if who == "leader":
            try:
                with c.member_client(c.leader()) as r:
                    r.request(wire.TransferLeadership(victim))
            except RequestFailedError:
                pass  # it died on the way
        acked, unknown = {}, set()
        alive = [n for n in c.names if n != victim]
        for k in range(2000):
            via = random.Random(k).choice(alive)
            try:
                acked[f"w{k}"] = put(c, via, f"w{k}", k, 8.0)
            except RequestFailedError as error:
                assert error.kind == "unknown", error  # noqa: PT017
                unknown.add(k)
            if c.processes[victim].poll() is not None and k > 5:
                break
        assert c.processes[victim].wait(5) == -signal.SIGKILL
        c.start(victim)
        wait_for(lambda: value_if_reachable(c, victim, "w0") is not None or 0 in unknown, 15.0)
        wait_for(c.has_equal_states, 10.0)
        for name in c.names:
            with c.member_client(name) as r:
                held = {i.key: i.value for i in r.list("w")}
            assert acked.keys() <= held.keys()


def test_an_isolated_leader_commits_nothing_and_steps_down(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        old = c.leader()
        rest = c.others(old)
        put(c, old, "k", "before")
        c.relay.partition({old}, set(rest))
        results: list[str] = []

        def minority() -> None:
            for k in range(20):
                try:
                    put(c, old, f"minority{k}", k, 0.5)
                    results.append("ok")
                except RequestFailedError as error:
                    results.append(error.kind)

        thread = threading.Thread(target=minority)
        thread.start()
        new = wait_for(lambda: c.leader(rest), 5.0)
        assert new != old
        for k in range(20):
            put(c, new, f"majority{k}", k)
        thread.join()
        assert "ok" not in results and set(results) <= {"unknown", "no_quorum"}
        with pytest.raises(RequestFailedError) as error, c.member_client(old, 1.0) as r:
            r.get("k")  # no stale answer either
        assert error.value.kind == "no_quorum"
        with c.member_client(old, 1.0) as r:
            assert r.value("k", stale=True) == "before"
        c.relay.heal()
        wait_for(c.has_equal_states, 15.0)
        with c.member_client(old) as r:
            held = {i.key for i in r.list()}
        assert {f"majority{k}" for k in range(20)} <= held


@pytest.mark.parametrize("way", ["in", "out"])
def test_one_way_partitions_don_t_stop_the_rest(tmp_path: Path, way: str) -> None:
    with cluster(tmp_path) as c:
        old = c.leader()
        rest = c.others(old)
        pairs = {(old, n) for n in rest} if way == "out" else {(n, old) for n in rest}
        c.relay.blocked_pairs |= pairs
        wait_for(lambda: write_through_any(c, way, "k", rest), 10.0)
        assert value(c, c.leader(rest), "k") == way
        c.relay.heal()
        wait_for(c.has_equal_states, 15.0)


def test_a_paused_leader_that_resumes_answers_nothing_stale(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        old = c.leader()
        rest = c.others(old)
        put(c, old, "k", 1)
        with c.member_client(old, 8.0) as r:
            c.suspend(old)
            wait_for(lambda: c.leader(rest), 5.0)
            put(c, rest[0], "k", 2)
            # Asked while it is stopped: it reads the question before anything that deposes it.
            r.sock.sendall(r.channel.send(wire.Request(1, wire.Get("k"), 6.0)))
            c.resume(old)
            while not r.messages:
                r.receive()
            answer = r.messages[0]
        assert isinstance(answer, wire.Response) and answer.items[0].value == 2
        wait_for(c.has_equal_states, 10.0)


def test_garbled_links_are_reconnected_and_lose_nothing(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        leader = c.leader()
        pairs = [(a, b) for a in c.names for b in c.names if a != b]
        c.relay.delay_s = 0.01
        for k in range(60):
            c.relay.corrupted_pairs.add(pairs[k % len(pairs)])
            wait_for(lambda k=k: write_through_any(c, str(k), f"k{k}", c.names), 10.0)  # type: ignore[misc]
        with c.member_client(leader) as r:
            assert len(r.list("k")) == 60
        counted = sum(int(c.counters(n).get("store_link_garbled", 0)) for n in c.names)
        assert counted >= 3
        wait_for(c.has_equal_states, 10.0)


def test_a_watch_over_a_change_of_leader_misses_and_repeats_nothing(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        leader = c.leader()
        follower = c.others(leader)[0]
        seen: list[Event] = []

        def watch(name: str) -> None:
            since = 1
            while True:
                try:
                    with c.member_client(name) as r:
                        for event in r.watch("w", since):
                            seen.append(event)
                            since = event.revision + 1
                except (RequestFailedError, OSError):
                    if ended.is_set():
                        return
                    name = c.names[(c.names.index(name) + 1) % 3]
                    time.sleep(0.05)

        ended = threading.Event()
        thread = threading.Thread(target=watch, args=(leader,), daemon=True)
        thread.start()
        for k in range(30):
            wait_for(lambda k=k: write_through_any(c, "x", f"w{k}", c.others(leader)), 10.0)  # type: ignore[misc]
            if k == 10:
                c.kill(leader)  # which the watch hangs on
        wait_for(lambda: len(seen) >= 30 and seen[-1].key == "w29", 10.0)
        with c.member_client(follower) as r:
            history = r.request(wire.History("w")).events
        assert [(e.revision, e.key) for e in seen] == [(e.revision, e.key) for e in history]
        ended.set()


def test_a_flood_of_writes_is_rejected_and_costs_no_memory(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        leader = c.leader()

        def memory() -> int:
            pid = c.processes[leader].pid
            line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if "VmRSS" in x)
            return int(line.split()[1])

        put(c, leader, "k", 1)
        before = memory()
        for name in c.others(leader):
            c.suspend(name)  # nothing can be committed
        with c.member_client(leader, 1.0) as r:
            big = "x" * 30_000
            for k in range(6000):
                r.sock.sendall(
                    r.channel.send(
                        wire.Request(k + 10, wire.Transaction((KeyUpdate(f"f{k % 9}", big),)), 3.0)
                    )
                )
            outcomes: dict[str, int] = {}
            r.sock.settimeout(15.0)
            while sum(outcomes.values()) < 6000:
                r.receive()
                for word in r.messages:
                    assert isinstance(word, wire.Response)
                    outcomes[word.text.split(":")[0] if word.outcome == "no" else word.outcome] = (
                        outcomes.get(word.text.split(":")[0] if word.outcome == "no" else word.outcome, 0) + 1
                    )
                r.messages.clear()
        assert outcomes.get("busy", 0) > 1000 and "ok" not in outcomes, outcomes
        assert memory() - before < 150_000, "kB"
        for name in c.others(leader):
            c.resume(name)
        wait_for(lambda: write_through_any(c, "x", "after", c.names), 10.0)
        wait_for(c.has_equal_states, 15.0)


def test_keys_with_a_time_to_live_expire_over_a_change_of_leader(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        leader = c.leader()
        with c.member_client(leader) as r:
            r.set("t", 1, ttl_ms=1500)
        c.kill(leader)
        rest = c.others(leader)
        wait_for(lambda: c.leader(rest), 5.0)
        wait_for(lambda: value_if_reachable(c, rest[0], "t") is None, 8.0)
        with c.member_client(rest[0]) as r:
            (event,) = [e for e in r.request(wire.History("t")).events if e.deleted]
        assert event.cause == "expired"


def test_wall_clocks_that_are_wrong_and_jump_change_nothing(tmp_path: Path) -> None:
    with cluster(tmp_path, started=False) as c:
        for name, wrong in zip(c.names, ("-90000", "0", "90000"), strict=True):
            c.start(name, {"STORE_WALL": wrong})
        wait_for(c.leader, 15.0)
        term = c.status(c.leader())["term"]
        with c.member_client(c.leader()) as r:
            r.set("short", 1, ttl_ms=1200)
            r.set("long", 1, ttl_ms=60_000)
        for name in c.names:
            with c.member_client(c.leader()) as r:
                if c.leader() != name:
                    r.request(wire.TransferLeadership(name))
            wait_for(lambda name=name: c.leader() == name, 5.0)  # type: ignore[misc]
            put(c, name, "k", name)
        began = time.monotonic()
        wait_for(lambda: value_if_reachable(c, "n1", "short") is None, 8.0)
        assert time.monotonic() - began < 5.0 and value(c, "n1", "long") == 1
        assert c.status(c.leader())["term"] <= term + 6
        wait_for(c.has_equal_states, 10.0)
