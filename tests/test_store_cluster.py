"""Three members as processes: killed, stopped, cut off, replaced, flooded; nothing committed is lost."""

from __future__ import annotations

import json
import random
import resource
import signal
import socket
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from gradegap.store import wire
from gradegap.store.errors import RequestFailedError
from gradegap.store.member_client import MemberClient
from gradegap.store.records import Event, KeyUpdate
from gradegap.verification.linearizability import NEVER_ENDED, Operation, find_linearization
from tests.cluster import SECRET, Cluster, cluster
from tests.world import wait_for


def put(c: Cluster, name: str, key: str, value: Any, wait: float = 5.0) -> int:
    with c.remote(name, wait) as r:
        return r.set(key, value)


def value(c: Cluster, name: str, key: str) -> Any:
    with c.remote(name) as r:
        return r.value(key)


def soon(c: Cluster, name: str, key: str) -> Any:
    """What a member has, or None while it can't be asked."""
    try:
        return value(c, name, key)
    except RequestFailedError:
        return None


def state(c: Cluster, name: str) -> dict[str, Any]:
    try:
        return c.status(name)
    except RequestFailedError:
        return {"role": "", "members": [], "removed": False}


def writes(c: Cluster, name: str, key: str, among: list[str]) -> Any:
    """Write through any of `among` until one says yes."""
    for other in among:
        try:
            return put(c, other, key, name, 2.0)
        except RequestFailedError:
            pass
    return None


