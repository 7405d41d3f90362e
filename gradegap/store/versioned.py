"""Versioned keys in memory: the last writer wins, by a logical clock."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

LONGEST_KEY = 256  # characters
LARGEST_VALUE = 16 * 1024  # bytes, as msgpack
MOST_KEYS = 10_000
LATEST = 2**53  # clocks from here on are no clocks


class BadEntry(ValueError):
    """An entry that no store takes."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    key: str
    clock: int
    writer: str
    value: Any = None
    deleted: bool = False  # a tombstone, kept so that a peer that was away does not bring the key back

    @property
    def version(self) -> tuple[int, str]:
        return self.clock, self.writer

    def check(self) -> None:
        """Guards against entries that would fill memory, or wear the clock out for all peers."""
        if not 0 < len(self.key) <= LONGEST_KEY or not 0 < len(self.writer) <= LONGEST_KEY:
            raise BadEntry("a key or writer of no fit length")
        if not 0 <= self.clock < LATEST:
            raise BadEntry("a clock out of range")
        if len(msgspec.msgpack.encode(self.value)) > LARGEST_VALUE:
            raise BadEntry("a value too large")


class Store:
    """One replica. Its writer's name is new with every start, so that two lives are told apart."""

    def __init__(self, name: str) -> None:
        self.writer = f"{name}.{secrets.token_hex(4)}"
        self.clock = 0
        self.entries: dict[str, Entry] = {}
        self.owned: dict[str, Any] = {}  # keys that this node alone speaks for
        self.changed: list[Callable[[list[Entry], object], None]] = []

    def get(self, key: str, default: Any = None) -> Any:
        entry = self.entries.get(key)
        return default if entry is None or entry.deleted else entry.value

    def items(self, prefix: str = "") -> dict[str, Any]:
        live = (e for e in self.entries.values() if not e.deleted and e.key.startswith(prefix))
        return {e.key: e.value for e in sorted(live, key=lambda e: e.key)}

    def set(self, key: str, value: Any) -> None:
        self._write(Entry(key, self.clock + 1, self.writer, value))

    def delete(self, key: str) -> None:
        if key in self.entries:
            self._write(Entry(key, self.clock + 1, self.writer, None, True))

    def seed(self, key: str, value: Any) -> None:
        """A value to begin with: any that was ever written wins over it."""
        if key not in self.entries:
            self._write(Entry(key, 0, self.writer, value))

    def own(self, key: str, value: Any) -> None:
        """Write a key that this node alone speaks for; whatever a peer holds of it is corrected."""
        self.owned[key] = value
        self.set(key, value)

    def _write(self, entry: Entry) -> None:
        entry.check()
        if entry.key not in self.entries and len(self.entries) >= MOST_KEYS:
            raise BadEntry("the store is full")
        self.clock = max(self.clock, entry.clock)
        self.entries[entry.key] = entry
        self._tell([entry], None)

    def merge(self, entries: Iterable[Entry], source: object = None) -> list[Entry]:
        """Take in what is newer; what was taken is told to all who listen, with its source."""
        taken = []
        for entry in entries:
            entry.check()
            mine = self.entries.get(entry.key)
            if mine is None and len(self.entries) >= MOST_KEYS:
                raise BadEntry("the store is full")
            self.clock = max(self.clock, entry.clock)
            if mine is None or entry.version > mine.version:
                self.entries[entry.key] = entry
                taken.append(entry)
        if taken:
            self._tell(taken, source)
        for entry in taken:
            # Guards against the state that a peer kept of this node's earlier life: it would win by its
            # clock, so the present state is written anew over it.
            if entry.key in self.owned and entry.writer != self.writer:
                self.set(entry.key, self.owned[entry.key])
        return taken

    def digest(self) -> dict[str, tuple[int, str]]:
        return {e.key: e.version for e in self.entries.values()}

    def newer_than(self, digest: dict[str, tuple[int, str]]) -> list[Entry]:
        """What whoever sent this digest lacks."""
        return [e for e in self.entries.values() if e.key not in digest or e.version > tuple(digest[e.key])]

    def lacking(self, digest: dict[str, tuple[int, str]]) -> list[str]:
        """The keys that whoever sent this digest has newer."""
        mine = self.entries
        return [k for k, version in digest.items() if k not in mine or tuple(version) > mine[k].version]

    def _tell(self, entries: list[Entry], source: object) -> None:
        for each in self.changed:
            each(entries, source)
