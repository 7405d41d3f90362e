"""The members of a cluster. Both types are arrays on disk and on links: the order of fields is the format."""

from __future__ import annotations

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a member: a daemon that lost its disk comes back under another `id`."""

    id: str
    name: str
    address: str
    voter: bool = True


class ClusterConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """Who belongs to the cluster. A learner is sent the log, and is in no quorum."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[str, ...]:
        """The identities of the members that vote."""
        return tuple(m.id for m in self.members if m.voter)

    def get(self, member_id: str) -> Member | None:
        """The member of this identity."""
        return next((m for m in self.members if m.id == member_id), None)

    def find_by_name(self, name: str) -> Member | None:
        """The member of this name."""
        return next((m for m in self.members if m.name == name), None)

    def without_member(self, member_id: str) -> ClusterConfiguration:
        """This configuration without the member of this identity."""
        return ClusterConfiguration(tuple(m for m in self.members if m.id != member_id))

    def with_member(self, member: Member) -> ClusterConfiguration:
        """This configuration with a member that is new, or takes the place of itself."""
        return ClusterConfiguration((*self.without_member(member.id).members, member))
