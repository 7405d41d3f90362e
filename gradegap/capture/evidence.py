"""What a capture tells of the world behind it, whatever the module decided then. No I/O.

Lists, arrivals and clients' own ends are nobody's decision and hold for every module. What a server would
have said to an attempt that was not made is not in the record; what it said to others, a little before or
after, is. Each answer says how far in time the nearest word of that server was.
"""

from __future__ import annotations

import statistics
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from gradegap.balancing.actions import CheckHealth, Fail, Forward, Migrate, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    ConnectionInherited,
    EndpointList,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
)
from gradegap.balancing.settings import Settings
from gradegap.capture.recording import Gap, Item, SettingsChange, State, Step

RETURN = 0.4  # s from a MOVE or a break to the client's return, where the record shows none
PROBE_WAIT = 0.25  # s until a probe counts as unanswered, as in the core


class Word(NamedTuple):
    """What a server was heard to say, or not to."""

    at: float
    result: AttemptResult
    spent: float
    report: Mapping[str, float] | None
    held: int  # connections that this node had there
    probe: bool


@dataclass(slots=True)
class Client:
    """One that came of its own accord."""

    request: RequestArrived
    at: float
    first: str = ""  # the server that its first attempt went to, in the record
    lasts: float | None = None  # clock at which it ended its connection itself, or gave up; None: it did not
    times: int = 1  # that it came in all, for one connection


@dataclass(slots=True)
class Evidence:
    """What a record holds that no decision of the module made."""

    start: dict[str, Any] = field(default_factory=dict)
    began: float = 0.0
    ended: float = 0.0
    lists: list[tuple[float, EndpointList]] = field(default_factory=list)
    others: list[tuple[float, Any]] = field(default_factory=list)  # that the node leaves, or stays
    adopted: list[tuple[float, Settings]] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)
    inherited: list[tuple[float, ConnectionInherited]] = field(default_factory=list)
    words: dict[str, list[Word]] = field(default_factory=lambda: defaultdict(list))
    breaks: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    returns: float = RETURN
    up_takes: float = 0.005  # s that an attempt which stands takes
    gaps: list[str] = field(default_factory=list)

    def nearest(self, server: str, at: float) -> Word | None:
        """The word of that server that is nearest in time; an attempt's own wins over a probe's as near."""
        said = self.words.get(server)
        if not said:
            return None
        k = bisect_left(said, at, key=lambda w: w.at)
        near = said[max(0, k - 2) : k + 2]
        return min(near, key=lambda w: abs(w.at - at) + (0.05 if w.probe else 0.0))

    def last_report(self, server: str, at: float) -> Word | None:
        """The nearest word with a report."""
        said = self.words.get(server, [])
        k = bisect_left(said, at, key=lambda w: w.at)
        found = None
        for w in (*said[max(0, k - 12) : k][::-1], *said[k : k + 12]):
            if w.report is not None and (found is None or abs(w.at - at) < abs(found.at - at)):
                found = w
        return found


def gathered(source: Iterable[Item]) -> Evidence:
    """All that the record is evidence of. What comes behind a gap is left out: it began unseen."""
    gatherer = _Gatherer()
    for item in source:
        match item:
            case State():
                gatherer.begin(item)
            case Gap(reason):
                gatherer.evidence.gaps.append(reason)
                break
            case SettingsChange():
                gatherer.evidence.adopted.append((item.at, item.settings))
            case Step():
                gatherer.see(item)
    return gatherer.finish()


