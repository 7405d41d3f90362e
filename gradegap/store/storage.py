"""A member's folder: log, vote, identity and state in LMDB, written and synced in one transaction.

Whatever is wrong with a folder is one plain error. Nothing is repaired by guess: a member that votes again
after it forgot its vote can undo a committed change.
"""

from __future__ import annotations

import errno
import fcntl
import os
import secrets
import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import lmdb
import msgspec

from gradegap.raft import ClusterConfiguration, Entry, HardState, SnapshotMetadata
from gradegap.store.errors import FolderError
from gradegap.store.machine import UnsavedChanges
from gradegap.store.records import Event, Item, Session, StoreState
from gradegap.store.settings import StoreSettings

T = TypeVar("T")
Put = Callable[[Any, bytes, object], None]
FORMAT_VERSION = 1
MAP_SIZE_BYTES = 1 << 30  # of address space; the file grows as it is written
CHECKSUM_BYTES = 4
IDENTITY_BYTES = 8
REJOIN_REMEDY = "to rejoin, move the folder away and start again: the member comes back under a new identity"


def data_folder(settings: StoreSettings) -> Path:
    """Where a member keeps what it must not forget; in `$TMPDIR` it comes back empty, as a new member."""
    if settings.data:
        return Path(settings.data)
    encode_number = os.environ.get("TMPDIR")
    if not encode_number:
        raise FolderError("store.data names no folder, and there is no TMPDIR")
    return Path(encode_number) / f"gradegap-store-{settings.name}"


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """Who this member is, for as long as its folder lasts."""

    id: str
    cluster: str = ""  # empty: it belongs to no cluster yet


class AppliedPosition(NamedTuple):
    """How far a stored state is; the order of the fields is the format."""

    log_index: int
    revision: int
    clock_ms: int


@dataclass(slots=True)
class WriteBatch:
    """What is to be durable together: all of it, or none."""

    raft_hard_state: HardState | None = None
    identity: Identity | None = None
    base: SnapshotMetadata | None = None  # entries up to here can go
    full_state: StoreState | None = None  # in place of all state and log
    entries: list[Entry] = field(default_factory=list)
    unsaved: UnsavedChanges | None = None
    applied: AppliedPosition | None = None  # of the state with `unsaved`


@dataclass(slots=True)
class StoredMember:
    """What a folder holds at the start of its member."""

    identity: Identity
    raft_hard_state: HardState
    base: SnapshotMetadata
    entries: list[Entry]
    state: StoreState


def add_checksum(key: bytes, body: bytes) -> bytes:
    """A value as it is stored under `key`."""
    return zlib.crc32(body, zlib.crc32(key)).to_bytes(CHECKSUM_BYTES, "big") + body


def verify_checksum(key: bytes, raw: bytes) -> bytes:
    """The value that is stored under `key`; `ValueError` where it is damaged."""
    body = raw[CHECKSUM_BYTES:]
    if len(raw) < CHECKSUM_BYTES or add_checksum(key, body)[:CHECKSUM_BYTES] != raw[:CHECKSUM_BYTES]:
        raise ValueError(f"the checksum of {key!r} is wrong")
    return body


def encode_number(number: int) -> bytes:
    """A number as a key, in the order of numbers."""
    return number.to_bytes(8, "big")


_encode = msgspec.msgpack.Encoder().encode

TABLES = (b"meta", b"log", b"keys", b"history", b"sessions")
MIN_FILE_BYTES = 2 * 4096  # LMDB's two pages of metadata


