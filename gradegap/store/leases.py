"""Leases of nodes that decide by committed state: the leader's side and the node's. No I/O, no clock.

All times are seconds of the caller's own steady clock. The bound on drift is the core's
(`RaftSettings.max_clock_drift`): a holder counts from its request and stops early, a granter from its grant
and waits longer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

DEFAULT_LEASE_S = 1.0  # what a node's death can cost a write that nodes decide by
RENEW_FRACTION = 0.3  # of the lease, after which a longer one is requested
REQUEST_MEMORY_S = 5.0  # after which a request that was not answered is forgotten
NEVER = -1e18
MAX_INDEX = 1 << 62
MAX_LEASE_HOLDERS = 256
DECISION_PREFIXES = ("out/", "config/", "keys/", "quota/")  # of the keys that nodes decide by


def affects_decisions(keys: list[str]) -> bool:
    """Whether a write to these keys is acknowledged only once every lease holder has applied it."""
    return any(key.startswith(DECISION_PREFIXES) for key in keys)


@dataclass(slots=True)
class Grant:
    """A lease that was granted, and the index that its holder has applied."""

    until: float
    applied: int


class LeaseGranter:
    """A leader's record of the leases it granted. It begins anew with each term that this member leads."""

    def __init__(self, now: float, max_clock_drift: float, lease_s: float = DEFAULT_LEASE_S) -> None:
        self.max_clock_drift = max_clock_drift
        self.lease_s = lease_s
        self.grants: dict[str, Grant] = {}  # by holder
        # Leases that an earlier leader granted: nobody here knows of them, so all are waited for.
        self.unknown_until = self._expiry(now)
        self.waiting: list[tuple[int, Callable[[], None]]] = []  # an index, and who waits for it

    def _expiry(self, now: float) -> float:
        return now + self.lease_s / (1.0 - self.max_clock_drift)

    def grant(self, now: float, holder: str, applied: int, lease_until: float) -> float:
        """The length (s) of the lease from its request on; 0 where there is none to give.

        `lease_until` is the end of the leader's own lease.
        """
        if now >= lease_until or (holder not in self.grants and len(self.grants) >= MAX_LEASE_HOLDERS):
            return 0.0
        known = self.grants.get(holder)
        known_applied = known.applied if known is not None else 0
        self.grants[holder] = Grant(self._expiry(now), max(applied, known_applied))
        return self.lease_s

    def holder_applied(self, holder: str, index: int) -> None:
        """A holder has applied the log up to `index`."""
        known = self.grants.get(holder)
        if known is not None:
            known.applied = max(known.applied, index)

    def when_applied_by_all(self, now: float, index: int, done: Callable[[], None]) -> None:
        """`done` once no lease holder can still decide without what the log has at `index`."""
        self.waiting.append((index, done))
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drop the leases that are over, and call those who wait for nobody any more."""
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
        """When a lease that somebody waits for runs out; none where nobody waits."""
        if not self.waiting:
            return None
        return min([self.unknown_until, *(grant.until for grant in self.grants.values())])


class LeaseHolder:
    """A node's own lease: `is_fresh` is checked before each decision."""

    def __init__(self, name: str, max_clock_drift: float) -> None:
        self.name = name
        self.max_clock_drift = max_clock_drift
        self.until = NEVER
        self.serial = 0
        self.term = 0
        self.requested_at: dict[int, float] = {}  # by serial
        self._pending: list[tuple[int, float]] = []  # an index to be applied, and the end of the lease then

    def begin_request(self, now: float) -> int:
        """The serial of a new request; old ones that were never answered are forgotten."""
        self.serial += 1
        self.requested_at = {
            serial: at for serial, at in self.requested_at.items() if now - at < REQUEST_MEMORY_S
        }
        self.requested_at[self.serial] = now
        return self.serial

    def granted(self, now: float, serial: int, term: int, index: int, duration: float, applied: int) -> None:
        """The leader's answer: a lease of `duration` seconds, good once `index` is applied here."""
        requested_at = self.requested_at.pop(serial, None)
        if requested_at is None or duration <= 0 or term < self.term:
            return  # guards against answers that come twice, or of a leader that was since replaced
        self.term = term
        self._pending.append((index, requested_at + duration * (1.0 - self.max_clock_drift)))
        self.applied(applied)

    def applied(self, index: int) -> None:
        """This node has applied the log up to `index`."""
        for wanted, until in self._pending:
            if wanted <= index:
                self.until = max(self.until, until)
        self._pending = [(wanted, until) for wanted, until in self._pending if wanted > index]

    def is_fresh(self, now: float) -> bool:
        """Whether a decision made now is by committed state."""
        return now < self.until

    def should_renew(self, now: float, lease_s: float = DEFAULT_LEASE_S) -> bool:
        """Whether it is time to request a longer lease."""
        return now > self.until - lease_s * (1.0 - RENEW_FRACTION)
