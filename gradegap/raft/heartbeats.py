"""A leader's rounds of heartbeats, and the lease and check-quorum that rest on the responses.

Every message of a leader carries the number of its round, and every response echoes it. The latest round
that a quorum has responded to says since when the leader has certainly been followed (thesis, 6.2 and 6.4).
"""

from __future__ import annotations

from collections import deque

from gradegap.raft.context import RaftContext
from gradegap.raft.progress import NEVER, majority_value


class Heartbeats:
    """When this member sent its rounds as the leader, and which of them a quorum has responded to."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        self.current_round = 0
        self.started_rounds: deque[tuple[int, float]] = deque()  # rounds and when they began, oldest first
        self.sent_at = NEVER
        self.leader_since = NEVER

    def start(self, now: float) -> None:
        """This member became leader: responses of earlier terms no longer count."""
        self.leader_since = now
        self.started_rounds.clear()

    def next_at(self) -> float:
        """When the next round is due."""
        return self.sent_at + self.raft.settings.heartbeat_interval_s

    def send(self, now: float) -> None:
        """Begin a new round: whoever responds to it has followed since its beginning."""
        self.current_round += 1
        self.started_rounds.append((self.current_round, now))
        self.sent_at = now
        self.raft.replication.broadcast()
        self.raft.read_index_queue.confirm()

    def acknowledged_round(self) -> int:
        """The latest round that a quorum, this member included, has responded to."""
        member_id, peers = self.raft.member_id, self.raft.replication.peers
        return majority_value(
            self.current_round
            if voter == member_id
            else peers[voter].heartbeat_round
            if voter in peers
            else 0
            for voter in self.raft.configuration.voters
        )

    def followed_since(self, now: float) -> float:
        """The latest time since when a quorum, this member included, has certainly followed."""
        voters = self.raft.configuration.voters
        if not voters:
            return NEVER
        acknowledged = self.acknowledged_round()
        if acknowledged == self.current_round and len(voters) == 1:
            return now
        since = NEVER
        for number, started_at in self.started_rounds:
            if number > acknowledged:
                break
            since = started_at
        while len(self.started_rounds) > 1 and self.started_rounds[1][0] <= acknowledged:
            self.started_rounds.popleft()
        return since

    def quorum_lost(self, now: float) -> bool:
        """Check-quorum (thesis, 6.2): guards against a partitioned leader that goes on as if it led."""
        timeout_s = self.raft.settings.election_timeout_s
        return now - self.leader_since >= timeout_s and self.followed_since(now) < now - timeout_s

    def lease_until(self, now: float) -> float:
        """Until when, by this clock, no other member can have become leader; `NEVER` without a lease.

        A quorum responded to a round that began at t, and grants nobody a vote for an election timeout after
        t by its own clocks, which may run faster than this one by the bound on drift.
        """
        raft = self.raft
        if not raft.is_leader or raft.leadership_transfer.timeout_sent or not raft.commits_own_term():
            return NEVER
        since = self.followed_since(now)
        if since == NEVER:
            return NEVER
        return since + raft.settings.election_timeout_s * (1.0 - raft.settings.max_clock_drift)
