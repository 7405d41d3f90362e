"""The byte budget of one subscriber: a token bucket limits the bytes sent to a node. No I/O."""

from __future__ import annotations

from gradegap.observer.limits import Limits
from gradegap.observer.token_bucket import TokenBucket


class SubscriberBudget(TokenBucket):
    """The token bucket of one subscriber.

    A message is never split: it may overdraw the bucket, and later messages wait until the debt is repaid.
    """

    __slots__ = ("limits",)

    def __init__(self, limits: Limits, now: float) -> None:
        super().__init__(limits.subscriber_bytes_per_s, limits.subscriber_burst_bytes, now)
        self.limits = limits

    def spend(self, now: float, size: float) -> None:
        """Consume `size` bytes; the debt is bounded, so that no change waits over `max_delta_delay_s`."""
        self.advance(now)
        largest_debt = self.rate * self.limits.max_delta_delay_s
        self.tokens = max(-largest_debt, self.tokens - size)

    def spend_on_snapshot(self, now: float, size: float) -> None:
        """Consume `size` bytes, but not the last second's worth of tokens: the next change is not delayed."""
        self.advance(now)
        self.tokens = max(min(self.tokens, self.rate), self.tokens - size)
