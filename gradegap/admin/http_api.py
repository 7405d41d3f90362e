"""The operators' HTTP API: HTTP/1.1 beside the clients' address, one call to a connection."""

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
"""From the connection to the end of its call."""

CALL_MAX_BYTES = 8 * 1024
"""Of a call, its body included."""

CALLERS_SOFT_MAX = 16
"""Connections held at once; beyond, the oldest whose call isn't complete is closed."""

CALLERS_MAX = 32
"""Connections, however new they are: what the descriptors' budget keeps for them."""

UNREAD_CALL_GRACE_S = 0.1
"""From the connection on, while its call may have arrived and not be read yet."""

LINGER_S = 1.0
"""For a caller to close its side after its answer."""

LISTEN_BACKLOG = 128


class CallState(Enum):
    """How far a connection's one call is."""

    RECEIVING = auto()
    COMPLETE = auto()
    """Received; its operation is under way."""
    ANSWERED = auto()


class AdminConnection(asyncio.Protocol):
    """A connection to the admin API: one call, one answer."""

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
        """Wait for a call. Guards against callers that send nothing, or half a call."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.loop.call_later(
            CALL_TIMEOUT_S, self.fail, HTTPStatus.REQUEST_TIMEOUT, "no whole call"
        )
        self.api.add(self)

    def data_received(self, data: bytes) -> None:
        """Read the call; whatever follows it is dropped."""
        if self.state is not CallState.RECEIVING:
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail(HTTPStatus.BAD_REQUEST, "nothing to upgrade to")
            return
        except httptools.HttpParserError as error:
            self.fail(HTTPStatus.BAD_REQUEST, f"not HTTP: {error}")
            return
        self._after_data()

    def _after_data(self) -> None:
        if self.state is CallState.COMPLETE:
            self._run_call()
        elif self.state is CallState.RECEIVING and self.received_bytes > CALL_MAX_BYTES:
            self.fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "too large")

    def on_url(self, url: bytes) -> None:
        """Parser: a part of the target."""
        if self.state is CallState.RECEIVING:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser: a header."""
        name = name.lower()
        if name == b"content-length" and value.isdigit() and int(value[:20]) > CALL_MAX_BYTES:
            # Answered before the body arrives: its bytes would only cost time.
            self.fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "too large")
        elif name == b"expect" and value.lower() == b"100-continue" and self.state is not CallState.ANSWERED:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_headers_complete(self) -> None:
        """Parser: the headers' end."""
        self.method = self.method or self.parser.get_method().decode("ascii", "replace")

    def on_message_complete(self) -> None:
        """Parser: the call's end."""
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
        """Answer a call that can't be carried out."""
        self.answer(AdminResult(status, text))

    def answer(self, result: AdminResult, allow: str = "") -> None:
        """Send the call's answer and close this side; harmless once that is done."""
        transport = self.transport
        if self.state is CallState.ANSWERED or transport is None:
            return
        self.state = CallState.ANSWERED
        self.api.record_answer(self, result.status)
        transport.write(_response(result, allow))
        if not transport.is_closing():
            # Only our side ends: a close with bytes unread would reset what the caller has yet to read.
            transport.write_eof()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(LINGER_S, self.close)

    def close(self) -> None:
        """Close at once, whatever is under way."""
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        """The caller has closed its side; behind a complete call it still gets its answer."""
        if self.state is CallState.RECEIVING:
            self.fail(HTTPStatus.BAD_REQUEST, "no whole call")
        return self.state is not CallState.ANSWERED

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
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
    """The listener of a node's admin API, and its connections."""

    def __init__(self, node: AdminOperations, loop: asyncio.AbstractEventLoop, metrics: Metrics) -> None:
        self.node = node
        self.loop = loop
        self.metrics = metrics
        self.connections: dict[AdminConnection, None] = {}
        self.receiving: dict[AdminConnection, None] = {}
        """Whose call isn't complete, the oldest first."""
        self.answered: dict[AdminConnection, None] = {}
        """Who have yet to close their side, the oldest first."""
        self.server: asyncio.Server | None = None
        metrics.gauge("admin_callers", lambda: len(self.connections))

    async def start(self, host: str, port: int) -> None:
        """Listen; raises `OSError` where the address can't be had."""
        self.server = await self.loop.create_server(
            lambda: AdminConnection(self), host, port, backlog=LISTEN_BACKLOG
        )

    def add(self, connection: AdminConnection) -> None:
        """Hold a new connection. Guards against callers that hold connections and so shut out others."""
        self.connections[connection] = None
        self.receiving[connection] = None
        if len(self.connections) <= CALLERS_SOFT_MAX:
            return
        oldest = next(iter(self.answered or self.receiving))
        full = len(self.connections) > CALLERS_MAX
        if oldest is connection and not full:
            return
        unread = oldest.state is not CallState.ANSWERED
        new = unread and self.loop.time() - oldest.connected_at < UNREAD_CALL_GRACE_S
        if not new or full:
            self.metrics.count("admin_callers_evicted")
            oldest.fail(HTTPStatus.SERVICE_UNAVAILABLE, "too many callers")
            self.remove(oldest)
            if oldest.transport is not None:
                oldest.transport.close()

    def record_answer(self, connection: AdminConnection, status: HTTPStatus) -> None:
        """A connection has its answer, and is to close its side."""
        self.metrics.count(f"admin_answers_{status.value}")
        self.receiving.pop(connection, None)
        self.answered[connection] = None

    def remove(self, connection: AdminConnection) -> None:
        """A connection has ended."""
        self.connections.pop(connection, None)
        self.receiving.pop(connection, None)
        self.answered.pop(connection, None)

    def close(self) -> None:
        """Stop listening; calls whose operation is under way still get their answer."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.state is not CallState.COMPLETE:
                connection.close()
