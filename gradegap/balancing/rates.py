"""How often something happens, as of late. It decides nothing."""

from __future__ import annotations

import math

SLOW = 20.0  # s: memory of the usual rate
FAST = 2.0  # s: memory of the rate in a wave


class DecayingRate:
    """Events a second of late: the larger of a long and a short memory, so it rises at once in a wave."""

    __slots__ = ("at", "fast", "slow")

    def __init__(self) -> None:
        self.fast = self.slow = self.at = 0.0

    def add(self, now: float) -> None:
        self.slow = self.slow * math.exp((self.at - now) / SLOW) + 1 / SLOW
        self.fast = self.fast * math.exp((self.at - now) / FAST) + 1 / FAST
        self.at = now

    def late(self, now: float) -> float:
        return self.fast * math.exp((self.at - now) / FAST)

    def get(self, now: float) -> float:
        return max(self.slow * math.exp((self.at - now) / SLOW), self.late(now))


class BaselineRate:
    """The usual number of something, as of late."""

    __slots__ = ("at", "number")

    def __init__(self) -> None:
        self.number = self.at = 0.0

    def seen(self, now: float, number: float, memory: float) -> None:
        """So many there are now; `memory` is the time constant (s)."""
        if now > self.at:
            part = 1.0 - math.exp((self.at - now) / memory)
            self.number += part * (number - self.number) if self.number else number
            self.at = now


class LatencyEstimate:
    """How long something takes: a smoothed mean and deviation, and when it is late (RFC 6298)."""

    __slots__ = ("apart", "mean")

    def __init__(self) -> None:
        self.mean = self.apart = 0.0

    def took(self, spent: float) -> None:
        if self.mean <= 0.0:
            self.mean, self.apart = spent, spent / 2
        else:
            self.apart += (abs(spent - self.mean) - self.apart) / 4
            self.mean += (spent - self.mean) / 8

    def late(self, least: float, most: float) -> float:
        """Seconds from which one more is late: `least` until something is known."""
        return max(least, min(most, self.mean + 4.0 * self.apart))
