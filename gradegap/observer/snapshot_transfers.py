"""The concurrent transfers of a publisher's shared snapshot, and the subscribers waiting for one. No I/O."""

from __future__ import annotations

from collections import Counter, deque

from gradegap.observer.snapshots import Snapshot
from gradegap.observer.source import StateSource
from gradegap.observer.subscriptions import DeliveryMode, Subscription


class SnapshotTransfers:
    """At most `max_transfers` concurrent transfers; they share one snapshot as long as it is new enough."""

    def __init__(
        self, source: StateSource, max_transfers: int, part_bytes: int, counts: Counter[str]
    ) -> None:
        self.source, self.counts = source, counts
        self.max_transfers, self.part_bytes = max_transfers, part_bytes
        self.snapshot: Snapshot | None = None
        self.active: dict[int, Subscription] = {}  # by connection id
        # subscriptions waiting for a transfer slot; may contain some that have ended
        self.waiting: deque[Subscription] = deque()

    def start(self, subscription: Subscription, revision: int, last_change: int) -> None:
        """Start a transfer of the state at `revision`, or queue the subscriber if the limit is reached.

        A snapshot that is older than `last_change` is replaced by a new one.
        """
        if len(self.active) >= self.max_transfers:
            subscription.await_snapshot()
            self.waiting.append(subscription)
            return
        if self.snapshot is None or self.snapshot.revision < last_change:
            self.snapshot = Snapshot(revision, self.source.items(), self.part_bytes)
            self.counts["snapshots_made"] += 1
        subscription.start_transfer(self.snapshot)
        self.active[subscription.connection_id] = subscription

    def end(self, subscription: Subscription) -> None:
        """Remove a transfer that is complete or whose subscription has ended."""
        subscription.resume_deltas()
        self.active.pop(subscription.connection_id, None)

    def next_waiting(self) -> Subscription | None:
        """Returns the next waiting subscriber; None if none waits or the limit of transfers is reached."""
        while self.waiting and len(self.active) < self.max_transfers:
            following = self.waiting.popleft()
            if following.delivery_mode is DeliveryMode.AWAITING_SNAPSHOT:
                following.resume_deltas()
                return following
        return None

    def release_unused(self) -> None:
        """Drop the snapshot if no transfer uses it."""
        if not self.active:
            self.snapshot = None
