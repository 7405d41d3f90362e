"""Interfaces through which the parts of the core use the shared state, each other and the role transitions.

The parts depend on these interfaces instead of on each other or on `Raft`, which composes them.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Protocol

from gradegap.raft.entries import EntryKind
from gradegap.raft.node_state import NodeState
from gradegap.raft.progress import Progress


class ElectionPart(Protocol):
    """The interface of elections, as the other parts use it."""

    def campaign(self, now: float, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Request votes from all voters."""


class HeartbeatsPart(Protocol):
    """The interface of the leader's heartbeats, as the other parts use it."""

    current_round: int
    sent_at: float

    def send(self, now: float) -> None:
        """Start a new round of heartbeats."""

    def acknowledged_round(self) -> int:
        """Returns the latest round that a quorum has acknowledged."""

    def followed_since(self, now: float) -> float:
        """Returns the start (steady time, s) of the latest round that a quorum has acknowledged."""

    def lease_until(self, now: float) -> float:
        """Returns the end (steady time, s) of the leader's lease; `NEVER` without a lease."""


class ReplicationPart(Protocol):
    """The interface of the leader's replication, as the other parts use it."""

    peers: dict[str, Progress]

    def append(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry of the current term and return its index."""

    def flush(self, now: float) -> None:
        """Send pending entries to all members and advance the commit index."""

    def broadcast(self) -> None:
        """Send every member at least one message, with entries or empty."""

    def send_to(self, peer: str, progress: Progress, at_least_one: bool = False) -> None:
        """Send a member its next entries or snapshot chunk; with `at_least_one`, an empty message if none."""

    def track_members(self, now: float) -> None:
        """Match the tracked members to the cluster configuration."""

    def advance_commit(self, now: float) -> None:
        """Commit the entries that a majority of voters stores."""


class SnapshotSenderPart(Protocol):
    """The interface of the snapshot sender, as the other parts use it."""

    def send_chunk(self, peer: str, progress: Progress, resend: bool) -> None:
        """Send the next chunk; with `resend`, send it again while its response is outstanding."""


class ReadIndexPart(Protocol):
    """The interface of the queue of unconfirmed reads, as the other parts use it."""

    def confirm(self) -> None:
        """Complete the reads whose heartbeat round a quorum has acknowledged."""


class FollowerPart(Protocol):
    """The interface of the follower's side of replication, as the other parts use it."""

    leader_commit: int


class LeadershipTransferPart(Protocol):
    """The interface of leadership transfer, as the other parts use it."""

    target: str

    @property
    def timeout_sent(self) -> bool:
        """Whether `TimeoutNow` was sent, so that the target may start an election at any moment."""

    def proceed(self) -> None:
        """Send `TimeoutNow` to the target if its log is complete."""


class RaftContext(NodeState, ABC):
    """The member as the parts of the core use it."""

    election: ElectionPart
    heartbeats: HeartbeatsPart
    replication: ReplicationPart
    follower: FollowerPart
    snapshot_sender: SnapshotSenderPart
    read_index_queue: ReadIndexPart
    leadership_transfer: LeadershipTransferPart

    @property
    def peers(self) -> dict[str, Progress]:
        """The replication progress of each other member, by id, tracked while this member leads."""
        return self.replication.peers

    @abstractmethod
    def become_follower(self, now: float, term: int, leader_id: str) -> None:
        """Become a follower in `term`; an empty `leader_id` means that the leader is not known yet."""

    @abstractmethod
    def become_pre_candidate(self) -> None:
        """Start a pre-vote, which changes nothing on disk."""

    @abstractmethod
    def become_candidate(self) -> None:
        """Start a new term and vote for this member."""

    @abstractmethod
    def become_leader(self, now: float) -> None:
        """Become the leader of the current term."""
