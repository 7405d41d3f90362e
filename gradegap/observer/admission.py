"""A bounded rate of new subscriptions, and when those over it should come again. No I/O."""

from __future__ import annotations

import random as random_module

from gradegap.observer.limits import Limits

SPREAD = 0.5  # of the wait, by which it is drawn longer


class Admission:
    """A token bucket. Each node that is turned away is told a later time than the one before it."""

    def __init__(self, limits: Limits, now: float, random: random_module.Random) -> None:
        self.rate = limits.subscribe_rate
        self.burst = float(limits.subscribe_burst)
        self.max_wait_s = limits.max_retry_after_s
        self.random = random
        self.tokens = self.burst
        self.promised = 0.0  # nodes that were told to come again and have not had the time to
        self.at = now

    def admit(self, now: float) -> bool:
        """Whether one more may subscribe now."""
        self._advance(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def retry_after(self, now: float) -> float:
        """Seconds after which a node that was not admitted should come again."""
        self._advance(now)
        self.promised += 1.0
        wait = self.promised / self.rate
        return min(self.max_wait_s, wait) * (1.0 + SPREAD * self.random.random())

    def _advance(self, now: float) -> None:
        gained = max(0.0, now - self.at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.promised = max(0.0, self.promised - gained)
        self.at = max(self.at, now)
