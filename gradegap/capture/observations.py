"""Extracts from a recording the observations that do not depend on the decisions of the module. No I/O.

Endpoint lists, arrivals, and connections that clients close themselves are not decided by the balancer and
hold for every decision module. The answer of an endpoint to an attempt that was not made is not in the
recording; its answers to other attempts shortly before or after are. Each answer is stored with its clock, so
that a caller can tell its distance in time from the attempt.
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

# Assumed time from a migration or a reset to the client's reconnect, if the recording has no such reconnect.
DEFAULT_RETURN_DELAY_S = 0.4
# Assumed duration of an attempt, if the recording contains no established connection.
DEFAULT_CONNECT_TIME_S = 0.005
HEALTH_CHECK_TIMEOUT_S = 0.25  # the timeout of health checks in the proxy
# An answer to an attempt is preferred to an answer to a health check, unless the latter is nearer to the
# required time by more than this.
HEALTH_CHECK_HANDICAP_S = 0.05
REPORT_SEARCH_COUNT = 12  # number of answers before and after a time that are searched for a load report


class Answer(NamedTuple):
    """The answer of an endpoint to an attempt or health check, or its timeout."""

    at: float  # clock at which the attempt or health check was sent, s
    result: AttemptResult
    elapsed: float  # time from the sending to the answer or timeout, s
    report: Mapping[str, float] | None
    connections: int  # connections from this node to the endpoint at the clock `at`
    is_health_check: bool


@dataclass(slots=True)
class Client:
    """A client that connected on its own initiative, neither retrying nor reconnecting."""

    request: RequestArrived
    arrived_at: float
    first_endpoint: str = ""  # the endpoint of its first attempt in the recording
    # Clock at which the client closed its connection or gave up, s; None if it did neither.
    ended_at: float | None = None
    arrivals: int = 1  # number of requests that it sent, including retries and reconnects


@dataclass(slots=True)
class Observations:
    """The parts of a recording that do not depend on the module's decisions; clocks and times in s."""

    start: dict[str, Any] = field(default_factory=dict)
    began_at: float = 0.0
    ended_at: float = 0.0
    endpoint_lists: list[tuple[float, EndpointList]] = field(default_factory=list)
    proxy_events: list[tuple[float, ProxyDraining | ProxyResumed]] = field(default_factory=list)
    settings_changes: list[tuple[float, Settings]] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)
    inherited: list[tuple[float, ConnectionInherited]] = field(default_factory=list)
    answers: dict[str, list[Answer]] = field(default_factory=lambda: defaultdict(list))  # by endpoint
    # Clocks at which established connections were reset, by endpoint.
    breaks: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    return_delay: float = DEFAULT_RETURN_DELAY_S
    connect_time: float = DEFAULT_CONNECT_TIME_S
    gaps: list[str] = field(default_factory=list)

    def nearest_answer(self, endpoint: str, at: float) -> Answer | None:
        """Returns the endpoint's answer nearest to clock `at`; answers to attempts are preferred."""
        answers = self.answers.get(endpoint)
        if not answers:
            return None
        position = bisect_left(answers, at, key=lambda answer: answer.at)

        def distance(answer: Answer) -> float:
            return abs(answer.at - at) + (HEALTH_CHECK_HANDICAP_S if answer.is_health_check else 0.0)

        return min(answers[max(0, position - 2) : position + 2], key=distance)

    def nearest_report(self, endpoint: str, at: float) -> Answer | None:
        """Returns the endpoint's answer with a load report that is nearest to clock `at`."""
        answers = self.answers.get(endpoint, [])
        position = bisect_left(answers, at, key=lambda answer: answer.at)
        before, after = (
            answers[max(0, position - REPORT_SEARCH_COUNT) : position],
            answers[position : position + REPORT_SEARCH_COUNT],
        )
        nearest = None
        for answer in (*before[::-1], *after):
            if answer.report is None:
                continue
            if nearest is None or abs(answer.at - at) < abs(nearest.at - at):
                nearest = answer
        return nearest


