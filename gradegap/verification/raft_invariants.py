"""What must hold of a cluster at every moment; a violation is raised with what was seen.

Raft paper, figure 3: election safety, log matching, leader completeness, state machine safety; and two of
this project's own: a lease excludes every other leader, and a confirmed read misses nothing acknowledged.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from gradegap.raft import Entry, EntryKind, Raft
from gradegap.verification.errors import InvariantError


def chain_digest(before: bytes, entry: Entry) -> bytes:
    """A digest of a state: that of all entries up to this one, in order."""
    content = f"{entry.index} {entry.term} {entry.kind}".encode() + entry.data
    return hashlib.blake2b(before + content, digest_size=12).digest()


class RaftInvariants:
    """Sees every member after every step, and remembers what was ever true."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}  # by term
        self.committed: dict[int, Entry] = {}  # by index
        self.committed_in: dict[int, int] = {}  # by index: the term in which it was first known to be
        self.states: dict[int, bytes] = {}  # digest of the state after an index
        self.entries: dict[tuple[int, int], tuple[bytes, int]] = {}  # of (index, term): data, term before
        self.checked_logs: dict[int, tuple[int, int, int]] = {}  # by core's id: what of its log was checked

    def applied(self, entry: Entry, state: bytes) -> None:
        """State machine safety: no two members apply different entries at one index."""
        known = self.committed.setdefault(entry.index, entry)
        if known != entry:
            raise InvariantError(f"state-machine-safety: {entry.index} is {known} here and {entry} there")
        if self.states.setdefault(entry.index, state) != state:
            raise InvariantError(f"state-machine-safety: the states after {entry.index} differ")

    def check(self, member: Raft) -> None:
        """Hold one member, after a step of it, to all that was seen before."""
        self._log_matching(member)
        self._commit(member)
        if member.is_leader:
            self._election_safety(member)

    def _election_safety(self, member: Raft) -> None:
        known = self.leaders.get(member.term)
        if known is None:
            self.leaders[member.term] = member.member_id
            self._leader_completeness(member)
        elif known != member.member_id:
            raise InvariantError(
                f"election-safety: {known} and {member.member_id} lead in term {member.term}"
            )

    def _leader_completeness(self, member: Raft) -> None:
        log = member.log
        for index, entry in self.committed.items():
            # A candidate may win an early term late; what was committed after that term does not bind it.
            bound = self.committed_in.get(index, member.term) < member.term
            if bound and index > log.base.index and log.term_at(index) != entry.term:
                raise InvariantError(
                    f"leader-completeness: {member.member_id} leads term {member.term} without {entry}"
                )

    def _log_matching(self, member: Raft) -> None:
        log = member.log
        extent = (log.base.index, log.last_index, log.last_term)
        if self.checked_logs.get(id(member)) == extent:
            return
        self.checked_logs[id(member)] = extent
        before = log.base.term
        for entry in log.entries:
            known = self.entries.setdefault((entry.index, entry.term), (entry.data, before))
            if known != (entry.data, before):
                raise InvariantError(
                    f"log-matching: {member.member_id} has another entry {entry.index} of {entry.term}"
                )
            before = entry.term

    def _commit(self, member: Raft) -> None:
        log = member.log
        if member.commit_index > log.last_index:
            raise InvariantError(
                f"log-matching: {member.member_id} commits {member.commit_index} beyond its log"
            )
        index = member.commit_index
        while index > log.base.index and index not in self.committed_in:
            entry = log.entries[index - log.base.index - 1]
            self.committed_in[index] = member.term
            if self.committed.setdefault(index, entry) != entry:
                break
            index -= 1
        if index > log.base.index and log.term_at(index) != self.committed[index].term:
            raise InvariantError(f"state-machine-safety: {member.member_id} commits another entry at {index}")

    @property
    def last_committed(self) -> int:
        """The last index that any member knows to be committed."""
        return max(self.committed, default=0)

    def read(self, member: str, commit_index: int, least: int) -> None:
        """A confirmed read sees all that was committed before it was requested."""
        if commit_index < least:
            raise InvariantError(
                f"stale-read: {member} read at {commit_index}, but {least} was committed before the request"
            )

    def leases(self, holders: Iterable[tuple[Raft, float]]) -> None:
        """No member leads a later term while another holds a lease.

        `holders` are the members that run, with what their own clocks say.
        """
        running = list(holders)
        leading = [member for member, _ in running if member.is_leader]
        for member, now in running:
            if now < member.lease_until(now):
                self._no_later_leader(member, leading)

    def _no_later_leader(self, holder: Raft, leading: list[Raft]) -> None:
        for other in leading:
            if other.term > holder.term:
                raise InvariantError(
                    f"lease: {other.member_id} leads term {other.term}, "
                    f"{holder.member_id} holds a lease of {holder.term}"
                )

    def commands(self) -> list[bytes]:
        """The commands that are committed, in their order."""
        ordered = (self.committed[index] for index in sorted(self.committed))
        return [entry.data for entry in ordered if entry.kind is EntryKind.COMMAND]
