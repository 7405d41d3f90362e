"""Raft consensus without I/O, with pre-vote, check-quorum, ReadIndex, learners and leases.

The package holds a member's consensus state: the log, term, vote and role, the commit index, and the leader's
view of the other members. It persists and sends nothing itself: `Raft` takes the time and messages, and
returns a `Ready` with the state to write, the messages to send and the entries to apply. `gradegap.store`
drives it with a real disk and network links, `gradegap.verification` with simulated ones.
"""

from gradegap.raft.cluster import ClusterConfiguration, Member
from gradegap.raft.core import Raft
from gradegap.raft.entries import Entry, EntryKind, HardState, SnapshotMetadata, initial_snapshot
from gradegap.raft.errors import (
    ChangePendingError,
    InvariantViolationError,
    LastVoterError,
    LeaderNotReadyError,
    LearnerBehindError,
    LogGapError,
    MemberRoleError,
    NotLeaderError,
    RaftError,
    RequestRejectedError,
    SnapshotTooOldError,
    TooMuchUncommittedError,
    TransferInProgressError,
    UnknownMemberError,
)
from gradegap.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from gradegap.raft.progress import NEVER, Progress
from gradegap.raft.ready import OutgoingMessage, RaftStatus, ReadState, Ready, Snapshot
from gradegap.raft.role import Role
from gradegap.raft.settings import RaftSettings

__all__ = [
    "NEVER",
    "AppendEntries",
    "AppendEntriesResponse",
    "ChangePendingError",
    "ClusterConfiguration",
    "Entry",
    "EntryKind",
    "HardState",
    "InstallSnapshot",
    "InstallSnapshotResponse",
    "InvariantViolationError",
    "LastVoterError",
    "LeaderNotReadyError",
    "LearnerBehindError",
    "LogGapError",
    "Member",
    "MemberRoleError",
    "Message",
    "NotLeaderError",
    "OutgoingMessage",
    "Progress",
    "Raft",
    "RaftError",
    "RaftSettings",
    "RaftStatus",
    "ReadState",
    "Ready",
    "RequestRejectedError",
    "RequestVote",
    "RequestVoteResponse",
    "Role",
    "Snapshot",
    "SnapshotMetadata",
    "SnapshotTooOldError",
    "TimeoutNow",
    "TooMuchUncommittedError",
    "TransferInProgressError",
    "UnknownMemberError",
    "initial_snapshot",
]
