"""How a new cluster comes about, and why a member that lost its disk never begins one. No I/O.

A member whose folder is new belongs to no cluster. One is begun only when every peer of the operator's file
was met and none belongs to one either; then the member with the smallest name names its members: the first
`voters` members by name as voters, the rest as learners, which are promoted when a voter goes. If any of them
belongs to a cluster, this one requests to be admitted, under its new identity.
"""

from __future__ import annotations

import secrets
from typing import NamedTuple

from gradegap.raft import ClusterConfiguration, Member
from gradegap.store.settings import StoreSettings
from gradegap.store.wire import Hello

CLUSTER_NAME_BYTES = 8


class NewCluster(NamedTuple):
    """A cluster that this member begins: its name, and its first members."""

    name: str
    configuration: ClusterConfiguration


def promotable(configuration: ClusterConfiguration, settings: StoreSettings) -> list[Member]:
    """The learners that may become voters.

    None where there are enough, and none whose region would then hold a majority of as many voters as are
    wanted.
    """
    if len(configuration.voters) >= settings.voters:
        return []
    learners = [member for member in configuration.members if not member.voter]
    return [learner for learner in learners if not _outweighs(learner, configuration, settings)]


def _outweighs(learner: Member, configuration: ClusterConfiguration, settings: StoreSettings) -> bool:
    regions = settings.regions
    region = regions.get(learner.name, "")
    if not region or len({each for each in regions.values() if each}) < 2:
        return False
    voters = sum(member.voter and regions.get(member.name) == region for member in configuration.members)
    return voters + 1 > len(settings.first_voters) // 2


class Bootstrap:
    """What a member without a cluster knows of its peers."""

    def __init__(self, settings: StoreSettings, member: Member) -> None:
        self.member = member
        self.peers = {peer.name: peer.address for peer in settings.peers if peer.name != member.name}
        self.voters = set(settings.first_voters)
        self.seen: dict[str, Hello] = {}  # by name, the latest of a peer

    def alone(self) -> NewCluster | None:
        """A cluster of one, where no peers are listed."""
        return None if self.peers else self._new_cluster(())

    def met(self, hello: Hello) -> None:
        """A link to a peer is authenticated."""
        if hello.name in self.peers:
            self.seen[hello.name] = hello

    def waits_for(self, hello: Hello | None) -> bool:
        """Whether a peer was without a cluster at its last hello, and none can be formed with it now."""
        return hello is not None and not hello.cluster and self.form() is None

    def form(self) -> NewCluster | None:
        """The new cluster, where it is this member that begins it."""
        if not self.peers or self.seen.keys() != self.peers.keys():
            return None
        if any(hello.cluster for hello in self.seen.values()) or self.member.name > min(self.peers):
            return None
        others = [
            Member(hello.id, name, self.peers[name], name in self.voters)
            for name, hello in sorted(self.seen.items())
        ]
        return self._new_cluster(tuple(others))

    def _new_cluster(self, others: tuple[Member, ...]) -> NewCluster:
        name = secrets.token_hex(CLUSTER_NAME_BYTES)
        return NewCluster(name, ClusterConfiguration((self.member, *others)))
