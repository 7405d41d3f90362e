"""The QUIC front: one connection is one client session, whose stream carries the platform's lines.

The front owns the map from every connection id it has issued to the session that it belongs to. A
client whose address changes is therefore the same session: its backend and its req stay, and the core
hears nothing of the move. Ids that were never issued reach nobody.
"""

from __future__ import annotations

import asyncio
import os
import ssl
from collections.abc import Callable
from enum import IntEnum
from typing import Any, cast

import structlog
from aioquic._buffer import Buffer
from aioquic.quic import events
from aioquic.quic.configuration import SMALLEST_MAX_DATAGRAM_SIZE, QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.packet import (
    QuicPacketType,
    encode_quic_retry,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from aioquic.quic.retry import QuicRetryTokenHandler

from gradegap.core import Core
from gradegap.net.client_session import FIRST_LINE_WAIT, HIGH_WATER, LINGER, ClientSession, Ending, Resuming
from gradegap.operator_file import QuicSettings
from gradegap.stats import Stats

log = structlog.get_logger()

STREAM = 0  # the client's first bidirectional stream carries the session
WINDOW = 256 * 1024  # bytes that a client may send ahead at first
OVERRUN = 8 * 1024 * 1024  # bytes waiting for a client beyond which its connection is given up
DRAIN_CHECK = 0.02  # s between two looks whether a paused backend may go on
HANDSHAKE_WAIT = FIRST_LINE_WAIT  # s that a handshake may take; with the first line behind it no longer
MOST_HANDSHAKES = 256  # handshakes under way at once


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


class HeldConnection(QuicConnection):
    """A connection whose flow-control windows are not raised while its backend can't take more.

    Guards against a client that sends faster than its backend reads: aioquic raises windows by what has
    arrived, not by what was taken on, and has no public call to hold them.
    """

    held = False

    def _write_connection_limits(self, builder: Any, space: Any) -> None:
        if not self.held:
            super()._write_connection_limits(builder, space)

    def _write_stream_limits(self, builder: Any, space: Any, stream: Any) -> None:
        if not self.held:
            super()._write_stream_limits(builder, space, stream)

    def unsent(self) -> int:
        """Bytes of the session's stream that the client has not acknowledged."""
        stream = self._streams.get(STREAM)
        return 0 if stream is None else len(stream.sender._buffer)

    def delivered(self) -> bool:
        """Whether the client has all of the session's stream, its end included."""
        stream = self._streams.get(STREAM)
        return stream is None or stream.sender.is_finished


class QuicChannel:
    """One QUIC connection: the channel of one client session."""

    def __init__(self, front: QuicFront, connection: HeldConnection, address: Any) -> None:
        self.front = front
        self.loop = front.loop
        self.connection = connection
        self.address = address
        self.ids: set[bytes] = set()
        self.session: ClientSession | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.flushing = False
        self.closing = False  # our side of the stream has ended
        self.gone = False
        self.full = False  # the backend is not read while the client is slow
        self.began = self.loop.time()
        self.handshake = self.loop.call_later(HANDSHAKE_WAIT, self._handshake_late)

    def receive(self, data: bytes, address: Any) -> None:
        if address != self.address:
            # The same session at a new address: aioquic validates the path before it is used in full.
            self.address = address
            self.front.stats.count("quic_migrations")
        self.connection.receive_datagram(data, address, now=self.loop.time())
        self.run()

    def run(self) -> None:
        """What the connection has to tell, then what it has to send."""
        while (event := self.connection.next_event()) is not None:
            self._event(event)
        self.flush()

    def _event(self, event: events.QuicEvent) -> None:
        if isinstance(event, events.StreamDataReceived):
            self._stream_data(event)
        elif isinstance(event, events.ConnectionIdIssued):
            self.front.issue(event.connection_id, self)
        elif isinstance(event, events.ConnectionIdRetired):
            self.front.retire(event.connection_id, self)
        elif isinstance(event, events.HandshakeCompleted):
            self.handshake.cancel()
            self.front.stats.count("quic_handshakes")
            spent = self.loop.time() - self.began
            self.session = ClientSession(self.front.core, self.front.stats, self, self.front.ready, spent)
            self.session.resuming = self.front.resuming
        elif isinstance(event, events.StreamReset):
            if self.session is not None and event.stream_id == STREAM:
                self.session.lost(reset=True)
        elif isinstance(event, events.ConnectionTerminated):
            self._terminated(event.error_code != 0)

    def _stream_data(self, event: events.StreamDataReceived) -> None:
        if event.stream_id != STREAM:
            # One stream is the session's; what comes on others has no meaning here.
            self.front.stats.count("quic_other_streams")
            self.connection.stop_stream(event.stream_id, CloseCode.BAD_LINE)
            return
        if self.session is None or self.closing:
            return
        if event.data:
            self.session.data(event.data)
        if event.end_stream:
            self.session.eof()

    def _terminated(self, reset: bool) -> None:
        if self.gone:
            return
        self.gone = True
        self.handshake.cancel()
        if self.timer is not None:
            self.timer.cancel()
        for each in self.ids:
            self.front.routes.pop(each, None)
        self.front.channels.discard(self)
        if self.session is not None:
            self.session.lost(reset=reset)

    def _handshake_late(self) -> None:
        self.front.stats.count("quic_handshakes_late")
        self.abort(CloseCode.FAILED)
        # Guards against first packets that nothing can be made of: their connection has no way to end.
        self.loop.call_later(LINGER, self._terminated, True)

    def flush(self) -> None:
        if self.front.transport is None:
            return
        now = self.loop.time()
        for data, address in self.connection.datagrams_to_send(now=now):
            self.front.transport.sendto(data, address)
        at = self.connection.get_timer()
        if at != self.timer_at or self.timer is None:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_at = at or 0.0
            self.timer = self.loop.call_at(at, self._timer) if at is not None and not self.gone else None

    def _timer(self) -> None:
        self.timer = None
        self.connection.handle_timer(now=self.loop.time())
        self.run()

    def _flush_soon(self) -> None:
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self._flush_now)

    def _flush_now(self) -> None:
        self.flushing = False
        self.flush()

    # The channel of the session

    def pinged(self) -> None:
        pass

    def opened(self) -> None:
        pass

    def write(self, data: bytes) -> None:
        if self.gone or self.closing:
            return
        self.connection.send_stream_data(STREAM, data)
        self._flush_soon()
        waiting = self.connection.unsent()
        if waiting > OVERRUN:
            self.front.stats.count("quic_overrun")
            self.abort(CloseCode.OVERRUN)
        elif waiting > HIGH_WATER and not self.full and self.session is not None:
            self.full = True
            self.session.drained(full=True)
            self.loop.call_later(DRAIN_CHECK, self._look_drained)

    def _look_drained(self) -> None:
        if self.gone or self.session is None:
            return
        if self.connection.unsent() > HIGH_WATER // 4:
            self.loop.call_later(DRAIN_CHECK, self._look_drained)
        else:
            self.full = False
            self.session.drained(full=False)

    def pause(self) -> None:
        self.connection.held = True

    def resume(self) -> None:
        if self.connection.held:
            self.connection.held = False
            if not self.gone:
                self.connection.send_ping(0)  # something to carry the raised windows
                self._flush_soon()

    def close(self, ending: Ending) -> None:
        """End our side, and the connection once the client has all that was said, with its code."""
        if self.gone or self.closing:
            return
        self.closing = True
        code = CODES[ending]
        self.front.stats.count(f"quic_closed_{code.name.lower()}")
        if ending is Ending.RESET:
            self.connection.reset_stream(STREAM, code)
            self.abort(code)
            return
        self.connection.send_stream_data(STREAM, b"", end_stream=True)
        self._flush_soon()
        self._close_delivered(code, self.loop.time() + LINGER)

    def _close_delivered(self, code: CloseCode, latest: float) -> None:
        if self.gone:
            return
        if self.connection.delivered() or self.loop.time() >= latest:
            self.abort(code)
        else:
            self.loop.call_later(DRAIN_CHECK, self._close_delivered, code, latest)

    def abort(self, code: CloseCode) -> None:
        if not self.gone:
            self.connection.close(error_code=code, reason_phrase=code.name.lower())
            self._flush_soon()


