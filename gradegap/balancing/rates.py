"""How often something happens, and how long it takes, as of late. It decides nothing.

Times are seconds.
"""

from __future__ import annotations

import math

SLOW_MEMORY_S = 20.0
"""Time constant of the usual rate, in seconds."""

FAST_MEMORY_S = 2.0
"""Time constant of the rate in a wave, in seconds."""


class DecayingRate:
    """Events a second, by two exponentially decaying counts."""

    __slots__ = ("fast_rate", "slow_rate", "updated_at")

    def __init__(self) -> None:
        self.fast_rate = self.slow_rate = self.updated_at = 0.0  # events a second, when the last one came

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
        """Returns the rate by the short memory."""
        return self.fast_rate * math.exp((self.updated_at - now) / FAST_MEMORY_S)

    def rate(self, now: float) -> float:
        """Returns the larger of the rates by the two memories, so that it rises at once in a wave."""
        return max(self.slow_rate * math.exp((self.updated_at - now) / SLOW_MEMORY_S), self.recent(now))


class MovingAverage:
    """The usual value of a number: its exponential moving average."""

    __slots__ = ("updated_at", "value")

    def __init__(self) -> None:
        self.value = self.updated_at = 0.0

    def observe(self, now: float, value: float, memory: float) -> None:
        """Takes over the number at a time; `memory` is the time constant in seconds."""
        if now > self.updated_at:
            part = 1.0 - math.exp((self.updated_at - now) / memory)
            self.value += part * (value - self.value) if self.value else value
            self.updated_at = now


class LatencyEstimate:
    """How long something takes: smoothed mean and mean deviation, and a timeout, as TCP's (RFC 6298)."""

    __slots__ = ("deviation", "mean")

    def __init__(self) -> None:
        self.mean = self.deviation = 0.0

    def observe(self, elapsed: float) -> None:
        """Takes over one measured time in seconds, with the gains of RFC 6298 (1/8 and 1/4)."""
        if self.mean <= 0.0:
            self.mean, self.deviation = elapsed, elapsed / 2
        else:
            self.deviation += (abs(elapsed - self.mean) - self.deviation) / 4
            self.mean += (elapsed - self.mean) / 8

    def timeout(self, least: float, most: float) -> float:
        """Returns the seconds from which one more is late, within bounds; `least` until anything is known."""
        return max(least, min(most, self.mean + 4.0 * self.deviation))
