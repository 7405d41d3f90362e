"""The replicated state: what the log makes of it, entry after entry, the same at every member.

No clock, no file, no socket. All that an entry may depend on is in the log, its time included. What changed
since the last `drain` is kept apart, so that a disk can write it along with the next entries.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

LONGEST_KEY = 480  # bytes: what LMDB takes
LARGEST_VALUE = 64 * 1024  # bytes, as msgpack
MOST_KEYS = 200_000
MOST_BYTES = 128 * 1024 * 1024  # of keys and values together
MOST_OPS = 128  # in a transaction
MOST_SESSIONS = 50_000  # of writes at once at all members, and of clients that name themselves
HISTORY = 10_000  # events that can be watched from, and rolled back
HISTORY_BYTES = 16 * 1024 * 1024
LONGEST_TTL = 366 * 86_400_000  # ms


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A key with its value and the revisions that made and last changed it."""

    key: str
    value: Any
    created: int
    changed: int
    version: int = 1  # how often it was written since it was made
    expires: int = 0  # log time in ms; 0: never
    author: str = ""
    wall_ms: int = 0  # when, by the wall clock of the leader of then


class Event(msgspec.Struct, frozen=True, array_like=True):
    """One change, with what stood there before."""

    revision: int
    key: str
    value: Any
    deleted: bool
    before: Any
    existed: bool
    author: str
    wall_ms: int
    cause: str = "write"  # or "expired"
    order: int = 0  # within the revision


class Compare(msgspec.Struct, frozen=True, array_like=True):
    """Holds where the key was last changed at `revision` (0: is not there), or has this value."""

    key: str
    revision: int | None = None
    value: Any = None


class Op(msgspec.Struct, frozen=True, array_like=True):
    """A put, or a delete; `ttl_ms` after which the leader ends the key."""

    key: str
    value: Any = None
    delete: bool = False
    ttl_ms: int = 0


class Command(msgspec.Struct, frozen=True, array_like=True, tag="write"):
    """A transaction: all of `then` where each compare holds, else all of `otherwise`.

    `client` and `seq` name it, so that one that is tried again is applied once; `until` (log time, ms) bounds
    when it may still be applied, and so how long that has to be remembered.
    """

    client: str
    seq: int
    until: int
    author: str
    compares: tuple[Compare, ...] = ()
    then: tuple[Op, ...] = ()
    otherwise: tuple[Op, ...] = ()


class Expire(msgspec.Struct, frozen=True, array_like=True, tag="expire"):
    """Ends the keys whose time is over by the time of this entry."""


class Logged(msgspec.Struct, frozen=True, array_like=True):
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
    client: str
    seq: int
    until: int
    result: Result


class State(msgspec.Struct, frozen=True, array_like=True):
    """All of it, as a snapshot has it."""

    index: int
    revision: int
    clock: int
    items: list[Item]
    events: list[Event]
    sessions: list[Session]


_logged: msgspec.msgpack.Decoder[Logged] = msgspec.msgpack.Decoder(Logged)
_state: msgspec.msgpack.Decoder[State] = msgspec.msgpack.Decoder(State)
encode = msgspec.msgpack.Encoder().encode


class BadCommand(ValueError):
    """A command that no member applies; its text begins with the reason."""


def check_op(op: Op) -> None:
    """Guards the state against keys and values that would fill it; the same rule at every member."""
    if not 0 < len(op.key.encode()) <= LONGEST_KEY or not op.key.isprintable() or " " in op.key:
        raise BadCommand("bad_key: a key has 1 to 480 bytes of printable characters and no space")
    if not op.delete and len(encode(op.value)) > LARGEST_VALUE:
        raise BadCommand(f"too_large: a value has at most {LARGEST_VALUE} bytes")
    if not 0 <= op.ttl_ms <= LONGEST_TTL:
        raise BadCommand("bad_ttl: a time to live is 0 to 366 days")


@dataclass(slots=True)
class Dirty:
    """What is to be written since the last time."""

    items: dict[str, Item | None] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    events_from: int = 0  # those of earlier revisions can go
    sessions: dict[str, Session | None] = field(default_factory=dict)


