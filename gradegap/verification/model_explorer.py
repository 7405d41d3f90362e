"""Small cases of the consensus core without time: every order of events within bounds, and random walks.

Time is left out by letting every promise run out before an election begins, so only what must hold at any
speed is seen here: elections, logs and commits, not leases. A message that is never delivered is a lost
one. Persisting is at once; a crash loses what the core holds beside its disk.
"""

from __future__ import annotations

import pickle
import random
from collections import deque
from dataclasses import dataclass

import msgspec

from gradegap.raft import (
    AppendEntries,
    AppendEntriesResponse,
    Member,
    Message,
    Raft,
    RaftSettings,
    RequestRejectedError,
    initial_snapshot,
)
from gradegap.raft.progress import ProgressState
from gradegap.verification.errors import Violation
from gradegap.verification.raft_invariants import RaftInvariants, chain_digest
from gradegap.verification.raft_member import EMPTY_STATE, SimulatedDisk

# What may happen next


@dataclass(slots=True, frozen=True)
class Deliver:
    """A message on its way arrives."""

    position: int  # among those on their way, the oldest first


@dataclass(slots=True, frozen=True)
class Propose:
    """A leader appends a command."""

    member: str


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """A leader sends a round of heartbeats."""

    member: str


@dataclass(slots=True, frozen=True)
class Timeout:
    """A member's election timeout runs out, and all promises not to vote have."""

    member: str


@dataclass(slots=True, frozen=True)
class Crash:
    """A member crashes, and restarts once all promises not to vote have run out."""

    member: str


Action = Deliver | Propose | Heartbeat | Timeout | Crash


@dataclass(slots=True)
class Bounds:
    """How much may happen in a case."""

    members: int = 3
    term: int = 3
    commands: int = 2
    crashes: int = 1
    heartbeats: int = 1  # of each member
    timeouts: int = 99
    messages: int = 8  # on their way at once: the oldest are lost
    unrest: float = 1.0  # of random walks: how much likelier elections and crashes are


class FixedRandom(random.Random):
    """No chance: a core's timeouts are set off by the explorer."""

    def uniform(self, a: float, b: float) -> float:
        """The lower bound, always."""
        return a

    def __reduce__(self) -> tuple[type, tuple[()]]:
        return FixedRandom, ()


class ClusterState:
    """One state of a small cluster, which can be copied and continued from."""

    def __init__(self, raft_class: type[Raft], bounds: Bounds) -> None:
        self.raft_class, self.bounds = raft_class, bounds
        self.settings = RaftSettings(max_message_bytes=1, max_inflight_messages=2)
        self.now = 0.0
        names = [f"m{k}" for k in range(bounds.members)]
        base = initial_snapshot(tuple(Member(name, name, name) for name in names))
        self.disks = {name: SimulatedDisk(base) for name in names}
        self.states = dict.fromkeys(names, EMPTY_STATE)
        self.messages: list[tuple[str, str, Message]] = []  # on their way: sender, recipient, message
        self.commands = self.crashes = self.timeouts = 0
        self.heartbeats = dict.fromkeys(names, 0)
        self.invariants = RaftInvariants()
        self.members = {name: self._start(name) for name in names}

    def _start(self, name: str) -> Raft:
        disk = self.disks[name]
        self.states[name] = disk.state
        entries = list(disk.entries)
        raft = self.raft_class(
            name, self.now, 0, disk.base, entries, disk.hard_state, disk.base.index, self.settings
        )
        raft.random = FixedRandom()
        return raft

    def copy(self) -> ClusterState:
        """The same state, apart from this one."""
        made: ClusterState = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        made.invariants.checked_logs.clear()  # it goes by the identity of objects
        return made

    def actions(self) -> list[Action]:
        """All that may happen next within the bounds."""
        bounds = self.bounds
        possible: list[Action] = [Deliver(position) for position in range(len(self.messages))]
        for name, raft in self.members.items():
            if raft.is_leader:
                if self.commands < bounds.commands:
                    possible.append(Propose(name))
                if self.heartbeats[name] < bounds.heartbeats:
                    possible.append(Heartbeat(name))
            elif raft.term < bounds.term and self.timeouts < bounds.timeouts:
                possible.append(Timeout(name))
            if self.crashes < bounds.crashes:
                possible.append(Crash(name))
        return possible

    def act(self, action: Action) -> None:
        """Let one of the actions happen.

        Raises:
            InvariantError: An invariant does not hold after it.
        """
        match action:
            case Deliver(position):
                sender, name, message = self.messages.pop(position)
                self.members[name].step(self.now, sender, message)
            case Propose(name):
                if not self._propose(self.members[name]):
                    return
            case Heartbeat(name):
                self.heartbeats[name] += 1
                self.members[name].heartbeats.send(self.now)
            case Timeout(name):
                self._time_out(self.members[name])
            case Crash(name):
                self.crashes += 1
                self._let_promises_run_out()
                self.members[name] = self._start(name)
        self._settle(name)

    def _propose(self, raft: Raft) -> bool:
        self.commands += 1
        try:
            raft.propose(self.now, b"c%d" % self.commands)
        except RequestRejectedError:
            return False
        raft.flush(self.now)
        return True

    def _time_out(self, raft: Raft) -> None:
        self.timeouts += 1
        self._let_promises_run_out()
        raft.election.timeout_at = self.now
        raft.tick(self.now)

    def _let_promises_run_out(self) -> None:
        self.now += 2 * self.settings.election_timeout_s

    def _settle(self, name: str) -> None:
        raft, disk = self.members[name], self.disks[name]
        ready = raft.take_ready()
        while ready.must_sync or ready.immediate_messages or ready.messages or ready.committed_entries:
            disk.write(ready)
            for recipient, message in (*ready.immediate_messages, *ready.messages):
                self.messages.append((name, recipient, message))
            for entry in ready.committed_entries:
                self.states[name] = chain_digest(self.states[name], entry)
                self.invariants.applied(entry, self.states[name])
            if ready.entries:
                raft.persisted(self.now, ready.entries[-1].index, ready.entries[-1].term)
            ready = raft.take_ready()
        del self.messages[: -self.bounds.messages]
        self.invariants.check(raft)

    def key(self) -> bytes:
        """What tells two states apart; times and the numbers of rounds don't."""
        members = [self._member_key(name, raft) for name, raft in self.members.items()]
        messages = sorted(
            (sender, recipient, msgspec.msgpack.encode(without_round(message)))
            for sender, recipient, message in self.messages
        )
        return msgspec.msgpack.encode((members, messages, self.commands, self.crashes, self.timeouts))

    def _member_key(self, name: str, raft: Raft) -> tuple[object, ...]:
        peers = sorted(raft.peers.items()) if raft.is_leader else []
        return (
            raft.term,
            raft.voted_for,
            raft.role.value,
            raft.leader_id,
            raft.commit_index,
            [(entry.term, entry.data) for entry in raft.log.entries],
            sorted(raft.election.votes.items()) if not raft.is_leader else [],
            [
                (
                    peer,
                    progress.next_index,
                    progress.match_index,
                    progress.state is ProgressState.REPLICATE,
                    progress.awaiting_response,
                )
                for peer, progress in peers
            ],
            self.heartbeats[name],
        )


