"""Known mistakes in consensus cores, one class each, to see that the checkers find them.

Each was made by somebody: in first versions of Raft implementations, or on the way here.
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
    """The vote is given before it is on disk, so that a crash forgets it."""

    def persist_hard_state(self) -> None:
        """Forgets the vote."""
        self.pending.hard_state = HardState(self.term, "")


class SendsBeforeSync(Raft):
    """A message is sent before the state that it rests on is on disk."""

    def take_ready(self) -> Ready:
        """Sends all messages early."""
        ready = super().take_ready()
        ready.immediate_messages += ready.messages
        ready.messages = []
        return ready


class VotesTwice(Raft):
    """A second candidate of the same term gets a vote too."""

    class _Election(Election):
        def on_request_vote(self, now: float, sender: str, request: RequestVote) -> None:
            if not request.pre_vote and request.term == self.raft.term:
                self.raft.voted_for = ""
            super().on_request_vote(now, sender, request)

    election_type = _Election


class VotesForStaleLogs(Raft):
    """The candidate's log is not looked at."""

    class _Election(Election):
        def on_request_vote(self, now: float, sender: str, request: RequestVote) -> None:
            newest = RequestVote(
                request.term, 1 << 60, 1 << 60, request.pre_vote, request.leadership_transfer
            )
            super().on_request_vote(now, sender, newest)

    election_type = _Election


class CommitsEarlierTerms(Raft):
    """Responses for an entry of an earlier term are counted (Raft paper, figure 8)."""

    class _Replication(Replication):
        def can_commit(self, index: int) -> bool:
            return True

    replication_type = _Replication


class CountsUnsyncedEntry(Raft):
    """The leader counts its own entry before it is on its disk."""

    class _Replication(Replication):
        def append(self, kind: EntryKind, data: bytes) -> int:
            index = super().append(kind, data)
            self.raft.stable_index = index
            return index

    replication_type = _Replication


class KeepsConflictingEntries(Raft):
    """A follower takes new entries, but leaves those in place that they contradict."""

    class _Follower(Follower):
        def on_append_entries(self, now: float, sender: str, request: AppendEntries) -> None:
            raft, log = self.raft, self.raft.log
            kept = tuple(e for e in request.entries if (log.term_at(e.index) or e.term) == e.term)
            if len(kept) == len(request.entries):
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
    """A follower doesn't look whether the entry before fits."""

    class _Follower(Follower):
        def on_append_entries(self, now: float, sender: str, request: AppendEntries) -> None:
            log = self.raft.log
            term = log.term_at(request.prev_log_index)
            if term is not None and request.prev_log_index >= log.base.index:
                request = msgspec.structs.replace(request, prev_log_term=term)
            super().on_append_entries(now, sender, request)

    follower_type = _Follower


class CommitsUnmatchedEntries(Raft):
    """The leader's commit index is taken as it is, whatever entries are at those indexes here."""

    class _Follower(Follower):
        def on_append_entries(self, now: float, sender: str, request: AppendEntries) -> None:
            super().on_append_entries(now, sender, request)
            raft = self.raft
            raft.commit_index = max(raft.commit_index, min(request.leader_commit, raft.log.last_index))

    follower_type = _Follower


class LeaseIgnoresDrift(Raft):
    """The lease is as long as the promise, whatever the clocks do."""

    class _Heartbeats(Heartbeats):
        def lease_until(self, now: float) -> float:
            until = super().lease_until(now)
            settings = self.raft.settings
            return until if until == NEVER else until + settings.election_timeout_s * settings.max_clock_drift

    heartbeats_type = _Heartbeats


