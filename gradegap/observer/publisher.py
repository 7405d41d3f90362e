"""A control machine's side of subscriptions: the subscribers, their leases and their acknowledgements.

No I/O and no clock: each call is given the steady time in seconds. `gradegap.observer.delivery` decides which
changes are sent to subscribers.
"""

from __future__ import annotations

import random as random_module
from collections import Counter
from dataclasses import dataclass

from gradegap.observer.admission import Admission
from gradegap.observer.budget import SubscriberBudget
from gradegap.observer.delivery import ChangeDelivery
from gradegap.observer.deltas import FRAME_BYTES
from gradegap.observer.grants import LeaseGrants, SubscriberLeaseGrant
from gradegap.observer.limits import Limits
from gradegap.observer.messages import (
    VERSION,
    Accepted,
    CloseCode,
    FromPublisher,
    FromSubscriber,
    Heartbeat,
    Leave,
    Rejected,
    Renew,
    Subscribe,
)
from gradegap.observer.source import StateSource
from gradegap.observer.subscriptions import DisconnectedNodes, Subscription
from gradegap.store.in_force import MachineReport

NEVER = -1e18  # a time (s) earlier than any reading of the monotonic clock
DELAYED_CHECK_INTERVAL_S = 0.1  # interval of checks for subscribers whose byte budget has recovered
TIMEOUT_CHECK_INTERVAL_S = 0.5  # interval of checks for subscribers that are silent or stalled
HEARTBEAT_BYTES = 24  # size of a heartbeat's body, charged to the byte budget


@dataclass(frozen=True, slots=True)
class Send:
    """Send this message on this connection."""

    connection_id: int
    message: FromPublisher


@dataclass(frozen=True, slots=True)
class Close:
    """Close this connection once its write buffer is flushed; its subscription is already removed."""

    connection_id: int
    code: CloseCode


Output = Send | Close


