"""A control machine's side of subscriptions: what nodes are sent, their leases, what they acknowledged.

No I/O and no clock. Nothing is queued for a subscriber: only the position up to which it was sent is kept,
and what it is sent next is made from the state when its transport has room.
"""

from __future__ import annotations

import random as random_module
from collections import Counter, deque
from dataclasses import dataclass

from gradegap.observer import history
from gradegap.observer.admission import Admission
from gradegap.observer.budget import Budget
from gradegap.observer.grants import LeaseGrant, LeaseGrants
from gradegap.observer.history import Source
from gradegap.observer.limits import Limits
from gradegap.observer.messages import (
    VERSION,
    Accepted,
    CloseCode,
    Delta,
    FromPublisher,
    FromSubscriber,
    Heartbeat,
    Leave,
    Rejected,
    Renew,
    Subscribe,
)
from gradegap.observer.snapshots import Snapshot, Transfer
from gradegap.store.in_force import MachineReport

NEVER = -1e18
DELAYED_S = 0.1  # between two looks whose bucket has filled again
SWEEP_S = 0.5  # between two looks for subscribers that are silent or stalled
FRAME_BYTES = 20  # of length and sum before each message
HEARTBEAT_BYTES = 24
MAX_DISCONNECTED_NODES = 10_000  # nodes that are remembered after their connection was lost


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


@dataclass(slots=True, eq=False)
class Subscription:
    """One connection's subscription."""

    connection_id: int
    node: str
    instance: str
    sent_revision: int  # the revision up to which all was sent
    lease_grant: LeaseGrant
    subscribed_at: float
    last_received_at: float
    budget: Budget
    writing_paused_at: float | None = None
    transfer: Transfer | None = None
    awaits_snapshot: bool = False
    deferred_renewal: Renew | None = None  # the latest that came while writing was paused


@dataclass(slots=True)
class Lost:
    """A life of a node whose connection ended."""

    node: str
    instance: str
    grant: LeaseGrant
    at: float


@dataclass(frozen=True, slots=True)
class SizedDelta:
    """A delta with what it costs a subscriber."""

    delta: Delta
    size: int  # bytes


