"""One stream of a QUIC connection as the channel of one client session.

A connection may carry many sessions: each of the client's bidirectional streams is one, with a req and a
final answer of its own. How it ended is told by a code: where the connection has had one session, by the
connection's close; else by STOP_SENDING, and by RESET_STREAM where it broke.
"""

from __future__ import annotations

import asyncio
from enum import IntEnum
from typing import Protocol

from gradegap.downstream.interfaces import LINGER_S, CloseReason
from gradegap.downstream.session import ClientSession, SessionResumption
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.quic.connection import HeldConnection
from gradegap.transport.sockets import WRITE_BUFFER_HIGH_BYTES

MAX_UNSENT_BYTES = 8 * 1024 * 1024  # bytes waiting for a client beyond which its session is given up
DRAIN_POLL_S = 0.02  # s between two looks whether a paused backend may go on


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
    CloseReason.SERVED: CloseCode.SERVED,
    CloseReason.REJECTED: CloseCode.REFUSED,
    CloseReason.FAILED: CloseCode.FAILED,
    CloseReason.INVALID_LINE: CloseCode.BAD_LINE,
    CloseReason.MIGRATED: CloseCode.MOVED,
    CloseReason.RESET: CloseCode.RESET,
}


class Connection(Protocol):
    """The connection, as a stream needs it."""

    loop: asyncio.AbstractEventLoop
    connection: HeldConnection
    terminated: bool

    @property
    def proxy(self) -> Proxy:
        """The proxy that takes the session's request."""
        ...

    @property
    def metrics(self) -> Metrics:
        """The node's counters."""
        ...

    @property
    def resuming(self) -> SessionResumption | None:
        """The node's resumable sessions, where it has any."""
        ...

    def ready(self) -> bool:
        """Whether new clients are to come to this node."""
        ...

    def flush_soon(self) -> None:
        """Send what is due, this turn."""
        ...

    def on_stream_ended(self, stream: StreamChannel, code: CloseCode) -> None:
        """The session is over, and its client has all that was sent."""
        ...


class StreamChannel:
    """A client's stream, from its first octet on."""

    def __init__(self, link: Connection, number: int, spent: float) -> None:
        """`spent`: s that the connection took to come up, where this is its first stream."""
        self.connection_channel, self.number = link, number
        self.loop = link.loop
        self.closing = False  # our side of the stream has ended
        self.paused = False  # the backend is not read while the client is slow
        self.client_ended = False
        self.session = ClientSession(link.proxy, link.metrics, self, link.ready, spent)
        self.session.resumption = link.resuming

    # From the connection

    def data(self, data: bytes, end: bool) -> None:
        """Octets from the client; `end`: its side has ended."""
        self.client_ended = self.client_ended or end
        if self.closing:
            return
        if data:
            self.session.on_data(data)
        if end:
            self.session.on_eof()

    def on_reset(self) -> None:
        """The client has reset its side, or hears no more."""
        self.session.on_channel_closed(reset=True)

    # The channel of the session

    def is_disconnected(self) -> bool:
        """Whether the client has gone away."""
        return self.connection_channel.terminated or self.client_ended

    def on_ping(self) -> None:
        """Nothing to do: streams are not evicted."""

    def on_request(self) -> None:
        """Nothing to do: streams are not evicted."""

    def write(self, data: bytes) -> None:
        """Send to the client; a client that is too slow loses its session."""
        link = self.connection_channel
        if link.terminated or self.closing:
            return
        link.connection.send_on_stream(self.number, data)
        link.flush_soon()
        waiting = link.connection.unsent_bytes(self.number)
        if waiting > MAX_UNSENT_BYTES:
            link.metrics.count("quic_overrun")
            self._broke(CloseCode.OVERRUN)
            self.session.on_channel_closed(reset=True)
        elif waiting > WRITE_BUFFER_HIGH_BYTES and not self.paused:
            self.paused = True
            self.session.on_backpressure(full=True)
            self.loop.call_later(DRAIN_POLL_S, self._look_drained)

    def _look_drained(self) -> None:
        if self.connection_channel.terminated or self.closing:
            return
        if self.connection_channel.connection.unsent_bytes(self.number) > WRITE_BUFFER_HIGH_BYTES // 4:
            self.loop.call_later(DRAIN_POLL_S, self._look_drained)
        else:
            self.paused = False
            self.session.on_backpressure(full=False)

    def pause(self) -> None:
        """Raise the client's window no further."""
        self.connection_channel.connection.paused_streams.add(self.number)

    def resume(self) -> None:
        """Raise the client's window again."""
        if self.number in self.connection_channel.connection.paused_streams:
            self.connection_channel.connection.paused_streams.discard(self.number)
            if not self.connection_channel.terminated:
                self.connection_channel.connection.send_ping(0)  # something to carry the raised windows
                self.connection_channel.flush_soon()

    def close(self, reason: CloseReason) -> None:
        """End our side; the connection is told once the client has all that was said."""
        if self.connection_channel.terminated or self.closing:
            return
        code = CODES[reason]
        self.connection_channel.metrics.count(f"quic_closed_{code.name.lower()}")
        if reason is CloseReason.RESET:
            self._broke(code)
            return
        self.closing = True
        self.connection_channel.connection.send_on_stream(self.number, b"", end=True)
        self.connection_channel.flush_soon()
        self._close_delivered(code, self.loop.time() + LINGER_S)

    def _broke(self, code: CloseCode) -> None:
        if not self.closing:
            self.closing = True
            self.connection_channel.connection.reset_sending(self.number, code)
            self._over(code)

    def _close_delivered(self, code: CloseCode, latest: float) -> None:
        if self.connection_channel.terminated:
            return
        if self.connection_channel.connection.is_delivered(self.number) or self.loop.time() >= latest:
            self._over(code)
        else:
            self.loop.call_later(DRAIN_POLL_S, self._close_delivered, code, latest)

    def _over(self, code: CloseCode) -> None:
        self.connection_channel.connection.paused_streams.discard(self.number)
        self.connection_channel.on_stream_ended(self, code)
