"""A token bucket: so much a second, and at most so much at once. No I/O and no clock of its own."""

from __future__ import annotations


class TokenBucket:
    """Tokens are gained at `rate` a second up to `burst`; spending may leave a debt."""

    __slots__ = ("burst", "rate", "tokens", "updated_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst = rate, burst
        self.tokens = burst
        self.updated_at = now  # steady time, s

    def allows(self, now: float, size: float, reserve: float = 0.0) -> bool:
        """Whether `size` may be spent now with `reserve` left for what is more urgent."""
        self.advance(now)
        return self.tokens >= size + reserve

    def spend(self, now: float, size: float) -> None:
        """`size` is spent; what can't be put off may bring the balance below zero."""
        self.advance(now)
        self.tokens -= size

    def wait(self, now: float, size: float = 0.0, reserve: float = 0.0) -> float:
        """Seconds until `size` may be spent; 0: now."""
        self.advance(now)
        return max(0.0, (size + reserve - self.tokens) / self.rate)

    def advance(self, now: float) -> float:
        """Gain what the time since the last call brings; how much that is before the cap."""
        gained = max(0.0, now - self.updated_at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.updated_at = max(self.updated_at, now)
        return gained
