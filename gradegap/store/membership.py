"""Membership of a cluster: forming, joining, following its changes, removal, and links to other members."""

from __future__ import annotations

from typing import Protocol

import structlog

from gradegap.metrics import Metrics
from gradegap.raft import ClusterConfiguration, Member, Message, Raft, RequestRejectedError, SnapshotMetadata
from gradegap.store import wire
from gradegap.store.bootstrap import Bootstrap, promotable
from gradegap.store.errors import FolderError
from gradegap.store.links import Dialer, Link, MemberLinks
from gradegap.store.settings import StoreSettings
from gradegap.store.storage import Identity, MemberStorage, WriteBatch

log = structlog.get_logger()

JOIN_PERIOD_S = 0.5  # interval between two requests to be admitted to a cluster
PROMOTION_PERIOD_S = 0.2  # interval between two checks whether a learner can be promoted
REMOVED = "removed"  # reason in the `LinkRejected` that the leader sends to a former member


class MembershipHost(Protocol):
    """The interface of the member whose membership is managed."""

    settings: StoreSettings
    metrics: Metrics
    identity: Identity
    raft: Raft | None

    @property
    def removed(self) -> bool:
        """Whether the member has left the cluster for good: it was removed, or its folder failed."""

    def start_raft(self, base: SnapshotMetadata) -> None:
        """Starts the consensus core as a member of the cluster; its log begins after `base`."""

    def fail(self, error: FolderError) -> None:
        """Ends the participation of this member, because its folder can't be written."""

    def mark_removed(self) -> None:
        """Ends the participation of this member, because the cluster has removed it."""


