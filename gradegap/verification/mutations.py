"""Known mistakes in consensus cores, one class each, to see that the simulator finds them.

Each was made by somebody: in first versions of Raft implementations, or on the way here. `faults` names
what a run must have for the mistake to show within few seeds.
"""

from __future__ import annotations

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
from gradegap.raft.leadership_transfer import LeadershipTransfer
from gradegap.raft.log import Log
from gradegap.raft.membership import Membership
from gradegap.raft.read_index import ReadIndexQueue
from gradegap.raft.replication import Replication
from gradegap.verification.simulator import Faults, Sim


class VoteNotSynced(Raft):
    """The vote is given before it is on disk, so that a crash forgets it."""

    def persist_hard_state(self) -> None:
        """Forgets the vote."""
        self.pending.hard_state = HardState(self.term, "")


class TermNotSynced(Raft):
    """A message goes out before what it stands for is on disk."""

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
    """Answers for an entry of an earlier term are counted (Raft paper, figure 8)."""

    class _Replication(Replication):
        def can_commit(self, index: int) -> bool:
            return True

    replication_type = _Replication


class CountsItselfTooEarly(Raft):
    """The leader counts its own entry before it is on its disk."""

    class _Replication(Replication):
        def append(self, kind: EntryKind, data: bytes) -> int:
            index = super().append(kind, data)
            self.raft.stable_index = index
            return index

    replication_type = _Replication


class KeepsConflicts(Raft):
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


class IgnoresWhatComesBefore(Raft):
    """A follower doesn't look whether the entry before fits."""

    class _Follower(Follower):
        def on_append_entries(self, now: float, sender: str, request: AppendEntries) -> None:
            log = self.raft.log
            term = log.term_at(request.prev_log_index)
            if term is not None and request.prev_log_index >= log.base.index:
                request = msgspec.structs.replace(request, prev_log_term=term)
            super().on_append_entries(now, sender, request)

    follower_type = _Follower


class CommitsBeyondWhatItMatched(Raft):
    """The leader's commit index is taken as it is, whatever stands at those indexes here."""

    class _Follower(Follower):
        def on_append_entries(self, now: float, sender: str, request: AppendEntries) -> None:
            super().on_append_entries(now, sender, request)
            raft = self.raft
            raft.commit_index = max(raft.commit_index, min(request.leader_commit, raft.log.last_index))

    follower_type = _Follower


class LeaseWithoutMargin(Raft):
    """The lease is as long as the promise, whatever the clocks do."""

    class _Heartbeats(Heartbeats):
        def lease_until(self, now: float) -> float:
            until = super().lease_until(now)
            settings = self.raft.settings
            return until if until == NEVER else until + settings.election_timeout_s * settings.max_clock_drift

    heartbeats_type = _Heartbeats


