"""Requests to the store over a subscription's connection.

They are repeated at the next machine when the connection is lost. Writes are named, so that one which is
repeated is applied once.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from gradegap.metrics import Metrics
from gradegap.observer.link import FRAME_OVERHEAD
from gradegap.observer.publisher_connection import PublisherConnection
from gradegap.observer.token_bucket import TokenBucket
from gradegap.store import wire

MAX_REQUESTS = 256  # in flight or waiting
RENEWAL_RESERVE_BYTES = 512  # bytes of the budget that requests leave for renewals
RESPONSE_MARGIN_S = 0.5  # that a response may take beyond the time that the machine was given
BUDGET_MARGIN_S = 0.001  # beyond the time at which the budget has recovered
REQUEST_KIND = "Ask"  # under which requests are counted in the traffic

ResponseCallback = Callable[[wire.Response], None]


@dataclass(frozen=True, slots=True)
class WriteName:
    """A client name and sequence number, by which a repeated write is applied once; see `machine.Command`."""

    client: str
    sequence_number: int


class WriteNames:
    """Names that no other write in flight has, each with a number that only grows."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix  # drawn at each start of the process
        self.free: deque[str] = deque()
        self.sequence_numbers: dict[str, int] = {}  # the last, by name

    def acquire(self) -> WriteName:
        """A name for one more write in flight."""
        client = self.free.popleft() if self.free else f"{self.prefix}-{len(self.sequence_numbers) + 1}"
        self.sequence_numbers[client] = sequence_number = self.sequence_numbers.get(client, 0) + 1
        return WriteName(client, sequence_number)

    def release(self, name: WriteName) -> None:
        """The write is answered."""
        self.free.append(name.client)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request to the store that is not answered yet."""

    serial: int
    body: wire.RequestBody
    callback: ResponseCallback
    deadline: float  # steady time, s, at which the caller gives up
    name: WriteName | None = None  # of a write that came without one
    sent: bool = False  # to some machine: what came of it may be unknown


class StoreRequests:
    """All requests of one node that are not answered yet."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics,
        bucket: TokenBucket,
        instance: str,
        connection: Callable[[], PublisherConnection | None],
        describe_age: Callable[[], str],
    ) -> None:
        """`connection` gives that of the subscription, where there is one; `describe_age` is for failures."""
        self.loop, self.metrics, self.bucket = loop, metrics, bucket
        self.connection, self.describe_age = connection, describe_age
        self.names = WriteNames(instance)
        self.serial = 0
        self.pending: dict[int, PendingRequest] = {}
        self.closed = False

    def request(
        self,
        body: wire.RequestBody,
        respond: ResponseCallback,
        timeout_s: float = 5.0,
        from_member: bool = False,
    ) -> None:
        """`respond` with one response, at the latest after `timeout_s` and a margin."""
        if self.closed or len(self.pending) >= MAX_REQUESTS:
            self.metrics.count("observer_requests_refused")
            why = "this process is leaving" if self.closed else "too many requests are under way"
            respond(wire.Response(0, "no", f"busy: {why}"))
            return
        self.serial += 1
        request = PendingRequest(self.serial, body, respond, time.monotonic() + timeout_s)
        if isinstance(body, wire.Transaction) and not body.client:
            self._name_write(request, body)
        self.pending[request.serial] = request
        self.loop.call_later(timeout_s + RESPONSE_MARGIN_S, self._time_out, request)
        self._send(request)

    def send_all(self) -> None:
        """A subscription was accepted: all that waits goes to its machine."""
        for request in list(self.pending.values()):
            self._send(request)

    def receive(self, response: wire.Response) -> None:
        """A machine's response."""
        request = self.pending.get(response.serial)
        if request is not None:
            self._finish(request, response)

    def close(self) -> None:
        """The process is leaving: every request is answered now, and no more are taken."""
        self.closed = True
        for request in list(self.pending.values()):
            self._give_up(request, "this process is leaving")

    def _name_write(self, request: PendingRequest, write: wire.Transaction) -> None:
        request.name = name = self.names.acquire()
        request.body = msgspec.structs.replace(write, client=name.client, seq=name.sequence_number)

    def _send(self, request: PendingRequest) -> None:
        """Now, as soon as the byte budget allows, or once there is a subscription."""
        connection = self.connection()
        now = time.monotonic()
        left = request.deadline - now
        if connection is None or request.serial not in self.pending or left <= 0:
            return
        body = msgspec.msgpack.encode(wire.Request(request.serial, request.body, left))
        size = len(body) + FRAME_OVERHEAD
        if size + RENEWAL_RESERVE_BYTES > self.bucket.burst or len(body) > connection.channel.max_frame_bytes:
            text = f"too_large: a request of {size} bytes; ask a member of the store at its own address"
            self._finish(request, wire.Response(0, "no", text))
        elif self.bucket.allows(now, size, RENEWAL_RESERVE_BYTES):
            request.sent = True
            connection.send(REQUEST_KIND, body)
        else:
            self.metrics.count("observer_requests_delayed")
            wait = self.bucket.wait(now, size, RENEWAL_RESERVE_BYTES) + BUDGET_MARGIN_S
            self.loop.call_later(wait, self._send, request)

    def _time_out(self, request: PendingRequest) -> None:
        if request.serial in self.pending:
            self._give_up(request, "no control machine answered in time")

    def _give_up(self, request: PendingRequest, why: str) -> None:
        if request.sent and isinstance(request.body, wire.Transaction):
            text = f"unknown: {why}; it may be committed or not: ask again, it does no harm twice"
            self._finish(request, wire.Response(0, "unknown", text))
            return
        text = (
            f"no_quorum: {why} ({self.describe_age()}); nothing was changed: ask again once the node is ready"
        )
        self._finish(request, wire.Response(0, "no_quorum", text))

    def _finish(self, request: PendingRequest, response: wire.Response) -> None:
        del self.pending[request.serial]
        if request.name is not None:
            self.names.release(request.name)
        request.callback(response)
