"""Known mistakes in observer subscriptions, one class each, to see that the model finds them."""

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
    """A delta that comes again takes the node back to its revision."""

    def _receive_delta(self, now: float, delta: Delta) -> None:
        if delta.revision <= self.revision and not self.snapshot_parts:
            self._emit_apply(now, delta.revision, delta.changes, is_snapshot=False)
        else:
            super()._receive_delta(now, delta)


class TakesOlderSnapshots(Subscriber):
    """A snapshot older than the delta before it is applied."""

    def _receive_snapshot_part(self, now: float, part: SnapshotPart) -> None:
        kept = self.revision
        self.revision = min(kept, part.revision)
        super()._receive_snapshot_part(now, part)
        if self.snapshot_parts:
            self.revision = kept


class AcknowledgesBeforeApplying(Subscriber):
    """The Renew goes out before what it acknowledges is applied."""

    def _emit_apply(self, now: float, revision: int, changes: tuple[Change, ...], is_snapshot: bool) -> None:
        self.renewal_serial += 1
        self.unanswered_renewals[self.renewal_serial] = now
        self.outputs.append(Send(Renew(self.renewal_serial, revision)))
        super()._emit_apply(now, revision, changes, is_snapshot)


class LeaseFromResponse(Subscriber):
    """The lease is counted from when the response came, not from when the request was sent."""

    def _receive_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        if heartbeat.serial in self.unanswered_renewals:
            self.unanswered_renewals[heartbeat.serial] = now
        super()._receive_heartbeat(now, heartbeat)


class LeaseWithoutDrift(Subscriber):
    """The lease is as long as granted, whatever the clocks do."""

    def _receive_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        longer = heartbeat.lease_s / (1.0 - self.limits.max_clock_drift)
        super()._receive_heartbeat(now, Heartbeat(heartbeat.serial, heartbeat.revision, longer))


class AppliesPartialSnapshot(Subscriber):
    """Each part of a snapshot takes effect when it comes."""

    def _receive_snapshot_part(self, now: float, part: SnapshotPart) -> None:
        if not part.last:
            self.outputs.append(Apply(part.revision, part.items, is_snapshot=part.part == 0))
        super()._receive_snapshot_part(now, part)


class KeepsTheLeaseAtLeave(Subscriber):
    """The node tells the machine that it no longer decides, and goes on deciding."""

    def leave(self, now: float) -> None:
        """Leave with the lease still counted."""
        until = self.lease_until
        super().leave(now)
        self.lease_until = until


# Mistakes of a publisher


class ForgetsLostGrants(Publisher):
    """A node whose connection is lost is taken to decide no more."""

    def disconnected(self, now: float, connection_id: int) -> None:
        """Forget the lease along with the connection."""
        subscription = self.subscriptions.get(connection_id)
        if subscription is not None:
            self.lease_grants.release(subscription.lease_grant)
        super().disconnected(now, connection_id)


class ForgetsDisplacedGrants(Publisher):
    """The lease of a node's earlier incarnation ends with the subscription of the next."""

    def _displace_earlier_connection(self, now: float, message: Subscribe) -> None:
        old = self.by_node.get(message.node)
        if old is not None:
            self.lease_grants.release(old.lease_grant)
        super()._displace_earlier_connection(now, message)


class ForgetsTheGrantOfAnEarlierConnection(Publisher):
    """A node that comes back begins with no lease, and that of its last connection is dropped."""

    def _resume_lease_grant(self, message: Subscribe) -> SubscriberLeaseGrant:
        granted = self.disconnected_nodes.resume(message.node, message.instance)
        if granted is not None:
            self.lease_grants.release(granted)
        return SubscriberLeaseGrant(message.revision)


class MergesMarksUnsafely(Publisher):
    """When the book of grants is full, changes that are merged take the index of the newest."""

    def _follow_source(self, now: float) -> None:
        marks, index = self.lease_grants.pending_changes, self.lease_grants.index
        newest = marks[-1].revision if len(marks) == self.limits.max_pending_changes else 0
        super()._follow_source(now)
        if newest and marks and marks[-1].revision > newest:
            marks[-1].index_before = index


class ReportsItsOwnIndex(Publisher):
    """The machine tells the leader what it has applied itself."""

    def safe_index(self, now: float) -> int:
        """What this machine has."""
        return self.source.index


class GrantsToNodesBehind(Publisher):
    """A node is granted a lease whatever it lacks."""

    def _grant_lease(self, now: float, grant: SubscriberLeaseGrant) -> float:
        self.lease_grants.required_revision = 0
        return super()._grant_lease(now, grant)


class GrantsLongerThanItHas(Publisher):
    """A lease of full length, however soon the machine's own ends."""

    def _grant_lease(self, now: float, grant: SubscriberLeaseGrant) -> float:
        lease_s = super()._grant_lease(now, grant)
        return max(lease_s, 0.9) if lease_s > 0.0 else 0.0


