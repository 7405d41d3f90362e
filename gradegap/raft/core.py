"""The consensus core: Raft with pre-vote, check-quorum, ReadIndex, learners and leases, and no I/O.

It is told the time (seconds, any steady clock) with every call, and what it wants done gathers in an
`Output` that `take` hands over. The driver persists, then sends, then says `persisted`. Nothing here reads
a clock, a socket or a file, so that the simulator in `gradegap.check` can run the very same code.

Sources: Ongaro, "Consensus: Bridging Theory and Practice" (thesis); single-server changes with the
correction he published on raft-dev in 2015: a leader changes members only once it has committed an entry
of its own term.
"""

from __future__ import annotations

import random
import zlib
from collections import deque
from dataclasses import dataclass, field

from gradegap.raft.log import Log, config_data
from gradegap.raft.types import (
    Append,
    Appended,
    Config,
    Entry,
    HardState,
    Kind,
    Member,
    Message,
    Output,
    Role,
    Snap,
    SnapMeta,
    Snapped,
    TimeoutNow,
    Tuning,
    Vote,
    Voted,
)

NEVER = -1e18
PROBE = 4096  # bytes of entries sent along while it is not known whether they fit


class Refused(Exception):
    """A wish that the core turns down; its text says why, its first word is the reason that is counted."""


@dataclass(slots=True)
class Progress:
    """What a leader knows of one other member."""

    next: int
    match: int = 0
    streaming: bool = False  # its log is known to fit: entries are sent ahead of its answers
    waiting: bool = False  # not streaming: one message is out, and the next waits for its answer
    flying: deque[int] = field(default_factory=deque)  # last indexes of what was sent ahead
    round: int = 0  # the latest that it answered
    heard_at: float = NEVER
    snapshot: int = 0  # the index of the snapshot that it is being sent
    offset: int = 0


