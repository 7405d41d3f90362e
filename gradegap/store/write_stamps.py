"""Stamps each write, before it is proposed, with a client name, a sequence number and a deadline.

With this stamp a write can be proposed again after the loss of a leader, and is still applied only once.
"""

from __future__ import annotations

import secrets
import time

import msgspec

from gradegap.store import schema, wire
from gradegap.store.errors import CommandError
from gradegap.store.host import RequestHost
from gradegap.store.records import check_update

WRITE_LIFETIME_MS = 120_000  # log time (ms) between the stamp of a write and its deadline
MAX_CLIENT_NAME_LENGTH = 64
MAX_AUTHOR_LENGTH = 128


class LogClockEstimate:
    """A member's estimate of the leader's log time; the estimate may lag."""

    def __init__(self, host: RequestHost) -> None:
        self.host = host
        self._observed_at = 0.0  # steady time (s) of the last observation
        self._observed_ms = 0  # log time (ms) of the last observation

    def observe(self, clock_ms: int) -> None:
        """Records the log time in ms that a response of the leader contains."""
        self._observed_at, self._observed_ms = time.monotonic(), clock_ms

    def now_ms(self) -> int:
        """The estimated current log time in ms."""
        raft = self.host.raft
        if raft is not None and raft.is_leader:
            return self.host.log_clock()
        applied_ms = self.host.machine.clock_ms
        if not self._observed_ms:
            return max(applied_ms, 0)
        elapsed_ms = int((time.monotonic() - self._observed_at) * 1000)
        return max(applied_ms, self._observed_ms + elapsed_ms)


class WriteStamper:
    """Validates the writes of a member's clients, and adds a stamp to those without one."""

    def __init__(self, clock: LogClockEstimate) -> None:
        self.clock = clock
        self._prefix = secrets.token_hex(6)
        self._sequences: dict[str, int] = {}  # the last sequence number used with each generated client name
        self._free_names: list[str] = []  # generated client names without a pending write

    def check_and_stamp(self, write: wire.Transaction) -> wire.Transaction:
        """Returns the write with a stamp, ready to be proposed.

        Raises:
            CommandError: if the write is invalid, so that every member would reject it.
        """
        for update in (*write.then, *write.otherwise):
            check_update(update)
            schema.validate_update(update)
        if len(write.client) > MAX_CLIENT_NAME_LENGTH or len(write.author) > MAX_AUTHOR_LENGTH:
            raise CommandError("bad_name: a client name has at most 64 characters, an author's at most 128")
        if write.client and write.deadline_ms:
            return write
        if write.client:
            client, sequence = write.client, write.seq or 1
        else:
            client, sequence = self._next_identity()
        return msgspec.structs.replace(write, client=client, seq=sequence, deadline_ms=self.new_deadline())

    def new_deadline(self) -> int:
        """The deadline (log time in ms) of a write that is stamped now."""
        return self.clock.now_ms() + WRITE_LIFETIME_MS

    def _next_identity(self) -> tuple[str, int]:
        # A name is reused once its write is answered, so there are only as many names as concurrent writes.
        # Every member keeps a session for each name until the deadline of its last write.
        client = self._free_names.pop() if self._free_names else f"{self._prefix}-{len(self._sequences)}"
        sequence = self._sequences[client] = self._sequences.get(client, 0) + 1
        return client, sequence

    def release(self, client: str) -> None:
        """Makes a generated client name available again, after the response to its write."""
        if client in self._sequences:
            self._free_names.append(client)
