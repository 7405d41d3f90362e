"""A simulated member of a Raft cluster: a consensus core, a disk with write latency, and its own clock."""

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
    """The durable state of a member, which survives a crash."""

    base: SnapshotMetadata
    state: bytes = EMPTY_STATE  # digest of the state at `base`
    hard_state: HardState = field(default_factory=HardState)
    entries: list[Entry] = field(default_factory=list)

    def write(self, ready: Ready) -> None:
        """Make durable the snapshot, hard state and entries that the core handed out."""
        if ready.snapshot is not None:
            self.base, self.state = ready.snapshot
            self.entries = []
        if ready.hard_state is not None:
            self.hard_state = ready.hard_state
        for entry in ready.entries:
            del self.entries[max(0, entry.index - self.base.index - 1) :]
            self.entries.append(entry)


class MemberWorld(Schedule, ABC):
    """The interface of the simulation that a member uses."""

    rng: random.Random
    faults: Faults
    raft_class: type[Raft]
    raft_settings: RaftSettings
    invariants: RaftInvariants

    @abstractmethod
    def send(self, sender: str, recipient: str, message: Message) -> None:
        """Transmit a message."""

    @abstractmethod
    def read_confirmed(self, member: str, request_id: int, commit_index: int) -> None:
        """Handle a read that a member confirmed."""


class SimulatedMember:
    """Drives a core in the way the daemon does."""

    def __init__(
        self, world: MemberWorld, name: str, disk: SimulatedDisk, clock_offset: float, clock_rate: float
    ) -> None:
        self.world, self.name, self.disk = world, name, disk
        self.clock_offset, self.clock_rate = clock_offset, clock_rate
        self.raft: Raft | None = None  # None after a crash, until the restart
        self.is_paused = False
        self.inbox: deque[tuple[str, Message]] = deque()  # sender and message; filled during a pause
        self.pending_writes: deque[Ready] = deque()
        self.incarnation = 0
        self.state = disk.state
        self.states: dict[int, bytes] = {}  # index of the last entry to the digest of the state

    @property
    def now(self) -> float:
        """The time of the member's own clock, in seconds."""
        return self.clock_offset + self.clock_rate * self.world.now

    @property
    def is_running(self) -> bool:
        """Whether the member is neither crashed nor paused."""
        return self.raft is not None and not self.is_paused

    def start(self) -> None:
        """Start a new incarnation from the state on the disk."""
        self.incarnation += 1
        self.pending_writes.clear()
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
        """Crash: all state that is not on the disk is lost."""
        self.raft, self.is_paused = None, False
        self.incarnation += 1

    def resume(self) -> None:
        """End a pause."""
        self.is_paused = False

    def tick(self, incarnation: int) -> None:
        """Process messages that arrived during a pause, tick the core, and schedule the next tick."""
        if incarnation != self.incarnation or self.raft is None:
            return
        if not self.is_paused:
            while self.inbox:
                sender, message = self.inbox.popleft()
                self.raft.step(self.now, sender, message)
                self.process_ready()
            self.raft.tick(self.now)
            self.process_ready()
        self.world.after(TICK_S * self.world.rng.uniform(0.5, 1.0), self.tick, incarnation)

    def receive(self, sender: str, message: Message) -> None:
        """Handle a message, or queue it while the member is paused."""
        if self.raft is None:
            return
        if self.is_paused:
            self.inbox.append((sender, message))
            return
        self.raft.step(self.now, sender, message)
        self.process_ready()

    # Output of the core

    def process_ready(self) -> None:
        """Process the core's output as the daemon does after each call: send, apply, start writing.

        Messages that depend on durable state are sent after the write.
        """
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
            self.pending_writes.append(ready)
            if len(self.pending_writes) == 1:
                self._write()
        self.world.invariants.check(raft)

    def _apply(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            self.state = ready.snapshot.data
            self.states = {ready.snapshot.metadata.index: self.state}
        for entry in ready.committed_entries:
            self.state = chain_digest(self.state, entry)
            self.states[entry.index] = self.state
            self.world.invariants.check_applied(entry, self.state)

    def _offer_snapshot(self, raft: Raft) -> None:
        term = raft.log.term_at(raft.applied_index)
        assert term is not None
        configuration = raft.log.configuration_at(raft.applied_index)
        metadata = SnapshotMetadata(raft.applied_index, term, configuration)
        raft.offer_snapshot(self.now, metadata, self.state)
        self.process_ready()

    def _write(self) -> None:
        rng = self.world.rng
        sync_s = rng.expovariate(200.0) if self.pending_writes[0].must_sync else 0.0
        if rng.random() < self.world.faults.slow_sync:
            sync_s *= 10.0
        self.world.after(sync_s, self._written, self.incarnation)

    def _written(self, incarnation: int) -> None:
        if incarnation != self.incarnation or self.raft is None:
            return
        if self.is_paused:
            self.world.after(TICK_S, self._written, incarnation)
            return
        ready = self.pending_writes.popleft()
        self.disk.write(ready)
        for recipient, message in ready.messages:
            self.world.send(self.name, recipient, message)
        if ready.entries:
            self.raft.persisted(self.now, ready.entries[-1].index, ready.entries[-1].term)
        if self.pending_writes:
            self._write()
        self.process_ready()

    def compact(self) -> None:
        """Write a snapshot of the applied state, and drop the log entries up to it."""
        raft = self.raft
        index = raft.applied_index if raft is not None else 0
        # As in the daemon, the applied entries must be durable before the log entries are dropped.
        if raft is None or self.pending_writes or index <= self.disk.base.index or raft.stable_index < index:
            return
        raft.compact(index)
        base = raft.log.base
        if base.index != index:
            return
        self.disk.entries = list(raft.log.entries)
        self.disk.base, self.disk.state = base, self.states[index]
