"""Transfer of leadership to another voter (thesis, 3.10)."""

from __future__ import annotations

import enum

from gradegap.raft.context import RaftContext
from gradegap.raft.errors import MemberRoleError, NotLeaderError, TransferInProgressError, UnknownMemberError
from gradegap.raft.messages import TimeoutNow
from gradegap.raft.progress import NEVER


class TransferState(enum.Enum):
    """How far a transfer of leadership has come."""

    NONE = enum.auto()
    CATCHING_UP = enum.auto()  # the target does not have all entries yet
    TIMEOUT_SENT = enum.auto()  # TimeoutNow is out in this term: no lease holds any more


class LeadershipTransfer:
    """A transfer that is under way, if one is."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        self.state = TransferState.NONE
        self.target = ""  # the voter that is to lead; empty without a transfer
        self.deadline = NEVER

    @property
    def timeout_sent(self) -> bool:
        """Whether the target may call an election at any moment."""
        return self.state is TransferState.TIMEOUT_SENT

    def reset(self) -> None:
        """This member became leader or follower, or gives up: no transfer is under way."""
        self.state = TransferState.NONE
        self.target = ""

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
        if self.state is not TransferState.NONE:
            raise TransferInProgressError
        self.state = TransferState.CATCHING_UP
        self.target = target
        self.deadline = now + raft.settings.election_timeout_s
        self.proceed()
        if self.state is TransferState.CATCHING_UP:
            raft.replication.send_to(target, peers[target], always=True)

    def proceed(self) -> None:
        """Have the target call its election, once it has all entries."""
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
        """Give the transfer up when its time has run out."""
        if self.state is TransferState.NONE or now < self.deadline:
            return
        timeout_sent = self.timeout_sent
        self.reset()
        if timeout_sent:
            # The message may still arrive, and the election it calls would break no promise: only a new term
            # makes it void.
            self.raft.become_follower(now, self.raft.term, "")

    def on_timeout_now(self, now: float, request: TimeoutNow) -> None:
        """The leader transfers its leadership to this member."""
        raft = self.raft
        if request.term == raft.term and raft.member_id in raft.configuration.voters and not raft.is_leader:
            raft.election.campaign(now, pre_vote=False, leadership_transfer=True)
