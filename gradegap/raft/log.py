"""The in-memory log: a compacted base, the entries after it and the configurations that they contain."""

from __future__ import annotations

from gradegap.raft.cluster import ClusterConfiguration
from gradegap.raft.entries import Entry, EntryKind, SnapshotMetadata, decode_configuration
from gradegap.raft.errors import LogGapError

UNBOUNDED_BYTES = 1 << 40  # `max_bytes` for a slice of the log without a size limit


class Log:
    """Log entries after `base`, the last entry that was compacted or covered by an installed snapshot."""

    def __init__(self, base: SnapshotMetadata, entries: list[Entry]) -> None:
        self.base = base
        self.entries: list[Entry] = []
        self.size_bytes = 0  # total size of `entries` in bytes
        self.configurations: list[tuple[int, ClusterConfiguration]] = [(base.index, base.configuration)]
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the base if there are no entries."""
        return self.base.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the base if there are no entries."""
        return self.entries[-1].term if self.entries else self.base.term

    @property
    def configuration(self) -> ClusterConfiguration:
        """The latest configuration in the log. It is in force before it is committed (thesis, 4.1)."""
        return self.configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The index of the entry or base that contains the latest configuration."""
        return self.configurations[-1][0]

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at `index`; None if it is compacted or beyond the end of the log."""
        if index == self.base.index:
            return self.base.term
        position = index - self.base.index - 1
        return self.entries[position].term if 0 <= position < len(self.entries) else None

    def append(self, entry: Entry) -> None:
        """Append an entry.

        Raises:
            LogGapError: The entry does not directly follow the last one.
        """
        if entry.index != self.last_index + 1:
            raise LogGapError(entry.index, self.last_index)
        self.entries.append(entry)
        self.size_bytes += entry.size_bytes
        if entry.kind is EntryKind.CONFIGURATION:
            self.configurations.append((entry.index, decode_configuration(entry)))

    def truncate(self, index: int) -> None:
        """Drop the entries from `index` on."""
        position = max(0, index - self.base.index - 1)
        self.size_bytes -= sum(entry.size_bytes for entry in self.entries[position:])
        del self.entries[position:]
        while len(self.configurations) > 1 and self.configurations[-1][0] >= index:
            self.configurations.pop()

    def slice(self, first: int, max_bytes: int, last: int | None = None) -> list[Entry]:
        """Returns entries from `first` to `last` (None: the end), up to `max_bytes` but at least one."""
        start = first - self.base.index - 1
        end = len(self.entries) if last is None else last - self.base.index
        size_bytes, stop = 0, start
        while stop < end and (stop == start or size_bytes + self.entries[stop].size_bytes <= max_bytes):
            size_bytes += self.entries[stop].size_bytes
            stop += 1
        return self.entries[start:stop]

    def configuration_at(self, index: int) -> ClusterConfiguration:
        """Returns the configuration in force after the entry at `index`."""
        return next(configuration for at, configuration in reversed(self.configurations) if at <= index)

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, which the state on disk covers."""
        term = self.term_at(index)
        if index <= self.base.index or term is None:
            return
        configuration = self.configuration_at(index)
        count = index - self.base.index
        self.size_bytes -= sum(entry.size_bytes for entry in self.entries[:count])
        del self.entries[:count]
        self.base = SnapshotMetadata(index, term, configuration)
        self.configurations = [
            (index, configuration),
            *[later for later in self.configurations if later[0] > index],
        ]

    def reset(self, base: SnapshotMetadata) -> None:
        """Replace all entries by a snapshot."""
        self.base, self.entries, self.size_bytes = base, [], 0
        self.configurations = [(base.index, base.configuration)]

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a log with this last entry is at least as up to date as this log (Raft paper, 5.4.1)."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def find_conflict_hint(self, prev_log_index: int) -> tuple[int, int]:
        """Returns the index and term that the leader should probe next after a mismatch (Raft paper, 5.3).

        The hint is the end of the log if `prev_log_index` is beyond it, otherwise the last entry before all
        entries of the term at `prev_log_index`.
        """
        if prev_log_index > self.last_index:
            return self.last_index, self.last_term
        term = self.term_at(prev_log_index)
        index = prev_log_index
        while index > self.base.index and self.term_at(index) == term:
            index -= 1
        return index, self.term_at(index) or 0

    def last_index_up_to_term(self, index: int, term: int) -> int:
        """Returns the index of the last entry up to `index` whose term is at most `term`."""
        index = min(index, self.last_index)
        while index > self.base.index and (self.term_at(index) or 0) > term:
            index -= 1
        return index
