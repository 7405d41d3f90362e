"""The replicated state: what the log makes of it, entry after entry, the same at every member.

No clock, no file, no socket. All that an entry may depend on is in the log, its time included. What changed
since the last `take_unsaved` is kept apart, so that a disk can write it along with the next entries.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gradegap.store.errors import CommandError
from gradegap.store.records import (
    MAX_STATE_BYTES,
    Command,
    Compare,
    Event,
    Expire,
    Item,
    KeyUpdate,
    LogRecord,
    Result,
    Session,
    StoreState,
    check_update,
    encode,
    event_size,
)

MAX_KEYS = 200_000
MAX_TRANSACTION_UPDATES = 128
MAX_SESSIONS = 50_000  # of writes at once at all members, and of clients that name themselves
MAX_HISTORY_EVENTS = 10_000  # events that can be watched from, and rolled back
MAX_HISTORY_BYTES = 16 * 1024 * 1024

_record_decoder: msgspec.msgpack.Decoder[LogRecord] = msgspec.msgpack.Decoder(LogRecord)


@dataclass(slots=True)
class UnsavedChanges:
    """What has changed since it was last taken to be written; None: deleted."""

    items: dict[str, Item | None] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    first_kept_revision: int = 0  # events of earlier revisions can go
    sessions: dict[str, Session | None] = field(default_factory=dict)


class StateMachine:
    """The keys with their history, and the sessions of those who write them.

    `listeners` are called with the events of each revision, once it is applied.
    """

    def __init__(self) -> None:
        self.index = 0  # of the last entry that was applied
        self.revision = 0
        self.clock_ms = 0  # log time
        self.items: dict[str, Item] = {}
        self.size_bytes = 0  # of keys and values
        self.events: deque[Event] = deque()
        self.history_bytes = 0
        self.sessions: dict[str, Session] = {}
        self.unsaved = UnsavedChanges()
        self.listeners: list[Callable[[list[Event]], None]] = []
        self._expiry_queue: list[tuple[int, str]] = []
        self._session_queue: list[tuple[int, str]] = []

    # What an entry does

    def apply(self, index: int, data: bytes) -> Result:
        """An entry of the log, in order. It never raises for what a client sent: that is its result."""
        self.index = index
        record = _record_decoder.decode(data)
        self.clock_ms = max(self.clock_ms, record.time_ms)
        self._forget_sessions()
        if isinstance(record.body, Expire):
            return self._expire(record.wall_ms)
        return self._command(record.body, record.wall_ms)

    def skip(self, index: int) -> None:
        """An entry that is not for this state."""
        self.index = index

    def _command(self, command: Command, wall_ms: int) -> Result:
        known = self.sessions.get(command.client)
        if known is not None and known.seq >= command.seq:
            if known.seq == command.seq:
                return known.result
            return Result(self.revision, False, "stale: a later command of this client is applied")
        if command.deadline_ms < self.clock_ms:
            return Result(self.revision, False, "too_old: it came after its time")
        if known is None and len(self.sessions) >= MAX_SESSIONS:
            return Result(self.revision, False, "busy: too many clients wrote within the last minute")
        result = self._transact(command, wall_ms)
        until = max(command.deadline_ms, known.remembered_until_ms if known is not None else 0)
        session = self.sessions[command.client] = Session(command.client, command.seq, until, result)
        self.unsaved.sessions[command.client] = session
        heapq.heappush(self._session_queue, (until, command.client))
        return result

    def _transact(self, command: Command, wall_ms: int) -> Result:
        held = all(self._compare_holds(compare) for compare in command.compares)
        updates = command.then if held else command.otherwise
        try:
            self._check_transaction(updates)
        except CommandError as error:
            return Result(self.revision, False, str(error))
        events: list[Event] = []
        for update in updates:
            self._update(update, command.author, wall_ms, events)
        self._commit_events(events)
        return Result(self.revision, held)

    def _check_transaction(self, updates: tuple[KeyUpdate, ...]) -> None:
        """All of a transaction, or none of it."""
        if len(updates) > MAX_TRANSACTION_UPDATES:
            raise CommandError(f"too_large: a transaction has at most {MAX_TRANSACTION_UPDATES} parts")
        if len({update.key for update in updates}) != len(updates):
            raise CommandError("twice: a transaction names each key once")
        new_keys, new_bytes = 0, 0
        for update in updates:
            check_update(update)
            if not update.delete:
                new_keys += update.key not in self.items
                new_bytes += len(update.key) + len(encode(update.value))
        if len(self.items) + new_keys > MAX_KEYS or self.size_bytes + new_bytes > MAX_STATE_BYTES:
            raise CommandError("full: the store has no room for more")

    def _compare_holds(self, compare: Compare) -> bool:
        item = self.items.get(compare.key)
        if compare.revision is not None:
            return (0 if item is None else item.modified_revision) == compare.revision
        return item is not None and bool(item.value == compare.value)

    def _update(
        self, update: KeyUpdate, author: str, wall_ms: int, events: list[Event], cause: str = "write"
    ) -> None:
        old = self.items.get(update.key)
        if update.delete and old is None:
            return
        revision = self.revision + 1
        events.append(
            Event(
                revision,
                update.key,
                update.value,
                update.delete,
                previous_value=old.value if old is not None else None,
                existed_before=old is not None,
                author=author,
                wall_ms=wall_ms,
                cause=cause,
                position=len(events),
            )
        )
        if old is not None:
            self.size_bytes -= len(old.key) + len(encode(old.value))
        if update.delete:
            del self.items[update.key]
            self.unsaved.items[update.key] = None
            return
        created, version = (revision, 1) if old is None else (old.created_revision, old.version + 1)
        expires = self.clock_ms + update.ttl_ms if update.ttl_ms else 0
        item = Item(update.key, update.value, created, revision, version, expires, author, wall_ms)
        self._insert(item)
        self.unsaved.items[update.key] = item

    def _insert(self, item: Item) -> None:
        self.items[item.key] = item
        self.size_bytes += len(item.key) + len(encode(item.value))
        if item.expires_at_ms:
            heapq.heappush(self._expiry_queue, (item.expires_at_ms, item.key))

    def _commit_events(self, events: list[Event]) -> None:
        if not events:
            return
        self.revision += 1
        self.unsaved.events += events
        for event in events:
            self._append_history(event)
        while len(self.events) > MAX_HISTORY_EVENTS or self.history_bytes > MAX_HISTORY_BYTES:
            self.history_bytes -= event_size(self.events.popleft())
        # A revision is remembered whole or not at all.
        while self.events and self.events[0].position:
            self.history_bytes -= event_size(self.events.popleft())
        self.unsaved.first_kept_revision = self.events[0].revision if self.events else self.revision + 1
        self._notify(events)

    def _notify(self, events: list[Event]) -> None:
        for listener in list(self.listeners):
            listener(events)

    def _append_history(self, event: Event) -> None:
        self.events.append(event)
        self.history_bytes += event_size(event)

    def _expire(self, wall_ms: int) -> Result:
        events: list[Event] = []
        while (
            self._expiry_queue
            and self._expiry_queue[0][0] <= self.clock_ms
            and len(events) < MAX_TRANSACTION_UPDATES
        ):
            expires, key = heapq.heappop(self._expiry_queue)
            item = self.items.get(key)
            if item is not None and item.expires_at_ms == expires:
                self._update(KeyUpdate(key, delete=True), item.author, wall_ms, events, "expired")
        self._commit_events(events)
        return Result(self.revision)

    def next_expiry(self) -> int | None:
        """The log time at which the next key ends."""
        while self._expiry_queue:
            expires, key = self._expiry_queue[0]
            item = self.items.get(key)
            if item is not None and item.expires_at_ms == expires:
                return expires
            heapq.heappop(self._expiry_queue)
        return None

    def _forget_sessions(self) -> None:
        while self._session_queue and self._session_queue[0][0] < self.clock_ms:
            until, client = heapq.heappop(self._session_queue)
            session = self.sessions.get(client)
            if session is not None and session.remembered_until_ms == until:
                del self.sessions[client]
                self.unsaved.sessions[client] = None

    # What is read

    def get(self, key: str) -> Item | None:
        """One key; None where it is not there."""
        return self.items.get(key)

    def list(self, prefix: str = "") -> list[Item]:
        """The keys that begin so, in order."""
        return [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]

    @property
    def first_retained_revision(self) -> int:
        """The revision from which on all changes are remembered."""
        return self.events[0].revision if self.events else self.revision + 1

    def events_since(self, revision: int, prefix: str = "") -> Iterator[Event]:
        """Changes from `revision` on; `CommandError` where they are forgotten."""
        if revision < self.first_retained_revision:
            raise CommandError(f"compacted: changes are kept from revision {self.first_retained_revision}")
        return (event for event in self.events if event.revision >= revision and event.key.startswith(prefix))

    def values_at(self, revision: int, prefix: str) -> dict[str, Any]:
        """The values as they were after `revision`; `CommandError` where that is forgotten."""
        if not 0 <= revision <= self.revision:
            raise CommandError(f"no_such_revision: the store is at {self.revision}")
        if revision + 1 < self.first_retained_revision:
            raise CommandError(f"compacted: changes are kept from revision {self.first_retained_revision}")
        values = {item.key: item.value for item in self.list(prefix)}
        for event in reversed(self.events):
            if event.revision <= revision:
                break
            if event.key.startswith(prefix):
                if event.existed_before:
                    values[event.key] = event.previous_value
                else:
                    values.pop(event.key, None)
        return values

    # Whole

    def digest(self) -> str:
        """The same at two members that hold the same keys."""
        digest = hashlib.blake2b(digest_size=16)
        for key in sorted(self.items):
            digest.update(encode(self.items[key]))
        return digest.hexdigest()

    def export_state(self) -> StoreState:
        """All of the state, as a snapshot has it."""
        return StoreState(
            self.index,
            self.revision,
            self.clock_ms,
            list(self.items.values()),
            list(self.events),
            list(self.sessions.values()),
        )

    def load_state(self, state: StoreState) -> None:
        """Take a state in place of this one. Listeners see the difference as changes of its revision."""
        old, self.items = self.items, {}
        self.index, self.revision, self.clock_ms = state.index, state.revision, state.clock_ms
        self.size_bytes, self._expiry_queue, self._session_queue = 0, [], []
        for item in state.items:
            self._insert(item)
        self.events, self.history_bytes = deque(), 0
        for event in state.events:
            self._append_history(event)
        self.sessions = {session.client: session for session in state.sessions}
        self._session_queue = [(session.remembered_until_ms, session.client) for session in state.sessions]
        heapq.heapify(self._session_queue)
        self.unsaved = UnsavedChanges()
        events = _difference(old, self.items, self.revision)
        if events:
            self._notify(events)

    def take_unsaved(self) -> UnsavedChanges:
        """What changed since the last call, to be written."""
        unsaved = self.unsaved
        self.unsaved = UnsavedChanges(first_kept_revision=unsaved.first_kept_revision)
        return unsaved


def _difference(old: dict[str, Item], new: dict[str, Item], revision: int) -> list[Event]:
    """The events that lead from old items to new ones; deletions are of `revision`."""
    puts = [
        Event(
            item.modified_revision,
            item.key,
            item.value,
            deleted=False,
            previous_value=None,
            existed_before=item.key in old,
            author=item.author,
            wall_ms=item.wall_ms,
            cause="snapshot",
        )
        for item in new.values()
        if item.key not in old or old[item.key].modified_revision != item.modified_revision
    ]
    deletes = [
        Event(
            revision,
            key,
            value=None,
            deleted=True,
            previous_value=item.value,
            existed_before=True,
            author="",
            wall_ms=0,
            cause="snapshot",
        )
        for key, item in old.items()
        if key not in new
    ]
    return puts + deletes
