"""A cluster of consensus cores in virtual time, under a network, disks, clocks and processes that fail.

One seed gives one run. Members are the very cores that daemons run, driven as daemons drive them: what is
to be durable is written by a disk that takes its time and forgets, at a crash, what it had not synced.
Models: FoundationDB's and TigerBeetle's simulators.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import msgspec

from gradegap.raft import (
    Entry,
    EntryKind,
    HardState,
    Member,
    Message,
    Raft,
    RaftSettings,
    Ready,
    RequestRejectedError,
    SnapshotMetadata,
    initial_snapshot,
)
from gradegap.verification.invariants import Rules, chain
from gradegap.verification.schedule import Schedule

TICK = 0.02
# So that entries and snapshots are cut in pieces.
SMALL_LIMITS = RaftSettings(max_message_bytes=60, max_inflight_messages=4, snapshot_chunk_bytes=5)
EMPTY = b"\0" * 12


@dataclass(slots=True)
class Disk:
    """What survives a crash."""

    base: SnapshotMetadata
    state: bytes = EMPTY  # after `base`
    hard: HardState = field(default_factory=HardState)
    entries: list[Entry] = field(default_factory=list)

    def write(self, ready: Ready) -> None:
        """Make durable what the core asked for."""
        if ready.snapshot is not None:
            self.base, self.state = ready.snapshot
            self.entries = []
        if ready.hard_state is not None:
            self.hard = ready.hard_state
        for entry in ready.entries:
            del self.entries[max(0, entry.index - self.base.index - 1) :]
            self.entries.append(entry)


@dataclass(slots=True)
class Faults:
    """What may go wrong in a run, as chances a second for the cluster, or for each message."""

    crash: float = 0.8
    pause: float = 0.6
    cut: float = 0.8  # a link, one way or both, or a whole member
    change: float = 0.5  # of members
    transfer: float = 0.3
    compact: float = 0.5
    drop: float = 0.02
    twice: float = 0.02
    late: float = 0.03
    lateness: float = 0.3  # s, the mean of what a late message takes more
    slow_sync: float = 0.05  # of writes to disk, that take ten times as long
    load: float = 20.0  # proposals a second
    away: tuple[float, ...] = (0.0, 0.05, 0.5, 2.0)  # s, one of which a crashed member is away
    drift: bool = True


class Node:
    """A process with a core, a disk and a clock of its own."""

    def __init__(self, sim: Sim, name: str, disk: Disk, offset: float, rate: float) -> None:
        self.sim, self.name, self.disk = sim, name, disk
        self.offset, self.rate = offset, rate
        self.raft: Raft | None = None
        self.paused = False
        self.inbox: deque[tuple[str, Message]] = deque()
        self.writing: deque[Ready] = deque()
        self.life = 0
        self.state = disk.state
        self.states: dict[int, bytes] = {}

    @property
    def now(self) -> float:
        """The time by its own clock."""
        return self.offset + self.rate * self.sim.now

    @property
    def runs(self) -> bool:
        """Whether it has neither crashed nor been paused."""
        return self.raft is not None and not self.paused

    def start(self) -> None:
        """Begin a new life from what is on the disk."""
        self.life += 1
        self.writing.clear()
        self.inbox.clear()
        d = self.disk
        self.state = d.state
        self.states = {d.base.index: d.state}
        seed = self.sim.rng.getrandbits(32)
        self.raft = self.sim.core(
            self.name, self.now, seed, d.base, list(d.entries), d.hard, d.base.index, self.sim.raft_settings
        )
        self.sim.after(0.0, self.tick, self.life)

    def crash(self) -> None:
        """Lose all but the disk."""
        self.raft, self.paused = None, False
        self.life += 1

    def tick(self, life: int) -> None:
        """Look at the clock, and at what came during a pause; again after a moment."""
        if life != self.life or self.raft is None:
            return
        if not self.paused:
            while self.inbox:
                sender, message = self.inbox.popleft()
                self.raft.step(self.now, sender, message)
                self.settle()
            self.raft.tick(self.now)
            self.settle()
        self.sim.after(TICK * self.sim.rng.uniform(0.5, 1.0), self.tick, life)

    def hear(self, sender: str, message: Message) -> None:
        """A message arrives."""
        if self.raft is None:
            return
        if self.paused:
            self.inbox.append((sender, message))
            return
        self.raft.step(self.now, sender, message)
        self.settle()

    def settle(self) -> None:
        """As a daemon does after each call: write, then send, then say that it is written."""
        raft = self.raft
        assert raft is not None
        ready = raft.take_ready()
        for to, message in ready.immediate_messages:
            self.sim.send(self.name, to, message)
        if ready.snapshot is not None:
            self.state = ready.snapshot.data
            self.states = {ready.snapshot.metadata.index: self.state}
        for entry in ready.committed_entries:
            self.state = chain(self.state, entry)
            self.states[entry.index] = self.state
            self.sim.rules.applied(entry, self.state)
        for number, index in ready.read_states:
            self.sim.read_done(self.name, number, index)
        if ready.snapshot_wanted and raft.applied_index in self.states:
            term = raft.log.term_at(raft.applied_index)
            assert term is not None
            meta = SnapshotMetadata(raft.applied_index, term, raft.log.configuration_at(raft.applied_index))
            raft.offer_snapshot(self.now, meta, self.state)
            self.settle()
        if ready.must_sync or ready.messages:
            self.writing.append(ready)
            if len(self.writing) == 1:
                self._write()
        self.sim.rules.check(raft)

    def _write(self) -> None:
        rng = self.sim.rng
        takes = rng.expovariate(200.0) if self.writing[0].must_sync else 0.0
        if rng.random() < self.sim.faults.slow_sync:
            takes *= 10.0
        self.sim.after(takes, self._written, self.life)

    def _written(self, life: int) -> None:
        if life != self.life or self.raft is None:
            return
        if self.paused:
            self.sim.after(TICK, self._written, life)
            return
        ready = self.writing.popleft()
        self.disk.write(ready)
        for to, message in ready.messages:
            self.sim.send(self.name, to, message)
        if ready.entries:
            self.raft.persisted(self.now, ready.entries[-1].index, ready.entries[-1].term)
        if self.writing:
            self._write()
        self.settle()

    def compact(self) -> None:
        """Write the applied state, and drop the log that led there."""
        raft = self.raft
        index = raft.applied_index if raft is not None else 0
        # As a daemon: what it has applied is written before the log that led there goes.
        if raft is None or self.writing or index <= self.disk.base.index or raft.stable_index < index:
            return
        raft.compact(index)
        base = raft.log.base
        if base.index != index:
            return
        self.disk.entries = list(raft.log.entries)
        self.disk.base, self.disk.state = base, self.states[index]


class Sim(Schedule):
    """One run. `core` is the class of the members' cores: a planted bug is another one."""

    def __init__(
        self,
        seed: int,
        members: int = 3,
        core: type[Raft] = Raft,
        faults: Faults | None = None,
        raft_settings: RaftSettings | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.core = core
        self.faults = faults or Faults()
        self.raft_settings = raft_settings or SMALL_LIMITS
        super().__init__()
        self.rules = Rules()
        self.cuts: set[tuple[str, str]] = set()
        self.proposed: dict[bytes, tuple[int, int]] = {}
        self.reads: dict[int, int] = {}
        self.nodes: dict[str, Node] = {}
        self.fresh = 0
        first = [self._name() for _ in range(members)]
        base = initial_snapshot(tuple(Member(n, n, n) for n in first))
        for name in first:
            self._make(name, base)
        for action in (self._load, self._trouble, self._leases):
            self.after(0.0, action)

    def _name(self) -> str:
        self.fresh += 1
        return f"m{self.fresh}"

    def _make(self, name: str, base: SnapshotMetadata) -> Node:
        # Clocks at the edge of the bound: one runs as much faster than another as is allowed.
        rate = (
            self.rng.choice([1.0, 1.0 / (1.0 - self.raft_settings.max_clock_drift)])
            if self.faults.drift
            else 1.0
        )
        node = self.nodes[name] = Node(self, name, Disk(base), self.rng.uniform(0, 1e6), rate)
        node.start()
        return node

    # The network

    def send(self, sender: str, to: str, message: Message) -> None:
        """Carry a message, unless it is lost; it may come late or twice."""
        self.counts[type(message).__name__] += 1
        f, rng = self.faults, self.rng
        if (sender, to) in self.cuts or to not in self.nodes or rng.random() < f.drop:
            return
        for _ in range(2 if rng.random() < f.twice else 1):
            wait = rng.uniform(0.0005, 0.01)
            if rng.random() < f.late:
                wait += rng.expovariate(1.0 / f.lateness)
            self.after(wait, self.nodes[to].hear, sender, message)

    # What clients do

    def leader(self) -> Node | None:
        """A running member that takes itself to be the leader."""
        leading = [n for n in self.nodes.values() if n.runs and n.raft is not None and n.raft.is_leader]
        return self.rng.choice(leading) if leading else None

    def _load(self) -> None:
        node = self.leader()
        if node is not None and node.raft is not None:
            try:
                for _ in range(self.rng.choice([1, 1, 3])):
                    data = b"c%d" % len(self.proposed)
                    index = node.raft.propose(node.now, data)
                    self.proposed[data] = (index, node.raft.term)
                node.raft.flush(node.now)
                if self.rng.random() < 0.5:
                    self.reads[len(self.reads)] = self.rules.last_committed
                    node.raft.read_index(node.now, len(self.reads) - 1)
            except RequestRejectedError as error:
                self.counts[f"refused {str(error).split(':')[0]}"] += 1
            node.settle()
        self.after(self.rng.expovariate(self.faults.load), self._load)

    def read_done(self, member: str, number: int, index: int) -> None:
        """A member confirmed a read."""
        self.counts["reads"] += 1
        self.rules.read(member, index, self.reads[number])

    def _leases(self) -> None:
        self.rules.leases((n.raft, n.now) for n in self.nodes.values() if n.raft is not None and n.runs)
        self.after(0.01, self._leases)

    # Trouble

    def _trouble(self) -> None:
        f, rng, step = self.faults, self.rng, 0.1
        for chance, action in (
            (f.crash, self._crash),
            (f.pause, self._pause),
            (f.cut, self._cut),
            (f.change, self._change),
            (f.transfer, self._transfer),
            (f.compact, self._compact),
        ):
            if rng.random() < chance * step:
                action()
        self.after(step, self._trouble)

    def _any(self) -> Node:
        leader = self.leader()
        if leader is not None and self.rng.random() < 0.5:
            return leader
        return self.rng.choice(list(self.nodes.values()))

    def _crash(self) -> None:
        node = self._any()
        if node.raft is not None:
            self.counts["crashes"] += 1
            node.crash()
            self.after(self.rng.choice(self.faults.away), self._restart, node)

    def _restart(self, node: Node) -> None:
        if node.raft is None:
            node.start()

    def _pause(self) -> None:
        node = self._any()
        if node.runs:
            self.counts["pauses"] += 1
            node.paused = True
            self.after(self.rng.choice([0.1, 0.5, 1.5]), self._go_on, node)

    def _go_on(self, node: Node) -> None:
        node.paused = False

    def _cut(self) -> None:
        self.counts["cuts"] += 1
        names = list(self.nodes)
        one = self._any().name
        others = [n for n in names if n != one]
        kind = self.rng.choice(["in", "out", "both", "link", "half"])
        if kind == "link":
            others = others[:1]
        pairs: set[tuple[str, str]] = set()
        if kind != "out":
            pairs |= {(o, one) for o in others}
        if kind != "in":
            pairs |= {(one, o) for o in others}
        if kind == "half":
            side = set(self.rng.sample(names, max(1, len(names) // 2)))
            pairs = {(a, b) for a in names for b in names if (a in side) != (b in side)}
        self.cuts |= pairs
        self.after(self.rng.choice([0.2, 1.0, 3.0]), self._heal, pairs)

    def _heal(self, pairs: set[tuple[str, str]]) -> None:
        self.cuts -= pairs

    def _change(self) -> None:
        node = self.leader()
        if node is None or node.raft is None:
            return
        raft, rng = node.raft, self.rng
        members = raft.configuration.members
        try:
            learners = [m for m in members if not m.voter]
            if learners:
                m = rng.choice(learners)
                raft.add_member(node.now, Member(m.id, m.name, m.address))
            elif len(members) < 5 and rng.random() < 0.6:
                name = self._name()
                raft.add_member(node.now, Member(name, name, name, voter=False))
                self._make(name, initial_snapshot(()))
            elif len(members) > 1:
                raft.remove_member(node.now, rng.choice(members).id)
            self.counts["changes"] += 1
        except RequestRejectedError as error:
            self.counts[f"refused {str(error).split(':')[0]}"] += 1
        node.settle()

    def _transfer(self) -> None:
        node = self.leader()
        if node is not None and node.raft is not None:
            others = [v for v in node.raft.configuration.voters if v != node.name]
            if others:
                try:
                    node.raft.transfer_leadership(node.now, self.rng.choice(others))
                    self.counts["transfers"] += 1
                except RequestRejectedError:
                    pass
                node.settle()

    def _compact(self) -> None:
        node = self._any()
        if node.runs:
            self.counts["compactions"] += 1
            node.compact()

    # The end

    def calm(self) -> None:
        """All faults end; every member must come to the same state, with all that was acknowledged."""
        self.faults = Faults(0, 0, 0, 0, 0, 0, 0, 0, 0)
        self.cuts.clear()
        for node in self.nodes.values():
            node.paused = False
            if node.raft is None:
                node.start()
        self.run(8.0)
        leader = self.leader()
        assert leader is not None and leader.raft is not None, "no leader once all faults have ended"
        self.run(1.0)
        members = [self.nodes[m.id] for m in leader.raft.configuration.members]
        least = min(n.raft.applied_index for n in members if n.raft is not None)
        assert least >= self.rules.last_committed - 40, "a member does not catch up"
        assert self.counts["reads"] > 0

    def acknowledged(self) -> list[bytes]:
        """The proposals whose entries were committed."""
        done = {(e.index, e.term) for e in self.rules.committed.values() if e.kind is EntryKind.COMMAND}
        return [data for data, at in self.proposed.items() if at in done]

    def digest(self) -> str:
        """The same seed, the same run."""
        body = msgspec.msgpack.encode(sorted(self.counts.items())) + b"".join(self.rules.commands())
        return f"{sum(body)}-{len(body)}-{len(self.rules.leaders)}"