class _Gatherer:
    """Goes through a record's steps, and keeps what is under way between them."""

    def __init__(self) -> None:
        self.evidence = Evidence()
        self.asked: dict[str, Client] = {}  # clients' keys, with who came by them first
        self.clients: dict[int, Client] = {}  # by request
        self.attempts: dict[int, tuple[str, float]] = {}  # requests' attempts under way: server and clock
        self.standing: dict[int, str] = {}  # requests' connections: their servers
        self.moved: set[int] = set()
        self.left_at: dict[str, float] = {}  # clients' keys, with when they were moved or broke
        self.held: dict[str, int] = defaultdict(int)
        self.probing: dict[str, float] = {}
        self.delays: list[float] = []
        self.takes: list[float] = []

    def begin(self, state: State) -> None:
        evidence = self.evidence
        evidence.start = evidence.start or state.start
        evidence.began = evidence.began or state.at

    def see(self, step: Step) -> None:
        self.evidence.began = self.evidence.began or step.at
        self.evidence.ended = step.at
        self._see_event(step.at, step.event)
        for action in step.actions:
            self._see_action(step.at, action)

    def finish(self) -> Evidence:
        evidence = self.evidence
        for words in evidence.words.values():
            words.sort(key=lambda word: word.at)
        if self.delays:
            evidence.returns = statistics.median(self.delays)
        if self.takes:
            evidence.up_takes = statistics.median(self.takes)
        return evidence

    def _see_event(self, at: float, event: Any) -> None:
        match event:
            case EndpointList():
                self.evidence.lists.append((at, event))
            case ProxyDraining() | ProxyResumed():
                self.evidence.others.append((at, event))
            case ConnectionInherited():
                self.evidence.inherited.append((at, event))
                self._stands(event.request.request_id, event.endpoint)
            case RequestArrived():
                self._request(at, event)
            case ConnectionEstablished():
                self._established(at, event)
            case AttemptEnded():
                self._outcome(at, event)
            case HealthCheckEnded():
                self._probe_result(at, event)
            case _:
                pass

    def _see_action(self, at: float, action: Any) -> None:
        match action:
            case Forward():
                self.attempts[action.request_id] = (action.endpoint, at)
                client = self.clients.get(action.request_id)
                if client is not None and not client.first:
                    client.first = action.endpoint
            case Migrate():
                self.moved.add(action.request_id)
            case Reject() | Fail():
                # Unless it comes again, this was its last word.
                if (turned_away := self.clients.get(action.request_id)) is not None:
                    turned_away.lasts = at
            case CheckHealth():
                self.probing[action.endpoint] = at
            case _:
                pass

    def _stands(self, request: int, server: str) -> None:
        self.standing[request] = server
        self.held[server] += 1

    def _request(self, at: float, request: RequestArrived) -> None:
        before = self.asked.get(request.key) if request.key else None
        if before is None or not (request.retry or request.reconnect):
            self._new_client(at, request)
            return
        before.times += 1
        before.lasts = None
        self.clients[request.request_id] = before
        if (left_at := self.left_at.pop(request.key, None)) is not None:
            self.delays.append(at - left_at)

    def _new_client(self, at: float, request: RequestArrived) -> None:
        client = self.clients[request.request_id] = Client(request, at)
        self.evidence.clients.append(client)
        if request.key:
            self.asked[request.key] = client

    def _established(self, at: float, event: ConnectionEstablished) -> None:
        _, sent_at = self.attempts.pop(event.request_id, (event.endpoint, at))
        word = Word(sent_at, AttemptResult.OK, event.elapsed, None, self.held[event.endpoint], False)
        self.evidence.words[event.endpoint].append(word)
        self._stands(event.request_id, event.endpoint)
        self.takes.append(event.elapsed)

    def _probe_result(self, at: float, event: HealthCheckEnded) -> None:
        sent_at = self.probing.pop(event.endpoint, at)
        if event.result is AttemptResult.FULL:
            return  # the core's word, not the server's
        word = Word(sent_at, event.result, event.elapsed, event.report, self.held[event.endpoint], True)
        self.evidence.words[event.endpoint].append(word)

    def _outcome(self, at: float, event: AttemptEnded) -> None:
        server = self.standing.pop(event.request_id, None)
        if server is None:
            self._attempt_failed(at, event)
        else:
            self._connection_ended(at, event, server)

    def _attempt_failed(self, at: float, event: AttemptEnded) -> None:
        _, sent_at = self.attempts.pop(event.request_id, (event.endpoint, at))
        if event.result in (AttemptResult.NOT_SENT, AttemptResult.CANCELLED):
            return  # these are the node's own
        word = Word(sent_at, event.result, event.elapsed, event.report, self.held[event.endpoint], False)
        self.evidence.words[event.endpoint].append(word)

    def _connection_ended(self, at: float, event: AttemptEnded, server: str) -> None:
        self.held[server] -= 1
        broke = event.result is AttemptResult.RESET
        moved = event.request_id in self.moved
        if broke and not moved:
            self.evidence.breaks[server].append(at)
        client = self.clients.get(event.request_id)
        if client is None:
            return
        if moved or broke:
            self.left_at[client.request.key] = at
        else:
            client.lasts = at
