"""A simulated member: a core of consensus, a disk that takes its time, and a clock of its own."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, field

from gradegap.raft import Entry, HardState, Message, Raft, RaftSettings, Ready, SnapshotMetadata
from gradegap.verification.raft_faults import TICK_S, Faults
from gradegap.verification.raft_invariants import RaftInvariants, chain_digest
from gradegap.verification.schedule import Schedule

EMPTY_STATE = b"\0" * 12  # the digest of the state before the first entry


@dataclass(slots=True)
class SimulatedDisk:
    """What survives a crash."""

    base: SnapshotMetadata
    state: bytes = EMPTY_STATE  # after `base`
    hard_state: HardState = field(default_factory=HardState)
    entries: list[Entry] = field(default_factory=list)

    def write(self, ready: Ready) -> None:
        """Make durable what the core has gathered."""
        if ready.snapshot is not None:
            self.base, self.state = ready.snapshot
            self.entries = []
        if ready.hard_state is not None:
            self.hard_state = ready.hard_state
        for entry in ready.entries:
            del self.entries[max(0, entry.index - self.base.index - 1) :]
            self.entries.append(entry)


class MemberWorld(Schedule, ABC):
    """What a member needs of the simulation."""

    rng: random.Random
    faults: Faults
    raft_class: type[Raft]
    raft_settings: RaftSettings
    invariants: RaftInvariants

    @abstractmethod
    def send(self, sender: str, recipient: str, message: Message) -> None:
        """Carry a message."""

    @abstractmethod
    def read_confirmed(self, member: str, request_id: int, commit_index: int) -> None:
        """A member confirmed a read."""


class SimulatedMember:
    """Drives a core as the daemon does."""

    def __init__(
        self, world: MemberWorld, name: str, disk: SimulatedDisk, clock_offset: float, clock_rate: float
    ) -> None:
        self.world, self.name, self.disk = world, name, disk
        self.clock_offset, self.clock_rate = clock_offset, clock_rate
        self.raft: Raft | None = None  # None while it is crashed
        self.paused = False
        self.inbox: deque[tuple[str, Message]] = deque()  # senders and messages that arrived during a pause
        self.writing: deque[Ready] = deque()
        self.incarnation = 0
        self.state = disk.state
        self.states: dict[int, bytes] = {}  # digests, by the index of the last entry

    @property
    def now(self) -> float:
        """The time by its own clock."""
        return self.clock_offset + self.clock_rate * self.world.now

    @property
    def running(self) -> bool:
        """Whether it has neither crashed nor been paused."""
        return self.raft is not None and not self.paused

    def start(self) -> None:
        """Begin a new incarnation from what is on the disk."""
        self.incarnation += 1
        self.writing.clear()
        self.inbox.clear()
        disk = self.disk
        self.state = disk.state
        self.states = {disk.base.index: disk.state}
        self.raft = self.world.raft_class(
            self.name,
            self.now,
            self.world.rng.getrandbits(32),
            disk.base,
            list(disk.entries),
            disk.hard_state,
            disk.base.index,
            self.world.raft_settings,
        )
        self.world.after(0.0, self.tick, self.incarnation)

    def crash(self) -> None:
        """Lose all but the disk."""
        self.raft, self.paused = None, False
        self.incarnation += 1

    def resume(self) -> None:
        """End a pause."""
        self.paused = False

    def tick(self, incarnation: int) -> None:
        """Look at the clock, and at what arrived during a pause; again after a moment."""
        if incarnation != self.incarnation or self.raft is None:
            return
        if not self.paused:
            while self.inbox:
                sender, message = self.inbox.popleft()
                self.raft.step(self.now, sender, message)
                self.settle()
            self.raft.tick(self.now)
            self.settle()
        self.world.after(TICK_S * self.world.rng.uniform(0.5, 1.0), self.tick, incarnation)

    def receive(self, sender: str, message: Message) -> None:
        """A message arrives."""
        if self.raft is None:
            return
        if self.paused:
            self.inbox.append((sender, message))
            return
        self.raft.step(self.now, sender, message)
        self.settle()

    # What the core has gathered

    def settle(self) -> None:
        """As a daemon does after each call: send what may go at once, apply, and begin to write."""
        raft = self.raft
        assert raft is not None
        ready = raft.take_ready()
        for recipient, message in ready.immediate_messages:
            self.world.send(self.name, recipient, message)
        self._apply(ready)
        for request_id, commit_index in ready.read_states:
            self.world.read_confirmed(self.name, request_id, commit_index)
        if ready.snapshot_wanted and raft.applied_index in self.states:
            self._offer_snapshot(raft)
        if ready.must_sync or ready.messages:
            self.writing.append(ready)
            if len(self.writing) == 1:
                self._write()
        self.world.invariants.check(raft)

    def _apply(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            self.state = ready.snapshot.data
            self.states = {ready.snapshot.metadata.index: self.state}
        for entry in ready.committed_entries:
            self.state = chain_digest(self.state, entry)
            self.states[entry.index] = self.state
            self.world.invariants.applied(entry, self.state)

    def _offer_snapshot(self, raft: Raft) -> None:
        term = raft.log.term_at(raft.applied_index)
        assert term is not None
        configuration = raft.log.configuration_at(raft.applied_index)
        metadata = SnapshotMetadata(raft.applied_index, term, configuration)
        raft.offer_snapshot(self.now, metadata, self.state)
        self.settle()

    def _write(self) -> None:
        rng = self.world.rng
        sync_s = rng.expovariate(200.0) if self.writing[0].must_sync else 0.0
        if rng.random() < self.world.faults.slow_sync:
            sync_s *= 10.0
        self.world.after(sync_s, self._written, self.incarnation)

    def _written(self, incarnation: int) -> None:
        if incarnation != self.incarnation or self.raft is None:
            return
        if self.paused:
            self.world.after(TICK_S, self._written, incarnation)
            return
        ready = self.writing.popleft()
        self.disk.write(ready)
        for recipient, message in ready.messages:
            self.world.send(self.name, recipient, message)
        if ready.entries:
            self.raft.persisted(self.now, ready.entries[-1].index, ready.entries[-1].term)
        if self.writing:
            self._write()
        self.settle()

    def compact(self) -> None:
        """Write the applied state, and drop the log that led there."""
        raft = self.raft
        index = raft.applied_index if raft is not None else 0
        # As a daemon: what it has applied is written before the log that led there is dropped.
        if raft is None or self.writing or index <= self.disk.base.index or raft.stable_index < index:
            return
        raft.compact(index)
        base = raft.log.base
        if base.index != index:
            return
        self.disk.entries = list(raft.log.entries)
        self.disk.base, self.disk.state = base, self.states[index]
