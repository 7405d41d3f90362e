"""Who is sent the shared snapshot of a publisher, and who waits for a place. No I/O."""

from __future__ import annotations

from collections import Counter, deque

from gradegap.observer.snapshots import Snapshot
from gradegap.observer.source import StateSource
from gradegap.observer.subscriptions import DeliveryMode, Subscription


class SnapshotTransfers:
    """Transfers under way, at most `max_transfers` at once, of one snapshot as long as that is new enough."""

    def __init__(
        self, source: StateSource, max_transfers: int, part_bytes: int, counts: Counter[str]
    ) -> None:
        self.source, self.counts = source, counts
        self.max_transfers, self.part_bytes = max_transfers, part_bytes
        self.snapshot: Snapshot | None = None
        self.active: dict[int, Subscription] = {}  # by connection
        self.waiting: deque[Subscription] = deque()  # some may have ended meanwhile

    def start(self, subscription: Subscription, revision: int, last_change: int) -> None:
        """Begin a transfer as of `revision`, or wait for a place.

        A snapshot that was made before `last_change` is made anew.
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
        """This subscriber's transfer is complete, or the subscription has ended."""
        subscription.resume_deltas()
        self.active.pop(subscription.connection_id, None)

    def next_waiting(self) -> Subscription | None:
        """The next subscriber that goes on now that there is a place; None: none, or no place."""
        while self.waiting and len(self.active) < self.max_transfers:
            following = self.waiting.popleft()
            if following.delivery_mode is DeliveryMode.AWAITING_SNAPSHOT:
                following.resume_deltas()
                return following
        return None

    def release_unused(self) -> None:
        """Drop the snapshot that nobody is sent any longer."""
        if not self.active:
            self.snapshot = None
