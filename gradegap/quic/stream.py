"""One stream of a QUIC connection as the channel of one client session.

A connection may carry many sessions: each of the client's bidirectional streams is one, with a req and a
final answer of its own. How it ended is told by a code: where the connection has had one session, by the
connection's close; else by STOP_SENDING, and by RESET_STREAM where it broke.
"""

from __future__ import annotations

import asyncio
from enum import IntEnum
from typing import Protocol

from gradegap.downstream.session import LINGER, ClientSession, Ending, Resuming
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.quic.connection import HeldConnection
from gradegap.transport.sockets import HIGH_WATER

OVERRUN = 8 * 1024 * 1024  # bytes waiting for a client beyond which its session is given up
DRAIN_CHECK = 0.02  # s between two looks whether a paused backend may go on


class CloseCode(IntEnum):
    """Application error codes of a connection's end: what the last line said."""

    SERVED = 0x0
    REFUSED = 0x1
    FAILED = 0x2
    BAD_LINE = 0x3
    MOVED = 0x4
    RESET = 0x5
    OVERRUN = 0x6
    LEAVING = 0x7


CODES = {
    Ending.SERVED: CloseCode.SERVED,
    Ending.REFUSED: CloseCode.REFUSED,
    Ending.FAILED: CloseCode.FAILED,
    Ending.BAD: CloseCode.BAD_LINE,
    Ending.MOVED: CloseCode.MOVED,
    Ending.RESET: CloseCode.RESET,
}


class Link(Protocol):
    """The connection, as a stream needs it."""

    loop: asyncio.AbstractEventLoop
    connection: HeldConnection
    gone: bool

    @property
    def proxy(self) -> Proxy: ...
    @property
    def metrics(self) -> Metrics: ...
    @property
    def resuming(self) -> Resuming | None: ...
    def ready(self) -> bool: ...
    def flush_soon(self) -> None: ...
    def ended(self, stream: StreamChannel, code: CloseCode) -> None: ...


class StreamChannel:
    """A client's stream, from its first octet on."""

    def __init__(self, link: Link, number: int, spent: float) -> None:
        """`spent`: s that the connection took to come up, where this is its first stream."""
        self.link, self.number = link, number
        self.loop = link.loop
        self.closing = False  # our side of the stream has ended
        self.full = False  # the backend is not read while the client is slow
        self.client_ended = False
        self.session = ClientSession(link.proxy, link.metrics, self, link.ready, spent)
        self.session.resuming = link.resuming

    # From the connection

    def data(self, data: bytes, end: bool) -> None:
        self.client_ended = self.client_ended or end
        if self.closing:
            return
        if data:
            self.session.data(data)
        if end:
            self.session.eof()

    def broken(self) -> None:
        """The client has reset its side, or hears no more."""
        self.session.lost(reset=True)

    # The channel of the session

    def left(self) -> bool:
        return self.link.gone or self.client_ended

    def pinged(self) -> None:
        pass

    def opened(self) -> None:
        pass

    def write(self, data: bytes) -> None:
        link = self.link
        if link.gone or self.closing:
            return
        link.connection.say(self.number, data)
        link.flush_soon()
        waiting = link.connection.unsent(self.number)
        if waiting > OVERRUN:
            link.metrics.count("quic_overrun")
            self._broke(CloseCode.OVERRUN)
            self.session.lost(reset=True)
        elif waiting > HIGH_WATER and not self.full:
            self.full = True
            self.session.drained(full=True)
            self.loop.call_later(DRAIN_CHECK, self._look_drained)

    def _look_drained(self) -> None:
        if self.link.gone or self.closing:
            return
        if self.link.connection.unsent(self.number) > HIGH_WATER // 4:
            self.loop.call_later(DRAIN_CHECK, self._look_drained)
        else:
            self.full = False
            self.session.drained(full=False)

    def pause(self) -> None:
        self.link.connection.held.add(self.number)

    def resume(self) -> None:
        if self.number in self.link.connection.held:
            self.link.connection.held.discard(self.number)
            if not self.link.gone:
                self.link.connection.send_ping(0)  # something to carry the raised windows
                self.link.flush_soon()

    def close(self, ending: Ending) -> None:
        """End our side; the connection is told once the client has all that was said."""
        if self.link.gone or self.closing:
            return
        code = CODES[ending]
        self.link.metrics.count(f"quic_closed_{code.name.lower()}")
        if ending is Ending.RESET:
            self._broke(code)
            return
        self.closing = True
        self.link.connection.say(self.number, b"", end=True)
        self.link.flush_soon()
        self._close_delivered(code, self.loop.time() + LINGER)

    def _broke(self, code: CloseCode) -> None:
        if not self.closing:
            self.closing = True
            self.link.connection.reset(self.number, code)
            self._over(code)

    def _close_delivered(self, code: CloseCode, latest: float) -> None:
        if self.link.gone:
            return
        if self.link.connection.delivered(self.number) or self.loop.time() >= latest:
            self._over(code)
        else:
            self.loop.call_later(DRAIN_CHECK, self._close_delivered, code, latest)

    def _over(self, code: CloseCode) -> None:
        self.link.connection.held.discard(self.number)
        self.link.ended(self, code)
