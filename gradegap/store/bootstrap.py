"""How a new cluster comes about, and why a member that lost its disk never begins one. No I/O.

A member whose folder is new belongs to no cluster. One is begun only when every peer of the operator's file
was met and none belongs to one either; then the member with the smallest name says who is in it: the first
`voters` members by name as voters, the rest as learners, which are promoted when a voter goes. If any of
them belongs to a cluster, this one asks to be taken in, under its new identity.
"""

from __future__ import annotations

import secrets

from gradegap.raft import ClusterConfiguration, Member
from gradegap.store.settings import StoreSettings
from gradegap.store.wire import Hello


def promotable(config: ClusterConfiguration, settings: StoreSettings) -> list[Member]:
    """The learners that may become voters: none where there are enough, and none whose region would then
    hold a majority of as many voters as are wanted."""
    if len(config.voters) >= settings.voters:
        return []
    return [m for m in config.members if not m.voter and not _outweighs(m, config, settings)]


def _outweighs(member: Member, config: ClusterConfiguration, settings: StoreSettings) -> bool:
    regions = settings.regions
    region = regions.get(member.name, "")
    if not region or len({r for r in regions.values() if r}) < 2:
        return False
    held = sum(m.voter and regions.get(m.name) == region for m in config.members)
    return held + 1 > len(settings.first_voters) // 2


class Bootstrap:
    """What a member without a cluster knows of its peers."""

    def __init__(self, settings: StoreSettings, me: Member) -> None:
        self.me = me
        self.peers = {p.name: p.address for p in settings.peers if p.name != me.name}
        self.voters = set(settings.first_voters)
        self.seen: dict[str, Hello] = {}

    def alone(self) -> tuple[str, ClusterConfiguration] | None:
        """A cluster of one, where no peers are listed."""
        return None if self.peers else (secrets.token_hex(8), ClusterConfiguration((self.me,)))

    def met(self, hello: Hello) -> None:
        if hello.name in self.peers:
            self.seen[hello.name] = hello

    def waits_for(self, hello: Hello | None) -> bool:
        """Whether a peer was without a cluster when it was last asked, and is not to be told of one here."""
        return hello is not None and not hello.cluster and self.form() is None

    def form(self) -> tuple[str, ClusterConfiguration] | None:
        """The new cluster, where it is this member that begins it."""
        if not self.peers or self.seen.keys() != self.peers.keys():
            return None
        if any(h.cluster for h in self.seen.values()) or self.me.name > min(self.peers):
            return None
        others = [
            Member(h.id, name, self.peers[name], name in self.voters) for name, h in sorted(self.seen.items())
        ]
        return secrets.token_hex(8), ClusterConfiguration((self.me, *others))
