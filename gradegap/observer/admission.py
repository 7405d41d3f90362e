"""Which subscriptions a publisher admits: checks of the first message, and a bounded rate. No I/O."""

from __future__ import annotations

import random as random_module

from gradegap.observer.limits import Limits
from gradegap.observer.messages import VERSION, CloseCode, Rejected, Subscribe
from gradegap.observer.token_bucket import TokenBucket

RETRY_SPREAD = 0.5  # of the wait, by which it is drawn longer


class AdmissionRate:
    """A bounded rate of new subscriptions. Each node over it is given a later time than the one before."""

    def __init__(self, limits: Limits, now: float, random: random_module.Random) -> None:
        self.bucket = TokenBucket(limits.subscribe_rate, float(limits.subscribe_burst), now)
        self.max_wait_s = limits.max_retry_after_s
        self.random = random
        self.expected_retries = 0.0  # nodes that were given a time to retry and have not had the time to

    def admit(self, now: float) -> bool:
        """Whether one more may subscribe now."""
        self._advance(now)
        if self.bucket.tokens < 1.0:
            return False
        self.bucket.tokens -= 1.0
        return True

    def retry_after(self, now: float) -> float:
        """Seconds after which a node that was not admitted should retry."""
        self._advance(now)
        self.expected_retries += 1.0
        wait = self.expected_retries / self.bucket.rate
        return min(self.max_wait_s, wait) * (1.0 + RETRY_SPREAD * self.random.random())

    def _advance(self, now: float) -> None:
        self.expected_retries = max(0.0, self.expected_retries - self.bucket.advance(now))


class Admission:
    """Whether a node may subscribe at this machine."""

    def __init__(self, cluster: str, limits: Limits, now: float, random: random_module.Random) -> None:
        self.cluster = cluster
        self.limits = limits
        self.rate = AdmissionRate(limits, now, random)

    def rejection(self, now: float, message: Subscribe, revision: int, full: bool) -> Rejected | None:
        """Why this node is rejected; None: it is admitted.

        `revision` is the machine's own; `full`: it has as many subscriptions as it takes.
        """
        if message.version != VERSION:
            text = f"this machine speaks version {VERSION}, not {message.version}"
            return Rejected(CloseCode.VERSION, text)
        if message.cluster and message.cluster != self.cluster:
            return Rejected(CloseCode.CLUSTER, f"this machine belongs to cluster {self.cluster}")
        if not message.node or not message.instance:
            return Rejected(CloseCode.GARBLED, "a node and an instance have to be named")
        if message.revision > revision:
            text = f"this machine is at revision {revision}, the node at {message.revision}"
            return Rejected(CloseCode.BEHIND, text, self.limits.renew_interval_s)
        if full or not self.rate.admit(now):
            text = "too many subscriptions" if full else "too many new subscriptions a second"
            return Rejected(CloseCode.BUSY, text, self.rate.retry_after(now))
        return None
