"""Histories of many clients under faults, checked for linearizability."""

from __future__ import annotations

import random
import threading
import time
from pathlib import Path

from gradegap.store.errors import RequestFailedError
from gradegap.store.member_client import MemberClient
from gradegap.verification.linearizability import NEVER_ENDED, Operation, find_linearization
from tests.support.cluster import (
    SECRET,
    Cluster,
    cluster,
)
from tests.support.node_environment import wait_for


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
                    remote = MemberClient(self.c.listen_addresses[rng.choice(self.c.names)], SECRET, 1.5)
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
                c.suspend(victim)
            else:
                c.relay.partition({victim}, set(c.others(victim)))
            # Until the rest has gone on without it.
            wait_for(lambda before=before: clients.acked > before + 60, 20.0)  # type: ignore[misc]
            if what == "kill":
                c.start(victim)
            elif what == "freeze":
                c.resume(victim)
            else:
                c.relay.heal()
            before = clients.acked
            wait_for(lambda before=before: clients.acked > before + 60, 20.0)  # type: ignore[misc]
        wait_for(lambda: clients.acked > 2000, 60.0)
        clients.ended.set()
        for thread in clients.threads:
            thread.join(10.0)
        wait_for(c.has_equal_states, 20.0)
        with c.member_client(c.leader()) as r:
            final = {i.key: i.value for i in r.list("r")}
        end = time.monotonic()
        for key, history in clients.history.items():
            told = [*history, Operation.read(final.get(key), end, end + 1)]
            assert find_linearization(told) is not None, (
                f"seed {seed}, key {key}: {sorted(told, key=lambda d: d.started)}"
            )
