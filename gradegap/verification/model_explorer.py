"""Model checker of the consensus core on small clusters: all orders of events, or random walks.

The model abstracts from time: before each election all promises not to vote expire. It therefore checks the
invariants that hold independently of timing (elections, logs and commits) and not leases. A lost message is
one that is never delivered. Writes to disk are immediate; a crash loses all state of the core that is not on
its disk.
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

# Actions


@dataclass(slots=True, frozen=True)
class Deliver:
    """A message in flight arrives."""

    position: int  # among the messages in flight, the oldest first


@dataclass(slots=True, frozen=True)
class Propose:
    """A leader proposes a command."""

    member: str


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """A leader sends a round of heartbeats."""

    member: str


@dataclass(slots=True, frozen=True)
class Timeout:
    """A member's election timeout expires, after all promises not to vote have expired."""

    member: str


@dataclass(slots=True, frozen=True)
class Crash:
    """A member crashes, and restarts after all promises not to vote have expired."""

    member: str


Action = Deliver | Propose | Heartbeat | Timeout | Crash


@dataclass(slots=True)
class Bounds:
    """Limits of a model: numbers of members and of events."""

    members: int = 3
    term: int = 3  # members in this term call no election
    commands: int = 2
    crashes: int = 1
    heartbeats: int = 1  # rounds of each member
    timeouts: int = 99
    messages: int = 8  # in flight at once; beyond that the oldest are lost
    disruption_factor: float = 1.0  # factor on the weights of election timeouts and crashes in random walks


class FixedRandom(random.Random):
    """A random source without randomness: the explorer decides when the timeouts of a core expire."""

    def uniform(self, a: float, b: float) -> float:
        """Always returns the lower bound."""
        return a

    def __reduce__(self) -> tuple[type, tuple[()]]:
        return FixedRandom, ()


class ClusterState:
    """A state of a small cluster. A copy of a state can be continued independently."""

    def __init__(self, raft_class: type[Raft], bounds: Bounds) -> None:
        self.raft_class, self.bounds = raft_class, bounds
        self.settings = RaftSettings(max_message_bytes=1, max_inflight_messages=2)
        self.now = 0.0
        names = [f"m{k}" for k in range(bounds.members)]
        base = initial_snapshot(tuple(Member(name, name, name) for name in names))
        self.disks = {name: SimulatedDisk(base) for name in names}
        self.states = dict.fromkeys(names, EMPTY_STATE)
        self.messages: list[tuple[str, str, Message]] = []  # in flight: sender, recipient, message
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
        """Returns an independent copy of the state."""
        copied: ClusterState = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        # The keys are identities of objects, which the copy does not share.
        copied.invariants.checked_log_extents.clear()
        return copied

    def actions(self) -> list[Action]:
        """Returns all actions that are possible next within the bounds."""
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
        """Perform an action.

        Raises:
            InvariantError: An invariant does not hold after the action.
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
                self._expire_promises()
                self.members[name] = self._start(name)
        self._process_ready(name)

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
        self._expire_promises()
        raft.election.timeout_at = self.now
        raft.tick(self.now)

    def _expire_promises(self) -> None:
        self.now += 2 * self.settings.election_timeout_s

    def _process_ready(self, name: str) -> None:
        raft, disk = self.members[name], self.disks[name]
        ready = raft.take_ready()
        while ready.must_sync or ready.immediate_messages or ready.messages or ready.committed_entries:
            disk.write(ready)
            for recipient, message in (*ready.immediate_messages, *ready.messages):
                self.messages.append((name, recipient, message))
            for entry in ready.committed_entries:
                self.states[name] = chain_digest(self.states[name], entry)
                self.invariants.check_applied(entry, self.states[name])
            if ready.entries:
                raft.persisted(self.now, ready.entries[-1].index, ready.entries[-1].term)
            ready = raft.take_ready()
        del self.messages[: -self.bounds.messages]
        self.invariants.check(raft)

    def key(self) -> bytes:
        """Returns a key that is equal for equivalent states: it has no times and no heartbeat rounds."""
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
    """Returns the message with heartbeat round 0: states that differ in the round only are equivalent."""
    if isinstance(message, AppendEntries | AppendEntriesResponse):
        return msgspec.structs.replace(message, heartbeat_round=0)
    return message


@dataclass(slots=True)
class Exploration:
    """The extent of an exploration."""

    states: int
    steps: int
    is_complete: bool  # whether every order of events within the bounds was explored


def explore(
    raft_class: type[Raft] = Raft, bounds: Bounds | None = None, max_states: int = 20_000
) -> Exploration:
    """Explore all states within the bounds, breadth first, up to `max_states` distinct ones.

    Raises:
        InvariantError: An invariant does not hold in one of the states.
    """
    first = ClusterState(raft_class, bounds or Bounds())
    seen = {hash(first.key())}
    queue = deque([first])
    steps = 0
    while queue:
        state = queue.popleft()
        for action in state.actions():
            next_state = state.copy()
            next_state.act(action)
            steps += 1
            key = hash(next_state.key())
            if key not in seen:
                if len(seen) >= max_states:
                    return Exploration(len(seen), steps, is_complete=False)
                seen.add(key)
                queue.append(next_state)
    return Exploration(len(seen), steps, is_complete=True)


# No commands are needed: each new leader appends an entry of its own term.
ELECTIONS = Bounds(term=7, commands=0, crashes=6, heartbeats=4, messages=8, disruption_factor=3.0)
WALK = Bounds(term=9, commands=6, crashes=6, heartbeats=4, messages=10)
WEIGHTS: dict[type[Action], float] = {Deliver: 1.0, Propose: 0.5, Heartbeat: 0.5, Timeout: 0.25, Crash: 0.1}


def walk(
    seed: int, raft_class: type[Raft] = Raft, steps: int = 120, bounds: Bounds | None = None
) -> ClusterState:
    """Perform up to `steps` random actions and return the last state.

    Raises:
        InvariantError: An invariant does not hold after one of the actions.
    """
    rng = random.Random(seed)
    state = ClusterState(raft_class, bounds or WALK)
    disruption_factor = state.bounds.disruption_factor
    weights = WEIGHTS | {
        Timeout: WEIGHTS[Timeout] * disruption_factor,
        Crash: WEIGHTS[Crash] * disruption_factor,
    }
    for _ in range(steps):
        actions = state.actions()
        if not actions:
            break
        state.act(rng.choices(actions, [weights[type(action)] for action in actions])[0])
    return state


def find_by_walks(raft_class: type[Raft], seeds: range, bounds: Bounds | None = None) -> Violation | None:
    """Returns the violation of the first random walk that violates an invariant, or None."""
    for seed in seeds:
        try:
            walk(seed, raft_class, bounds=bounds)
        except AssertionError as violation:
            return Violation(seed, str(violation))
    return None
