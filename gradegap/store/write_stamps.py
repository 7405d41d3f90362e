"""What a write is stamped with before it is proposed: its client, its number and until when it is good.

By these it can be proposed again when a leader is lost, and is applied once.
"""

from __future__ import annotations

import secrets
import time

import msgspec

from gradegap.store import schema, wire
from gradegap.store.errors import CommandError
from gradegap.store.host import RequestHost
from gradegap.store.records import check_update

WRITE_LIFETIME_MS = 120_000  # of log time within which a write may be applied
MAX_CLIENT_NAME_LENGTH = 64
MAX_AUTHOR_LENGTH = 128


class LogClockEstimate:
    """The log's time as far as it is known at a member; it may be behind."""

    def __init__(self, host: RequestHost) -> None:
        self.host = host
        self._observed_at = 0.0  # steady time, s
        self._observed_ms = 0

    def observe(self, clock_ms: int) -> None:
        """A response named the leader's log time."""
        self._observed_at, self._observed_ms = time.monotonic(), clock_ms

    def now_ms(self) -> int:
        """The log time now."""
        raft = self.host.raft
        if raft is not None and raft.is_leader:
            return self.host.log_clock()
        applied_ms = self.host.machine.clock_ms
        if not self._observed_ms:
            return max(applied_ms, 0)
        elapsed_ms = int((time.monotonic() - self._observed_at) * 1000)
        return max(applied_ms, self._observed_ms + elapsed_ms)


class WriteStamper:
    """Checks the writes of a member's clients, and stamps those that bear no stamp of their own."""

    def __init__(self, clock: LogClockEstimate) -> None:
        self.clock = clock
        self._prefix = secrets.token_hex(6)
        self._sequences: dict[str, int] = {}  # the last number that each name was used with
        self._free_names: list[str] = []

    def check_and_stamp(self, write: wire.Transaction) -> wire.Transaction:
        """The write as it can be proposed; `CommandError` for one that no member would apply."""
        for update in (*write.then, *write.otherwise):
            check_update(update)
            schema.validate_update(update)
        if len(write.client) > MAX_CLIENT_NAME_LENGTH or len(write.author) > MAX_AUTHOR_LENGTH:
            raise CommandError("bad_name: a client's or author's name is too long")
        if write.client and write.deadline_ms:
            return write
        if write.client:
            client, sequence = write.client, write.seq or 1
        else:
            client, sequence = self._next_name()
        return msgspec.structs.replace(write, client=client, seq=sequence, deadline_ms=self.new_deadline())

    def new_deadline(self) -> int:
        """The log time (ms) until which a write that is sent now may be applied."""
        return self.clock.now_ms() + WRITE_LIFETIME_MS

    def _next_name(self) -> tuple[str, int]:
        # A name is free again once its write is answered: there are as many as writes at once, not as many as
        # writes. Every member remembers each for as long as it may come again.
        client = self._free_names.pop() if self._free_names else f"{self._prefix}-{len(self._sequences)}"
        sequence = self._sequences[client] = self._sequences.get(client, 0) + 1
        return client, sequence

    def release(self, client: str) -> None:
        """The write of this name has its response."""
        if client in self._sequences:
            self._free_names.append(client)
