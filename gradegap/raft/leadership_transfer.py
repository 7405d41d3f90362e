"""Transfer of leadership to another voter (thesis, 3.10)."""

from __future__ import annotations

from gradegap.raft.context import RaftContext
from gradegap.raft.errors import MemberRoleError, NotLeaderError, TransferInProgressError, UnknownMemberError
from gradegap.raft.messages import TimeoutNow
from gradegap.raft.progress import NEVER


class LeadershipTransfer:
    """A transfer that is under way, if one is."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        self.target = ""  # the voter that is to lead
        self.deadline = NEVER
        self.timeout_sent = False  # TimeoutNow is out in this term: no lease holds any more

    def reset(self) -> None:
        """This member became leader or follower: no transfer is under way."""
        self.target = ""
        self.timeout_sent = False

    def start(self, now: float, target: str) -> None:
        """Have a voter lead, as soon as it has all entries; given up after an election timeout."""
        raft = self.raft
        peers = raft.replication.peers
        if not raft.is_leader:
            raise NotLeaderError
        if target == raft.member_id:
            raise MemberRoleError("leads")
        if target not in raft.configuration.voters or target not in peers:
            raise UnknownMemberError
        if self.target:
            raise TransferInProgressError
        self.target = target
        self.deadline = now + raft.settings.election_timeout_s
        self.proceed()
        if not self.timeout_sent:
            raft.replication.send_to(target, peers[target], always=True)

    def proceed(self) -> None:
        """Have the target call its election, once it has all entries."""
        raft = self.raft
        progress = raft.replication.peers.get(self.target)
        if progress is not None and not self.timeout_sent and progress.match_index == raft.log.last_index:
            self.timeout_sent = True
            raft.send(self.target, TimeoutNow(raft.term))

    def tick(self, now: float) -> None:
        """Give the transfer up when its time has run out."""
        if not self.target or now < self.deadline:
            return
        self.target = ""
        if self.timeout_sent:
            # The message may still arrive, and the election it calls would break no promise: only a new term
            # makes it void.
            self.raft.become_follower(now, self.raft.term, "")

    def on_timeout_now(self, now: float, request: TimeoutNow) -> None:
        """The leader transfers its leadership to this member."""
        raft = self.raft
        if request.term == raft.term and raft.member_id in raft.configuration.voters and not raft.is_leader:
            raft.election.campaign(now, pre_vote=False, leadership_transfer=True)
