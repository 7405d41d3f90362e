"""Small cases of the consensus core without time: every order of events within bounds, and random walks.

Time is left out by letting every promise run out before an election begins, so only what must hold at any
speed is seen here: elections, logs and commits, not leases. A message that is never delivered is a lost
one. Persisting is at once; a crash loses what the core holds beside its disk.
"""

from __future__ import annotations

import pickle
import random
from collections import deque
from collections.abc import Callable
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
from gradegap.verification.invariants import Rules, chain
from gradegap.verification.simulator import EMPTY, Disk

Action = tuple[str, object]


class Steady(random.Random):
    """No chance: a core's timeouts are set off by the explorer."""

    def uniform(self, a: float, b: float) -> float:
        """The lower bound, always."""
        return a

    def __reduce__(self) -> tuple[type, tuple[()]]:
        return Steady, ()


@dataclass(slots=True)
class Bounds:
    """How much may happen in a case."""

    members: int = 3
    term: int = 3
    commands: int = 2
    crashes: int = 1
    beats: int = 1
    timeouts: int = 99
    flying: int = 8  # messages on their way at once: the oldest are lost
    unrest: float = 1.0  # of random walks: how much likelier elections and crashes are


class Case:
    """One state of a small cluster, which can be copied and gone on from."""

    def __init__(self, core: type[Raft], bounds: Bounds) -> None:
        self.core, self.bounds = core, bounds
        self.raft_settings = RaftSettings(max_message_bytes=1, max_inflight_messages=2)
        self.now = 0.0
        names = [f"m{k}" for k in range(bounds.members)]
        base = initial_snapshot(tuple(Member(n, n, n) for n in names))
        self.disks = {n: Disk(base) for n in names}
        self.states = dict.fromkeys(names, EMPTY)
        self.flying: list[tuple[str, str, Message]] = []
        self.commands = self.crashes = self.timeouts = 0
        self.beats = dict.fromkeys(names, 0)
        self.rules = Rules()
        self.members = {n: self._start(n) for n in names}

    def _start(self, name: str) -> Raft:
        d = self.disks[name]
        self.states[name] = d.state
        raft = self.core(name, self.now, 0, d.base, list(d.entries), d.hard, d.base.index, self.raft_settings)
        raft.random = Steady()
        return raft

    def copy(self) -> Case:
        """The same state, apart from this one."""
        made: Case = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        made.rules.seen.clear()  # it goes by the identity of objects
        return made

    def actions(self) -> list[Action]:
        """All that may happen next within the bounds."""
        bounds = self.bounds
        found: list[Action] = [("deliver", k) for k in range(len(self.flying))]
        for name, raft in self.members.items():
            if raft.is_leader:
                if self.commands < bounds.commands:
                    found.append(("propose", name))
                if self.beats[name] < bounds.beats:
                    found.append(("beat", name))
            elif raft.term < bounds.term and self.timeouts < bounds.timeouts:
                found.append(("timeout", name))
            if self.crashes < bounds.crashes:
                found.append(("crash", name))
        return found

    def act(self, action: Action) -> None:
        """Let one of the actions happen; a breach is raised."""
        what, of = action
        if what == "deliver":
            assert isinstance(of, int)
            sender, to, message = self.flying.pop(of)
            self.members[to].step(self.now, sender, message)
            self._settle(to)
            return
        name = str(of)
        raft = self.members[name]
        match what:
            case "timeout":
                self.timeouts += 1
                self.now += 2 * self.raft_settings.election_timeout_s  # all promises have run out
                raft.election.timeout_at = self.now
                raft.tick(self.now)
            case "propose":
                self.commands += 1
                try:
                    raft.propose(self.now, b"c%d" % self.commands)
                except RequestRejectedError:
                    return
                raft.flush(self.now)
            case "beat":
                self.beats[name] += 1
                raft.heartbeats.send(self.now)
            case "crash":
                self.crashes += 1
                self.now += 2 * self.raft_settings.election_timeout_s  # a restart takes so long
                self.members[name] = raft = self._start(name)
        self._settle(name)

    def _settle(self, name: str) -> None:
        raft, disk = self.members[name], self.disks[name]
        ready = raft.take_ready()
        while ready.must_sync or ready.immediate_messages or ready.messages or ready.committed_entries:
            disk.write(ready)
            for to, message in (*ready.immediate_messages, *ready.messages):
                self.flying.append((name, to, message))
            for entry in ready.committed_entries:
                self.states[name] = chain(self.states[name], entry)
                self.rules.applied(entry, self.states[name])
            if ready.entries:
                raft.persisted(self.now, ready.entries[-1].index, ready.entries[-1].term)
            ready = raft.take_ready()
        del self.flying[: -self.bounds.flying]
        self.rules.check(raft)

    def key(self) -> bytes:
        """What tells two states apart; times and the numbers of rounds don't."""
        members = [
            (
                r.term,
                r.voted_for,
                r.role.value,
                r.leader_id,
                r.commit_index,
                [(e.term, e.data) for e in r.log.entries],
                sorted(r.election.votes.items()) if not r.is_leader else [],
                [
                    (n, p.next_index, p.match_index, p.state is ProgressState.REPLICATE, p.awaiting_response)
                    for n, p in sorted(r.peers.items())
                ]
                if r.is_leader
                else [],
                self.beats[n],
            )
            for n, r in self.members.items()
        ]
        flying = sorted((a, b, msgspec.msgpack.encode(without_round(m))) for a, b, m in self.flying)
        return msgspec.msgpack.encode((members, flying, self.commands, self.crashes, self.timeouts))


