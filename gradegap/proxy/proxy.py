"""The facade of the proxy for the rest of the node. It delegates to the other modules of this package."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping

import structlog

from gradegap.balancing.actions import (
    CheckHealth,
    Fail,
    Forward,
    LogMessage,
    Migrate,
    Reject,
    SetTimer,
    WatchEndpoints,
)
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import EndpointEntry, EndpointListKind, TimerFired
from gradegap.balancing.settings import Settings
from gradegap.metrics import Metrics
from gradegap.proxy.adoption import Adoption
from gradegap.proxy.attempts import Attempts
from gradegap.proxy.context import ProxyContext
from gradegap.proxy.draining import Draining
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.endpoints import Endpoints
from gradegap.proxy.health_checks import HealthChecks
from gradegap.proxy.inherited import InheritedConnections
from gradegap.proxy.lifecycle import RequestLifecycle
from gradegap.proxy.observations import ConnectionObservations
from gradegap.proxy.ports import UpstreamPort
from gradegap.proxy.request import ConnectionRequest, Report, Request, RequestHandlers, SessionPort
from gradegap.proxy.requests import RequestTable
from gradegap.proxy.unresponsive import Sweep

log = structlog.get_logger()


class Proxy:
    """Drives one `Balancer` with requests, attempts, endpoints and timers, all on one clock.

    Client sessions open requests, and discovery updates the endpoint list. The balancer's decisions are
    carried out through two interfaces: `UpstreamPort` for attempts and health checks, `SessionPort` for
    answers.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        upstream: UpstreamPort,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.metrics = metrics
        self.loop = loop
        self.started_at_ms = time.time() * 1000  # start of this process, Unix time in ms
        self.context = context = ProxyContext(settings, seed, upstream, metrics, loop)
        self.now, self.feed = context.now, context.feed
        self._endpoints = Endpoints(context)
        self._requests = RequestTable(context)
        self._attempts = Attempts(context, self._endpoints, self._requests)
        self._inherited = InheritedConnections(context, self._endpoints, self._requests, self._attempts)
        self._lifecycle = RequestLifecycle(context, self._requests, self._attempts, self._inherited)
        self._health_checks = HealthChecks(context, self._endpoints)
        self._observations = ConnectionObservations(context)
        self._adoption = Adoption(context, self._endpoints, self._requests)
        self._draining = Draining(context)
        self._endpoints.on_drain_notified = self._attempts.cancel_connecting
        context.on_decision_failed = self._lifecycle.on_decision_failed
        self._attempts.on_inherited_ended = self._inherited.on_attempt_ended
        self._handlers = RequestHandlers(
            now=context.now,
            client_disconnected=self._lifecycle.on_disconnect,
            line_answered=self._observations.on_line_answered,
            may_send=self._attempts.may_send,
            attempt_sent=self._attempts.on_sent,
            attempt_established=self._attempts.on_established,
            attempt_ended=self._attempts.on_ended,
            load_reported=self._observations.on_load,
        )
        self._handle_actions()
        self.sweep = Sweep(context, self._requests, self._lifecycle, self._draining)

    def _handle_actions(self) -> None:
        self.context.action_handlers = {
            Forward: self._attempts.forward,
            Reject: self._lifecycle.reject,
            Fail: self._lifecycle.fail,
            Migrate: self._lifecycle.migrate_by_id,
            SetTimer: self._set_timer,
            CheckHealth: self._health_checks.check,
            WatchEndpoints: lambda action: None,  # nothing to do: discovery always watches the list
            LogMessage: lambda action: log.info("balancer message", text=action.text),
        }

    def _set_timer(self, action: SetTimer) -> None:
        self.loop.call_later(max(0.0, action.delay), self.context.feed, TimerFired(action.token))

    # Settings and the balancer

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.context.settings

    @settings.setter
    def settings(self, settings: Settings) -> None:
        self.context.settings = settings

    @property
    def balancer(self) -> Balancer:
        """The balancer; a capture or trace of decisions replaces it by a wrapper."""
        return self.context.balancer

    @balancer.setter
    def balancer(self, balancer: Balancer) -> None:
        self.context.balancer = balancer

    def reconfigure(self, settings: Settings) -> None:
        """Put settings in force; requests in progress keep the settings of their class."""
        self.context.settings = settings
        self._observations.reconfigure(settings)
        self.context.balancer.adopt(settings)

    # Requests

    @property
    def requests(self) -> Mapping[int, Request]:
        """All requests by id; a request stays until the end of its connection."""
        return self._requests.by_id

    def set_admission_gate(self, gate: Callable[[], float | None]) -> None:
        """Set the check before each decision: `gate` returns None or the time until a retry, in s.

        None allows the decision; otherwise the request is rejected.
        """
        self._requests.admission_gate = gate

    def open_request(self, session: SessionPort, connection_request: ConnectionRequest) -> Request:
        """Open the request of a client session.

        Raises:
            InvalidRequestError: The class is unknown, or the connection id belongs to an open request.
        """
        return self._lifecycle.open(self._handlers, session, connection_request)

    def adopt_connection(
        self,
        session: SessionPort,
        connection_request: ConnectionRequest,
        endpoint_name: str,
        last_response_at: float,
        unanswered_since: float | None,
    ) -> Request | None:
        """Adopt a connection that another process of this node established.

        Returns None if the endpoint is unknown or removed, or if the connection id belongs to an open
        request.
        """
        return self._adoption.adopt(
            self._handlers, session, connection_request, endpoint_name, last_response_at, unanswered_since
        )

    def release_connection(self, request: Request) -> None:
        """Release an established connection to another process of this node."""
        self._adoption.release(request)

    def migrate(self, request: Request) -> None:
        """Migrate the client of an established connection."""
        self._lifecycle.migrate(request)

    def migrate_all(self) -> None:
        """Migrate all remaining clients at once, when the time for their paced migration is over."""
        self._lifecycle.migrate_all()

    def answer_all(self) -> None:
        """Answer all requests that have no answer yet, as at their deadline."""
        self._lifecycle.answer_all()

    # Endpoints

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """All endpoints by id, including those that have left the list."""
        return self._endpoints.by_id

    @property
    def disabled(self) -> Mapping[str, float]:
        """The administratively disabled endpoints by id, with the clock time in s of each disabling."""
        return self._endpoints.disabled

    def on_disabled_changed(self, callback: Callable[[], None]) -> None:
        """Set the callback that is called whenever an endpoint was disabled or enabled."""
        self._endpoints.on_disabled_changed = callback

    def update_endpoints(self, kind: EndpointListKind, entries: Iterable[tuple[EndpointEntry, str]]) -> None:
        """Apply a list from discovery.

        Each entry is paired with the endpoint's address; an empty address leaves the known one unchanged.
        """
        self._endpoints.update(kind, entries)

    def disable_endpoint(self, name: str, at: float | None = None) -> bool:
        """Stop sending to this endpoint until it is enabled; return whether the endpoint is known.

        `at` is the clock time at which a predecessor of this process disabled the endpoint; None: now.
        """
        return self._endpoints.disable(name, at)

    def enable_endpoint(self, name: str) -> bool:
        """Put the last entry from discovery in force again; return whether the endpoint is known."""
        return self._endpoints.enable(name)

    def restore_drain_times(self, notified_at: Mapping[str, float]) -> None:
        """Restore when a predecessor process learned of drains, by endpoint id."""
        self._endpoints.restore_drain_times(notified_at)

    def within_drain_grace(self, endpoint: Endpoint) -> bool:
        """Return whether inherited connections and health checks may still be started at this endpoint."""
        return self._endpoints.within_drain_grace(endpoint)

    def check_health(self, name: str) -> None:
        """Check the health of an endpoint, as if the balancer had asked for that."""
        self._health_checks.check(CheckHealth(name))

    def record_report(self, at: float, name: str, report: Report) -> None:
        """Record a load report that another process received at clock time `at`, in s."""
        self._health_checks.record_report(at, name, report)

    # Draining

    @property
    def shutting_down(self) -> bool:
        """Whether this process is shutting down."""
        return self._draining.shutting_down

    @property
    def drain_deadline(self) -> float | None:
        """The clock time in s by which all connections are migrated; None while in service."""
        return self._draining.deadline

    def begin_shutdown(self, duration: float) -> None:
        """Start the shutdown of this process: migrate all established connections within `duration` s."""
        self._draining.begin_shutdown(duration)

    def start_draining(self, duration: float) -> None:
        """Go out of service: migrate present and new established connections within `duration` s."""
        self._draining.start(duration)

    def stop_draining(self) -> None:
        """Go back in service."""
        self._draining.stop()