def test_a_write_is_at_every_member_and_survives_the_death_of_any(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        for k, victim in enumerate((c.leader(), "n1", "n2", "n3")):
            assert put(c, c.names[k % 3], f"k{k}", k) > 0
            c.kill(victim)
            left = [n for n in c.names if n != victim]
            assert [value(c, n, f"k{k}") for n in left] == [k, k]
            c.start(victim)
            wait_for(lambda victim=victim: soon(c, victim, "k0") == 0)  # type: ignore[misc]
        wait_for(c.same_everywhere, 10.0)
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
        wait_for(lambda: c.processes[victim].poll() is not None or state(c, victim)["role"], 15.0)
        if who == "leader":
            try:
                with c.remote(c.leader()) as r:
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
                assert error.kind == "unknown", error
                unknown.add(k)
            if c.processes[victim].poll() is not None and k > 5:
                break
        assert c.processes[victim].wait(5) == -signal.SIGKILL
        c.start(victim)
        wait_for(lambda: soon(c, victim, "w0") is not None or 0 in unknown, 15.0)
        wait_for(c.same_everywhere, 10.0)
        for name in c.names:
            with c.remote(name) as r:
                held = {i.key: i.value for i in r.list("w")}
            assert acked.keys() <= held.keys()


def test_a_cut_off_leader_commits_nothing_and_gives_way(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        old = c.leader()
        rest = c.others(old)
        put(c, old, "k", "before")
        c.relay.part({old}, set(rest))
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
        with pytest.raises(RequestFailedError) as error, c.remote(old, 1.0) as r:
            r.get("k")  # no stale answer either
        assert error.value.kind == "no_quorum"
        with c.remote(old, 1.0) as r:
            assert r.value("k", stale=True) == "before"
        c.relay.heal()
        wait_for(c.same_everywhere, 15.0)
        with c.remote(old) as r:
            held = {i.key for i in r.list()}
        assert {f"majority{k}" for k in range(20)} <= held


@pytest.mark.parametrize("way", ["in", "out"])
def test_one_way_partitions_don_t_stop_the_rest(tmp_path: Path, way: str) -> None:
    with cluster(tmp_path) as c:
        old = c.leader()
        rest = c.others(old)
        pairs = {(old, n) for n in rest} if way == "out" else {(n, old) for n in rest}
        c.relay.cut |= pairs
        wait_for(lambda: writes(c, way, "k", rest), 10.0)
        assert value(c, c.leader(rest), "k") == way
        c.relay.heal()
        wait_for(c.same_everywhere, 15.0)


def test_a_stopped_leader_that_goes_on_answers_nothing_stale(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        old = c.leader()
        rest = c.others(old)
        put(c, old, "k", 1)
        with c.remote(old, 8.0) as r:
            c.freeze(old)
            wait_for(lambda: c.leader(rest), 5.0)
            put(c, rest[0], "k", 2)
            # Asked while it is stopped: it reads the question before anything that deposes it.
            r.sock.sendall(r.channel.send(wire.Request(1, wire.Get("k"), 6.0)))
            c.thaw(old)
            while not r.messages:
                r.receive()
            answer = r.messages[0]
        assert isinstance(answer, wire.Response) and answer.items[0].value == 2
        wait_for(c.same_everywhere, 10.0)


def test_a_member_away_beyond_the_log_comes_back_by_a_snapshot(tmp_path: Path) -> None:
    with cluster(tmp_path, STORE_KEEP="20") as c:
        leader = c.leader()
        away = c.others(leader)[0]
        put(c, leader, "first", "x")
        c.kill(away)
        with c.remote(leader) as r:
            for k in range(300):
                r.set(f"k{k % 50}", "v" * 2000 + str(k))
        assert c.status(leader)["first_index"] > 100
        c.start(away)
        wait_for(c.same_everywhere, 15.0)
        assert int(c.counters(away)["store_snapshots_taken"]) >= 1
        c.kill(away)
        c.start(away)  # and what it was sent is on its disk
        wait_for(c.same_everywhere, 15.0)
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
        wait_for(lambda: state(c, lost)["role"] == "follower", 10.0)
        assert c.status(lost)["id"] != old

        def voters() -> set[str]:
            return {m["id"] for m in state(c, c.leader() or "n1")["members"] if m["voter"]}

        wait_for(lambda: len(voters()) == 3 and old not in voters(), 10.0)
        wait_for(c.same_everywhere, 10.0)
        c.kill(c.others(lost)[0])  # it counts for the quorum again
        wait_for(lambda: writes(c, "x", "again", [lost]), 10.0)


def test_members_are_added_and_removed_and_a_removed_one_disturbs_nobody(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        c.names.append("n4")
        c.place("n4")
        c.start("n4")
        wait_for(lambda: "not_invited" in "".join(c.log(n) for n in ("n1", "n2", "n3")), 10.0)
        assert c.cli("store", "add", "n4", c.relay.addresses["n4"], "--node", c.direct["n1"]).returncode == 0
        wait_for(lambda: len(state(c, "n4")["members"]) == 4, 10.0)
        wait_for(lambda: all(m["voter"] for m in state(c, c.leader() or "n1")["members"]), 10.0)
        gone = c.leader()
        left = [n for n in c.names if n != gone]
        assert c.cli("store", "remove", gone, "--node", c.direct[gone]).returncode == 0
        new = wait_for(lambda: c.leader(left), 10.0)
        term = c.status(new)["term"]
        wait_for(lambda: state(c, gone)["removed"], 5.0)
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
            result = c.cli("store", "remove", name, "--node", c.direct[leader])
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


def test_garbled_links_are_made_anew_and_lose_nothing(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        leader = c.leader()
        pairs = [(a, b) for a in c.names for b in c.names if a != b]
        c.relay.delay = 0.01
        for k in range(60):
            c.relay.garble.add(pairs[k % len(pairs)])
            wait_for(lambda k=k: writes(c, str(k), f"k{k}", c.names), 10.0)  # type: ignore[misc]
        with c.remote(leader) as r:
            assert len(r.list("k")) == 60
        counted = sum(int(c.counters(n).get("store_link_garbled", 0)) for n in c.names)
        assert counted >= 3
        wait_for(c.same_everywhere, 10.0)


def test_a_stray_of_another_cluster_is_turned_away_and_counted(tmp_path: Path) -> None:
    with cluster(tmp_path, 1) as c:
        with pytest.raises(RequestFailedError, match="secret"):
            MemberClient(c.direct["n1"], b"another secret of others", 1.0)
        with socket.create_connection(("127.0.0.1", int(c.direct["n1"].split(":")[1]))) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            assert b"garbled" in sock.recv(4096)
        counters = c.counters("n1")
        assert counters["store_link_secret"] == "1" and counters["store_link_garbled"] == "1"


def test_a_watch_over_a_change_of_leader_misses_and_repeats_nothing(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        leader = c.leader()
        follower = c.others(leader)[0]
        seen: list[Event] = []

        def watch(name: str) -> None:
            since = 1
            while True:
                try:
                    with c.remote(name) as r:
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
            wait_for(lambda k=k: writes(c, "x", f"w{k}", c.others(leader)), 10.0)  # type: ignore[misc]
            if k == 10:
                c.kill(leader)  # which the watch hangs on
        wait_for(lambda: len(seen) >= 30 and seen[-1].key == "w29", 10.0)
        with c.remote(follower) as r:
            history = r.request(wire.History("w")).events
        assert [(e.revision, e.key) for e in seen] == [(e.revision, e.key) for e in history]
        ended.set()


def test_a_flood_of_writes_is_refused_and_costs_no_memory(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        leader = c.leader()

        def memory() -> int:
            pid = c.processes[leader].pid
            line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if "VmRSS" in x)
            return int(line.split()[1])

        put(c, leader, "k", 1)
        before = memory()
        for name in c.others(leader):
            c.freeze(name)  # nothing can be committed
        with c.remote(leader, 1.0) as r:
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
            c.thaw(name)
        wait_for(lambda: writes(c, "x", "after", c.names), 10.0)
        wait_for(c.same_everywhere, 15.0)


def test_a_full_disk_stops_a_member_with_one_line_and_the_others_go_on(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        victim = c.others(c.leader())[0]
        process = c.processes[victim]
        size = (tmp_path / victim / "data.mdb").stat().st_size
        # No file may grow: as a disk without room, in the middle of an append.
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size + 4096, size + 4096))
        alive = [n for n in c.names if n != victim]
        for k in range(200):
            put(c, alive[k % 2], f"k{k}", "x" * 3000)
            if process.poll() is not None:
                break
        assert process.wait(5) == 2
        last = c.log(victim).splitlines()[-1]
        assert last.startswith("gradegap: ") and "can't be written" in last
        assert put(c, alive[0], "on", 1)
        c.start(victim)
        wait_for(c.same_everywhere, 15.0)


def test_a_damaged_member_refuses_to_start(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        put(c, "n1", "k", "some value that can be found")
        victim = c.others(c.leader())[0]
        wait_for(c.same_everywhere)
        c.processes[victim].terminate()
        assert c.processes[victim].wait(5) == 0
        path = tmp_path / victim / "data.mdb"
        path.write_bytes(path.read_bytes().replace(b"that can be", b"that can'be"))
        c.start(victim)
        assert c.processes[victim].wait(10) == 2
        last = c.log(victim).splitlines()[-1]
        assert last.startswith("gradegap: ") and "damaged" in last and "rejoin" in last


def test_a_planned_end_hands_over(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        old = c.leader()
        c.processes[old].terminate()
        assert c.processes[old].wait(5) == 0
        new = wait_for(lambda: c.leader(c.others(old)), 3.0)
        assert new != old and put(c, new, "k", 1)


def test_keys_with_a_time_to_live_end_over_a_change_of_leader(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        leader = c.leader()
        with c.remote(leader) as r:
            r.set("t", 1, ttl_ms=1500)
        c.kill(leader)
        rest = c.others(leader)
        wait_for(lambda: c.leader(rest), 5.0)
        wait_for(lambda: soon(c, rest[0], "t") is None, 8.0)
        with c.remote(rest[0]) as r:
            (event,) = [e for e in r.request(wire.History("t")).events if e.deleted]
        assert event.cause == "expired"


def test_wall_clocks_that_are_wrong_and_jump_change_nothing(tmp_path: Path) -> None:
    with cluster(tmp_path, started=False) as c:
        for name, wrong in zip(c.names, ("-90000", "0", "90000"), strict=True):
            c.start(name, {"STORE_WALL": wrong})
        wait_for(c.leader, 15.0)
        term = c.status(c.leader())["term"]
        with c.remote(c.leader()) as r:
            r.set("short", 1, ttl_ms=1200)
            r.set("long", 1, ttl_ms=60_000)
        for name in c.names:
            with c.remote(c.leader()) as r:
                if c.leader() != name:
                    r.request(wire.TransferLeadership(name))
            wait_for(lambda name=name: c.leader() == name, 5.0)  # type: ignore[misc]
            put(c, name, "k", name)
        began = time.monotonic()
        wait_for(lambda: soon(c, "n1", "short") is None, 8.0)
        assert time.monotonic() - began < 5.0 and value(c, "n1", "long") == 1
        assert c.status(c.leader())["term"] <= term + 6
        wait_for(c.same_everywhere, 10.0)


class Clients:
    """Clients that write, read and compare-and-set a few keys, and keep a history of it."""

    def __init__(self, c: Cluster, seed: int) -> None:
        self.c, self.seed = c, seed
        self.history: dict[str, list[Operation]] = {}
        self.acked = 0
        self.ended = threading.Event()
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(k,), daemon=True) for k in range(6)]

    def keep(self, key: str, operation: Operation) -> None:
        with self.lock:
            self.history.setdefault(key, []).append(operation)
            self.acked += operation.ended != NEVER_ENDED

    def run(self, number: int) -> None:
        rng = random.Random(self.seed * 100 + number)
        remote: MemberClient | None = None
        for k in range(100_000):
            if self.ended.is_set():
                return
            key = f"r{rng.randrange(60)}"
            began = time.monotonic()
            mine = f"{number}-{k}"
            kind = rng.choice(["write", "read", "read", "cas"])
            try:
                if remote is None or rng.random() < 0.02:
                    remote = MemberClient(self.c.direct[rng.choice(self.c.names)], SECRET, 1.5)
                if kind == "write":
                    remote.set(key, mine)
                    self.keep(key, Operation.write(mine, began, time.monotonic()))
                elif kind == "read":
                    got = remote.value(key)
                    self.keep(key, Operation.read(got, began, time.monotonic()))
                else:
                    item = remote.get(key)
                    self.keep(key, Operation.read(item and item.value, began, time.monotonic()))
                    began = time.monotonic()
                    answer = remote.compare_and_set(key, item.modified_revision if item else 0, mine)
                    if item is not None:
                        expected = item.value  # values are never written twice
                        done = answer.succeeded
                        self.keep(
                            key, Operation.compare_and_set(mine, began, time.monotonic(), expected, done)
                        )
                    else:
                        self.keep(
                            key,
                            Operation.compare_and_set(mine, began, time.monotonic(), None, answer.succeeded),
                        )
            except RequestFailedError as error:
                if error.kind == "unknown" and kind == "write":
                    self.keep(key, Operation.write(mine, began))
                elif error.kind == "unknown" and kind == "cas":
                    expected = item.value if item else None
                    self.keep(key, Operation.compare_and_set(mine, began, NEVER_ENDED, expected, None))
                remote = None
                time.sleep(0.05)


def test_histories_under_kills_stops_and_cuts_are_linearizable(tmp_path: Path) -> None:
    seed = random.SystemRandom().randrange(1000)
    print("seed", seed)
    rng = random.Random(seed)
    with cluster(tmp_path) as c:
        clients = Clients(c, seed)
        for thread in clients.threads:
            thread.start()
        for turn in range(9):
            victim = rng.choice([c.leader() or "n1", rng.choice(c.names)])
            what = ("kill", "freeze", "cut")[turn % 3]
            before = clients.acked
            if what == "kill":
                c.kill(victim)
            elif what == "freeze":
                c.freeze(victim)
            else:
                c.relay.part({victim}, set(c.others(victim)))
            # Until the rest has gone on without it.
            wait_for(lambda before=before: clients.acked > before + 60, 20.0)  # type: ignore[misc]
            if what == "kill":
                c.start(victim)
            elif what == "freeze":
                c.thaw(victim)
            else:
                c.relay.heal()
            before = clients.acked
            wait_for(lambda before=before: clients.acked > before + 60, 20.0)  # type: ignore[misc]
        wait_for(lambda: clients.acked > 2000, 60.0)
        clients.ended.set()
        for thread in clients.threads:
            thread.join(10.0)
        wait_for(c.same_everywhere, 20.0)
        with c.remote(c.leader()) as r:
            final = {i.key: i.value for i in r.list("r")}
        end = time.monotonic()
        for key, history in clients.history.items():
            told = [*history, Operation.read(final.get(key), end, end + 1)]
            assert find_linearization(told) is not None, (
                f"seed {seed}, key {key}: {sorted(told, key=lambda d: d.started)}"
            )


def test_the_command_line_says_what_came_of_it(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        node = ("--node", c.direct["n2"])
        done = c.cli("store", "set", "a/b", '{"x": 1}', *node)
        assert (done.returncode, done.stdout) == (0, "1\n")
        assert c.cli("store", "get", "a/b", *node).stdout == '{"x":1}\n'
        got = json.loads(c.cli("store", "get", "a/b", "--json", *node).stdout)
        assert got["revision"] == 1 and got["value"] == {"x": 1}
        assert c.cli("store", "get", "nothing", *node).returncode == 1
        assert c.cli("store", "cas", "a/b", "1", "two", *node).stdout == "2\n"
        refused = c.cli("store", "cas", "a/b", "1", "three", *node)
        assert refused.returncode == 1 and refused.stderr.count("\n") == 1
        assert c.cli("store", "list", "a/", *node).stdout == 'a/b "two"\n'
        assert c.cli("store", "delete", "a/b", *node).stdout == "3\n"
        bad = c.cli("store", "set", "config/log_level", "loud", *node)
        assert bad.returncode == 1 and "invalid" in bad.stderr and bad.stderr.count("\n") == 1
        assert c.cli("store", "set", "config/log_level", "warning", *node).stdout == "4\n"
        assert c.cli("store", "set", "config/log_level", "error", *node).stdout == "5\n"
        diff = c.cli("config", "diff", "4", *node).stdout.splitlines()
        assert diff == ['- config/log_level "warning"', '+ config/log_level "error"']
        assert c.cli("config", "rollback", "4", *node).stdout == "6\n"
        assert c.cli("store", "get", "config/log_level", *node).stdout == '"warning"\n'
        assert len(c.cli("config", "history", *node).stdout.splitlines()) == 3
        assert "log_level" in c.cli("config", "schema").stdout
        assert "3 members are the same" in c.cli("store", "verify", *node).stdout
        names = {line.split()[0] for line in c.cli("store", "members", *node).stdout.splitlines()}
        assert names == {"n1", "n2", "n3"}
        target = c.others(c.leader())[0]
        assert c.cli("store", "transfer", target, *node).returncode == 0
        wait_for(lambda: c.leader() == target)

        backup = tmp_path / "backup"
        assert c.cli("store", "snapshot", str(backup), *node).returncode == 0
        for name in c.others("n2"):
            c.kill(name)
        none = c.cli("store", "set", "x", "1", "--timeout", "1.5", *node)
        assert none.returncode in (3, 4) and none.stderr.count("\n") == 1
        wait_for(lambda: state(c, "n2")["role"] != "leader")
        none = c.cli("store", "set", "x", "1", "--timeout", "1", *node)
        assert none.returncode == 4 and "no_quorum" in none.stderr
        assert c.cli("store", "get", "x", "--timeout", "1", *node).returncode == 4
        assert c.cli("store", "get", "config/log_level", "--stale", *node).stdout == '"warning"\n'
        c.kill("n2")
        gone = c.cli("store", "list", *node)
        assert gone.returncode == 2 and gone.stderr.count("\n") == 1

        # All is lost but the backup.
        for name in c.names:
            for file in (tmp_path / name).iterdir():
                file.unlink()
        again = c.cli("store", "restore", str(backup), "--operator", str(c.file("n1")))
        assert again.returncode == 0, again.stderr
        assert c.cli("store", "restore", str(backup), "--operator", str(c.file("n1"))).returncode == 2
        for name in c.names:
            c.start(name)
        wait_for(lambda: soon(c, "n1", "config/log_level") == "warning", 10.0)
        wait_for(lambda: len([m for m in state(c, "n1")["members"] if m["voter"]]) == 3, 15.0)
        wait_for(c.same_everywhere, 10.0)
