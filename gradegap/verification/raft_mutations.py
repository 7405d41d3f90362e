"""Mutations of the consensus core: each class has one known mistake, which the checkers must detect.

The mistakes are real ones, from early versions of Raft implementations or of this one.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

import msgspec

from gradegap.raft import (
    NEVER,
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    HardState,
    Member,
    NotLeaderError,
    Progress,
    Raft,
    RaftSettings,
    ReadState,
    Ready,
    RequestVote,
    RequestVoteResponse,
    SnapshotMetadata,
)
from gradegap.raft.election import Election
from gradegap.raft.follower import Follower
from gradegap.raft.heartbeats import Heartbeats
from gradegap.raft.leadership_transfer import LeadershipTransfer, TransferState
from gradegap.raft.log import Log
from gradegap.raft.membership import Membership
from gradegap.raft.read_index import ReadIndexQueue
from gradegap.raft.replication import Replication
from gradegap.verification.errors import Violation
from gradegap.verification.raft_faults import SMALL_LIMITS, Faults
from gradegap.verification.simulator import Simulation


class VoteNotSynced(Raft):
    """The vote is sent before it is on disk, so that a crash loses it."""

    def persist_hard_state(self) -> None:
        """Persist the term without the vote."""
        self.pending.hard_state = HardState(self.term, "")


class SendsBeforeSync(Raft):
    """A message is sent before the state that it depends on is on disk."""

    def take_ready(self) -> Ready:
        """Make all messages immediate."""
        ready = super().take_ready()
        ready.immediate_messages += ready.messages
        ready.messages = []
        return ready


class VotesTwice(Raft):
    """A member votes for a second candidate in the same term."""

    class _Election(Election):
        def on_request_vote(self, now: float, sender: str, request: RequestVote) -> None:
            if not request.pre_vote and request.term == self.raft.term:
                self.raft.voted_for = ""
            super().on_request_vote(now, sender, request)

    election_type = _Election


class VotesForStaleLogs(Raft):
    """A member votes without checking that the candidate's log is up to date."""

    class _Election(Election):
        def on_request_vote(self, now: float, sender: str, request: RequestVote) -> None:
            up_to_date = RequestVote(
                request.term, 1 << 60, 1 << 60, request.pre_vote, request.leadership_transfer
            )
            super().on_request_vote(now, sender, up_to_date)

    election_type = _Election


class CommitsEarlierTerms(Raft):
    """The leader commits an entry of an earlier term by counting responses (Raft paper, figure 8)."""

    class _Replication(Replication):
        def can_commit(self, index: int) -> bool:
            return True

    replication_type = _Replication


class CountsUnsyncedEntry(Raft):
    """The leader counts its own entry towards the quorum before the entry is on its disk."""

    class _Replication(Replication):
        def append(self, kind: EntryKind, data: bytes) -> int:
            index = super().append(kind, data)
            self.raft.stable_index = index
            return index

    replication_type = _Replication


class KeepsConflictingEntries(Raft):
    """A follower accepts new entries, but keeps existing entries that conflict with them."""

    class _Follower(Follower):
        def on_append_entries(self, now: float, sender: str, request: AppendEntries) -> None:
            raft, log = self.raft, self.raft.log
            matching = tuple(
                entry for entry in request.entries if (log.term_at(entry.index) or entry.term) == entry.term
            )
            if len(matching) == len(request.entries):
                super().on_append_entries(now, sender, request)
                return
            match = request.prev_log_index + len(request.entries)
            raft.commit_index = max(raft.commit_index, min(request.leader_commit, match, log.last_index))
            raft.send(
                sender,
                AppendEntriesResponse(
                    raft.term, True, match, request.prev_log_index, request.heartbeat_round
                ),
            )

    follower_type = _Follower


class SkipsConsistencyCheck(Raft):
    """A follower does not check that the previous entry of the request matches its log."""

    class _Follower(Follower):
        def on_append_entries(self, now: float, sender: str, request: AppendEntries) -> None:
            log = self.raft.log
            term = log.term_at(request.prev_log_index)
            if term is not None and request.prev_log_index >= log.base.index:
                request = msgspec.structs.replace(request, prev_log_term=term)
            super().on_append_entries(now, sender, request)

    follower_type = _Follower


