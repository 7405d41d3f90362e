"""One QUIC connection: its packets, its ids, and the sessions that its streams are."""

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
from gradegap.quic.connection import HeldConnection
from gradegap.quic.stream import CloseCode, StreamChannel
from gradegap.quic.tokens import AddressTokens

HANDSHAKE_TIMEOUT_S = FIRST_LINE_TIMEOUT_S  # with the first line behind it a handshake has no longer
MAX_CONCURRENT_STREAMS = 32  # sessions of one connection at once
MAX_STREAMS = 5000  # sessions of one connection in all; then it begins no more, and its client comes anew
NEXT_STREAM_TIMEOUT_S = 5.0  # s in which a client that has had several sessions may begin another


class Listener(Protocol):
    """What a channel needs of its front."""

    proxy: Proxy
    metrics: Metrics
    loop: asyncio.AbstractEventLoop
    resuming: SessionResumption | None
    tokens: AddressTokens

    def ready(self) -> bool:
        """Whether new clients are to come to this node."""
        ...

    def send(self, data: bytes, addr: Any) -> None:
        """Send one datagram."""
        ...

    def issue(self, connection_id: bytes, channel: QuicConnectionChannel) -> None:
        """The connection has a new id."""
        ...

    def retire(self, connection_id: bytes, channel: QuicConnectionChannel) -> None:
        """The connection gives an id up."""
        ...

    def on_channel_closed(self, channel: QuicConnectionChannel) -> None:
        """Forget the connection."""
        ...

    def has_capacity(self) -> bool:
        """Whether another session may begin."""
        ...


class QuicConnectionChannel:
    """One client's connection."""

    def __init__(self, front: Listener, connection: HeldConnection, address: Any) -> None:
        self.front = front
        self.loop = front.loop
        self.connection = connection
        self.address = address
        self.ids: set[bytes] = set()
        self.initial_route: tuple[bytes, Any] = (b"", None)  # the client's first id and its address
        self.streams: dict[int, StreamChannel] = {}  # whose sessions are not over
        self.finished_streams: set[int] = set()  # streams whose sessions are
        self.sessions_begun = 0  # that it has had
        self.handshake_complete = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.flushing = False
        self.terminated = False
        self.began_at = self.loop.time()
        self.next_step_timer = self.loop.call_later(
            HANDSHAKE_TIMEOUT_S, self._handshake_late
        )  # for what must come next

    # As a stream sees it

    @property
    def proxy(self) -> Proxy:
        """The proxy that takes the sessions' requests."""
        return self.front.proxy

    @property
    def metrics(self) -> Metrics:
        """The node's counters."""
        return self.front.metrics

    @property
    def resuming(self) -> SessionResumption | None:
        """The node's resumable sessions, where it has any."""
        return self.front.resuming

    def ready(self) -> bool:
        """Whether new clients are to come to this node."""
        return self.front.ready()

    def on_stream_ended(self, stream: StreamChannel, code: CloseCode) -> None:
        """A session is over, and the client has all that was said in it.

        With its only one the connection ends too; a client that has had several may begin another for a
        while.
        """
        if self.streams.pop(stream.number, None) is not None:
            self.finished_streams.add(stream.number)
        if self.terminated:
            return
        if self.sessions_begun == 1:
            self.abort(code)
            return
        if not stream.client_ended:
            self.connection.stop_receiving(stream.number, code)
        self.flush_soon()
        if not self.streams:
            self.next_step_timer.cancel()
            self.next_step_timer = self.loop.call_later(NEXT_STREAM_TIMEOUT_S, self._no_more, code)

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
                    stream.on_reset()
            case events.ConnectionTerminated():
                self._terminated(event.error_code != 0)
            case _:
                pass

    def _shook(self) -> None:
        self.handshake_complete = True
        self.metrics.count("quic_handshakes")
        # Proves this address next time, without a Retry.
        self.connection.pending_token = self.front.tokens.make_new_token(self.address, time.time())
        self.next_step_timer.cancel()
        left = max(0.0, FIRST_LINE_TIMEOUT_S - (self.loop.time() - self.began_at))
        self.next_step_timer = self.loop.call_later(left, self._never_spoke)

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
            self.connection.stop_receiving(number, CloseCode.BAD_LINE)
            return None
        if number in self.finished_streams:
            return None  # the rest of one
        if (
            len(self.streams) >= MAX_CONCURRENT_STREAMS
            or len(self.finished_streams) >= MAX_STREAMS
            or not self.front.has_capacity()
        ):
            # Guards against one client with a connection's worth of memory for each of its streams.
            self.metrics.count("quic_streams_refused")
            if len(self.finished_streams) < 2 * MAX_STREAMS:
                self.finished_streams.add(number)
            self.connection.stop_receiving(number, CloseCode.REFUSED)
            self.connection.reset_sending(number, CloseCode.REFUSED)
            return None
        self.next_step_timer.cancel()
        spent = self.loop.time() - self.began_at if not self.sessions_begun else 0.0
        self.sessions_begun += 1
        made = self.streams[number] = StreamChannel(self, number, spent)
        return made

    # The end

    def _terminated(self, reset: bool) -> None:
        if self.terminated:
            return
        self.terminated = True
        self.next_step_timer.cancel()
        if self.timer is not None:
            self.timer.cancel()
        self.front.on_channel_closed(self)
        streams, self.streams = self.streams, {}
        for stream in streams.values():
            stream.session.on_channel_closed(reset=reset)

    def discard(self) -> None:
        """Nothing came of it: no word to its client, who may never have asked."""
        self._terminated(True)

    def _handshake_late(self) -> None:
        self.metrics.count("quic_handshakes_late")
        if not self.connection.is_address_validated():
            # Guards whoever has that address, and may have said nothing: a close is one more answer to it,
            # and aioquic does not count it into the three times of what came (RFC 9000, 8.1).
            self.discard()
            return
        self.abort(CloseCode.FAILED)
        # Guards against first packets that nothing can be made of: their connection has no way to end.
        self.loop.call_later(LINGER_S, self._terminated, True)

    def _never_spoke(self) -> None:
        """Guards against clients that shake hands and say nothing; there is no stream to answer on."""
        self.metrics.count("late_first_lines")
        self.metrics.count("quic_closed_bad_line")
        self.abort(CloseCode.BAD_LINE)

    def abort(self, code: CloseCode) -> None:
        """Close the connection with an application error code."""
        if not self.terminated:
            self.connection.close(error_code=code, reason_phrase=code.name.lower())
            self.flush_soon()

    # What is to be sent

    def flush(self) -> None:
        """Send what is due, and set the connection's timer."""
        now = self.loop.time()
        for data, address in self.connection.datagrams_to_send(now=now):
            self.front.send(data, address)
        at = self.connection.get_timer()
        if at != self.timer_at or self.timer is None:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_at = at or 0.0
            runs = at is not None and not self.terminated
            self.timer = self.loop.call_at(self.timer_at, self._timer) if runs else None

    def _timer(self) -> None:
        self.timer = None
        self.connection.handle_timer(now=self.loop.time())
        self.run()

    def flush_soon(self) -> None:
        """Send what is due, once for all that this turn of the loop adds."""
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self._flush_now)

    def _flush_now(self) -> None:
        self.flushing = False
        self.flush()

    def is_answering(self) -> bool:
        """Whether its client may still lack the end of what was said to it."""
        return not self.terminated and any(s.session.opening for s in self.streams.values())
