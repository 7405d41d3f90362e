"""A token bucket, which limits a rate and its bursts. No I/O; callers pass in the time."""

from __future__ import annotations


class TokenBucket:
    """Gains `rate` tokens per second up to `burst`; spending may make the balance negative."""

    __slots__ = ("burst", "rate", "tokens", "updated_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst = rate, burst
        self.tokens = burst
        self.updated_at = now  # steady time (s) up to which gained tokens were added

    def allows(self, now: float, size: float, reserve: float = 0.0) -> bool:
        """Whether `size` tokens may be spent now, leaving `reserve` tokens for more urgent uses."""
        self.advance(now)
        return self.tokens >= size + reserve

    def spend(self, now: float, size: float) -> None:
        """Spend `size` tokens; a message that can't be delayed may make the balance negative."""
        self.advance(now)
        self.tokens -= size

    def wait(self, now: float, size: float = 0.0, reserve: float = 0.0) -> float:
        """Returns the time (s) until `size` tokens may be spent, leaving `reserve`; 0 if now."""
        self.advance(now)
        return max(0.0, (size + reserve - self.tokens) / self.rate)

    def advance(self, now: float) -> float:
        """Add the tokens gained since the last call; returns their number before the cap at `burst`."""
        gained = max(0.0, now - self.updated_at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.updated_at = max(self.updated_at, now)
        return gained
