"""Changes of members, one at a time, each in force from its entry on (thesis, 4.1).

With the correction published on raft-dev in 2015: a leader changes members only once it has committed an
entry of its own term, as otherwise two leaders can commit on quorums that don't overlap.
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
    """Adds and removes members, while this member leads."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft

    def is_change_committed(self) -> bool:
        """Whether the latest configuration is committed: no change is under way."""
        return self.raft.log.configuration_index <= self.raft.commit_index

    def was_removed(self) -> bool:
        """Whether the latest committed configuration leaves this member out.

        Guards a member that was just added: its log replays configurations from before it was added, and
        each of them is the latest that it has until it has all that its leader said to be committed.
        """
        raft = self.raft
        caught_up = raft.is_leader or raft.follower.leader_commit <= raft.commit_index
        return raft.configuration.get(raft.member_id) is None and self.is_change_committed() and caught_up

    def check_can_change(self) -> None:
        """Raise where a change would not be safe now."""
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
        """Put a new configuration into the log; the index of the change."""
        self.check_can_change()
        replication = self.raft.replication
        index = replication.append(EntryKind.CONFIGURATION, encode_configuration(configuration))
        replication.track_members(now)
        replication.flush(now)
        return index

    def add(self, now: float, member: Member) -> int:
        """Add a learner, or make a learner that has caught up a voter; the index of the change."""
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
        """Remove a member, this one too; the index of the change."""
        self.check_can_change()
        configuration = self.raft.configuration
        if configuration.get(member_id) is None:
            raise UnknownMemberError
        if configuration.voters == (member_id,):
            raise LastVoterError
        return self.change(now, configuration.without_member(member_id))
