"""Evaluates a sequence of decisions: checks the balancer's rules and measures the service. No I/O.

An `Evaluation` is given each event with the actions that the balancer returned for it. Recorded and simulated
sequences are evaluated in the same way, so their figures can be compared.
"""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from gradegap.balancing.actions import Action, CheckHealth, Fail, Forward, Migrate, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    Event,
    RequestArrived,
)
from gradegap.balancing.settings import Settings

MAX_VIOLATIONS_SHOWN = 50  # limit of violations kept as text; `ServiceFigures.violations` counts all of them
MIN_MEAN_CONNECTIONS = 4  # lowest mean of connections per ready endpoint at which `peak_share` is computed
# An answer counts as on time up to this time after its deadline; covers the event loop's latency.
MAX_LATENESS_S = 0.05


class ServiceFigures(msgspec.Struct):
    """How clients were served; times in seconds. The JSON names are those of `gradegap whatif --json`."""

    requests: int = msgspec.field(default=0, name="taken")
    established: int = msgspec.field(default=0, name="stood")
    rejected: int = msgspec.field(default=0, name="refused")
    failed: int = 0
    disconnected: int = msgspec.field(default=0, name="left")  # disconnected before they had an answer
    attempts: int = 0
    health_checks: int = msgspec.field(default=0, name="probes")
    migrated: int = msgspec.field(default=0, name="moved")
    broken: int = msgspec.field(default=0, name="broke")  # established connections that were reset
    wait_p50: float = 0.0
    wait_p99: float = 0.0
    # The highest ratio, at any time, of one ready endpoint's connections to the mean of all ready endpoints.
    peak_share: float = msgspec.field(default=0.0, name="most_share")
    violations: int = 0

    @property
    def served_share(self) -> float:
        """Number of established requests, divided by that of established, rejected and failed requests."""
        answered = self.established + self.rejected + self.failed
        return self.established / answered if answered else 1.0


@dataclass(slots=True)
class _Request:
    arrived_at: float
    deadline_at: float
    attempt_endpoint: str = ""  # the endpoint of the attempt in flight, if any
    # Time in s from the end of the drain grace of the attempt's endpoint to the forwarding of the request;
    # negative if it was forwarded earlier or the endpoint was available.
    late_by: float = 0.0
    established_endpoint: str = ""  # the endpoint of its established connection, if any
    migrated: bool = False
    answered: bool = False


