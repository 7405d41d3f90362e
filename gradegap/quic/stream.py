"""One stream of a QUIC connection as the channel of one client session.

A connection may have many sessions: each bidirectional stream that the client opens is one session, with its
request and its final answer. An application error code tells how a session ended. If the connection had
only one session, the code is in CONNECTION_CLOSE, else in STOP_SENDING, and in RESET_STREAM if the
session was reset.
"""

from __future__ import annotations

import asyncio
from enum import IntEnum
from typing import Protocol

from gradegap.downstream.interfaces import LINGER_S, CloseReason
from gradegap.downstream.session import ClientSession, SessionResumption
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.quic.connection import ServerConnection
from gradegap.transport.sockets import WRITE_BUFFER_HIGH_BYTES

MAX_UNACKNOWLEDGED_BYTES = 8 * 1024 * 1024  # a session with more unacknowledged data is reset
DRAIN_POLL_INTERVAL_S = 0.02  # interval between checks whether the client has acknowledged enough data


class CloseCode(IntEnum):
    """Application error codes for the end of a session or a connection; they match the last line sent."""

    SERVED = 0x0
    REFUSED = 0x1
    FAILED = 0x2
    BAD_LINE = 0x3
    MOVED = 0x4
    RESET = 0x5
    OVERRUN = 0x6
    LEAVING = 0x7


CLOSE_CODES = {
    CloseReason.SERVED: CloseCode.SERVED,
    CloseReason.REJECTED: CloseCode.REFUSED,
    CloseReason.FAILED: CloseCode.FAILED,
    CloseReason.INVALID_LINE: CloseCode.BAD_LINE,
    CloseReason.MIGRATED: CloseCode.MOVED,
    CloseReason.RESET: CloseCode.RESET,
}


class ConnectionChannel(Protocol):
    """The part of a connection's interface that a stream uses."""

    loop: asyncio.AbstractEventLoop
    connection: ServerConnection
    is_terminated: bool

    @property
    def proxy(self) -> Proxy:
        """The proxy that handles the session's request."""
        ...

    @property
    def metrics(self) -> Metrics:
        """The node's counters."""
        ...

    @property
    def resuming(self) -> SessionResumption | None:
        """The node's resumable sessions; None if resumption is off."""
        ...

    def is_ready(self) -> bool:
        """Whether this node accepts new clients."""
        ...

    def flush_soon(self) -> None:
        """Send pending packets in this iteration of the event loop."""
        ...

    def on_stream_ended(self, stream: StreamChannel, code: CloseCode) -> None:
        """Handle the end of a session: its client has acknowledged all data, or the session was reset."""
        ...


class StreamChannel:
    """A bidirectional stream that the client opened, as the channel of its session."""

    def __init__(self, parent: ConnectionChannel, stream_id: int, elapsed: float) -> None:
        """Create the session.

        For the first stream of a connection, `elapsed` is the time in s since the connection began, else 0.
        """
        self.connection_channel, self.stream_id = parent, stream_id
        self.loop = parent.loop
        self.is_closing = False  # the sending side of the stream has ended
        self.is_paused = False  # the backend is not read because the client acknowledges too slowly
        self.has_client_ended = False
        self.session = ClientSession(
            parent.proxy,
            parent.metrics,
            self,
            parent.is_ready,
            elapsed,
        )
        self.session.resumption = parent.resuming

    # Calls from the connection

    def on_data(self, data: bytes, end: bool) -> None:
        """Pass data from the client to the session; `end`: the client has ended its sending side."""
        self.has_client_ended = self.has_client_ended or end
        if self.is_closing:
            return
        if data:
            self.session.on_data(data)
        if end:
            self.session.on_eof()

    def on_reset(self) -> None:
        """Handle a RESET_STREAM or STOP_SENDING from the client."""
        self.session.on_channel_closed(reset=True)

    # Calls from the session

    def is_disconnected(self) -> bool:
        """Whether the client has ended its sending side or the connection."""
        return self.connection_channel.is_terminated or self.has_client_ended

    def on_ping(self) -> None:
        """Do nothing: streams are not evicted."""

    def on_request(self) -> None:
        """Do nothing: streams are not evicted."""

    def write(self, data: bytes) -> None:
        """Send data; if more than `MAX_UNACKNOWLEDGED_BYTES` are unacknowledged, the session is reset."""
        parent = self.connection_channel
        if parent.is_terminated or self.is_closing:
            return
        parent.connection.send_on_stream(self.stream_id, data)
        parent.flush_soon()
        waiting_bytes = parent.connection.unacknowledged_bytes(self.stream_id)
        if waiting_bytes > MAX_UNACKNOWLEDGED_BYTES:
            parent.metrics.count("quic_overrun")
            self._reset(CloseCode.OVERRUN)
            self.session.on_channel_closed(reset=True)
        elif waiting_bytes > WRITE_BUFFER_HIGH_BYTES and not self.is_paused:
            self.is_paused = True
            self.session.on_backpressure(full=True)
            self.loop.call_later(DRAIN_POLL_INTERVAL_S, self._resume_if_drained)

    def _resume_if_drained(self) -> None:
        if self.connection_channel.is_terminated or self.is_closing:
            return
        if (
            self.connection_channel.connection.unacknowledged_bytes(self.stream_id)
            > WRITE_BUFFER_HIGH_BYTES // 4
        ):
            self.loop.call_later(DRAIN_POLL_INTERVAL_S, self._resume_if_drained)
        else:
            self.is_paused = False
            self.session.on_backpressure(full=False)

    def pause(self) -> None:
        """Stop raising the stream's flow-control window, so that the client has to stop sending."""
        self.connection_channel.connection.paused_streams.add(self.stream_id)

    def resume(self) -> None:
        """Raise the stream's flow-control window again, so that the client can go on sending."""
        if self.stream_id in self.connection_channel.connection.paused_streams:
            self.connection_channel.connection.paused_streams.discard(self.stream_id)
            if not self.connection_channel.is_terminated:
                # A PING causes a packet to be sent, which then also contains the raised windows.
                self.connection_channel.connection.send_ping(0)
                self.connection_channel.flush_soon()

    def close(self, reason: CloseReason) -> None:
        """End the sending side; the stream ends once the client has acknowledged all data."""
        if self.connection_channel.is_terminated or self.is_closing:
            return
        code = CLOSE_CODES[reason]
        self.connection_channel.metrics.count(f"quic_closed_{code.name.lower()}")
        if reason is CloseReason.RESET:
            self._reset(code)
            return
        self.is_closing = True
        self.connection_channel.connection.send_on_stream(self.stream_id, b"", end=True)
        self.connection_channel.flush_soon()
        self._end_when_delivered(code, self.loop.time() + LINGER_S)

    def _reset(self, code: CloseCode) -> None:
        if not self.is_closing:
            self.is_closing = True
            self.connection_channel.connection.reset_sending(self.stream_id, code)
            self._end(code)

    def _end_when_delivered(self, code: CloseCode, deadline: float) -> None:
        """End the stream once all data is acknowledged, at the latest at `deadline` of the loop's clock."""
        if self.connection_channel.is_terminated:
            return
        if self.connection_channel.connection.is_delivered(self.stream_id) or self.loop.time() >= deadline:
            self._end(code)
        else:
            self.loop.call_later(DRAIN_POLL_INTERVAL_S, self._end_when_delivered, code, deadline)

    def _end(self, code: CloseCode) -> None:
        self.connection_channel.connection.paused_streams.discard(self.stream_id)
        self.connection_channel.on_stream_ended(self, code)