class MemberStorage:
    """One process's hold on a member's folder."""

    def __init__(self, folder: Path, map_size: int = MAP_SIZE_BYTES) -> None:
        """Open the folder, which is made where there is none.

        Raises:
            FolderError: where it is damaged, can't be used, or another process uses it.
        """
        self.folder = folder
        self.reach_fault_point: Callable[[str], None] = lambda name: None  # where tests end the process
        self._lock = _lock(folder)
        self._is_new = not (folder / "data.mdb").exists()
        try:
            self._check_size()
            self.env = lmdb.open(
                str(folder), map_size=map_size, max_dbs=8, mode=0o600, readahead=False, lock=False
            )
            self._check_pages()
            self.meta, self.log, self.keys, self.history, self.sessions = map(self.env.open_db, TABLES)
        except (lmdb.Error, OSError) as error:
            os.close(self._lock)
            raise self._damaged(str(error)) from None

    def _damaged(self, why: str) -> FolderError:
        return FolderError(f"the store's folder {self.folder} is damaged ({why}); {REJOIN_REMEDY}")

    def _check_size(self) -> None:
        """Guards against a file that was cut: mapped, its missing pages would end the process by a signal."""
        path = self.folder / "data.mdb"
        if not self._is_new and path.stat().st_size < MIN_FILE_BYTES:
            raise lmdb.Error("its file is cut short")

    def _check_pages(self) -> None:
        page = self.env.stat()["psize"]
        if self._is_new:
            return
        if (self.env.info()["last_pgno"] + 1) * page > (self.folder / "data.mdb").stat().st_size:
            raise lmdb.Error("its file is cut short")

    def start(self) -> StoredMember:
        """What the folder holds; a new identity where it is new.

        Raises:
            FolderError: where it is damaged, or of a later format, whose version the text names.
        """
        try:
            with self.env.begin() as txn:
                stored = self._read(txn) if self._has_format(txn) else None
        except (lmdb.Error, ValueError, msgspec.MsgspecError, KeyError) as error:
            raise self._damaged(str(error)) from None
        if stored is not None:
            return stored
        self._create()
        return self.start()

    def _has_format(self, txn: lmdb.Transaction) -> bool:
        """Whether the folder holds a member; `FolderError` where that is of a later format."""
        raw = txn.get(b"format", db=self.meta)
        if raw is None:
            if any(txn.stat(table)["entries"] for table in (self.meta, self.log, self.keys)):
                raise ValueError("it has no format")
            return False
        version = int.from_bytes(verify_checksum(b"format", bytes(raw)), "big")
        if version > FORMAT_VERSION:
            raise FolderError(
                f"the folder {self.folder} is of format {version}, this version reads up to "
                f"{FORMAT_VERSION}: start a newer one"
            )
        return True

    def _create(self) -> None:
        # Written before anybody learns of it: a member is who its folder names.
        identity = Identity(secrets.token_hex(IDENTITY_BYTES))
        base = SnapshotMetadata(0, 0, ClusterConfiguration())
        batch = WriteBatch(HardState(), identity, base, applied=AppliedPosition(0, 0, 0))
        with self._writing() as txn:
            txn.put(b"format", add_checksum(b"format", FORMAT_VERSION.to_bytes(2, "big")), db=self.meta)
            self._put(txn, batch)

    def _read(self, txn: lmdb.Transaction) -> StoredMember:
        def one(name: bytes, kind: type[T]) -> T:
            raw = txn.get(name, db=self.meta)
            if raw is None:
                raise ValueError(f"it lacks {name.decode()}")
            return msgspec.msgpack.decode(verify_checksum(name, bytes(raw)), type=kind)

        def every(table: Any, kind: type[T]) -> list[T]:
            decoder = msgspec.msgpack.Decoder(kind)
            return [decoder.decode(verify_checksum(bytes(key), bytes(raw))) for key, raw in txn.cursor(table)]

        base = one(b"base", SnapshotMetadata)
        index, revision, clock_ms = one(b"applied", AppliedPosition)
        entries = every(self.log, Entry)
        for expected, entry in enumerate(entries, base.index + 1):
            if entry.index != expected:
                raise ValueError(f"its log lacks entry {expected}")
        if not base.index <= index <= base.index + len(entries):
            raise ValueError(f"its state is of entry {index}, its log ends at {base.index + len(entries)}")
        items, events = every(self.keys, Item), every(self.history, Event)
        state = StoreState(index, revision, clock_ms, items, events, every(self.sessions, Session))
        return StoredMember(one(b"identity", Identity), one(b"hard", HardState), base, entries, state)

    @contextmanager
    def _writing(self) -> Iterator[lmdb.Transaction]:
        """One transaction, synced at its end; `FolderError` where that fails, and then nothing is written."""
        try:
            with self.env.begin(write=True) as txn:
                yield txn
                self.reach_fault_point("before-commit")
            self.reach_fault_point("after-commit")
        except lmdb.MapFullError:
            raise FolderError(
                f"the store's folder {self.folder} is full: {self.env.info()['map_size']} bytes"
            ) from None
        except (lmdb.Error, OSError) as error:
            full = any(os.strerror(e) in str(error) for e in (errno.ENOSPC, errno.EFBIG, errno.EDQUOT))
            why = "its disk is full" if full else str(error)
            raise FolderError(f"the store's folder {self.folder} can't be written: {why}") from None

    def write(self, batch: WriteBatch) -> None:
        """All of it or none, and on the disk once this returns."""
        with self._writing() as txn:
            self._put(txn, batch)

    def _put(self, txn: lmdb.Transaction, batch: WriteBatch) -> None:
        def put(table: Any, key: bytes, value: object) -> None:
            txn.put(key, add_checksum(key, _encode(value)), db=table)

        if batch.full_state is not None:
            self._put_whole(txn, batch.full_state, put)
        if batch.identity is not None:
            put(self.meta, b"identity", batch.identity)
        if batch.raft_hard_state is not None:
            put(self.meta, b"hard", batch.raft_hard_state)
        if batch.entries:
            # What was there from here on was replaced by a newer leader's.
            self._cut(txn, self.log, encode_number(batch.entries[0].index), None)
            for entry in batch.entries:
                put(self.log, encode_number(entry.index), entry)
            self.reach_fault_point("entries")
        if batch.unsaved is not None:
            self._put_unsaved(txn, batch.unsaved, put)
        if batch.applied is not None:
            put(self.meta, b"applied", batch.applied)
        if batch.base is not None:
            put(self.meta, b"base", batch.base)
            self._cut(txn, self.log, None, encode_number(batch.base.index + 1))

    def _put_whole(self, txn: lmdb.Transaction, state: StoreState, put: Put) -> None:
        for table in (self.log, self.keys, self.history, self.sessions):
            txn.drop(table, delete=False)
        for item in state.items:
            put(self.keys, item.key.encode(), item)
        for event in state.events:
            put(self.history, _event_key(event), event)
        for session in state.sessions:
            put(self.sessions, session.client.encode(), session)
        self.reach_fault_point("whole")

    def _put_unsaved(self, txn: lmdb.Transaction, unsaved: UnsavedChanges, put: Put) -> None:
        for key, item in unsaved.items.items():
            if item is None:
                txn.delete(key.encode(), db=self.keys)
            else:
                put(self.keys, key.encode(), item)
        for event in unsaved.events:
            put(self.history, _event_key(event), event)
        if unsaved.first_kept_revision:
            self._cut(txn, self.history, None, encode_number(unsaved.first_kept_revision))
        for client, session in unsaved.sessions.items():
            if session is None:
                txn.delete(client.encode(), db=self.sessions)
            else:
                put(self.sessions, client.encode(), session)
        self.reach_fault_point("state")

    def _cut(self, txn: lmdb.Transaction, table: Any, first: bytes | None, end: bytes | None) -> None:
        """Remove what is stored from `first` on, up to before `end`."""
        cursor = txn.cursor(table)
        found = cursor.set_range(first) if first is not None else cursor.first()
        while found and (end is None or bytes(cursor.key()) < end):
            found = cursor.delete()

    def size(self) -> int:
        """Bytes of the file."""
        return (self.folder / "data.mdb").stat().st_size

    def close(self) -> None:
        """Give the folder up."""
        self.env.close()
        os.close(self._lock)


def _lock(folder: Path) -> int:
    """The descriptor by which this process holds the folder, and no other."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        lock = os.open(folder / "in-use", os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as error:
        raise FolderError(f"the store's folder {folder} can't be used: {error.strerror}") from None
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        raise FolderError(f"another process uses the store's folder {folder}") from None
    return lock


def _event_key(event: Event) -> bytes:
    return encode_number(event.revision) + encode_number(event.position)
