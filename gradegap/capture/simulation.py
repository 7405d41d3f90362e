"""Simulates a recorded day with another decision module or other settings. No I/O.

Clients arrive as recorded, and retry or reconnect as the decisions of the simulated module require. An
endpoint answers as it did in the recording at about the same time. An answer is *near* if the endpoint was
observed within 1 s of that time, *far* if within 5 s, and *modelled* otherwise. A load report is corrected by
the difference between the simulated number of connections to the endpoint and the recorded one. After the
first answer that is not near, the recording is no longer sufficient evidence for the result, which counts the
answers of each kind.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from types import ModuleType
from typing import Any, Literal, NamedTuple

import msgspec

from gradegap.balancing.actions import Action, CheckHealth, Fail, Forward, Migrate, Reject, SetTimer
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    Event,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.settings import Settings
from gradegap.capture.evaluation import Evaluation, ServiceFigures
from gradegap.capture.observations import HEALTH_CHECK_TIMEOUT_S, Answer, Client, Observations

# Longest time between a simulated answer and the recorded answer that it copies, for *near* and for *far*.
NEAR_S, FAR_S = 1.0, 5.0
# Number of requests after which a client gives up; higher for a client that sent more in the recording.
MIN_CLIENT_TRIES = 3
CLIENT_BACKOFF_S = 0.5  # time until a client retries after an answer without a retry time
TAIL_S = 3.0  # simulated time after the end of the recording, for requests in flight
MAX_EVENTS = 20_000_000  # scheduled events after which the simulation stops

Proximity = Literal["near", "far", "modelled"]


class OtherPlacement(NamedTuple):
    """A request that was placed on another endpoint than in the recording."""

    at: float  # clock, s
    request_id: int
    recorded: str  # endpoint in the recording
    played: str


class WhatIfResult(msgspec.Struct):
    """How clients were served in the recording and in the simulation."""

    recorded: ServiceFigures
    played: ServiceFigures
    violations: list[str]
    answers: Counter[Proximity] = msgspec.field(default_factory=Counter)
    first_other: OtherPlacement | None = None
    # Clock of the first answer that was not near, s.
    observed_until: float | None = msgspec.field(default=None, name="evidence_ends")
    gaps: list[str] = msgspec.field(default_factory=list)


class Simulation:
    """Simulated clients and endpoints of one balancer, on the recording's clock."""

    def __init__(
        self,
        observations: Observations,
        module: ModuleType,
        recorded_settings: Settings,
        changed: Callable[[Settings], Settings],
    ) -> None:
        """`changed` converts recorded settings to the settings of the simulation."""
        self.observations, self.changed = observations, changed
        self.settings = changed(recorded_settings)
        self.balancer = module.Balancer(self.settings, int(observations.start.get("seed") or 0))
        self.evaluation = Evaluation(self.settings)
        self.now = observations.began_at
        self.schedule: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.scheduled = 0  # number of entries ever scheduled; orders entries that are due at the same time
        self.next_request_id = 1 + max([0, *(c.request.request_id for c in observations.clients)])
        self.clients: dict[int, Client] = {}  # clients by request id
        # Number of requests that a client sent since its last established connection, by the id of its first
        # request.
        self.tries: Counter[int] = Counter()
        self.attempt_counts: Counter[int] = Counter()
        # Attempts in flight by request id: endpoint and number of the attempt.
        self.in_flight: dict[int, tuple[str, int]] = {}
        self.established: dict[int, str] = {}  # endpoint of each established connection, by request id
        self.answered: set[int] = set()
        self.deadlines: dict[int, float] = {}
        self.connections: Counter[str] = Counter()  # number of connections, by endpoint
        self.is_proxy_draining = False
        self.result = WhatIfResult(ServiceFigures(), ServiceFigures(), [])

    def run(self, recorded: ServiceFigures) -> WhatIfResult:
        """Runs the simulation to the end of the recording and for `TAIL_S` after it."""
        self._schedule_recorded()
        ends_at = self.observations.ended_at + TAIL_S
        while self.schedule and self.schedule[0][0] <= ends_at and self.scheduled < MAX_EVENTS:
            self.now, _, action, arguments = heapq.heappop(self.schedule)
            action(*arguments)
        self.evaluation.now = self.now
        self.result.recorded, self.result.played = recorded, self.evaluation.finish()
        self.result.violations, self.result.gaps = self.evaluation.violations, self.observations.gaps
        return self.result

    def _schedule_recorded(self) -> None:
        """Schedules the recorded events that do not depend on the module's decisions."""
        observations = self.observations
        for at, event in (*observations.endpoint_lists, *observations.proxy_events):
            self._schedule(at, self._feed, event)
        for at, settings in observations.settings_changes:
            self._schedule(at, self._adopt, settings)
        for at, inherited in observations.inherited:
            self._schedule(at, self._inherit, inherited)
        for client in observations.clients:
            self._schedule(client.arrived_at, self._arrive, client, client.request)
        for endpoint, times in observations.breaks.items():
            for at in sorted(set(times)):
                self._schedule(at, self._break_all, endpoint)

    def _schedule(self, at: float, action: Callable[..., None], *arguments: Any) -> None:
        self.scheduled += 1
        heapq.heappush(self.schedule, (at, self.scheduled, action, arguments))

    # The balancer

    def _feed(self, event: Event) -> None:
        if isinstance(event, ProxyDraining | ProxyResumed):
            self.is_proxy_draining = isinstance(event, ProxyDraining)
        actions = self.balancer.handle(self.now, event)
        self.evaluation.observe(self.now, event, actions)
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Forward():
                self._forward(action)
            case Reject():
                self._answer(action.request_id, action.retry_after or CLIENT_BACKOFF_S)
            case Fail():
                self._answer(action.request_id, CLIENT_BACKOFF_S)
            case Migrate():
                if action.request_id in self.established:
                    self._schedule(self.now, self._disconnect, action.request_id, AttemptResult.CANCELLED)
            case SetTimer():
                self._schedule(self.now + max(0.0, action.delay), self._feed, TimerFired(action.token))
            case CheckHealth():
                self._check_health(action.endpoint)
            case _:
                pass

    def _adopt(self, recorded: Settings) -> None:
        self.settings = self.evaluation.settings = self.changed(recorded)
        self.balancer.adopt(self.settings)

    # Clients

    def _arrive(self, client: Client, request: RequestArrived) -> None:
        self.clients[request.request_id] = client
        self.deadlines[request.request_id] = request.deadline_at
        self.tries[client.request.request_id] += 1
        self._schedule(request.deadline_at, self._expire, request.request_id)
        self._feed(request)

    def _schedule_request(self, client: Client, reconnect: bool, after: float) -> None:
        """Schedules another request of the client after `after` seconds, with a new request id."""
        first_request = client.request
        request = first_request._replace(
            request_id=self.next_request_id,
            deadline_at=self.now + after + first_request.deadline_at - client.arrived_at,
            retry=not reconnect,
            reconnect=reconnect,
        )
        self.next_request_id += 1
        self._schedule(self.now + after, self._arrive, client, request)

    def _inherit(self, event: ConnectionInherited) -> None:
        request = event.request
        self.clients[request.request_id] = Client(request, self.now)
        self.answered.add(request.request_id)
        self.established[request.request_id] = event.endpoint
        self.connections[event.endpoint] += 1
        self._feed(event)

    def _answer(self, request_id: int, after: float) -> None:
        """Handles a rejected or failed request: the client retries after `after` seconds or gives up."""
        if request_id in self.answered:
            return
        self.answered.add(request_id)
        attempt = self.in_flight.pop(request_id, None)
        if attempt is not None:
            endpoint, number = attempt
            ended = AttemptEnded(request_id, number, endpoint, AttemptResult.CANCELLED, 0.0, True)
            self._schedule(self.now, self._feed, ended)
        client = self.clients.pop(request_id, None)
        if client is None:
            return
        if client.ended_at is not None and client.ended_at <= self.now and client.arrivals == 1:
            return  # the client gave up at this time in the recording as well
        if self.tries[client.request.request_id] < max(MIN_CLIENT_TRIES, client.arrivals):
            self._schedule_request(client, False, after)

    def _expire(self, request_id: int) -> None:
        """Fails a request that has no answer at its deadline, as the proxy does."""
        if request_id not in self.answered and request_id in self.clients:
            self._feed(ClientDisconnected(request_id))
            self._answer(request_id, CLIENT_BACKOFF_S)

    def _leave(self, request_id: int) -> None:
        """Ends the connection of a request, because its client closes it."""
        if request_id in self.established:
            self._end_connection(request_id, AttemptResult.CANCELLED)

    def _end_connection(self, request_id: int, result: AttemptResult) -> Client | None:
        endpoint = self.established.pop(request_id)
        self.connections[endpoint] -= 1
        client = self.clients.pop(request_id, None)
        self._feed(AttemptEnded(request_id, 0, endpoint, result, 0.0, True))
        return client

    def _disconnect(self, request_id: int, result: AttemptResult) -> None:
        """Ends a connection that its client did not close; the client reconnects unless the proxy drains."""
        if request_id not in self.established:
            return
        client = self._end_connection(request_id, result)
        if (
            client is not None and not self.is_proxy_draining
        ):  # clients of a draining proxy reconnect to another node
            self.tries[client.request.request_id] = 0
            self._schedule_request(client, True, self.observations.return_delay)

    def _break_all(self, endpoint: str) -> None:
        """Resets all connections to the endpoint, because the recording has a reset at this time."""
        for request_id in [r for r, e in self.established.items() if e == endpoint]:
            self._disconnect(request_id, AttemptResult.RESET)

    # Endpoints

    def _classify_answer(self, answer: Answer | None) -> Answer | None:
        """Counts the answer by its distance in time; returns None if it is too far to be used."""
        distance = abs(answer.at - self.now) if answer is not None else 1e9
        proximity: Proximity = "near" if distance <= NEAR_S else "far" if distance <= FAR_S else "modelled"
        self.result.answers[proximity] += 1
        if proximity != "near" and self.result.observed_until is None:
            self.result.observed_until = self.now
        return answer if distance <= FAR_S else None

    def _may_reach(self, endpoint: str) -> bool:
        """Whether the proxy would send an attempt or health check to the endpoint."""
        if endpoint not in self.evaluation.phases:
            return False
        since = self.evaluation.unavailable_since.get(endpoint)
        return since is None or self.now < since + self.settings.drain_grace

    def _forward(self, action: Forward) -> None:
        request_id, endpoint = action.request_id, action.endpoint
        if request_id in self.answered or request_id in self.in_flight:
            return  # a violation, which the evaluation reports
        self._record_first_other(request_id, endpoint)
        number = self.attempt_counts[request_id]
        self.attempt_counts[request_id] += 1
        self.in_flight[request_id] = (endpoint, number)
        if not self._may_reach(endpoint):
            self._schedule(self.now, self._fail_attempt, request_id, number, AttemptResult.NOT_SENT, 0.0)
            return
        answer = self._classify_answer(self.observations.nearest_answer(endpoint, self.now))
        result, elapsed = AttemptResult.OK, self.observations.connect_time
        if answer is not None and not (answer.is_health_check and answer.result is AttemptResult.OK):
            result, elapsed = answer.result, answer.elapsed
        remaining = min(action.timeout, self.deadlines[request_id] - self.now)
        if result is AttemptResult.TIMEOUT or elapsed >= remaining:
            # An endpoint that did not answer within the recorded timeout is assumed not to answer later.
            result, elapsed = AttemptResult.TIMEOUT, remaining
        if result is AttemptResult.OK:
            self._schedule(self.now + elapsed, self._establish, request_id, number, elapsed)
        else:
            self._schedule(self.now + elapsed, self._fail_attempt, request_id, number, result, elapsed)

    def _record_first_other(self, request_id: int, endpoint: str) -> None:
        client = self.clients.get(request_id)
        if client is None or request_id != client.request.request_id or self.attempt_counts[request_id]:
            return
        if client.first_endpoint != endpoint and self.result.first_other is None:
            recorded = client.first_endpoint or "none"
            self.result.first_other = OtherPlacement(self.now, request_id, recorded, endpoint)

    def _establish(self, request_id: int, number: int, elapsed: float) -> None:
        attempt = self.in_flight.get(request_id)
        if attempt is None or attempt[1] != number or request_id in self.answered:
            return
        endpoint = attempt[0]
        del self.in_flight[request_id]
        self.answered.add(request_id)
        self.established[request_id] = endpoint
        self.connections[endpoint] += 1
        client = self.clients[request_id]
        self.tries[client.request.request_id] = 0
        if client.ended_at is not None:
            self._schedule(max(self.now, client.ended_at), self._leave, request_id)
        self._feed(ConnectionEstablished(request_id, number, endpoint, elapsed))

    def _fail_attempt(self, request_id: int, number: int, result: AttemptResult, elapsed: float) -> None:
        attempt = self.in_flight.get(request_id)
        if attempt is not None and attempt[1] == number:
            del self.in_flight[request_id]
            self._feed(AttemptEnded(request_id, number, attempt[0], result, elapsed, False))

    def _check_health(self, endpoint: str) -> None:
        if not self._may_reach(endpoint):
            self._schedule(self.now, self._feed, HealthCheckEnded(endpoint, AttemptResult.FULL, 0.0, None))
            return
        answer = self._classify_answer(self.observations.nearest_answer(endpoint, self.now))
        result = answer.result if answer is not None else AttemptResult.OK
        if result is AttemptResult.TIMEOUT:
            timeout = HealthCheckEnded(endpoint, result, HEALTH_CHECK_TIMEOUT_S, None)
            self._schedule(self.now + HEALTH_CHECK_TIMEOUT_S, self._feed, timeout)
            return
        elapsed = self.observations.connect_time
        if answer is not None and answer.is_health_check:
            elapsed = min(answer.elapsed, HEALTH_CHECK_TIMEOUT_S)
        report = self._report(endpoint) if result in (AttemptResult.OK, AttemptResult.FULL) else None
        if result is AttemptResult.FULL:
            result = (
                AttemptResult.OK
            )  # the recorded endpoint rejected an attempt, but would have answered a health check
        self._schedule(self.now + elapsed, self._feed, HealthCheckEnded(endpoint, result, elapsed, report))

    def _report(self, endpoint: str) -> dict[str, float] | None:
        """Returns the nearest load report, corrected for the simulated connections to the endpoint."""
        answer = self.observations.nearest_report(endpoint, self.now)
        if answer is None or answer.report is None:
            return None
        report = dict(answer.report)
        count = report.get("inflight")
        extra_connections = self.connections[endpoint] - answer.connections
        if count is not None and extra_connections:
            load_per_connection = report.get("x0", 0.0) / count if count >= 1 else 0.0
            report["inflight"] = max(0.0, count + extra_connections)
            if "x0" in report:
                report["x0"] = max(0.0, report["x0"] + extra_connections * load_per_connection)
        return report
