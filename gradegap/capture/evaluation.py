"""What came of a stretch of decisions: the rules that were kept, and how clients were served. No I/O.

An `Evaluation` is given each event with the actions that answered it. It makes no difference between recorded
and played ones, so both are measured alike.
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

MAX_VIOLATIONS_SHOWN = 50  # all are counted
SHARED_FROM = 4  # connections an endpoint, on average, from which shares are compared
LATENESS_S = 0.05  # that an answer may come behind its deadline in a recording: the event loop's own


class ServiceFigures(msgspec.Struct):
    """How clients were served; times in seconds. The names in JSON are those of `gradegap whatif --json`."""

    requests: int = msgspec.field(default=0, name="taken")
    established: int = msgspec.field(default=0, name="stood")
    rejected: int = msgspec.field(default=0, name="refused")
    failed: int = 0
    disconnected: int = msgspec.field(default=0, name="left")  # clients that went before their answer
    attempts: int = 0
    health_checks: int = msgspec.field(default=0, name="probes")
    migrated: int = msgspec.field(default=0, name="moved")
    broken: int = msgspec.field(default=0, name="broke")  # established connections that ended by a reset
    wait_p50: float = 0.0
    wait_p99: float = 0.0
    # The most connections of a ready endpoint over their mean, at worst.
    peak_share: float = msgspec.field(default=0.0, name="most_share")
    violations: int = 0

    @property
    def served_share(self) -> float:
        """Of the requests that wanted an answer, the part that got its connection."""
        answered = self.established + self.rejected + self.failed
        return self.established / answered if answered else 1.0


@dataclass(slots=True)
class _Request:
    arrived_at: float
    deadline_at: float
    attempt_at: str = ""  # the endpoint of the attempt in flight, if any
    late_by: float = 0.0  # s behind the drain grace of that endpoint
    established_at: str = ""  # the endpoint of its connection, while there is one
    migrated: bool = False
    answered: bool = False


@dataclass(slots=True)
class Evaluation:
    """Holds each event and its actions to the rules, and counts how clients were served."""

    settings: Settings
    figures: ServiceFigures = field(default_factory=ServiceFigures)
    violations: list[str] = field(default_factory=list)
    requests: dict[int, _Request] = field(default_factory=dict)
    connections: Counter[str] = field(default_factory=Counter)  # established ones, by endpoint
    phases: dict[str, EndpointPhase] = field(default_factory=dict)
    unavailable_since: dict[str, float] = field(default_factory=dict)  # draining or removed endpoints
    waits: list[float] = field(default_factory=list)
    now: float = 0.0

    def observe(self, now: float, event: Event, actions: Iterable[Action]) -> None:
        """Take an event, and the actions that answered it."""
        self.now = now
        self._observe_event(event)
        for action in actions:
            self._observe_action(action)

    def finish(self) -> ServiceFigures:
        """The figures, once nothing more comes."""
        for request_id, request in self.requests.items():
            if not request.answered and request.deadline_at + LATENESS_S < self.now:
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
        if mean >= SHARED_FROM:
            share = max(self.connections[name] for name in ready) / mean
            self.figures.peak_share = max(self.figures.peak_share, share)

    # Requests

    def _connection_inherited(self, event: ConnectionInherited) -> None:
        arrived = event.request
        request = _Request(self.now, arrived.deadline_at, answered=True)
        request.established_at = event.endpoint
        self.requests[arrived.request_id] = request
        self.connections[event.endpoint] += 1

    def _forward(self, action: Forward) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            return  # from before the recording
        if request.attempt_at:
            self._violation(f"request {action.request_id} has an attempt in flight and is forwarded again")
        if request.answered:
            self._violation(f"request {action.request_id} is forwarded after its answer")
        request.attempt_at = action.endpoint
        since = self.unavailable_since.get(action.endpoint)
        request.late_by = self.now - since - self.settings.drain_grace if since is not None else -1.0
        self.figures.attempts += 1

    def _check_grace(self, request_id: int, request: _Request) -> None:
        """The rule for an attempt that the proxy let go out. Later than a drain's grace it lets none."""
        if request.late_by > 0:
            late = f"{request.late_by:.3f} s after its grace"
            self._violation(f"request {request_id} was forwarded to {request.attempt_at} {late}")

    def _connection_established(self, event: ConnectionEstablished) -> None:
        request = self.requests.get(event.request_id)
        if request is None:
            return
        self._check_grace(event.request_id, request)
        if request.answered:
            self._violation(f"request {event.request_id} is established after its answer")
        late = self.now - request.deadline_at
        if late > LATENESS_S:
            self._violation(
                f"request {event.request_id} is established {late:.3f} s after its client gave up"
            )
        request.answered, request.established_at, request.attempt_at = True, event.endpoint, ""
        self.figures.established += 1
        self.waits.append(self.now - request.arrived_at)
        self.connections[event.endpoint] += 1
        self._compare_shares()

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None:
            return
        if request.established_at:
            self.connections[request.established_at] -= 1
            if event.result is AttemptResult.RESET and not request.migrated:
                self.figures.broken += 1
            del self.requests[event.request_id]
            return
        if event.result is not AttemptResult.NOT_SENT and request.attempt_at:
            self._check_grace(event.request_id, request)
        request.attempt_at = ""
        if request.answered:
            del self.requests[event.request_id]

    def _client_disconnected(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.request_id)
        if request is not None and not request.answered:
            request.answered = True
            self.figures.disconnected += 1

    def _migrate(self, action: Migrate) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and request.established_at and not request.migrated:
            request.migrated = True
            self.figures.migrated += 1

    def _answer(self, action: Reject | Fail) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            return
        if request.answered:
            self._violation(f"request {action.request_id} has two answers")
            return
        late = self.now - request.deadline_at
        if late > LATENESS_S:
            self._violation(f"request {action.request_id} is answered {late:.3f} s after its client gave up")
        request.answered = True
        if isinstance(action, Reject):
            self.figures.rejected += 1
        else:
            self.figures.failed += 1
