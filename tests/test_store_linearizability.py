"""Histories of concurrent clients under faults are linearizable."""

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
    """Clients that write, read and compare-and-set the same keys, and record a history for each key."""

    def __init__(self, store_cluster: Cluster, seed: int) -> None:
        self.store_cluster, self.seed = store_cluster, seed
        self.history: dict[str, list[Operation]] = {}
        self.acknowledged = 0
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(number,), daemon=True) for number in range(6)]

    def record(self, key: str, operation: Operation) -> None:
        with self.lock:
            self.history.setdefault(key, []).append(operation)
            self.acknowledged += operation.ended != NEVER_ENDED

    def run(self, number: int) -> None:
        rng = random.Random(self.seed * 100 + number)
        client: MemberClient | None = None
        for attempt in range(100_000):
            if self.stopped.is_set():
                return
            key = f"r{rng.randrange(60)}"
            started = time.monotonic()
            new_value = f"{number}-{attempt}"
            kind = rng.choice(["write", "read", "read", "cas"])
            try:
                if client is None or rng.random() < 0.02:
                    client = MemberClient(
                        self.store_cluster.listen_addresses[rng.choice(self.store_cluster.names)], SECRET, 1.5
                    )
                if kind == "write":
                    client.set(key, new_value)
                    self.record(key, Operation.write(new_value, started, time.monotonic()))
                elif kind == "read":
                    read_value = client.value(key)
                    self.record(key, Operation.read(read_value, started, time.monotonic()))
                else:
                    item = client.get(key)
                    self.record(key, Operation.read(item and item.value, started, time.monotonic()))
                    started = time.monotonic()
                    answer = client.compare_and_set(key, item.modified_revision if item else 0, new_value)
                    if item is not None:
                        expected = item.value  # identifies the revision, as each value is written only once
                        done = answer.succeeded
                        self.record(
                            key,
                            Operation.compare_and_set(new_value, started, time.monotonic(), expected, done),
                        )
                    else:
                        self.record(
                            key,
                            Operation.compare_and_set(
                                new_value, started, time.monotonic(), None, answer.succeeded
                            ),
                        )
            except RequestFailedError as error:
                if error.kind == "unknown" and kind == "write":
                    self.record(key, Operation.write(new_value, started))
                elif error.kind == "unknown" and kind == "cas":
                    expected = item.value if item else None
                    self.record(
                        key, Operation.compare_and_set(new_value, started, NEVER_ENDED, expected, None)
                    )
                client = None
                time.sleep(0.05)


def test_histories_under_kills_suspensions_and_partitions_are_linearizable(tmp_path: Path) -> None:
    seed = random.SystemRandom().randrange(1000)
    print("seed", seed)
    rng = random.Random(seed)
    with cluster(tmp_path) as store_cluster:
        clients = Clients(store_cluster, seed)
        for thread in clients.threads:
            thread.start()
        for round_number in range(9):
            victim = rng.choice([store_cluster.leader() or "n1", rng.choice(store_cluster.names)])
            fault = ("kill", "freeze", "cut")[round_number % 3]
            before = clients.acknowledged
            if fault == "kill":
                store_cluster.kill(victim)
            elif fault == "freeze":
                store_cluster.suspend(victim)
            else:
                store_cluster.relay.partition({victim}, set(store_cluster.others(victim)))
            # Wait until the other members have made progress without this one.
            wait_for(lambda before=before: clients.acknowledged > before + 60, 20.0)  # type: ignore[misc]
            if fault == "kill":
                store_cluster.start(victim)
            elif fault == "freeze":
                store_cluster.resume(victim)
            else:
                store_cluster.relay.heal()
            before = clients.acknowledged
            wait_for(lambda before=before: clients.acknowledged > before + 60, 20.0)  # type: ignore[misc]
        wait_for(lambda: clients.acknowledged > 2000, 60.0)
        clients.stopped.set()
        for thread in clients.threads:
            thread.join(10.0)
        wait_for(store_cluster.has_equal_states, 20.0)
        with store_cluster.member_client(store_cluster.leader()) as leader_client:
            final = {item.key: item.value for item in leader_client.list("r")}
        end = time.monotonic()
        for key, history in clients.history.items():
            operations = [*history, Operation.read(final.get(key), end, end + 1)]
            assert find_linearization(operations) is not None, (
                f"seed {seed}, key {key}: {sorted(operations, key=lambda operation: operation.started)}"
            )
