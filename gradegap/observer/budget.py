"""The byte budget of one subscriber: what a node is sent, capped by a token bucket. No I/O."""

from __future__ import annotations

from gradegap.observer.limits import Limits
from gradegap.observer.token_bucket import TokenBucket


class SubscriberBudget(TokenBucket):
    """One subscriber's bucket. A message is never cut: it may leave a debt, which later ones wait for."""

    __slots__ = ("limits",)

    def __init__(self, limits: Limits, now: float) -> None:
        super().__init__(limits.subscriber_bytes_per_s, limits.subscriber_burst_bytes, now)
        self.limits = limits

    def spend(self, now: float, size: float) -> None:
        """So many bytes are sent. The debt is bounded, so that no change waits longer than that."""
        self.advance(now)
        largest_debt = self.rate * self.limits.max_delta_delay_s
        self.tokens = max(-largest_debt, self.tokens - size)

    def spend_on_snapshot(self, now: float, size: float) -> None:
        """So many bytes are sent, but a second's worth is left, so that the next change need not wait."""
        self.advance(now)
        self.tokens = max(min(self.tokens, self.rate), self.tokens - size)
