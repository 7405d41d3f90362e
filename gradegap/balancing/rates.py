"""Estimators of event rates, moving averages and latencies. No decision logic.

All times are in seconds.
"""

from __future__ import annotations

import math

SLOW_MEMORY_S = 20.0
"""Time constant, in seconds, of the slow rate, which measures usual traffic."""

FAST_MEMORY_S = 2.0
"""Time constant, in seconds, of the fast rate, which follows a surge of traffic."""


class DecayingRate:
    """Events per second, from two exponentially decaying counts with different time constants."""

    __slots__ = ("fast_rate", "slow_rate", "updated_at")

    def __init__(self) -> None:
        self.fast_rate = self.slow_rate = self.updated_at = 0.0  # rates as of the last event, `updated_at`

    def add(self, now: float) -> None:
        """Counts one event."""
        self.slow_rate = (
            self.slow_rate * math.exp((self.updated_at - now) / SLOW_MEMORY_S) + 1 / SLOW_MEMORY_S
        )
        self.fast_rate = (
            self.fast_rate * math.exp((self.updated_at - now) / FAST_MEMORY_S) + 1 / FAST_MEMORY_S
        )
        self.updated_at = now

    def recent(self, now: float) -> float:
        """Returns the fast rate in events per second."""
        return self.fast_rate * math.exp((self.updated_at - now) / FAST_MEMORY_S)

    def rate(self, now: float) -> float:
        """Returns the larger of the fast and the slow rate, which follows a surge immediately."""
        return max(self.slow_rate * math.exp((self.updated_at - now) / SLOW_MEMORY_S), self.recent(now))


class MovingAverage:
    """An exponential moving average of irregular samples."""

    __slots__ = ("updated_at", "value")

    def __init__(self) -> None:
        self.value = self.updated_at = 0.0

    def observe(self, now: float, sample: float, memory: float) -> None:
        """Adds a sample; `memory` is the time constant in seconds."""
        if now > self.updated_at:
            gain = 1.0 - math.exp((self.updated_at - now) / memory)
            self.value += gain * (sample - self.value) if self.value else sample
            self.updated_at = now


class LatencyEstimate:
    """Smoothed mean and mean deviation of a latency, and a timeout from both, as in TCP (RFC 6298)."""

    __slots__ = ("deviation", "mean")

    def __init__(self) -> None:
        self.mean = self.deviation = 0.0

    def observe(self, elapsed: float) -> None:
        """Adds one measured latency in seconds, with the gains of RFC 6298 (1/8 and 1/4)."""
        if self.mean <= 0.0:
            self.mean, self.deviation = elapsed, elapsed / 2
        else:
            self.deviation += (abs(elapsed - self.mean) - self.deviation) / 4
            self.mean += (elapsed - self.mean) / 8

    def timeout(self, least: float, most: float) -> float:
        """Returns the timeout in seconds, within `least` and `most`; `least` until a latency is known."""
        return max(least, min(most, self.mean + 4.0 * self.deviation))
