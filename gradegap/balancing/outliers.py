"""Outlier ejection: endpoints whose attempts or health checks fail in a row are not selected for a while.

An ejected endpoint is still selected where nothing else can be.
"""

from __future__ import annotations

from gradegap.balancing.context import Context
from gradegap.balancing.model import Endpoint
from gradegap.balancing.outcome_rates import OutcomeRates

EJECTION_FAILURES = 2
"""Failures in a row from which an endpoint is ejected."""

FIRST_EJECTION_S = 0.5
"""Seconds of the first ejection; each further failure doubles it."""

MAX_EJECTION_S = 4.0
"""Seconds of the longest ejection."""


class OutlierEjection:
    """Ejects and recovers endpoints; what is counted is kept at each endpoint."""

    __slots__ = ("context", "rates")

    def __init__(self, context: Context, rates: OutcomeRates) -> None:
        self.context = context
        self.rates = rates

    def attempt_started(self, endpoint: Endpoint) -> None:
        """Ejects a failing endpoint again: one attempt at a time finds out whether it has recovered."""
        if endpoint.consecutive_failures >= EJECTION_FAILURES:
            endpoint.ejected_until = self.context.now + FIRST_EJECTION_S

    def attempt_failed(self, endpoint: Endpoint) -> None:
        """Counts a failure; where most attempts fail anywhere, it is no endpoint's fault."""
        endpoint.consecutive_failures += 1
        if self.rates.failure_excess(self.context.now) <= 0:
            self._eject(endpoint, endpoint.consecutive_failures)

    def connection_established(self, endpoint: Endpoint) -> None:
        """Recovers an endpoint: it serves, whatever its health checks say."""
        endpoint.unanswered_health_checks, endpoint.consecutive_failures = 0, 0
        endpoint.ejected_until = 0.0

    def health_check_answered(self, endpoint: Endpoint) -> None:
        """Recovers an endpoint, unless its attempts fail."""
        endpoint.unanswered_health_checks = 0
        if endpoint.consecutive_failures < EJECTION_FAILURES:
            endpoint.ejected_until = 0.0

    def health_check_failed(self, endpoint: Endpoint) -> None:
        """Counts an unanswered health check."""
        endpoint.unanswered_health_checks += 1
        self._eject(endpoint, endpoint.unanswered_health_checks)

    def _eject(self, endpoint: Endpoint, failures: int) -> None:
        """Ejects an endpoint for longer with each failure in a row, once there are enough."""
        if failures >= EJECTION_FAILURES:
            length = FIRST_EJECTION_S * 2.0 ** (failures - EJECTION_FAILURES)
            endpoint.ejected_until = self.context.now + min(MAX_EJECTION_S, length)
