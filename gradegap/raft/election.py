"""Elections with pre-vote; no votes are granted while a leader is alive (thesis, 3.4, 4.2.3, 9.6)."""

from __future__ import annotations

from gradegap.raft.context import RaftContext
from gradegap.raft.messages import RequestVote, RequestVoteResponse
from gradegap.raft.role import Role


class Election:
    """One member's election timeout, its campaigns and the votes that it grants."""

    def __init__(self, raft: RaftContext, now: float) -> None:
        self.raft = raft
        # A restart counts as contact with a leader. Before the restart this process may have acknowledged a
        # heartbeat, on which a leader bases its lease; a vote within an election timeout would violate it.
        self.last_leader_contact_at = now
        self.votes: dict[str, bool] = {}  # responses in the current campaign by voter id; True: granted
        self.timeout_at = now
        self.reset_timeout(now)

    def reset_timeout(self, now: float) -> None:
        """Restart the election timer with a random timeout."""
        raft = self.raft
        self.timeout_at = now + raft.settings.election_timeout_s * raft.random.uniform(1.0, 2.0)

    def on_leader_contact(self, now: float) -> None:
        """Record a message of the current leader; it delays the next election and the granting of votes."""
        self.last_leader_contact_at = now
        self.reset_timeout(now)

    def tick(self, now: float) -> None:
        """Start an election once the election timeout has passed without contact with a leader."""
        if now < self.timeout_at:
            return
        self.reset_timeout(now)
        if self.can_campaign():
            self.campaign(now, pre_vote=True)

    def can_campaign(self) -> bool:
        """Whether this member may start an election.

        Voters may, and so may a voter whose own removal is not committed yet (thesis, 4.2.2). Otherwise the
        cluster could stay without a leader for good, as the member being removed may be the only one whose
        log is complete enough to win an election.
        """
        raft, log = self.raft, self.raft.log
        if raft.member_id in log.configuration.voters:
            return True
        return (
            log.configuration_index > raft.commit_index
            and raft.member_id in log.configuration_at(log.configuration_index - 1).voters
        )

    def campaign(self, now: float, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Request votes from all voters; with `pre_vote`, ask only whether they would grant them."""
        raft, log = self.raft, self.raft.log
        self.reset_timeout(now)
        self.votes = {raft.member_id: True}
        if pre_vote:
            raft.become_pre_candidate()
        else:
            raft.become_candidate()
        request = RequestVote(
            raft.term + pre_vote, log.last_index, log.last_term, pre_vote, leadership_transfer
        )
        for voter in raft.configuration.voters:
            if voter != raft.member_id:
                raft.send(voter, request)
        self.count_votes(now)

    def count_votes(self, now: float) -> None:
        """Advance on a majority of granted votes; become a follower on a majority of denied ones."""
        raft = self.raft
        voters = raft.configuration.voters
        granted = sum(self.votes.get(voter, False) for voter in voters)
        denied = sum(not self.votes.get(voter, True) for voter in voters)
        if granted > len(voters) // 2:
            if raft.role is Role.PRE_CANDIDATE:
                self.campaign(now, pre_vote=False)
            else:
                raft.become_leader(now)
        elif denied > len(voters) // 2:
            raft.become_follower(now, raft.term, "")

    def is_leader_alive(self, now: float) -> bool:
        """Whether a live leader relies on this member to grant no votes (thesis, 4.2.3 and 6.4.1)."""
        raft = self.raft
        contact_at = raft.heartbeats.followed_since(now) if raft.is_leader else self.last_leader_contact_at
        return now - contact_at < raft.settings.election_timeout_s

    def on_request_vote(self, now: float, sender: str, request: RequestVote) -> None:
        """Handle a candidate's request for a vote or pre-vote."""
        raft = self.raft
        if not request.leadership_transfer and self.is_leader_alive(now):
            return  # a removed or partitioned member that keeps starting elections can't depose a live leader
        if request.pre_vote:
            granted = request.term > raft.term and self._is_log_up_to_date(request)
            raft.send(sender, RequestVoteResponse(request.term if granted else raft.term, granted, True))
            return
        if request.term > raft.term:
            raft.become_follower(now, request.term, "")
        granted = self._can_vote_for(sender, request)
        if granted:
            raft.voted_for = sender
            raft.persist_hard_state()
            self.reset_timeout(now)
        raft.send(sender, RequestVoteResponse(raft.term, granted))

    def _is_log_up_to_date(self, request: RequestVote) -> bool:
        return self.raft.log.is_up_to_date(request.last_log_index, request.last_log_term)

    def _can_vote_for(self, candidate: str, request: RequestVote) -> bool:
        raft = self.raft
        return (
            request.term == raft.term
            and raft.voted_for in ("", candidate)
            and raft.role is Role.FOLLOWER
            and self._is_log_up_to_date(request)
        )

    def on_request_vote_response(self, now: float, sender: str, response: RequestVoteResponse) -> None:
        """Handle a voter's response in this member's campaign."""
        raft = self.raft
        if not response.granted and response.term > raft.term:
            raft.become_follower(now, response.term, "")
            return
        campaign_term = raft.term + 1 if response.pre_vote else raft.term
        campaigning = raft.role is (Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE)
        if campaigning and (not response.granted or response.term == campaign_term):
            self.votes[sender] = response.granted
            self.count_votes(now)
