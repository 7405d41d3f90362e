"""Outlier ejection: endpoints that fail repeatedly are not selected for a limited time.

Both consecutive failed attempts and consecutive unanswered health checks count. An ejected endpoint is still
selected if no other endpoint is available.
"""

from __future__ import annotations

from gradegap.balancing.context import Context
from gradegap.balancing.model import Endpoint
from gradegap.balancing.outcome_rates import OutcomeRates

EJECTION_FAILURES = 2
"""Number of consecutive failures at which an endpoint is ejected."""

FIRST_EJECTION_S = 0.5
"""Duration of the first ejection in seconds; each further consecutive failure doubles it."""

MAX_EJECTION_S = 4.0
"""Upper bound of the duration of an ejection in seconds."""


class OutlierEjection:
    """Ejects endpoints and ends their ejection; the failure counts are kept in each `Endpoint`."""

    __slots__ = ("context", "rates")

    def __init__(self, context: Context, rates: OutcomeRates) -> None:
        self.context = context
        self.rates = rates

    def attempt_started(self, endpoint: Endpoint) -> None:
        """Extends the ejection of a failing endpoint, so that one attempt at a time tests its recovery."""
        if endpoint.consecutive_failures >= EJECTION_FAILURES:
            endpoint.ejected_until = self.context.now + FIRST_EJECTION_S

    def attempt_failed(self, endpoint: Endpoint) -> None:
        """Counts a failed attempt; ejects no endpoint while most attempts, over all endpoints, fail."""
        endpoint.consecutive_failures += 1
        if self.rates.failure_excess(self.context.now) <= 0:
            self._eject(endpoint, endpoint.consecutive_failures)

    def connection_established(self, endpoint: Endpoint) -> None:
        """Ends the ejection of an endpoint that accepted a connection, regardless of its health checks."""
        endpoint.unanswered_health_checks, endpoint.consecutive_failures = 0, 0
        endpoint.ejected_until = 0.0

    def health_check_answered(self, endpoint: Endpoint) -> None:
        """Ends the ejection of an endpoint, unless its consecutive failed attempts suffice for one."""
        endpoint.unanswered_health_checks = 0
        if endpoint.consecutive_failures < EJECTION_FAILURES:
            endpoint.ejected_until = 0.0

    def health_check_failed(self, endpoint: Endpoint) -> None:
        """Counts an unanswered health check."""
        endpoint.unanswered_health_checks += 1
        self._eject(endpoint, endpoint.unanswered_health_checks)

    def _eject(self, endpoint: Endpoint, failures: int) -> None:
        """Ejects an endpoint with enough consecutive failures; each further failure doubles the duration."""
        if failures >= EJECTION_FAILURES:
            duration = FIRST_EJECTION_S * 2.0 ** (failures - EJECTION_FAILURES)
            endpoint.ejected_until = self.context.now + min(MAX_EJECTION_S, duration)
