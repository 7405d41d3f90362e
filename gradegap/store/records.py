"""Data types of the replicated state, as stored in log entries, snapshots and data folders. No I/O.

All structs are encoded as arrays, so the order of their fields is the storage format. Log time is the steady
clock of the leaders in milliseconds since the cluster was formed; each log entry contains it. Wall-clock
times are Unix milliseconds.
"""

from __future__ import annotations

from typing import Any

import msgspec

from gradegap.store.errors import CommandError

MAX_KEY_BYTES = 480  # within LMDB's limit for the length of a key
MAX_VALUE_BYTES = 64 * 1024  # limit on the size of a value encoded as msgpack
MAX_TTL_MS = 366 * 86_400_000  # 366 days
EVENT_OVERHEAD_BYTES = 64  # estimated memory of an event in addition to its key and values
MAX_STATE_BYTES = 128 * 1024 * 1024  # limit on the total size of all keys and values


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A key with its value, and the revisions at which it was created and last modified."""

    key: str
    value: Any
    created_revision: int
    modified_revision: int
    version: int = 1  # number of writes since the key was created
    expires_at_ms: int = 0  # log time in ms; 0: the key does not expire
    author: str = ""
    wall_ms: int = 0  # wall-clock time of the last write at the leader that proposed it


class Event(msgspec.Struct, frozen=True, array_like=True):
    """One change of a key, with the key's previous value."""

    revision: int
    key: str
    value: Any
    deleted: bool
    previous_value: Any
    existed_before: bool
    author: str
    wall_ms: int
    cause: str = "write"  # "write", "expired", or "snapshot" for a difference found when a snapshot is loaded
    position: int = 0  # index of this change among the changes of its revision


class Compare(msgspec.Struct, frozen=True, array_like=True):
    """A condition on a key.

    With a `revision`, it holds if the key was last modified at that revision; 0 means that the key does not
    exist. Without one, it holds if the key exists and has this value.
    """

    key: str
    revision: int | None = None
    value: Any = None


class KeyUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A put or a delete of one key; the leader deletes the key `ttl_ms` after a put (0: never)."""

    key: str
    value: Any = None
    delete: bool = False
    ttl_ms: int = 0


class Command(msgspec.Struct, frozen=True, array_like=True, tag="write"):
    """A transaction: applies all of `then` if every compare holds, else all of `otherwise`.

    `client` and `seq` identify the command, so that one that is proposed several times is applied once.
    `deadline_ms` is the log time until which it may be applied; members remember its result until then.
    """

    client: str
    seq: int
    deadline_ms: int
    author: str
    compares: tuple[Compare, ...] = ()
    then: tuple[KeyUpdate, ...] = ()
    otherwise: tuple[KeyUpdate, ...] = ()


class Expire(msgspec.Struct, frozen=True, array_like=True, tag="expire"):
    """Deletes the keys whose time to live has ended at the log time of this entry."""


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """The data of a log entry: the leader's log time and wall-clock time, and the operation to apply."""

    time_ms: int
    wall_ms: int
    body: Command | Expire


class Result(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command. `error` is empty, or begins with the reason under which metrics count it."""

    revision: int
    succeeded: bool = True  # whether all compares held
    error: str = ""


class Session(msgspec.Struct, frozen=True, array_like=True):
    """The last command of a client and its result, kept until the latest deadline of its commands."""

    client: str
    seq: int
    remembered_until_ms: int
    result: Result


class StoreState(msgspec.Struct, frozen=True, array_like=True):
    """The complete replicated state, as a snapshot holds it."""

    index: int
    revision: int
    clock_ms: int  # log time (ms)
    items: list[Item]
    events: list[Event]
    sessions: list[Session]


encode = msgspec.msgpack.Encoder().encode


def check_update(update: KeyUpdate) -> None:
    """Rejects invalid keys, and values and times to live over their limits; all members apply the same rule.

    The error texts are part of the replicated results.

    Raises:
        CommandError: if the key, the value or the time to live is not allowed.
    """
    key = update.key
    if not 0 < len(key.encode()) <= MAX_KEY_BYTES or not key.isprintable() or " " in key:
        raise CommandError("bad_key: a key has 1 to 480 bytes of printable characters and no space")
    if not update.delete and len(encode(update.value)) > MAX_VALUE_BYTES:
        raise CommandError(f"too_large: a value has at most {MAX_VALUE_BYTES} bytes")
    if not 0 <= update.ttl_ms <= MAX_TTL_MS:
        raise CommandError("bad_ttl: a time to live is 0 to 366 days")


def event_size_bytes(event: Event) -> int:
    """The estimated size of an event in memory, in bytes."""
    values = len(encode(event.value)) + len(encode(event.previous_value))
    return len(event.key) + values + EVENT_OVERHEAD_BYTES
