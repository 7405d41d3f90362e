"""The operators' console: HTTP/1.1 beside the clients' address, one call to a connection. Decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, Protocol, cast
from urllib.parse import unquote_to_bytes

import httptools
import structlog

from gradegap.metrics import Metrics

log = structlog.get_logger()

CALL_WAIT = 2.5  # s that a call may take to come whole
LARGEST = 8 * 1024  # bytes of a call, its body included
LONGEST_ID = 256  # characters
CALLERS = 16  # held at once; beyond, the oldest whose call isn't whole makes way
CALLERS_MOST = 32  # however new they are: what the descriptors' budget keeps for them
YOUNG = 0.1  # s during which a caller's bytes may be there, but not read yet
LINGER = 1.0  # s for a caller to end its side after its answer


class Verdict(NamedTuple):
    """What came of a call."""

    status: HTTPStatus
    text: str


DONE = Verdict(HTTPStatus.OK, "done")
Done = Callable[[Verdict], None]


class Operations(Protocol):
    """What can be asked of a node. Each calls `done` once, and with yes only when it is in force."""

    def ask_ready(self, done: Done) -> None: ...
    def take_out(self, server: str, done: Done) -> None: ...
    def call_back(self, server: str, done: Done) -> None: ...
    def out_of_service(self, done: Done) -> None: ...
    def in_service(self, done: Done) -> None: ...
    def ask_configuration(self, done: Done) -> None: ...
    def ask_in_force(self, done: Done) -> None: ...


class NoCall(ValueError):
    """A call that can't be carried out as it stands."""

    def __init__(self, status: HTTPStatus, text: str, allow: str = "") -> None:
        super().__init__(text)
        self.verdict = Verdict(status, text)
        self.allow = allow


def route(node: Operations, method: str, target: bytes) -> Callable[[Done], None]:
    """What a call asks for."""
    try:
        raw = httptools.parse_url(target).path or b""
        # Decoded part by part: an id may hold an escaped slash.
        parts = [unquote_to_bytes(part).decode() for part in raw.split(b"/")[1:]]
    except (httptools.HttpParserError, UnicodeDecodeError):
        raise NoCall(HTTPStatus.BAD_REQUEST, "a target that can't be read") from None
    allow, found = "PUT", None
    match parts:
        case ["control", "ready"]:
            allow, found = "GET", node.ask_ready
        case ["control", "configuration"]:
            allow, found = "GET", node.ask_configuration
        case ["control", "in-force"]:
            allow, found = "GET", node.ask_in_force
        case ["control", "out-of-service"]:
            found = node.out_of_service
        case ["control", "in-service"]:
            found = node.in_service
        case ["control", "save-servers", server, "offline" | "online" as way]:
            if not 0 < len(server) <= LONGEST_ID or not server.isprintable():
                raise NoCall(HTTPStatus.BAD_REQUEST, "no id of a save server")
            by_id = node.take_out if way == "offline" else node.call_back

            def found(done: Done) -> None:
                by_id(server, done)

    if found is None:
        raise NoCall(HTTPStatus.NOT_FOUND, "no such call")
    if method != allow:
        raise NoCall(HTTPStatus.METHOD_NOT_ALLOWED, f"asked for by {allow}", allow)
    return found


