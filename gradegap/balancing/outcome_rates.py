"""How often attempts were sent, established and failed of late, and whether the whole fleet is overrun."""

from __future__ import annotations

from gradegap.balancing.rates import DecayingRate

TOLERATED_FAILURES_PER_S = 1.0
"""Attempts a second that may fail, beyond those that succeed, before the fleet counts as overrun."""


class OutcomeRates:
    """Rates of one proxy's attempts; a failure counts where the attempt reached the endpoint."""

    __slots__ = ("established", "failed", "sent")

    def __init__(self) -> None:
        self.established = DecayingRate()
        self.sent = DecayingRate()
        self.failed = DecayingRate()

    def failure_excess(self, now: float) -> float:
        """Returns by how much failures outweigh successes; above 0, what all endpoints share is overrun.

        Most attempts of late failed then, wherever they went, so no single endpoint is at fault.
        """
        established, failed = self.established.recent(now), self.failed.recent(now)
        return (failed - established - TOLERATED_FAILURES_PER_S) / (failed + established + 1.0)
