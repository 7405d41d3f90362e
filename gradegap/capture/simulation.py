"""A recorded day played with another module or other settings. No I/O.

Clients come as they were recorded, and come again where this module's decisions make them. An endpoint
answers with what the recording shows of it at about that time: the answer is *near* where the endpoint was
observed within 1 s, *far* within 5 s, *modelled* where it was not observed by then. A load report is
corrected by the connections that this module has given the endpoint more, or less, than the recorded one.
From the first answer that is not near on, the recording alone is no proof of what follows; the result has how
many of each there were.
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

NEAR_S, FAR_S = 1.0, 5.0
MIN_CLIENT_TRIES = 3  # that a client makes at the least, if the recording does not show it to come more often
CLIENT_BACKOFF_S = 0.5  # after which a client comes again that was given no time
TAIL_S = 3.0  # behind the recording, within which what is under way comes to its end
MAX_EVENTS = 20_000_000

Proximity = Literal["near", "far", "modelled"]


class OtherPlacement(NamedTuple):
    """A request that is placed otherwise than it was recorded."""

    at: float  # clock, s
    request_id: int
    recorded: str  # endpoint
    played: str


class WhatIfResult(msgspec.Struct):
    """How clients were served as recorded, and how as played."""

    recorded: ServiceFigures
    played: ServiceFigures
    violations: list[str]
    answers: Counter[Proximity] = msgspec.field(default_factory=Counter)
    first_other: OtherPlacement | None = None
    # Clock of the first answer that was not near.
    observed_until: float | None = msgspec.field(default=None, name="evidence_ends")
    gaps: list[str] = msgspec.field(default_factory=list)


class Simulation:
    """A world of clients and endpoints around one balancer, under the recording's clock."""

    def __init__(
        self,
        observations: Observations,
        module: ModuleType,
        recorded_settings: Settings,
        changed: Callable[[Settings], Settings],
    ) -> None:
        """`changed` makes the settings to play with from recorded ones."""
        self.observations, self.changed = observations, changed
        self.settings = changed(recorded_settings)
        self.balancer = module.Balancer(self.settings, int(observations.start.get("seed") or 0))
        self.evaluation = Evaluation(self.settings)
        self.now = observations.began_at
        self.schedule: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.scheduled = 0  # in all; orders what is due at one time
        self.next_request_id = 1 + max([0, *(c.request.request_id for c in observations.clients)])
        self.clients: dict[int, Client] = {}  # by request
        self.tries: Counter[int] = Counter()  # by the client's first request
        self.attempt_counts: Counter[int] = Counter()
        self.in_flight: dict[int, tuple[str, int]] = {}  # endpoint, number of the attempt
        self.established: dict[int, str] = {}  # endpoints, by request
        self.answered: set[int] = set()
        self.deadlines: dict[int, float] = {}
        self.connections: Counter[str] = Counter()  # by endpoint
        self.proxy_draining = False
        self.result = WhatIfResult(ServiceFigures(), ServiceFigures(), [])

    def run(self, recorded: ServiceFigures) -> WhatIfResult:
        """Play the day to its end."""
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
        """What happens whatever the module decides."""
        observations = self.observations
        for at, event in (*observations.endpoint_lists, *observations.proxy_events):
            self._at(at, self._feed, event)
        for at, settings in observations.settings_changes:
            self._at(at, self._adopt, settings)
        for at, inherited in observations.inherited:
            self._at(at, self._inherit, inherited)
        for client in observations.clients:
            self._at(client.arrived_at, self._arrive, client, client.request)
        for endpoint, times in observations.breaks.items():
            for at in sorted(set(times)):
                self._at(at, self._break_all, endpoint)

    def _at(self, at: float, action: Callable[..., None], *arguments: Any) -> None:
        self.scheduled += 1
        heapq.heappush(self.schedule, (at, self.scheduled, action, arguments))

    # The balancer

    def _feed(self, event: Event) -> None:
        if isinstance(event, ProxyDraining | ProxyResumed):
            self.proxy_draining = isinstance(event, ProxyDraining)
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
                    self._at(self.now, self._disconnect, action.request_id, AttemptResult.CANCELLED)
            case SetTimer():
                self._at(self.now + max(0.0, action.delay), self._feed, TimerFired(action.token))
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
        self._at(request.deadline_at, self._expire, request.request_id)
        self._feed(request)

    def _come_again(self, client: Client, reconnect: bool, after: float) -> None:
        """A client that comes again after so many seconds, under a new request id."""
        first = client.request
        request = first._replace(
            request_id=self.next_request_id,
            deadline_at=self.now + after + first.deadline_at - client.arrived_at,
            retry=not reconnect,
            reconnect=reconnect,
        )
        self.next_request_id += 1
        self._at(self.now + after, self._arrive, client, request)

    def _inherit(self, event: ConnectionInherited) -> None:
        request = event.request
        self.clients[request.request_id] = Client(request, self.now)
        self.answered.add(request.request_id)
        self.established[request.request_id] = event.endpoint
        self.connections[event.endpoint] += 1
        self._feed(event)

    def _answer(self, request_id: int, after: float) -> None:
        """Rejected or failed: the client comes again, as often as it did or would."""
        if request_id in self.answered:
            return
        self.answered.add(request_id)
        attempt = self.in_flight.pop(request_id, None)
        if attempt is not None:
            endpoint, number = attempt
            ended = AttemptEnded(request_id, number, endpoint, AttemptResult.CANCELLED, 0.0, True)
            self._at(self.now, self._feed, ended)
        client = self.clients.pop(request_id, None)
        if client is None:
            return
        if client.ended_at is not None and client.ended_at <= self.now and client.arrivals == 1:
            return  # the recording has it give up, too
        if self.tries[client.request.request_id] < max(MIN_CLIENT_TRIES, client.arrivals):
            self._come_again(client, False, after)

    def _expire(self, request_id: int) -> None:
        """As the proxy does: whoever has no answer by the deadline gets one that promises nothing."""
        if request_id not in self.answered and request_id in self.clients:
            self._feed(ClientDisconnected(request_id))
            self._answer(request_id, CLIENT_BACKOFF_S)

    def _leave(self, request_id: int) -> None:
        """A client ends its connection of its own accord."""
        if request_id in self.established:
            self._end_connection(request_id, AttemptResult.CANCELLED)

    def _end_connection(self, request_id: int, result: AttemptResult) -> Client | None:
        endpoint = self.established.pop(request_id)
        self.connections[endpoint] -= 1
        client = self.clients.pop(request_id, None)
        self._feed(AttemptEnded(request_id, 0, endpoint, result, 0.0, True))
        return client

    def _disconnect(self, request_id: int, result: AttemptResult) -> None:
        """A connection ends by no will of its client, which comes again."""
        if request_id not in self.established:
            return
        client = self._end_connection(request_id, result)
        if client is not None and not self.proxy_draining:  # else it goes to another node
            self.tries[client.request.request_id] = 0
            self._come_again(client, True, self.observations.return_delay)

    def _break_all(self, endpoint: str) -> None:
        """The recording has connections of that endpoint broken at this moment; so are this module's."""
        for request_id in [r for r, e in self.established.items() if e == endpoint]:
            self._disconnect(request_id, AttemptResult.RESET)

    # Endpoints

    def _within_far(self, answer: Answer | None) -> Answer | None:
        """Count how near an answer is; None where it is too far to be taken."""
        distance = abs(answer.at - self.now) if answer is not None else 1e9
        proximity: Proximity = "near" if distance <= NEAR_S else "far" if distance <= FAR_S else "modelled"
        self.result.answers[proximity] += 1
        if proximity != "near" and self.result.observed_until is None:
            self.result.observed_until = self.now
        return answer if distance <= FAR_S else None

    def _may_reach(self, endpoint: str) -> bool:
        """Whether the proxy would let an attempt or health check go there."""
        if endpoint not in self.evaluation.phases:
            return False
        since = self.evaluation.unavailable_since.get(endpoint)
        return since is None or self.now < since + self.settings.drain_grace

    def _forward(self, action: Forward) -> None:
        request_id, endpoint = action.request_id, action.endpoint
        if request_id in self.answered or request_id in self.in_flight:
            return  # a violation, which the evaluation has
        self._note_first_other(request_id, endpoint)
        number = self.attempt_counts[request_id]
        self.attempt_counts[request_id] += 1
        self.in_flight[request_id] = (endpoint, number)
        if not self._may_reach(endpoint):
            self._at(self.now, self._fail_attempt, request_id, number, AttemptResult.NOT_SENT, 0.0)
            return
        answer = self._within_far(self.observations.nearest_answer(endpoint, self.now))
        result, elapsed = AttemptResult.OK, self.observations.connect_time
        if answer is not None and not (answer.is_health_check and answer.result is AttemptResult.OK):
            result, elapsed = answer.result, answer.elapsed
        left = min(action.timeout, self.deadlines[request_id] - self.now)
        if result is AttemptResult.TIMEOUT or elapsed >= left:
            # An endpoint that was silent for as long as it was waited for is silent for longer, too.
            result, elapsed = AttemptResult.TIMEOUT, left
        if result is AttemptResult.OK:
            self._at(self.now + elapsed, self._establish, request_id, number, elapsed)
        else:
            self._at(self.now + elapsed, self._fail_attempt, request_id, number, result, elapsed)

    def _note_first_other(self, request_id: int, endpoint: str) -> None:
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
            self._at(max(self.now, client.ended_at), self._leave, request_id)
        self._feed(ConnectionEstablished(request_id, number, endpoint, elapsed))

    def _fail_attempt(self, request_id: int, number: int, result: AttemptResult, elapsed: float) -> None:
        attempt = self.in_flight.get(request_id)
        if attempt is not None and attempt[1] == number:
            del self.in_flight[request_id]
            self._feed(AttemptEnded(request_id, number, attempt[0], result, elapsed, False))

    def _check_health(self, endpoint: str) -> None:
        if not self._may_reach(endpoint):
            self._at(self.now, self._feed, HealthCheckEnded(endpoint, AttemptResult.FULL, 0.0, None))
            return
        answer = self._within_far(self.observations.nearest_answer(endpoint, self.now))
        result = answer.result if answer is not None else AttemptResult.OK
        if result is AttemptResult.TIMEOUT:
            timeout = HealthCheckEnded(endpoint, result, HEALTH_CHECK_TIMEOUT_S, None)
            self._at(self.now + HEALTH_CHECK_TIMEOUT_S, self._feed, timeout)
            return
        elapsed = self.observations.connect_time
        if answer is not None and answer.is_health_check:
            elapsed = min(answer.elapsed, HEALTH_CHECK_TIMEOUT_S)
        report = self._report(endpoint) if result in (AttemptResult.OK, AttemptResult.FULL) else None
        if result is AttemptResult.FULL:
            result = AttemptResult.OK  # it rejected an attempt, and reports its load
        self._at(self.now + elapsed, self._feed, HealthCheckEnded(endpoint, result, elapsed, report))

    def _report(self, endpoint: str) -> dict[str, float] | None:
        """The nearest load report, corrected by the connections that this module placed there."""
        answer = self.observations.nearest_report(endpoint, self.now)
        if answer is None or answer.report is None:
            return None
        report = dict(answer.report)
        count = report.get("inflight")
        more = self.connections[endpoint] - answer.connections
        if count is not None and more:
            load_per_connection = report.get("x0", 0.0) / count if count >= 1 else 0.0
            report["inflight"] = max(0.0, count + more)
            if "x0" in report:
                report["x0"] = max(0.0, report["x0"] + more * load_per_connection)
        return report
