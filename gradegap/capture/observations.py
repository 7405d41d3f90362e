"""What a recording shows of the world behind it, whatever the module decided then. No I/O.

Endpoint lists, arrivals and clients' own ends are nobody's decision and hold for every module. What an
endpoint would have answered to an attempt that was not made is not in the recording; what it answered to
others, a little before or after, is. Whoever takes such an answer sees how far away in time it was.
"""

from __future__ import annotations

import statistics
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from gradegap.balancing.actions import Action, CheckHealth, Fail, Forward, Migrate, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    ConnectionInherited,
    EndpointList,
    Event,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
)
from gradegap.balancing.settings import Settings
from gradegap.capture.recording import Gap, Item, SettingsChange, State, Step

RETURN_DELAY_S = 0.4  # from a migration or a break to the client's return, where the recording shows none
CONNECT_TIME_S = 0.005  # of an attempt, where the recording shows none that was established
HEALTH_CHECK_TIMEOUT_S = 0.25  # after which a health check counts as unanswered, as in the proxy
HEALTH_CHECK_HANDICAP_S = 0.05  # an attempt's answer is taken before a health check's that is nearer by less
REPORT_NEIGHBOURS = 12  # answers before and after a time among which a load report is looked for


class Answer(NamedTuple):
    """What an endpoint answered, or that it did not."""

    at: float  # clock at which the attempt or health check was sent
    result: AttemptResult
    elapsed: float  # s
    report: Mapping[str, float] | None
    connections: int  # that this node had there
    is_health_check: bool


@dataclass(slots=True)
class Client:
    """One that came of its own accord."""

    request: RequestArrived
    arrived_at: float
    first_endpoint: str = ""  # that its first attempt went to, in the recording
    ended_at: float | None = (
        None  # clock at which it ended its connection itself, or gave up; None: it did not
    )
    arrivals: int = 1  # in all, for one connection


@dataclass(slots=True)
class Observations:
    """What a recording holds that no decision of the module made."""

    start: dict[str, Any] = field(default_factory=dict)
    began_at: float = 0.0
    ended_at: float = 0.0
    endpoint_lists: list[tuple[float, EndpointList]] = field(default_factory=list)
    proxy_events: list[tuple[float, ProxyDraining | ProxyResumed]] = field(default_factory=list)
    settings_changes: list[tuple[float, Settings]] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)
    inherited: list[tuple[float, ConnectionInherited]] = field(default_factory=list)
    answers: dict[str, list[Answer]] = field(default_factory=lambda: defaultdict(list))  # by endpoint
    breaks: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))  # by endpoint
    return_delay: float = RETURN_DELAY_S
    connect_time: float = CONNECT_TIME_S
    gaps: list[str] = field(default_factory=list)

    def nearest_answer(self, endpoint: str, at: float) -> Answer | None:
        """The answer of that endpoint that is nearest in time; an attempt's wins over a health check's."""
        answers = self.answers.get(endpoint)
        if not answers:
            return None
        k = bisect_left(answers, at, key=lambda answer: answer.at)

        def distance(answer: Answer) -> float:
            return abs(answer.at - at) + (HEALTH_CHECK_HANDICAP_S if answer.is_health_check else 0.0)

        return min(answers[max(0, k - 2) : k + 2], key=distance)

    def nearest_report(self, endpoint: str, at: float) -> Answer | None:
        """The nearest answer with a load report."""
        answers = self.answers.get(endpoint, [])
        k = bisect_left(answers, at, key=lambda answer: answer.at)
        before, after = answers[max(0, k - REPORT_NEIGHBOURS) : k], answers[k : k + REPORT_NEIGHBOURS]
        nearest = None
        for answer in (*before[::-1], *after):
            if answer.report is None:
                continue
            if nearest is None or abs(answer.at - at) < abs(nearest.at - at):
                nearest = answer
        return nearest


def observe(source: Iterable[Item]) -> Observations:
    """All that a recording shows. What comes behind a gap is left out: it began unseen."""
    observer = _Observer()
    for item in source:
        match item:
            case State():
                observer.begin(item)
            case Gap(reason):
                observer.found.gaps.append(reason)
                break
            case SettingsChange():
                observer.found.settings_changes.append((item.at, item.settings))
            case Step():
                observer.step(item)
    return observer.finish()


