"""Linearizable reads by ReadIndex, at once under a lease (thesis, 6.4)."""

from __future__ import annotations

from dataclasses import dataclass

from gradegap.raft.context import RaftContext
from gradegap.raft.errors import LeaderNotReadyError, NotLeaderError
from gradegap.raft.ready import ReadState


@dataclass(slots=True, frozen=True)
class PendingRead:
    """A read that waits until a quorum has confirmed that this member still leads."""

    request_id: int
    commit_index: int  # what it must see
    heartbeat_round: int  # that a quorum must respond to


class ReadIndexQueue:
    """The reads that were requested of this leader and are not confirmed yet."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        self.waiting: list[PendingRead] = []

    def request(self, now: float, request_id: int) -> None:
        """Find the index that a read must see, under the lease or by a round of heartbeats."""
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
        """Hand over the reads whose round a quorum has responded to."""
        if not self.waiting:
            return
        acknowledged = self.raft.heartbeats.acknowledged_round()
        confirmed = [read for read in self.waiting if read.heartbeat_round <= acknowledged]
        self.raft.pending.read_states += [ReadState(read.request_id, read.commit_index) for read in confirmed]
        self.waiting = [read for read in self.waiting if read.heartbeat_round > acknowledged]

    def abort(self) -> None:
        """This member is no longer the leader: the reads must be requested elsewhere."""
        self.raft.pending.aborted_reads += [read.request_id for read in self.waiting]
        self.waiting = []
