"""The records of the replicated state: what entries of the log, snapshots and the folder hold. No I/O.

All are stored array-like: the order of their fields is the format. Log time is the leaders' steady clock in
milliseconds since the cluster began, as entries carry it; wall-clock times are Unix milliseconds.
"""

from __future__ import annotations

from typing import Any

import msgspec

from gradegap.store.errors import CommandError

MAX_KEY_BYTES = 480  # what LMDB takes
MAX_VALUE_BYTES = 64 * 1024  # as msgpack
MAX_TTL_MS = 366 * 86_400_000  # 366 days
EVENT_OVERHEAD_BYTES = 64  # of an event in memory, beside its key and values
MAX_STATE_BYTES = 128 * 1024 * 1024  # of keys and values together


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A key with its value and the revisions that made and last changed it."""

    key: str
    value: Any
    created_revision: int
    modified_revision: int
    version: int = 1  # how often it was written since it was made
    expires_at_ms: int = 0  # log time in ms; 0: never
    author: str = ""
    wall_ms: int = 0  # when, by the wall clock of the leader of then


class Event(msgspec.Struct, frozen=True, array_like=True):
    """One change, with the previous value."""

    revision: int
    key: str
    value: Any
    deleted: bool
    previous_value: Any
    existed_before: bool
    author: str
    wall_ms: int
    cause: str = "write"  # or "expired"
    position: int = 0  # within the revision


class Compare(msgspec.Struct, frozen=True, array_like=True):
    """Holds where the key was last changed at `revision` (0: it is not there), or has this value."""

    key: str
    revision: int | None = None
    value: Any = None


class KeyUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A put, or a delete; `ttl_ms` after which the leader ends the key."""

    key: str
    value: Any = None
    delete: bool = False
    ttl_ms: int = 0


class Command(msgspec.Struct, frozen=True, array_like=True, tag="write"):
    """A transaction: all of `then` where each compare holds, else all of `otherwise`.

    `client` and `seq` name it, so that one that is proposed again is applied once; `deadline_ms` (log time)
    bounds when it may still be applied, and so how long it has to be remembered.
    """

    client: str
    seq: int
    deadline_ms: int
    author: str
    compares: tuple[Compare, ...] = ()
    then: tuple[KeyUpdate, ...] = ()
    otherwise: tuple[KeyUpdate, ...] = ()


class Expire(msgspec.Struct, frozen=True, array_like=True, tag="expire"):
    """Ends the keys whose time is over by the time of this entry."""


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """An entry's data: the leader's log time and wall clock, and what is to be done."""

    time_ms: int
    wall_ms: int
    body: Command | Expire


class Result(msgspec.Struct, frozen=True, array_like=True):
    """What came of a command. `error` is empty, or begins with the reason that is counted."""

    revision: int
    succeeded: bool = True  # whether the compares held
    error: str = ""


class Session(msgspec.Struct, frozen=True, array_like=True):
    """The last command of a client with its result, kept until no copy of it may be applied any more."""

    client: str
    seq: int
    remembered_until_ms: int
    result: Result


class StoreState(msgspec.Struct, frozen=True, array_like=True):
    """All of it, as a snapshot has it."""

    index: int
    revision: int
    clock_ms: int  # log time
    items: list[Item]
    events: list[Event]
    sessions: list[Session]


encode = msgspec.msgpack.Encoder().encode


def check_update(update: KeyUpdate) -> None:
    """Guards the state against keys and values that would fill it; the same rule at every member."""
    key = update.key
    if not 0 < len(key.encode()) <= MAX_KEY_BYTES or not key.isprintable() or " " in key:
        raise CommandError("bad_key: a key has 1 to 480 bytes of printable characters and no space")
    if not update.delete and len(encode(update.value)) > MAX_VALUE_BYTES:
        raise CommandError(f"too_large: a value has at most {MAX_VALUE_BYTES} bytes")
    if not 0 <= update.ttl_ms <= MAX_TTL_MS:
        raise CommandError("bad_ttl: a time to live is 0 to 366 days")


def event_size(event: Event) -> int:
    """About the bytes that an event takes in memory."""
    values = len(encode(event.value)) + len(encode(event.previous_value))
    return len(event.key) + values + EVENT_OVERHEAD_BYTES
