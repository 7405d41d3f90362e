"""Slopes of the replicated store: state, snapshots, entries applied, leases granted."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random

from bench.scale.fit import point
from bench.scale.results_file import Measurement, measured
from bench.scale.slopes_module import proven_pair
from gradegap.store import records, state_snapshot, wire
from gradegap.store.leases import LeaseGranter
from gradegap.store.machine import StateMachine
from gradegap.store.records import Command, KeyUpdate, LogRecord

KEYS = (12_000, 24_000, 48_000)  # more than the history keeps, so that it is full at each size
VALUE_BYTES = (100, 1_000, 10_000)
HOLDERS = (64, 128, 256)
BATCH = 100  # keys in a transaction
ENTRIES = 500  # timed in one repeat
REPEATS = 5
ROUNDS = 20  # renewals of each holder in one repeat
DRIFT = 0.1


def logged(number: int, ops: tuple[KeyUpdate, ...]) -> bytes:
    """An entry as the leader logs it; each comes a second after the one before."""
    time_ms = number * 1_000
    command = Command(f"client-{number:08d}", 1, time_ms + 1_000, "operator", (), ops)
    return records.encode(LogRecord(time_ms, time_ms, command))


def value(rng: Random, size: int = 48) -> dict[str, object]:
    """A value of about so many bytes."""
    return {"reason": rng.randbytes(max(1, size // 2 - 12)).hex(), "limit": rng.randrange(1_000)}


def filled(keys: int, seed: int) -> StateMachine:
    """A machine with so many keys, and its full history of changes."""
    machine, rng = StateMachine(), Random(seed)
    for number in range(1, keys // BATCH + 1):
        first = number * BATCH
        ops = tuple(KeyUpdate(f"config/key-{k:08d}", value(rng)) for k in range(first, first + BATCH))
        machine.apply(number, logged(number, ops))
        machine.take_unsaved()
    return machine


def states(seed: int) -> list[Measurement]:
    """State in memory and as a snapshot."""
    memory, packed, packing = [], [], []
    for keys in KEYS:
        gc.collect()
        tracemalloc.start()
        held = filled(keys, seed)
        gc.collect()
        memory.append(point(keys, [float(tracemalloc.get_traced_memory()[0])]))
        tracemalloc.stop()
        spent, size = [], 0
        for _ in range(REPEATS):
            began = time.process_time()
            size = len(state_snapshot.encode_snapshot(held.export_state()))
            spent.append((time.process_time() - began) * 1e3)
        packed.append(point(keys, [float(size)]))
        packing.append(point(keys, spent))
    how = "store/machine.py with values of some 50 bytes and a full history of 10,000 changes"
    return [
        measured("store_state_bytes", "bytes", "keys", f"{how}; tracemalloc, one run a size", memory),
        measured("store_snapshot_bytes", "bytes", "keys", f"{how}; a snapshot, compressed", packed),
        measured("store_snapshot_time", "ms", "keys", f"{how}; processor time to pack a snapshot", packing),
    ]


def applied(held: StateMachine, seed: int, size: int) -> list[float]:
    """µs of processor time an entry of one key, repeat after repeat."""
    rng, spent, number = Random(seed), [], held.index
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
            held.apply(index, data)
            held.take_unsaved()
        spent.append((time.process_time() - began) / ENTRIES * 1e6)
    return spent


def entries(seed: int) -> list[Measurement]:
    """Entries applied, over keys and over the size of values."""
    by_keys = [point(keys, applied(filled(keys, seed), seed, 48)) for keys in KEYS]
    by_bytes = [point(size, applied(filled(KEYS[0], seed), seed, size)) for size in VALUE_BYTES]
    how = "store/machine.py: an entry that puts one key"
    return [
        measured("store_apply_by_keys", "µs", "keys", f"{how}, beside so many", by_keys),
        measured("store_apply_by_bytes", "µs", "bytes of the value", f"{how}, beside 12,000", by_bytes),
    ]


class Leader:
    """A leader's leases, and a link for all holders; frames are encoded and decoded as on sockets."""

    def __init__(self, holders: int) -> None:
        self.names = [f"node-{k:04d}.abcdef" for k in range(holders)]
        self.now, self.serial = 100.0, 0
        self.granter = LeaseGranter(self.now - 100.0, DRIFT)
        self.dialer, self.acceptor = proven_pair()
        self.bytes = 0
        self.spent = 0.0

    def renew(self, applied: int) -> None:
        """Each holder asks once; the leader's processor time and both ends' bytes are counted."""
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
        """Milliseconds of the leader for a write that waits until each holder has applied it."""
        seen: list[bool] = []
        began = time.process_time()
        self.granter.when_applied_by_all(self.now, index, lambda: seen.append(True))
        for name in self.names:
            self.granter.holder_applied(name, index)
            self.granter.expire(self.now)
        assert seen, "a holder was not waited for"
        return (time.process_time() - began) * 1e3


def leases(seed: int) -> list[Measurement]:
    """The leader's side of leases."""
    asks, writes, sizes = [], [], []
    for holders in HOLDERS:
        renewals, acknowledgements = [], []
        for repeat in range(REPEATS):
            leader = Leader(holders)
            for _ in range(ROUNDS):
                leader.renew(repeat)
            renewals.append(leader.spent / (ROUNDS * holders) * 1e6)
            acknowledgements.append(leader.acknowledge(repeat + 1))
        asks.append(point(holders, renewals))
        writes.append(point(holders, acknowledgements))
        sizes.append(point(holders, [leader.bytes / ROUNDS]))
    how = "store/leases.py, store/wire.py: the leader's"
    return [
        measured("lease_renewal", "µs", "holders", f"{how} processor time for one holder's renewal", asks),
        measured(
            "lease_write_seen",
            "ms",
            "holders",
            f"{how} for a write until all have applied it",
            writes,
            "power",
        ),
        measured("lease_round_bytes", "bytes", "holders", "one renewal of each holder, both ways", sizes),
    ]


def store_part(seed: int) -> list[Measurement]:
    """The store without disk and sockets."""
    return [*states(seed), *entries(seed), *leases(seed)]


PARTS: dict[str, Callable[[int], list[Measurement]]] = {"store": store_part}
