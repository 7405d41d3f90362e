"""The leader's heartbeat rounds, and the lease and check-quorum that are derived from the responses.

Every message of a leader contains the number of its round, and every response echoes it. A quorum accepted
this leader at least until the start of the latest round that a quorum has acknowledged (thesis, 6.2 and 6.4).
"""

from __future__ import annotations

from collections import deque

from gradegap.raft.context import RaftContext
from gradegap.raft.progress import NEVER, majority_value


class Heartbeats:
    """Sends heartbeat rounds while this member leads, and tracks which of them a quorum has acknowledged."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        self.current_round = 0
        self.started_rounds: deque[tuple[int, float]] = deque()  # (round, start time in s), oldest first
        self.sent_at = NEVER
        self.leader_since = NEVER

    def start(self, now: float) -> None:
        """Start a term as leader; discard rounds of earlier terms."""
        self.leader_since = now
        self.started_rounds.clear()

    def next_at(self) -> float:
        """Returns the time (s) at which the next round is due."""
        return self.sent_at + self.raft.settings.heartbeat_interval_s

    def send(self, now: float) -> None:
        """Start a new round. A member that responds to it accepted this leader after the round's start."""
        self.current_round += 1
        self.started_rounds.append((self.current_round, now))
        self.sent_at = now
        self.raft.replication.broadcast()
        self.raft.read_index_queue.confirm()

    def acknowledged_round(self) -> int:
        """Returns the latest round that a quorum, including this member, has acknowledged."""
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
        """Returns the start (s) of the latest round acknowledged by a quorum, `NEVER` if there is none.

        A cluster of one voter always has its quorum, so the result is `now`.
        """
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
        """Check-quorum (thesis, 6.2): whether this leader must step down, as it may be partitioned."""
        timeout_s = self.raft.settings.election_timeout_s
        return now - self.leader_since >= timeout_s and self.followed_since(now) < now - timeout_s

    def lease_until(self, now: float) -> float:
        """Returns the end (s) of the leader's lease on this member's clock; `NEVER` without a lease.

        No other member can become leader before that time. If a quorum acknowledged a round started at t, its
        members grant no votes for an election timeout after t on their own clocks. These may run faster than
        this clock by up to `max_clock_drift`, by which the lease is shortened.
        """
        raft = self.raft
        if not raft.is_leader or raft.leadership_transfer.timeout_sent or not raft.commits_own_term():
            return NEVER
        since = self.followed_since(now)
        if since == NEVER:
            return NEVER
        return since + raft.settings.election_timeout_s * (1.0 - raft.settings.max_clock_drift)
