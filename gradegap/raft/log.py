"""The log as the core sees it: entries behind a base, and the configurations among them."""

from __future__ import annotations

from gradegap.raft.cluster import ClusterConfiguration
from gradegap.raft.entries import Entry, EntryKind, SnapshotMetadata, decode_configuration
from gradegap.raft.errors import LogGapError

UNBOUNDED_BYTES = 1 << 40  # bytes: no bound on a slice of the log


class Log:
    """Entries after `base`, the last index that was compacted away or came in a snapshot."""

    def __init__(self, base: SnapshotMetadata, entries: list[Entry]) -> None:
        self.base = base
        self.entries: list[Entry] = []
        self.size_bytes = 0  # bytes of entries
        self.configurations: list[tuple[int, ClusterConfiguration]] = [(base.index, base.configuration)]
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the base without entries."""
        return self.base.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the base without entries."""
        return self.entries[-1].term if self.entries else self.base.term

    @property
    def configuration(self) -> ClusterConfiguration:
        """The latest in the log, committed or not: it is in force at once (thesis, 4.1)."""
        return self.configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The index of the entry, or base, that the latest configuration came with."""
        return self.configurations[-1][0]

    def term_at(self, index: int) -> int | None:
        """None for what is compacted away or not there."""
        if index == self.base.index:
            return self.base.term
        at = index - self.base.index - 1
        return self.entries[at].term if 0 <= at < len(self.entries) else None

    def append(self, entry: Entry) -> None:
        """Add the entry that follows the last one."""
        if entry.index != self.last_index + 1:
            raise LogGapError(entry.index, self.last_index)
        self.entries.append(entry)
        self.size_bytes += entry.size_bytes
        if entry.kind is EntryKind.CONFIGURATION:
            self.configurations.append((entry.index, decode_configuration(entry)))

    def truncate(self, index: int) -> None:
        """Drop what stands from `index` on."""
        at = max(0, index - self.base.index - 1)
        self.size_bytes -= sum(e.size_bytes for e in self.entries[at:])
        del self.entries[at:]
        while len(self.configurations) > 1 and self.configurations[-1][0] >= index:
            self.configurations.pop()

    def slice(self, first: int, most: int, last: int | None = None) -> list[Entry]:
        """Entries from `first`, about `most` bytes of them and one at the least."""
        start = first - self.base.index - 1
        end = len(self.entries) if last is None else last - self.base.index
        size, at = 0, start
        while at < end and (at == start or size + self.entries[at].size_bytes <= most):
            size += self.entries[at].size_bytes
            at += 1
        return self.entries[start:at]

    def configuration_at(self, index: int) -> ClusterConfiguration:
        """The configuration in force after the entry at `index`."""
        return next(c for i, c in reversed(self.configurations) if i <= index)

    def compact(self, index: int) -> None:
        """Forget what stands up to `index`, which is applied everywhere that matters here."""
        term = self.term_at(index)
        if index <= self.base.index or term is None:
            return
        configuration = self.configuration_at(index)
        gone = index - self.base.index
        self.size_bytes -= sum(e.size_bytes for e in self.entries[:gone])
        del self.entries[:gone]
        self.base = SnapshotMetadata(index, term, configuration)
        self.configurations = [(index, configuration), *[c for c in self.configurations if c[0] > index]]

    def reset(self, base: SnapshotMetadata) -> None:
        """A snapshot took the place of all of it."""
        self.base, self.entries, self.size_bytes = base, [], 0
        self.configurations = [(base.index, base.configuration)]

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a log that ends so has all that this one may have committed (Raft paper, 5.4.1)."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def find_conflict_hint(self, prev: int) -> tuple[int, int]:
        """Where the leader should try next, and the term there, after `prev` did not fit (Raft paper, 5.3).

        It is the end of the log, or the last entry before the run of one term that `prev` is in.
        """
        if prev > self.last_index:
            return self.last_index, self.last_term
        term = self.term_at(prev)
        at = prev
        while at > self.base.index and self.term_at(at) == term:
            at -= 1
        return at, self.term_at(at) or 0

    def last_index_up_to_term(self, index: int, term: int) -> int:
        """The last entry up to `index` with a term of at most `term`."""
        at = min(index, self.last_index)
        while at > self.base.index and (self.term_at(at) or 0) > term:
            at -= 1
        return at