def without_round(message: Message) -> Message:
    """The message without the number of its round, which tells no two states apart."""
    if isinstance(message, AppendEntries | AppendEntriesResponse):
        return msgspec.structs.replace(message, heartbeat_round=0)
    return message


@dataclass(slots=True)
class Exploration:
    """How far an exploration came."""

    states: int
    steps: int
    complete: bool  # every order within the bounds was seen


def explore(
    raft_class: type[Raft] = Raft, bounds: Bounds | None = None, max_states: int = 20_000
) -> Exploration:
    """Every state within the bounds, breadth first, up to `max_states` of them.

    Raises:
        InvariantError: An invariant does not hold in one of them.
    """
    first = ClusterState(raft_class, bounds or Bounds())
    seen = {hash(first.key())}
    queue = deque([first])
    steps = 0
    while queue:
        state = queue.popleft()
        for action in state.actions():
            after = state.copy()
            after.act(action)
            steps += 1
            key = hash(after.key())
            if key not in seen:
                if len(seen) >= max_states:
                    return Exploration(len(seen), steps, complete=False)
                seen.add(key)
                queue.append(after)
    return Exploration(len(seen), steps, complete=True)


# A new leader's own entry is load enough.
ELECTIONS = Bounds(term=7, commands=0, crashes=6, heartbeats=4, messages=8, unrest=3.0)
WALK = Bounds(term=9, commands=6, crashes=6, heartbeats=4, messages=10)
WEIGHTS: dict[type[Action], float] = {Deliver: 1.0, Propose: 0.5, Heartbeat: 0.5, Timeout: 0.25, Crash: 0.1}


def walk(
    seed: int, raft_class: type[Raft] = Raft, steps: int = 120, bounds: Bounds | None = None
) -> ClusterState:
    """One random way through.

    Raises:
        InvariantError: An invariant does not hold on it.
    """
    rng = random.Random(seed)
    state = ClusterState(raft_class, bounds or WALK)
    unrest = state.bounds.unrest
    weights = WEIGHTS | {Timeout: WEIGHTS[Timeout] * unrest, Crash: WEIGHTS[Crash] * unrest}
    for _ in range(steps):
        actions = state.actions()
        if not actions:
            break
        state.act(rng.choices(actions, [weights[type(action)] for action in actions])[0])
    return state


def find_by_walks(raft_class: type[Raft], seeds: range, bounds: Bounds | None = None) -> Violation | None:
    """The first walk that shows a mutation, and the invariant that it breaks."""
    for seed in seeds:
        try:
            walk(seed, raft_class, bounds=bounds)
        except AssertionError as violation:
            return Violation(seed, str(violation))
    return None
