"""The data folder of a member: log, vote, identity and state in LMDB, written and synced in one transaction.

Every fault of a folder is reported as a `FolderError`. Nothing is repaired by guessing: a member that lost
its vote and votes a second time in the same term can undo a committed change.
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
# limit on the file; this much address space is reserved, and the file grows with its data
MAP_SIZE_BYTES = 1 << 30
CHECKSUM_BYTES = 4  # size of a CRC-32 checksum
IDENTITY_BYTES = 8
REJOIN_REMEDY = "to rejoin, move the folder away and start again: the member rejoins under a new identity"


def data_folder(settings: StoreSettings) -> Path:
    """The folder in which a member persists its data: the setting `store.data`, else a folder in `$TMPDIR`.

    If `$TMPDIR` is emptied between two runs, the member starts with an empty folder, as a new member.

    Raises:
        FolderError: if `store.data` is empty and `TMPDIR` is not set.
    """
    if settings.data:
        return Path(settings.data)
    temporary_folder = os.environ.get("TMPDIR")
    if not temporary_folder:
        raise FolderError("store.data must name a folder if the environment variable TMPDIR is not set")
    return Path(temporary_folder) / f"gradegap-store-{settings.name}"


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """The identity of a member; a new folder gets a new identity."""

    id: str
    cluster: str = ""  # empty: the member doesn't belong to a cluster yet


class AppliedPosition(NamedTuple):
    """The position in the log of a stored state; the order of the fields is the storage format."""

    log_index: int
    revision: int
    clock_ms: int


@dataclass(slots=True)
class WriteBatch:
    """Data that is written atomically; None means that the stored value stays as it is."""

    raft_hard_state: HardState | None = None
    identity: Identity | None = None
    base: SnapshotMetadata | None = None  # log entries up to the index of `base` are deleted
    full_state: StoreState | None = None  # replaces the stored state and the log
    entries: list[Entry] = field(default_factory=list)
    unsaved: UnsavedChanges | None = None
    applied: AppliedPosition | None = None  # log position of the stored state once `unsaved` is written


@dataclass(slots=True)
class StoredMember:
    """The contents of a folder, read when its member starts."""

    identity: Identity
    raft_hard_state: HardState
    base: SnapshotMetadata
    entries: list[Entry]
    state: StoreState


def add_checksum(key: bytes, body: bytes) -> bytes:
    """Returns `body` with the checksum of key and body in front, as it is stored under `key`."""
    return zlib.crc32(body, zlib.crc32(key)).to_bytes(CHECKSUM_BYTES, "big") + body


def verify_checksum(key: bytes, raw: bytes) -> bytes:
    """Returns the body of a value that is stored under `key`.

    Raises:
        ValueError: if the checksum doesn't match.
    """
    body = raw[CHECKSUM_BYTES:]
    if len(raw) < CHECKSUM_BYTES or add_checksum(key, body)[:CHECKSUM_BYTES] != raw[:CHECKSUM_BYTES]:
        raise ValueError(f"the checksum of {key!r} doesn't match")
    return body


def encode_number(number: int) -> bytes:
    """Encodes a number as a key whose byte order is the numeric order."""
    return number.to_bytes(8, "big")


_encode = msgspec.msgpack.Encoder().encode

TABLES = (b"meta", b"log", b"keys", b"history", b"sessions")
MIN_FILE_BYTES = 2 * 4096  # size of LMDB's two pages of metadata


class MemberStorage:
    """Reads and writes a member's folder, which no other process can use at the same time."""

    def __init__(self, folder: Path, map_size: int = MAP_SIZE_BYTES) -> None:
        """Opens the folder, and creates it if it doesn't exist; `map_size` limits the file, in bytes.

        Raises:
            FolderError: if the folder is damaged, can't be used, or is in use by another process.
        """
        self.folder = folder
        # Tests replace this callback by one that kills the process at a named point of a write.
        self.reach_fault_point: Callable[[str], None] = lambda name: None
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

    def _damaged(self, reason: str) -> FolderError:
        return FolderError(f"the store's folder {self.folder} is damaged ({reason}); {REJOIN_REMEDY}")

    def _check_size(self) -> None:
        """Rejects a truncated file: access to its missing pages in the memory map would raise SIGBUS."""
        path = self.folder / "data.mdb"
        if not self._is_new and path.stat().st_size < MIN_FILE_BYTES:
            raise lmdb.Error("its file is truncated")

    def _check_pages(self) -> None:
        page = self.env.stat()["psize"]
        if self._is_new:
            return
        if (self.env.info()["last_pgno"] + 1) * page > (self.folder / "data.mdb").stat().st_size:
            raise lmdb.Error("its file is truncated")

    def start(self) -> StoredMember:
        """Reads the contents of the folder; a new folder is given a new identity first.

        Raises:
            FolderError: if the folder is damaged, or has the format of a later version, which the text names.
        """
        try:
            with self.env.begin() as txn:
                stored = self._read(txn) if self._has_readable_format(txn) else None
        except (lmdb.Error, ValueError, msgspec.MsgspecError, KeyError) as error:
            raise self._damaged(str(error)) from None
        if stored is not None:
            return stored
        self._create()
        return self.start()

    def _has_readable_format(self, txn: lmdb.Transaction) -> bool:
        """Whether the folder holds the data of a member; False for a new folder.

        Raises:
            FolderError: if the data has the format of a later version.
            ValueError: if there is data without a format version.
        """
        raw = txn.get(b"format", db=self.meta)
        if raw is None:
            if any(txn.stat(table)["entries"] for table in (self.meta, self.log, self.keys)):
                raise ValueError("it has no format version")
            return False
        version = int.from_bytes(verify_checksum(b"format", bytes(raw)), "big")
        if version > FORMAT_VERSION:
            raise FolderError(
                f"the folder {self.folder} has format {version}, this version reads formats up to "
                f"{FORMAT_VERSION}: start a newer version"
            )
        return True

    def _create(self) -> None:
        # The identity is stored before other members receive it, so that the member keeps it after a crash.
        identity = Identity(secrets.token_hex(IDENTITY_BYTES))
        base = SnapshotMetadata(0, 0, ClusterConfiguration())
        batch = WriteBatch(HardState(), identity, base, applied=AppliedPosition(0, 0, 0))
        with self._writing() as txn:
            txn.put(b"format", add_checksum(b"format", FORMAT_VERSION.to_bytes(2, "big")), db=self.meta)
            self._put(txn, batch)

    def _read(self, txn: lmdb.Transaction) -> StoredMember:
        def read_meta(name: bytes, kind: type[T]) -> T:
            raw = txn.get(name, db=self.meta)
            if raw is None:
                raise ValueError(f"it has no record {name.decode()}")
            return msgspec.msgpack.decode(verify_checksum(name, bytes(raw)), type=kind)

        def read_table(table: Any, kind: type[T]) -> list[T]:
            decoder = msgspec.msgpack.Decoder(kind)
            return [decoder.decode(verify_checksum(bytes(key), bytes(raw))) for key, raw in txn.cursor(table)]

        base = read_meta(b"base", SnapshotMetadata)
        index, revision, clock_ms = read_meta(b"applied", AppliedPosition)
        entries = read_table(self.log, Entry)
        for expected, entry in enumerate(entries, base.index + 1):
            if entry.index != expected:
                raise ValueError(f"its log has no entry {expected}")
        if not base.index <= index <= base.index + len(entries):
            raise ValueError(f"its state is at entry {index}, its log ends at {base.index + len(entries)}")
        items, events = read_table(self.keys, Item), read_table(self.history, Event)
        state = StoreState(index, revision, clock_ms, items, events, read_table(self.sessions, Session))
        return StoredMember(
            read_meta(b"identity", Identity), read_meta(b"hard", HardState), base, entries, state
        )

    @contextmanager
    def _writing(self) -> Iterator[lmdb.Transaction]:
        """One write transaction, committed and synced at the end of the `with` block.

        Raises:
            FolderError: if the transaction fails; nothing is written then.
        """
        try:
            with self.env.begin(write=True) as txn:
                yield txn
                self.reach_fault_point("before-commit")
            self.reach_fault_point("after-commit")
        except lmdb.MapFullError:
            raise FolderError(
                f"the store's folder {self.folder} is full: the limit is {self.env.info()['map_size']} bytes"
            ) from None
        except (lmdb.Error, OSError) as error:
            is_full = any(
                os.strerror(number) in str(error) for number in (errno.ENOSPC, errno.EFBIG, errno.EDQUOT)
            )
            reason = "its disk is full" if is_full else str(error)
            raise FolderError(f"the store's folder {self.folder} can't be written: {reason}") from None

    def write(self, batch: WriteBatch) -> None:
        """Writes the batch atomically; it is synced to the disk when this method returns.

        Raises:
            FolderError: if the write fails; nothing of the batch is written then.
        """
        with self._writing() as txn:
            self._put(txn, batch)

    def _put(self, txn: lmdb.Transaction, batch: WriteBatch) -> None:
        def put(table: Any, key: bytes, value: object) -> None:
            txn.put(key, add_checksum(key, _encode(value)), db=table)

        if batch.full_state is not None:
            self._put_full_state(txn, batch.full_state, put)
        if batch.identity is not None:
            put(self.meta, b"identity", batch.identity)
        if batch.raft_hard_state is not None:
            put(self.meta, b"hard", batch.raft_hard_state)
        if batch.entries:
            # Stored entries from this index on were never committed; those of a newer leader replace them.
            self._delete_range(txn, self.log, encode_number(batch.entries[0].index), None)
            for entry in batch.entries:
                put(self.log, encode_number(entry.index), entry)
            self.reach_fault_point("entries")
        if batch.unsaved is not None:
            self._put_unsaved(txn, batch.unsaved, put)
        if batch.applied is not None:
            put(self.meta, b"applied", batch.applied)
        if batch.base is not None:
            put(self.meta, b"base", batch.base)
            self._delete_range(txn, self.log, None, encode_number(batch.base.index + 1))

    def _put_full_state(self, txn: lmdb.Transaction, state: StoreState, put: Put) -> None:
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
            self._delete_range(txn, self.history, None, encode_number(unsaved.first_kept_revision))
        for client, session in unsaved.sessions.items():
            if session is None:
                txn.delete(client.encode(), db=self.sessions)
            else:
                put(self.sessions, client.encode(), session)
        self.reach_fault_point("state")

    def _delete_range(
        self, txn: lmdb.Transaction, table: Any, first: bytes | None, end: bytes | None
    ) -> None:
        """Deletes the keys from `first` (None: the beginning) up to but excluding `end` (None: the end)."""
        cursor = txn.cursor(table)
        found = cursor.set_range(first) if first is not None else cursor.first()
        while found and (end is None or bytes(cursor.key()) < end):
            found = cursor.delete()

    def size(self) -> int:
        """The size of the database file in bytes."""
        return (self.folder / "data.mdb").stat().st_size

    def close(self) -> None:
        """Closes the database and releases the folder for other processes."""
        self.env.close()
        os.close(self._lock)


def _lock(folder: Path) -> int:
    """Locks the folder for this process and returns the descriptor of the lock file.

    Raises:
        FolderError: if the folder can't be created, or another process has locked it.
    """
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
