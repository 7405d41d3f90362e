"""How a member comes to a cluster, follows its changes and leaves it, and its links to the others."""

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

JOIN_PERIOD_S = 0.5  # between two requests to be admitted to a cluster
PROMOTION_PERIOD_S = 0.2  # between two looks whether a learner has caught up
REMOVED = "removed"  # the reason of a `LinkRejected` to a former member


class MembershipHost(Protocol):
    """The member whose membership this is."""

    settings: StoreSettings
    metrics: Metrics
    identity: Identity
    raft: Raft | None

    @property
    def removed(self) -> bool:
        """Whether the member takes no part any more: it was removed, or its folder failed."""

    def start_raft(self, base: SnapshotMetadata) -> None:
        """Take part in the cluster, whose log begins after `base`."""

    def fail(self, error: FolderError) -> None:
        """The folder can't be written: take no part any more."""

    def mark_removed(self) -> None:
        """The cluster has removed this member: take no part any more."""


class Membership:
    """One member's place in its cluster."""

    def __init__(
        self, host: MembershipHost, storage: MemberStorage, links: MemberLinks, member: Member
    ) -> None:
        self.host, self.storage, self.links = host, storage, links
        self.bootstrap = Bootstrap(host.settings, member)
        self.member = member
        self._joined_at = 0.0  # the steady time of the last request to be admitted
        self._promoted_at = 0.0

    # To a cluster

    def form_single_member_cluster(self) -> None:
        """Begin a cluster of one, where no peers are listed."""
        formed = self.bootstrap.alone()
        if formed is not None:
            self.form(*formed)

    def form(self, cluster: str, configuration: ClusterConfiguration) -> None:
        """Belong to a cluster from now on. Written before anybody learns of it."""
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
        log.info("cluster joined", cluster=cluster, members=[m.name for m in configuration.members])
        host.start_raft(base)
        for member in configuration.members:
            if member.id != identity.id:
                formed = wire.ClusterFormed(cluster, configuration)
                self.links.send(member.id, member.address, formed)

    def cluster_formed(self, formed: wire.ClusterFormed) -> None:
        """Another member has named the cluster that this one belongs to."""
        if formed.configuration.get(self.host.identity.id) is not None:
            self.form(formed.cluster, formed.configuration)
            self.update_links()

    def link_authenticated(self, link: Link, peer: wire.Hello) -> None:
        """A link to the member `peer` is authenticated."""
        host = self.host
        if not host.identity.cluster:
            self.bootstrap.met(peer)
            formed = self.bootstrap.form()
            if formed is not None:
                self.form(*formed)
        elif not peer.cluster and host.raft is not None and host.raft.configuration.get(peer.id):
            link.send(wire.ClusterFormed(host.identity.cluster, host.raft.configuration))

    def request_admission(self, now: float) -> None:
        """Request the members of a cluster to admit this one; `now` is the steady time."""
        if now - self._joined_at <= JOIN_PERIOD_S:
            return
        self._joined_at = now
        for dialer in self.links.dialers.values():
            self._request_admission(dialer)

    def _request_admission(self, dialer: Dialer) -> None:
        link = dialer.link
        peer = link.channel.peer_hello if link is not None else None
        if link is None:
            return
        if peer is not None and peer.cluster:
            link.send(wire.Join(self.member))
        elif link.transport is not None and self.bootstrap.waits_for(peer):
            link.transport.close()  # its next hello may name a cluster that was formed since

    # Changes

    def promote_learners(self, now: float, raft: Raft) -> None:
        """Make a learner that has caught up a voter, while there are fewer voters than wanted."""
        if now < self._promoted_at + PROMOTION_PERIOD_S:
            return
        self._promoted_at = now
        for member in promotable(raft.configuration, self.host.settings):
            try:
                raft.add_member(now, Member(member.id, member.name, member.address))
            except RequestRejectedError:
                continue  # it has not caught up yet; tried again soon
            self.host.metrics.count("store_promoted")
            log.info("learner promoted", member=member.name)
            return

    def configuration_applied(self, raft: Raft) -> None:
        """The cluster's members have changed."""
        members = raft.configuration.members
        log.info("members", names=[f"{m.name}{'' if m.voter else ' (learner)'}" for m in members])
        if raft.is_leader:
            self._tell_removed(raft)
        self.update_links()

    def _tell_removed(self, raft: Raft) -> None:
        addresses = {member.address for member in raft.configuration.members}
        for link in self.links.all:
            peer = link.channel.peer_hello
            if link.dialer is None or peer is None or not link.channel.authenticated:
                continue
            is_member = raft.configuration.get(peer.id) is not None
            if not is_member and peer.cluster and link.dialer.address not in addresses:
                link.send(wire.LinkRejected(REMOVED))

    def link_rejected(self, reason: str) -> None:
        """The leader has rejected a link of this member."""
        if reason == REMOVED and self.host.raft is not None and not self.host.removed:
            self.host.mark_removed()

    # Links to the others

    def update_links(self) -> None:
        """Keep links to the members, or before there is a cluster to the peers of the operator's file."""
        settings, raft = self.host.settings, self.host.raft
        addresses = {peer.address for peer in settings.peers if peer.name != settings.name}
        if raft is not None:
            # A committed configuration takes precedence over the file of the first start.
            members = raft.configuration.members
            known = {member.name for member in members}
            listed = {peer.address for peer in settings.peers if peer.name in known}
            addresses = {member.address for member in members} or listed
        self.links.set_addresses(addresses - {settings.listen, settings.advertise})

    def send_raft_message(self, recipient: str, message: Message) -> None:
        """Send a message of the consensus core to the member of this id."""
        raft = self.host.raft
        member = raft.configuration.get(recipient) if raft is not None else None
        if member is not None:
            self.links.send(recipient, member.address, wire.RaftMessage(message))
            return
        # Somebody who is not a member, or not yet: answered on whichever link there is to it.
        for dialer in self.links.dialers.values():
            if dialer.link is not None and dialer.link.id == recipient:
                dialer.link.send(wire.RaftMessage(message))

    def send_to_leader(self, message: wire.LinkMessage) -> bool:
        """Whether the message was sent to the leader."""
        raft = self.host.raft
        leader = raft.configuration.get(raft.leader_id) if raft is not None and raft.leader_id else None
        return leader is not None and self.links.send(leader.id, leader.address, message)

    def send_to_member(self, member: Member, request: wire.Request) -> bool:
        """Whether the request was sent; no where the member is away, or of a release that can't read it."""
        dialer = self.links.dialers.get(member.address)
        peer = dialer.link.channel.peer_hello if dialer is not None and dialer.link is not None else None
        if peer is None or wire.IN_FORCE_TAG not in peer.readable_requests:
            return False
        return self.links.send(member.id, member.address, request)