class LeaseFromTheAnswer(Raft):
    """The lease is counted from when an answer came, not from when the question went."""

    class _Heartbeats(Heartbeats):
        def followed_since(self, now: float) -> float:
            peers = self.raft.peers
            voters = [peers[v].last_response_at for v in self.raft.configuration.voters if v in peers]
            heard = sorted([*voters, now])
            return heard[(len(heard) - 1) // 2]

    heartbeats_type = _Heartbeats


class PromiseForgottenAtRestart(Raft):
    """A member that starts anew votes at once, whatever its earlier life had promised."""

    class _Election(Election):
        def is_leader_alive(self, now: float) -> bool:
            return self.raft.leader_id != "" and super().is_leader_alive(now)

    election_type = _Election


class LeaseKeptWhileHandingOver(Raft):
    """The leader tells another to lead, and still counts on nobody else being elected."""

    class _Handover(LeadershipTransfer):
        def proceed(self) -> None:
            super().proceed()
            self.timeout_sent = False

    leadership_transfer_type = _Handover


class ReadsUnconfirmed(Raft):
    """A leader answers reads because it was one a moment ago."""

    class _Reads(ReadIndexQueue):
        def request(self, now: float, request_id: int) -> None:
            if not self.raft.is_leader:
                raise NotLeaderError
            self.raft.pending.read_states.append(ReadState(request_id, self.raft.commit_index))

    read_index_queue_type = _Reads


class ReadsBeforeItsFirstCommit(Raft):
    """A new leader answers reads from a commit index that an earlier leader was ahead of."""

    def commits_own_term(self) -> bool:
        """Always, whatever was committed."""
        return True


class ChangesAtOnce(Raft):
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


class HalfIsEnough(Raft):
    """With an even number of voters, half of them elect a leader."""

    class _Election(Election):
        def count_votes(self, now: float) -> None:
            voters = self.raft.configuration.voters
            if sum(self.votes.get(v, False) for v in voters) * 2 == len(voters):
                self.votes |= dict.fromkeys(voters, True)
            super().count_votes(now)

    election_type = _Election


class StaleAnswersCount(Raft):
    """An answer from an earlier term is counted for this one."""

    class _Election(Election):
        def on_request_vote_response(self, now: float, sender: str, response: RequestVoteResponse) -> None:
            term = self.raft.term + response.pre_vote
            super().on_request_vote_response(
                now, sender, RequestVoteResponse(term, response.granted, response.pre_vote)
            )

    election_type = _Election


class AppliesWhatIsNotCommitted(Raft):
    """Entries are applied as soon as they are written."""

    def take_committed_entries(self) -> list[Entry]:
        """Takes all that is on this disk to be committed."""
        self.commit_index, kept = max(self.commit_index, self.stable_index), self.commit_index
        entries = super().take_committed_entries()
        self.commit_index = max(kept, self.applied_index)
        return entries


class SnapshotForgetsTheLog(Raft):
    """A restarted member takes its log to begin anew behind its snapshot."""

    def __init__(
        self,
        me: str,
        now: float,
        seed: int,
        base: SnapshotMetadata,
        entries: list[Entry] | None = None,
        *more: object,
    ) -> None:
        super().__init__(me, now, seed, base, entries, *more)  # type: ignore[arg-type]
        if base.index:
            self.log = Log(base, [])
            self.stable_index = self.log.last_index


class MatchFromTheLength(Raft):
    """A refusal is taken for an answer: the leader believes what it has sent to be there."""

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


EVERYTHING = Faults()
MEMBERS = Faults(change=9.0, crash=0.5, cut=2.5, pause=0.0)
SMALL = RaftSettings(max_message_bytes=60, max_inflight_messages=4, snapshot_chunk_bytes=5)
DRIFT = RaftSettings(
    max_message_bytes=60, max_inflight_messages=4, snapshot_chunk_bytes=5, max_clock_drift=0.4
)
AT_ONCE = (0.0, 0.05)
SLOW_DISKS = Faults(crash=3.0, cut=2.0, pause=0.0, change=0.0, slow_sync=0.5, load=30.0, away=AT_ONCE)
CUT_OFF = Faults(crash=0.0, pause=0.0, cut=3.0, change=0.0, transfer=0.0, load=5.0)
ANSWERS = Faults(crash=0.0, pause=1.0, cut=3.0, change=0.0, transfer=0.0, late=0.2)
HANDING = Faults(transfer=3.0, crash=0.0, pause=1.0, change=0.0)

# What shows each: the number of members, the faults and the settings of the run. Some show in no run of
# this kind that is short enough; `explore` walks to them, or a test leads there step by step.
BUGS: dict[type[Raft], tuple[int, Faults, RaftSettings]] = {
    TermNotSynced: (3, SLOW_DISKS, SMALL),
    VotesTwice: (3, EVERYTHING, SMALL),
    VotesForStaleLogs: (3, EVERYTHING, SMALL),
    CountsItselfTooEarly: (3, SLOW_DISKS, SMALL),
    KeepsConflicts: (3, EVERYTHING, SMALL),
    IgnoresWhatComesBefore: (3, EVERYTHING, SMALL),
    CommitsBeyondWhatItMatched: (3, EVERYTHING, SMALL),
    LeaseWithoutMargin: (3, CUT_OFF, DRIFT),
    LeaseFromTheAnswer: (3, ANSWERS, SMALL),
    LeaseKeptWhileHandingOver: (3, HANDING, SMALL),
    ReadsUnconfirmed: (3, EVERYTHING, SMALL),
    ReadsBeforeItsFirstCommit: (3, EVERYTHING, SMALL),
    ChangesAtOnce: (3, MEMBERS, SMALL),
    HalfIsEnough: (4, EVERYTHING, SMALL),
    AppliesWhatIsNotCommitted: (3, EVERYTHING, SMALL),
    SnapshotForgetsTheLog: (3, EVERYTHING, SMALL),
    MatchFromTheLength: (3, EVERYTHING, SMALL),
}
BY_WALKS: tuple[type[Raft], ...] = (VoteNotSynced, StaleAnswersCount, VotesTwice)


def find(bug: type[Raft], seeds: range, seconds: float = 20.0) -> tuple[int, str] | None:
    """The first seed whose run shows the mistake, and the rule that it breaks."""
    members, faults, settings = BUGS[bug]
    for seed in seeds:
        try:
            Sim(seed, members, bug, faults, settings).run(seconds)
        except AssertionError as breach:
            return seed, str(breach)
    return None
