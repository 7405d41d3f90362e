"""The leases that a publisher granted under its own, and what all their holders have applied. No I/O.

The machine reports `safe_index` to the leader in place of its own applied index, so that a write is
acknowledged only once every node that may still decide by this machine has it. Both `safe_index` and an
acknowledgement cost O(log changes): grants are counted between changes, not listed.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from dataclasses import dataclass

from gradegap.observer.limits import Limits

NEVER = -1e18


@dataclass(slots=True, eq=False)
class SubscriberLeaseGrant:
    """The lease of one process of a node; it counts up to `expires_at`, connected or not."""

    acknowledged: int  # revision
    expires_at: float = NEVER
    counted: bool = False
    awaits_expiry: bool = False  # in the heap of expiries


@dataclass(slots=True)
class PendingChange:
    """A change, and the grants whose holders lack it but have all before it."""

    revision: int
    index_before: int  # the last applied index at which this change was certainly not applied
    holders_without: int = 0


class LeaseGrants:
    """All grants of a publisher, counted by the first change that their holders lack."""

    def __init__(self, limits: Limits, index: int, revision: int) -> None:
        self.limits = limits
        self.index = index
        self.last_change = revision  # of subscribed keys, or a later revision
        self.required_revision = revision  # no lease for a node that has not acknowledged this
        self.pending_changes: list[PendingChange] = []
        self.holders_up_to_date = 0  # grants whose holders have all changes
        self.expiries: list[tuple[float, int, SubscriberLeaseGrant]] = []
        self.expiry_sequence = 0

    def advance(self, index: int, changed: int | None) -> None:
        """Entries up to `index` are applied; `changed`: the last revision of a subscribed key among them."""
        if changed is not None:
            if len(self.pending_changes) < self.limits.max_pending_changes:
                self.pending_changes.append(PendingChange(changed, self.index))
            else:
                self.pending_changes[-1].revision = changed
            self.pending_changes[-1].holders_without += self.holders_up_to_date
            self.holders_up_to_date = 0
            self.last_change = changed
        self.index = index

    def require_latest(self) -> None:
        """The machine's lease was renewed: from now on a grant needs all that is applied here."""
        self.required_revision = self.last_change

    def allows(self, revision: int) -> bool:
        """Whether a node that has applied `revision` may be granted a lease."""
        return revision >= self.required_revision

    def grant(self, grant: SubscriberLeaseGrant, until: float) -> None:
        """Count this grant up to `until`; an earlier end of it is never shortened."""
        grant.expires_at = max(grant.expires_at, until)
        if not grant.counted:
            grant.counted = True
            self._count(grant.acknowledged, 1)
        if not grant.awaits_expiry:
            self._queue(grant)

    def acknowledge(self, grant: SubscriberLeaseGrant, revision: int) -> None:
        """The holder has applied all up to `revision`."""
        if revision <= grant.acknowledged:
            return
        if grant.counted:
            self._count(grant.acknowledged, -1)
            self._count(revision, 1)
        grant.acknowledged = revision

    def release(self, grant: SubscriberLeaseGrant) -> None:
        """The holder no longer decides by this grant."""
        grant.expires_at = NEVER
        if grant.counted:
            grant.counted = False
            self._count(grant.acknowledged, -1)

    def expire(self, now: float) -> None:
        """Forget the grants that have ended."""
        while self.expiries and self.expiries[0][0] <= now:
            grant = heapq.heappop(self.expiries)[2]
            grant.awaits_expiry = False
            if grant.expires_at > now:
                self._queue(grant)
            else:
                self.release(grant)

    def safe_index(self, now: float) -> int:
        """The index that holders of all unexpired grants have applied. A later call never gives less."""
        self.expire(now)
        met = 0
        while met < len(self.pending_changes) and not self.pending_changes[met].holders_without:
            self.required_revision = max(self.required_revision, self.pending_changes[met].revision)
            met += 1
        del self.pending_changes[:met]
        return self.pending_changes[0].index_before if self.pending_changes else self.index

    def next_expiry(self) -> float | None:
        """When `safe_index` may rise without an acknowledgement."""
        return self.expiries[0][0] if self.expiries and self.pending_changes else None

    def _queue(self, grant: SubscriberLeaseGrant) -> None:
        grant.awaits_expiry = True
        self.expiry_sequence += 1
        heapq.heappush(self.expiries, (grant.expires_at, self.expiry_sequence, grant))

    def _count(self, acknowledged: int, difference: int) -> None:
        position = bisect_right(self.pending_changes, acknowledged, key=lambda mark: mark.revision)
        if position == len(self.pending_changes):
            self.holders_up_to_date += difference
        else:
            self.pending_changes[position].holders_without += difference
