"""The consensus core: Raft with pre-vote, check-quorum, ReadIndex, learners and leases, and no I/O.

Each call passes the current time (seconds of any steady clock). Output accumulates in a `Ready`, which
`take_ready` returns. The driver persists it, sends its messages, then calls `persisted`. The package reads no
clock, socket or file, so the simulator in `gradegap.verification` runs the same code as production.

`Raft` dispatches each call and message to one part: elections, heartbeats, replication, snapshots, reads,
membership or leadership transfer. The parts share a `NodeState` and use each other through the interfaces in
`context`.

Sources: Ongaro, "Consensus: Bridging Theory and Practice" (thesis); Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm" (Raft paper).
"""

from __future__ import annotations

from typing import ClassVar

from gradegap.raft.cluster import Member
from gradegap.raft.context import RaftContext
from gradegap.raft.election import Election
from gradegap.raft.entries import Entry, EntryKind, HardState, SnapshotMetadata
from gradegap.raft.follower import Follower
from gradegap.raft.heartbeats import Heartbeats
from gradegap.raft.leadership_transfer import LeadershipTransfer
from gradegap.raft.log import UNBOUNDED_BYTES, Log
from gradegap.raft.membership import Membership
from gradegap.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from gradegap.raft.read_index import ReadIndexQueue
from gradegap.raft.ready import RaftStatus, Ready
from gradegap.raft.replication import Replication
from gradegap.raft.role import Role
from gradegap.raft.settings import RaftSettings
from gradegap.raft.snapshots import SnapshotReceiver, SnapshotSender


