"""One QUIC connection as the channel of one client session."""

from __future__ import annotations

import asyncio
import time
from enum import IntEnum
from typing import Any, Protocol

from aioquic.quic import events

from gradegap.core import Core
from gradegap.net.client_session import FIRST_LINE_WAIT, HIGH_WATER, LINGER, ClientSession, Ending, Resuming
from gradegap.quic.connection import STREAM, HeldConnection
from gradegap.quic.tokens import Tokens
from gradegap.stats import Stats

OVERRUN = 8 * 1024 * 1024  # bytes waiting for a client beyond which its connection is given up
DRAIN_CHECK = 0.02  # s between two looks whether a paused backend may go on
HANDSHAKE_WAIT = FIRST_LINE_WAIT  # s that a handshake may take; with the first line behind it no longer


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


class Front(Protocol):
    """What a channel needs of its front."""

    core: Core
    stats: Stats
    loop: asyncio.AbstractEventLoop
    resuming: Resuming | None
    tokens: Tokens

    def ready(self) -> bool: ...
    def send(self, data: bytes, addr: Any) -> None: ...
    def issue(self, connection_id: bytes, channel: QuicChannel) -> None: ...
    def retire(self, connection_id: bytes, channel: QuicChannel) -> None: ...
    def over(self, channel: QuicChannel) -> None: ...


class QuicChannel:
    """One QUIC connection: the channel of one client session."""

    def __init__(self, front: Front, connection: HeldConnection, address: Any) -> None:
        self.front = front
        self.loop = front.loop
        self.connection = connection
        self.address = address
        self.ids: set[bytes] = set()
        self.first: tuple[bytes, Any] = (b"", None)  # the id that the client chose, and where it came from
        self.session: ClientSession | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.flushing = False
        self.closing = False  # our side of the stream has ended
        self.spoken = False  # the client has opened the stream: before that nothing can be said on it
        self.gone = False
        self.full = False  # the backend is not read while the client is slow
        self.began = self.loop.time()
        self.handshake = self.loop.call_later(HANDSHAKE_WAIT, self._handshake_late)

    def receive(self, data: bytes, address: Any) -> bool:
        """False for a first packet that can't be opened: then there is no connection."""
        self.connection.receive_datagram(data, address, now=self.loop.time())
        # By what could be opened: anybody can write an id that he has seen into a packet of his own.
        now_at = self.connection.address()
        if now_at is None:
            return False
        if now_at != self.address:
            # The same session at a new address: aioquic validates the path before it is used in full.
            self.address = now_at
            self.front.stats.count("quic_migrations")
        self.run()
        return True

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
            # Proves this address next time, without a Retry.
            self.connection.offer = self.front.tokens.new(self.address, time.time())
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
        self.spoken = True
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
        self.front.over(self)
        if self.session is not None:
            self.session.lost(reset=reset)

    def forget(self) -> None:
        """Nothing came of it: no word to its client, who may never have asked."""
        self._terminated(True)

    def _handshake_late(self) -> None:
        self.front.stats.count("quic_handshakes_late")
        if not self.connection.proven():
            # Guards whoever has that address, and may have said nothing: a close is one more answer to it,
            # and aioquic does not count it into the three times of what came (RFC 9000, 8.1).
            self.forget()
            return
        self.abort(CloseCode.FAILED)
        # Guards against first packets that nothing can be made of: their connection has no way to end.
        self.loop.call_later(LINGER, self._terminated, True)

    def flush(self) -> None:
        now = self.loop.time()
        for data, address in self.connection.datagrams_to_send(now=now):
            self.front.send(data, address)
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
        if self.gone or self.closing or not self.spoken:
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
        if not self.spoken:
            # Guards against clients that shake hands and then say nothing: the code alone tells them.
            self.abort(code)
            return
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
