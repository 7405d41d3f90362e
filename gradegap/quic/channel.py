"""One QUIC connection: its packets, its connection ids, and its streams, each of which is a session."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Protocol

from aioquic.quic import events

from gradegap.downstream.first_line import FIRST_LINE_TIMEOUT_S
from gradegap.downstream.interfaces import LINGER_S
from gradegap.downstream.session import SessionResumption
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.quic.connection import ServerConnection
from gradegap.quic.stream import CloseCode, StreamChannel
from gradegap.quic.tokens import AddressTokens

# The handshake must leave time for the first line, whose timeout counts from the connection's start.
HANDSHAKE_TIMEOUT_S = FIRST_LINE_TIMEOUT_S
MAX_CONCURRENT_STREAMS = 32  # limit of concurrent sessions of one connection
MAX_STREAMS = 5000  # limit of all sessions of one connection; after them the client must connect again
NEXT_STREAM_TIMEOUT_S = 5.0  # time that a connection without open sessions waits for a new session


class Listener(Protocol):
    """The part of the listener's interface that a channel uses."""

    proxy: Proxy
    metrics: Metrics
    loop: asyncio.AbstractEventLoop
    resuming: SessionResumption | None
    tokens: AddressTokens

    def is_ready(self) -> bool:
        """Whether this node accepts new clients."""
        ...

    def send(self, data: bytes, addr: Any) -> None:
        """Send one datagram."""
        ...

    def issue(self, connection_id: bytes, channel: QuicConnectionChannel) -> None:
        """Register a new connection id, so that packets sent to it are routed to its channel."""
        ...

    def retire(self, connection_id: bytes, channel: QuicConnectionChannel) -> None:
        """Unregister a connection id that the client has retired: packets sent to it are no longer routed."""
        ...

    def on_channel_closed(self, channel: QuicConnectionChannel) -> None:
        """Remove the channel and all connection ids that are routed to it."""
        ...

    def has_capacity(self) -> bool:
        """Whether another session may begin."""
        ...


