"""Requests to the store over a subscription's connection.

When the connection is lost, requests are sent again to the next machine. Writes carry a name and a sequence
number, so that a write that is sent twice is applied once.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from gradegap.metrics import Metrics
from gradegap.observer.link import FRAME_OVERHEAD_BYTES
from gradegap.observer.publisher_connection import PublisherConnection
from gradegap.observer.token_bucket import TokenBucket
from gradegap.store import wire

MAX_REQUESTS = 256  # limit on the number of requests in flight or waiting
RENEWAL_RESERVE_BYTES = 512  # bytes of the byte budget that requests leave unused for renewals
RESPONSE_MARGIN_S = 0.5  # added to the timeout sent to the machine, to allow for the response's delay
# margin added to the computed wait until the byte budget allows a request
BUDGET_MARGIN_S = 0.001
REQUEST_KIND = "Ask"  # the message kind under which requests are counted in the traffic

ResponseCallback = Callable[[wire.Response], None]


@dataclass(frozen=True, slots=True)
class WriteName:
    """A client name and sequence number that identify a repeated write; see `store.records.Command`."""

    client: str
    sequence_number: int


class WriteNames:
    """Client names that are unique among the writes in flight, each with an increasing sequence number."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix  # random prefix of client names, different for each process
        self.unused: deque[str] = deque()
        self.sequence_numbers: dict[str, int] = {}  # last sequence number used, by client name

    def acquire(self) -> WriteName:
        """Returns a name for another write in flight."""
        client = self.unused.popleft() if self.unused else f"{self.prefix}-{len(self.sequence_numbers) + 1}"
        self.sequence_numbers[client] = sequence_number = self.sequence_numbers.get(client, 0) + 1
        return WriteName(client, sequence_number)

    def release(self, name: WriteName) -> None:
        """Make a client name available again, once its write is answered."""
        self.unused.append(name.client)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request to the store that is not answered yet."""

    serial: int
    body: wire.RequestBody
    callback: ResponseCallback
    deadline: float  # steady time, s
    name: WriteName | None = None  # assigned by `StoreRequests` to a write without a client name
    # the request was sent to a machine at least once, so the outcome of a write may be unknown
    was_sent: bool = False


class StoreRequests:
    """All requests of one node to the store that are not answered yet."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics,
        bucket: TokenBucket,
        instance: str,
        get_connection: Callable[[], PublisherConnection | None],
        describe_age: Callable[[], str],
    ) -> None:
        """Create the queue of requests.

        `get_connection` returns the connection of the accepted subscription, or None. `describe_age` returns
        the text about the last confirmation that is added to error messages.
        """
        self.loop, self.metrics, self.bucket = loop, metrics, bucket
        self.get_connection, self.describe_age = get_connection, describe_age
        self.names = WriteNames(instance)
        self.serial = 0
        self.pending: dict[int, PendingRequest] = {}
        self.is_closed = False

    def request(
        self,
        body: wire.RequestBody,
        respond: ResponseCallback,
        timeout_s: float = 5.0,
        from_member: bool = False,
    ) -> None:
        """Send a request, and call `respond` with one response within `timeout_s` and a margin."""
        if self.is_closed or len(self.pending) >= MAX_REQUESTS:
            self.metrics.count("observer_requests_refused")
            reason = "this process is leaving" if self.is_closed else "too many requests in flight"
            respond(wire.Response(0, "no", f"busy: {reason}"))
            return
        self.serial += 1
        request = PendingRequest(self.serial, body, respond, time.monotonic() + timeout_s)
        if isinstance(body, wire.Transaction) and not body.client:
            self._name_write(request, body)
        self.pending[request.serial] = request
        self.loop.call_later(timeout_s + RESPONSE_MARGIN_S, self._time_out, request)
        self._send(request)

    def send_all(self) -> None:
        """Send all unanswered requests to the machine that has just accepted the subscription."""
        for request in list(self.pending.values()):
            self._send(request)

    def receive(self, response: wire.Response) -> None:
        """Handle a response from the control machine."""
        request = self.pending.get(response.serial)
        if request is not None:
            self._finish(request, response)

    def close(self) -> None:
        """Fail every unanswered request, and reject new ones, because the process is leaving."""
        self.is_closed = True
        for request in list(self.pending.values()):
            self._fail(request, "this process is leaving")

    def _name_write(self, request: PendingRequest, write: wire.Transaction) -> None:
        request.name = name = self.names.acquire()
        request.body = msgspec.structs.replace(write, client=name.client, seq=name.sequence_number)

    def _send(self, request: PendingRequest) -> None:
        """Send a request once the byte budget allows; without a subscription, `send_all` sends it later."""
        connection = self.get_connection()
        now = time.monotonic()
        remaining_s = request.deadline - now
        if connection is None or request.serial not in self.pending or remaining_s <= 0:
            return
        body = msgspec.msgpack.encode(wire.Request(request.serial, request.body, remaining_s))
        size_bytes = len(body) + FRAME_OVERHEAD_BYTES
        if (
            size_bytes + RENEWAL_RESERVE_BYTES > self.bucket.burst
            or len(body) > connection.channel.max_frame_bytes
        ):
            text = f"too_large: the request has {size_bytes} bytes; send it to a member of the store"
            self._finish(request, wire.Response(0, "no", text))
        elif self.bucket.allows(now, size_bytes, RENEWAL_RESERVE_BYTES):
            request.was_sent = True
            connection.send(REQUEST_KIND, body)
        else:
            self.metrics.count("observer_requests_delayed")
            wait_s = self.bucket.wait(now, size_bytes, RENEWAL_RESERVE_BYTES) + BUDGET_MARGIN_S
            self.loop.call_later(wait_s, self._send, request)

    def _time_out(self, request: PendingRequest) -> None:
        if request.serial in self.pending:
            self._fail(request, "no control machine answered in time")

    def _fail(self, request: PendingRequest, reason: str) -> None:
        if request.was_sent and isinstance(request.body, wire.Transaction):
            text = f"unknown: {reason}; the write may be committed: retrying it is safe"
            self._finish(request, wire.Response(0, "unknown", text))
            return
        text = (
            f"no_quorum: {reason} ({self.describe_age()}); nothing was changed: retry once the node is ready"
        )
        self._finish(request, wire.Response(0, "no_quorum", text))

    def _finish(self, request: PendingRequest, response: wire.Response) -> None:
        del self.pending[request.serial]
        if request.name is not None:
            self.names.release(request.name)
        request.callback(response)