class Raft:
    """One member. `me` is its identity for this life of its disk."""

    def __init__(
        self,
        me: str,
        now: float,
        seed: int,
        base: SnapMeta,
        entries: list[Entry] | None = None,
        hard: HardState | None = None,
        applied: int = 0,
        tuning: Tuning | None = None,
    ) -> None:
        self.me = me
        self.tuning = tuning or Tuning()
        self.rng = random.Random(seed)
        self.log = Log(base, entries or [])
        hard = hard or HardState()
        self.term, self.vote = hard.term, hard.vote
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit = max(base.index, applied)
        self.applied = self.commit
        self.stable = self.log.last_index
        # As if a leader had just been heard: the promise not to vote that an earlier life of this process
        # may have given must have run out before it votes again, or leases would not hold.
        self.contact = now
        self.votes: dict[str, bool] = {}
        self.peers: dict[str, Progress] = {}
        self.round = 0
        self.rounds: deque[tuple[int, float]] = deque()  # rounds and when they began, oldest first
        self.reads: list[tuple[int, int, int]] = []  # number, index, round that must be answered
        self.beat_at = NEVER
        self.led_at = NEVER
        self.transferee = ""
        self.transfer_by = NEVER
        self.told_now = False  # TimeoutNow is out in this term: no lease holds any more
        self.uncommitted = 0
        self.outgoing: tuple[SnapMeta, bytes, int] | None = None
        self.incoming: tuple[SnapMeta, bytearray] | None = None
        self.out = Output()
        self._wait_again(now)

    # What a driver asks

    def take(self) -> Output:
        """All that is to be done by now; the next call begins anew."""
        out, self.out = self.out, Output()
        out.apply = self._to_apply()
        return out

    def _to_apply(self) -> list[Entry]:
        last = min(self.commit, self.stable)
        if last <= self.applied:
            return []
        entries = self.log.slice(self.applied + 1, 1 << 40, last)
        self.applied = last
        return entries

    def deadline(self) -> float:
        """When `tick` is wanted at the latest."""
        if self.role is Role.LEADER:
            return self.beat_at + self.tuning.heartbeat
        return self.timeout_at

    @property
    def config(self) -> Config:
        return self.log.config

    @property
    def leads(self) -> bool:
        return self.role is Role.LEADER

    def lease_until(self, now: float) -> float:
        """Until when, by this clock, no other member can have become leader; `NEVER` without a lease.
        A quorum answered a round that began at t, and gives nobody a vote for `election` s after t by its
        own clocks, which may run faster than this one by the bound on drift."""
        if not self.leads or self.told_now or not self._leads_surely():
            return NEVER
        began = self._quorum_since(now)
        return NEVER if began == NEVER else began + self.tuning.election * (1.0 - self.tuning.drift)

    def _leads_surely(self) -> bool:
        """Whether the commit index is known to cover all that earlier leaders committed."""
        return self.log.term(self.commit) == self.term

    def config_index_committed(self) -> bool:
        """Whether the members are settled: no change is under way."""
        return self.log.config_index <= self.commit

    def status(self, now: float) -> dict[str, object]:
        return {
            "id": self.me,
            "role": self.role.value,
            "term": self.term,
            "leader": self.leader,
            "commit": self.commit,
            "applied": self.applied,
            "last_index": self.log.last_index,
            "first_index": self.log.base.index + 1,
            "lease_ms": max(0, round((self.lease_until(now) - now) * 1000)) if self.leads else 0,
        }

    # Time

    def tick(self, now: float) -> None:
        if self.leads:
            if now - self.led_at >= self.tuning.election and self._quorum_since(now) < (
                now - self.tuning.election
            ):
                # Check-quorum (thesis, 6.2): guards against a cut-off leader that goes on as if it led.
                self._follow(now, self.term, "")
                return
            if self.transferee and now >= self.transfer_by:
                self._transfer_failed(now)
                if not self.leads:
                    return
            if now >= self.beat_at + self.tuning.heartbeat:
                self._beat(now)
        elif now >= self.timeout_at:
            self._wait_again(now)
            if self._may_campaign():
                self._campaign(now, pre=True)

    def _may_campaign(self) -> bool:
        """A voter; or one that is so until its own removal is committed (thesis, 4.2.2). Guards against a
        cluster without a leader for good: who is removed may alone have the log to be elected with."""
        log = self.log
        if self.me in log.config.voters:
            return True
        return log.config_index > self.commit and self.me in log.config_at(log.config_index - 1).voters

    def _wait_again(self, now: float) -> None:
        self.timeout_at = now + self.tuning.election * self.rng.uniform(1.0, 2.0)

    def _quorum_since(self, now: float) -> float:
        """The latest time since when a quorum, this member in it, has certainly followed."""
        voters = self.config.voters
        rounds = sorted(
            (self.round if v == self.me else self.peers[v].round if v in self.peers else 0) for v in voters
        )
        if not rounds:
            return NEVER
        agreed = rounds[(len(rounds) - 1) // 2]
        if agreed == self.round and len(voters) == 1:
            return now
        began = NEVER
        for number, at in self.rounds:
            if number > agreed:
                break
            began = at
        while len(self.rounds) > 1 and self.rounds[1][0] <= agreed:
            self.rounds.popleft()
        return began

    # Elections

    def _campaign(self, now: float, pre: bool, forced: bool = False) -> None:
        self._wait_again(now)
        self.votes = {self.me: True}
        self.leader = ""
        if pre:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self.term += 1
            self.vote = self.me
            self._keep_hard()
        message = Vote(self.term + pre, self.log.last_index, self.log.last_term, pre, forced)
        for v in self.config.voters:
            if v != self.me:
                self.out.messages.append((v, message))
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        voters = self.config.voters
        granted = sum(self.votes.get(v, False) for v in voters)
        refused = sum(not self.votes.get(v, True) for v in voters)
        if granted > len(voters) // 2:
            if self.role is Role.PRE_CANDIDATE:
                self._campaign(now, pre=False)
            else:
                self._lead(now)
        elif refused > len(voters) // 2:
            self._follow(now, self.term, "")

    def _keep_hard(self) -> None:
        self.out.hard = HardState(self.term, self.vote)

    def _follow(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self._keep_hard()
        if self.role is not Role.FOLLOWER:
            self.out.unread += [number for number, _, _ in self.reads]
            self.reads = []
            self._wait_again(now)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.transferee, self.told_now, self.outgoing = "", False, None

    def _lead(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.me
        self.led_at = now
        self.contact = now
        self.transferee, self.told_now = "", False
        self.peers = {}
        self.rounds.clear()
        self.uncommitted = sum(e.size for e in self.log.slice(self.commit + 1, 1 << 40))
        self._know_members(now)
        self._append(Kind.EMPTY, b"")
        self._beat(now)
        self._advance(now)

    def _know_members(self, now: float) -> None:
        there = {m.id for m in self.config.members}
        for gone in [p for p in self.peers if p not in there]:
            del self.peers[gone]
        for m in self.config.members:  # in their order, so that one seed gives one run
            if m.id != self.me and m.id not in self.peers:
                self.peers[m.id] = Progress(self.log.last_index + 1, heard_at=now)

    def _promised(self, now: float) -> bool:
        """Whether a leader may count on this member not to vote yet (thesis, 4.2.3 and 6.4.1)."""
        since = self._quorum_since(now) if self.leads else self.contact
        return now - since < self.tuning.election

    def _on_vote(self, now: float, sender: str, m: Vote) -> None:
        if not m.forced and self._promised(now):
            return  # guards against a removed or cut-off member that keeps calling elections
        if m.pre:
            granted = m.term > self.term and self.log.up_to_date(m.last_index, m.last_term)
            self.out.messages.append((sender, Voted(m.term if granted else self.term, granted, True)))
            return
        if m.term > self.term:
            self._follow(now, m.term, "")
        granted = (
            m.term == self.term
            and self.vote in ("", sender)
            and self.role is Role.FOLLOWER
            and self.log.up_to_date(m.last_index, m.last_term)
        )
        if granted:
            self.vote = sender
            self._keep_hard()
            self._wait_again(now)
        self.out.messages.append((sender, Voted(self.term, granted)))

    def _on_voted(self, now: float, sender: str, m: Voted) -> None:
        if not m.granted and m.term > self.term:
            self._follow(now, m.term, "")
            return
        wanted = self.term + 1 if m.pre else self.term
        if self.role is (Role.PRE_CANDIDATE if m.pre else Role.CANDIDATE) and (
            not m.granted or m.term == wanted
        ):
            self.votes[sender] = m.granted
            self._count_votes(now)

    # Messages

    def step(self, now: float, sender: str, message: Message) -> None:
        """A message from another member, told apart by who its link belongs to."""
        match message:
            case Vote():
                self._on_vote(now, sender, message)
            case Voted():
                self._on_voted(now, sender, message)
            case Append() | Snap():
                if message.term < self.term:
                    # It learns of the newer term, and that it leads no more.
                    answer = Appended(self.term, False, self.log.last_index, message_prev(message), 0)
                    self.out.messages.append((sender, answer))
                    return
                if message.term > self.term or self.role is not Role.FOLLOWER or self.leader != sender:
                    self._follow(now, message.term, sender)
                self.contact = now
                self._wait_again(now)
                if isinstance(message, Append):
                    self._on_append(now, sender, message)
                else:
                    self._on_snap(now, sender, message)
            case Appended() | Snapped():
                if message.term > self.term:
                    self._follow(now, message.term, "")
                elif self.leads and message.term == self.term and (p := self.peers.get(sender)) is not None:
                    p.heard_at = now
                    p.round = max(p.round, message.round)
                    if isinstance(message, Appended):
                        self._on_appended(now, sender, p, message)
                    else:
                        self._on_snapped(now, sender, p, message)
                    if self.leads:
                        self._confirm_reads()
            case TimeoutNow():
                if message.term == self.term and self.me in self.config.voters and not self.leads:
                    self._campaign(now, pre=False, forced=True)

    # The log, as a follower

    def _on_append(self, now: float, sender: str, m: Append) -> None:
        log = self.log
        prev, entries = m.prev_index, m.entries
        if prev < log.base.index:
            # What is compacted here is committed, and so the same there.
            entries = tuple(e for e in entries if e.index > log.base.index)
            prev = log.base.index
        elif log.term(prev) != m.prev_term:
            at, term = log.conflict(prev)
            answer = Appended(self.term, False, at, m.prev_index, m.round, term)
            self.out.messages.append((sender, answer))
            return
        for entry in entries:
            have = log.term(entry.index)
            if have == entry.term:
                continue
            if have is not None:
                self._truncate(entry.index)
            log.append(entry)
            self.out.entries.append(entry)
        match = prev + len(entries)
        self.commit = max(self.commit, min(m.commit, match))
        self.out.messages.append((sender, Appended(self.term, True, match, m.prev_index, m.round)))

    def _truncate(self, index: int) -> None:
        if index <= self.commit:
            raise AssertionError(f"entry {index} is committed and would be replaced")
        self.log.truncate(index)
        self.out.entries = [e for e in self.out.entries if e.index < index]
        self.stable = min(self.stable, index - 1)

    def _on_snap(self, now: float, sender: str, m: Snap) -> None:
        def answer(offset: int, done: bool = False) -> None:
            said = Snapped(self.term, m.meta.index, offset, m.round, done)
            self.out.messages.append((sender, said))

        if m.meta.index <= self.commit:
            self.incoming = None
            answer(0, True)
            return
        if self.incoming is None or self.incoming[0] != m.meta:
            self.incoming = (m.meta, bytearray())
        held = self.incoming[1]
        if m.offset != len(held):
            answer(len(held))  # guards against pieces that come twice or out of order
            return
        held += m.data
        if not m.done:
            answer(len(held))
            return
        meta, data = m.meta, bytes(held)
        self.incoming = None
        if zlib.crc32(data) != m.checksum:
            answer(0)
            return
        self.log.reset(meta)
        self.commit = self.applied = meta.index
        self.stable = meta.index
        self.out.entries = []
        self.out.install = (meta, data)
        self.out.apply = []
        answer(len(data), True)

    # The log, as the leader

    def _append(self, kind: Kind, data: bytes) -> int:
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self.log.append(entry)
        self.uncommitted += entry.size
        self.out.entries.append(entry)
        return entry.index

    def propose(self, now: float, data: bytes, kind: Kind = Kind.COMMAND) -> int:
        """The index at which `data` is committed, if the entry there is still of this term then."""
        if not self.leads:
            raise Refused("not_leader")
        if self.transferee:
            raise Refused("transferring leadership")
        if self.uncommitted + len(data) > self.tuning.uncommitted and self.uncommitted:
            raise Refused("busy: too much is not committed yet")
        index = self._append(kind, data)
        return index

    def flush(self, now: float) -> None:
        """Send what was proposed; once for all that came together."""
        if self.leads:
            for peer, p in self.peers.items():
                self._send(now, peer, p)
            self._advance(now)

    def persisted(self, now: float, index: int, term: int) -> None:
        """The driver has synced all entries up to this one."""
        if self.log.term(index) == term:
            self.stable = max(self.stable, index)
            if self.leads:
                self._advance(now)

    def _beat(self, now: float) -> None:
        """A new round: whoever answers it has followed since its beginning."""
        self.round += 1
        self.rounds.append((self.round, now))
        self.beat_at = now
        for peer, p in self.peers.items():
            p.waiting = False
            self._send(now, peer, p, always=True)
        self._confirm_reads()

    def _send(self, now: float, peer: str, p: Progress, always: bool = False) -> None:
        if p.snapshot or p.next <= self.log.base.index:
            self._send_snapshot(peer, p, always)
            return
        sent = False
        while p.streaming and len(p.flying) < self.tuning.window and p.next <= self.log.last_index:
            self._send_entries(peer, p, self.log.slice(p.next, self.tuning.batch))
            sent = True
        if not p.streaming and not p.waiting:
            p.waiting = sent = True
            self._send_entries(peer, p, self.log.slice(p.next, min(PROBE, self.tuning.batch)))
        if always and not sent:
            self._send_entries(peer, p, [])

    def _send_entries(self, peer: str, p: Progress, entries: list[Entry]) -> None:
        prev = p.next - 1
        term = self.log.term(prev)
        assert term is not None
        self.out.early.append((peer, Append(self.term, prev, term, self.commit, self.round, tuple(entries))))
        if entries and p.streaming:
            p.next = entries[-1].index + 1
            p.flying.append(entries[-1].index)

    def _on_appended(self, now: float, sender: str, p: Progress, m: Appended) -> None:
        p.waiting = False
        if not m.ok:
            # Guards against a late refusal of something that was since sent again and taken.
            if m.prev_index > p.match and (not p.streaming or m.prev_index < p.next):
                p.streaming = False
                p.flying.clear()
                hint = min(m.match, m.prev_index - 1)
                p.next = max(p.match, self.log.last_of_term(hint, m.hint_term)) + 1
                self._send(now, sender, p)
            return
        while p.flying and p.flying[0] <= m.match:
            p.flying.popleft()
        if p.snapshot:
            p.snapshot = p.offset = 0
        if m.match >= p.match:
            p.match = m.match
            p.next = max(p.next if p.streaming else 0, m.match + 1)
            p.streaming = True
        self._advance(now)
        if self.leads:
            self._send(now, sender, p)
            self._may_hand_over(now)

    def _commit_candidate(self) -> int:
        voters = self.config.voters
        if not voters:
            return 0
        matches = sorted(
            (self.stable if v == self.me else self.peers[v].match if v in self.peers else 0) for v in voters
        )
        return matches[(len(matches) - 1) // 2]

    def _may_commit(self, index: int) -> bool:
        # Only an entry of its own term may a leader count answers for (Raft paper, 5.4.2).
        return self.log.term(index) == self.term

    def _advance(self, now: float) -> None:
        index = self._commit_candidate()
        if index <= self.commit or not self._may_commit(index):
            return
        first = self.commit + 1
        self.commit = index
        for entry in self.log.slice(first, 1 << 40, index):
            self.uncommitted -= entry.size
        for peer, p in self.peers.items():
            if p.streaming and p.next > self.log.last_index:
                self._send_entries(peer, p, [])  # that followers apply it without waiting for a beat
        if self.log.config_index <= self.commit and self.me not in self.config.voters:
            self._follow(now, self.term, "")  # it has led its own removal to the end (thesis, 4.2.2)

    # Snapshots

    def _send_snapshot(self, peer: str, p: Progress, again: bool) -> None:
        if self.outgoing is None or self.outgoing[0].index < self.log.base.index:
            self.out.want_snapshot = True
            return
        meta, data, checksum = self.outgoing
        if p.snapshot != meta.index:
            p.snapshot, p.offset, p.streaming = meta.index, 0, False
            p.flying.clear()
        elif not again and p.waiting:
            return
        p.waiting = True
        piece = data[p.offset : p.offset + self.tuning.chunk]
        done = p.offset + len(piece) >= len(data)
        message = Snap(self.term, meta, p.offset, piece, done, checksum, self.round)
        self.out.early.append((peer, message))

    def offer_snapshot(self, now: float, meta: SnapMeta, data: bytes) -> None:
        """The state at `meta`, for members that are behind the log."""
        if not self.leads:
            return
        if meta.index < self.log.base.index:
            raise ValueError("a snapshot from before the log")
        self.outgoing = (meta, data, zlib.crc32(data))
        for peer, p in self.peers.items():
            if p.next <= self.log.base.index:
                self._send(now, peer, p, always=True)

    def _on_snapped(self, now: float, sender: str, p: Progress, m: Snapped) -> None:
        if not p.snapshot or m.index != p.snapshot:
            return
        p.waiting = False
        if m.done:
            p.match = max(p.match, m.index)
            p.snapshot = p.offset = 0
            p.next, p.streaming = p.match + 1, True
            if not any(x.snapshot for x in self.peers.values()):
                self.outgoing = None
            self._advance(now)
        else:
            p.offset = m.offset
        if self.leads:
            self._send(now, sender, p)

    def compact(self, index: int) -> None:
        """The driver keeps the state up to here on its disk."""
        self.log.compact(min(index, self.applied))

    # Reads

    def read(self, now: float, number: int) -> None:
        """Ask for the index that a linearizable read must see (thesis, 6.4); it comes in `reads`."""
        if not self.leads:
            raise Refused("not_leader")
        if not self._leads_surely():
            raise Refused("not_ready: the leader has committed nothing in its term yet")
        if now < self.lease_until(now):
            self.out.reads.append((number, self.commit))
            return
        if self.beat_at < now:
            self._beat(now)
        self.reads.append((number, self.commit, self.round))
        self._confirm_reads()

    def _confirm_reads(self) -> None:
        if not self.reads:
            return
        voters = self.config.voters
        rounds = sorted(
            self.round if v == self.me else self.peers[v].round if v in self.peers else 0 for v in voters
        )
        agreed = rounds[(len(rounds) - 1) // 2] if rounds else 0
        self.out.reads += [(number, index) for number, index, wanted in self.reads if wanted <= agreed]
        self.reads = [r for r in self.reads if r[2] > agreed]

    # Membership

    def _may_change(self) -> None:
        if not self.leads:
            raise Refused("not_leader")
        if self.transferee:
            raise Refused("transferring leadership")
        if not self._leads_surely():
            # The correction to single-server changes: without it two leaders can commit on quorums that
            # don't overlap.
            raise Refused("not_ready: the leader has committed nothing in its term yet")
        if self.log.config_index > self.commit:
            raise Refused("change_pending: another change of members is not committed yet")

    def _change(self, now: float, config: Config) -> int:
        self._may_change()
        index = self._append(Kind.CONFIG, config_data(config))
        self._know_members(now)
        self.flush(now)
        return index

    def add(self, now: float, member: Member) -> int:
        """Add a learner, or make a learner that has caught up a voter; the index of the change."""
        self._may_change()
        there = self.config.get(member.id)
        if there is not None and there.voter:
            raise Refused("member: it is a voter already")
        if member.voter:
            p = self.peers.get(member.id)
            if there is None or p is None or p.match < self.commit or not p.streaming:
                raise Refused("behind: it has not caught up with the log yet")
        elif there is not None:
            raise Refused("member: it is a learner already")
        return self._change(now, self.config.plus(member))

    def remove(self, now: float, member: str) -> int:
        """Remove a member, this one too; the index of the change."""
        self._may_change()
        if self.config.get(member) is None:
            raise Refused("no such member")
        if self.config.voters == (member,):
            raise Refused("last: it is the only voter")
        return self._change(now, self.config.without(member))

    # Leadership transfer

    def transfer(self, now: float, to: str) -> None:
        """Hand over to a voter, as soon as it has all entries; given up after an election's time."""
        if not self.leads:
            raise Refused("not_leader")
        if to == self.me:
            raise Refused("member: it leads already")
        if to not in self.config.voters or to not in self.peers:
            raise Refused("no such member")
        if self.transferee:
            raise Refused("transferring leadership")
        self.transferee, self.transfer_by = to, now + self.tuning.election
        self._may_hand_over(now)
        if not self.told_now:
            self._send(now, to, self.peers[to], always=True)

    def _may_hand_over(self, now: float) -> None:
        p = self.peers.get(self.transferee)
        if p is not None and not self.told_now and p.match == self.log.last_index:
            self.told_now = True
            self.out.messages.append((self.transferee, TimeoutNow(self.term)))

    def _transfer_failed(self, now: float) -> None:
        self.transferee = ""
        if self.told_now:
            # It may still come, late, and its election would be no breach of anybody's promise: a new term
            # is the only thing that makes it void.
            self._follow(now, self.term, "")


def message_prev(message: Append | Snap) -> int:
    return message.prev_index if isinstance(message, Append) else message.meta.index


def first_base(members: tuple[Member, ...]) -> SnapMeta:
    """What a new cluster begins with: no entry, and its first members."""
    return SnapMeta(0, 0, Config(members))
