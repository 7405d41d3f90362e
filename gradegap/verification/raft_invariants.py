"""Invariants of a Raft cluster. A violation is raised as an error that states the observed values.

The invariants are those of the Raft paper, figure 3 (election safety, log matching, leader completeness and
state machine safety) and two of this project: while a lease is held no other member leads a later term, and a
confirmed read sees all that was committed before its request.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from gradegap.raft import Entry, EntryKind, Raft
from gradegap.verification.errors import InvariantError


def chain_digest(previous_digest: bytes, entry: Entry) -> bytes:
    """Returns the digest of a state: a hash chain over all entries up to `entry`, in order."""
    content = f"{entry.index} {entry.term} {entry.kind}".encode() + entry.data
    return hashlib.blake2b(previous_digest + content, digest_size=12).digest()


class RaftInvariants:
    """Checks each member after each of its steps against everything observed earlier in the run."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}  # by term
        self.committed: dict[int, Entry] = {}  # by index
        self.committed_terms: dict[int, int] = {}  # by index: term in which its commit was first observed
        self.states: dict[int, bytes] = {}  # by index: the digest of the state after it
        # (index, term) of an entry to its data and the term of the entry before it
        self.entries: dict[tuple[int, int], tuple[bytes, int]] = {}
        # id() of a core to the base index, last index and last term of its log when it was last checked
        self.checked_log_extents: dict[int, tuple[int, int, int]] = {}

    def check_applied(self, entry: Entry, state: bytes) -> None:
        """Check state machine safety: no two members apply different entries at the same index."""
        known = self.committed.setdefault(entry.index, entry)
        if known != entry:
            raise InvariantError(
                f"state-machine-safety: entry {entry.index} was applied as {known} and as {entry}"
            )
        if self.states.setdefault(entry.index, state) != state:
            raise InvariantError(f"state-machine-safety: the states after {entry.index} differ")

    def check(self, member: Raft) -> None:
        """Check one member after one of its steps."""
        self._check_log_matching(member)
        self._check_commit(member)
        if member.is_leader:
            self._check_election_safety(member)

    def _check_election_safety(self, member: Raft) -> None:
        known = self.leaders.get(member.term)
        if known is None:
            self.leaders[member.term] = member.member_id
            self._check_leader_completeness(member)
        elif known != member.member_id:
            raise InvariantError(
                f"election-safety: {known} and {member.member_id} lead in term {member.term}"
            )

    def _check_leader_completeness(self, member: Raft) -> None:
        log = member.log
        for index, entry in self.committed.items():
            # A candidate may win an early term late, and may then lack entries committed in later terms.
            is_required = self.committed_terms.get(index, member.term) < member.term
            if is_required and index > log.base.index and log.term_at(index) != entry.term:
                raise InvariantError(
                    f"leader-completeness: {member.member_id} leads term {member.term} without {entry}"
                )

    def _check_log_matching(self, member: Raft) -> None:
        log = member.log
        extent = (log.base.index, log.last_index, log.last_term)
        if self.checked_log_extents.get(id(member)) == extent:
            return
        self.checked_log_extents[id(member)] = extent
        previous_term = log.base.term
        for entry in log.entries:
            known = self.entries.setdefault((entry.index, entry.term), (entry.data, previous_term))
            if known != (entry.data, previous_term):
                raise InvariantError(
                    f"log-matching: {member.member_id} "
                    f"has a different entry {entry.index} of term {entry.term}"
                )
            previous_term = entry.term

    def _check_commit(self, member: Raft) -> None:
        log = member.log
        if member.commit_index > log.last_index:
            raise InvariantError(
                f"log-matching: {member.member_id} has commit index {member.commit_index}, "
                f"its log ends at {log.last_index}"
            )
        index = member.commit_index
        while index > log.base.index and index not in self.committed_terms:
            entry = log.entries[index - log.base.index - 1]
            self.committed_terms[index] = member.term
            if self.committed.setdefault(index, entry) != entry:
                break
            index -= 1
        if index > log.base.index and log.term_at(index) != self.committed[index].term:
            raise InvariantError(
                f"state-machine-safety: {member.member_id} commits a different entry at {index}"
            )

    @property
    def last_committed(self) -> int:
        """The highest index that any member knows to be committed."""
        return max(self.committed, default=0)

    def check_read(self, member: str, commit_index: int, min_commit_index: int) -> None:
        """Check that a confirmed read sees everything that was committed before its request."""
        if commit_index < min_commit_index:
            raise InvariantError(
                f"stale-read: {member} read at {commit_index}, "
                f"but {min_commit_index} was committed before the request"
            )

    def check_leases(self, holders: Iterable[tuple[Raft, float]]) -> None:
        """Check that no member leads a later term while another member holds a lease.

        `holders` are the running members, each with the time in seconds of its own clock.
        """
        running_members = list(holders)
        leaders = [member for member, _ in running_members if member.is_leader]
        for member, now in running_members:
            if now < member.lease_until(now):
                self._check_no_later_leader(member, leaders)

    def _check_no_later_leader(self, holder: Raft, leaders: list[Raft]) -> None:
        for other in leaders:
            if other.term > holder.term:
                raise InvariantError(
                    f"lease: {other.member_id} leads term {other.term}, "
                    f"{holder.member_id} holds a lease of term {holder.term}"
                )

    def commands(self) -> list[bytes]:
        """Returns the committed commands in log order."""
        ordered = (self.committed[index] for index in sorted(self.committed))
        return [entry.data for entry in ordered if entry.kind is EntryKind.COMMAND]
