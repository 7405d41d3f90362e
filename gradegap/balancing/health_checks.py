"""When endpoints are checked for their load: on a schedule, and before a comparison; within a budget.

Requests earn the budget, so that the cost of health checks is bounded by the traffic that they serve.
"""

from __future__ import annotations

from gradegap.balancing.actions import CheckHealth, SetTimer
from gradegap.balancing.context import Context
from gradegap.balancing.endpoint_registry import EndpointRegistry
from gradegap.balancing.events import AttemptResult, ConnectionObserved, HealthCheckEnded
from gradegap.balancing.load_reports import LoadReports
from gradegap.balancing.migration import MIGRATION_START_LOAD
from gradegap.balancing.model import NEVER, Endpoint
from gradegap.balancing.outliers import OutlierEjection
from gradegap.balancing.timers import HEALTH_CHECKS_TOKEN

HEALTH_CHECK_INTERVAL_FULL_S = 0.7
"""Seconds between scheduled health checks of a full endpoint that holds our connections."""

HEALTH_CHECK_INTERVAL_IDLE_S = 4.0
"""Seconds between scheduled health checks of an idle endpoint that holds our connections."""

HEALTH_CHECKS_PER_REQUEST = 6.0
"""Health checks, scheduled ones included, that each request adds to the budget: it bounds their cost."""

HEALTH_CHECKS_PER_RETRY = 2.0
"""The same for a client that comes again, so that a wave of retries is not one of health checks."""

MAX_HEALTH_CHECK_BUDGET = 30.0
"""Health checks that a quiet time may save up."""

RESERVED_HEALTH_CHECKS = 4.0
"""Part of the budget that scheduled health checks leave to requests, which else would go unchecked."""

HEALTH_CHECK_TIMEOUT_S = 1.0
"""Seconds after which a health check without a result no longer holds up another one."""

ANSWERED_SHARE_GAIN = 0.05
"""Weight of one health check in the share of those that are answered."""

SHORTEST_PAUSE_S = 0.5
"""Seconds at least between two rounds of scheduled health checks, before they are spread at random."""

DUE_WITHIN_S = 0.1
"""Seconds ahead of its time at which a scheduled health check is sent along."""


class HealthChecks:
    """Sends health checks, and knows how many of them are answered."""

    __slots__ = ("answered_share", "budget", "context", "is_scheduled", "outliers", "registry", "reports")

    def __init__(
        self, context: Context, registry: EndpointRegistry, reports: LoadReports, outliers: OutlierEjection
    ) -> None:
        self.context = context
        self.registry = registry
        self.reports = reports
        self.outliers = outliers
        self.budget = MAX_HEALTH_CHECK_BUDGET / 2
        self.answered_share = 1.0  # of late
        self.is_scheduled = False  # whether the timer of the schedule is set

    def earn(self, is_returning: bool) -> None:
        """Adds to the budget what one request brings."""
        earned = HEALTH_CHECKS_PER_RETRY if is_returning else HEALTH_CHECKS_PER_REQUEST
        self.budget = min(MAX_HEALTH_CHECK_BUDGET, self.budget + earned)

    def send(self, endpoint: Endpoint) -> None:
        """Checks an endpoint, unless a health check of it is under way."""
        if endpoint.health_check_sent_at < self.context.now - HEALTH_CHECK_TIMEOUT_S:
            endpoint.health_check_sent_at = self.context.now
            self.budget -= 1
            self.context.actions.append(CheckHealth(endpoint.name))

    def ended(self, endpoint: Endpoint, event: HealthCheckEnded) -> None:
        """Takes over the result of a health check."""
        endpoint.health_check_sent_at = NEVER
        if event.result is AttemptResult.OK:
            if event.report:
                self.reports.read(endpoint, event.report)
            self.outliers.health_check_answered(endpoint)
            self.answered_share += ANSWERED_SHARE_GAIN * (1.0 - self.answered_share)
        elif event.result is not AttemptResult.FULL:  # an endpoint caps its health checks: that is no fault
            self.outliers.health_check_failed(endpoint)
            self.answered_share -= ANSWERED_SHARE_GAIN * self.answered_share

    def observe(self, event: ConnectionObserved) -> None:
        """Checks an endpoint at which messages take long."""
        endpoint = self.registry.endpoints.get(event.endpoint)
        if endpoint is None or event.message_delay is None:
            return
        affordable = self.context.uses_health_checks and self.budget > RESERVED_HEALTH_CHECKS
        if affordable and endpoint.last_report_at < self.context.now - HEALTH_CHECK_INTERVAL_FULL_S:
            self.send(endpoint)

    def start_schedule(self) -> None:
        """Sets the timer of the schedule, unless it is set."""
        if self.context.uses_health_checks and not self.is_scheduled:
            self.is_scheduled = True
            delay = HEALTH_CHECK_INTERVAL_FULL_S * (0.5 + self.context.random())
            self.context.actions.append(SetTimer(delay, HEALTH_CHECKS_TOKEN))

    def run_schedule(self) -> None:
        """Checks the endpoints that hold our connections: often where full, seldom where idle."""
        context = self.context
        nearest = HEALTH_CHECK_INTERVAL_IDLE_S
        holding = [endpoint for endpoint in self.registry.endpoints.values() if endpoint.connections]
        for endpoint in holding:
            due_in = endpoint.last_report_at + _interval(endpoint) - context.now
            if due_in <= DUE_WITHIN_S:
                if self.budget > RESERVED_HEALTH_CHECKS and context.uses_health_checks:
                    self.send(endpoint)
                due_in = HEALTH_CHECK_INTERVAL_FULL_S
            nearest = min(nearest, due_in)
        self.is_scheduled = bool(holding) and context.uses_health_checks
        if self.is_scheduled:
            delay = max(SHORTEST_PAUSE_S, nearest) * (0.75 + 0.5 * context.random())
            context.actions.append(SetTimer(delay, HEALTH_CHECKS_TOKEN))


def _interval(endpoint: Endpoint) -> float:
    """Returns the seconds between two scheduled health checks of an endpoint."""
    idle = max(0.0, MIGRATION_START_LOAD - endpoint.load) if endpoint.load is not None else 0.5
    return min(HEALTH_CHECK_INTERVAL_IDLE_S, HEALTH_CHECK_INTERVAL_FULL_S * (1.0 + 5.0 * idle))
