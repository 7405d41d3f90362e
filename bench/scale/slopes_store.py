"""Costs of the replicated store: state, snapshots, applied entries and granted leases."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random

from bench.scale.fit import point
from bench.scale.results_file import Measurement, measured
from bench.scale.slopes_module import authenticated_pair
from gradegap.store import records, state_snapshot, wire
from gradegap.store.leases import LeaseGranter
from gradegap.store.machine import StateMachine
from gradegap.store.records import Command, KeyUpdate, LogRecord

# More keys than the history keeps changes, so that the history is full at each size.
KEYS = (12_000, 24_000, 48_000)
VALUE_BYTES = (100, 1_000, 10_000)
HOLDERS = (64, 128, 256)
BATCH_KEYS = 100  # number of keys in a transaction
ENTRIES = 500  # number of entries that are timed in one repeat
REPEATS = 5
ROUNDS = 20  # number of renewals of each holder in one repeat
MAX_CLOCK_DRIFT_RATIO = 0.1


def logged(number: int, ops: tuple[KeyUpdate, ...]) -> bytes:
    """Returns an entry as the leader logs it; consecutive entries are one second apart."""
    time_ms = number * 1_000
    command = Command(f"client-{number:08d}", 1, time_ms + 1_000, "operator", (), ops)
    return records.encode(LogRecord(time_ms, time_ms, command))


def value(rng: Random, size: int = 48) -> dict[str, object]:
    """Returns a random value of about `size` bytes."""
    return {"reason": rng.randbytes(max(1, size // 2 - 12)).hex(), "limit": rng.randrange(1_000)}


def filled_machine(keys: int, seed: int) -> StateMachine:
    """Returns a state machine with `keys` keys and a full history of changes."""
    machine, rng = StateMachine(), Random(seed)
    for number in range(1, keys // BATCH_KEYS + 1):
        first = number * BATCH_KEYS
        ops = tuple(KeyUpdate(f"config/key-{k:08d}", value(rng)) for k in range(first, first + BATCH_KEYS))
        machine.apply(number, logged(number, ops))
        machine.take_unsaved()
    return machine


def states(seed: int) -> list[Measurement]:
    """Measures the state in memory and as a snapshot."""
    memory, packed, packing = [], [], []
    for keys in KEYS:
        gc.collect()
        tracemalloc.start()
        machine = filled_machine(keys, seed)
        gc.collect()
        memory.append(point(keys, [float(tracemalloc.get_traced_memory()[0])]))
        tracemalloc.stop()
        spent, size = [], 0
        for _ in range(REPEATS):
            began = time.process_time()
            size = len(state_snapshot.encode_snapshot(machine.export_state()))
            spent.append((time.process_time() - began) * 1e3)
        packed.append(point(keys, [float(size)]))
        packing.append(point(keys, spent))
    how = "store/machine.py with values of some 50 bytes and a full history of 10,000 changes"
    return [
        measured("store_state_bytes", "bytes", "keys", f"{how}; tracemalloc, one run a size", memory),
        measured("store_snapshot_bytes", "bytes", "keys", f"{how}; a snapshot, compressed", packed),
        measured("store_snapshot_time", "ms", "keys", f"{how}; processor time to pack a snapshot", packing),
    ]


def applied(machine: StateMachine, seed: int, size: int) -> list[float]:
    """Returns the µs of processor time to apply an entry that sets one key, for each repeat."""
    rng, spent, number = Random(seed), [], machine.index
    for _ in range(REPEATS):
        batch = []
        for _ in range(ENTRIES):
            number += 1
            batch.append(
                (
                    number,
                    logged(number, (KeyUpdate(f"config/key-{rng.randrange(1000):08d}", value(rng, size)),)),
                )
            )
        began = time.process_time()
        for index, data in batch:
            machine.apply(index, data)
            machine.take_unsaved()
        spent.append((time.process_time() - began) / ENTRIES * 1e6)
    return spent


def entries(seed: int) -> list[Measurement]:
    """Measures the applying of entries, over the number of keys and over the size of values."""
    by_keys = [point(keys, applied(filled_machine(keys, seed), seed, 48)) for keys in KEYS]
    by_bytes = [point(size, applied(filled_machine(KEYS[0], seed), seed, size)) for size in VALUE_BYTES]
    how = "store/machine.py: an entry that puts one key"
    return [
        measured("store_apply_by_keys", "µs", "keys", f"{how}, beside so many", by_keys),
        measured("store_apply_by_bytes", "µs", "bytes of the value", f"{how}, beside 12,000", by_bytes),
    ]


class Leader:
    """A leader's leases, and one link for all holders; frames are encoded and decoded as on sockets."""

    def __init__(self, holders: int) -> None:
        self.names = [f"node-{k:04d}.abcdef" for k in range(holders)]
        self.now, self.serial = 100.0, 0
        self.granter = LeaseGranter(self.now - 100.0, MAX_CLOCK_DRIFT_RATIO)
        self.dialer, self.acceptor = authenticated_pair()
        self.bytes = 0
        self.spent = 0.0

    def renew(self, applied: int) -> None:
        """Renews each holder's lease once; counts the leader's processor time and the bytes of both ends."""
        for name in self.names:
            self.serial += 1
            frame = self.dialer.send(wire.LeaseRequest(name, self.serial, applied))
            began = time.process_time()
            messages, _ = self.acceptor.receive(frame)
            for request in messages:
                assert isinstance(request, wire.LeaseRequest)
                length = self.granter.grant(self.now, request.holder, request.applied, self.now + 1.0)
                answer = self.acceptor.send(
                    wire.LeaseGrant(request.holder, request.serial, 1, request.applied, length)
                )
            self.spent += time.process_time() - began
            self.bytes += len(frame) + len(answer)
            self.dialer.receive(answer)
        self.now += 0.3

    def acknowledge(self, index: int) -> float:
        """Returns the leader's milliseconds for a write that waits until each holder has applied it."""
        completions: list[bool] = []
        began = time.process_time()
        self.granter.when_applied_by_all(self.now, index, lambda: completions.append(True))
        for name in self.names:
            self.granter.holder_applied(name, index)
            self.granter.expire(self.now)
        assert completions, "the write did not complete after all holders had applied it"
        return (time.process_time() - began) * 1e3


def leases(seed: int) -> list[Measurement]:
    """Measures the leader's side of leases."""
    renewal_points, write_points, sizes = [], [], []
    for holders in HOLDERS:
        renewals, acknowledgements = [], []
        for repeat in range(REPEATS):
            leader = Leader(holders)
            for _ in range(ROUNDS):
                leader.renew(repeat)
            renewals.append(leader.spent / (ROUNDS * holders) * 1e6)
            acknowledgements.append(leader.acknowledge(repeat + 1))
        renewal_points.append(point(holders, renewals))
        write_points.append(point(holders, acknowledgements))
        sizes.append(point(holders, [leader.bytes / ROUNDS]))
    how = "store/leases.py, store/wire.py: the leader's"
    return [
        measured(
            "lease_renewal", "µs", "holders", f"{how} processor time for one holder's renewal", renewal_points
        ),
        measured(
            "lease_write_seen",
            "ms",
            "holders",
            f"{how} for a write until all have applied it",
            write_points,
            "power",
        ),
        measured("lease_round_bytes", "bytes", "holders", "one renewal of each holder, both ways", sizes),
    ]


def store_part(seed: int) -> list[Measurement]:
    """Measures the store without disk and sockets."""
    return [*states(seed), *entries(seed), *leases(seed)]


PARTS: dict[str, Callable[[int], list[Measurement]]] = {"store": store_part}
