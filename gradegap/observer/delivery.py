"""Decides what each subscriber is sent next: a delta, parts of a snapshot, or nothing yet. No I/O, no clock.

Changes are not queued per subscriber. The changes that a subscriber lacks are computed from the state once
its transport and its byte budget have capacity.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from gradegap.observer.deltas import DeltaCache
from gradegap.observer.grants import LeaseGrants
from gradegap.observer.limits import Limits
from gradegap.observer.messages import FromPublisher
from gradegap.observer.snapshot_transfers import SnapshotTransfers
from gradegap.observer.source import StateSource
from gradegap.observer.subscriptions import DeliveryMode, Subscription


class ChangeDelivery:
    """Brings the subscribers of one publisher up to `revision`; messages go out through `send`."""

    def __init__(
        self,
        source: StateSource,
        lease_grants: LeaseGrants,
        limits: Limits,
        now: float,
        counts: Counter[str],
        send: Callable[[int, FromPublisher], None],
    ) -> None:
        self.lease_grants, self.counts, self.send = lease_grants, counts, send
        self.revision = source.revision  # revision of the source at the last call of the publisher
        self.now = now  # time of the last call of the publisher (steady time, s)
        self.deltas = DeltaCache(source, limits)  # deltas that end at the last change
        self.transfers = SnapshotTransfers(
            source, limits.max_snapshot_transfers, limits.snapshot_part_bytes, counts
        )
        # Subscriptions, by connection id, whose delta waits until their byte budget has recovered.
        self.delayed: dict[int, Subscription] = {}

    def is_up_to_date(self, subscription: Subscription) -> bool:
        """Whether the last change of a subscribed key has been sent to this subscriber."""
        return subscription.sent_revision >= self.lease_grants.last_change

    def publish(self, subscriptions: Iterable[Subscription], previous_change: int) -> None:
        """Send the newest change; subscribers that were sent `previous_change` share one delta object."""
        self.deltas.clear()
        for subscription in subscriptions:
            self.send_missing(subscription, previous_change)

    def send_missing(self, subscription: Subscription, previous_change: int | None = None) -> None:
        """Send the changes that this subscriber lacks, if any, as a delta or as a snapshot."""
        if subscription.delivery_mode is not DeliveryMode.DELTAS:
            return
        if subscription.writing_paused_at is not None or self.is_up_to_date(subscription):
            return
        after = subscription.sent_revision
        if previous_change is not None and after >= previous_change:
            after = previous_change
        if subscription.budget.wait(self.now) > 0.0:
            self._delay(subscription)
            return
        sized_delta = self.deltas.get(after, self.revision)
        if sized_delta is None:
            self.transfers.start(subscription, self.revision, self.lease_grants.last_change)
            return
        self.delayed.pop(subscription.connection_id, None)
        subscription.sent_revision = sized_delta.delta.revision
        subscription.budget.spend(self.now, sized_delta.size_bytes)
        self.counts["deltas"] += 1
        self.send(subscription.connection_id, sized_delta.delta)

    def _delay(self, subscription: Subscription) -> None:
        if subscription.connection_id not in self.delayed:
            self.counts["delayed"] += 1
            self.delayed[subscription.connection_id] = subscription

    def send_delayed(self) -> None:
        """Send the coalesced changes to delayed subscribers whose byte budget has recovered."""
        recovered = [
            candidate for candidate in self.delayed.values() if candidate.budget.wait(self.now) <= 0.0
        ]
        for subscription in recovered:
            del self.delayed[subscription.connection_id]
            self.send_missing(subscription)

    def send_snapshot_parts(self) -> None:
        """Send the next part of each snapshot transfer whose transport has capacity."""
        for subscription in list(self.transfers.active.values()):
            transfer = subscription.transfer
            if transfer is None or subscription.writing_paused_at is not None:
                continue
            part = transfer.take_part()
            self.send(subscription.connection_id, part)
            if part.last:
                subscription.sent_revision = part.revision
                subscription.budget.spend_on_snapshot(self.now, transfer.snapshot.size_bytes)
                self.counts["snapshots_sent"] += 1
                self._end_transfer(subscription)
                self.send_missing(subscription)

    def forget(self, subscription: Subscription) -> None:
        """Remove an ended subscription from the delayed ones, and from snapshot transfers and their queue."""
        self.delayed.pop(subscription.connection_id, None)
        if subscription.delivery_mode is DeliveryMode.SNAPSHOT:
            self._end_transfer(subscription)
        else:
            subscription.resume_deltas()

    def _end_transfer(self, subscription: Subscription) -> None:
        """End a snapshot transfer, and serve waiting subscriptions while transfer slots are free."""
        self.transfers.end(subscription)
        while (following := self.transfers.next_waiting()) is not None:
            self.send_missing(following)
        self.transfers.release_unused()
