"""A publisher's state for each subscription, and for nodes whose connection ended recently. No I/O.

No changes are queued for a subscriber: only the revision up to which changes were sent is kept. Times are
steady, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from gradegap.observer.budget import SubscriberBudget
from gradegap.observer.grants import SubscriberLeaseGrant
from gradegap.observer.messages import Renew
from gradegap.observer.snapshots import Snapshot, SnapshotTransfer

# limit on remembered nodes; above it the one that disconnected first is forgotten
MAX_DISCONNECTED_NODES = 10_000


class DeliveryMode(Enum):
    """How changes are delivered to a subscriber; the methods of `Subscription` are the transitions."""

    DELTAS = "deltas"
    AWAITING_SNAPSHOT = "awaiting snapshot"  # queued until a transfer slot becomes free
    SNAPSHOT = "snapshot"  # a transfer is in progress


@dataclass(slots=True, eq=False)
class Subscription:
    """The subscription of one connection."""

    connection_id: int
    node: str
    instance: str
    sent_revision: int  # all changes up to this revision were sent
    lease_grant: SubscriberLeaseGrant
    subscribed_at: float
    last_received_at: float
    budget: SubscriberBudget
    # steady time (s) at which the transport became full; None while it has capacity
    writing_paused_at: float | None = None
    delivery_mode: DeliveryMode = DeliveryMode.DELTAS
    transfer: SnapshotTransfer | None = None  # set while `delivery_mode` is `SNAPSHOT`
    deferred_renewal: Renew | None = None  # the last Renew received while writing was paused

    def await_snapshot(self) -> None:
        """Queue this subscriber for a snapshot; it is sent when one of the transfer slots becomes free."""
        self.delivery_mode = DeliveryMode.AWAITING_SNAPSHOT

    def start_transfer(self, snapshot: Snapshot) -> None:
        """Start to send the parts of this snapshot."""
        self.delivery_mode = DeliveryMode.SNAPSHOT
        self.transfer = SnapshotTransfer(snapshot)

    def resume_deltas(self) -> None:
        """Deliver changes as deltas again, after a snapshot was sent or is no longer awaited."""
        self.delivery_mode = DeliveryMode.DELTAS
        self.transfer = None


@dataclass(slots=True)
class DisconnectedNode:
    """A process of a node, after the connection of this process has ended."""

    node: str
    instance: str
    lease_grant: SubscriberLeaseGrant
    disconnected_at: float


class DisconnectedNodes:
    """Nodes that disconnected recently; they may still decide under their lease, and may lack changes."""

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        # Disconnected processes by node and instance, in the order of disconnection.
        self.by_instance: dict[tuple[str, str], DisconnectedNode] = {}

    def __len__(self) -> int:
        return len(self.by_instance)

    def __iter__(self) -> Iterator[DisconnectedNode]:
        return iter(self.by_instance.values())

    def remember(self, now: float, subscription: Subscription) -> None:
        """Record the end of this subscription's connection."""
        key = (subscription.node, subscription.instance)
        self.by_instance.pop(key, None)
        self.by_instance[key] = DisconnectedNode(*key, subscription.lease_grant, now)
        if len(self.by_instance) > MAX_DISCONNECTED_NODES:
            del self.by_instance[next(iter(self.by_instance))]

    def resume(self, node: str, instance: str) -> SubscriberLeaseGrant | None:
        """Remove a process that has reconnected and return its grant; None if the process is unknown."""
        disconnected = self.by_instance.pop((node, instance), None)
        return disconnected.lease_grant if disconnected is not None else None

    def forget_expired(self, now: float) -> None:
        """Forget nodes after the retention time. Their grants still count until they expire."""
        while self.by_instance:
            key, oldest = next(iter(self.by_instance.items()))
            if oldest.disconnected_at + self.retention_s > now:
                return
            del self.by_instance[key]
