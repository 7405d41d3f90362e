"""What a part of the core sees of its member: the shared state, the other parts, and the changes of role.

The parts depend on these interfaces and not on each other, nor on `Raft`, which puts them together.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Protocol

from gradegap.raft.entries import EntryKind
from gradegap.raft.node_state import NodeState
from gradegap.raft.progress import Progress


class ElectionPart(Protocol):
    """Elections, as other parts use them."""

    def campaign(self, now: float, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Request the votes of all voters."""


class HeartbeatsPart(Protocol):
    """A leader's heartbeats, as other parts use them."""

    current_round: int
    sent_at: float

    def send(self, now: float) -> None:
        """Begin a new round."""

    def acknowledged_round(self) -> int:
        """The latest round that a quorum has responded to."""

    def followed_since(self, now: float) -> float:
        """The latest time since when a quorum has certainly followed."""

    def lease_until(self, now: float) -> float:
        """Until when no other member can have become leader."""


class ReplicationPart(Protocol):
    """A leader's replication, as other parts use it."""

    peers: dict[str, Progress]

    def append(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry of this term; its index."""

    def flush(self, now: float) -> None:
        """Send each member the entries that it is due, and commit what is ready."""

    def broadcast(self) -> None:
        """Send each member a message, with entries or without."""

    def send_to(self, peer: str, progress: Progress, always: bool = False) -> None:
        """Send a member what it is due."""

    def track_members(self, now: float) -> None:
        """Follow the configuration."""

    def advance_commit(self, now: float) -> None:
        """Commit what a majority stores."""


class SnapshotSenderPart(Protocol):
    """The sending of snapshots, as other parts use it."""

    def send_chunk(self, peer: str, progress: Progress, again: bool) -> None:
        """Send the chunk that the member wants next."""


class ReadIndexPart(Protocol):
    """Reads that wait to be confirmed, as other parts use them."""

    def confirm(self) -> None:
        """Hand over the reads whose round a quorum has responded to."""


class FollowerPart(Protocol):
    """A follower's side of replication, as other parts use it."""

    leader_commit: int


class LeadershipTransferPart(Protocol):
    """A transfer of leadership, as other parts use it."""

    target: str

    @property
    def timeout_sent(self) -> bool:
        """Whether the target may call an election at any moment."""

    def proceed(self) -> None:
        """Have the target call its election, once it has all entries."""


class RaftContext(NodeState, ABC):
    """A member as its parts see it."""

    election: ElectionPart
    heartbeats: HeartbeatsPart
    replication: ReplicationPart
    follower: FollowerPart
    snapshot_sender: SnapshotSenderPart
    read_index_queue: ReadIndexPart
    leadership_transfer: LeadershipTransferPart

    @property
    def peers(self) -> dict[str, Progress]:
        """What this member, as the leader, knows of each other one."""
        return self.replication.peers

    @abstractmethod
    def become_follower(self, now: float, term: int, leader_id: str) -> None:
        """Follow `leader_id`, or nobody known yet where it is empty, in `term`."""

    @abstractmethod
    def become_pre_candidate(self) -> None:
        """Ask whether votes would be granted; nothing that is on disk changes."""

    @abstractmethod
    def become_candidate(self) -> None:
        """Begin a new term, with this member's own vote."""

    @abstractmethod
    def become_leader(self, now: float) -> None:
        """Lead this term."""