class LeaseFromResponse(Raft):
    """The lease is counted from when a response came, not from when the request was sent."""

    class _Heartbeats(Heartbeats):
        def followed_since(self, now: float) -> float:
            peers = self.raft.peers
            voters = [peers[v].last_response_at for v in self.raft.configuration.voters if v in peers]
            responses = sorted([*voters, now])
            return responses[(len(responses) - 1) // 2]

    heartbeats_type = _Heartbeats


class ForgetsPromiseAtRestart(Raft):
    """A member that starts anew votes at once, whatever its earlier incarnation had promised."""

    class _Election(Election):
        def is_leader_alive(self, now: float) -> bool:
            return self.raft.leader_id != "" and super().is_leader_alive(now)

    election_type = _Election


class LeaseKeptDuringTransfer(Raft):
    """The leader has another call its election, and still holds its lease."""

    class _Transfer(LeadershipTransfer):
        def proceed(self) -> None:
            super().proceed()
            if self.timeout_sent:
                self.state = TransferState.CATCHING_UP

    leadership_transfer_type = _Transfer


class SkipsReadConfirmation(Raft):
    """A leader answers reads because it was one a moment ago."""

    class _Reads(ReadIndexQueue):
        def request(self, now: float, request_id: int) -> None:
            if not self.raft.is_leader:
                raise NotLeaderError
            self.raft.pending.read_states.append(ReadState(request_id, self.raft.commit_index))

    read_index_queue_type = _Reads


class ReadsBeforeOwnCommit(Raft):
    """A new leader answers reads from a commit index that an earlier leader was ahead of."""

    def commits_own_term(self) -> bool:
        """Always, whatever was committed."""
        return True


class OverlappingChanges(Raft):
    """Members change before the change before is committed, or before the leader committed anything.

    Quorums then don't overlap: the flaw found in single-server changes in 2015.
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
    """With an even number of voters, half of them elect a leader."""

    class _Election(Election):
        def count_votes(self, now: float) -> None:
            voters = self.raft.configuration.voters
            if sum(self.votes.get(v, False) for v in voters) * 2 == len(voters):
                self.votes |= dict.fromkeys(voters, True)
            super().count_votes(now)

    election_type = _Election


class CountsStaleVotes(Raft):
    """A vote from an earlier term is counted for this one."""

    class _Election(Election):
        def on_request_vote_response(self, now: float, sender: str, response: RequestVoteResponse) -> None:
            term = self.raft.term + response.pre_vote
            super().on_request_vote_response(
                now, sender, RequestVoteResponse(term, response.granted, response.pre_vote)
            )

    election_type = _Election


class AppliesUncommitted(Raft):
    """Entries are applied as soon as they are written."""

    def take_committed_entries(self) -> list[Entry]:
        """Takes all that is on this disk to be committed."""
        self.commit_index, kept = max(self.commit_index, self.stable_index), self.commit_index
        entries = super().take_committed_entries()
        self.commit_index = max(kept, self.applied_index)
        return entries


class SnapshotDropsLog(Raft):
    """A restarted member takes its log to begin anew behind its snapshot."""

    def __init__(
        self,
        member_id: str,
        now: float,
        seed: int,
        base: SnapshotMetadata,
        entries: list[Entry] | None = None,
        *more: object,
    ) -> None:
        super().__init__(member_id, now, seed, base, entries, *more)  # type: ignore[arg-type]
        if base.index:
            self.log = Log(base, [])
            self.stable_index = self.log.last_index


class TreatsRejectionAsMatch(Raft):
    """A rejection counts as success: the leader believes what it has sent to be there."""

    class _Replication(Replication):
        def on_append_entries_response(
            self, now: float, sender: str, progress: Progress, response: AppendEntriesResponse
        ) -> None:
            match = max(response.match_index, progress.next_index - 1)
            taken = AppendEntriesResponse(
                response.term, True, match, response.prev_log_index, response.heartbeat_round
            )
            super().on_append_entries_response(now, sender, progress, taken)

    replication_type = _Replication


ALL_FAULTS = Faults()
MEMBERSHIP_CHANGES = Faults(membership_change=9.0, crash=0.5, partition=2.5, pause=0.0)
LARGE_DRIFT = dataclasses.replace(SMALL_LIMITS, max_clock_drift=0.4)
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
    """The run that shows a mutation within few seeds."""

    faults: Faults = ALL_FAULTS
    members: int = 3
    settings: RaftSettings = SMALL_LIMITS


# Some show in no run of this kind that is short enough: random walks of the model explorer come to them, or a
# test leads there step by step.
MUTATIONS: dict[type[Raft], Trial] = {
    SendsBeforeSync: Trial(SLOW_DISKS),
    VotesTwice: Trial(),
    VotesForStaleLogs: Trial(),
    CountsUnsyncedEntry: Trial(SLOW_DISKS),
    KeepsConflictingEntries: Trial(),
    SkipsConsistencyCheck: Trial(),
    CommitsUnmatchedEntries: Trial(),
    LeaseIgnoresDrift: Trial(PARTITIONS, settings=LARGE_DRIFT),
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


def find(mutation: type[Raft], seeds: range, seconds: float = 20.0) -> Violation | None:
    """The first seed whose run shows the mutation, and the invariant that it breaks."""
    trial = MUTATIONS[mutation]
    for seed in seeds:
        try:
            Simulation(seed, trial.members, mutation, trial.faults, trial.settings).run(seconds)
        except AssertionError as violation:
            return Violation(seed, str(violation))
    return None