def observe(source: Iterable[Item]) -> Observations:
    """Collects the observations up to the first gap; later connections may have begun in unrecorded steps."""
    observer = _Observer()
    for item in source:
        match item:
            case State():
                observer.begin(item)
            case Gap(reason):
                observer.observations.gaps.append(reason)
                break
            case SettingsChange():
                observer.observations.settings_changes.append((item.at, item.settings))
            case Step():
                observer.step(item)
    return observer.finish()


class _Observer:
    """Processes the steps of a recording and tracks the attempts and connections in progress."""

    def __init__(self) -> None:
        self.observations = Observations()
        self.clients_by_key: dict[str, Client] = {}
        self.clients: dict[int, Client] = {}  # clients by request id
        # Attempts in flight by request id: endpoint and clock at which each was sent.
        self.attempts: dict[int, tuple[str, float]] = {}
        self.established: dict[int, str] = {}  # endpoint of each established connection, by request id
        self.migrated: set[int] = set()
        self.left_at: dict[str, float] = {}  # clock of a migration or reset, by the client's key
        self.connections: dict[str, int] = defaultdict(int)  # number of connections, by endpoint
        self.health_checks: dict[
            str, float
        ] = {}  # clock at which a health check in flight was sent, by endpoint
        self.return_delays: list[float] = []
        self.connect_times: list[float] = []

    def begin(self, state: State) -> None:
        self.observations.start = self.observations.start or state.start
        self.observations.began_at = self.observations.began_at or state.at

    def step(self, step: Step) -> None:
        self.observations.began_at = self.observations.began_at or step.at
        self.observations.ended_at = step.at
        self._event(step.at, step.event)
        for action in step.actions:
            self._action(step.at, action)

    def finish(self) -> Observations:
        for answers in self.observations.answers.values():
            answers.sort(key=lambda answer: answer.at)
        if self.return_delays:
            self.observations.return_delay = statistics.median(self.return_delays)
        if self.connect_times:
            self.observations.connect_time = statistics.median(self.connect_times)
        return self.observations

    def _event(self, at: float, event: Event) -> None:
        match event:
            case EndpointList():
                self.observations.endpoint_lists.append((at, event))
            case ProxyDraining() | ProxyResumed():
                self.observations.proxy_events.append((at, event))
            case ConnectionInherited():
                self.observations.inherited.append((at, event))
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
                # This is the client's final answer, unless the client sends another request.
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
        self.observations.clients.append(client)
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
        self.observations.answers[endpoint].append(answer)

    def _connection_established(self, at: float, event: ConnectionEstablished) -> None:
        _, sent_at = self.attempts.pop(event.request_id, (event.endpoint, at))
        self._answered(event.endpoint, sent_at, AttemptResult.OK, event.elapsed, None)
        self._establish(event.request_id, event.endpoint)
        self.connect_times.append(event.elapsed)

    def _health_check_ended(self, at: float, event: HealthCheckEnded) -> None:
        sent_at = self.health_checks.pop(event.endpoint, at)
        if event.result is AttemptResult.FULL:
            return  # the proxy did not send the health check
        self._answered(event.endpoint, sent_at, event.result, event.elapsed, event.report, True)

    def _attempt_ended(self, at: float, event: AttemptEnded) -> None:
        endpoint = self.established.pop(event.request_id, None)
        if endpoint is not None:
            self._connection_ended(at, event, endpoint)
            return
        _, sent_at = self.attempts.pop(event.request_id, (event.endpoint, at))
        if event.result in (AttemptResult.NOT_SENT, AttemptResult.CANCELLED):
            return  # the node ended the attempt, not the endpoint
        self._answered(event.endpoint, sent_at, event.result, event.elapsed, event.report)

    def _connection_ended(self, at: float, event: AttemptEnded, endpoint: str) -> None:
        self.connections[endpoint] -= 1
        was_reset = event.result is AttemptResult.RESET
        migrated = event.request_id in self.migrated
        if was_reset and not migrated:
            self.observations.breaks[endpoint].append(at)
        client = self.clients.get(event.request_id)
        if client is None:
            return
        if migrated or was_reset:
            self.left_at[client.request.key] = at
        else:
            client.ended_at = at
