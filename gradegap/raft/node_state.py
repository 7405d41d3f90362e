"""The state of a member that the parts of the core share."""

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
    """The state of figure 2 of the Raft paper except the leader's, and the pending output (`Ready`)."""

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
        self.leader_id = ""  # member id of the leader; empty if not known
        self.commit_index = max(log.base.index, applied_index)
        self.applied_index = self.commit_index
        self.stable_index = log.last_index  # the last index synced to this member's disk
        self.pending = Ready()

    @property
    def configuration(self) -> ClusterConfiguration:
        """The configuration in force, which may not be committed yet (thesis, 4.1)."""
        return self.log.configuration

    @property
    def is_leader(self) -> bool:
        """Whether this member considers itself the leader."""
        return self.role is Role.LEADER

    def send(self, recipient: str, message: Message) -> None:
        """Queue a message that is sent after the pending state and entries are synced to disk."""
        self.pending.messages.append(OutgoingMessage(recipient, message))

    def send_immediately(self, recipient: str, message: Message) -> None:
        """Queue a message that depends on no unsynced state and may be sent at once."""
        self.pending.immediate_messages.append(OutgoingMessage(recipient, message))

    def append_entry(self, entry: Entry) -> None:
        """Append an entry to the log and queue it for writing."""
        self.log.append(entry)
        self.pending.entries.append(entry)

    def persist_hard_state(self) -> None:
        """Queue the term and the vote for writing, ahead of messages that depend on them."""
        self.pending.hard_state = HardState(self.term, self.voted_for)

    def commits_own_term(self) -> bool:
        """Whether the entry at the commit index is of the current term.

        Only then does the commit index certainly cover all entries that earlier leaders committed.
        """
        return self.log.term_at(self.commit_index) == self.term