class ConfirmsWhatWasNotSent(Publisher):
    """The answer to a Renew carries the machine's revision, also to a reader that was not sent all."""

    def _answer_renewal(self, now: float, subscription: Subscription, renew: Renew) -> None:
        subscription.sent_revision = self.revision
        super()._answer_renewal(now, subscription, renew)


class AcceptsNodesAhead(Publisher):
    """A machine behind the node's revision accepts it, and serves what it has."""

    def subscribe(self, now: float, connection_id: int, message: Subscribe) -> None:
        """Take the node for one at this machine's own revision."""
        revision = min(message.revision, self.revision)
        capped = Subscribe(
            message.version, message.node, message.instance, message.region, message.cluster, revision
        )
        super().subscribe(now, connection_id, capped)


class ForgetsLostNodes(Publisher):
    """A node whose connection is lost is left out of what is said to be in force."""

    def report(self, now: float, revision: int) -> MachineReport:
        """Say nothing of nodes that were lost."""
        return msgspec.structs.replace(super().report(now, revision), lost=())


class ForgetsItsRestart(Publisher):
    """A machine that has just started speaks as if it knew all its nodes."""

    def report(self, now: float, revision: int) -> MachineReport:
        """Say nothing of the restart."""
        return msgspec.structs.replace(super().report(now, revision), restarted=False)


class QueuesWithoutBound(Publisher):
    """Whether the transport has room is not looked at."""

    def pause_writing(self, now: float, connection_id: int) -> None:
        """Go on sending."""


@dataclass(frozen=True, slots=True)
class Mutation:
    """A mistake, the rule that it must be seen to break, and the faults that show it within few seeds."""

    rule: str
    publisher: type[Publisher] = Publisher
    subscriber: type[Subscriber] = Subscriber
    same_holder_name: bool = False
    faults: Faults = field(default_factory=Faults)


REPEATS = Faults(duplicate=0.1)
LOSSES = Faults(reset=4.0, partition=1.0)
CHANGES = Faults(partition=2.0, leader_change=0.5)
RESTARTS = Faults(crash_machine=2.0, reset=0.0)

MUTATIONS: dict[str, Mutation] = {
    "applies backwards": Mutation("backwards", subscriber=AppliesBackwards, faults=REPEATS),
    "takes older snapshots": Mutation("backwards", subscriber=TakesOlderSnapshots, faults=REPEATS),
    "acknowledges before applying": Mutation("acknowledged-unapplied", subscriber=AcknowledgesBeforeApplying),
    "lease from the answer": Mutation("lease", subscriber=LeaseFromResponse, faults=LOSSES),
    "lease without drift": Mutation("lease", subscriber=LeaseWithoutDrift, faults=LOSSES),
    "applies half a snapshot": Mutation("gap", subscriber=AppliesPartialSnapshot),
    "forgets lost grants": Mutation("lease", publisher=ForgetsLostGrants, faults=LOSSES),
    "forgets displaced grants": Mutation("lease", publisher=ForgetsDisplacedGrants, faults=Faults(twin=2.0)),
    "keeps the lease at leave": Mutation("lease", subscriber=KeepsTheLeaseAtLeave, faults=Faults(leave=3.0)),
    "forgets an earlier connection's grant": Mutation(
        "lease", publisher=ForgetsTheGrantOfAnEarlierConnection, faults=LOSSES
    ),
    "merges marks unsafely": Mutation(
        "lease", publisher=MergesMarksUnsafely, faults=Faults(writes_per_s=40.0, slow=0.5, reset=3.0)
    ),
    "reports its own index": Mutation("lease", publisher=ReportsItsOwnIndex),
    "grants to nodes behind": Mutation("lease", publisher=GrantsToNodesBehind, faults=CHANGES),
    "grants longer than it has": Mutation("lease", publisher=GrantsLongerThanItHas, faults=CHANGES),
    "confirms what was not sent": Mutation("gap", publisher=ConfirmsWhatWasNotSent, faults=Faults(slow=0.5)),
    "forgets lost nodes": Mutation("in-force", publisher=ForgetsLostNodes, faults=LOSSES),
    "forgets its restart": Mutation("in-force", publisher=ForgetsItsRestart, faults=RESTARTS),
    "queues without bound": Mutation("bounded", publisher=QueuesWithoutBound, faults=Faults(slow=0.5)),
    "restarts under its holder name": Mutation("lease", same_holder_name=True, faults=RESTARTS),
}


# A mistake of one side that the other bears: no rule is broken.
TOLERATED: dict[str, Mutation] = {"accepts nodes ahead": Mutation("", publisher=AcceptsNodesAhead)}


def find(mutation: Mutation, seeds: range, seconds: float = 15.0) -> Violation | None:
    """The first seed whose run shows the mutation, and the invariant that it breaks."""
    for seed in seeds:
        model = Model(
            seed,
            faults=mutation.faults,
            publisher_class=mutation.publisher,
            subscriber_class=mutation.subscriber,
            same_holder_name=mutation.same_holder_name,
        )
        try:
            model.run(seconds)
            model.calm()
        except InvariantError as violation:
            return Violation(seed, str(violation))
    return None