class Publisher:
    """All subscriptions of one control machine."""

    def __init__(
        self,
        cluster: str,
        machine: str,
        source: StateSource,
        limits: Limits,
        now: float,
        random: random_module.Random,
    ) -> None:
        self.cluster, self.machine, self.source, self.limits = cluster, machine, source, limits
        self.counts: Counter[str] = Counter()
        self.subscriptions: dict[int, Subscription] = {}  # by connection id
        self.by_node: dict[str, Subscription] = {}
        self.disconnected_nodes = DisconnectedNodes(limits.disconnected_node_retention_s)
        self.admission = Admission(cluster, limits, now, random)
        self.lease_until = NEVER  # steady time (s) at which this machine's own lease expires
        self.lease_grants = LeaseGrants(limits, source.index, source.revision)
        self.next_timeout_check_at = now + TIMEOUT_CHECK_INTERVAL_S
        # After this time, nodes of this machine's previous process have subscribed again or count as lost.
        self.restart_settled_at = now + limits.disconnected_node_retention_s
        self.delivery = ChangeDelivery(source, self.lease_grants, limits, now, self.counts, self._send)
        self.outputs: list[Output] = []

    @property
    def revision(self) -> int:
        """The revision of the source at the last call."""
        return self.delivery.revision

    # Events, reported by the driver

    def subscribe(self, now: float, connection_id: int, message: Subscribe) -> None:
        """Handle the first message of a connection."""
        self._follow_source(now)
        if connection_id in self.subscriptions:
            self._close(now, self.subscriptions[connection_id], CloseCode.GARBLED, "a second Subscribe")
            return
        is_full = len(self.subscriptions) >= self.limits.max_subscribers and message.node not in self.by_node
        rejection = self.admission.rejection(now, message, self.revision, is_full)
        if rejection is not None:
            self.counts[f"rejected_{rejection.code}"] += 1
            self._send(connection_id, rejection)
            self.outputs.append(Close(connection_id, rejection.code))
            return
        self._displace_earlier_connection(now, message)
        new = Subscription(
            connection_id,
            message.node,
            message.instance,
            message.revision,
            self._resume_lease_grant(message),
            subscribed_at=now,
            last_received_at=now,
            budget=SubscriberBudget(self.limits, now),
        )
        self.subscriptions[connection_id] = self.by_node[message.node] = new
        self.counts["accepted"] += 1
        self._send(connection_id, Accepted(VERSION, self.cluster, self.machine, self.limits.renew_interval_s))
        self.delivery.send_missing(new)

    def receive(self, now: float, connection_id: int, message: FromSubscriber) -> None:
        """Handle any later message of a connection."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is None:
            return
        subscription.last_received_at = now
        match message:
            case Renew():
                self._renew(now, subscription, message)
            case Leave():
                self.lease_grants.release(subscription.lease_grant)
                self._remove(subscription)
                self.outputs.append(Close(connection_id, CloseCode.LEAVING))
            case Subscribe():
                self._close(now, subscription, CloseCode.GARBLED, "a second Subscribe")

    def pause_writing(self, now: float, connection_id: int) -> None:
        """Send this subscriber nothing until `resume_writing`: its transport is over the high-water mark."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is not None and subscription.writing_paused_at is None:
            subscription.writing_paused_at = now

    def resume_writing(self, now: float, connection_id: int) -> None:
        """Continue sending: the transport's write buffer has drained."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is None or subscription.writing_paused_at is None:
            return
        self.delivery.now = now
        subscription.writing_paused_at = None
        self.delivery.send_missing(subscription)
        if subscription.deferred_renewal is not None:
            renewal, subscription.deferred_renewal = subscription.deferred_renewal, None
            self._answer_renewal(now, subscription, renewal)

    def disconnected(self, now: float, connection_id: int) -> None:
        """Handle the end of a connection. The node's lease counts until it expires."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is not None:
            self.disconnected_nodes.remember(now, subscription)
            self._remove(subscription)

    def source_advanced(self, now: float) -> None:
        """Publish the changes that the source has applied."""
        self._follow_source(now)

    def renew_lease(self, now: float, until: float) -> None:
        """Handle an extension of this machine's lease to `until`, valid with the source's current state."""
        self._follow_source(now)
        if until > self.lease_until:
            self.lease_grants.require_latest()
        self.lease_until = until

    def tick(self, now: float) -> None:
        """Process timers that are due."""
        self.delivery.now = now
        self.lease_grants.expire(now)
        self.delivery.send_delayed()
        if now >= self.next_timeout_check_at:
            self.next_timeout_check_at = now + TIMEOUT_CHECK_INTERVAL_S
            self._close_unresponsive(now)

    # State, queried by the driver

    def deadline(self) -> float | None:
        """Returns the time (s) of the next `tick`; None if it isn't needed before the next event."""
        if not self.subscriptions and not self.disconnected_nodes:
            return None
        expiry = self.lease_grants.next_expiry()
        earliest = self.next_timeout_check_at if expiry is None else min(expiry, self.next_timeout_check_at)
        if self.delivery.delayed:
            earliest = min(earliest, self.delivery.now + DELAYED_CHECK_INTERVAL_S)
        return earliest

    def safe_index(self, now: float) -> int:
        """Returns the log index applied by every node that may still decide under a lease of this machine."""
        return self.lease_grants.safe_index(now)

    def nodes_behind(self, now: float, revision: int) -> list[str]:
        """Returns the nodes, connected or recently lost, that have not acknowledged `revision`."""
        report = self.report(now, revision)
        return sorted({*report.behind, *report.lost})

    def report(self, now: float, revision: int) -> MachineReport:
        """Returns which nodes have not acknowledged `revision`, and which connected or were lost recently."""
        self._follow_source(now)
        self.disconnected_nodes.forget_expired(now)
        required_revision = self._required_revision(revision)
        recent_since = now - self.limits.disconnected_node_retention_s
        behind, arrived = [], []
        for subscription in self.subscriptions.values():
            if subscription.lease_grant.acknowledged < required_revision:
                behind.append(subscription.node)
            elif subscription.subscribed_at >= recent_since:
                arrived.append(subscription.node)
        lost = [
            node.node
            for node in self.disconnected_nodes
            if node.lease_grant.acknowledged < required_revision and node.node not in self.by_node
        ]
        return MachineReport(
            self.machine,
            min(self.revision, revision),
            len(self.subscriptions),
            tuple(behind),
            tuple(lost),
            tuple(arrived),
            restarted=now < self.restart_settled_at,
        )

    def take(self) -> list[Output]:
        """Returns the outputs, to be executed in order.

        The driver calls this method until the list is empty, because a snapshot is sent one part per call.
        """
        self.delivery.send_snapshot_parts()
        outputs, self.outputs = self.outputs, []
        return outputs

    # New subscriptions

    def _displace_earlier_connection(self, now: float, message: Subscribe) -> None:
        """Close this node's earlier connection: a node may have only one, and the newest is kept."""
        earlier = self.by_node.get(message.node)
        if earlier is None:
            return
        if earlier.instance != message.instance:
            self.counts["duplicates"] += 1
        self._close(now, earlier, CloseCode.DUPLICATE, "another process subscribed under this node name")

    def _resume_lease_grant(self, message: Subscribe) -> SubscriberLeaseGrant:
        """Returns the lease grant of the node's process if that process was connected before, else a new one.

        The grant of an earlier process of the node still counts until it expires.
        """
        grant = self.disconnected_nodes.resume(message.node, message.instance)
        if grant is None:
            grant = SubscriberLeaseGrant(message.revision)
        self.lease_grants.acknowledge(grant, message.revision)
        return grant

    # Renewals

    def _renew(self, now: float, subscription: Subscription, renew: Renew) -> None:
        if renew.revision > subscription.sent_revision or renew.revision < 0:
            text = f"acknowledged revision {renew.revision}, but was sent {subscription.sent_revision}"
            self._close(now, subscription, CloseCode.GARBLED, text)
            return
        self.lease_grants.acknowledge(subscription.lease_grant, renew.revision)
        if subscription.writing_paused_at is not None:
            subscription.deferred_renewal = renew
        else:
            self._answer_renewal(now, subscription, renew)

    def _answer_renewal(self, now: float, subscription: Subscription, renew: Renew) -> None:
        self._follow_source(now)
        if self.delivery.is_up_to_date(subscription):
            subscription.sent_revision = self.revision
        lease_s = self._grant_lease(now, subscription.lease_grant)
        subscription.budget.spend(now, HEARTBEAT_BYTES + FRAME_BYTES)
        self._send(subscription.connection_id, Heartbeat(renew.serial, subscription.sent_revision, lease_s))

    def _grant_lease(self, now: float, grant: SubscriberLeaseGrant) -> float:
        """Grant a lease and return its length (s): the rest of the machine's own lease, or 0 if refused."""
        lease_s = self.lease_until - now
        if lease_s <= 0.0 or not self.lease_grants.allows(grant.acknowledged):
            self.counts["leases_refused"] += 1
            return 0.0
        self.lease_grants.grant(grant, self.lease_until)
        return lease_s

    # Changes

    def _follow_source(self, now: float) -> None:
        """Publish the changes that the source has applied since the last call."""
        self.delivery.now = now
        index, revision = self.source.index, self.source.revision
        if revision == self.revision:
            if index != self.lease_grants.index:
                self.lease_grants.advance(index, None)
            return
        previous_change = self.lease_grants.last_change
        changes = self.source.changes_since(self.revision)
        self.delivery.revision = revision
        if changes is not None and not changes:
            self.lease_grants.advance(index, None)
            return
        last_changed = revision if changes is None else changes[-1].revision
        self.lease_grants.advance(index, last_changed)
        self.delivery.publish(self.subscriptions.values(), previous_change)

    def _required_revision(self, revision: int) -> int:
        """Returns the revision whose acknowledgement proves that a node has all changes up to `revision`."""
        return min(revision, self.lease_grants.last_change) if revision <= self.revision else revision

    # The end of subscriptions

    def _close(self, now: float, subscription: Subscription, code: CloseCode, text: str) -> None:
        self.counts[f"closed_{code}"] += 1
        self.disconnected_nodes.remember(now, subscription)
        self._remove(subscription)
        if subscription.writing_paused_at is None:
            self._send(subscription.connection_id, Rejected(code, text))
        self.outputs.append(Close(subscription.connection_id, code))

    def _remove(self, subscription: Subscription) -> None:
        self.subscriptions.pop(subscription.connection_id, None)
        if self.by_node.get(subscription.node) is subscription:
            del self.by_node[subscription.node]
        self.delivery.forget(subscription)

    def _close_unresponsive(self, now: float) -> None:
        self.disconnected_nodes.forget_expired(now)
        silent_before = now - self.limits.subscriber_timeout_s
        stalled_before = now - self.limits.write_stall_timeout_s
        for subscription in list(self.subscriptions.values()):
            if subscription.last_received_at < silent_before:
                self._close(now, subscription, CloseCode.SILENT, "no message received within the timeout")
            elif (
                subscription.writing_paused_at is not None and subscription.writing_paused_at < stalled_before
            ):
                self._close(now, subscription, CloseCode.SLOW, "no data read within the timeout")

    def _send(self, connection_id: int, message: FromPublisher) -> None:
        self.outputs.append(Send(connection_id, message))