class Membership:
    """Manages the membership of one member in its cluster."""

    def __init__(
        self, host: MembershipHost, storage: MemberStorage, links: MemberLinks, member: Member
    ) -> None:
        self.host, self.storage, self.links = host, storage, links
        self.bootstrap = Bootstrap(host.settings, member)
        self.member = member
        self._admission_requested_at = 0.0  # steady time of the last request to be admitted
        self._promotion_checked_at = 0.0  # steady time of the last check for learners to promote

    # Forming and joining

    def form_single_member_cluster(self) -> None:
        """Forms a cluster of this member alone, if the settings list no peers."""
        formed = self.bootstrap.form_single_member()
        if formed is not None:
            self.form_cluster(*formed)

    def form_cluster(self, cluster: str, configuration: ClusterConfiguration) -> None:
        """Makes this member part of a cluster; this is stored before other members are notified."""
        host = self.host
        if host.identity.cluster:
            return
        identity = Identity(host.identity.id, cluster)
        base = SnapshotMetadata(0, 0, configuration)
        try:
            self.storage.write(WriteBatch(identity=identity, base=base))
        except FolderError as error:
            host.fail(error)
            return
        host.identity = identity
        self.links.set_cluster(cluster)
        host.metrics.count("store_formed")
        log.info("cluster joined", cluster=cluster, members=[each.name for each in configuration.members])
        host.start_raft(base)
        for member in configuration.members:
            if member.id != identity.id:
                formed = wire.ClusterFormed(cluster, configuration)
                self.links.send(member.id, member.address, formed)

    def cluster_formed(self, formed: wire.ClusterFormed) -> None:
        """Handles the message of another member that names the cluster to which this member belongs."""
        if formed.configuration.get(self.host.identity.id) is not None:
            self.form_cluster(formed.cluster, formed.configuration)
            self.update_links()

    def link_authenticated(self, link: Link, peer: wire.Hello) -> None:
        """Handles a newly authenticated link to the member `peer`."""
        host = self.host
        if not host.identity.cluster:
            self.bootstrap.peer_authenticated(peer)
            formed = self.bootstrap.form_cluster()
            if formed is not None:
                self.form_cluster(*formed)
        elif not peer.cluster and host.raft is not None and host.raft.configuration.get(peer.id):
            link.send(wire.ClusterFormed(host.identity.cluster, host.raft.configuration))

    def request_admission(self, now: float) -> None:
        """Asks the members of a cluster to admit this member; `now` is the steady time in seconds."""
        if now - self._admission_requested_at <= JOIN_PERIOD_S:
            return
        self._admission_requested_at = now
        for dialer in self.links.dialers.values():
            self._request_admission(dialer)

    def _request_admission(self, dialer: Dialer) -> None:
        link = dialer.link
        peer = link.channel.peer_hello if link is not None else None
        if link is None:
            return
        if peer is not None and peer.cluster:
            link.send(wire.Join(self.member))
        elif link.transport is not None and self.bootstrap.may_join_later(peer):
            link.transport.close()  # the hello on the next link may name a cluster that was formed meanwhile

    # Changes of the configuration

    def promote_learners(self, now: float, raft: Raft) -> None:
        """Promotes a learner that has caught up, while the cluster has fewer voters than configured.

        `now` is the steady time in seconds; one learner is promoted at a time.
        """
        if now < self._promotion_checked_at + PROMOTION_PERIOD_S:
            return
        self._promotion_checked_at = now
        for member in promotable(raft.configuration, self.host.settings):
            try:
                raft.add_member(now, Member(member.id, member.name, member.address))
            except RequestRejectedError:
                # the learner has not caught up yet; its promotion is attempted again at the next check
                continue
            self.host.metrics.count("store_promoted")
            log.info("learner promoted", member=member.name)
            return

    def configuration_applied(self, raft: Raft) -> None:
        """Handles a committed change of the cluster's members."""
        members = raft.configuration.members
        log.info(
            "cluster configuration changed",
            names=[f"{member.name}{'' if member.voter else ' (learner)'}" for member in members],
        )
        if raft.is_leader:
            self._notify_removed_members(raft)
        self.update_links()

    def _notify_removed_members(self, raft: Raft) -> None:
        addresses = {member.address for member in raft.configuration.members}
        for link in self.links.all:
            peer = link.channel.peer_hello
            if link.dialer is None or peer is None or not link.channel.authenticated:
                continue
            is_member = raft.configuration.get(peer.id) is not None
            if not is_member and peer.cluster and link.dialer.address not in addresses:
                link.send(wire.LinkRejected(REMOVED))

    def link_rejected(self, reason: str) -> None:
        """Handles a `LinkRejected` message: the reason "removed" ends the participation of this member."""
        if reason == REMOVED and self.host.raft is not None and not self.host.removed:
            self.host.mark_removed()

    # Links to other members

    def update_links(self) -> None:
        """Keeps links to the members, or to the peers in the operator's file before there is a cluster."""
        settings, raft = self.host.settings, self.host.raft
        addresses = {peer.address for peer in settings.peers if peer.name != settings.name}
        if raft is not None:
            # A committed configuration takes precedence over the operator's file of the first start.
            members = raft.configuration.members
            known = {member.name for member in members}
            listed = {peer.address for peer in settings.peers if peer.name in known}
            addresses = {member.address for member in members} or listed
        self.links.set_addresses(addresses - {settings.listen, settings.advertise})

    def send_raft_message(self, recipient: str, message: Message) -> None:
        """Sends a message of the consensus core to the member with the id `recipient`."""
        raft = self.host.raft
        member = raft.configuration.get(recipient) if raft is not None else None
        if member is not None:
            self.links.send(recipient, member.address, wire.RaftMessage(message))
            return
        # The recipient is not, or not yet, in this member's configuration: uses any dialed link to it.
        for dialer in self.links.dialers.values():
            if dialer.link is not None and dialer.link.id == recipient:
                dialer.link.send(wire.RaftMessage(message))

    def send_to_leader(self, message: wire.LinkMessage) -> bool:
        """Sends a message to the leader, and returns whether it was sent."""
        raft = self.host.raft
        leader = raft.configuration.get(raft.leader_id) if raft is not None and raft.leader_id else None
        return leader is not None and self.links.send(leader.id, leader.address, message)

    def send_to_member(self, member: Member, request: wire.Request) -> bool:
        """Sends a request to a member, and returns whether it was sent.

        False means that there is no link to the member, or that its release can't read the request.
        """
        dialer = self.links.dialers.get(member.address)
        peer = dialer.link.channel.peer_hello if dialer is not None and dialer.link is not None else None
        if peer is None or wire.IN_FORCE_TAG not in peer.readable_requests:
            return False
        return self.links.send(member.id, member.address, request)