class Publisher:
    """All subscriptions of one control machine."""

    def __init__(
        self,
        cluster: str,
        machine: str,
        source: Source,
        limits: Limits,
        now: float,
        random: random_module.Random,
    ) -> None:
        self.cluster, self.machine, self.source, self.limits = cluster, machine, source, limits
        self.counts: Counter[str] = Counter()
        self.subscriptions: dict[int, Subscription] = {}
        self.by_node: dict[str, Subscription] = {}
        self.disconnected_nodes: dict[tuple[str, str], Lost] = {}  # by node and instance, oldest first
        self.admission = Admission(limits, now, random)
        self.lease_until = NEVER
        self.revision = source.revision
        self.lease_grants = LeaseGrants(limits, source.index, source.revision)
        self.next_sweep_at = now + SWEEP_S
        # By then nodes of an earlier life have come back or are lost.
        self.restart_settled_at = now + limits.disconnected_node_retention_s
        self.snapshot: Snapshot | None = None
        self.snapshot_transfers: dict[int, Subscription] = {}
        self.awaiting_snapshot: deque[Subscription] = deque()  # for a transfer to end
        self.deltas: dict[int, SizedDelta | None] = {}  # since the last change, by `after`; None: a snapshot
        self.delayed: dict[int, Subscription] = {}  # whose bucket is empty
        self.now = now  # as of the last call
        self.outputs: list[Output] = []

    # What the driver tells

    def subscribe(self, now: float, connection_id: int, message: Subscribe) -> None:
        """A connection's first message."""
        self._follow_source(now)
        if connection_id in self.subscriptions:
            self._close(now, self.subscriptions[connection_id], CloseCode.GARBLED, "a second Subscribe")
            return
        refusal = self._rejection(now, message)
        if refusal is not None:
            self.counts[f"rejected_{refusal.code}"] += 1
            self._send(connection_id, refusal)
            self.outputs.append(Close(connection_id, refusal.code))
            return
        self._displace_earlier_connection(now, message)
        grant = self._resume_lease_grant(message)
        budget = Budget(self.limits, now)
        new = Subscription(
            connection_id, message.node, message.instance, message.revision, grant, now, now, budget
        )
        self.subscriptions[connection_id] = self.by_node[message.node] = new
        self.counts["accepted"] += 1
        self._send(connection_id, Accepted(VERSION, self.cluster, self.machine, self.limits.renew_interval_s))
        self._send_missing_changes(new)

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
        """The transport has more to write than its high-water mark: nothing more is sent until `writable`."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is not None and subscription.writing_paused_at is None:
            subscription.writing_paused_at = now

    def resume_writing(self, now: float, connection_id: int) -> None:
        """The transport has room again."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is None or subscription.writing_paused_at is None:
            return
        self.now = now
        subscription.writing_paused_at = None
        self._send_missing_changes(subscription)
        if subscription.deferred_renewal is not None:
            pending, subscription.deferred_renewal = subscription.deferred_renewal, None
            self._answer_renewal(now, subscription, pending)

    def disconnected(self, now: float, connection_id: int) -> None:
        """The connection ended. The node's lease counts until it is over."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is not None:
            self._remember_disconnected(now, subscription)
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

    def stop(self, now: float) -> None:
        """A planned stop: all nodes are told to move on."""
        for subscription in list(self.subscriptions.values()):
            self._close(now, subscription, CloseCode.LEAVING, "this machine is stopping")

    def tick(self, now: float) -> None:
        """Look at what time has brought."""
        self.now = now
        self.lease_grants.expire(now)
        self._send_delayed()
        if now >= self.next_sweep_at:
            self.next_sweep_at = now + SWEEP_S
            self._close_unresponsive(now)

    # What the driver asks

    def deadline(self) -> float | None:
        """When `tick` is wanted next."""
        if not self.subscriptions and not self.disconnected_nodes:
            return None
        end = self.lease_grants.next_expiry()
        soonest = self.next_sweep_at if end is None else min(end, self.next_sweep_at)
        return min(soonest, self.now + DELAYED_S) if self.delayed else soonest

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
        self._forget_disconnected(now)
        needed = self._revision_to_acknowledge(revision)
        connected = self.subscriptions.values()
        recent = now - self.limits.disconnected_node_retention_s
        return MachineReport(
            self.machine,
            min(self.revision, revision),
            len(self.subscriptions),
            tuple(s.node for s in connected if s.lease_grant.acknowledged < needed),
            tuple(
                lost.node
                for lost in self.disconnected_nodes.values()
                if lost.grant.acknowledged < needed and lost.node not in self.by_node
            ),
            tuple(
                s.node
                for s in connected
                if s.subscribed_at >= recent and s.lease_grant.acknowledged >= needed
            ),
            restarted=now < self.restart_settled_at,
        )

    def take(self) -> list[Output]:
        """What is to be done, in this order. Call until it is empty: a snapshot goes one part at a time."""
        self._send_snapshot_parts()
        outputs, self.outputs = self.outputs, []
        return outputs

    # Admission

    def _rejection(self, now: float, message: Subscribe) -> Rejected | None:
        if message.version != VERSION:
            return Rejected(
                CloseCode.VERSION, f"this machine speaks version {VERSION}, not {message.version}"
            )
        if message.cluster and message.cluster != self.cluster:
            return Rejected(CloseCode.CLUSTER, f"this machine belongs to cluster {self.cluster}")
        if not message.node or not message.instance:
            return Rejected(CloseCode.GARBLED, "a node and an instance have to be named")
        if message.revision > self.revision:
            text = f"this machine is at revision {self.revision}, the node at {message.revision}"
            return Rejected(CloseCode.BEHIND, text, self.limits.renew_interval_s)
        full = len(self.subscriptions) >= self.limits.max_subscribers and message.node not in self.by_node
        if full or not self.admission.admit(now):
            text = "too many subscriptions" if full else "too many new subscriptions a second"
            return Rejected(CloseCode.BUSY, text, self.admission.retry_after(now))
        return None

    def _displace_earlier_connection(self, now: float, message: Subscribe) -> None:
        """One connection a node: the newer one stands."""
        old = self.by_node.get(message.node)
        if old is None:
            return
        if old.instance != message.instance:
            self.counts["duplicates"] += 1
        self._close(now, old, CloseCode.DUPLICATE, "another subscription came under this node name")

    def _resume_lease_grant(self, message: Subscribe) -> LeaseGrant:
        """The same life of a node goes on with its grant; a new one has none, and the old one's counts."""
        lost = self.disconnected_nodes.pop((message.node, message.instance), None)
        grant = lost.grant if lost is not None else LeaseGrant(message.revision)
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
        if self._is_up_to_date(subscription):
            subscription.sent_revision = self.revision
        lease_s = self._grant_lease(now, subscription.lease_grant)
        subscription.budget.spend(now, HEARTBEAT_BYTES + FRAME_BYTES)
        self._send(subscription.connection_id, Heartbeat(renew.serial, subscription.sent_revision, lease_s))

    def _grant_lease(self, now: float, grant: LeaseGrant) -> float:
        """The lease that this node is given now: never longer than the machine's own."""
        lease_s = self.lease_until - now
        if lease_s <= 0.0 or not self.lease_grants.allows(grant.acknowledged):
            self.counts["leases_refused"] += 1
            return 0.0
        self.lease_grants.grant(grant, self.lease_until)
        return lease_s

    # Changes

    def _follow_source(self, now: float) -> None:
        """Take notice of what the source has applied since the last time."""
        self.now = now
        index, revision = self.source.index, self.source.revision
        if revision == self.revision:
            if index != self.lease_grants.index:
                self.lease_grants.advance(index, None)
            return
        after = self.lease_grants.last_change
        changes = self.source.changes_since(self.revision)
        self.revision = revision
        if changes is not None and not changes:
            self.lease_grants.advance(index, None)
            return
        changed = revision if changes is None else changes[-1].revision
        self.lease_grants.advance(index, changed)
        self.deltas = {}
        self._publish_changes(after)

    def _publish_changes(self, after: int) -> None:
        """Send the newest change to all that have the one before it: to each the same object."""
        for subscription in self.subscriptions.values():
            if subscription.writing_paused_at is None and subscription.transfer is None:
                self._send_missing_changes(subscription, after)

    def _send_missing_changes(self, subscription: Subscription, previous_change: int | None = None) -> None:
        """Send what this subscriber lacks: nothing, a delta, or a snapshot."""
        busy = subscription.transfer is not None or subscription.awaits_snapshot
        if busy or subscription.writing_paused_at is not None or self._is_up_to_date(subscription):
            return
        after = subscription.sent_revision
        if previous_change is not None and after >= previous_change:
            after = previous_change
        if subscription.budget.wait(self.now) > 0.0:
            if subscription.connection_id not in self.delayed:
                self.counts["delayed"] += 1
                self.delayed[subscription.connection_id] = subscription
            return
        sized = self._delta(after)
        if sized is None:
            self._start_snapshot(subscription)
            return
        self.delayed.pop(subscription.connection_id, None)
        subscription.sent_revision = sized.delta.revision
        subscription.budget.spend(self.now, sized.size)
        self.counts["deltas"] += 1
        self._send(subscription.connection_id, sized.delta)

    def _send_delayed(self) -> None:
        """Send what has changed meanwhile, coalesced, to those whose bucket has filled again."""
        for subscription in [s for s in self.delayed.values() if s.budget.wait(self.now) <= 0.0]:
            del self.delayed[subscription.connection_id]
            self._send_missing_changes(subscription)

    def _is_up_to_date(self, subscription: Subscription) -> bool:
        return subscription.sent_revision >= self.lease_grants.last_change

    def _delta(self, after: int) -> SizedDelta | None:
        """The difference, coalesced by key; None: a snapshot has to go. Made once for all that need it."""
        if after not in self.deltas:
            if len(self.deltas) >= self.limits.max_cached_deltas:
                del self.deltas[next(iter(self.deltas))]
            self.deltas[after] = self._make_delta(after)
        return self.deltas[after]

    def _make_delta(self, after: int) -> SizedDelta | None:
        changes = self.source.changes_since(after)
        if changes is None or after == 0:
            return None
        coalesced = history.coalesce(changes)
        bytes_of_changes = history.size(coalesced)
        if bytes_of_changes > self.limits.max_delta_bytes:
            return None
        return SizedDelta(Delta(after, self.revision, coalesced), bytes_of_changes + FRAME_BYTES)

    def _revision_to_acknowledge(self, revision: int) -> int:
        """What a node has to acknowledge so that it certainly has all changes up to `revision`."""
        return min(revision, self.lease_grants.last_change) if revision <= self.revision else revision

    # Snapshots

    def _start_snapshot(self, subscription: Subscription) -> None:
        if len(self.snapshot_transfers) >= self.limits.max_snapshot_transfers:
            subscription.awaits_snapshot = True
            self.awaiting_snapshot.append(subscription)
            return
        if self.snapshot is None or self.snapshot.revision < self.lease_grants.last_change:
            self.snapshot = Snapshot(self.revision, self.source.items(), self.limits.snapshot_part_bytes)
            self.counts["snapshots_made"] += 1
        subscription.transfer = Transfer(self.snapshot)
        self.snapshot_transfers[subscription.connection_id] = subscription

    def _send_snapshot_parts(self) -> None:
        """One part for each transfer whose transport has room."""
        for subscription in list(self.snapshot_transfers.values()):
            transfer = subscription.transfer
            if transfer is None or subscription.writing_paused_at is not None:
                continue
            part = transfer.take()
            self._send(subscription.connection_id, part)
            if part.last:
                subscription.sent_revision = part.revision
                subscription.transfer = None
                subscription.budget.use_up(self.now, transfer.snapshot.size)
                self.counts["snapshots_sent"] += 1
                self._finish_transfer(subscription)
                self._send_missing_changes(subscription)

    def _finish_transfer(self, subscription: Subscription) -> None:
        """Make room for the next one that waits."""
        self.snapshot_transfers.pop(subscription.connection_id, None)
        while self.awaiting_snapshot and len(self.snapshot_transfers) < self.limits.max_snapshot_transfers:
            following = self.awaiting_snapshot.popleft()
            if following.awaits_snapshot:
                following.awaits_snapshot = False
                self._send_missing_changes(following)
        if not self.snapshot_transfers:
            self.snapshot = None

    # The end of subscriptions

    def _close(self, now: float, subscription: Subscription, code: CloseCode, text: str) -> None:
        self.counts[f"closed_{code}"] += 1
        self._remember_disconnected(now, subscription)
        self._forget(subscription)
        if subscription.writing_paused_at is None:
            self._send(subscription.connection_id, Rejected(code, text))
        self.outputs.append(Close(subscription.connection_id, code))

    def _forget(self, subscription: Subscription) -> None:
        self.subscriptions.pop(subscription.connection_id, None)
        self.delayed.pop(subscription.connection_id, None)
        if self.by_node.get(subscription.node) is subscription:
            del self.by_node[subscription.node]
        subscription.awaits_snapshot = False
        if subscription.transfer is not None:
            subscription.transfer = None
            self._finish_transfer(subscription)

    def _remember_disconnected(self, now: float, subscription: Subscription) -> None:
        key = (subscription.node, subscription.instance)
        self.disconnected_nodes.pop(key, None)
        self.disconnected_nodes[key] = Lost(
            subscription.node, subscription.instance, subscription.lease_grant, now
        )
        if len(self.disconnected_nodes) > MAX_DISCONNECTED_NODES:
            del self.disconnected_nodes[next(iter(self.disconnected_nodes))]

    def _forget_disconnected(self, now: float) -> None:
        """Their grants stay in the book until they end."""
        while self.disconnected_nodes:
            key, lost = next(iter(self.disconnected_nodes.items()))
            if lost.at + self.limits.disconnected_node_retention_s > now:
                return
            del self.disconnected_nodes[key]

    def _close_unresponsive(self, now: float) -> None:
        self._forget_disconnected(now)
        silent = now - self.limits.subscriber_timeout_s
        stalled = now - self.limits.write_stall_timeout_s
        for subscription in list(self.subscriptions.values()):
            if subscription.last_received_at < silent:
                self._close(now, subscription, CloseCode.SILENT, "nothing was heard for too long")
            elif subscription.writing_paused_at is not None and subscription.writing_paused_at < stalled:
                self._close(now, subscription, CloseCode.SLOW, "nothing was read for too long")

    def _send(self, connection_id: int, message: FromPublisher) -> None:
        self.outputs.append(Send(connection_id, message))
