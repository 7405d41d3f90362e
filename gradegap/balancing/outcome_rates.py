"""Recent rates of attempts sent, established and failed, and the detection of fleet-wide overload."""

from __future__ import annotations

from gradegap.balancing.rates import DecayingRate

TOLERATED_FAILURES_PER_S = 1.0
"""Excess of failed over established attempts per second above which the fleet counts as overloaded."""


class OutcomeRates:
    """Rates of one proxy's attempts. A failed attempt counts only if it reached the endpoint."""

    __slots__ = ("established", "failed", "sent")

    def __init__(self) -> None:
        self.established = DecayingRate()
        self.sent = DecayingRate()
        self.failed = DecayingRate()

    def failure_excess(self, now: float) -> float:
        """Returns the excess of failures over successes, relative to their sum; at most 1.

        A positive value means that more recent attempts failed than succeeded, over all endpoints. The cause
        is then a resource that all endpoints share, not a single endpoint.
        """
        established, failed = self.established.recent(now), self.failed.recent(now)
        return (failed - established - TOLERATED_FAILURES_PER_S) / (failed + established + 1.0)
