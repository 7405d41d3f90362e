"""Known mistakes in consensus cores, one class each, to see that the simulator finds them.

Each was made by somebody: in first versions of Raft implementations, or on the way here. `faults` names
what a run must have for the mistake to show within few seeds.
"""

from __future__ import annotations

from gradegap.check.sim import Faults, Sim
from gradegap.raft.core import NEVER, Progress, Raft, Refused
from gradegap.raft.log import Log, config_data
from gradegap.raft.types import (
    Append,
    Appended,
    Config,
    Entry,
    HardState,
    Kind,
    Member,
    Output,
    SnapMeta,
    Tuning,
    Vote,
    Voted,
)


class VoteNotSynced(Raft):
    """The vote is given before it is on disk, so that a crash forgets it."""

    def _keep_hard(self) -> None:
        self.out.hard = HardState(self.term, "")


class TermNotSynced(Raft):
    """A message goes out before what it stands for is on disk."""

    def take(self) -> Output:
        out = super().take()
        out.early += out.messages
        out.messages = []
        return out


class VotesTwice(Raft):
    """A second candidate of the same term gets a vote too."""

    def _on_vote(self, now: float, sender: str, m: Vote) -> None:
        if not m.pre and m.term == self.term:
            self.vote = ""
        super()._on_vote(now, sender, m)


class VotesForStaleLogs(Raft):
    """The candidate's log is not looked at."""

    def _on_vote(self, now: float, sender: str, m: Vote) -> None:
        newest = Vote(m.term, 1 << 60, 1 << 60, m.pre, m.forced)
        super()._on_vote(now, sender, newest)


class CommitsEarlierTerms(Raft):
    """Answers for an entry of an earlier term are counted (Raft paper, figure 8)."""

    def _may_commit(self, index: int) -> bool:
        return True


class CountsItselfTooEarly(Raft):
    """The leader counts its own entry before it is on its disk."""

    def _append(self, kind: Kind, data: bytes) -> int:
        index = super()._append(kind, data)
        self.stable = index
        return index


class KeepsConflicts(Raft):
    """A follower takes new entries, but leaves those in place that they contradict."""

    def _on_append(self, now: float, sender: str, m: Append) -> None:
        kept = tuple(e for e in m.entries if (self.log.term(e.index) or e.term) == e.term)
        if len(kept) == len(m.entries):
            super()._on_append(now, sender, m)
            return
        match = m.prev_index + len(m.entries)
        self.commit = max(self.commit, min(m.commit, match, self.log.last_index))
        self.out.messages.append((sender, Appended(self.term, True, match, m.prev_index, m.round)))


class IgnoresWhatComesBefore(Raft):
    """A follower doesn't look whether the entry before fits."""

    def _on_append(self, now: float, sender: str, m: Append) -> None:
        term = self.log.term(m.prev_index)
        if term is None or m.prev_index < self.log.base.index:
            super()._on_append(now, sender, m)
        else:
            blind = Append(m.term, m.prev_index, term, m.commit, m.round, m.entries)
            super()._on_append(now, sender, blind)


class CommitsBeyondWhatItMatched(Raft):
    """The leader's commit index is taken as it is, whatever stands at those indexes here."""

    def _on_append(self, now: float, sender: str, m: Append) -> None:
        super()._on_append(now, sender, m)
        self.commit = max(self.commit, min(m.commit, self.log.last_index))


class LeaseWithoutMargin(Raft):
    """The lease is as long as the promise, whatever the clocks do."""

    def lease_until(self, now: float) -> float:
        until = super().lease_until(now)
        return until if until == NEVER else until + self.tuning.election * self.tuning.drift


