"""Linearizable reads by ReadIndex, at once under a lease (thesis, 6.4)."""

from __future__ import annotations

from dataclasses import dataclass

from gradegap.raft.context import RaftContext
from gradegap.raft.errors import LeaderNotReadyError, NotLeaderError
from gradegap.raft.ready import ReadState


@dataclass(slots=True, frozen=True)
class PendingRead:
    """A read that waits until a quorum has confirmed that this member still leads."""

    number: int
    index: int  # what it must see
    round: int  # the round of heartbeats that must be answered


class ReadIndexQueue:
    """The reads that a leader was asked for and has not confirmed yet."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        self.pending: list[PendingRead] = []

    def read(self, now: float, number: int) -> None:
        """Find the index that a read must see, under the lease or by a round of heartbeats."""
        raft = self.raft
        if not raft.is_leader:
            raise NotLeaderError
        if not raft.commits_own_term():
            raise LeaderNotReadyError
        if now < raft.heartbeats.lease_until(now):
            raft.pending.read_states.append(ReadState(number, raft.commit_index))
            return
        if raft.heartbeats.sent_at < now:
            raft.heartbeats.send(now)
        self.pending.append(PendingRead(number, raft.commit_index, raft.heartbeats.current_round))
        self.confirm()

    def confirm(self) -> None:
        """Hand over the reads whose round a quorum has answered."""
        if not self.pending:
            return
        answered = self.raft.heartbeats.acknowledged_round()
        confirmed = [ReadState(read.number, read.index) for read in self.pending if read.round <= answered]
        self.raft.pending.read_states += confirmed
        self.pending = [read for read in self.pending if read.round > answered]

    def abandon(self) -> None:
        """This member leads no more: the reads must be asked for elsewhere."""
        self.raft.pending.aborted_reads += [read.number for read in self.pending]
        self.pending = []
