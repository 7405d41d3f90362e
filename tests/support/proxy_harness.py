"""A proxy with a simulated clock and fake network, client sessions and balancer."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping
from itertools import count
from typing import Any

from gradegap.balancing.actions import Action, Forward
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointListKind,
    Event,
    RequestArrived,
)
from gradegap.metrics import Metrics
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.proxy import Proxy
from gradegap.proxy.request import Attempt, ConnectionRequest, Request
from tests.support.balancer_driver import settings


class FakeTimer:
    """A timer handle of the fake loop."""

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class FakeLoop:
    """The clock and timers of an event loop, advanced by the test."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.order = count()
        self.timers: list[tuple[float, int, FakeTimer, Callable[..., Any], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, wait: float, call: Callable[..., Any], *args: Any) -> FakeTimer:
        handle = FakeTimer()
        heapq.heappush(self.timers, (self.now + wait, next(self.order), handle, call, args))
        return handle

    def call_soon(self, call: Callable[..., Any], *args: Any) -> FakeTimer:
        return self.call_later(0.0, call, *args)

    def run(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self.timers and self.timers[0][0] <= end:
            due_at, _, handle, call, args = heapq.heappop(self.timers)
            self.now = max(self.now, due_at)
            if not handle.cancelled:
                call(*args)
        self.now = end


class RecordingSession:
    """A client session that records what the proxy calls."""

    def __init__(self, loop: FakeLoop) -> None:
        self.loop = loop
        self.calls: list[tuple[str, float]] = []
        self.disconnected = False  # whether the client has closed, which the proxy has not read yet

    def is_disconnected(self) -> bool:
        return self.disconnected

    def _record(self, call: str) -> None:
        self.calls.append((call, self.loop.now))

    def on_established(self) -> None:
        self._record("up")

    def reject(self, after: float) -> None:
        self._record("busy")

    def fail(self) -> None:
        self._record("fail")

    def migrate(self) -> None:
        self._record("move")

    def on_endpoint_closed(self) -> None:
        self._record("end")

    @property
    def call_names(self) -> list[str]:
        return [call for call, _ in self.calls]


class FakeConnection:
    """The network side of an attempt, advanced by the test."""

    def __init__(self, attempt: Attempt, endpoint: Endpoint) -> None:
        self.attempt, self.endpoint = attempt, endpoint
        self.sent = self.cancelled = False

    def write(self) -> None:
        self.sent = True
        self.attempt.on_sent()

    def cancel(self) -> None:
        self.cancelled = True


class FakeUpstream:
    """Endpoints that answer only when the test makes them."""

    def __init__(self) -> None:
        self.connections: list[FakeConnection] = []
        self.checked: list[str] = []
        self.closed: list[str] = []

    def connect(self, session: Any, endpoint: Endpoint, timeout: float, attempt: Attempt) -> FakeConnection:
        self.connections.append(FakeConnection(attempt, endpoint))
        return self.connections[-1]

    def check_health(
        self,
        endpoint: Endpoint,
        timeout: float,
        done: Callable[[AttemptResult, Mapping[str, float] | None], None],
    ) -> None:
        self.checked.append(endpoint.id)

    def close_health_check(self, endpoint: Endpoint) -> None:
        self.closed.append(endpoint.id)


class ScriptedBalancer:
    """A balancer that returns the actions that the test sets and records its events."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.answers: dict[type, Callable[[Any], list[Action]]] = {}

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        return self.answers.get(type(event), lambda event: [])(event)

    def results(self) -> list[AttemptResult]:
        return [event.result for event in self.events if isinstance(event, AttemptEnded)]


class ProxyHarness:
    """A proxy on fakes with one ready endpoint `a`, to which every request is forwarded."""

    def __init__(self) -> None:
        self.loop, self.upstream, self.balancer = FakeLoop(), FakeUpstream(), ScriptedBalancer()
        loop: Any = self.loop
        self.proxy = Proxy(settings(drain_grace=2.0), 1, self.upstream, Metrics(), loop)
        self.proxy.balancer = self.balancer  # type: ignore[assignment]
        self.list_endpoint("a", EndpointListKind.FULL)
        self.balancer.answers[RequestArrived] = lambda event: [Forward(event.request_id, "a", 5.0)]

    def list_endpoint(
        self, name: str, kind: EndpointListKind = EndpointListKind.DELTA, **fields: Any
    ) -> None:
        self.proxy.update_endpoints(kind, [(EndpointEntry(name, **fields), f"{name}:1")])

    def open_request(self, wait: float = 2.0, inherited_from: str = "") -> tuple[RecordingSession, Request]:
        session = RecordingSession(self.loop)
        request = self.proxy.open_request(
            session, ConnectionRequest("live", wait, inherited_from=inherited_from)
        )
        assert request is not None
        return session, request

    def establish(self) -> tuple[RecordingSession, Request, FakeConnection]:
        session, request = self.open_request()
        connection = self.upstream.connections[-1]
        connection.write()
        connection.attempt.on_established()
        return session, request, connection