def without_round(message: Message) -> Message:
    """The message without the number of its round, which tells no two states apart."""
    if isinstance(message, AppendEntries | AppendEntriesResponse):
        return msgspec.structs.replace(message, heartbeat_round=0)
    return message


@dataclass(slots=True)
class Explored:
    """How far an exploration came."""

    states: int
    steps: int
    whole: bool  # every order within the bounds was seen


def explore(core: type[Raft] = Raft, bounds: Bounds | None = None, most: int = 20_000) -> Explored:
    """Every state within the bounds, breadth first, up to `most` of them; a breach is raised."""
    first = Case(core, bounds or Bounds())
    seen = {hash(first.key())}
    todo = deque([first])
    steps = 0
    while todo:
        case = todo.popleft()
        for action in case.actions():
            after = case.copy()
            after.act(action)
            steps += 1
            mark = hash(after.key())
            if mark not in seen:
                if len(seen) >= most:
                    return Explored(len(seen), steps, False)
                seen.add(mark)
                todo.append(after)
    return Explored(len(seen), steps, True)


# A new leader's own entry is load enough.
ELECTIONS = Bounds(term=7, commands=0, crashes=6, beats=4, flying=8, unrest=3.0)
WALK = Bounds(term=9, commands=6, crashes=6, beats=4, flying=10)
WEIGHTS: dict[str, float] = {"deliver": 1.0, "propose": 0.5, "beat": 0.5, "timeout": 0.25, "crash": 0.1}


def walk(seed: int, core: type[Raft] = Raft, steps: int = 120, bounds: Bounds | None = None) -> Case:
    """One random way through; a breach is raised."""
    rng = random.Random(seed)
    case = Case(core, bounds or WALK)
    for _ in range(steps):
        actions = case.actions()
        if not actions:
            break
        unrest = {"timeout": case.bounds.unrest, "crash": case.bounds.unrest}
        case.act(rng.choices(actions, [WEIGHTS[what] * unrest.get(what, 1.0) for what, _ in actions])[0])
    return case


def find_by_walks(core: type[Raft], seeds: range, bounds: Bounds | None = None) -> tuple[int, str] | None:
    """The first walk that shows a mistake, and the rule that it breaks."""
    check: Callable[[int], Case] = lambda seed: walk(seed, core, bounds=bounds)  # noqa: E731
    for seed in seeds:
        try:
            check(seed)
        except AssertionError as breach:
            return seed, str(breach)
    return None
