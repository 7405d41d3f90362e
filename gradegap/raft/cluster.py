"""Cluster members and configurations.

Both types are encoded as arrays on disk and on links, so the order of their fields is part of the format.
"""

from __future__ import annotations

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a member. One that lost its disk rejoins with the same `name` and a new `id`."""

    id: str
    name: str
    address: str
    voter: bool = True


class ClusterConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """The members of the cluster. Learners (`voter` false) replicate the log but don't count in quorums."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[str, ...]:
        """The ids of the voting members."""
        return tuple(member.id for member in self.members if member.voter)

    def get(self, member_id: str) -> Member | None:
        """Returns the member with this id, or None."""
        return next((member for member in self.members if member.id == member_id), None)

    def find_by_name(self, name: str) -> Member | None:
        """Returns the member with this name, or None."""
        return next((member for member in self.members if member.name == name), None)

    def without_member(self, member_id: str) -> ClusterConfiguration:
        """Returns a copy without the member with this id."""
        return ClusterConfiguration(tuple(member for member in self.members if member.id != member_id))

    def with_member(self, member: Member) -> ClusterConfiguration:
        """Returns a copy with `member` added, or with the member of the same id replaced."""
        return ClusterConfiguration((*self.without_member(member.id).members, member))
