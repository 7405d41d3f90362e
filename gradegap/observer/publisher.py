"""A control machine's side of subscriptions: who subscribes, their leases, what they acknowledged.

No I/O and no clock: each call is given the steady time in seconds. What subscribers are sent is decided in
`gradegap.observer.delivery`.
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

NEVER = -1e18  # s, before any steady time
DELAYED_INTERVAL_S = 0.1  # between two checks for subscribers whose budget has recovered
SWEEP_INTERVAL_S = 0.5  # between two checks for subscribers that are silent or stalled
HEARTBEAT_BYTES = 24  # of a heartbeat's body


@dataclass(frozen=True, slots=True)
class Send:
    """Send this message to this connection."""

    connection_id: int
    message: FromPublisher


@dataclass(frozen=True, slots=True)
class Close:
    """End this connection once what was sent before is written; the publisher has forgotten it."""

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
        self.subscriptions: dict[int, Subscription] = {}  # by connection
        self.by_node: dict[str, Subscription] = {}
        self.disconnected_nodes = DisconnectedNodes(limits.disconnected_node_retention_s)
        self.admission = Admission(cluster, limits, now, random)
        self.lease_until = NEVER  # of this machine
        self.lease_grants = LeaseGrants(limits, source.index, source.revision)
        self.next_sweep_at = now + SWEEP_INTERVAL_S
        # By then nodes of this machine's earlier process have come back or are lost.
        self.restart_settled_at = now + limits.disconnected_node_retention_s
        self.delivery = ChangeDelivery(source, self.lease_grants, limits, now, self.counts, self._send)
        self.outputs: list[Output] = []

    @property
    def revision(self) -> int:
        """The source's revision as of the last call."""
        return self.delivery.revision

    # Called by the driver when something happened

    def subscribe(self, now: float, connection_id: int, message: Subscribe) -> None:
        """A connection's first message."""
        self._follow_source(now)
        if connection_id in self.subscriptions:
            self._close(now, self.subscriptions[connection_id], CloseCode.GARBLED, "a second Subscribe")
            return
        full = len(self.subscriptions) >= self.limits.max_subscribers and message.node not in self.by_node
        rejection = self.admission.rejection(now, message, self.revision, full)
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
        """Any later message."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is None:
            return
        subscription.last_received_at = now
        match message:
            case Renew():
                self._renew(now, subscription, message)
            case Leave():
                self.lease_grants.release(subscription.lease_grant)
                self._forget(subscription)
                self.outputs.append(Close(connection_id, CloseCode.LEAVING))
            case Subscribe():
                self._close(now, subscription, CloseCode.GARBLED, "a second Subscribe")

    def pause_writing(self, now: float, connection_id: int) -> None:
        """The transport is over its high-water mark: nothing more is sent until `resume_writing`."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is not None and subscription.writing_paused_at is None:
            subscription.writing_paused_at = now

    def resume_writing(self, now: float, connection_id: int) -> None:
        """The transport has capacity again."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is None or subscription.writing_paused_at is None:
            return
        self.delivery.now = now
        subscription.writing_paused_at = None
        self.delivery.send_missing(subscription)
        if subscription.deferred_renewal is not None:
            pending, subscription.deferred_renewal = subscription.deferred_renewal, None
            self._answer_renewal(now, subscription, pending)

    def disconnected(self, now: float, connection_id: int) -> None:
        """The connection ended. The node's lease counts until it is over."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is not None:
            self.disconnected_nodes.remember(now, subscription)
            self._forget(subscription)

    def source_advanced(self, now: float) -> None:
        """The source has applied more."""
        self._follow_source(now)

    def renew_lease(self, now: float, until: float) -> None:
        """This machine's own lease is good until `until`, by all that the source has applied now."""
        self._follow_source(now)
        if until > self.lease_until:
            self.lease_grants.require_latest()
        self.lease_until = until

    def tick(self, now: float) -> None:
        """Do what is due by now."""
        self.delivery.now = now
        self.lease_grants.expire(now)
        self.delivery.send_delayed()
        if now >= self.next_sweep_at:
            self.next_sweep_at = now + SWEEP_INTERVAL_S
            self._close_unresponsive(now)

    # Called by the driver to learn what follows

    def deadline(self) -> float | None:
        """When `tick` is due next (steady time, s); None: not before something happens."""
        if not self.subscriptions and not self.disconnected_nodes:
            return None
        end = self.lease_grants.next_expiry()
        soonest = self.next_sweep_at if end is None else min(end, self.next_sweep_at)
        if self.delivery.delayed:
            soonest = min(soonest, self.delivery.now + DELAYED_INTERVAL_S)
        return soonest

    def safe_index(self, now: float) -> int:
        """The index of the log that every node which may still decide by this machine has applied."""
        return self.lease_grants.safe_index(now)

    def nodes_behind(self, now: float, revision: int) -> list[str]:
        """Nodes, connected or lately lost, that have not acknowledged all up to `revision`."""
        report = self.report(now, revision)
        return sorted({*report.behind, *report.lost})

    def report(self, now: float, revision: int) -> MachineReport:
        """Who has not acknowledged `revision` here, and who came or went lately."""
        self._follow_source(now)
        self.disconnected_nodes.forget_expired(now)
        needed = self._revision_to_acknowledge(revision)
        recent = now - self.limits.disconnected_node_retention_s
        behind, arrived = [], []
        for subscription in self.subscriptions.values():
            if subscription.lease_grant.acknowledged < needed:
                behind.append(subscription.node)
            elif subscription.subscribed_at >= recent:
                arrived.append(subscription.node)
        lost = [
            node.node
            for node in self.disconnected_nodes
            if node.lease_grant.acknowledged < needed and node.node not in self.by_node
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
        """What is to be done, in this order. Call until it is empty: a snapshot goes one part at a time."""
        self.delivery.send_snapshot_parts()
        outputs, self.outputs = self.outputs, []
        return outputs

    # New subscriptions

    def _displace_earlier_connection(self, now: float, message: Subscribe) -> None:
        """One connection a node: the newer one stays."""
        old = self.by_node.get(message.node)
        if old is None:
            return
        if old.instance != message.instance:
            self.counts["duplicates"] += 1
        self._close(now, old, CloseCode.DUPLICATE, "another subscription came under this node name")

    def _resume_lease_grant(self, message: Subscribe) -> SubscriberLeaseGrant:
        """The same process of a node goes on with its grant; a new one has none, and the old one's counts."""
        grant = self.disconnected_nodes.resume(message.node, message.instance)
        if grant is None:
            grant = SubscriberLeaseGrant(message.revision)
        self.lease_grants.acknowledge(grant, message.revision)
        return grant

    # Renewals

    def _renew(self, now: float, subscription: Subscription, renew: Renew) -> None:
        if renew.revision > subscription.sent_revision or renew.revision < 0:
            text = f"acknowledges revision {renew.revision}, was sent {subscription.sent_revision}"
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
        """The lease that this node is given now: never longer than the machine's own."""
        lease_s = self.lease_until - now
        if lease_s <= 0.0 or not self.lease_grants.allows(grant.acknowledged):
            self.counts["leases_refused"] += 1
            return 0.0
        self.lease_grants.grant(grant, self.lease_until)
        return lease_s

    # Changes

    def _follow_source(self, now: float) -> None:
        """Publish what the source has applied since the last call."""
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
        changed = revision if changes is None else changes[-1].revision
        self.lease_grants.advance(index, changed)
        self.delivery.publish(self.subscriptions.values(), previous_change)

    def _revision_to_acknowledge(self, revision: int) -> int:
        """What a node has to acknowledge so that it certainly has all changes up to `revision`."""
        return min(revision, self.lease_grants.last_change) if revision <= self.revision else revision

    # The end of subscriptions

    def _close(self, now: float, subscription: Subscription, code: CloseCode, text: str) -> None:
        self.counts[f"closed_{code}"] += 1
        self.disconnected_nodes.remember(now, subscription)
        self._forget(subscription)
        if subscription.writing_paused_at is None:
            self._send(subscription.connection_id, Rejected(code, text))
        self.outputs.append(Close(subscription.connection_id, code))

    def _forget(self, subscription: Subscription) -> None:
        self.subscriptions.pop(subscription.connection_id, None)
        if self.by_node.get(subscription.node) is subscription:
            del self.by_node[subscription.node]
        self.delivery.forget(subscription)

    def _close_unresponsive(self, now: float) -> None:
        self.disconnected_nodes.forget_expired(now)
        silent = now - self.limits.subscriber_timeout_s
        stalled = now - self.limits.write_stall_timeout_s
        for subscription in list(self.subscriptions.values()):
            if subscription.last_received_at < silent:
                self._close(now, subscription, CloseCode.SILENT, "nothing was heard for too long")
            elif subscription.writing_paused_at is not None and subscription.writing_paused_at < stalled:
                self._close(now, subscription, CloseCode.SLOW, "nothing was read for too long")

    def _send(self, connection_id: int, message: FromPublisher) -> None:
        self.outputs.append(Send(connection_id, message))