@dataclass(slots=True)
class Evaluation:
    """Checks each event and its actions against the rules, and counts how clients were served."""

    settings: Settings
    figures: ServiceFigures = field(default_factory=ServiceFigures)
    violations: list[str] = field(default_factory=list)
    requests: dict[int, _Request] = field(default_factory=dict)
    # Number of established connections, by endpoint.
    connections: Counter[str] = field(default_factory=Counter)
    phases: dict[str, EndpointPhase] = field(default_factory=dict)
    # Clock in s since which an endpoint has been draining or removed, by endpoint.
    unavailable_since: dict[str, float] = field(default_factory=dict)
    waits: list[float] = field(default_factory=list)
    now: float = 0.0

    def observe(self, now: float, event: Event, actions: Iterable[Action]) -> None:
        """Evaluates an event and the actions that the balancer returned for it."""
        self.now = now
        self._observe_event(event)
        for action in actions:
            self._observe_action(action)

    def finish(self) -> ServiceFigures:
        """Returns the figures after the last event; reports requests that were never answered."""
        for request_id, request in self.requests.items():
            if not request.answered and request.deadline_at + MAX_LATENESS_S < self.now:
                self._violation(
                    f"request {request_id} has no answer, and its client gave up at {request.deadline_at:.3f}"
                )
        if len(self.waits) > 1:
            percentiles = statistics.quantiles(self.waits, n=100, method="inclusive")
            self.figures.wait_p50, self.figures.wait_p99 = percentiles[49], percentiles[98]
        return self.figures

    def _observe_event(self, event: Event) -> None:
        match event:
            case EndpointList():
                self._endpoint_list(event)
            case RequestArrived():
                self.figures.requests += 1
                self.requests[event.request_id] = _Request(self.now, event.deadline_at)
            case ConnectionInherited():
                self._connection_inherited(event)
            case ConnectionEstablished():
                self._connection_established(event)
            case AttemptEnded():
                self._attempt_ended(event)
            case ClientDisconnected():
                self._client_disconnected(event)
            case _:
                pass

    def _observe_action(self, action: Action) -> None:
        match action:
            case Forward():
                self._forward(action)
            case Reject() | Fail():
                self._answer(action)
            case Migrate():
                self._migrate(action)
            case CheckHealth():
                self.figures.health_checks += 1
            case _:
                pass

    def _violation(self, text: str) -> None:
        self.figures.violations += 1
        if len(self.violations) < MAX_VIOLATIONS_SHOWN:
            self.violations.append(f"{self.now:.3f}: {text}")

    # Endpoints

    def _endpoint_list(self, event: EndpointList) -> None:
        if event.kind not in (EndpointListKind.DELTA, EndpointListKind.FAILED):
            for name in self.phases.keys() - {entry.name for entry in event.entries}:
                self._phase(name, EndpointPhase.REMOVED)
        for entry in event.entries:
            self._phase(entry.name, entry.phase)

    def _phase(self, name: str, phase: EndpointPhase) -> None:
        if phase is EndpointPhase.READY:
            self.unavailable_since.pop(name, None)
        else:
            self.unavailable_since.setdefault(name, self.now)
        self.phases[name] = phase

    def _compare_shares(self) -> None:
        ready = [name for name, phase in self.phases.items() if phase is EndpointPhase.READY]
        mean = sum(self.connections[name] for name in ready) / len(ready) if ready else 0.0
        if mean >= MIN_MEAN_CONNECTIONS:
            share = max(self.connections[name] for name in ready) / mean
            self.figures.peak_share = max(self.figures.peak_share, share)

    # Requests

    def _connection_inherited(self, event: ConnectionInherited) -> None:
        arrived = event.request
        request = _Request(self.now, arrived.deadline_at, answered=True)
        request.established_endpoint = event.endpoint
        self.requests[arrived.request_id] = request
        self.connections[event.endpoint] += 1

    def _forward(self, action: Forward) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            return  # the request arrived before the recording started
        if request.attempt_endpoint:
            self._violation(f"request {action.request_id} has an attempt in flight and is forwarded again")
        if request.answered:
            self._violation(f"request {action.request_id} is forwarded after its answer")
        request.attempt_endpoint = action.endpoint
        since = self.unavailable_since.get(action.endpoint)
        request.late_by = self.now - since - self.settings.drain_grace if since is not None else -1.0
        self.figures.attempts += 1

    def _check_grace(self, request_id: int, request: _Request) -> None:
        """Checks an attempt that the proxy sent: none may be sent after the drain grace of its endpoint."""
        if request.late_by > 0:
            lateness = f"{request.late_by:.3f} s after its grace"
            self._violation(f"request {request_id} was forwarded to {request.attempt_endpoint} {lateness}")

    def _connection_established(self, event: ConnectionEstablished) -> None:
        request = self.requests.get(event.request_id)
        if request is None:
            return
        self._check_grace(event.request_id, request)
        if request.answered:
            self._violation(f"request {event.request_id} is established after its answer")
        late_by_s = self.now - request.deadline_at
        if late_by_s > MAX_LATENESS_S:
            self._violation(
                f"request {event.request_id} is established {late_by_s:.3f} s after its client gave up"
            )
        request.answered, request.established_endpoint, request.attempt_endpoint = True, event.endpoint, ""
        self.figures.established += 1
        self.waits.append(self.now - request.arrived_at)
        self.connections[event.endpoint] += 1
        self._compare_shares()

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None:
            return
        if request.established_endpoint:
            self.connections[request.established_endpoint] -= 1
            if event.result is AttemptResult.RESET and not request.migrated:
                self.figures.broken += 1
            del self.requests[event.request_id]
            return
        if event.result is not AttemptResult.NOT_SENT and request.attempt_endpoint:
            self._check_grace(event.request_id, request)
        request.attempt_endpoint = ""
        if request.answered:
            del self.requests[event.request_id]

    def _client_disconnected(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.request_id)
        if request is not None and not request.answered:
            request.answered = True
            self.figures.disconnected += 1

    def _migrate(self, action: Migrate) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and request.established_endpoint and not request.migrated:
            request.migrated = True
            self.figures.migrated += 1

    def _answer(self, action: Reject | Fail) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            return
        if request.answered:
            self._violation(f"request {action.request_id} has two answers")
            return
        late_by_s = self.now - request.deadline_at
        if late_by_s > MAX_LATENESS_S:
            self._violation(
                f"request {action.request_id} is answered {late_by_s:.3f} s after its client gave up"
            )
        request.answered = True
        if isinstance(action, Reject):
            self.figures.rejected += 1
        else:
            self.figures.failed += 1
