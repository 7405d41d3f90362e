"""Every decision of gradegap. Its types are in `events.py`, `actions.py` and `settings.py`.

A `Balancer` is one proxy. It is fed events with the clock and answers with actions, and knows no more.

The ordinary path, for every request: draw two ready servers uniformly; with probability beta keep
the one with the lower last probed figure (ties at random), else keep the first draw, where
beta = min(1, sqrt(n ln n / b)) and b is the number of connections that all proxies have stood up
since the older of the two figures was made. What departs from that says under which condition.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any, get_args

from gradegap.balancing import connection_estimates as told
from gradegap.balancing import hash_ring as ring
from gradegap.balancing.actions import (
    Action,
    CheckHealth,
    Fail,
    Forward,
    Migrate,
    Reject,
    SetTimer,
    WatchEndpoints,
)
from gradegap.balancing.capacity import SURE_FROM, Capacity, is_cold
from gradegap.balancing.events import (
    NEVER_RAN,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    ConnectionObserved,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    Event,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.priority import PriorityWeights
from gradegap.balancing.rates import BaselineRate, DecayingRate
from gradegap.balancing.report_statistics import ReportStatistics
from gradegap.balancing.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    ReportSource,
    Settings,
    WeightMeaning,
)
from gradegap.balancing.slow_start import SlowStart

NEVER = -1e9  # a clock time before all others
BETA_SCALE = 1.0  # factor on the paper's beta, which leaves the constant open
FRESH = 0.5  # part of the class's aim: a figure older than this is probed again before it is compared
HOLD = 0.16  # part of the class's aim: the longest a request waits for the probes of its pair
REPORTS_BEHIND = 5.0  # s: growth of our own connections that reports may not show yet
OWN_MEMORY = 1.0  # s: how long our own placements count on top of a report that may not show them yet
FULL_AT = 0.9  # load over capacity from which a drawn pair's lighter one is drawn again
ROOM_TO = 0.90  # load over capacity up to which all proxies together may fill a server
LOW_WORTH = 0.15  # how much less room there is for a request worth nothing
REDRAWS = 3  # further pairs looked at when a pair is full
HANGS = 3.0  # load over capacity that tells of a server that hangs, and nothing of its connections
DRAWS = 6  # draws for one place in a pair before one already tried is drawn again
CROSSING = 8.0  # load over capacity that one point of service of crossing price is held equal to
MOVE_AT = 0.9  # load over capacity from which standing connections are moved away
MOVE_TO = 0.85  # load over capacity that the moves of all proxies together aim at
MOVE_REST = 1.5  # report paces at least between two rounds of moves off one server
MOVE_SHOWN = 0.5  # part of a round by which its count must have fallen before the next
LEAVE_TICK = 0.1  # s between two rounds of moves off what leaves
LEAD = 3.6  # s that a server told to drain is held to stay, until one was seen to stop sooner
LEAD_FROM, LEAD_TO = 0.75, 1.0  # parts of that lead between which its connections are moved
SOON_FROM, SOON_TO = 0.05, 0.8  # the same where it is told how soon the server may stop
GONE_TIME = 0.5  # s over which what is left on a server that is gone is moved
LEAVE_LAG = 0.4  # s before a proxy that leaves begins to move: until then clients still come to it
FEW = 1.0  # attempts a second that may fail beyond those that stand
OUT_FROM = 2  # failures in a row from which a server is not drawn for a while
OUT_FIRST, OUT_MOST = 0.5, 4.0  # s: the first such while, and the longest
SILENT = 3  # probes in a row unanswered from which connections are moved away
LOOK_FAST, LOOK_SLOW = 0.7, 4.0  # s between looks at a server that holds our connections: full, idle
PROBES_PER_REQUEST = 6.0  # probes a request may use, looks included, so that their price is bounded
PROBES_PER_RETURN = 2.0  # the same where a client comes again, so that a storm of them is not one of probes
PROBES_SAVED = 30.0  # probes that a quiet spell may save up
PROBES_KEPT = 4.0  # of these, what looks leave to requests, which would be placed blindly without
GUARD = 0.02  # s before a deadline at which a request that waits is answered
ASK_SPREAD = 0.5  # part of ask_within over which proxies spread their first call to the list service
RING_WALK = 8  # servers of the ring drawn from, before a group's request draws from the ready list
TEAM_LOADS = 8.0  # connection loads that a group costs on one more server: itself, and what follows it there
COMPARED = ("x0", "util", "inflight")  # what is compared: the first that reports carry


@dataclass(slots=True, eq=False)
class _Server:
    name: str
    zone: str = ""
    is_local: bool = True
    cell: int = 0
    phase: EndpointPhase = EndpointPhase.REMOVED
    weight: float = 1.0
    started_at: float = 0.0
    index: int = -1  # place in the list of ready servers; -1: not in it
    load: float | None = None  # last figure; None: unprobed, which ties
    raw: tuple[float | None, float | None] = (None, None)  # the report it was made of
    seen_at: float = NEVER  # when that report was first seen
    looked_at: float = NEVER  # when a report last came, changed or not
    probing: float = NEVER  # when the probe still out was sent
    own: float = 0.0  # own placements of late, decaying
    own_at: float = 0.0
    unit: float = 0.0  # what one connection adds to its load, learned from its reports
    silent: int = 0  # probes in a row that it left unanswered
    failed: int = 0  # attempts in a row that came to nothing there
    out_until: float = 0.0  # not drawn before, where others can be
    rest_until: float = 0.0  # no moves off it before
    shown_by: float = 0.0  # nor before this, unless it reports a count no higher than the next
    shown_at: float = 0.0
    leaves_in: float = 0.0  # s that it stays once it is told to drain; 0: not told
    drains_at: float = 0.0  # when we were told that it drains or is gone; 0: it does not
    empty_by: float = 0.0  # all our connections are moved off it by then
    size: float = 0.0  # its weight when it is empty: the most that the list has told
    cores: float = 0.0  # learned from its reports beside its weights; 0: not yet
    told: float = 0.0  # connections that all proxies hold there, by its weight
    told_at: float = NEVER  # when the list told them
    held: dict[int, _Req] = field(default_factory=dict)  # own standing connections
    teams: dict[str, int] = field(default_factory=dict)  # how many of them each group has
    waiters: list[_Req] = field(default_factory=list)  # requests that wait for its probe


@dataclass(slots=True, eq=False)
class _Req:
    id: int
    cls: ClassSettings
    arrived: float
    deadline: float
    most: int = 1  # attempts, by the settings that it came under
    again: bool = False  # it stood before, here or at another proxy
    tenant: str = ""
    worth: float = 1.0  # of serving it, over the most that anything is worth
    ring_key: str = ""  # what places it on the ring; none: it draws from the ready list
    walk: list[_Server] | None = None  # what its draws come from, in order
    walk_at: int = 0
    attempts: int = 0
    out: bool = False  # an attempt is out; never two at once
    standing: bool = False
    done: bool = False  # nothing more may be sent or answered
    maybe_ran: bool = False
    bound: object = None  # keyed and maybe run: the group of servers that drops its repeats
    bound_until: float = math.inf  # no repeat is written after this
    sent_at: float = 0.0  # when the last attempt was decided
    tried: list[_Server] = field(default_factory=list)
    server: _Server | None = None  # of the last attempt
    pair: tuple[_Server, _Server] | None = None  # what it waits to compare
    waiting: int = 0  # probes of the pair still out
    best: _Server | None = None  # the lightest of the full pairs seen
    redraws: int = 0


class Balancer:
    """One proxy's decisions: `handle(now, event)` returns the actions to carry out, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = Random(seed)
        self.worth = PriorityWeights(settings)
        self.random = self.rng.random
        self.servers: dict[str, _Server] = {}
        self.ready: list[_Server] = []
        self.ring: ring.Ring = []  # of the ready servers
        self.n_log_n = 0.0
        self.adopt(settings)
        self.reqs: dict[int, _Req] = {}
        self.out: list[Action] = []
        self.born = NEVER
        self.usual = BaselineRate()
        self.began_with = 0
        self.stood, self.came, self.lost = (
            DecayingRate(),
            DecayingRate(),
            DecayingRate(),
        )  # what stood, was sent, failed once sent
        self.figures, self.capacity = ReportStatistics(), Capacity()
        self.cold = SlowStart(self.capacity)
        self.tokens = PROBES_SAVED / 2
        self.ticking = self.asking = self.leave_due = self.ending = False
        self.empty_by = 0.0  # this proxy leaves: all its connections are moved by then
        self.owed = 0.0  # returns that make up for what was moved or broke here
        self.lead, self.list_failures = LEAD, 0
        self.answering = 1.0  # part of probes of late that were answered
        self.now = 0.0
        handlers = {kind: getattr(self, f"_on_{kind.__name__.lower()}") for kind in get_args(Event)}
        self.on: dict[type, Callable[[Any], None]] = handlers

    def adopt(self, settings: Settings) -> None:
        """Settings to decide by from now on."""
        self.set = settings
        self.worth.adopt(settings)
        self.by_probe = settings.health_checks and settings.report_source is not ReportSource.NONE
        self.field = next((f for f in COMPARED if f in settings.report_fields), "")
        self.use_ring = settings.connection_groups or settings.passthrough
        self.cross = CROSSING * settings.cross_zone_cost

    def handle(self, now: float, event: Event) -> list[Action]:
        self.now = now
        self.born = self.cold.born = now if self.born == NEVER else self.born
        self.out = []
        self.on[type(event)](event)
        return self.out

    # The list of servers

    def _on_endpointlist(self, e: EndpointList) -> None:
        if e.kind is EndpointListKind.FAILED:
            # Guards against a list service that drowns: each proxy waits longer after every failure.
            self.asking = False
            self.list_failures += 1
            self._ask_later(min(1.0, 0.1 * 2.0**self.list_failures) * (0.5 + self.random()))
            return
        if e.kind is not EndpointListKind.DELTA:
            named = {entry.name for entry in e.entries}
            for s in list(self.servers.values()):
                if s.name not in named:
                    self._set_phase(s, EndpointPhase.REMOVED)
        for entry in e.entries:
            self._entry(entry, e.kind is EndpointListKind.DELTA)
        self.n_log_n = len(self.ready) * math.log(max(1, len(self.ready)))
        if e.kind is not EndpointListKind.CACHED:
            self.asking, self.list_failures = False, 0
        elif self.set.polls_endpoints:
            self._ask_later(ASK_SPREAD * self.random() * min(1.0, self.set.proxy_count / 10))

    def _ask_later(self, part: float) -> None:
        if self.set.polls_endpoints and not self.asking:
            self.asking = True
            self.out.append(SetTimer(part * self.set.poll_within, "list"))

    def _known(self, name: str) -> _Server:
        return self.servers.setdefault(name, _Server(name))

    def _entry(self, e: EndpointEntry, renewed: bool) -> None:
        s = self._known(e.name)
        s.size = max(s.size, e.weight)
        if e.started_at > s.started_at:  # a new process: what was known of the old one is void
            s.started_at, s.load, s.unit, s.raw = e.started_at, None, 0.0, (None, None)
            s.silent, s.failed, s.out_until = 0, 0, 0.0
            s.seen_at = s.looked_at = s.told_at = NEVER
        elif s.cores and renewed and s.index >= 0 and e.phase is EndpointPhase.READY:
            # Where a phase changes, and in whole lists, the weight is the size and tells nothing of them.
            s.told, s.told_at = told.held(s.size, e.weight, s.cores), self.now
        s.zone, s.cell, s.weight, s.leaves_in = e.zone, e.cell, e.weight, e.stops_within
        s.is_local = not e.zone or not self.set.zone or e.zone == self.set.zone
        self._set_phase(s, e.phase)

    def _set_phase(self, s: _Server, phase: EndpointPhase) -> None:
        s.phase = phase
        if phase is EndpointPhase.READY and s.index < 0:
            s.index = len(self.ready)
            self.ready.append(s)
            ring.add(self.ring, s.name)
        elif phase is not EndpointPhase.READY and s.index >= 0:
            last = self.ready.pop()
            if last is not s:
                self.ready[s.index] = last
                last.index = s.index
            s.index = -1
            ring.remove(self.ring, s.name)
        if phase is EndpointPhase.READY:
            s.drains_at = 0.0
        elif s.held:
            self._empty(s)
        elif phase is EndpointPhase.REMOVED:
            self.servers.pop(s.name, None)

    # A request's way

    def _on_requestarrived(self, e: RequestArrived) -> None:
        r = self.reqs[e.request_id] = self._made(e, self.set.classes[e.class_name])
        again = e.retry or e.reconnect
        self.tokens = min(PROBES_SAVED, self.tokens + (PROBES_PER_RETURN if again else PROBES_PER_REQUEST))
        self._draw(r)

    def _made(self, e: RequestArrived, cls: ClassSettings) -> _Req:
        r = _Req(e.request_id, cls, self.now, e.deadline_at, self.set.max_attempts, e.reconnect, e.tenant)
        r.ring_key = (e.group or (e.key if self.set.passthrough else "")) if self.use_ring else ""
        r.worth = self.worth.of(cls, e.tenant)
        return r

    def _draw(self, r: _Req) -> None:
        """Draw a pair, and compare it now or when its probes are back."""
        if self.ending or self.now >= r.bound_until:
            return self._give_up(r)
        # Guards against attempts that keep it overrun: by the excess, some wait or are told to come again.
        if self.random() < self._excess():
            return self._wait(r)
        for _ in range(1 + REDRAWS):
            a = self._pick(r, None)
            if a is None:
                return self._wait(r)
            b = self._pick(r, a) or a
            r.pair = pair = (a, b)
            # Condition: crossing has a price and neither of the pair is near. It is drawn again, unless the
            # last pair was full or the draws are a group's.
            if a.is_local or b.is_local or self.cross <= 0 or r.redraws or r.ring_key:
                break
        if a is b or not self.by_probe:
            return self._decide(r)
        old = self.now - FRESH * r.cls.latency_objective
        r.waiting = 0
        for s in pair:
            if s.looked_at < old and self.tokens > 0:
                r.waiting += 1
                s.waiters.append(r)
                self._probe(s)
        if r.waiting == 0:
            self._decide(r)
        else:
            # Guards against a silent probe: a request never waits longer than this for one.
            left = r.deadline - GUARD - self.now
            self.out.append(SetTimer(max(0.0, min(HOLD * r.cls.latency_objective, left)), f"h{r.id}"))

    def _pick(self, r: _Req, other: _Server | None) -> _Server | None:
        """A uniform draw from the ready list, drawn again where a stated condition rules it out."""
        pool = self.ready
        if r.bound is not None:
            pool = [s for s in pool if self._group_of(s, r) == r.bound]
        n = len(pool)
        if n == 0 or (n == 1 and pool[0] is other):
            return None
        fallback = None
        for _ in range(DRAWS):
            on_ring = self._next_on_ring(r) if r.ring_key and r.bound is None else None
            s = on_ring or pool[int(self.random() * n)]
            # Guards against pushing a cold server over, all proxies together.
            if s is other or (is_cold(s, self.now, self.set) and not self._cold_may(s, r)):
                continue
            if s in r.tried or s.out_until > self.now:
                fallback = fallback or s
                continue
            return s
        return fallback if other is None else None

    def _next_on_ring(self, r: _Req) -> _Server | None:
        """Condition: connections of one group share work on a server. The draws come from where we hold it,
        then from a ring that all proxies share, in one order for each group, so that its connections meet.
        Guards against a large group that begins at a cold server while no reports tell what that bears."""
        told, s = self.capacity.per_size > 0, self.ready[int(self.random() * len(self.ready))]
        if not told and is_cold(s, self.now, self.set):
            return s
        if r.walk is None:
            homes = [s for s in self.ready if r.ring_key in s.teams]
            homes.sort(key=lambda s: -s.teams[r.ring_key])
            near = [self.servers[name] for name in ring.order(self.ring, r.ring_key, RING_WALK)]
            r.walk = homes + [s for s in near if s not in homes]
        for k in range(r.walk_at, len(r.walk)):
            r.walk_at, s = k + 1, r.walk[k]
            if s.index >= 0 and (told or not is_cold(s, self.now, self.set)):
                return s
        return None

    def _cold_may(self, s: _Server, r: _Req) -> bool:
        """Thin draws of a cold server by its budget, and a large group's more: all begin it there."""
        chance = self.cold.chance(self.now, s, self.ready, self.came, self.set)
        if r.ring_key and (team := sum(o.teams.get(r.ring_key, 0) for o in self.ready)):
            chance *= min(1.0, (1.0 + len(self.reqs) / len(self.ready)) / team)
        return self.random() < chance

    def beta(self, older_age: float) -> float:
        """The chance of a two-way comparison, for figures of which the older has this age."""
        b = self.stood.get(self.now) * self.set.proxy_count * older_age
        if b <= self.n_log_n:
            return 1.0
        return min(1.0, BETA_SCALE * math.sqrt(self.n_log_n / b))

    def _own(self, s: _Server) -> float:
        """Our own placements on a server of late."""
        return s.own * math.exp((s.own_at - self.now) / OWN_MEMORY)

    def _load(self, s: _Server) -> float | None:
        """The last reported load, and what the list has told since of connections that came and went."""
        if s.told_at <= s.seen_at or (unit := self._unit(s)) <= 0:
            return s.load
        if s.load is None:
            return s.told * unit
        return s.load if s.raw[1] is None else max(0.0, s.load + unit * (s.told - s.raw[1]))

    def _is_home(self, s: _Server, r: _Req) -> bool:
        """Whether the request's group is held to stand there: where we hold it, or where its draws begin, as
        those of all proxies do. What each holds alone says too little where many proxies hold few each."""
        return not r.ring_key or r.ring_key in s.teams or s in (r.walk or ())[:1]

    def _figure(self, s: _Server, r: _Req) -> float | None:
        """The last probed load, with what we know it cannot show yet, the price of crossing, and what the
        request's group would add where it is not at home, with one to follow."""
        if (load := self._load(s)) is None:
            return None
        added = self._own(s) + (0.0 if self._is_home(s, r) else TEAM_LOADS + 1.0)
        figure = load + self._unit(s) * added
        return figure if s.is_local else figure + self.cross

    def _has_room(self, s: _Server, r: _Req) -> bool:
        """Whether a server has room for the connections that all proxies may be about to give it.

        Guards against a server with a little room that every proxy sees at once: each takes it with the
        chance that makes them, together, fill the room and not more."""
        age = self.now - max(s.seen_at, s.told_at)
        load = self._load(s)
        # Guards against frozen reports: one older than any delay says nothing of room, so trust the draw.
        if load is None or (unit := self._unit(s)) <= 0 or s.looked_at - s.seen_at > 2 * REPORTS_BEHIND:
            return True
        # What the list has told since the report has our own connections in it, and needs no guess.
        load = load * (1.0 if s.told_at > s.seen_at else self._growth()) + unit * self._own(s)
        # The least worth is refused first, and a group's first on a server takes the room of several.
        room = (ROOM_TO - LOW_WORTH * (1.0 - r.worth) - load) / unit
        room -= 0.0 if self._is_home(s, r) else TEAM_LOADS
        if room <= 0:
            return False
        pace = self.figures.pace()
        lag = pace + min(age, pace)  # over longer, those who leave make room for those who come
        rivals = 2.0 * self.came.get(self.now) * self.set.proxy_count * lag / max(1, len(self.ready))
        return rivals <= room or self.random() * rivals < room

    def _unit(self, s: _Server) -> float:
        """What one connection adds to a server's load. Guards against an empty server, whose reports can't
        say it, that every proxy would fill at once: what is seen elsewhere, by size, stands for it."""
        self.capacity.look(self.now, self.ready, self.set)
        return s.unit if s.unit and (s.raw[1] or 0) >= SURE_FROM else self.capacity.unit(s.size) or s.unit

    def _growth(self) -> float:
        """How far our own connections have outgrown their usual number, which reports may not show."""
        n = len(self.reqs)
        self.usual.seen(self.now, n, REPORTS_BEHIND)
        if self.now - self.born < REPORTS_BEHIND and not self.began_with:
            return 1.0
        return max(1.0, (n + 1.0) / (self.usual.number + 1.0))

    def _decide(self, r: _Req) -> None:
        """Keep one of the drawn pair."""
        assert r.pair is not None
        if self.now >= r.bound_until:  # it waited for its probes for too long
            return self._give_up(r)
        a, b = r.pair
        r.pair, r.waiting = None, 0
        # Guards against a server that began to drain, or went, while its probe was out.
        if a.index < 0 or b.index < 0:
            a = b = b if a.index < 0 else a
            if a.index < 0:
                return self._draw(r)
        keep = a
        if a is not b:
            if self.by_probe or self.set.report_source is ReportSource.ANSWERS:
                fa, fb = self._figure(a, r), self._figure(b, r)
                oldest = min(max(s.seen_at, s.told_at) for s in (a, b))
                age = 0.0 if None in (fa, fb) else self.now - oldest
            elif self.set.weight_meaning is WeightMeaning.LIVE:
                fa, fb, age = 1.0 / max(a.weight, 1e-9), 1.0 / max(b.weight, 1e-9), 0.0
            else:  # no reports at all: our own connections are all that can be counted
                fa, fb, age = len(a.held) / max(a.weight, 1e-9), len(b.held) / max(b.weight, 1e-9), 0.0
            if self.random() < self.beta(age):
                if fa is None or fb is None or fa == fb:
                    tied = [s for s in (a, b) if is_cold(s, self.now, self.set)] or [a, b]  # thinned once
                    keep = tied[int(self.random() * len(tied))]
                else:
                    keep = a if fa < fb else b
        if self.by_probe:
            # Condition: what is kept is full, or costs as much by crossing: draw again, keep the lightest.
            figure = self._figure(keep, r)
            best = r.best
            if best is not None and best.index >= 0 and best not in r.tried:
                other = self._figure(best, r)
                if other is not None and (figure is None or other < figure):
                    keep, figure = best, other
            room = self._has_room(keep, r)
            if not room or (figure is not None and figure >= FULL_AT):
                r.best = keep
                if r.redraws < REDRAWS and self.now - r.arrived < FRESH * r.cls.latency_objective:
                    r.redraws += 1
                    return self._draw(r)
                # Condition: no pair drawn has room. One more would spoil what is held: come again later.
                if not room:
                    return self._give_up(r)
        self._send(r, keep)

    def _excess(self) -> float:
        """Condition: most attempts of late failed, wherever they went: what all servers share is overrun."""
        stood, lost = self.stood.late(self.now), self.lost.late(self.now)
        return (lost - stood - FEW) / (lost + stood + 1.0)

    def _send(self, r: _Req, s: _Server) -> None:
        left = r.deadline - self.now
        # The last attempt, and one that would only repeat its cost, has all the time left, others until the
        # aim is left for one more. Guards against a wave that slows all servers: work done twice buries them.
        last = r.most - r.attempts <= 1 or self._excess() > 0
        timeout = left if last else max(min(left, r.cls.latency_objective), left - r.cls.latency_objective)
        r.attempts += 1
        r.sent_at = self.now
        # What all proxies are about to give a server is what they send: arrivals refused put nothing on any.
        self.came.add(self.now)
        r.out = True
        r.server = s
        r.best, r.redraws = None, 0
        r.tried.append(s)
        s.own = self._own(s) + 1.0
        s.own_at = self.now
        if s.failed >= OUT_FROM:  # one at a time finds out whether it is back
            s.out_until = self.now + OUT_FIRST
        self.out.append(Forward(r.id, s.name, timeout, r.bound_until - self.now))

    def _group_of(self, s: _Server, r: _Req) -> Any:
        group = r.cls.deduplication_scope
        return (
            s.zone
            if group is DeduplicationScope.ZONE
            else s.cell
            if group is DeduplicationScope.CELL
            else True
        )

    def _out(self, s: _Server, times: int) -> None:
        """Condition: probes or attempts came to nothing, several in a row. Draws pass the server by for a
        while, longer each time, unless nothing else can be drawn."""
        if times >= OUT_FROM:
            s.out_until = self.now + min(OUT_MOST, OUT_FIRST * 2.0 ** (times - OUT_FROM))

    def _wait(self, r: _Req) -> None:
        """Nothing may be sent to now: look again soon, and refuse when the aim has passed."""
        if self.now - r.arrived >= r.cls.latency_objective or r.deadline - self.now <= 2 * GUARD:
            return self._give_up(r)
        wait = min(r.cls.latency_objective / 4 * (0.5 + self.random()), r.deadline - GUARD - self.now)
        self.out.append(SetTimer(max(0.0, wait), f"h{r.id}"))

    def _give_up(self, r: _Req) -> None:
        """The one final answer, where no attempt is out: a refusal if that is true, else a failure."""
        r.done = True
        del self.reqs[r.id]
        may_refuse = not r.maybe_ran or r.cls.idempotency is Idempotency.IDEMPOTENT
        if (
            r.cls.idempotency is Idempotency.KEYED
            and r.maybe_ran
            and r.cls.deduplication_scope is DeduplicationScope.ALL
        ):
            may_refuse = self.now < r.bound_until
        most = min(LEAVE_LAG, self.set.max_retry_after) if self.ending else self.set.max_retry_after
        after = most * (0.5 + 0.5 * self.random())
        self.out.append(Reject(r.id, after) if may_refuse else Fail(r.id))

    # What comes back

    def _on_connectionestablished(self, e: ConnectionEstablished) -> None:
        r = self.reqs.get(e.request_id)
        if r is None or r.server is None:
            return
        r.standing = True
        s = r.server
        s.silent, s.failed, s.out_until = 0, 0, 0.0  # whatever its probes say, it serves
        self._hold(s, r)
        if s.phase is not EndpointPhase.READY:  # it began to drain while this one was set up
            self._empty(s)
        self.stood.add(self.now)
        if r.again and self.owed >= 1.0:
            self.owed -= 1.0
        elif r.again:  # no growth: it stood at another proxy, and the reports had it all along
            self.usual.number += 1.0
        self._start_ticking()

    def _hold(self, s: _Server, r: _Req) -> None:
        s.held[r.id] = r
        self.worth.stands(r.tenant, 1)
        s.teams[r.ring_key] = s.teams.get(r.ring_key, 0) + 1

    def _let_go(self, s: _Server, r: _Req) -> bool:
        if s.held.pop(r.id, None) is None:
            return False
        self.worth.stands(r.tenant, -1)
        s.teams[r.ring_key] -= 1
        if not s.teams[r.ring_key]:
            del s.teams[r.ring_key]
        return True

    def _on_attemptended(self, e: AttemptEnded) -> None:
        if e.report and e.endpoint in self.servers:
            self._read(self.servers[e.endpoint], e.report)
        r = self.reqs.get(e.request_id)
        if r is None:
            return
        s = r.server
        r.out = False
        if s is not None:
            held = self._let_go(s, r)
            broke = held and e.result is AttemptResult.RESET
            self.owed += broke
            if broke and not s.held and s.phase is EndpointPhase.DRAINING and not s.leaves_in:
                self.lead = max(0.3, min(self.lead, self.now - s.drains_at))  # it stopped before the end
            if s.phase is EndpointPhase.REMOVED and not s.held:
                self.servers.pop(s.name, None)
        if e.settled or r.done or r.standing:
            r.done = True
            del self.reqs[r.id]
            return
        if s is not None and e.result not in (
            AttemptResult.FULL,
            AttemptResult.CANCELLED,
            AttemptResult.NOT_SENT,
        ):
            s.failed += 1
            self._out(s, s.failed if self._excess() <= 0 else 0)  # what fails anywhere is no server's fault
            if e.result is not AttemptResult.CONNECT_FAILED:
                self.lost.add(self.now)
        if e.result not in NEVER_RAN:
            r.maybe_ran = True
            if r.cls.idempotency is Idempotency.KEYED and r.bound is None and s is not None:
                r.bound, r.bound_until = self._group_of(s, r), r.sent_at + r.cls.deduplication_window
        left = r.deadline - self.now
        spent = r.attempts >= r.most or left <= 2 * GUARD or e.result is AttemptResult.NOT_SENT
        if spent or (r.maybe_ran and r.cls.idempotency is Idempotency.NON_IDEMPOTENT):
            self._give_up(r)
        else:
            self._draw(r)

    def _on_clientdisconnected(self, e: ClientDisconnected) -> None:
        if (r := self.reqs.get(e.request_id)) is not None:
            r.done = True
            if not r.out:
                del self.reqs[r.id]

    def _on_connectioninherited(self, e: ConnectionInherited) -> None:
        q = e.request
        classes = self.set.classes
        r = self._made(q, classes.get(q.class_name) or next(iter(classes.values())))  # a reload took it
        s = self._known(e.endpoint)
        r.attempts, r.out, r.standing, r.server = 1, True, True, s
        self._hold(s, r)
        if s.phase is EndpointPhase.DRAINING:
            self._empty(s)
        self.reqs[r.id] = r
        self.began_with += 1
        self.usual.number += 1.0  # it is in the reports already
        self._start_ticking()

    # Probes, and moving what stands on a full server

    def _probe(self, s: _Server) -> None:
        if s.probing < self.now - 1.0:
            s.probing = self.now
            self.tokens -= 1
            self.out.append(CheckHealth(s.name))

    def _on_healthcheckended(self, e: HealthCheckEnded) -> None:
        s = self.servers.get(e.endpoint)
        if s is None:
            return
        s.probing = NEVER
        if e.result is AttemptResult.OK:
            if e.report:
                self._read(s, e.report)
            s.silent = 0
            if s.failed < OUT_FROM:
                s.out_until = 0.0
            self.answering += 0.05 * (1.0 - self.answering)
        elif e.result is not AttemptResult.FULL:  # its probes are capped: no sign of trouble
            s.silent += 1
            self._out(s, s.silent)
            self.answering -= 0.05 * self.answering
        waiters, s.waiters = s.waiters, []
        for r in waiters:
            if r.pair is not None and s in r.pair and not r.done and not r.out:
                r.waiting -= 1
                if r.waiting <= 0:
                    self._decide(r)
        if s.held:
            self._relieve(s)

    def _read(self, s: _Server, report: Mapping[str, float]) -> None:
        value = report.get(self.field)
        count = report.get("inflight")
        # Guards against absurd reports: one that is no number, or negative, says nothing.
        if value is None or not 0.0 <= value < math.inf:
            return
        gap = self.now - s.looked_at
        same = (value, count) == s.raw and value > 0
        self.figures.saw(gap, same)
        s.looked_at = self.now
        if same:
            return  # the same report again: its figure is older than its probe
        self.figures.changed(gap, s.raw, (value, count))
        s.raw = (value, count)
        s.seen_at = self.now
        if self.set.weight_meaning is WeightMeaning.LIVE:
            s.cores = told.cores(s.cores, s.size, s.weight, count)
        piled = report.get("x1", 0.0)
        if self.field == "inflight":
            value /= max(s.weight, 1e-9)
        elif count is not None and value < HANGS and count >= (SURE_FROM if s.unit else 1.0):
            unit = min(1.0, value / count)
            # Guards against a few slow servers that make all the others look too full to take any.
            s.unit += 0.3 * (unit - s.unit) if s.unit else unit
        s.load = value + (piled if 0.0 < piled < math.inf else 0.0)

    def _relieve(self, s: _Server) -> None:
        """Condition: a server that holds our connections is near or over its capacity, or leaves several
        probes in a row unanswered while most others answer: what hangs or is cut off serves nobody.
        Every proxy sees the same, and each moves its own part of the excess."""
        load = self._load(s) if self.field != "inflight" else None
        if s.silent:
            load = 2.0 if s.silent >= SILENT and self.answering > 0.5 else None
        # Guards against noise and lateness of reports: on one high figure servers with room were emptied.
        wide = 1.0 if s.silent else 1.0 + self.figures.noise
        unseen = not s.silent and self.now < s.shown_by and (s.raw[1] or 0.0) > s.shown_at
        if load is None or load < MOVE_AT * wide or self.now < s.rest_until or unseen:
            return
        # Guards against moves that no other server has room for: their clients would only be refused.
        others = [(self._load(o) or 0.0, o.unit) for o in self.ready if o is not s and o.unit > 0]
        room = math.inf if s.silent else sum(max(0.0, ROOM_TO - full) / unit for full, unit in others)
        room /= self.set.proxy_count
        count = int(min(len(s.held) * (load - MOVE_TO * wide) / load, room) + self.random())
        s.rest_until = self.now + MOVE_REST * self.figures.pace() * (0.75 + 0.5 * self.random())
        if count:
            if s.raw[1]:
                s.shown_by, s.shown_at = self.now + REPORTS_BEHIND, s.raw[1] - MOVE_SHOWN * count
            # The least worth goes first, as where no server has room it is what will be refused, and the
            # smallest group, as with its last connection goes what the server pays for it.
            order = [(s.teams[r.ring_key] * r.worth * (0.5 + self.random()), r) for r in s.held.values()]
            self._move([r for _, r in sorted(order, key=lambda each: each[0])[:count]])

    def _move(self, reqs: list[_Req]) -> None:
        for r in reqs:
            if r.server is not None:
                self._let_go(r.server, r)
            r.done = True
            self.owed += 1.0
            self.out.append(Migrate(r.id))

    def _empty(self, s: _Server) -> None:
        """Condition: a server drains or is gone. What stands is moved before it leaves, not in one wave."""
        if s.drains_at <= 0.0:
            s.drains_at = self.now
            first, last = LEAD_FROM * self.lead, LEAD_TO * self.lead
            if s.leaves_in:
                first, last = SOON_FROM * s.leaves_in, SOON_TO * s.leaves_in
            if s.phase is EndpointPhase.REMOVED:
                first, last = 0.0, GONE_TIME
            s.empty_by = self.now + last
            self.out.append(SetTimer(first + LEAVE_TICK * self.random(), f"e{s.name}"))

    def _on_proxydraining(self, e: ProxyDraining) -> None:
        """Condition: this proxy itself stops. All that it holds is moved by then, paced likewise. Where its
        process ends, what waits is refused at once: a connection stood up now would only be moved."""
        self.empty_by = min(self.empty_by or e.deadline_at, e.deadline_at)
        self.ending = self.ending or e.process_ends
        for r in [r for r in self.reqs.values() if self.ending and not r.out and not r.done]:
            self._give_up(r)
        if not self.leave_due:
            self.leave_due = True
            self.out.append(SetTimer(min(LEAVE_LAG, max(0.0, e.deadline_at - self.now)), "leave"))

    def _on_proxyresumed(self, e: ProxyResumed) -> None:
        """Condition: this proxy stays after all, with what it still holds."""
        self.empty_by = self.owed = 0.0

    def _move_part(self, held: list[_Req], by: float, token: str) -> None:
        """Move a share of what is left, so that all are moved by then; the worthiest first."""
        rounds = max(1, int((by - self.now) / LEAVE_TICK))
        held.sort(key=lambda r: r.cls.priority_weight * (0.5 + self.random()), reverse=True)
        self._move(held[: math.ceil(len(held) / rounds)])
        self.out.append(SetTimer(LEAVE_TICK, token))

    def _on_connectionobserved(self, e: ConnectionObserved) -> None:
        """Messages take long at a server: look at it. Or a connection's load is told."""
        if e.load and (r := self.reqs.get(e.request_id)) is not None:
            self.worth.told(r.cls.name, e.load)
        s = self.servers.get(e.endpoint)
        slow = e.message_delay is not None and self.by_probe and self.tokens > PROBES_KEPT
        if s is not None and slow and s.looked_at < self.now - LOOK_FAST:
            self._probe(s)

    def _start_ticking(self) -> None:
        if self.by_probe and not self.ticking:
            self.ticking = True
            self.out.append(SetTimer(LOOK_FAST * (0.5 + self.random()), "look"))

    def _look(self) -> None:
        """Probe servers that hold our connections: often where full, seldom where idle."""
        nearest = LOOK_SLOW
        seen = [s for s in self.servers.values() if s.held]
        for s in seen:
            idle = max(0.0, MOVE_AT - s.load) if s.load is not None else 0.5
            due = s.looked_at + min(LOOK_SLOW, LOOK_FAST * (1.0 + 5.0 * idle)) - self.now
            if due <= 0.1:
                if self.tokens > PROBES_KEPT and self.by_probe:
                    self._probe(s)
                due = LOOK_FAST
            nearest = min(nearest, due)
        self.ticking = bool(seen) and self.by_probe
        if self.ticking:
            self.out.append(SetTimer(max(0.5, nearest) * (0.75 + 0.5 * self.random()), "look"))

    def _on_timerfired(self, e: TimerFired) -> None:
        if e.token == "look":
            self._look()
        elif e.token == "list":
            self.out.append(WatchEndpoints())
        elif e.token == "leave":
            self.leave_due = self.empty_by > 0.0
            if self.leave_due:
                every = [r for s in self.servers.values() for r in s.held.values()]
                self._move_part(every, self.empty_by, e.token)
        elif e.token[:1] == "e":
            s = self.servers.get(e.token[1:])
            if s is not None and s.drains_at > 0.0 and s.held:
                self._move_part(list(s.held.values()), s.empty_by, e.token)
        elif e.token[:1] == "h":
            r = self.reqs.get(int(e.token[1:]))
            if r is None or r.done or r.out or r.standing:
                return
            if r.deadline - self.now <= 2 * GUARD:
                self._give_up(r)
            elif r.pair is not None:  # a probe of it is silent: one that answered wins over one that did not
                a, b = r.pair
                if (a.probing > NEVER) != (b.probing > NEVER):
                    r.pair = (b, b) if a.probing > NEVER else (a, a)
                self._decide(r)
            else:
                self._draw(r)
