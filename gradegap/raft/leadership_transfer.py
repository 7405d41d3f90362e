"""Transfer of leadership to another voter (thesis, 3.10)."""

from __future__ import annotations

import enum

from gradegap.raft.context import RaftContext
from gradegap.raft.errors import MemberRoleError, NotLeaderError, TransferInProgressError, UnknownMemberError
from gradegap.raft.messages import TimeoutNow
from gradegap.raft.progress import NEVER


class TransferState(enum.Enum):
    """The progress of a leadership transfer."""

    NONE = enum.auto()
    CATCHING_UP = enum.auto()  # the target's log is not complete yet
    TIMEOUT_SENT = enum.auto()  # TimeoutNow was sent in this term, so the leader no longer has a lease


class LeadershipTransfer:
    """At most one leadership transfer at a time, started by this member as the leader."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        self.state = TransferState.NONE
        self.target = ""  # member id of the next leader; empty without a transfer
        self.deadline = NEVER

    @property
    def timeout_sent(self) -> bool:
        """Whether `TimeoutNow` was sent, so that the target may start an election at any moment."""
        return self.state is TransferState.TIMEOUT_SENT

    def reset(self) -> None:
        """Forget the transfer, after a role change or when it is aborted."""
        self.state = TransferState.NONE
        self.target = ""

    def start(self, now: float, target: str) -> None:
        """Transfer leadership to a voter once its log is complete. Aborts after an election timeout."""
        raft = self.raft
        peers = raft.replication.peers
        if not raft.is_leader:
            raise NotLeaderError
        if target == raft.member_id:
            raise MemberRoleError("leads")
        if target not in raft.configuration.voters or target not in peers:
            raise UnknownMemberError
        if self.state is not TransferState.NONE:
            raise TransferInProgressError
        self.state = TransferState.CATCHING_UP
        self.target = target
        self.deadline = now + raft.settings.election_timeout_s
        self.proceed()
        if self.state is TransferState.CATCHING_UP:
            raft.replication.send_to(target, peers[target], at_least_one=True)

    def proceed(self) -> None:
        """Send `TimeoutNow` to the target if its log is complete."""
        raft = self.raft
        progress = raft.replication.peers.get(self.target)
        if (
            progress is not None
            and self.state is TransferState.CATCHING_UP
            and progress.match_index == raft.log.last_index
        ):
            self.state = TransferState.TIMEOUT_SENT
            raft.send(self.target, TimeoutNow(raft.term))

    def tick(self, now: float) -> None:
        """Abort the transfer once its deadline has passed."""
        if self.state is TransferState.NONE or now < self.deadline:
            return
        timeout_sent = self.timeout_sent
        self.reset()
        if timeout_sent:
            # TimeoutNow may still arrive, and voters accept the election that it starts despite a leader.
            # Only a new term invalidates TimeoutNow, so this member must stop leading in the current term.
            self.raft.become_follower(now, self.raft.term, "")

    def on_timeout_now(self, now: float, request: TimeoutNow) -> None:
        """Handle `TimeoutNow`: the leader transfers its leadership to this member."""
        raft = self.raft
        if request.term == raft.term and raft.member_id in raft.configuration.voters and not raft.is_leader:
            raft.election.campaign(now, pre_vote=False, leadership_transfer=True)
