"""The lifecycle of a request: arrival, attempts, established connection, end."""

from __future__ import annotations

from gradegap.balancing.attempts import Attempts
from gradegap.balancing.connection_growth import ConnectionGrowth
from gradegap.balancing.context import Context
from gradegap.balancing.draining import Draining
from gradegap.balancing.endpoint_registry import EndpointRegistry
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    EndpointPhase,
    RequestArrived,
)
from gradegap.balancing.grouping import hash_key
from gradegap.balancing.health_checks import HealthChecks
from gradegap.balancing.load_reports import LoadReports
from gradegap.balancing.migration import Migration
from gradegap.balancing.model import Request
from gradegap.balancing.outcome_rates import OutcomeRates
from gradegap.balancing.outliers import OutlierEjection
from gradegap.balancing.request_table import RequestTable
from gradegap.balancing.selection import Selection
from gradegap.balancing.settings import ClassSettings


class RequestLifecycle:
    """Handles the events of requests and calls the parts that each event concerns.

    Invariant: a request is in the table until it is finished and has no attempt in flight.
    """

    __slots__ = (
        "attempts",
        "context",
        "draining",
        "growth",
        "health_checks",
        "migration",
        "outliers",
        "rates",
        "registry",
        "reports",
        "selection",
        "table",
    )

    def __init__(
        self,
        context: Context,
        registry: EndpointRegistry,
        table: RequestTable,
        reports: LoadReports,
        rates: OutcomeRates,
        growth: ConnectionGrowth,
        outliers: OutlierEjection,
        health_checks: HealthChecks,
        attempts: Attempts,
        selection: Selection,
        migration: Migration,
        draining: Draining,
    ) -> None:
        self.context = context
        self.registry = registry
        self.table = table
        self.reports = reports
        self.rates = rates
        self.growth = growth
        self.outliers = outliers
        self.health_checks = health_checks
        self.attempts = attempts
        self.selection = selection
        self.migration = migration
        self.draining = draining

    def arrived(self, event: RequestArrived) -> None:
        """Selects an endpoint for a new request."""
        class_settings = self.context.settings.classes[event.class_name]
        request = self.table.requests[event.request_id] = self._request(event, class_settings)
        self.health_checks.earn(event.retry or event.reconnect)
        self.selection.draw(request)

    def inherited(self, event: ConnectionInherited) -> None:
        """Registers a connection that was established before this proxy started."""
        classes = self.context.settings.classes
        # A reload of the settings may have removed the class of the inherited request.
        class_settings = classes.get(event.request.class_name) or next(iter(classes.values()))
        request = self._request(event.request, class_settings)
        endpoint = self.registry.get_or_add(event.endpoint)
        request.attempts, request.attempt_in_flight, request.established = 1, True, True
        request.endpoint = endpoint
        self.table.hold(endpoint, request)
        if endpoint.phase is EndpointPhase.DRAINING:
            self.draining.connection_added(endpoint)
        self.table.requests[request.id] = request
        self.growth.add_inherited()
        self.health_checks.start_schedule()

    def established(self, event: ConnectionEstablished) -> None:
        """Registers the connection that an attempt has established."""
        request = self.table.requests.get(event.request_id)
        if request is None or request.endpoint is None:
            return
        request.established = True
        endpoint = request.endpoint = self.registry.rejoin(request.endpoint)
        self.outliers.connection_established(endpoint)
        self.table.hold(endpoint, request)
        if endpoint.phase is not EndpointPhase.READY:  # it started to drain during the attempt
            self.draining.connection_added(endpoint)
        self.rates.established.add(self.context.now)
        if request.is_reconnect and not self.migration.consume_expected_return():
            self.growth.add_known()
        self.health_checks.start_schedule()

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Handles the end of an attempt: ends the request, or retries it at another endpoint."""
        if event.report and event.endpoint in self.registry.endpoints:
            self.reports.read(self.registry.endpoints[event.endpoint], event.report)
        request = self.table.requests.get(event.request_id)
        if request is None:
            return
        request.attempt_in_flight = False
        self._release(request, event.result)
        if event.settled or request.finished or request.established:
            request.finished = True
            del self.table.requests[request.id]
            return
        self.attempts.failed(request, event.result)
        if self.attempts.may_retry(request, event.result):
            self.selection.draw(request)
        else:
            self.attempts.give_up(request)

    def disconnected(self, event: ClientDisconnected) -> None:
        """Ends a request whose client has disconnected, as soon as it has no attempt in flight."""
        request = self.table.requests.get(event.request_id)
        if request is None:
            return
        request.finished = True
        if not request.attempt_in_flight:
            del self.table.requests[request.id]

    def _request(self, event: RequestArrived, class_settings: ClassSettings) -> Request:
        settings = self.context.settings
        request = Request(
            event.request_id,
            class_settings,
            self.context.now,
            event.deadline_at,
            settings.max_attempts,
            event.reconnect,
            event.tenant,
        )
        request.hash_key = hash_key(event, self.context)
        request.priority = self.table.priority_weights.priority(class_settings, event.tenant)
        return request

    def _release(self, request: Request, result: AttemptResult) -> None:
        """Removes the connection of an attempt that ended, if the attempt had established one."""
        endpoint = request.endpoint
        if endpoint is None:
            return
        if self.table.release(endpoint, request) and result is AttemptResult.RESET:
            self.migration.expected_returns += 1.0
            self.draining.connection_broke(endpoint)
        self.registry.forget_unused(endpoint)
