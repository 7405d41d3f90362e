"""Admission control of a publisher: validates the first message and limits the subscription rate. No I/O."""

from __future__ import annotations

import random as random_module

from gradegap.observer.limits import Limits
from gradegap.observer.messages import VERSION, CloseCode, Rejected, Subscribe
from gradegap.observer.token_bucket import TokenBucket

RETRY_JITTER_RATIO = 0.5  # a retry wait is lengthened by a random fraction between 0 and this ratio


class AdmissionRate:
    """Limits the rate of new subscriptions, and spreads the retries of rejected nodes over later times."""

    def __init__(self, limits: Limits, now: float, random: random_module.Random) -> None:
        self.bucket = TokenBucket(limits.subscribe_rate, float(limits.subscribe_burst), now)
        self.max_wait_s = limits.max_retry_after_s
        self.random = random
        self.expected_retries = 0.0  # estimated number of nodes that were told to retry at a time still ahead

    def admit(self, now: float) -> bool:
        """Whether another node may subscribe now; if so, a token is consumed."""
        self._advance(now)
        if self.bucket.tokens < 1.0:
            return False
        self.bucket.tokens -= 1.0
        return True

    def retry_after(self, now: float) -> float:
        """Returns the wait (s) after which a node that was not admitted should retry."""
        self._advance(now)
        self.expected_retries += 1.0
        wait_s = self.expected_retries / self.bucket.rate
        return min(self.max_wait_s, wait_s) * (1.0 + RETRY_JITTER_RATIO * self.random.random())

    def _advance(self, now: float) -> None:
        self.expected_retries = max(0.0, self.expected_retries - self.bucket.advance(now))


class Admission:
    """Decides whether a node may subscribe to this machine."""

    def __init__(self, cluster: str, limits: Limits, now: float, random: random_module.Random) -> None:
        self.cluster = cluster
        self.limits = limits
        self.rate = AdmissionRate(limits, now, random)

    def rejection(self, now: float, message: Subscribe, revision: int, is_full: bool) -> Rejected | None:
        """Returns the rejection to send to this node; None if the node is admitted.

        `revision` is the last revision that this machine has applied. `is_full` means that the machine has
        reached its maximum number of subscriptions.
        """
        if message.version != VERSION:
            text = f"protocol version must be {VERSION}, got {message.version}"
            return Rejected(CloseCode.VERSION, text)
        if message.cluster and message.cluster != self.cluster:
            return Rejected(CloseCode.CLUSTER, f"this machine belongs to cluster {self.cluster}")
        if not message.node or not message.instance:
            return Rejected(CloseCode.GARBLED, "node and instance must not be empty")
        if message.revision > revision:
            text = f"this machine has applied revision {revision}, the node already has {message.revision}"
            return Rejected(CloseCode.BEHIND, text, self.limits.renew_interval_s)
        if is_full or not self.rate.admit(now):
            text = "too many subscriptions" if is_full else "too many new subscriptions per second"
            return Rejected(CloseCode.BUSY, text, self.rate.retry_after(now))
        return None
