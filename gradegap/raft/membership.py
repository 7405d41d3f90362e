"""Single-server membership changes, each in force as soon as its entry is in the log (thesis, 4.1).

Includes the correction published on raft-dev in 2015: a leader accepts a change only after it has committed
an entry of its own term. Otherwise two leaders could commit with quorums that don't overlap.
"""

from __future__ import annotations

from gradegap.raft.cluster import ClusterConfiguration, Member
from gradegap.raft.context import RaftContext
from gradegap.raft.entries import EntryKind, encode_configuration
from gradegap.raft.errors import (
    ChangePendingError,
    LastVoterError,
    LeaderNotReadyError,
    LearnerBehindError,
    MemberRoleError,
    NotLeaderError,
    TransferInProgressError,
    UnknownMemberError,
)
from gradegap.raft.progress import ProgressState


class Membership:
    """Adds and removes members while this member leads."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft

    def is_change_committed(self) -> bool:
        """Whether the latest configuration is committed, so that no change is pending."""
        return self.raft.log.configuration_index <= self.raft.commit_index

    def was_removed(self) -> bool:
        """Whether the latest committed configuration excludes this member.

        A member that was just added first receives configurations from before it was added. Each of them is
        the latest that it knows, so they are ignored until the member has all entries that its leader
        reported as committed.
        """
        raft = self.raft
        caught_up = raft.is_leader or raft.follower.leader_commit <= raft.commit_index
        return raft.configuration.get(raft.member_id) is None and self.is_change_committed() and caught_up

    def check_can_change(self) -> None:
        """Check that a membership change is safe.

        Raises:
            NotLeaderError, TransferInProgressError, LeaderNotReadyError, ChangePendingError: It isn't safe.
        """
        raft = self.raft
        if not raft.is_leader:
            raise NotLeaderError
        if raft.leadership_transfer.target:
            raise TransferInProgressError
        if not raft.commits_own_term():
            raise LeaderNotReadyError
        if not self.is_change_committed():
            raise ChangePendingError

    def change(self, now: float, configuration: ClusterConfiguration) -> int:
        """Append a new configuration and return the index of its entry."""
        self.check_can_change()
        replication = self.raft.replication
        index = replication.append(EntryKind.CONFIGURATION, encode_configuration(configuration))
        replication.track_members(now)
        replication.flush(now)
        return index

    def add(self, now: float, member: Member) -> int:
        """Add a learner, or promote a caught-up learner to voter. Returns the index of the entry."""
        self.check_can_change()
        configuration = self.raft.configuration
        known = configuration.get(member.id)
        if known is not None and known.voter:
            raise MemberRoleError("is a voter")
        if member.voter and (known is None or not self._caught_up(member.id)):
            raise LearnerBehindError
        if not member.voter and known is not None:
            raise MemberRoleError("is a learner")
        return self.change(now, configuration.with_member(member))

    def _caught_up(self, member_id: str) -> bool:
        progress = self.raft.replication.peers.get(member_id)
        return (
            progress is not None
            and progress.match_index >= self.raft.commit_index
            and progress.state is ProgressState.REPLICATE
        )

    def remove(self, now: float, member_id: str) -> int:
        """Remove a member, which may be this one. Returns the index of the entry."""
        self.check_can_change()
        configuration = self.raft.configuration
        if configuration.get(member_id) is None:
            raise UnknownMemberError
        if configuration.voters == (member_id,):
            raise LastVoterError
        return self.change(now, configuration.without_member(member_id))
