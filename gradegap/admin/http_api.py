"""The operators' HTTP/1.1 API, on a separate address; each connection is for one call."""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from http import HTTPStatus
from typing import cast

import httptools
import structlog

from gradegap.admin.operations import AdminOperations, AdminResult
from gradegap.admin.routes import InvalidCallError, route
from gradegap.metrics import Metrics

log = structlog.get_logger()

CALL_TIMEOUT_S = 2.5
"""Time from accepting a connection until its call has to be complete."""

CALL_MAX_BYTES = 8 * 1024
"""Maximum size of a call, its body included."""

CALLERS_SOFT_MAX = 16
"""Number of connections above which a new one evicts the oldest.

Answered connections are evicted first, then those whose call is not complete.
"""

CALLERS_MAX = 32
"""Hard limit of connections, which also evicts recent ones; the descriptor budget reserves this many."""

UNREAD_CALL_GRACE_S = 0.1
"""Minimum age of a connection evicted by the soft limit; a younger one's call may be received but unread."""

LINGER_S = 1.0
"""Time that a caller has to close its side of the connection after the answer."""

LISTEN_BACKLOG = 128


class CallState(Enum):
    """State of a connection's only call."""

    RECEIVING = auto()
    COMPLETE = auto()
    """The call is received and its operation is in progress."""
    ANSWERED = auto()


class AdminConnection(asyncio.Protocol):
    """A connection to the admin API, for one call and its answer."""

    def __init__(self, api: AdminApi) -> None:
        self.api = api
        self.loop = api.loop
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.connected_at = self.loop.time()
        self.received_bytes = 0
        self.method = ""
        self.target = b""
        self.state = CallState.RECEIVING
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout, which guards against callers that send nothing or an incomplete call."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.loop.call_later(
            CALL_TIMEOUT_S, self.fail, HTTPStatus.REQUEST_TIMEOUT, "call not complete in time"
        )
        self.api.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse the call; data after it is discarded."""
        if self.state is not CallState.RECEIVING:
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail(HTTPStatus.BAD_REQUEST, "protocol upgrade not supported")
            return
        except httptools.HttpParserError as error:
            self.fail(HTTPStatus.BAD_REQUEST, f"invalid HTTP: {error}")
            return
        self._after_data()

    def _after_data(self) -> None:
        if self.state is CallState.COMPLETE:
            self._run_call()
        elif self.state is CallState.RECEIVING and self.received_bytes > CALL_MAX_BYTES:
            self.fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"call exceeds {CALL_MAX_BYTES} bytes")

    def on_url(self, url: bytes) -> None:
        """Parser callback: a part of the request target."""
        if self.state is CallState.RECEIVING:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header."""
        name = name.lower()
        if name == b"content-length" and value.isdigit() and int(value[:20]) > CALL_MAX_BYTES:
            # The call is rejected before its body arrives: reading the body would only cost time.
            self.fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"call exceeds {CALL_MAX_BYTES} bytes")
        elif name == b"expect" and value.lower() == b"100-continue" and self.state is not CallState.ANSWERED:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_headers_complete(self) -> None:
        """Parser callback: the headers are complete."""
        self.method = self.method or self.parser.get_method().decode("ascii", "replace")

    def on_message_complete(self) -> None:
        """Parser callback: the call is complete."""
        if self.state is CallState.RECEIVING:
            self.state = CallState.COMPLETE

    def _run_call(self) -> None:
        self.api.receiving.pop(self, None)
        try:
            operation = route(self.api.node, self.method, self.target)
        except InvalidCallError as error:
            self.answer(error.result, error.allow)
            return
        if self.method != "GET":
            log.info("admin call", method=self.method, target=self.target.decode("ascii", "replace"))
        operation(self.answer)

    def fail(self, status: HTTPStatus, text: str) -> None:
        """Answer the call with an error."""
        self.answer(AdminResult(status, text))

    def answer(self, result: AdminResult, allow: str = "") -> None:
        """Send the answer and half-close the connection; does nothing if an answer has been sent."""
        transport = self.transport
        if self.state is CallState.ANSWERED or transport is None:
            return
        self.state = CallState.ANSWERED
        self.api.record_answer(self, result.status)
        transport.write(_response(result, allow))
        if not transport.is_closing():
            # Only this side is closed: closing with unread bytes would reset the connection before the caller
            # has read the answer.
            transport.write_eof()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(LINGER_S, self.close)

    def close(self) -> None:
        """Abort the connection, in any state of its call."""
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        """Handle the caller's half-close; a complete call still gets its answer."""
        if self.state is CallState.RECEIVING:
            self.fail(HTTPStatus.BAD_REQUEST, "connection closed before the call was complete")
        return self.state is not CallState.ANSWERED

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.api.remove(self)


def _response(result: AdminResult, allow: str) -> bytes:
    status, body = result.status, f"{result.text}\n".encode("utf-8", "replace")
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: text/plain; charset=utf-8\r\n"
    head += f"Allow: {allow}\r\n" if allow else ""
    head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    return head.encode() + body


class AdminApi:
    """The listener of a node's admin API with its connections."""

    def __init__(self, node: AdminOperations, loop: asyncio.AbstractEventLoop, metrics: Metrics) -> None:
        self.node = node
        self.loop = loop
        self.metrics = metrics
        self.connections: dict[AdminConnection, None] = {}
        self.receiving: dict[AdminConnection, None] = {}
        """Connections whose call is not complete, the oldest first."""
        self.awaiting_close: dict[AdminConnection, None] = {}
        """Answered connections whose caller has not closed its side, the oldest first."""
        self.server: asyncio.Server | None = None
        metrics.gauge("admin_callers", lambda: len(self.connections))

    async def start(self, host: str, port: int) -> None:
        """Start listening.

        Raises:
            OSError: if the address cannot be bound.
        """
        self.server = await self.loop.create_server(
            lambda: AdminConnection(self), host, port, backlog=LISTEN_BACKLOG
        )

    def add(self, connection: AdminConnection) -> None:
        """Register a new connection, and evict one if there are too many.

        Guards against callers that keep connections open and so exclude others.
        """
        self.connections[connection] = None
        self.receiving[connection] = None
        if len(self.connections) <= CALLERS_SOFT_MAX:
            return
        oldest = next(iter(self.awaiting_close or self.receiving))
        is_full = len(self.connections) > CALLERS_MAX
        if oldest is connection and not is_full:
            return
        is_unanswered = oldest.state is not CallState.ANSWERED
        is_new = is_unanswered and self.loop.time() - oldest.connected_at < UNREAD_CALL_GRACE_S
        if not is_new or is_full:
            self.metrics.count("admin_callers_evicted")
            oldest.fail(HTTPStatus.SERVICE_UNAVAILABLE, "too many callers")
            self.remove(oldest)
            if oldest.transport is not None:
                oldest.transport.close()

    def record_answer(self, connection: AdminConnection, status: HTTPStatus) -> None:
        """Count an answer; its connection now waits for the caller to close."""
        self.metrics.count(f"admin_answers_{status.value}")
        self.receiving.pop(connection, None)
        self.awaiting_close[connection] = None

    def remove(self, connection: AdminConnection) -> None:
        """Remove a connection that has ended or is evicted."""
        self.connections.pop(connection, None)
        self.receiving.pop(connection, None)
        self.awaiting_close.pop(connection, None)

    def close(self) -> None:
        """Stop listening; calls whose operation is in progress still get their answer."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.state is not CallState.COMPLETE:
                connection.close()
