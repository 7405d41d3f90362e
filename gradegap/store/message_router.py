"""Dispatches messages received on a member's links to the parts of the member."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from gradegap.metrics import Metrics
from gradegap.raft import Raft
from gradegap.store import wire
from gradegap.store.links import Link
from gradegap.store.member_leases import MemberLeases
from gradegap.store.membership import REMOVED, Membership
from gradegap.store.service import RequestService
from gradegap.store.storage import Identity


class RouterHost(Protocol):
    """The member, as the router uses it."""

    metrics: Metrics
    identity: Identity
    raft: Raft | None
    requests: RequestService
    membership: Membership
    leases: MemberLeases
    gossip_received: Callable[[wire.Gossip], None]

    @property
    def removed(self) -> bool:
        """Whether the member has left the cluster."""

    def settle(self) -> None:
        """Process the pending output of the consensus core."""


class MessageRouter:
    """Dispatches messages by sender: members may send any message, clients only requests."""

    def __init__(self, host: RouterHost) -> None:
        self.host = host

    def receive(self, link: Link, message: wire.LinkMessage) -> None:
        """Dispatch a message from an authenticated link; one not allowed on this link is only counted."""
        raft = self.host.raft
        match message:
            case wire.Request():
                self.host.requests.receive_request(link, message)
            case wire.Response():
                self.host.requests.receive_response(link, message)
            case wire.RaftMessage() if link.id and raft is not None and not self.host.removed:
                raft.step(time.monotonic(), link.id, message.message)
                self.host.settle()
            case wire.Join() if link.id == message.member.id and raft is not None:
                self.host.requests.admit(link, message.member)
            case _ if link.id:
                self._receive_from_member(link, message)
            case _:
                self.host.metrics.count("store_words_unfit")

    def _receive_from_member(self, link: Link, message: wire.LinkMessage) -> None:
        match message:
            case wire.ClusterFormed() if not self.host.identity.cluster:
                self.host.membership.cluster_formed(message)
            case wire.LeaseRequest():
                link.send(self.host.leases.grant(message))
            case wire.LeaseGrant():
                self.host.leases.granted(message)
            case wire.LeaseApplied():
                self.host.leases.holder_applied(message.holder, message.applied)
            case wire.Gossip():
                self.host.gossip_received(message)
            case wire.LinkRejected(reason) if reason == REMOVED:
                self.host.membership.link_rejected(reason)
            case _:
                self.host.metrics.count("store_words_unfit")