class Raft(RaftContext):
    """One member of the cluster. `member_id` stays the same as long as the member keeps its disk."""

    # Classes of the parts. Mutation tests (gradegap.verification) substitute faulty ones.
    election_type: ClassVar[type[Election]] = Election
    heartbeats_type: ClassVar[type[Heartbeats]] = Heartbeats
    replication_type: ClassVar[type[Replication]] = Replication
    follower_type: ClassVar[type[Follower]] = Follower
    read_index_queue_type: ClassVar[type[ReadIndexQueue]] = ReadIndexQueue
    membership_type: ClassVar[type[Membership]] = Membership
    leadership_transfer_type: ClassVar[type[LeadershipTransfer]] = LeadershipTransfer

    election: Election
    heartbeats: Heartbeats
    replication: Replication
    follower: Follower
    snapshot_sender: SnapshotSender
    read_index_queue: ReadIndexQueue
    leadership_transfer: LeadershipTransfer

    def __init__(
        self,
        member_id: str,
        now: float,
        seed: int,
        base: SnapshotMetadata,
        entries: list[Entry] | None = None,
        hard_state: HardState | None = None,
        applied_index: int = 0,
        settings: RaftSettings | None = None,
    ) -> None:
        super().__init__(
            member_id,
            seed,
            Log(base, entries or []),
            hard_state or HardState(),
            applied_index,
            settings or RaftSettings(),
        )
        self.election = self.election_type(self, now)
        self.heartbeats = self.heartbeats_type(self)
        self.replication = self.replication_type(self)
        self.follower = self.follower_type(self)
        self.snapshot_sender = SnapshotSender(self)
        self.snapshot_receiver = SnapshotReceiver(self)
        self.read_index_queue = self.read_index_queue_type(self)
        self.membership = self.membership_type(self)
        self.leadership_transfer = self.leadership_transfer_type(self)

    # Output and status, called by the driver

    def take_ready(self) -> Ready:
        """Returns the output accumulated since the last call, with the committed entries to apply."""
        ready, self.pending = self.pending, Ready()
        ready.committed_entries = self.take_committed_entries()
        return ready

    def take_committed_entries(self) -> list[Entry]:
        """Returns the entries to apply: committed, persisted here and not returned before."""
        last = min(self.commit_index, self.stable_index)
        if last <= self.applied_index:
            return []
        entries = self.log.slice(self.applied_index + 1, UNBOUNDED_BYTES, last)
        self.applied_index = last
        return entries

    def next_tick_at(self) -> float:
        """Returns the latest time (steady time, s) at which `tick` must be called."""
        return self.heartbeats.next_at() if self.is_leader else self.election.timeout_at

    @property
    def transferee(self) -> str:
        """The id of the voter that leadership is being transferred to; empty without a transfer."""
        return self.leadership_transfer.target

    def lease_until(self, now: float) -> float:
        """Returns the time (s) on the caller's clock until which no other member can become leader.

        `NEVER` without a lease.
        """
        return self.heartbeats.lease_until(now)

    def was_removed(self) -> bool:
        """Whether the latest configuration known here to be committed excludes this member."""
        return self.membership.was_removed()

    def status(self, now: float) -> RaftStatus:
        """Returns this member's status for operators."""
        lease_ms = max(0, round((self.lease_until(now) - now) * 1000)) if self.is_leader else 0
        return RaftStatus(
            id=self.member_id,
            role=self.role.value,
            term=self.term,
            leader=self.leader_id,
            commit=self.commit_index,
            applied=self.applied_index,
            last_index=self.log.last_index,
            first_index=self.log.base.index + 1,
            lease_ms=lease_ms,
        )

    # Events, reported by the driver

    def tick(self, now: float) -> None:
        """Run the timers: election timeout, heartbeats, check-quorum and leadership transfer deadline."""
        if not self.is_leader:
            self.election.tick(now)
            return
        if self.heartbeats.quorum_lost(now):
            self.become_follower(now, self.term, "")
            return
        self.leadership_transfer.tick(now)
        if self.is_leader and now >= self.heartbeats.next_at():
            self.heartbeats.send(now)

    def persisted(self, now: float, index: int, term: int) -> None:
        """Record that all entries up to `index` are synced to disk, the last of them with `term`."""
        if self.log.term_at(index) != term:
            return
        self.stable_index = max(self.stable_index, index)
        if self.is_leader:
            self.replication.advance_commit(now)

    def compact(self, index: int) -> None:
        """Drop log entries up to `index`, whose state the driver has persisted."""
        self.log.compact(min(index, self.applied_index))

    def offer_snapshot(self, now: float, metadata: SnapshotMetadata, data: bytes) -> None:
        """Offer a snapshot for members that need compacted entries; called after `Ready.snapshot_wanted`.

        Raises:
            SnapshotTooOldError: The log begins after the last entry that the snapshot covers.
        """
        self.snapshot_sender.offer(metadata, data)

    # Requests of clients and operators, passed on by the driver

    def propose(self, now: float, data: bytes, kind: EntryKind = EntryKind.COMMAND) -> int:
        """Append an entry and return its index.

        `data` is committed once that index is committed with an entry of the term of the proposal.

        Raises:
            NotLeaderError, TransferInProgressError, TooMuchUncommittedError: Nothing was appended.
        """
        return self.replication.propose(data, kind)

    def flush(self, now: float) -> None:
        """Send proposed entries; one call covers all proposals since the previous call."""
        if self.is_leader:
            self.replication.flush(now)

    def read_index(self, now: float, request_id: int) -> None:
        """Request the index at which a linearizable read may be served, returned in `Ready.read_states`.

        Raises:
            NotLeaderError, LeaderNotReadyError: The read was rejected and will have no read state.
        """
        self.read_index_queue.request(now, request_id)

    def add_member(self, now: float, member: Member) -> int:
        """Add a learner, or promote a caught-up learner to voter. Returns the index of the entry.

        Raises:
            RequestRejectedError: The change is unsafe at present or invalid; see the subclasses.
        """
        return self.membership.add(now, member)

    def remove_member(self, now: float, member_id: str) -> int:
        """Remove a member, which may be this one. Returns the index of the entry.

        Raises:
            RequestRejectedError: The change is unsafe at present or invalid; see the subclasses.
        """
        return self.membership.remove(now, member_id)

    def transfer_leadership(self, now: float, target: str) -> None:
        """Transfer leadership to a voter once its log is complete. Aborts after an election timeout.

        Raises:
            NotLeaderError, MemberRoleError, UnknownMemberError, TransferInProgressError: No transfer was
                started.
        """
        self.leadership_transfer.start(now, target)

    # Messages

    def step(self, now: float, sender: str, message: Message) -> None:
        """Handle a message. `sender` is the authenticated id of the member that sent it."""
        match message:
            case AppendEntries() | InstallSnapshot():
                self._on_leader_message(now, sender, message)
            case AppendEntriesResponse() | InstallSnapshotResponse():
                self._on_follower_response(now, sender, message)
            case RequestVote():
                self.election.on_request_vote(now, sender, message)
            case RequestVoteResponse():
                self.election.on_request_vote_response(now, sender, message)
            case TimeoutNow():
                self.leadership_transfer.on_timeout_now(now, message)

    def _on_leader_message(self, now: float, sender: str, message: AppendEntries | InstallSnapshot) -> None:
        if message.term < self.term:
            self._reject_stale_leader(sender, message)
            return
        if message.term > self.term or self.role is not Role.FOLLOWER or self.leader_id != sender:
            self.become_follower(now, message.term, sender)
        self.election.on_leader_contact(now)
        if isinstance(message, AppendEntries):
            self.follower.on_append_entries(now, sender, message)
        else:
            self.snapshot_receiver.on_install_snapshot(now, sender, message)

    def _reject_stale_leader(self, sender: str, message: AppendEntries | InstallSnapshot) -> None:
        """Respond to a leader of an earlier term with the current term, so that it steps down."""
        previous = message.prev_log_index if isinstance(message, AppendEntries) else message.metadata.index
        self.send(sender, AppendEntriesResponse(self.term, False, self.log.last_index, previous, 0))

    def _on_follower_response(
        self, now: float, sender: str, message: AppendEntriesResponse | InstallSnapshotResponse
    ) -> None:
        if message.term > self.term:
            self.become_follower(now, message.term, "")
            return
        progress = self.peers.get(sender)
        if not self.is_leader or message.term != self.term or progress is None:
            return
        progress.last_response_at = now
        progress.heartbeat_round = max(progress.heartbeat_round, message.heartbeat_round)
        if isinstance(message, AppendEntriesResponse):
            self.replication.on_append_entries_response(now, sender, progress, message)
        else:
            self.snapshot_sender.on_install_snapshot_response(now, sender, progress, message)
        if self.is_leader:
            self.read_index_queue.confirm()

    # Role transitions

    def become_follower(self, now: float, term: int, leader_id: str) -> None:
        """Become a follower in `term`; an empty `leader_id` means that the leader is not known yet."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.persist_hard_state()
        if self.role is not Role.FOLLOWER:
            self.read_index_queue.abort()
            self.election.reset_timeout(now)
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.leadership_transfer.reset()
        self.snapshot_sender.outgoing = None

    def become_pre_candidate(self) -> None:
        """Start a pre-vote, which changes nothing on disk."""
        self.leader_id = ""
        self.role = Role.PRE_CANDIDATE

    def become_candidate(self) -> None:
        """Start a new term and vote for this member."""
        self.leader_id = ""
        self.role = Role.CANDIDATE
        self.term += 1
        self.voted_for = self.member_id
        self.persist_hard_state()

    def become_leader(self, now: float) -> None:
        """Become the leader of the current term and append a no-op entry to it."""
        self.role = Role.LEADER
        self.leader_id = self.member_id
        self.election.last_leader_contact_at = now
        self.leadership_transfer.reset()
        self.heartbeats.start(now)
        self.replication.start(now)
        self.replication.append(EntryKind.NO_OP, b"")
        self.heartbeats.send(now)
        self.replication.advance_commit(now)
