"""The entry point of the balancing decisions. Events are defined in `events.py`, actions in `actions.py`.

A `Balancer` makes the decisions of one proxy. It is a state machine: an event and the current time go in,
actions come out. It does no I/O and reads no clock. Each module of the package is responsible for one
decision or computation; this one wires them together and dispatches events.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from gradegap.balancing.actions import Action, WatchEndpoints
from gradegap.balancing.admission import Admission
from gradegap.balancing.attempts import Attempts
from gradegap.balancing.capacity import Capacity
from gradegap.balancing.connection_growth import ConnectionGrowth
from gradegap.balancing.context import Context
from gradegap.balancing.draining import Draining
from gradegap.balancing.endpoint_registry import EndpointRegistry
from gradegap.balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    ConnectionObserved,
    EndpointList,
    Event,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.grouping import Grouping
from gradegap.balancing.health_checks import HealthChecks
from gradegap.balancing.load_estimates import LoadEstimates
from gradegap.balancing.load_reports import LoadReports
from gradegap.balancing.migration import Migration
from gradegap.balancing.model import NEVER, Endpoint, Request
from gradegap.balancing.observer import DecisionObserver
from gradegap.balancing.outcome_rates import OutcomeRates
from gradegap.balancing.outliers import OutlierEjection
from gradegap.balancing.priority import PriorityWeights
from gradegap.balancing.report_statistics import ReportStatistics
from gradegap.balancing.request_lifecycle import RequestLifecycle
from gradegap.balancing.request_table import RequestTable
from gradegap.balancing.selection import Selection
from gradegap.balancing.settings import Settings
from gradegap.balancing.slow_start import SlowStart
from gradegap.balancing.timers import TimerKind, parse

MAJORITY_ANSWERED_SHARE = 0.5
"""Fraction of answered health checks above which an endpoint that does not answer is itself at fault.

Below this fraction, the cause is assumed to be common to all endpoints.
"""


class Balancer:
    """The decisions of one proxy: `handle(now, event)` returns the actions to execute, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        context = self.context = Context(settings, seed)
        self.priority_weights = PriorityWeights(settings)
        self.table = RequestTable(self.priority_weights)
        self.registry = EndpointRegistry(context)
        self.report_statistics, self.capacity = ReportStatistics(), Capacity()
        self.reports = LoadReports(context, self.report_statistics)
        self.rates = OutcomeRates()
        self.growth = ConnectionGrowth(context, self.table)
        self.load_estimates = LoadEstimates(context, self.registry.ready, self.capacity)
        self.slow_start = SlowStart(self.capacity)
        self.outliers = OutlierEjection(context, self.rates)
        self.health_checks = HealthChecks(context, self.registry, self.reports, self.outliers)
        self.grouping = Grouping(context, self.registry, self.capacity)
        self.admission = Admission(
            context, self.load_estimates, self.report_statistics, self.growth, self.rates
        )
        self.attempts = Attempts(context, self.table, self.rates, self.outliers)
        self.selection = Selection(
            context,
            self.registry,
            self.table,
            self.rates,
            self.load_estimates,
            self.admission,
            self.grouping,
            self.slow_start,
            self.health_checks,
            self.attempts,
        )
        self.migration = Migration(context, self.table, self.load_estimates, self.report_statistics)
        self.draining = Draining(context, self.registry, self.table, self.attempts, self.migration)
        self.registry.on_endpoint_leaving = self.draining.drain_endpoint
        self.lifecycle = RequestLifecycle(
            context,
            self.registry,
            self.table,
            self.reports,
            self.rates,
            self.growth,
            self.outliers,
            self.health_checks,
            self.attempts,
            self.selection,
            self.migration,
            self.draining,
        )
        self.handlers = self._handlers()

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """All known endpoints by name; callers must not modify them."""
        return self.registry.endpoints

    @property
    def requests(self) -> Mapping[int, Request]:
        """All requests that have not ended, by id; callers must not modify them."""
        return self.table.requests

    def adopt(self, settings: Settings) -> None:
        """Replaces the settings in force."""
        self.context.adopt(settings)
        self.priority_weights.adopt(settings)

    def observe(self, observer: DecisionObserver) -> None:
        """Registers an observer that is called at each step of a decision."""
        self.selection.observer = self.attempts.observer = observer

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handles an event and returns the actions to execute, in order.

        Args:
            now: The current time in seconds, from a clock that never goes back.
            event: The event. One that refers to an unknown request, attempt or timer is ignored.
        """
        context = self.context
        context.now = now
        if context.started_at == NEVER:
            context.started_at = self.slow_start.started_at = now
        actions = context.actions = []
        self.handlers[type(event)](event)
        return actions

    def _handlers(self) -> dict[type, Callable[[Any], None]]:
        """Returns the handler of each event type."""
        return {
            EndpointList: self.registry.update,
            RequestArrived: self.lifecycle.arrived,
            ConnectionInherited: self.lifecycle.inherited,
            ConnectionEstablished: self.lifecycle.established,
            ConnectionObserved: self._connection_observed,
            AttemptEnded: self.lifecycle.attempt_ended,
            ClientDisconnected: self.lifecycle.disconnected,
            TimerFired: self._timer_fired,
            HealthCheckEnded: self._health_check_ended,
            ProxyDraining: self.draining.drain_proxy,
            ProxyResumed: self._proxy_resumed,
        }

    def _connection_observed(self, event: ConnectionObserved) -> None:
        request = self.table.requests.get(event.request_id)
        if event.load and request is not None:
            self.priority_weights.observe_load(request.class_settings.name, event.load)
        self.health_checks.observe(event)

    def _health_check_ended(self, event: HealthCheckEnded) -> None:
        endpoint = self.registry.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        self.health_checks.ended(endpoint, event)
        self.selection.health_check_ended(endpoint)
        if endpoint.connections:
            self.migration.relieve(endpoint, self.health_checks.answered_share > MAJORITY_ANSWERED_SHARE)

    def _proxy_resumed(self, event: ProxyResumed) -> None:
        self.draining.resume_proxy()

    def _timer_fired(self, event: TimerFired) -> None:
        timer = parse(event.token)
        if timer is None:
            return
        match timer.kind:
            case TimerKind.REQUEST:
                self.selection.request_timer_fired(int(timer.subject))
            case TimerKind.HEALTH_CHECKS:
                self.health_checks.run_schedule()
            case TimerKind.ENDPOINT_LIST:
                self.context.actions.append(WatchEndpoints())
            case TimerKind.PROXY_DRAIN:
                self.draining.run_proxy_round()
            case TimerKind.ENDPOINT_DRAIN:
                self.draining.run_endpoint_round(timer.subject, event.token)