class CommitsUnmatchedEntries(Raft):
    """A follower adopts the leader's commit index although its own entries may differ from the leader's."""

    class _Follower(Follower):
        def on_append_entries(self, now: float, sender: str, request: AppendEntries) -> None:
            super().on_append_entries(now, sender, request)
            raft = self.raft
            raft.commit_index = max(raft.commit_index, min(request.leader_commit, raft.log.last_index))

    follower_type = _Follower


class LeaseIgnoresDrift(Raft):
    """The lease lasts as long as the promise not to vote, without a margin for clock drift."""

    class _Heartbeats(Heartbeats):
        def lease_until(self, now: float) -> float:
            until = super().lease_until(now)
            settings = self.raft.settings
            return until if until == NEVER else until + settings.election_timeout_s * settings.max_clock_drift

    heartbeats_type = _Heartbeats


class LeaseFromResponse(Raft):
    """The lease starts when a response arrives instead of when the request was sent."""

    class _Heartbeats(Heartbeats):
        def followed_since(self, now: float) -> float:
            peers = self.raft.peers
            voters = [
                peers[voter].last_response_at for voter in self.raft.configuration.voters if voter in peers
            ]
            responses = sorted([*voters, now])
            return responses[(len(responses) - 1) // 2]

    heartbeats_type = _Heartbeats


class ForgetsPromiseAtRestart(Raft):
    """A restarted member votes at once, although its earlier incarnation promised not to."""

    class _Election(Election):
        def is_leader_alive(self, now: float) -> bool:
            return self.raft.leader_id != "" and super().is_leader_alive(now)

    election_type = _Election


class LeaseKeptDuringTransfer(Raft):
    """The leader keeps its lease after it told another member to call an election."""

    class _Transfer(LeadershipTransfer):
        def proceed(self) -> None:
            super().proceed()
            if self.timeout_sent:
                self.state = TransferState.CATCHING_UP

    leadership_transfer_type = _Transfer


class SkipsReadConfirmation(Raft):
    """A leader answers reads without confirming that it is still the leader."""

    class _Reads(ReadIndexQueue):
        def request(self, now: float, request_id: int) -> None:
            if not self.raft.is_leader:
                raise NotLeaderError
            self.raft.pending.read_states.append(ReadState(request_id, self.raft.commit_index))

    read_index_queue_type = _Reads


class ReadsBeforeOwnCommit(Raft):
    """A new leader answers reads before it commits in its term, while its commit index may be too low."""

    def commits_own_term(self) -> bool:
        """Return True whatever was committed."""
        return True


class OverlappingChanges(Raft):
    """A membership change begins before the previous one, or the leader's first entry, is committed.

    Quorums may then not overlap: this is the flaw of single-server changes that was found in 2015.
    """

    class _Membership(Membership):
        def check_can_change(self) -> None:
            if not self.raft.is_leader:
                raise NotLeaderError

        def add(self, now: float, member: Member) -> int:
            configuration = self.raft.configuration
            if configuration.get(member.id) is None:
                return super().add(now, member)
            return self.change(now, configuration.with_member(member))

    membership_type = _Membership


class HalfIsQuorum(Raft):
    """Half of an even number of voters elect a leader."""

    class _Election(Election):
        def count_votes(self, now: float) -> None:
            voters = self.raft.configuration.voters
            if sum(self.votes.get(voter, False) for voter in voters) * 2 == len(voters):
                self.votes |= dict.fromkeys(voters, True)
            super().count_votes(now)

    election_type = _Election


class CountsStaleVotes(Raft):
    """A vote of an earlier term is counted in the current term."""

    class _Election(Election):
        def on_request_vote_response(self, now: float, sender: str, response: RequestVoteResponse) -> None:
            term = self.raft.term + response.pre_vote
            super().on_request_vote_response(
                now, sender, RequestVoteResponse(term, response.granted, response.pre_vote)
            )

    election_type = _Election


class AppliesUncommitted(Raft):
    """Entries are applied as soon as they are written to disk, before they are committed."""

    def take_committed_entries(self) -> list[Entry]:
        """Treat all durable entries of this member as committed."""
        self.commit_index, actual_commit_index = max(self.commit_index, self.stable_index), self.commit_index
        entries = super().take_committed_entries()
        self.commit_index = max(actual_commit_index, self.applied_index)
        return entries


class SnapshotDropsLog(Raft):
    """A restarted member drops the log entries after its snapshot."""

    def __init__(
        self,
        member_id: str,
        now: float,
        seed: int,
        base: SnapshotMetadata,
        entries: list[Entry] | None = None,
        *other_arguments: object,
    ) -> None:
        super().__init__(member_id, now, seed, base, entries, *other_arguments)  # type: ignore[arg-type]
        if base.index:
            self.log = Log(base, [])
            self.stable_index = self.log.last_index


class TreatsRejectionAsMatch(Raft):
    """The leader treats a rejection as success: it assumes that the follower has all entries sent."""

    class _Replication(Replication):
        def on_append_entries_response(
            self, now: float, sender: str, progress: Progress, response: AppendEntriesResponse
        ) -> None:
            match = max(response.match_index, progress.next_index - 1)
            accepted = AppendEntriesResponse(
                response.term, True, match, response.prev_log_index, response.heartbeat_round
            )
            super().on_append_entries_response(now, sender, progress, accepted)

    replication_type = _Replication


ALL_FAULTS = Faults()
MEMBERSHIP_CHANGES = Faults(membership_change=9.0, crash=0.5, partition=2.5, pause=0.0)
LARGE_CLOCK_DRIFT = dataclasses.replace(SMALL_LIMITS, max_clock_drift=0.4)
SLOW_DISKS = Faults(
    crash=3.0,
    partition=2.0,
    pause=0.0,
    membership_change=0.0,
    slow_sync=0.5,
    proposals_per_s=30.0,
    restart_delays_s=(0.0, 0.05),
)
PARTITIONS = Faults(
    crash=0.0, pause=0.0, partition=3.0, membership_change=0.0, transfer=0.0, proposals_per_s=5.0
)
DELAYS = Faults(crash=0.0, pause=1.0, partition=3.0, membership_change=0.0, transfer=0.0, delay=0.2)
TRANSFERS = Faults(transfer=3.0, crash=0.0, pause=1.0, membership_change=0.0)


@dataclass(frozen=True, slots=True)
class Trial:
    """Parameters of a run that detects a mutation within few seeds."""

    faults: Faults = ALL_FAULTS
    members: int = 3
    settings: RaftSettings = SMALL_LIMITS


# Mutations that runs of acceptable length do not detect have no trial here. Random walks of the model
# explorer detect them, or a test constructs the failing sequence of events.
MUTATIONS: dict[type[Raft], Trial] = {
    SendsBeforeSync: Trial(SLOW_DISKS),
    VotesTwice: Trial(),
    VotesForStaleLogs: Trial(),
    CountsUnsyncedEntry: Trial(SLOW_DISKS),
    KeepsConflictingEntries: Trial(),
    SkipsConsistencyCheck: Trial(),
    CommitsUnmatchedEntries: Trial(),
    LeaseIgnoresDrift: Trial(PARTITIONS, settings=LARGE_CLOCK_DRIFT),
    LeaseFromResponse: Trial(DELAYS),
    LeaseKeptDuringTransfer: Trial(TRANSFERS),
    SkipsReadConfirmation: Trial(),
    ReadsBeforeOwnCommit: Trial(),
    OverlappingChanges: Trial(MEMBERSHIP_CHANGES),
    HalfIsQuorum: Trial(members=4),
    AppliesUncommitted: Trial(),
    SnapshotDropsLog: Trial(),
    TreatsRejectionAsMatch: Trial(),
}
FOUND_BY_WALKS: tuple[type[Raft], ...] = (VoteNotSynced, CountsStaleVotes, VotesTwice)


def find_violation(mutation: type[Raft], seeds: range, duration_s: float = 20.0) -> Violation | None:
    """Returns the violation of the first seed whose run detects the mutation, or None."""
    trial = MUTATIONS[mutation]
    for seed in seeds:
        try:
            Simulation(seed, trial.members, mutation, trial.faults, trial.settings).run(duration_s)
        except AssertionError as violation:
            return Violation(seed, str(violation))
    return None
