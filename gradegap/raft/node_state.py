"""The state of a member that all parts of the core share."""

from __future__ import annotations

import random

from gradegap.raft.cluster import ClusterConfiguration
from gradegap.raft.entries import Entry, HardState
from gradegap.raft.log import Log
from gradegap.raft.messages import Message
from gradegap.raft.ready import OutgoingMessage, Ready
from gradegap.raft.role import Role
from gradegap.raft.settings import RaftSettings


class NodeState:
    """The state of the Raft paper's figure 2, but for a leader's, and the `Ready` that is being gathered."""

    def __init__(
        self,
        member_id: str,
        seed: int,
        log: Log,
        hard_state: HardState,
        applied_index: int,
        settings: RaftSettings,
    ) -> None:
        self.member_id = member_id
        self.settings = settings
        self.random = random.Random(seed)
        self.log = log
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.role = Role.FOLLOWER
        self.leader_id = ""  # empty: not known
        self.commit_index = max(log.base.index, applied_index)
        self.applied_index = self.commit_index
        self.stable_index = log.last_index  # the last index that is on this member's disk
        self.pending = Ready()

    @property
    def configuration(self) -> ClusterConfiguration:
        """The members in force, committed or not (thesis, 4.1)."""
        return self.log.configuration

    @property
    def is_leader(self) -> bool:
        """Whether this member takes itself to be the leader."""
        return self.role is Role.LEADER

    def send(self, recipient: str, message: Message) -> None:
        """Send a message once all that was gathered before it is on this member's disk."""
        self.pending.messages.append(OutgoingMessage(recipient, message))

    def send_immediately(self, recipient: str, message: Message) -> None:
        """Send a message that rests on nothing that is not on disk yet."""
        self.pending.immediate_messages.append(OutgoingMessage(recipient, message))

    def append_entry(self, entry: Entry) -> None:
        """Add an entry to the log, and have it written."""
        self.log.append(entry)
        self.pending.entries.append(entry)

    def persist_hard_state(self) -> None:
        """Have the term and the vote written before any message that rests on them is sent."""
        self.pending.hard_state = HardState(self.term, self.voted_for)

    def commits_own_term(self) -> bool:
        """Whether the commit index is known to cover all that earlier leaders committed."""
        return self.log.term_at(self.commit_index) == self.term
