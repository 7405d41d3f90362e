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
from gradegap.observer.grants import Grant, GrantBook
from gradegap.observer.history import Source
from gradegap.observer.limits import Limits
from gradegap.observer.messages import (
    VERSION,
    Accepted,
    Code,
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
MOST_LOST = 10_000  # nodes that are remembered after their connection was lost


@dataclass(frozen=True, slots=True)
class Send:
    """Send this message to this connection."""

    subscriber: int
    message: FromPublisher


@dataclass(frozen=True, slots=True)
class Close:
    """End this connection once what was sent before is written; the publisher has forgotten it."""

    subscriber: int
    code: Code


Output = Send | Close


@dataclass(slots=True, eq=False)
class Subscription:
    """One connection's subscription."""

    subscriber: int
    node: str
    instance: str
    sent: int  # the revision up to which all was sent
    grant: Grant
    since: float
    heard: float
    budget: Budget
    blocked_since: float | None = None
    transfer: Transfer | None = None
    waits_for_snapshot: bool = False
    pending: Renew | None = None  # the latest that could not be answered while the transport was full


@dataclass(slots=True)
class Lost:
    """A life of a node whose connection ended."""

    node: str
    instance: str
    grant: Grant
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
        self.lost_nodes: dict[tuple[str, str], Lost] = {}  # by node and instance, oldest first
        self.admission = Admission(limits, now, random)
        self.lease_until = NEVER
        self.revision = source.revision
        self.grants = GrantBook(limits, source.index, source.revision)
        self.sweep_at = now + SWEEP_S
        self.settled_at = now + limits.lost_s  # by then nodes of an earlier life have come back or are lost
        self.snapshot: Snapshot | None = None
        self.transferring: dict[int, Subscription] = {}
        self.waiting: deque[Subscription] = deque()  # for a transfer to end
        self.deltas: dict[int, SizedDelta | None] = {}  # since the last change, by `after`; None: a snapshot
        self.delayed: dict[int, Subscription] = {}  # whose bucket is empty
        self.now = now  # as of the last call
        self.outputs: list[Output] = []

    # What the driver tells

    def subscribe(self, now: float, subscriber: int, message: Subscribe) -> None:
        """A connection's first message."""
        self._advance(now)
        if subscriber in self.subscriptions:
            self._close(now, self.subscriptions[subscriber], Code.GARBLED, "a second Subscribe")
            return
        refusal = self._refusal(now, message)
        if refusal is not None:
            self.counts[f"rejected_{refusal.code}"] += 1
            self._send(subscriber, refusal)
            self.outputs.append(Close(subscriber, refusal.code))
            return
        self._displace(now, message)
        grant = self._grant_of_earlier_connection(message)
        budget = Budget(self.limits, now)
        new = Subscription(
            subscriber, message.node, message.instance, message.revision, grant, now, now, budget
        )
        self.subscriptions[subscriber] = self.by_node[message.node] = new
        self.counts["accepted"] += 1
        self._send(subscriber, Accepted(VERSION, self.cluster, self.machine, self.limits.renew_s))
        self._bring_level(new)

    def receive(self, now: float, subscriber: int, message: FromSubscriber) -> None:
        """Any later message."""
        subscription = self.subscriptions.get(subscriber)
        if subscription is None:
            return
        subscription.heard = now
        match message:
            case Renew():
                self._renew(now, subscription, message)
            case Leave():
                self.grants.release(subscription.grant)
                self._forget(subscription)
                self.outputs.append(Close(subscriber, Code.LEAVING))
            case Subscribe():
                self._close(now, subscription, Code.GARBLED, "a second Subscribe")

    def blocked(self, now: float, subscriber: int) -> None:
        """The transport has more to write than its high-water mark: nothing more is sent until `writable`."""
        subscription = self.subscriptions.get(subscriber)
        if subscription is not None and subscription.blocked_since is None:
            subscription.blocked_since = now

    def writable(self, now: float, subscriber: int) -> None:
        """The transport has room again."""
        subscription = self.subscriptions.get(subscriber)
        if subscription is None or subscription.blocked_since is None:
            return
        self.now = now
        subscription.blocked_since = None
        self._bring_level(subscription)
        if subscription.pending is not None:
            pending, subscription.pending = subscription.pending, None
            self._answer(now, subscription, pending)

    def lost(self, now: float, subscriber: int) -> None:
        """The connection ended. The node's lease counts until it is over."""
        subscription = self.subscriptions.get(subscriber)
        if subscription is not None:
            self._remember_lost(now, subscription)
            self._forget(subscription)

    def committed(self, now: float) -> None:
        """The source has applied more."""
        self._advance(now)

    def lease(self, now: float, until: float) -> None:
        """This machine's own lease is good until `until`, by all that the source has applied now."""
        self._advance(now)
        if until > self.lease_until:
            self.grants.raise_floor()
        self.lease_until = until

    def stop(self, now: float) -> None:
        """A planned stop: all nodes are told to move on."""
        for subscription in list(self.subscriptions.values()):
            self._close(now, subscription, Code.LEAVING, "this machine is stopping")

    def tick(self, now: float) -> None:
        """Look at what time has brought."""
        self.now = now
        self.grants.expire(now)
        self._look_at_delayed()
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP_S
            self._sweep(now)

    # What the driver asks

    def deadline(self) -> float | None:
        """When `tick` is wanted next."""
        if not self.subscriptions and not self.lost_nodes:
            return None
        end = self.grants.next_end()
        soonest = self.sweep_at if end is None else min(end, self.sweep_at)
        return min(soonest, self.now + DELAYED_S) if self.delayed else soonest

    def safe_index(self, now: float) -> int:
        """The index of the log that every node which may still decide by this machine has applied."""
        return self.grants.safe_index(now)

    def behind(self, now: float, revision: int) -> list[str]:
        """Nodes, connected or lately lost, that have not acknowledged all up to `revision`."""
        report = self.report(now, revision)
        return sorted({*report.behind, *report.lost})

    def report(self, now: float, revision: int) -> MachineReport:
        """Who has not acknowledged `revision` here, and who came or went lately."""
        self._advance(now)
        self._forget_lost(now)
        needed = self._needed(revision)
        connected = self.subscriptions.values()
        recent = now - self.limits.lost_s
        return MachineReport(
            self.machine,
            min(self.revision, revision),
            len(self.subscriptions),
            tuple(s.node for s in connected if s.grant.acknowledged < needed),
            tuple(
                lost.node
                for lost in self.lost_nodes.values()
                if lost.grant.acknowledged < needed and lost.node not in self.by_node
            ),
            tuple(s.node for s in connected if s.since >= recent and s.grant.acknowledged >= needed),
            restarted=now < self.settled_at,
        )

    def take(self) -> list[Output]:
        """What is to be done, in this order. Call until it is empty: a snapshot goes one part at a time."""
        self._send_parts()
        outputs, self.outputs = self.outputs, []
        return outputs

    # Admission

    def _refusal(self, now: float, message: Subscribe) -> Rejected | None:
        if message.version != VERSION:
            return Rejected(Code.VERSION, f"this machine speaks version {VERSION}, not {message.version}")
        if message.cluster and message.cluster != self.cluster:
            return Rejected(Code.CLUSTER, f"this machine belongs to cluster {self.cluster}")
        if not message.node or not message.instance:
            return Rejected(Code.GARBLED, "a node and an instance have to be named")
        if message.revision > self.revision:
            text = f"this machine is at revision {self.revision}, the node at {message.revision}"
            return Rejected(Code.BEHIND, text, self.limits.renew_s)
        full = len(self.subscriptions) >= self.limits.most_subscribers and message.node not in self.by_node
        if full or not self.admission.admit(now):
            text = "too many subscriptions" if full else "too many new subscriptions a second"
            return Rejected(Code.BUSY, text, self.admission.retry_after(now))
        return None

    def _displace(self, now: float, message: Subscribe) -> None:
        """One connection a node: the newer one stands."""
        old = self.by_node.get(message.node)
        if old is None:
            return
        if old.instance != message.instance:
            self.counts["duplicates"] += 1
        self._close(now, old, Code.DUPLICATE, "another subscription came under this node name")

    def _grant_of_earlier_connection(self, message: Subscribe) -> Grant:
        """The same life of a node goes on with its grant; a new one has none, and the old one's counts."""
        lost = self.lost_nodes.pop((message.node, message.instance), None)
        grant = lost.grant if lost is not None else Grant(message.revision)
        self.grants.acknowledge(grant, message.revision)
        return grant

    # Renewals

    def _renew(self, now: float, subscription: Subscription, renew: Renew) -> None:
        if renew.revision > subscription.sent or renew.revision < 0:
            text = f"acknowledges revision {renew.revision}, was sent {subscription.sent}"
            self._close(now, subscription, Code.GARBLED, text)
            return
        self.grants.acknowledge(subscription.grant, renew.revision)
        if subscription.blocked_since is not None:
            subscription.pending = renew
        else:
            self._answer(now, subscription, renew)

    def _answer(self, now: float, subscription: Subscription, renew: Renew) -> None:
        self._advance(now)
        if self._has_last_change(subscription):
            subscription.sent = self.revision
        lease_s = self._grant(now, subscription.grant)
        subscription.budget.spend(now, HEARTBEAT_BYTES + FRAME_BYTES)
        self._send(subscription.subscriber, Heartbeat(renew.serial, subscription.sent, lease_s))

    def _grant(self, now: float, grant: Grant) -> float:
        """The lease that this node is given now: never longer than the machine's own."""
        lease_s = self.lease_until - now
        if lease_s <= 0.0 or not self.grants.allows(grant.acknowledged):
            self.counts["leases_refused"] += 1
            return 0.0
        self.grants.grant(grant, self.lease_until)
        return lease_s

    # Changes

    def _advance(self, now: float) -> None:
        """Take notice of what the source has applied since the last time."""
        self.now = now
        index, revision = self.source.index, self.source.revision
        if revision == self.revision:
            if index != self.grants.index:
                self.grants.advance(index, None)
            return
        after = self.grants.last_change
        changes = self.source.changes_since(self.revision)
        self.revision = revision
        if changes is not None and not changes:
            self.grants.advance(index, None)
            return
        changed = revision if changes is None else changes[-1].revision
        self.grants.advance(index, changed)
        self.deltas = {}
        self._publish(after)

    def _publish(self, after: int) -> None:
        """Send the newest change to all that have the one before it: to each the same object."""
        for subscription in self.subscriptions.values():
            if subscription.blocked_since is None and subscription.transfer is None:
                self._bring_level(subscription, after)

    def _bring_level(self, subscription: Subscription, previous_change: int | None = None) -> None:
        """Send what this subscriber lacks: nothing, a delta, or a snapshot."""
        busy = subscription.transfer is not None or subscription.waits_for_snapshot
        if busy or subscription.blocked_since is not None or self._has_last_change(subscription):
            return
        after = subscription.sent
        if previous_change is not None and after >= previous_change:
            after = previous_change
        if subscription.budget.wait(self.now) > 0.0:
            if subscription.subscriber not in self.delayed:
                self.counts["delayed"] += 1
                self.delayed[subscription.subscriber] = subscription
            return
        sized = self._delta(after)
        if sized is None:
            self._want_snapshot(subscription)
            return
        self.delayed.pop(subscription.subscriber, None)
        subscription.sent = sized.delta.revision
        subscription.budget.spend(self.now, sized.size)
        self.counts["deltas"] += 1
        self._send(subscription.subscriber, sized.delta)

    def _look_at_delayed(self) -> None:
        """Send what has changed meanwhile, coalesced, to those whose bucket has filled again."""
        for subscription in [s for s in self.delayed.values() if s.budget.wait(self.now) <= 0.0]:
            del self.delayed[subscription.subscriber]
            self._bring_level(subscription)

    def _has_last_change(self, subscription: Subscription) -> bool:
        return subscription.sent >= self.grants.last_change

    def _delta(self, after: int) -> SizedDelta | None:
        """The difference, coalesced by key; None: a snapshot has to go. Made once for all that need it."""
        if after not in self.deltas:
            if len(self.deltas) >= self.limits.most_deltas:
                del self.deltas[next(iter(self.deltas))]
            self.deltas[after] = self._make_delta(after)
        return self.deltas[after]

    def _make_delta(self, after: int) -> SizedDelta | None:
        changes = self.source.changes_since(after)
        if changes is None or after == 0:
            return None
        coalesced = history.coalesce(changes)
        bytes_of_changes = history.size(coalesced)
        if bytes_of_changes > self.limits.largest_delta:
            return None
        return SizedDelta(Delta(after, self.revision, coalesced), bytes_of_changes + FRAME_BYTES)

    def _needed(self, revision: int) -> int:
        """What a node has to acknowledge so that it certainly has all changes up to `revision`."""
        return min(revision, self.grants.last_change) if revision <= self.revision else revision

    # Snapshots

    def _want_snapshot(self, subscription: Subscription) -> None:
        if len(self.transferring) >= self.limits.most_snapshots:
            subscription.waits_for_snapshot = True
            self.waiting.append(subscription)
            return
        if self.snapshot is None or self.snapshot.revision < self.grants.last_change:
            self.snapshot = Snapshot(self.revision, self.source.items(), self.limits.part_bytes)
            self.counts["snapshots_made"] += 1
        subscription.transfer = Transfer(self.snapshot)
        self.transferring[subscription.subscriber] = subscription

    def _send_parts(self) -> None:
        """One part for each transfer whose transport has room."""
        for subscription in list(self.transferring.values()):
            transfer = subscription.transfer
            if transfer is None or subscription.blocked_since is not None:
                continue
            part = transfer.take()
            self._send(subscription.subscriber, part)
            if part.last:
                subscription.sent = part.revision
                subscription.transfer = None
                subscription.budget.use_up(self.now, transfer.snapshot.size)
                self.counts["snapshots_sent"] += 1
                self._transfer_over(subscription)
                self._bring_level(subscription)

    def _transfer_over(self, subscription: Subscription) -> None:
        """Make room for the next one that waits."""
        self.transferring.pop(subscription.subscriber, None)
        while self.waiting and len(self.transferring) < self.limits.most_snapshots:
            following = self.waiting.popleft()
            if following.waits_for_snapshot:
                following.waits_for_snapshot = False
                self._bring_level(following)
        if not self.transferring:
            self.snapshot = None

    # The end of subscriptions

    def _close(self, now: float, subscription: Subscription, code: Code, text: str) -> None:
        self.counts[f"closed_{code}"] += 1
        self._remember_lost(now, subscription)
        self._forget(subscription)
        if subscription.blocked_since is None:
            self._send(subscription.subscriber, Rejected(code, text))
        self.outputs.append(Close(subscription.subscriber, code))

    def _forget(self, subscription: Subscription) -> None:
        self.subscriptions.pop(subscription.subscriber, None)
        self.delayed.pop(subscription.subscriber, None)
        if self.by_node.get(subscription.node) is subscription:
            del self.by_node[subscription.node]
        subscription.waits_for_snapshot = False
        if subscription.transfer is not None:
            subscription.transfer = None
            self._transfer_over(subscription)

    def _remember_lost(self, now: float, subscription: Subscription) -> None:
        key = (subscription.node, subscription.instance)
        self.lost_nodes.pop(key, None)
        self.lost_nodes[key] = Lost(subscription.node, subscription.instance, subscription.grant, now)
        if len(self.lost_nodes) > MOST_LOST:
            del self.lost_nodes[next(iter(self.lost_nodes))]

    def _forget_lost(self, now: float) -> None:
        """Their grants stay in the book until they end."""
        while self.lost_nodes:
            key, lost = next(iter(self.lost_nodes.items()))
            if lost.at + self.limits.lost_s > now:
                return
            del self.lost_nodes[key]

    def _sweep(self, now: float) -> None:
        self._forget_lost(now)
        silent = now - self.limits.subscriber_silent_s
        stalled = now - self.limits.stall_s
        for subscription in list(self.subscriptions.values()):
            if subscription.heard < silent:
                self._close(now, subscription, Code.SILENT, "nothing was heard for too long")
            elif subscription.blocked_since is not None and subscription.blocked_since < stalled:
                self._close(now, subscription, Code.SLOW, "nothing was read for too long")

    def _send(self, subscriber: int, message: FromPublisher) -> None:
        self.outputs.append(Send(subscriber, message))
