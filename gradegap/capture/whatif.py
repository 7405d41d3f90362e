"""The same day under another module or other settings. No I/O.

Unlike a replay, in which each event is the recorded one, the world here answers what this module does: with
what the record shows of that server at about that time. An answer is *near* where the server was heard
within 1 s, *far* within 5 s, *modelled* where it was not heard by then. A report is corrected by the
connections that this module has given the server more, or less, than the record's had. From the first
answer that is not near on, the record alone is no proof of what follows; how many of each there were is
told.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from types import ModuleType
from typing import Any

import msgspec

from gradegap.balancing.actions import CheckHealth, Fail, Forward, Migrate, Reject, SetTimer
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.settings import Settings
from gradegap.capture import records
from gradegap.capture.errors import BadRecordError, BadWhatIfError
from gradegap.capture.evidence import PROBE_WAIT, Client, Evidence, Word, gathered
from gradegap.capture.judge import Figures, Judge
from gradegap.capture.recording import Item, SettingsChange, Step

NEAR, FAR = 1.0, 5.0  # s
TRIES = 3  # that a client makes which the record did not show to come more often
AGAIN = 0.5  # s after which a client comes again that was told no time
TAIL = 3.0  # s behind the record, within which what is under way comes to its end
MOST_EVENTS = 20_000_000


@dataclass(slots=True)
class Result:
    """How clients were served as recorded, and how as played."""

    recorded: Figures
    played: Figures
    violations: list[str]
    answers: Counter[str] = field(default_factory=Counter)  # near, far, modelled
    first_other: tuple[float, int, str, str] | None = None  # clock, req, the record's server, this one's
    evidence_ends: float | None = None  # clock of the first answer that was not near
    gaps: list[str] = field(default_factory=list)


def changed(settings: Settings, wishes: Iterable[str]) -> Settings:
    """Settings with `name=value` in the place of some.

    Raises `BadWhatIfError` for a setting that there is not, or a value that it can't have.
    """
    raw = records.plain_settings(settings)
    for wish in wishes:
        name, equals, value = wish.partition("=")
        if not equals or name not in raw or isinstance(raw[name], dict | list | tuple):
            plain = sorted(k for k, v in raw.items() if not isinstance(v, dict | list | tuple))
            raise BadWhatIfError(f"{name!r} is no setting; there are {', '.join(plain)}")
        try:
            raw[name] = msgspec.convert(value, type(raw[name]), strict=False)
        except msgspec.ValidationError as error:
            raise BadWhatIfError(f"{wish!r}: {str(error)[:120]}") from None
    try:
        return records.settings(raw)
    except BadRecordError as error:
        raise BadWhatIfError(str(error)) from None


def whatif(source: Iterable[Item], module: ModuleType, wishes: Iterable[str] = ()) -> Result:
    """A capture's day played with `module`, under its settings with `wishes` in the place of some.

    It begins with a new module, so a capture should begin where its node did. `BadWhatIfError` where there is
    nothing to play.
    """
    items = list(source)
    evidence = gathered(items)
    if not evidence.start or not evidence.lists:
        raise BadWhatIfError("it has no state or no list of servers to begin with")
    settings = records.settings(evidence.start["settings"])
    judge = Judge(settings)
    for item in items:
        match item:
            case SettingsChange():
                judge.settings = item.settings
            case Step():
                judge.see(item.at, item.event, item.actions)
                if item.at >= evidence.ended:
                    break
            case _:
                pass
    wanted = list(wishes)
    world = _World(evidence, module, changed(settings, wanted), wanted)
    return world.run(judge.end())


class _World:
    def __init__(self, evidence: Evidence, module: ModuleType, settings: Settings, wishes: list[str]) -> None:
        self.e, self.settings, self.wishes = evidence, settings, wishes
        self.balancer = module.Balancer(settings, int(evidence.start.get("seed") or 0))
        self.judge = Judge(settings)
        self.now = evidence.began
        self.heap: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self.count = 0
        self.next_id = 1 + max([0, *(c.request.request_id for c in evidence.clients)])
        self.clients: dict[int, Client] = {}
        self.tries: Counter[int] = Counter()  # by the client's first req
        self.attempts: Counter[int] = Counter()
        self.out: dict[int, tuple[str, int]] = {}  # server, number of the attempt
        self.standing: dict[int, str] = {}
        self.answered: set[int] = set()
        self.deadline: dict[int, float] = {}
        self.held: Counter[str] = Counter()
        self.leaving = False  # the node is, by its record
        self.result = Result(Figures(), Figures(), [])

    def at(self, when: float, what: Any, *args: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, what, args))

    def run(self, recorded: Figures) -> Result:
        e = self.e
        for at, listed in (*e.lists, *e.others):
            self.at(at, self.feed, listed)
        for at, settings in e.adopted:
            self.at(at, self.adopt, settings)
        for at, inherited in e.inherited:
            self.at(at, self.inherit, inherited)
        for client in e.clients:
            self.at(client.at, self.come, client, client.request, client.at)
        for server, times in e.breaks.items():
            for when in sorted(set(times)):
                self.at(when, self.broken, server)
        while self.heap and self.heap[0][0] <= e.ended + TAIL and self.count < MOST_EVENTS:
            self.now, _, what, args = heapq.heappop(self.heap)
            what(*args)
        self.judge.now = self.now
        self.result.recorded, self.result.played = recorded, self.judge.end()
        self.result.violations, self.result.gaps = self.judge.violations, e.gaps
        return self.result

    def feed(self, event: Any) -> None:
        if isinstance(event, ProxyDraining | ProxyResumed):
            self.leaving = isinstance(event, ProxyDraining)
        actions = self.balancer.handle(self.now, event)
        self.judge.see(self.now, event, actions)
        for a in actions:
            match a:
                case Forward():
                    self.send(a)
                case Reject():
                    self.told(a.request_id, a.retry_after or AGAIN)
                case Fail():
                    self.told(a.request_id, AGAIN)
                case Migrate():
                    self.move(a.request_id)
                case SetTimer():
                    self.at(self.now + max(0.0, a.delay), self.feed, TimerFired(a.token))
                case CheckHealth():
                    self.probe(a.endpoint)
                case _:
                    pass

    def adopt(self, settings: Settings) -> None:
        self.settings = self.judge.settings = changed(settings, self.wishes)
        self.balancer.adopt(self.settings)

    # Clients

    def come(self, client: Client, request: RequestArrived, at: float) -> None:
        self.clients[request.request_id] = client
        self.deadline[request.request_id] = request.deadline_at
        self.tries[client.request.request_id] += 1
        self.at(request.deadline_at, self.overdue, request.request_id)
        self.feed(request)

    def again(self, client: Client, reconnect: bool, after: float) -> None:
        """A client that comes again, under a new number."""
        first = client.request
        made = first._replace(
            request_id=self.next_id,
            deadline_at=self.now + after + first.deadline_at - client.at,
            retry=not reconnect,
            reconnect=reconnect,
        )
        self.next_id += 1
        self.at(self.now + after, self.come, client, made, self.now + after)

    def inherit(self, event: ConnectionInherited) -> None:
        r = event.request
        self.clients[r.request_id] = Client(r, self.now)
        self.answered.add(r.request_id)
        self.standing[r.request_id] = event.endpoint
        self.held[event.endpoint] += 1
        self.feed(event)

    def told(self, req: int, after: float) -> None:
        """Refused or failed: the client comes again, as often as it did or would."""
        if req in self.answered:
            return
        self.answered.add(req)
        sent = self.out.pop(req, None)
        if sent is not None:
            self.at(
                self.now, self.feed, AttemptEnded(req, sent[1], sent[0], AttemptResult.CANCELLED, 0.0, True)
            )
        client = self.clients.pop(req, None)
        if client is None or (client.lasts is not None and client.lasts <= self.now and client.times == 1):
            return  # the record has it give up, too
        if self.tries[client.request.request_id] < max(TRIES, client.times):
            self.again(client, False, after)

    def overdue(self, req: int) -> None:
        """As the core does: whoever has no answer by now is told that there is none."""
        if req not in self.answered and req in self.clients:
            self.feed(ClientDisconnected(req))
            self.told(req, AGAIN)

    def leave(self, req: int) -> None:
        """A client ends its connection of its own accord."""
        if req in self.standing:
            self.end(req, AttemptResult.CANCELLED)

    def end(self, req: int, result: AttemptResult) -> Client | None:
        server = self.standing.pop(req)
        self.held[server] -= 1
        client = self.clients.pop(req, None)
        self.feed(AttemptEnded(req, 0, server, result, 0.0, True))
        return client

    def move(self, req: int) -> None:
        if req in self.standing:
            self.at(self.now, self.go, req, AttemptResult.CANCELLED)

    def go(self, req: int, result: AttemptResult) -> None:
        if req in self.standing:
            client = self.end(req, result)
            if client is not None and not self.leaving:  # else it goes to another node
                self.tries[client.request.request_id] = 0
                self.again(client, True, self.e.returns)

    def broken(self, server: str) -> None:
        """The record has connections of that server broken at this moment; so are this module's."""
        for req in [r for r, s in self.standing.items() if s == server]:
            self.go(req, AttemptResult.RESET)

    # Servers

    def weigh(self, word: Word | None) -> Word | None:
        """How good the evidence is, counted; None where it is none."""
        far = abs(word.at - self.now) if word is not None else 1e9
        kind = "near" if far <= NEAR else "far" if far <= FAR else "modelled"
        self.result.answers[kind] += 1
        if kind != "near" and self.result.evidence_ends is None:
            self.result.evidence_ends = self.now
        return word if far <= FAR else None

    def may_send(self, server: str) -> bool:
        told = self.judge.told_at.get(server)
        return told is None or self.now < told + self.settings.drain_grace

    def send(self, a: Forward) -> None:
        req = a.request_id
        if req in self.answered or req in self.out:
            return  # the judge has said so
        client = self.clients.get(req)
        if client is not None and req == client.request.request_id and not self.attempts[req]:
            other = client.first != a.endpoint
            if other and self.result.first_other is None:
                self.result.first_other = (self.now, req, client.first or "none", a.endpoint)
        number = self.attempts[req]
        self.attempts[req] += 1
        self.out[req] = (a.endpoint, number)
        if a.endpoint not in self.judge.phase or not self.may_send(a.endpoint):
            self.at(self.now, self.over, req, number, AttemptResult.NOT_SENT, 0.0)
            return
        word = self.weigh(self.e.nearest(a.endpoint, self.now))
        result, spent = (word.result, word.spent) if word is not None else (AttemptResult.OK, self.e.up_takes)
        if word is not None and word.probe and result is AttemptResult.OK:
            spent = self.e.up_takes
        left = min(a.timeout, self.deadline[req] - self.now)
        if result is AttemptResult.TIMEOUT or spent >= left:
            # A server that was silent for as long as it was waited for is silent for longer, too.
            result, spent = AttemptResult.TIMEOUT, left
        if result is AttemptResult.OK:
            self.at(self.now + spent, self.up, req, number, spent)
        else:
            self.at(self.now + spent, self.over, req, number, result, spent)

    def up(self, req: int, number: int, spent: float) -> None:
        sent = self.out.get(req)
        if sent is None or sent[1] != number or req in self.answered:
            return
        del self.out[req]
        self.answered.add(req)
        self.standing[req] = sent[0]
        self.held[sent[0]] += 1
        client = self.clients[req]
        self.tries[client.request.request_id] = 0
        if client.lasts is not None:
            self.at(max(self.now, client.lasts), self.leave, req)
        self.feed(ConnectionEstablished(req, number, sent[0], spent))

    def over(self, req: int, number: int, result: AttemptResult, spent: float) -> None:
        sent = self.out.get(req)
        if sent is not None and sent[1] == number:
            del self.out[req]
            self.feed(AttemptEnded(req, number, sent[0], result, spent, False))

    def probe(self, server: str) -> None:
        if server not in self.judge.phase or not self.may_send(server):
            self.at(self.now, self.feed, HealthCheckEnded(server, AttemptResult.FULL, 0.0, None))
            return
        word = self.weigh(self.e.nearest(server, self.now))
        result = word.result if word is not None else AttemptResult.OK
        if result is AttemptResult.TIMEOUT:
            self.at(self.now + PROBE_WAIT, self.feed, HealthCheckEnded(server, result, PROBE_WAIT, None))
            return
        spent = min(word.spent, PROBE_WAIT) if word is not None and word.probe else self.e.up_takes
        report = self.report(server) if result in (AttemptResult.OK, AttemptResult.FULL) else None
        if result is AttemptResult.FULL:
            result = AttemptResult.OK  # it turned an attempt away, and tells its load
        self.at(self.now + spent, self.feed, HealthCheckEnded(server, result, spent, report))

    def report(self, server: str) -> dict[str, float] | None:
        word = self.e.last_report(server, self.now)
        if word is None or word.report is None:
            return None
        found = dict(word.report)
        count = found.get("inflight")
        more = self.held[server] - word.held
        if count is not None and more:
            each = found.get("x0", 0.0) / count if count >= 1 else 0.0
            found["inflight"] = max(0.0, count + more)
            if "x0" in found:
                found["x0"] = max(0.0, found["x0"] + more * each)
        return found