class QuicFront(asyncio.DatagramProtocol):
    """The UDP socket and the map of connection ids."""

    def __init__(self, core: Core, stats: Stats, ready: Callable[[], bool], settings: QuicSettings) -> None:
        self.core = core
        self.loop = core.loop
        self.stats = stats
        self.ready = ready
        self.most = settings.max_sessions
        self.accept = True
        self.resuming: Resuming | None = None
        self.retry = QuicRetryTokenHandler()
        self.retry_from = settings.retry_from
        self.transport: asyncio.DatagramTransport | None = None
        self.routes: dict[bytes, QuicChannel] = {}
        self.channels: set[QuicChannel] = set()
        self.configuration = QuicConfiguration(
            is_client=False,
            alpn_protocols=list(settings.alpn),
            idle_timeout=settings.idle_s,
            max_data=WINDOW,
            max_stream_data=WINDOW,
            verify_mode=ssl.CERT_NONE,
        )
        self.configuration.load_cert_chain(settings.certificate, settings.private_key)
        stats.gauge("quic_sessions", lambda: len(self.channels))
        stats.gauge("quic_ids", lambda: len(self.routes))

    def set_most(self, value: int) -> None:
        self.most = value

    def set_accept(self, value: bool) -> None:
        self.accept = value

    def issue(self, connection_id: bytes, channel: QuicChannel) -> None:
        channel.ids.add(connection_id)
        self.routes[connection_id] = channel

    def retire(self, connection_id: bytes, channel: QuicChannel) -> None:
        channel.ids.discard(connection_id)
        if self.routes.get(connection_id) is channel:
            del self.routes[connection_id]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        try:
            header = pull_quic_header(Buffer(data=data), self.configuration.connection_id_length)
        except ValueError:
            self.stats.count("quic_malformed")
            return
        channel = self.routes.get(header.destination_cid)
        if channel is not None:
            channel.receive(data, addr)
        elif header.packet_type == QuicPacketType.VERSION_NEGOTIATION:
            self.stats.count("quic_malformed")
        elif header.version is not None and header.version not in self.configuration.supported_versions:
            self._negotiate(header, addr)
        elif header.packet_type == QuicPacketType.INITIAL and len(data) >= SMALLEST_MAX_DATAGRAM_SIZE:
            self._accept(header, data, addr)
        else:
            # Guards against an id that was never issued, or is retired: nobody is behind it, so it opens
            # no req and gets no answer.
            self.stats.count("quic_unknown_id")

    def _negotiate(self, header: Any, addr: Any) -> None:
        if self.transport is not None:
            answer = encode_quic_version_negotiation(
                source_cid=header.destination_cid,
                destination_cid=header.source_cid,
                supported_versions=self.configuration.supported_versions,
            )
            self.transport.sendto(answer, addr)

    def _accept(self, header: Any, data: bytes, addr: Any) -> None:
        under_way = sum(1 for c in self.channels if c.session is None)
        if not self.accept or len(self.channels) >= self.most or under_way >= MOST_HANDSHAKES:
            # Guards against floods of first packets: over the limit they are dropped, and may come again.
            self.stats.count("quic_crowded")
            return
        original, retried = header.destination_cid, None
        if header.token or under_way >= self.retry_from:
            # Guards against floods from forged addresses: beyond some handshakes at once a client must
            # show by a token that it hears what is sent to its address, before anything is kept for it.
            if not header.token:
                self._ask_again(header, addr)
                return
            try:
                original = self.retry.validate_token(
                    address=addr,
                    destination_cid=header.destination_cid,
                    token=header.token,
                    now=self.loop.time(),
                )
                retried = header.destination_cid
            except ValueError:
                self.stats.count("quic_bad_tokens")
                return
        connection = HeldConnection(
            configuration=self.configuration,
            original_destination_connection_id=original,
            retry_source_connection_id=retried,
        )
        channel = QuicChannel(self, connection, addr)
        self.channels.add(channel)
        self.issue(header.destination_cid, channel)
        self.issue(connection.host_cid, channel)
        channel.receive(data, addr)

    def _ask_again(self, header: Any, addr: Any) -> None:
        source = os.urandom(self.configuration.connection_id_length)
        token = self.retry.create_token(
            address=addr,
            original_destination_connection_id=header.destination_cid,
            retry_source_connection_id=source,
            now=self.loop.time(),
        )
        answer = encode_quic_retry(
            version=header.version,
            source_cid=source,
            destination_cid=header.source_cid,
            original_destination_cid=header.destination_cid,
            retry_token=token,
        )
        self.stats.count("quic_retries")
        if self.transport is not None:
            self.transport.sendto(answer, addr)

    def answering(self) -> bool:
        """Whether a client may still lack the end of what was said to it."""
        return any(c.session is not None and c.session.opening and not c.gone for c in self.channels)

    def close(self) -> None:
        for channel in list(self.channels):
            channel.abort(CloseCode.LEAVING)
            channel.flush()
        if self.transport is not None:
            self.transport.close()