class Machine:
    def __init__(self) -> None:
        self.index = 0  # of the last entry that was applied
        self.revision = 0
        self.clock = 0  # log time, ms
        self.items: dict[str, Item] = {}
        self.size = 0
        self.events: deque[Event] = deque()
        self.event_bytes = 0
        self.sessions: dict[str, Session] = {}
        self.dirty = Dirty()
        self.watchers: list[Callable[[list[Event]], None]] = []
        self._ending: list[tuple[int, str]] = []
        self._forgetting: list[tuple[int, str]] = []

    # What an entry does

    def apply(self, index: int, data: bytes) -> Result:
        """An entry of the log, in order. It never raises for what a client said: that is its result."""
        self.index = index
        logged = _logged.decode(data)
        self.clock = max(self.clock, logged.time_ms)
        self._forget_sessions()
        if isinstance(logged.body, Expire):
            return self._expire(logged.wall_ms)
        return self._command(logged.body, logged.wall_ms)

    def skip(self, index: int) -> None:
        """An entry that is not for the state."""
        self.index = index

    def _command(self, c: Command, wall_ms: int) -> Result:
        known = self.sessions.get(c.client)
        if known is not None and known.seq >= c.seq:
            if known.seq == c.seq:
                return known.result
            return Result(self.revision, False, "stale: a later command of this client is applied")
        if c.until < self.clock:
            return Result(self.revision, False, "too_old: it came after its time")
        if known is None and len(self.sessions) >= MOST_SESSIONS:
            return Result(self.revision, False, "busy: too many clients wrote within the last minute")
        result = self._transact(c, wall_ms)
        until = max(c.until, known.until if known is not None else 0)
        session = self.sessions[c.client] = Session(c.client, c.seq, until, result)
        self.dirty.sessions[c.client] = session
        heapq.heappush(self._forgetting, (until, c.client))
        return result

    def _transact(self, c: Command, wall_ms: int) -> Result:
        held = all(self._holds(compare) for compare in c.compares)
        ops = c.then if held else c.otherwise
        try:
            self._check(ops)
        except BadCommand as error:
            return Result(self.revision, False, str(error))
        events: list[Event] = []
        for op in ops:
            self._do(op, c.author, wall_ms, events)
        self._commit(events)
        return Result(self.revision, held)

    def _check(self, ops: tuple[Op, ...]) -> None:
        """All of a transaction, or none of it."""
        if len(ops) > MOST_OPS:
            raise BadCommand(f"too_large: a transaction has at most {MOST_OPS} parts")
        if len({op.key for op in ops}) != len(ops):
            raise BadCommand("twice: a transaction names each key once")
        new, grown = 0, 0
        for op in ops:
            check_op(op)
            if not op.delete:
                new += op.key not in self.items
                grown += len(op.key) + len(encode(op.value))
        if len(self.items) + new > MOST_KEYS or self.size + grown > MOST_BYTES:
            raise BadCommand("full: the store has no room for more")

    def _holds(self, compare: Compare) -> bool:
        item = self.items.get(compare.key)
        if compare.revision is not None:
            return (0 if item is None else item.changed) == compare.revision
        return item is not None and bool(item.value == compare.value)

    def _do(self, op: Op, author: str, wall_ms: int, events: list[Event], cause: str = "write") -> None:
        old = self.items.get(op.key)
        if op.delete and old is None:
            return
        revision = self.revision + 1
        before, existed = (None, False) if old is None else (old.value, True)
        events.append(
            Event(revision, op.key, op.value, op.delete, before, existed, author, wall_ms, cause, len(events))
        )
        if old is not None:
            self.size -= len(old.key) + len(encode(old.value))
        if op.delete:
            del self.items[op.key]
            self.dirty.items[op.key] = None
            return
        made, version = (revision, 1) if old is None else (old.created, old.version + 1)
        expires = self.clock + op.ttl_ms if op.ttl_ms else 0
        item = Item(op.key, op.value, made, revision, version, expires, author, wall_ms)
        self._put(item)
        self.dirty.items[op.key] = item

    def _put(self, item: Item) -> None:
        self.items[item.key] = item
        self.size += len(item.key) + len(encode(item.value))
        if item.expires:
            heapq.heappush(self._ending, (item.expires, item.key))

    def _commit(self, events: list[Event]) -> None:
        if not events:
            return
        self.revision += 1
        self.dirty.events += events
        for event in events:
            self._remember(event)
        while len(self.events) > HISTORY or self.event_bytes > HISTORY_BYTES:
            self.event_bytes -= event_size(self.events.popleft())
        # A revision is remembered whole or not at all.
        while self.events and self.events[0].order:
            self.event_bytes -= event_size(self.events.popleft())
        self.dirty.events_from = self.events[0].revision if self.events else self.revision + 1
        for watcher in list(self.watchers):
            watcher(events)

    def _remember(self, event: Event) -> None:
        self.events.append(event)
        self.event_bytes += event_size(event)

    def _expire(self, wall_ms: int) -> Result:
        events: list[Event] = []
        while self._ending and self._ending[0][0] <= self.clock and len(events) < MOST_OPS:
            expires, key = heapq.heappop(self._ending)
            item = self.items.get(key)
            if item is not None and item.expires == expires:
                self._do(Op(key, delete=True), item.author, wall_ms, events, "expired")
        self._commit(events)
        return Result(self.revision)

    def next_expiry(self) -> int | None:
        """The log time at which the next key ends."""
        while self._ending:
            expires, key = self._ending[0]
            item = self.items.get(key)
            if item is not None and item.expires == expires:
                return expires
            heapq.heappop(self._ending)
        return None

    def _forget_sessions(self) -> None:
        while self._forgetting and self._forgetting[0][0] < self.clock:
            until, client = heapq.heappop(self._forgetting)
            session = self.sessions.get(client)
            if session is not None and session.until == until:
                del self.sessions[client]
                self.dirty.sessions[client] = None

    # What is read

    def get(self, key: str) -> Item | None:
        return self.items.get(key)

    def list(self, prefix: str = "") -> list[Item]:
        return [self.items[k] for k in sorted(self.items) if k.startswith(prefix)]

    @property
    def first_watchable(self) -> int:
        return self.events[0].revision if self.events else self.revision + 1

    def since(self, revision: int, prefix: str = "") -> Iterator[Event]:
        """Changes from `revision` on; `BadCommand` where they are forgotten."""
        if revision < self.first_watchable:
            raise BadCommand(f"compacted: changes are kept from revision {self.first_watchable}")
        return (e for e in self.events if e.revision >= revision and e.key.startswith(prefix))

    def at(self, revision: int, prefix: str) -> dict[str, Any]:
        """The values as they were after `revision`; `BadCommand` where that is forgotten."""
        if not 0 <= revision <= self.revision:
            raise BadCommand(f"no_such_revision: the store is at {self.revision}")
        if revision + 1 < self.first_watchable:
            raise BadCommand(f"compacted: changes are kept from revision {self.first_watchable}")
        then = {i.key: i.value for i in self.list(prefix)}
        for event in reversed(self.events):
            if event.revision <= revision:
                break
            if event.key.startswith(prefix):
                if event.existed:
                    then[event.key] = event.before
                else:
                    then.pop(event.key, None)
        return then

    # Whole

    def digest(self) -> str:
        """The same at two members that hold the same keys."""
        made = hashlib.blake2b(digest_size=16)
        for key in sorted(self.items):
            made.update(encode(self.items[key]))
        return made.hexdigest()

    def state(self) -> State:
        return State(
            self.index,
            self.revision,
            self.clock,
            list(self.items.values()),
            list(self.events),
            list(self.sessions.values()),
        )

    def load(self, state: State) -> None:
        """Take a state in place of this one. Watchers see the difference as changes of its revision."""
        old, self.items = self.items, {}
        self.index, self.revision, self.clock = state.index, state.revision, state.clock
        self.size, self._ending, self._forgetting = 0, [], []
        for item in state.items:
            self._put(item)
        self.events, self.event_bytes = deque(), 0
        for event in state.events:
            self._remember(event)
        self.sessions = {s.client: s for s in state.sessions}
        self._forgetting = [(s.until, s.client) for s in state.sessions]
        heapq.heapify(self._forgetting)
        self.dirty = Dirty()
        jumped = [
            Event(i.changed, i.key, i.value, False, None, i.key in old, i.author, i.wall_ms, "snapshot")
            for i in self.items.values()
            if i.key not in old or old[i.key].changed != i.changed
        ]
        jumped += [
            Event(self.revision, key, None, True, item.value, True, "", 0, "snapshot")
            for key, item in old.items()
            if key not in self.items
        ]
        if jumped:
            for watcher in list(self.watchers):
                watcher(jumped)

    def drain(self) -> Dirty:
        """What changed since the last call, to be written."""
        dirty, self.dirty = self.dirty, Dirty(events_from=self.dirty.events_from)
        return dirty


def event_size(event: Event) -> int:
    return len(event.key) + len(encode(event.value)) + len(encode(event.before)) + 64


def pack(state: State) -> bytes:
    """A snapshot: msgpack, compressed."""
    import zstandard

    return zstandard.ZstdCompressor(level=3).compress(encode(state))


def unpack(data: bytes) -> State:
    """`ValueError` where it is none."""
    import zstandard

    try:
        raw = zstandard.ZstdDecompressor().decompress(data, max_output_size=4 * MOST_BYTES)
        return _state.decode(raw)
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise ValueError(f"no snapshot: {error}") from None
