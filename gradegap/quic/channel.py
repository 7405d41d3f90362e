"""One QUIC connection: its packets, its ids, and the sessions that its streams are."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Protocol

from aioquic.quic import events

from gradegap.downstream.session import FIRST_LINE_WAIT, LINGER, Resuming
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.quic.connection import HeldConnection
from gradegap.quic.stream import CloseCode, StreamChannel
from gradegap.quic.tokens import Tokens

HANDSHAKE_WAIT = FIRST_LINE_WAIT  # s that a handshake may take; with the first line behind it no longer
MOST_STREAMS = 32  # sessions of one connection at once
MOST_EVER = 5000  # sessions of one connection in all; then it begins no more, and its client comes anew
STREAMS_LATER = 5.0  # s in which a client that has had several sessions may begin another


class Front(Protocol):
    """What a channel needs of its front."""

    proxy: Proxy
    metrics: Metrics
    loop: asyncio.AbstractEventLoop
    resuming: Resuming | None
    tokens: Tokens

    def ready(self) -> bool: ...
    def send(self, data: bytes, addr: Any) -> None: ...
    def issue(self, connection_id: bytes, channel: QuicChannel) -> None: ...
    def retire(self, connection_id: bytes, channel: QuicChannel) -> None: ...
    def over(self, channel: QuicChannel) -> None: ...
    def room(self) -> bool: ...


class QuicChannel:
    """One client's connection."""

    def __init__(self, front: Front, connection: HeldConnection, address: Any) -> None:
        self.front = front
        self.loop = front.loop
        self.connection = connection
        self.address = address
        self.ids: set[bytes] = set()
        self.first: tuple[bytes, Any] = (b"", None)  # the id that the client chose, and where it came from
        self.streams: dict[int, StreamChannel] = {}  # whose sessions are not over
        self.over: set[int] = set()  # streams whose sessions are
        self.sessions = 0  # that it has had
        self.shook = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.flushing = False
        self.gone = False
        self.began = self.loop.time()
        self.waiting = self.loop.call_later(HANDSHAKE_WAIT, self._handshake_late)  # for what must come next

    # As a stream sees it

    @property
    def proxy(self) -> Proxy:
        return self.front.proxy

    @property
    def metrics(self) -> Metrics:
        return self.front.metrics

    @property
    def resuming(self) -> Resuming | None:
        return self.front.resuming

    def ready(self) -> bool:
        return self.front.ready()

    def ended(self, stream: StreamChannel, code: CloseCode) -> None:
        """A session is over, and the client has all that was said in it. With its only one the connection
        ends too; a client that has had several may begin another for a while."""
        if self.streams.pop(stream.number, None) is not None:
            self.over.add(stream.number)
        if self.gone:
            return
        if self.sessions == 1:
            self.abort(code)
            return
        if not stream.client_ended:
            self.connection.stop(stream.number, code)
        self.flush_soon()
        if not self.streams:
            self.waiting.cancel()
            self.waiting = self.loop.call_later(STREAMS_LATER, self._no_more, code)

    def _no_more(self, code: CloseCode) -> None:
        if not self.streams:
            self.abort(code)

    # Packets

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
            self.metrics.count("quic_migrations")
        self.run()
        return True

    def run(self) -> None:
        """What the connection has to tell, then what it has to send."""
        while (event := self.connection.next_event()) is not None:
            self._event(event)
        self.flush()

    def _event(self, event: events.QuicEvent) -> None:
        match event:
            case events.StreamDataReceived():
                self._stream_data(event)
            case events.ConnectionIdIssued():
                self.front.issue(event.connection_id, self)
            case events.ConnectionIdRetired():
                self.front.retire(event.connection_id, self)
            case events.HandshakeCompleted():
                self._shook()
            case events.StreamReset() | events.StopSendingReceived():
                stream = self.streams.get(event.stream_id)
                if stream is not None:
                    stream.broken()
            case events.ConnectionTerminated():
                self._terminated(event.error_code != 0)
            case _:
                pass

    def _shook(self) -> None:
        self.shook = True
        self.metrics.count("quic_handshakes")
        # Proves this address next time, without a Retry.
        self.connection.offer = self.front.tokens.new(self.address, time.time())
        self.waiting.cancel()
        left = max(0.0, FIRST_LINE_WAIT - (self.loop.time() - self.began))
        self.waiting = self.loop.call_later(left, self._never_spoke)

    def _stream_data(self, event: events.StreamDataReceived) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is None:
            stream = self._opened(event)
        if stream is not None:
            stream.data(event.data, event.end_stream)

    def _opened(self, event: events.StreamDataReceived) -> StreamChannel | None:
        """A stream that is none of the sessions under way: another session's, or nobody's."""
        number = event.stream_id
        if number % 4:
            # Streams of one direction have no meaning here.
            self.metrics.count("quic_other_streams")
            self.connection.stop(number, CloseCode.BAD_LINE)
            return None
        if number in self.over:
            return None  # the rest of one
        if len(self.streams) >= MOST_STREAMS or len(self.over) >= MOST_EVER or not self.front.room():
            # Guards against one client with a connection's worth of memory for each of its streams.
            self.metrics.count("quic_streams_refused")
            if len(self.over) < 2 * MOST_EVER:
                self.over.add(number)
            self.connection.stop(number, CloseCode.REFUSED)
            self.connection.reset(number, CloseCode.REFUSED)
            return None
        self.waiting.cancel()
        spent = self.loop.time() - self.began if not self.sessions else 0.0
        self.sessions += 1
        made = self.streams[number] = StreamChannel(self, number, spent)
        return made

    # The end

    def _terminated(self, reset: bool) -> None:
        if self.gone:
            return
        self.gone = True
        self.waiting.cancel()
        if self.timer is not None:
            self.timer.cancel()
        self.front.over(self)
        streams, self.streams = self.streams, {}
        for stream in streams.values():
            stream.session.lost(reset=reset)

    def forget(self) -> None:
        """Nothing came of it: no word to its client, who may never have asked."""
        self._terminated(True)

    def _handshake_late(self) -> None:
        self.metrics.count("quic_handshakes_late")
        if not self.connection.proven():
            # Guards whoever has that address, and may have said nothing: a close is one more answer to it,
            # and aioquic does not count it into the three times of what came (RFC 9000, 8.1).
            self.forget()
            return
        self.abort(CloseCode.FAILED)
        # Guards against first packets that nothing can be made of: their connection has no way to end.
        self.loop.call_later(LINGER, self._terminated, True)

    def _never_spoke(self) -> None:
        """Guards against clients that shake hands and say nothing; there is no stream to answer on."""
        self.metrics.count("late_first_lines")
        self.metrics.count("quic_closed_bad_line")
        self.abort(CloseCode.BAD_LINE)

    def abort(self, code: CloseCode) -> None:
        if not self.gone:
            self.connection.close(error_code=code, reason_phrase=code.name.lower())
            self.flush_soon()

    # What is to be sent

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

    def flush_soon(self) -> None:
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self._flush_now)

    def _flush_now(self) -> None:
        self.flushing = False
        self.flush()

    def answering(self) -> bool:
        """Whether its client may still lack the end of what was said to it."""
        return not self.gone and any(s.session.opening for s in self.streams.values())
