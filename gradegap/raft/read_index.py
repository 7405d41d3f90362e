"""Linearizable reads by ReadIndex, served without a heartbeat round under a lease (thesis, 6.4)."""

from __future__ import annotations

from dataclasses import dataclass

from gradegap.raft.context import RaftContext
from gradegap.raft.errors import LeaderNotReadyError, NotLeaderError
from gradegap.raft.ready import ReadState


@dataclass(slots=True, frozen=True)
class PendingRead:
    """A read that waits for a quorum to confirm that this member still leads."""

    request_id: int
    commit_index: int  # the lowest applied index at which the read may be served
    heartbeat_round: int  # the heartbeat round that a quorum must acknowledge before the read is confirmed


class ReadIndexQueue:
    """Reads requested from this leader that are not confirmed yet."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        self.waiting: list[PendingRead] = []

    def request(self, now: float, request_id: int) -> None:
        """Confirm a read at once if the leader has a lease, otherwise after a round of heartbeats.

        Raises:
            NotLeaderError: This member does not lead.
            LeaderNotReadyError: The leader has not committed an entry of its term yet.
        """
        raft = self.raft
        if not raft.is_leader:
            raise NotLeaderError
        if not raft.commits_own_term():
            raise LeaderNotReadyError
        if now < raft.heartbeats.lease_until(now):
            raft.pending.read_states.append(ReadState(request_id, raft.commit_index))
            return
        if raft.heartbeats.sent_at < now:
            raft.heartbeats.send(now)
        self.waiting.append(PendingRead(request_id, raft.commit_index, raft.heartbeats.current_round))
        self.confirm()

    def confirm(self) -> None:
        """Complete the reads whose heartbeat round a quorum has acknowledged."""
        if not self.waiting:
            return
        acknowledged = self.raft.heartbeats.acknowledged_round()
        confirmed = [read for read in self.waiting if read.heartbeat_round <= acknowledged]
        self.raft.pending.read_states += [ReadState(read.request_id, read.commit_index) for read in confirmed]
        self.waiting = [read for read in self.waiting if read.heartbeat_round > acknowledged]

    def abort(self) -> None:
        """Abort all reads after a loss of leadership; they must be requested from the new leader."""
        self.raft.pending.aborted_reads += [read.request_id for read in self.waiting]
        self.waiting = []