class LeaseFromTheAnswer(Raft):
    """The lease is counted from when an answer came, not from when the question went."""

    def _quorum_since(self, now: float) -> float:
        voters = [self.peers[v].heard_at for v in self.config.voters if v in self.peers]
        heard = sorted([*voters, now])
        return heard[(len(heard) - 1) // 2]


class PromiseForgottenAtRestart(Raft):
    """A member that starts anew votes at once, whatever its earlier life had promised."""

    def _promised(self, now: float) -> bool:
        return self.leader != "" and super()._promised(now)


class LeaseKeptWhileHandingOver(Raft):
    """The leader tells another to lead, and still counts on nobody else being elected."""

    def _may_hand_over(self, now: float) -> None:
        super()._may_hand_over(now)
        self.told_now = False


class ReadsUnconfirmed(Raft):
    """A leader answers reads because it was one a moment ago."""

    def read(self, now: float, number: int) -> None:
        if not self.leads:
            raise Refused("not_leader")
        self.out.reads.append((number, self.commit))


class ReadsBeforeItsFirstCommit(Raft):
    """A new leader answers reads from a commit index that an earlier leader was ahead of."""

    def _leads_surely(self) -> bool:
        return True


class ChangesAtOnce(Raft):
    """Members change while the change before is not committed, or before the leader committed anything:
    quorums that don't overlap (the flaw found in single-server changes in 2015)."""

    def _may_change(self) -> None:
        if not self.leads:
            raise Refused("not_leader")

    def _change(self, now: float, config: Config) -> int:
        index = self._append(Kind.CONFIG, config_data(config))
        self._know_members(now)
        self.flush(now)
        return index

    def add(self, now: float, member: Member) -> int:
        there = self.config.get(member.id)
        return super().add(now, member) if there is None else self._change(now, self.config.plus(member))


class HalfIsEnough(Raft):
    """With an even number of voters, half of them elect a leader."""

    def _count_votes(self, now: float) -> None:
        voters = self.config.voters
        if sum(self.votes.get(v, False) for v in voters) * 2 == len(voters):
            self.votes |= dict.fromkeys(voters, True)
        super()._count_votes(now)


class StaleAnswersCount(Raft):
    """An answer from an earlier term is counted for this one."""

    def _on_voted(self, now: float, sender: str, m: Voted) -> None:
        super()._on_voted(now, sender, Voted(self.term + m.pre, m.granted, m.pre))


class AppliesWhatIsNotCommitted(Raft):
    """Entries are applied as soon as they are written."""

    def _to_apply(self) -> list[Entry]:
        self.commit, kept = max(self.commit, self.stable), self.commit
        entries = super()._to_apply()
        self.commit = max(kept, self.applied)
        return entries


class SnapshotForgetsTheLog(Raft):
    """A restarted member takes its log to begin anew behind its snapshot."""

    def __init__(
        self,
        me: str,
        now: float,
        seed: int,
        base: SnapMeta,
        entries: list[Entry] | None = None,
        *more: object,
    ) -> None:
        super().__init__(me, now, seed, base, entries, *more)  # type: ignore[arg-type]
        if base.index:
            self.log = Log(base, [])
            self.stable = self.log.last_index


class MatchFromTheLength(Raft):
    """A refusal is taken for an answer: the leader believes what it has sent to be there."""

    def _on_appended(self, now: float, sender: str, p: Progress, m: Appended) -> None:
        taken = Appended(m.term, True, max(m.match, p.next - 1), m.prev_index, m.round)
        super()._on_appended(now, sender, p, taken)


EVERYTHING = Faults()
MEMBERS = Faults(change=9.0, crash=0.5, cut=2.5, pause=0.0)
SMALL = Tuning(batch=60, window=4, chunk=5)
DRIFT = Tuning(batch=60, window=4, chunk=5, drift=0.4)
AT_ONCE = (0.0, 0.05)
SLOW_DISKS = Faults(crash=3.0, cut=2.0, pause=0.0, change=0.0, slow_sync=0.5, load=30.0, away=AT_ONCE)
CUT_OFF = Faults(crash=0.0, pause=0.0, cut=3.0, change=0.0, transfer=0.0, load=5.0)
ANSWERS = Faults(crash=0.0, pause=1.0, cut=3.0, change=0.0, transfer=0.0, late=0.2)
HANDING = Faults(transfer=3.0, crash=0.0, pause=1.0, change=0.0)

# What shows each: the number of members, the faults and the tuning of the run. Some show in no run of
# this kind that is short enough; `explore` walks to them, or a test leads there step by step.
BUGS: dict[type[Raft], tuple[int, Faults, Tuning]] = {
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
    members, faults, tuning = BUGS[bug]
    for seed in seeds:
        try:
            Sim(seed, members, bug, faults, tuning).run(seconds)
        except AssertionError as breach:
            return seed, str(breach)
    return None
