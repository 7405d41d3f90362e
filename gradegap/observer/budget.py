"""What a node is sent, capped by a token bucket of bytes. No I/O."""

from __future__ import annotations

from gradegap.observer.limits import Limits


class Budget:
    """One subscriber's bucket. A message is never cut: it may leave a debt, which later ones wait for."""

    __slots__ = ("at", "limits", "tokens")

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits = limits
        self.tokens = float(limits.subscriber_burst_bytes)
        self.at = now

    def wait(self, now: float) -> float:
        """Seconds until a delta may be sent; 0: now."""
        self._advance(now)
        return max(0.0, -self.tokens / self.limits.subscriber_bytes_per_s)

    def spend(self, now: float, size: int) -> None:
        """So many bytes are sent. The debt is bounded, so that no change waits longer than that."""
        self._advance(now)
        least = -self.limits.subscriber_bytes_per_s * self.limits.max_delta_delay_s
        self.tokens = max(least, self.tokens - size)

    def use_up(self, now: float, size: int) -> None:
        """So many bytes are sent, but a second's worth is left, so that the next change need not wait."""
        self._advance(now)
        self.tokens = max(min(self.tokens, self.limits.subscriber_bytes_per_s), self.tokens - size)

    def _advance(self, now: float) -> None:
        gained = max(0.0, now - self.at) * self.limits.subscriber_bytes_per_s
        self.tokens = min(float(self.limits.subscriber_burst_bytes), self.tokens + gained)
        self.at = max(self.at, now)
