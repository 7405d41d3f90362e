"""Mutations of observer subscriptions: each class has one known mistake, which the model must detect."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from gradegap.observer.grants import SubscriberLeaseGrant
from gradegap.observer.messages import Change, Delta, Heartbeat, Renew, SnapshotPart, Subscribe
from gradegap.observer.publisher import Publisher
from gradegap.observer.subscriber import Apply, Send, Subscriber
from gradegap.observer.subscriptions import Subscription
from gradegap.store.in_force import MachineReport
from gradegap.verification.errors import InvariantError, Violation
from gradegap.verification.observer_faults import Faults
from gradegap.verification.observer_model import Model

# Mistakes of a subscriber


class AppliesBackwards(Subscriber):
    """A duplicate delta takes the node back to the revision of the delta."""

    def _receive_delta(self, now: float, delta: Delta) -> None:
        if delta.revision <= self.revision and not self.snapshot_parts:
            self._emit_apply(now, delta.revision, delta.changes, is_snapshot=False)
        else:
            super()._receive_delta(now, delta)


class TakesOlderSnapshots(Subscriber):
    """A snapshot is applied although the node has a later revision."""

    def _receive_snapshot_part(self, now: float, part: SnapshotPart) -> None:
        own_revision = self.revision
        self.revision = min(own_revision, part.revision)
        super()._receive_snapshot_part(now, part)
        if self.snapshot_parts:
            self.revision = own_revision


class AcknowledgesBeforeApplying(Subscriber):
    """A Renew is sent before the changes that it acknowledges are applied."""

    def _emit_apply(self, now: float, revision: int, changes: tuple[Change, ...], is_snapshot: bool) -> None:
        self.renewal_serial += 1
        self.unanswered_renewals[self.renewal_serial] = now
        self.outputs.append(Send(Renew(self.renewal_serial, revision)))
        super()._emit_apply(now, revision, changes, is_snapshot)


class LeaseFromResponse(Subscriber):
    """The lease starts when the response arrives instead of when the request was sent."""

    def _receive_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        if heartbeat.serial in self.unanswered_renewals:
            self.unanswered_renewals[heartbeat.serial] = now
        super()._receive_heartbeat(now, heartbeat)


class LeaseWithoutDrift(Subscriber):
    """The lease lasts as long as granted, without a margin for clock drift."""

    def _receive_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        longer_lease_s = heartbeat.lease_s / (1.0 - self.limits.max_clock_drift)
        super()._receive_heartbeat(now, Heartbeat(heartbeat.serial, heartbeat.revision, longer_lease_s))


class AppliesPartialSnapshot(Subscriber):
    """Each part of a snapshot is applied when it arrives."""

    def _receive_snapshot_part(self, now: float, part: SnapshotPart) -> None:
        if not part.last:
            self.outputs.append(Apply(part.revision, part.items, is_snapshot=part.part == 0))
        super()._receive_snapshot_part(now, part)


class KeepsTheLeaseAtLeave(Subscriber):
    """The node announces to the machine that it no lease_s uses its lease, but continues to use it."""

    def leave(self, now: float) -> None:
        """Leave, but keep the lease."""
        until = self.lease_until
        super().leave(now)
        self.lease_until = until


# Mistakes of a publisher


class ForgetsLostGrants(Publisher):
    """The lease of a node is released when its connection is lost."""

    def disconnected(self, now: float, connection_id: int) -> None:
        """Release the lease and handle the end of the connection."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is not None:
            self.lease_grants.release(subscription.lease_grant)
        super().disconnected(now, connection_id)


class ForgetsDisplacedGrants(Publisher):
    """The lease of a node's earlier incarnation is released when the next incarnation subscribes."""

    def _displace_earlier_connection(self, now: float, message: Subscribe) -> None:
        earlier = self.by_node.get(message.node)
        if earlier is not None:
            self.lease_grants.release(earlier.lease_grant)
        super()._displace_earlier_connection(now, message)


class ForgetsTheGrantOfAnEarlierConnection(Publisher):
    """When a node reconnects, the lease of its last connection is released."""

    def _resume_lease_grant(self, message: Subscribe) -> SubscriberLeaseGrant:
        grant = self.disconnected_nodes.resume(message.node, message.instance)
        if grant is not None:
            self.lease_grants.release(grant)
        return SubscriberLeaseGrant(message.revision)


class MergesMarksUnsafely(Publisher):
    """If the list of pending changes is full, merged changes take the index of the newest one."""

    def _follow_source(self, now: float) -> None:
        pending, index = self.lease_grants.pending_changes, self.lease_grants.index
        newest_revision = pending[-1].revision if len(pending) == self.limits.max_pending_changes else 0
        super()._follow_source(now)
        if newest_revision and pending and pending[-1].revision > newest_revision:
            pending[-1].index_before = index


class ReportsItsOwnIndex(Publisher):
    """The machine reports to the leader its own applied index instead of that of its nodes."""

    def safe_index(self, now: float) -> int:
        """Returns the index that this machine has applied."""
        return self.source.index


class GrantsToNodesBehind(Publisher):
    """A node is granted a lease although it lacks acknowledged changes."""

    def _grant_lease(self, now: float, grant: SubscriberLeaseGrant) -> float:
        self.lease_grants.required_revision = 0
        return super()._grant_lease(now, grant)


class GrantsLongerThanItHas(Publisher):
    """A node is granted a lease of nearly full length, however soon the machine's own lease ends."""

    def _grant_lease(self, now: float, grant: SubscriberLeaseGrant) -> float:
        lease_s = super()._grant_lease(now, grant)
        return max(lease_s, 0.9) if lease_s > 0.0 else 0.0