class Caller(asyncio.Protocol):
    """A connection to the console: one call, one answer."""

    def __init__(self, console: AdminApi) -> None:
        self.console = console
        self.loop = console.loop
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.began = self.loop.time()
        self.size = 0
        self.method = ""
        self.target = b""
        self.whole = False
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Guards against callers that say nothing, or half a call.
        self.timer = self.loop.call_later(CALL_WAIT, self.fail, HTTPStatus.REQUEST_TIMEOUT, "no whole call")
        self.console.took(self)

    def data_received(self, data: bytes) -> None:
        if self.answered or self.whole:
            return  # one call to a connection: what follows is read away
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail(HTTPStatus.BAD_REQUEST, "nothing to upgrade to")
            return
        except httptools.HttpParserError as error:
            self.fail(HTTPStatus.BAD_REQUEST, f"not HTTP: {error}")
            return
        if self.answered:
            return
        if self.whole:
            self._call()
        elif self.size > LARGEST:
            self.fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "too large")

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"content-length" and value.isdigit() and int(value[:20]) > LARGEST:
            # Answered before it comes: its bytes would only cost time.
            self.fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "too large")
        elif name == b"expect" and value.lower() == b"100-continue" and not self.answered:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_headers_complete(self) -> None:
        self.method = self.method or self.parser.get_method().decode("ascii", "replace")

    def on_message_complete(self) -> None:
        self.whole = True

    def _call(self) -> None:
        self.console.idle.pop(self, None)
        try:
            call = route(self.console.node, self.method, self.target)
        except NoCall as error:
            self.answer(error.verdict, error.allow)
            return
        if self.method != "GET":
            log.info("called", by=self.method, target=self.target.decode("ascii", "replace"))
        call(self.answer)

    def fail(self, status: HTTPStatus, text: str) -> None:
        self.answer(Verdict(status, text))

    def answer(self, verdict: Verdict, allow: str = "") -> None:
        transport = self.transport
        if self.answered or transport is None:
            return
        self.answered = True
        status, body = verdict.status, f"{verdict.text}\n".encode("utf-8", "replace")
        self.console.metrics.count(f"console_{status.value}")
        self.console.idle.pop(self, None)
        self.console.answered[self] = None
        head = f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        head += f"Allow: {allow}\r\n" if allow else ""
        head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        transport.write(head.encode() + body)
        if not transport.is_closing():
            # Only our side ends: a close with bytes unread would reset what the caller has yet to read.
            transport.write_eof()
        self._wait(LINGER)

    def _wait(self, length: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(length, self.close)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        if not self.answered and not self.whole:
            self.fail(HTTPStatus.BAD_REQUEST, "no whole call")
        # A caller may end its side behind its call, and still gets its answer.
        return not self.answered

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.console.left(self)


class AdminApi:
    """The listener, and who calls."""

    def __init__(self, node: Operations, loop: asyncio.AbstractEventLoop, metrics: Metrics) -> None:
        self.node = node
        self.loop = loop
        self.metrics = metrics
        self.callers: dict[Caller, None] = {}
        self.idle: dict[Caller, None] = {}  # whose call isn't whole, the oldest first
        self.answered: dict[Caller, None] = {}  # who have yet to end their side
        self.server: asyncio.Server | None = None
        metrics.gauge("console_callers", lambda: len(self.callers))

    async def start(self, host: str, port: int) -> None:
        self.server = await self.loop.create_server(lambda: Caller(self), host, port, backlog=128)

    def took(self, caller: Caller) -> None:
        """Guards against callers that hold connections and so shut out others."""
        self.callers[caller] = None
        self.idle[caller] = None
        if len(self.callers) <= CALLERS:
            return
        oldest = next(iter(self.answered or self.idle))
        if oldest is caller and len(self.callers) <= CALLERS_MOST:
            return
        young = not oldest.answered and self.loop.time() - oldest.began < YOUNG
        if not young or len(self.callers) > CALLERS_MOST:
            self.metrics.count("console_made_way")
            oldest.fail(HTTPStatus.SERVICE_UNAVAILABLE, "too many callers")
            self.left(oldest)
            if oldest.transport is not None:
                oldest.transport.close()

    def left(self, caller: Caller) -> None:
        self.callers.pop(caller, None)
        self.idle.pop(caller, None)
        self.answered.pop(caller, None)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            if caller.answered or not caller.whole:
                caller.close()


__all__ = ["CALLERS_MOST", "DONE", "AdminApi", "Caller", "Done", "Verdict", "route"]
