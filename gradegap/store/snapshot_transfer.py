"""Sends a backup of the complete state to a client in pieces."""

from __future__ import annotations

import time
from typing import Protocol

from gradegap.store import wire
from gradegap.store.host import RequestHost
from gradegap.store.pending import ResponseCallback
from gradegap.store.state_snapshot import encode_snapshot

SNAPSHOT_PIECE_BYTES = 512 * 1024
CATCH_UP_PERIOD_S = 0.05  # interval between two checks whether this member has caught up with the leader
# No key begins with this character, so listing this prefix is a linearizable read with an empty result.
NO_SUCH_PREFIX = "\0"


class Requester(Protocol):
    """The interface of the service that answers requests at this member."""

    def request(self, body: wire.RequestBody, respond: ResponseCallback, timeout_s: float = 5.0) -> None:
        """Calls `respond` with the one response to a request."""


class SnapshotTransfer:
    """One backup: a linearizable read, after which the state is encoded in a thread and sent."""

    def __init__(
        self, host: RequestHost, requester: Requester, respond: ResponseCallback, timeout_s: float
    ) -> None:
        self.host, self.requester, self.respond, self.timeout_s = host, requester, respond, timeout_s
        self.expires_at = 0.0

    def start(self) -> None:
        """Starts the backup. The state is read from this member, so a follower catches up first."""
        raft = self.host.raft
        is_follower = raft is not None and not raft.is_leader
        continuation = self._wait_for_revision if is_follower else self._encode
        self.expires_at = time.monotonic() + self.timeout_s
        self.requester.request(wire.List(NO_SUCH_PREFIX), continuation, self.timeout_s)

    def _wait_for_revision(self, response: wire.Response) -> None:
        self.expires_at = time.monotonic() + self.timeout_s
        self._check_revision(response)

    def _check_revision(self, response: wire.Response) -> None:
        if response.outcome != "ok" or self.host.machine.revision >= response.revision:
            self._encode(response)
        elif time.monotonic() > self.expires_at:
            self.respond(wire.Response(0, "no_quorum", "no_quorum: this member is behind the leader"))
        else:
            self.host.loop.call_later(CATCH_UP_PERIOD_S, self._check_revision, response)

    def _encode(self, response: wire.Response) -> None:
        if response.outcome != "ok":
            self.respond(response)
            return
        state = self.host.machine.export_state()
        self.host.run_in_thread(self.host.thread.submit(encode_snapshot, state), self._send)

    def _send(self, data: bytes) -> None:
        revision = self.host.machine.revision
        for first in range(0, len(data), SNAPSHOT_PIECE_BYTES):
            piece = data[first : first + SNAPSHOT_PIECE_BYTES]
            more = first + SNAPSHOT_PIECE_BYTES < len(data)
            self.respond(wire.Response(0, revision=revision, data=piece, more=more))
