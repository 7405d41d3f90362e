"""Forms a new cluster, and ensures that a member that lost its disk never forms a second one. No I/O.

A member with a new folder doesn't belong to a cluster. A cluster is formed only after links to all peers in
the operator's file were authenticated and none of the peers belongs to a cluster. The member with the
smallest name then decides on the members: the first `voters` members by name become voters, the others
learners, which are promoted when a voter is removed. If any peer belongs to a cluster, this member asks to be
admitted to that cluster under its new identity.
"""

from __future__ import annotations

import secrets
from typing import NamedTuple

from gradegap.raft import ClusterConfiguration, Member
from gradegap.store.settings import StoreSettings
from gradegap.store.wire import Hello

CLUSTER_NAME_BYTES = 8


class NewCluster(NamedTuple):
    """A cluster that this member forms: its name and its first members."""

    name: str
    configuration: ClusterConfiguration


def promotable(configuration: ClusterConfiguration, settings: StoreSettings) -> list[Member]:
    """The learners that may be promoted to voters.

    The list is empty if there are enough voters. It omits learners whose promotion would give their region a
    majority of the configured number of voters.
    """
    if len(configuration.voters) >= settings.voters:
        return []
    learners = [member for member in configuration.members if not member.voter]
    return [
        learner for learner in learners if not _would_give_region_majority(learner, configuration, settings)
    ]


def _would_give_region_majority(
    learner: Member, configuration: ClusterConfiguration, settings: StoreSettings
) -> bool:
    regions = settings.regions
    region = regions.get(learner.name, "")
    if not region or len({each for each in regions.values() if each}) < 2:
        return False
    voters = sum(member.voter and regions.get(member.name) == region for member in configuration.members)
    return voters + 1 > len(settings.first_voters) // 2


class Bootstrap:
    """The state of a member without a cluster: the hellos of the peers to which it has had links."""

    def __init__(self, settings: StoreSettings, member: Member) -> None:
        self.member = member
        self.peers = {peer.name: peer.address for peer in settings.peers if peer.name != member.name}
        self.voters = set(settings.first_voters)
        self.hellos: dict[str, Hello] = {}  # the latest hello of each peer, by name

    def form_single_member(self) -> NewCluster | None:
        """A new cluster of this member alone; None if the settings list peers."""
        return None if self.peers else self._new_cluster(())

    def peer_authenticated(self, hello: Hello) -> None:
        """Records the hello of a peer whose link is authenticated."""
        if hello.name in self.peers:
            self.hellos[hello.name] = hello

    def may_join_later(self, hello: Hello | None) -> bool:
        """Whether the peer's hello names no cluster, and this member can't form one now."""
        return hello is not None and not hello.cluster and self.form_cluster() is None

    def form_cluster(self) -> NewCluster | None:
        """The new cluster, if this member forms it; None if hellos are missing or another member forms it."""
        if not self.peers or self.hellos.keys() != self.peers.keys():
            return None
        if any(hello.cluster for hello in self.hellos.values()) or self.member.name > min(self.peers):
            return None
        others = [
            Member(hello.id, name, self.peers[name], name in self.voters)
            for name, hello in sorted(self.hellos.items())
        ]
        return self._new_cluster(tuple(others))

    def _new_cluster(self, others: tuple[Member, ...]) -> NewCluster:
        name = secrets.token_hex(CLUSTER_NAME_BYTES)
        return NewCluster(name, ClusterConfiguration((self.member, *others)))