class _Observer:
    """Goes through a recording's steps, and keeps what is under way between them."""

    def __init__(self) -> None:
        self.found = Observations()
        self.clients_by_key: dict[str, Client] = {}
        self.clients: dict[int, Client] = {}  # by request
        self.attempts: dict[int, tuple[str, float]] = {}  # requests' attempts in flight: endpoint and clock
        self.established: dict[int, str] = {}  # requests' connections: their endpoints
        self.migrated: set[int] = set()
        self.left_at: dict[str, float] = {}  # clients' keys, with when they were migrated or broke
        self.connections: dict[str, int] = defaultdict(int)  # by endpoint
        self.health_checks: dict[str, float] = {}  # in flight, by endpoint: clock
        self.return_delays: list[float] = []
        self.connect_times: list[float] = []

    def begin(self, state: State) -> None:
        self.found.start = self.found.start or state.start
        self.found.began_at = self.found.began_at or state.at

    def step(self, step: Step) -> None:
        self.found.began_at = self.found.began_at or step.at
        self.found.ended_at = step.at
        self._event(step.at, step.event)
        for action in step.actions:
            self._action(step.at, action)

    def finish(self) -> Observations:
        for answers in self.found.answers.values():
            answers.sort(key=lambda answer: answer.at)
        if self.return_delays:
            self.found.return_delay = statistics.median(self.return_delays)
        if self.connect_times:
            self.found.connect_time = statistics.median(self.connect_times)
        return self.found

    def _event(self, at: float, event: Event) -> None:
        match event:
            case EndpointList():
                self.found.endpoint_lists.append((at, event))
            case ProxyDraining() | ProxyResumed():
                self.found.proxy_events.append((at, event))
            case ConnectionInherited():
                self.found.inherited.append((at, event))
                self._establish(event.request.request_id, event.endpoint)
            case RequestArrived():
                self._request_arrived(at, event)
            case ConnectionEstablished():
                self._connection_established(at, event)
            case AttemptEnded():
                self._attempt_ended(at, event)
            case HealthCheckEnded():
                self._health_check_ended(at, event)
            case _:
                pass

    def _action(self, at: float, action: Action) -> None:
        match action:
            case Forward():
                self.attempts[action.request_id] = (action.endpoint, at)
                client = self.clients.get(action.request_id)
                if client is not None and not client.first_endpoint:
                    client.first_endpoint = action.endpoint
            case Migrate():
                self.migrated.add(action.request_id)
            case Reject() | Fail():
                # Unless it comes again, this was its end.
                if (client := self.clients.get(action.request_id)) is not None:
                    client.ended_at = at
            case CheckHealth():
                self.health_checks[action.endpoint] = at
            case _:
                pass

    def _establish(self, request_id: int, endpoint: str) -> None:
        self.established[request_id] = endpoint
        self.connections[endpoint] += 1

    def _request_arrived(self, at: float, request: RequestArrived) -> None:
        known = self.clients_by_key.get(request.key) if request.key else None
        if known is None or not (request.retry or request.reconnect):
            self._new_client(at, request)
            return
        known.arrivals += 1
        known.ended_at = None
        self.clients[request.request_id] = known
        if (left_at := self.left_at.pop(request.key, None)) is not None:
            self.return_delays.append(at - left_at)

    def _new_client(self, at: float, request: RequestArrived) -> None:
        client = self.clients[request.request_id] = Client(request, at)
        self.found.clients.append(client)
        if request.key:
            self.clients_by_key[request.key] = client

    def _answered(
        self,
        endpoint: str,
        sent_at: float,
        result: AttemptResult,
        elapsed: float,
        report: Mapping[str, float] | None,
        is_health_check: bool = False,
    ) -> None:
        connections = self.connections[endpoint]
        answer = Answer(sent_at, result, elapsed, report, connections, is_health_check)
        self.found.answers[endpoint].append(answer)

    def _connection_established(self, at: float, event: ConnectionEstablished) -> None:
        _, sent_at = self.attempts.pop(event.request_id, (event.endpoint, at))
        self._answered(event.endpoint, sent_at, AttemptResult.OK, event.elapsed, None)
        self._establish(event.request_id, event.endpoint)
        self.connect_times.append(event.elapsed)

    def _health_check_ended(self, at: float, event: HealthCheckEnded) -> None:
        sent_at = self.health_checks.pop(event.endpoint, at)
        if event.result is AttemptResult.FULL:
            return  # it was the proxy that refused to send it
        self._answered(event.endpoint, sent_at, event.result, event.elapsed, event.report, True)

    def _attempt_ended(self, at: float, event: AttemptEnded) -> None:
        endpoint = self.established.pop(event.request_id, None)
        if endpoint is not None:
            self._connection_ended(at, event, endpoint)
            return
        _, sent_at = self.attempts.pop(event.request_id, (event.endpoint, at))
        if event.result in (AttemptResult.NOT_SENT, AttemptResult.CANCELLED):
            return  # these are the node's own
        self._answered(event.endpoint, sent_at, event.result, event.elapsed, event.report)

    def _connection_ended(self, at: float, event: AttemptEnded, endpoint: str) -> None:
        self.connections[endpoint] -= 1
        broken = event.result is AttemptResult.RESET
        migrated = event.request_id in self.migrated
        if broken and not migrated:
            self.found.breaks[endpoint].append(at)
        client = self.clients.get(event.request_id)
        if client is None:
            return
        if migrated or broken:
            self.left_at[client.request.key] = at
        else:
            client.ended_at = at
