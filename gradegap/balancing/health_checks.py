"""Health checks, which fetch load reports: on a schedule and before a comparison, within a budget.

Each request adds to the budget, so that the cost of health checks is bounded by the traffic that they serve.
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
"""Seconds between scheduled health checks of a full endpoint that has connections of this proxy."""

HEALTH_CHECK_INTERVAL_IDLE_S = 4.0
"""Seconds between scheduled health checks of an idle endpoint that has connections of this proxy."""

HEALTH_CHECKS_PER_REQUEST = 6.0
"""Number of health checks, scheduled ones included, that each request adds to the budget.

The budget bounds the cost of health checks.
"""

HEALTH_CHECKS_PER_RETRY = 2.0
"""Number of health checks that a retry or a reconnect adds to the budget.

Fewer than for a new request, so that a surge of retries does not cause a surge of health checks.
"""

MAX_HEALTH_CHECK_BUDGET = 30.0
"""Upper bound of the budget: number of health checks that can accumulate while there is little traffic."""

RESERVED_HEALTH_CHECKS = 4.0
"""Budget that scheduled health checks leave for the health checks that precede a comparison.

Without this reserve, requests would be placed without a health check.
"""

HEALTH_CHECK_TIMEOUT_S = 1.0
"""Seconds after which a health check without a result no longer blocks the endpoint's next one."""

ANSWERED_SHARE_GAIN = 0.05
"""Weight of one health check in the moving average of the fraction that is answered."""

MIN_SCHEDULE_PAUSE_S = 0.5
"""Shortest time in seconds between two rounds of scheduled health checks, before randomization."""

SCHEDULE_LOOKAHEAD_S = 0.1
"""A scheduled health check that is due within this many seconds is sent in the current round."""


class HealthChecks:
    """Sends health checks within a budget, and tracks the fraction that is answered."""

    __slots__ = ("answered_share", "budget", "context", "is_scheduled", "outliers", "registry", "reports")

    def __init__(
        self, context: Context, registry: EndpointRegistry, reports: LoadReports, outliers: OutlierEjection
    ) -> None:
        self.context = context
        self.registry = registry
        self.reports = reports
        self.outliers = outliers
        self.budget = MAX_HEALTH_CHECK_BUDGET / 2
        self.answered_share = 1.0  # moving average of the fraction of health checks that were answered
        self.is_scheduled = False  # whether the timer of the next round is set

    def earn(self, is_returning: bool) -> None:
        """Adds one request's contribution to the budget: less for a retry or reconnect (`is_returning`)."""
        earned = HEALTH_CHECKS_PER_RETRY if is_returning else HEALTH_CHECKS_PER_REQUEST
        self.budget = min(MAX_HEALTH_CHECK_BUDGET, self.budget + earned)

    def send(self, endpoint: Endpoint) -> None:
        """Sends a health check to an endpoint, unless one is pending."""
        if endpoint.health_check_sent_at < self.context.now - HEALTH_CHECK_TIMEOUT_S:
            endpoint.health_check_sent_at = self.context.now
            self.budget -= 1
            self.context.actions.append(CheckHealth(endpoint.name))

    def ended(self, endpoint: Endpoint, event: HealthCheckEnded) -> None:
        """Handles the result of a health check."""
        endpoint.health_check_sent_at = NEVER
        if event.result is AttemptResult.OK:
            if event.report:
                self.reports.read(endpoint, event.report)
            self.outliers.health_check_answered(endpoint)
            self.answered_share += ANSWERED_SHARE_GAIN * (1.0 - self.answered_share)
        elif event.result is not AttemptResult.FULL:  # an endpoint may limit health checks: not a failure
            self.outliers.health_check_failed(endpoint)
            self.answered_share -= ANSWERED_SHARE_GAIN * self.answered_share

    def observe(self, event: ConnectionObserved) -> None:
        """Sends a health check to an endpoint on which messages are slow."""
        endpoint = self.registry.endpoints.get(event.endpoint)
        if endpoint is None or event.message_delay is None:
            return
        is_affordable = self.context.uses_health_checks and self.budget > RESERVED_HEALTH_CHECKS
        if is_affordable and endpoint.last_report_at < self.context.now - HEALTH_CHECK_INTERVAL_FULL_S:
            self.send(endpoint)

    def start_schedule(self) -> None:
        """Sets the timer of the next scheduled round, unless it is set already."""
        if self.context.uses_health_checks and not self.is_scheduled:
            self.is_scheduled = True
            delay = HEALTH_CHECK_INTERVAL_FULL_S * (0.5 + self.context.random())
            self.context.actions.append(SetTimer(delay, HEALTH_CHECKS_TOKEN))

    def run_schedule(self) -> None:
        """Runs a round of the schedule over all endpoints that have connections of this proxy.

        Full endpoints are checked more often than idle ones.
        """
        context = self.context
        next_due_in = HEALTH_CHECK_INTERVAL_IDLE_S
        with_connections = [endpoint for endpoint in self.registry.endpoints.values() if endpoint.connections]
        for endpoint in with_connections:
            due_in = endpoint.last_report_at + _interval(endpoint) - context.now
            if due_in <= SCHEDULE_LOOKAHEAD_S:
                if self.budget > RESERVED_HEALTH_CHECKS and context.uses_health_checks:
                    self.send(endpoint)
                due_in = HEALTH_CHECK_INTERVAL_FULL_S
            next_due_in = min(next_due_in, due_in)
        self.is_scheduled = bool(with_connections) and context.uses_health_checks
        if self.is_scheduled:
            delay = max(MIN_SCHEDULE_PAUSE_S, next_due_in) * (0.75 + 0.5 * context.random())
            context.actions.append(SetTimer(delay, HEALTH_CHECKS_TOKEN))


def _interval(endpoint: Endpoint) -> float:
    """Returns the seconds between two scheduled health checks of an endpoint, by its load."""
    headroom = max(0.0, MIGRATION_START_LOAD - endpoint.load) if endpoint.load is not None else 0.5
    return min(HEALTH_CHECK_INTERVAL_IDLE_S, HEALTH_CHECK_INTERVAL_FULL_S * (1.0 + 5.0 * headroom))
