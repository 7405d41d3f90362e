"""Leases that a publisher granted under its own lease, and the index that all holders have applied. No I/O.

The machine reports `safe_index` to the leader in place of its own applied index. A write is thereby
acknowledged only once it is applied at every node that may still decide under a lease of this machine. Both
`safe_index` and an acknowledgement cost O(log changes), because grants are counted per pending change and not
listed.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from dataclasses import dataclass

from gradegap.observer.limits import Limits

NEVER = -1e18


@dataclass(slots=True, eq=False)
class SubscriberLeaseGrant:
    """The lease of one process of a node; valid until `expires_at`, even if the process is disconnected."""

    acknowledged: int  # the last revision that the holder has acknowledged
    expires_at: float = NEVER  # steady time, s
    is_counted: bool = False  # whether `LeaseGrants` counts this grant
    is_in_expiry_queue: bool = False


@dataclass(slots=True)
class PendingChange:
    """A change, and the number of grants whose holders lack it but have all earlier changes."""

    revision: int
    index_before: int  # the highest log index that is known to precede this change
    holders_without: int = 0


class LeaseGrants:
    """All lease grants of a publisher, counted by the first change that their holders lack."""

    def __init__(self, limits: Limits, index: int, revision: int) -> None:
        self.limits = limits
        self.index = index
        self.last_change = revision  # upper bound on the revision of the last change of a subscribed key
        # nodes that have not acknowledged this revision are granted no lease
        self.required_revision = revision
        self.pending_changes: list[PendingChange] = []
        self.holders_up_to_date = 0  # number of grants whose holders lack no change
        self.expiries: list[tuple[float, int, SubscriberLeaseGrant]] = []
        self.expiry_sequence = 0

    def advance(self, index: int, changed: int | None) -> None:
        """Record that log entries up to `index` are applied.

        `changed` is the revision of the last change of a subscribed key among them; None if there is none.
        Above `max_pending_changes` the change is merged with the one before it, which keeps the lower index.
        """
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
        """Grant leases from now on only to nodes that have acknowledged all changes applied by this machine.

        Called when the machine's own lease was extended.
        """
        self.required_revision = self.last_change

    def allows(self, revision: int) -> bool:
        """Whether a node that has applied `revision` may be granted a lease."""
        return revision >= self.required_revision

    def grant(self, grant: SubscriberLeaseGrant, until: float) -> None:
        """Count this grant until `until` (steady time, s), or until its present expiry if that is later."""
        grant.expires_at = max(grant.expires_at, until)
        if not grant.is_counted:
            grant.is_counted = True
            self._count(grant.acknowledged, 1)
        if not grant.is_in_expiry_queue:
            self._enqueue_expiry(grant)

    def acknowledge(self, grant: SubscriberLeaseGrant, revision: int) -> None:
        """Record that the holder has applied all changes up to `revision`."""
        if revision <= grant.acknowledged:
            return
        if grant.is_counted:
            self._count(grant.acknowledged, -1)
            self._count(revision, 1)
        grant.acknowledged = revision

    def release(self, grant: SubscriberLeaseGrant) -> None:
        """Stop counting a grant whose holder no longer decides under it."""
        grant.expires_at = NEVER
        if grant.is_counted:
            grant.is_counted = False
            self._count(grant.acknowledged, -1)

    def expire(self, now: float) -> None:
        """Release the grants that have expired by `now`."""
        while self.expiries and self.expiries[0][0] <= now:
            grant = heapq.heappop(self.expiries)[2]
            grant.is_in_expiry_queue = False
            if grant.expires_at > now:
                self._enqueue_expiry(grant)
            else:
                self.release(grant)

    def safe_index(self, now: float) -> int:
        """Returns the log index that the holders of all unexpired grants have applied; it never decreases."""
        self.expire(now)
        applied_count = 0
        while (
            applied_count < len(self.pending_changes)
            and not self.pending_changes[applied_count].holders_without
        ):
            self.required_revision = max(self.required_revision, self.pending_changes[applied_count].revision)
            applied_count += 1
        del self.pending_changes[:applied_count]
        return self.pending_changes[0].index_before if self.pending_changes else self.index

    def next_expiry(self) -> float | None:
        """Returns the time (s) at which `safe_index` may rise without an acknowledgement; None if never."""
        return self.expiries[0][0] if self.expiries and self.pending_changes else None

    def _enqueue_expiry(self, grant: SubscriberLeaseGrant) -> None:
        grant.is_in_expiry_queue = True
        self.expiry_sequence += 1
        heapq.heappush(self.expiries, (grant.expires_at, self.expiry_sequence, grant))

    def _count(self, acknowledged: int, difference: int) -> None:
        position = bisect_right(self.pending_changes, acknowledged, key=lambda change: change.revision)
        if position == len(self.pending_changes):
            self.holders_up_to_date += difference
        else:
            self.pending_changes[position].holders_without += difference
