"""Leases that allow nodes to decide by committed state: the leader's side and the holder's. No I/O, no clock.

All times are seconds of the caller's own steady clock. The bound on clock drift is
`RaftSettings.max_clock_drift`. The holder counts the lease from its request and shortens it by that ratio;
the granter counts it from the grant and divides it by 1 minus that ratio.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

DEFAULT_LEASE_S = 1.0  # lease length; the failure of a lease holder can delay a write for about as long
RENEW_AFTER_RATIO = 0.3  # fraction of the lease after which an extension is requested
REQUEST_RETENTION_S = 5.0  # unanswered lease requests are forgotten after this time
NEVER = -1e18  # a time (s) earlier than any reading of the caller's clock
MAX_INDEX = 1 << 62  # greater than any log index
MAX_LEASE_HOLDERS = 256
DECISION_PREFIXES = ("out/", "config/", "keys/", "quota/")  # prefixes of the keys that nodes decide by


def affects_decisions(keys: list[str]) -> bool:
    """Whether a write to these keys must be applied by all lease holders before it is acknowledged."""
    return any(key.startswith(DECISION_PREFIXES) for key in keys)


@dataclass(slots=True)
class Grant:
    """A granted lease."""

    until: float  # time (s) at which the lease expires
    applied: int  # the last log index that the holder has applied


class LeaseGranter:
    """The leases granted by a leader. A new one is created for each term in which the member leads."""

    def __init__(self, now: float, max_clock_drift: float, lease_s: float = DEFAULT_LEASE_S) -> None:
        self.max_clock_drift = max_clock_drift
        self.lease_s = lease_s
        self.grants: dict[str, Grant] = {}  # the latest grant of each holder, by the holder's name
        # Leases granted by an earlier leader are not known here, so writes wait until all have expired.
        self.unknown_until = self._expiry(now)
        # Log indexes, each with the callback to run once all holders have applied that index.
        self.waiting: list[tuple[int, Callable[[], None]]] = []

    def _expiry(self, now: float) -> float:
        return now + self.lease_s / (1.0 - self.max_clock_drift)

    def grant(self, now: float, holder: str, applied: int, lease_until: float) -> float:
        """Grant or extend a lease. Returns its length (s), counted from the request; 0 if none is granted.

        `lease_until` is the end of the leader's own lease: after it, another member may lead.
        """
        if now >= lease_until or (holder not in self.grants and len(self.grants) >= MAX_LEASE_HOLDERS):
            return 0.0
        known = self.grants.get(holder)
        known_applied = known.applied if known is not None else 0
        self.grants[holder] = Grant(self._expiry(now), max(applied, known_applied))
        return self.lease_s

    def holder_applied(self, holder: str, index: int) -> None:
        """Record that a holder has applied the log up to `index`."""
        known = self.grants.get(holder)
        if known is not None:
            known.applied = max(known.applied, index)

    def when_applied_by_all(self, now: float, index: int, done: Callable[[], None]) -> None:
        """Call `done` once every holder of a valid lease has applied `index`."""
        self.waiting.append((index, done))
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drop expired leases, and run the callbacks whose index all remaining holders have applied."""
        for holder in [holder for holder, grant in self.grants.items() if grant.until <= now]:
            del self.grants[holder]
        if now < self.unknown_until or not self.waiting:
            return
        applied_by_all = min((grant.applied for grant in self.grants.values()), default=MAX_INDEX)
        ready = [done for index, done in self.waiting if index <= applied_by_all]
        self.waiting = [(index, done) for index, done in self.waiting if index > applied_by_all]
        for done in ready:
            done()

    def next_expiry(self) -> float | None:
        """Returns the next expiry (s) of a lease that a callback waits for; None if no callback waits."""
        if not self.waiting:
            return None
        return min([self.unknown_until, *(grant.until for grant in self.grants.values())])


class LeaseHolder:
    """A node's own lease. `is_fresh` must be checked before each decision."""

    def __init__(self, name: str, max_clock_drift: float) -> None:
        self.name = name
        self.max_clock_drift = max_clock_drift
        self.until = NEVER
        self.serial = 0
        self.term = 0
        # send times (s) of unanswered lease requests, by serial number
        self.requested_at: dict[int, float] = {}
        # Granted leases that are not valid yet: the index to be applied first, and the end of the lease (s).
        self._pending: list[tuple[int, float]] = []

    def begin_request(self, now: float) -> int:
        """Start a request and return its serial; forget old requests that were never answered."""
        self.serial += 1
        self.requested_at = {
            serial: at for serial, at in self.requested_at.items() if now - at < REQUEST_RETENTION_S
        }
        self.requested_at[self.serial] = now
        return self.serial

    def granted(
        self, now: float, serial: int, term: int, index: int, duration_s: float, applied: int
    ) -> None:
        """Handle the leader's response: a lease of `duration_s`, valid once `index` is applied here."""
        requested_at = self.requested_at.pop(serial, None)
        if requested_at is None or duration_s <= 0 or term < self.term:
            return  # the response is a duplicate, or from a leader that was replaced
        self.term = term
        self._pending.append((index, requested_at + duration_s * (1.0 - self.max_clock_drift)))
        self.applied(applied)

    def applied(self, index: int) -> None:
        """Record that this node has applied the log up to `index`, which may make leases valid."""
        for wanted, until in self._pending:
            if wanted <= index:
                self.until = max(self.until, until)
        self._pending = [(wanted, until) for wanted, until in self._pending if wanted > index]

    def is_fresh(self, now: float) -> bool:
        """Whether the lease is valid, so that decisions are based on up-to-date committed state."""
        return now < self.until

    def should_renew(self, now: float, lease_s: float = DEFAULT_LEASE_S) -> bool:
        """Whether it is time to request an extension of the lease."""
        return now > self.until - lease_s * (1.0 - RENEW_AFTER_RATIO)