class QuicConnectionChannel:
    """One client's connection."""

    def __init__(self, listener: Listener, connection: ServerConnection, address: Any) -> None:
        self.listener = listener
        self.loop = listener.loop
        self.connection = connection
        self.address = address
        self.ids: set[bytes] = set()  # ids that the client may use for the connection
        # The client's original destination id, and the address that it was sent from.
        self.initial_route: tuple[bytes, Any] = (b"", None)
        self.streams: dict[int, StreamChannel] = {}  # open sessions by stream id
        self.finished_streams: set[int] = set()  # stream ids of sessions that have ended or were refused
        self.session_count = 0  # number of sessions that have begun on this connection
        self.is_handshake_complete = False
        self.timer: asyncio.TimerHandle | None = None  # aioquic's timer
        self.timer_due_at = 0.0
        self.is_flush_scheduled = False
        self.is_terminated = False
        self.began_at = self.loop.time()
        # Expires if the client does not take its next step: the handshake, the first line, or another stream.
        self.next_step_timer = self.loop.call_later(HANDSHAKE_TIMEOUT_S, self._on_handshake_timeout)

    # Interface for streams

    @property
    def proxy(self) -> Proxy:
        """The proxy that handles the sessions' requests."""
        return self.listener.proxy

    @property
    def metrics(self) -> Metrics:
        """The node's counters."""
        return self.listener.metrics

    @property
    def resuming(self) -> SessionResumption | None:
        """The node's resumable sessions; None if resumption is off."""
        return self.listener.resuming

    def is_ready(self) -> bool:
        """Whether this node accepts new clients."""
        return self.listener.is_ready()

    def on_stream_ended(self, stream: StreamChannel, code: CloseCode) -> None:
        """Handle the end of a session: its client has acknowledged all data, or the session was reset.

        A connection that had only this session is closed with the session's code. A client that had several
        sessions may begin another within `NEXT_STREAM_TIMEOUT_S`.
        """
        if self.streams.pop(stream.stream_id, None) is not None:
            self.finished_streams.add(stream.stream_id)
        if self.is_terminated:
            return
        if self.session_count == 1:
            self.abort(code)
            return
        if not stream.has_client_ended:
            self.connection.stop_receiving(stream.stream_id, code)
        self.flush_soon()
        if not self.streams:
            self.next_step_timer.cancel()
            self.next_step_timer = self.loop.call_later(NEXT_STREAM_TIMEOUT_S, self._close_if_unused, code)

    def _close_if_unused(self, code: CloseCode) -> None:
        if not self.streams:
            self.abort(code)

    # Packets

    def receive(self, data: bytes, address: Any) -> bool:
        """Process a datagram; False if it is the first and can't be decrypted, so no connection exists."""
        self.connection.receive_datagram(data, address, now=self.loop.time())
        # The address is used only if a packet was decrypted: anybody can copy an observed id into a packet.
        current_address = self.connection.address()
        if current_address is None:
            return False
        if current_address != self.address:
            # The client's address has changed: aioquic validates the new path before using it without limits.
            self.address = current_address
            self.metrics.count("quic_migrations")
        self.process_events()
        return True

    def process_events(self) -> None:
        """Handle the connection's events, then send pending packets."""
        while (event := self.connection.next_event()) is not None:
            self._on_event(event)
        self.flush()

    def _on_event(self, event: events.QuicEvent) -> None:
        match event:
            case events.StreamDataReceived():
                self._on_stream_data(event)
            case events.ConnectionIdIssued():
                self.listener.issue(event.connection_id, self)
            case events.ConnectionIdRetired():
                self.listener.retire(event.connection_id, self)
            case events.HandshakeCompleted():
                self._on_handshake_completed()
            case events.StreamReset() | events.StopSendingReceived():
                stream = self.streams.get(event.stream_id)
                if stream is not None:
                    stream.on_reset()
            case events.ConnectionTerminated():
                self._on_terminated(event.error_code != 0)
            case _:
                pass

    def _on_handshake_completed(self) -> None:
        self.is_handshake_complete = True
        self.metrics.count("quic_handshakes")
        # With this token, the client's address is validated at its next connection without a Retry.
        self.connection.pending_token = self.listener.tokens.make_new_token(self.address, time.time())
        self.next_step_timer.cancel()
        remaining = max(0.0, FIRST_LINE_TIMEOUT_S - (self.loop.time() - self.began_at))
        self.next_step_timer = self.loop.call_later(remaining, self._on_first_line_timeout)

    def _on_stream_data(self, event: events.StreamDataReceived) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is None:
            stream = self._open_stream(event)
        if stream is not None:
            stream.on_data(event.data, event.end_stream)

    def _open_stream(self, event: events.StreamDataReceived) -> StreamChannel | None:
        """Open a session for a new stream; None if the stream has ended, is refused or is unidirectional."""
        stream_id = event.stream_id
        if stream_id % 4:
            # Unidirectional streams have no meaning in this protocol.
            self.metrics.count("quic_other_streams")
            self.connection.stop_receiving(stream_id, CloseCode.BAD_LINE)
            return None
        if stream_id in self.finished_streams:
            return None  # late data of a session that has ended
        if (
            len(self.streams) >= MAX_CONCURRENT_STREAMS
            or len(self.finished_streams) >= MAX_STREAMS
            or not self.listener.has_capacity()
        ):
            # Otherwise one client could use as much memory for each stream as others use for a connection.
            self.metrics.count("quic_streams_refused")
            if len(self.finished_streams) < 2 * MAX_STREAMS:
                self.finished_streams.add(stream_id)
            self.connection.stop_receiving(stream_id, CloseCode.REFUSED)
            self.connection.reset_sending(stream_id, CloseCode.REFUSED)
            return None
        self.next_step_timer.cancel()
        elapsed = self.loop.time() - self.began_at if not self.session_count else 0.0
        self.session_count += 1
        stream = self.streams[stream_id] = StreamChannel(self, stream_id, elapsed)
        return stream

    # End of the connection

    def _on_terminated(self, reset: bool) -> None:
        if self.is_terminated:
            return
        self.is_terminated = True
        self.next_step_timer.cancel()
        if self.timer is not None:
            self.timer.cancel()
        self.listener.on_channel_closed(self)
        streams, self.streams = self.streams, {}
        for stream in streams.values():
            stream.session.on_channel_closed(reset=reset)

    def discard(self) -> None:
        """Remove the connection without sending a packet to the client, whose address may be forged."""
        self._on_terminated(True)

    def _on_handshake_timeout(self) -> None:
        self.metrics.count("quic_handshakes_late")
        if not self.connection.is_address_validated():
            # If the address is forged, no more data must be sent to its owner: a close is one more packet,
            # which aioquic does not count against the limit of three times the data received (RFC 9000, 8.1).
            self.discard()
            return
        self.abort(CloseCode.FAILED)
        # A connection whose first packets can't be used may never report its termination.
        self.loop.call_later(LINGER_S, self._on_terminated, True)

    def _on_first_line_timeout(self) -> None:
        """Close a connection on which the client has opened no stream, so no stream can carry an answer."""
        self.metrics.count("late_first_lines")
        self.metrics.count("quic_closed_bad_line")
        self.abort(CloseCode.BAD_LINE)

    def abort(self, code: CloseCode) -> None:
        """Close the connection with an application error code."""
        if not self.is_terminated:
            self.connection.close(error_code=code, reason_phrase=code.name.lower())
            self.flush_soon()

    # Sending

    def flush(self) -> None:
        """Send pending packets and set the connection's timer."""
        now = self.loop.time()
        for data, address in self.connection.datagrams_to_send(now=now):
            self.listener.send(data, address)
        due_at = self.connection.get_timer()
        if due_at != self.timer_due_at or self.timer is None:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_due_at = due_at or 0.0
            is_needed = due_at is not None and not self.is_terminated
            self.timer = self.loop.call_at(self.timer_due_at, self._on_timer) if is_needed else None

    def _on_timer(self) -> None:
        self.timer = None
        self.connection.handle_timer(now=self.loop.time())
        self.process_events()

    def flush_soon(self) -> None:
        """Send pending packets once, after all writes of this iteration of the event loop."""
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.loop.call_soon(self._flush_scheduled)

    def _flush_scheduled(self) -> None:
        self.is_flush_scheduled = False
        self.flush()

    def is_answering(self) -> bool:
        """Whether the client may not have received all answers yet."""
        return not self.is_terminated and any(stream.session.opening for stream in self.streams.values())
