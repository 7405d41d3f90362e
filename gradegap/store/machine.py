"""The replicated state machine: applies log entries in order, with the same result at every member.

It uses no clock, file or socket: everything that the result of an entry depends on is in the log, including
the time. Changes since the last call of `take_unsaved` are collected separately, so that the log writer can
store them together with the next entries.
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
    event_size_bytes,
)

MAX_KEYS = 200_000
MAX_TRANSACTION_UPDATES = 128
# limit on sessions: one for each concurrent write at any member, and one for each client-chosen name
MAX_SESSIONS = 50_000
# limit on retained events: watches can start at one, and earlier values of keys are computed from them
MAX_HISTORY_EVENTS = 10_000
MAX_HISTORY_BYTES = 16 * 1024 * 1024  # limit on the estimated memory of all retained events

_record_decoder: msgspec.msgpack.Decoder[LogRecord] = msgspec.msgpack.Decoder(LogRecord)


@dataclass(slots=True)
class UnsavedChanges:
    """Changes of the state that are not yet written to disk; the value None stands for a deletion."""

    items: dict[str, Item | None] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    first_kept_revision: int = 0  # stored events of earlier revisions can be deleted; 0: none can be deleted
    sessions: dict[str, Session | None] = field(default_factory=dict)


class StateMachine:
    """The keys with their history, and the sessions of the clients that write them.

    Each of `listeners` is called with the events of a revision after the revision is applied.
    """

    def __init__(self) -> None:
        self.index = 0  # index of the last applied log entry
        self.revision = 0
        self.clock_ms = 0  # the latest log time (ms) of the applied entries
        self.items: dict[str, Item] = {}
        self.size_bytes = 0  # total size of all keys and encoded values
        self.events: deque[Event] = deque()
        self.history_bytes = 0
        self.sessions: dict[str, Session] = {}
        self.unsaved = UnsavedChanges()
        self.listeners: list[Callable[[list[Event]], None]] = []
        self._expiry_queue: list[tuple[int, str]] = []
        self._session_queue: list[tuple[int, str]] = []

    # Applying entries

    def apply(self, index: int, data: bytes) -> Result:
        """Applies the next log entry. An invalid command doesn't raise: its error is in the result."""
        self.index = index
        record = _record_decoder.decode(data)
        self.clock_ms = max(self.clock_ms, record.time_ms)
        self._forget_sessions()
        if isinstance(record.body, Expire):
            return self._expire(record.wall_ms)
        return self._apply_command(record.body, record.wall_ms)

    def skip(self, index: int) -> None:
        """Records as applied an entry that leaves the state as it is, such as a change of members."""
        self.index = index

    def _apply_command(self, command: Command, wall_ms: int) -> Result:
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
        session_end_ms = max(command.deadline_ms, known.remembered_until_ms if known is not None else 0)
        session = self.sessions[command.client] = Session(command.client, command.seq, session_end_ms, result)
        self.unsaved.sessions[command.client] = session
        heapq.heappush(self._session_queue, (session_end_ms, command.client))
        return result

    def _transact(self, command: Command, wall_ms: int) -> Result:
        holds = all(self._compare_holds(compare) for compare in command.compares)
        updates = command.then if holds else command.otherwise
        try:
            self._check_transaction(updates)
        except CommandError as error:
            return Result(self.revision, False, str(error))
        events: list[Event] = []
        for update in updates:
            self._apply_update(update, command.author, wall_ms, events)
        self._commit_events(events)
        return Result(self.revision, holds)

    def _check_transaction(self, updates: tuple[KeyUpdate, ...]) -> None:
        """Checks all updates before the first one is applied, because a transaction is atomic.

        The error texts are part of the replicated results.
        """
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

    def _apply_update(
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
        creation_revision, version = (revision, 1) if old is None else (old.created_revision, old.version + 1)
        expiry_ms = self.clock_ms + update.ttl_ms if update.ttl_ms else 0
        item = Item(
            update.key, update.value, creation_revision, revision, version, expiry_ms, author, wall_ms
        )
        self._insert_item(item)
        self.unsaved.items[update.key] = item

    def _insert_item(self, item: Item) -> None:
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
            self.history_bytes -= event_size_bytes(self.events.popleft())
        # The events of a revision are retained together or not at all.
        while self.events and self.events[0].position:
            self.history_bytes -= event_size_bytes(self.events.popleft())
        self.unsaved.first_kept_revision = self.events[0].revision if self.events else self.revision + 1
        self._notify(events)

    def _notify(self, events: list[Event]) -> None:
        for listener in list(self.listeners):
            listener(events)

    def _append_history(self, event: Event) -> None:
        self.events.append(event)
        self.history_bytes += event_size_bytes(event)

    def _expire(self, wall_ms: int) -> Result:
        events: list[Event] = []
        while (
            self._expiry_queue
            and self._expiry_queue[0][0] <= self.clock_ms
            and len(events) < MAX_TRANSACTION_UPDATES
        ):
            expiry_ms, key = heapq.heappop(self._expiry_queue)
            item = self.items.get(key)
            if item is not None and item.expires_at_ms == expiry_ms:
                self._apply_update(KeyUpdate(key, delete=True), item.author, wall_ms, events, "expired")
        self._commit_events(events)
        return Result(self.revision)

    def next_expiry(self) -> int | None:
        """The log time in ms at which the next key expires; None if no key expires."""
        while self._expiry_queue:
            expiry_ms, key = self._expiry_queue[0]
            item = self.items.get(key)
            if item is not None and item.expires_at_ms == expiry_ms:
                return expiry_ms
            heapq.heappop(self._expiry_queue)
        return None

    def _forget_sessions(self) -> None:
        while self._session_queue and self._session_queue[0][0] < self.clock_ms:
            session_end_ms, client = heapq.heappop(self._session_queue)
            session = self.sessions.get(client)
            if session is not None and session.remembered_until_ms == session_end_ms:
                del self.sessions[client]
                self.unsaved.sessions[client] = None

    # Reading

    def get(self, key: str) -> Item | None:
        """The item of a key; None if the key doesn't exist."""
        return self.items.get(key)

    def list(self, prefix: str = "") -> list[Item]:
        """The items whose keys begin with `prefix`, sorted by key."""
        return [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]

    @property
    def first_retained_revision(self) -> int:
        """The first revision since which all changes are in the history."""
        return self.events[0].revision if self.events else self.revision + 1

    def events_since(self, revision: int, prefix: str = "") -> Iterator[Event]:
        """The changes of keys with a prefix at `revision` and later.

        Raises:
            CommandError: if changes since `revision` are no longer in the history.
        """
        if revision < self.first_retained_revision:
            raise CommandError(f"compacted: the history begins at revision {self.first_retained_revision}")
        return (event for event in self.events if event.revision >= revision and event.key.startswith(prefix))

    def values_at(self, revision: int, prefix: str) -> dict[str, Any]:
        """The values of keys with a prefix as they were after `revision`.

        Raises:
            CommandError: if there is no such revision yet, or later changes are no longer in the history.
        """
        if not 0 <= revision <= self.revision:
            raise CommandError(f"no_such_revision: the latest revision is {self.revision}")
        if revision + 1 < self.first_retained_revision:
            raise CommandError(f"compacted: the history begins at revision {self.first_retained_revision}")
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

    # The complete state

    def digest(self) -> str:
        """A hash of all items; members with the same items have the same digest."""
        digest = hashlib.blake2b(digest_size=16)
        for key in sorted(self.items):
            digest.update(encode(self.items[key]))
        return digest.hexdigest()

    def export_state(self) -> StoreState:
        """The complete state, as a snapshot holds it."""
        return StoreState(
            self.index,
            self.revision,
            self.clock_ms,
            list(self.items.values()),
            list(self.events),
            list(self.sessions.values()),
        )

    def load_state(self, state: StoreState) -> None:
        """Replaces the state. Listeners are called with the differences, in one call for the new revision."""
        old, self.items = self.items, {}
        self.index, self.revision, self.clock_ms = state.index, state.revision, state.clock_ms
        self.size_bytes, self._expiry_queue, self._session_queue = 0, [], []
        for item in state.items:
            self._insert_item(item)
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
        """Returns the changes since the last call, which the caller writes to disk."""
        unsaved = self.unsaved
        self.unsaved = UnsavedChanges(first_kept_revision=unsaved.first_kept_revision)
        return unsaved


def _difference(old: dict[str, Item], new: dict[str, Item], revision: int) -> list[Event]:
    """The events that lead from the old items to the new ones; deletions have the given `revision`."""
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
