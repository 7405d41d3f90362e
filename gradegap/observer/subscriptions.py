"""What a publisher keeps of each subscription, and of nodes whose connection ended lately. No I/O.

Nothing is queued for a subscriber: only the revision up to which it was sent is kept. Times are steady, in
seconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from gradegap.observer.budget import SubscriberBudget
from gradegap.observer.grants import SubscriberLeaseGrant
from gradegap.observer.messages import Renew
from gradegap.observer.snapshots import Snapshot, SnapshotTransfer

MAX_DISCONNECTED_NODES = 10_000  # that are remembered after their connection ended


class DeliveryMode(Enum):
    """How a subscriber gets what it lacks; `Subscription` has the transitions."""

    DELTAS = "deltas"
    AWAITING_SNAPSHOT = "awaiting snapshot"  # for another's transfer to end
    SNAPSHOT = "snapshot"  # a transfer is under way


@dataclass(slots=True, eq=False)
class Subscription:
    """One connection's subscription."""

    connection_id: int
    node: str
    instance: str
    sent_revision: int  # up to which all was sent
    lease_grant: SubscriberLeaseGrant
    subscribed_at: float
    last_received_at: float
    budget: SubscriberBudget
    writing_paused_at: float | None = None  # None: the transport has capacity
    delivery_mode: DeliveryMode = DeliveryMode.DELTAS
    transfer: SnapshotTransfer | None = None  # while `delivery_mode` is `SNAPSHOT`
    deferred_renewal: Renew | None = None  # the latest that came while writing was paused

    def await_snapshot(self) -> None:
        """A snapshot has to go, once another transfer has ended."""
        self.delivery_mode = DeliveryMode.AWAITING_SNAPSHOT

    def start_transfer(self, snapshot: Snapshot) -> None:
        """From here on the parts of this snapshot are sent."""
        self.delivery_mode = DeliveryMode.SNAPSHOT
        self.transfer = SnapshotTransfer(snapshot)

    def resume_deltas(self) -> None:
        """No snapshot is awaited or under way any longer."""
        self.delivery_mode = DeliveryMode.DELTAS
        self.transfer = None


@dataclass(slots=True)
class DisconnectedNode:
    """One process of a node whose connection ended."""

    node: str
    instance: str
    lease_grant: SubscriberLeaseGrant
    disconnected_at: float


class DisconnectedNodes:
    """Nodes whose connection ended lately: they may still decide, and count as behind."""

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        self.by_instance: dict[tuple[str, str], DisconnectedNode] = {}  # by node and instance, oldest first

    def __len__(self) -> int:
        return len(self.by_instance)

    def __iter__(self) -> Iterator[DisconnectedNode]:
        return iter(self.by_instance.values())

    def remember(self, now: float, subscription: Subscription) -> None:
        """This subscription's connection has ended."""
        key = (subscription.node, subscription.instance)
        self.by_instance.pop(key, None)
        self.by_instance[key] = DisconnectedNode(*key, subscription.lease_grant, now)
        if len(self.by_instance) > MAX_DISCONNECTED_NODES:
            del self.by_instance[next(iter(self.by_instance))]

    def resume(self, node: str, instance: str) -> SubscriberLeaseGrant | None:
        """The same process is back: what it was granted; None where nothing is known of it."""
        known = self.by_instance.pop((node, instance), None)
        return known.lease_grant if known is not None else None

    def forget_expired(self, now: float) -> None:
        """Forget those that ended long ago. Their grants still count until they expire."""
        while self.by_instance:
            key, oldest = next(iter(self.by_instance.items()))
            if oldest.disconnected_at + self.retention_s > now:
                return
            del self.by_instance[key]
