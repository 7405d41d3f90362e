"""Leases of nodes that decide by committed state: the leader's side and the node's. No I/O, no clock.

All times are seconds of the caller's own steady clock. The bound on drift is the core's
(`RaftSettings.max_clock_drift`): a holder counts from when it asked and stops early, a granter from when it
granted and waits longer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

DEFAULT_LEASE_S = (
    1.0  # s, unless the cluster is given another; what a node's death can cost a write nodes decide by
)
RENEW_FRACTION = 0.3  # of the length, after which a longer one is asked for
NEVER = -1e18
MAX_LEASE_HOLDERS = 256
DECISION_PREFIXES = ("out/", "config/", "keys/", "quota/")  # what nodes decide by


def affects_decisions(keys: list[str]) -> bool:
    """Whether a write to these keys is to be waited for."""
    return any(key.startswith(DECISION_PREFIXES) for key in keys)


@dataclass(slots=True)
class Grant:
    until: float
    applied: int


class LeaseGranter:
    """A leader's book of the leases it gave. It begins anew with each term that this member leads."""

    def __init__(self, now: float, drift: float, length: float = DEFAULT_LEASE_S) -> None:
        self.drift = drift
        self.length = length
        self.grants: dict[str, Grant] = {}
        # Leases that an earlier leader gave: nobody here knows of them, so all are waited for.
        self.unknown_until = now + length / (1.0 - drift)
        self.waiting: list[tuple[int, Callable[[], None]]] = []  # by index, who is told that all saw it

    def grant(self, now: float, holder: str, applied: int, lease_until: float) -> float:
        """The length of the lease given, from when it was asked for; 0 where there is none to give."""
        if now >= lease_until or (holder not in self.grants and len(self.grants) >= MAX_LEASE_HOLDERS):
            return 0.0
        known = self.grants.get(holder)
        seen = max(applied, known.applied if known is not None else 0)
        self.grants[holder] = Grant(now + self.length / (1.0 - self.drift), seen)
        return self.length

    def applied(self, holder: str, index: int) -> None:
        known = self.grants.get(holder)
        if known is not None:
            known.applied = max(known.applied, index)

    def when_seen(self, now: float, index: int, done: Callable[[], None]) -> None:
        """`done` once no lease holder can still decide without what stands at `index`."""
        self.waiting.append((index, done))
        self.look(now)

    def look(self, now: float) -> None:
        for holder in [h for h, g in self.grants.items() if g.until <= now]:
            del self.grants[holder]
        if now < self.unknown_until or not self.waiting:
            return
        least = min((g.applied for g in self.grants.values()), default=1 << 62)
        ready = [done for index, done in self.waiting if index <= least]
        self.waiting = [(index, done) for index, done in self.waiting if index > least]
        for done in ready:
            done()

    def next_look(self) -> float | None:
        """When a lease that somebody waits for runs out."""
        if not self.waiting:
            return None
        return min([self.unknown_until, *(g.until for g in self.grants.values())])


class LeaseHolder:
    """A node's lease. It is asked before each decision: `fresh`."""

    def __init__(self, name: str, drift: float) -> None:
        self.name = name
        self.drift = drift
        self.until = NEVER
        self.serial = 0
        self.asked: dict[int, float] = {}  # by serial, when
        self.pending: list[tuple[int, float]] = []  # leases that wait for an index to be applied
        self.term = 0

    def ask(self, now: float) -> int:
        """The serial of a new question; old ones that were never answered are forgotten."""
        self.serial += 1
        self.asked = {s: at for s, at in self.asked.items() if now - at < 5.0}
        self.asked[self.serial] = now
        return self.serial

    def granted(self, now: float, serial: int, term: int, index: int, duration: float, applied: int) -> None:
        asked = self.asked.pop(serial, None)
        if asked is None or duration <= 0 or term < self.term:
            return  # guards against answers that come twice, or of a leader that was since replaced
        self.term = term
        self.pending.append((index, asked + duration * (1.0 - self.drift)))
        self.applied(applied)

    def applied(self, index: int) -> None:
        for wanted, until in self.pending:
            if wanted <= index:
                self.until = max(self.until, until)
        self.pending = [(wanted, until) for wanted, until in self.pending if wanted > index]

    def fresh(self, now: float) -> bool:
        """Whether a decision made now is by committed state."""
        return now < self.until

    def wants(self, now: float, length: float = DEFAULT_LEASE_S) -> bool:
        return now > self.until - length * (1.0 - RENEW_FRACTION)