class ConfirmsWhatWasNotSent(Publisher):
    """The answer to a Renew has the machine's revision, even if the node was not sent all changes."""

    def _answer_renewal(self, now: float, subscription: Subscription, renew: Renew) -> None:
        subscription.sent_revision = self.revision
        super()._answer_renewal(now, subscription, renew)


class AcceptsNodesAhead(Publisher):
    """A machine accepts a node whose revision is later than the machine's own."""

    def subscribe(self, now: float, connection_id: int, message: Subscribe) -> None:
        """Subscribe the node with at most this machine's revision."""
        revision = min(message.revision, self.revision)
        capped = Subscribe(
            message.version, message.node, message.instance, message.region, message.cluster, revision
        )
        super().subscribe(now, connection_id, capped)


class ForgetsLostNodes(Publisher):
    """Reports of whether a revision is in force ignore the nodes whose connection was lost."""

    def report(self, now: float, revision: int) -> MachineReport:
        """Returns the report without the lost nodes."""
        return msgspec.structs.replace(super().report(now, revision), lost=())


class ForgetsItsRestart(Publisher):
    """A machine that has just restarted reports as if it knew all its nodes."""

    def report(self, now: float, revision: int) -> MachineReport:
        """Returns the report without the restart."""
        return msgspec.structs.replace(super().report(now, revision), restarted=False)


class QueuesWithoutBound(Publisher):
    """The publisher ignores backpressure of the transport."""

    def pause_writing(self, now: float, connection_id: int) -> None:
        """Continue sending."""


@dataclass(frozen=True, slots=True)
class Mutation:
    """A mistake, the invariant that it must violate, and the faults that detect it within few seeds."""

    invariant: str
    publisher: type[Publisher] = Publisher
    subscriber: type[Subscriber] = Subscriber
    reuses_holder_name: bool = False
    faults: Faults = field(default_factory=Faults)


DUPLICATED_MESSAGES = Faults(duplicate=0.1)
CONNECTION_LOSSES = Faults(reset=4.0, partition=1.0)
LEADER_CHANGES = Faults(partition=2.0, leader_change=0.5)
MACHINE_RESTARTS = Faults(crash_machine=2.0, reset=0.0)

MUTATIONS: dict[str, Mutation] = {
    "applies backwards": Mutation("backwards", subscriber=AppliesBackwards, faults=DUPLICATED_MESSAGES),
    "takes older snapshots": Mutation(
        "backwards", subscriber=TakesOlderSnapshots, faults=DUPLICATED_MESSAGES
    ),
    "acknowledges before applying": Mutation("acknowledged-unapplied", subscriber=AcknowledgesBeforeApplying),
    "lease from the answer": Mutation("lease", subscriber=LeaseFromResponse, faults=CONNECTION_LOSSES),
    "lease without drift": Mutation("lease", subscriber=LeaseWithoutDrift, faults=CONNECTION_LOSSES),
    "applies half a snapshot": Mutation("gap", subscriber=AppliesPartialSnapshot),
    "forgets lost grants": Mutation("lease", publisher=ForgetsLostGrants, faults=CONNECTION_LOSSES),
    "forgets displaced grants": Mutation(
        "lease", publisher=ForgetsDisplacedGrants, faults=Faults(duplicate_node=2.0)
    ),
    "keeps the lease at leave": Mutation("lease", subscriber=KeepsTheLeaseAtLeave, faults=Faults(leave=3.0)),
    "forgets an earlier connection's grant": Mutation(
        "lease", publisher=ForgetsTheGrantOfAnEarlierConnection, faults=CONNECTION_LOSSES
    ),
    "merges marks unsafely": Mutation(
        "lease", publisher=MergesMarksUnsafely, faults=Faults(writes_per_s=40.0, slow=0.5, reset=3.0)
    ),
    "reports its own index": Mutation("lease", publisher=ReportsItsOwnIndex),
    "grants to nodes behind": Mutation("lease", publisher=GrantsToNodesBehind, faults=LEADER_CHANGES),
    "grants longer than it has": Mutation("lease", publisher=GrantsLongerThanItHas, faults=LEADER_CHANGES),
    "confirms what was not sent": Mutation("gap", publisher=ConfirmsWhatWasNotSent, faults=Faults(slow=0.5)),
    "forgets lost nodes": Mutation("in-force", publisher=ForgetsLostNodes, faults=CONNECTION_LOSSES),
    "forgets its restart": Mutation("in-force", publisher=ForgetsItsRestart, faults=MACHINE_RESTARTS),
    "queues without bound": Mutation("bounded", publisher=QueuesWithoutBound, faults=Faults(slow=0.5)),
    "restarts under its holder name": Mutation("lease", reuses_holder_name=True, faults=MACHINE_RESTARTS),
}


# Mistakes of one side that the other side tolerates: no invariant is violated.
TOLERATED: dict[str, Mutation] = {"accepts nodes ahead": Mutation("", publisher=AcceptsNodesAhead)}


def find_violation(mutation: Mutation, seeds: range, duration_s: float = 15.0) -> Violation | None:
    """Returns the violation of the first seed whose run detects the mutation, or None."""
    for seed in seeds:
        model = Model(
            seed,
            faults=mutation.faults,
            publisher_class=mutation.publisher,
            subscriber_class=mutation.subscriber,
            reuses_holder_name=mutation.reuses_holder_name,
        )
        try:
            model.run(duration_s)
            model.check_convergence()
        except InvariantError as violation:
            return Violation(seed, str(violation))
    return None
