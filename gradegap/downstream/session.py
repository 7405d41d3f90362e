"""The line front: a client session, whatever channel carries its lines, and its TCP channel."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

from gradegap.downstream.framing import LineWatch, Opening, parse_opening
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.proxy.request import InvalidRequestError, Request
from gradegap.transport.descriptors import DescriptorBudget, EvictionRank
from gradegap.transport.lines import LINE_MAX_BYTES, InvalidLineError
from gradegap.transport.sockets import (
    WRITE_BUFFER_HIGH_BYTES,
    Pausable,
    close_now,
    no_delay,
    reset_connection,
)
from gradegap.upstream.interfaces import UpstreamPipe

FIRST_LINE_WAIT = 2.5  # s from its start that a connection may take over its first line
PING_IDLE = 30.0  # s that one which has said PING may take until it says more
PINGS = 100  # that may come at once
LINGER = 1.0  # s for the other side to end a connection that has been answered
LINGER_MOST = 5.0  # s for one that goes on sending
DRAIN_PAUSE = 0.003  # s between two reads of what such a one sends, so that it costs little CPU
SLOW_PAUSE = 1.0  # s between two pieces of a first line, within which its writer is sound, but slow
SLOW_MOST = 6.0  # s that such a one may take in all
READ_AWAY = (
    16  # pieces of `WRITE_BUFFER_HIGH_BYTES` bytes that a connection which ends is read on at the most
)
LINE_END_WAIT = 0.85  # s for the end of a line that is half through, before a MOVE; a stop has that time


class Ending(Enum):
    """Why a channel is closed."""

    REFUSED = "refused"
    FAILED = "failed"
    BAD = "bad"
    MOVED = "moved"
    SERVED = "served"
    RESET = "reset"


class Channel(Protocol):
    """What carries a session's lines."""

    def write(self, data: bytes) -> None: ...
    def close(self, ending: Ending) -> None: ...
    def pause(self) -> None: ...
    def resume(self) -> None: ...
    def left(self) -> bool: ...
    def pinged(self) -> None: ...
    def opened(self) -> None: ...


class Passing(Protocol):
    """What a resumable session's lines pass through, both ways."""

    def from_client(self, data: bytes) -> Passed: ...
    def from_server(self, data: bytes, line: int) -> Passed: ...
    @property
    def line(self) -> int: ...
    @property
    def asks(self) -> bool: ...


class Passed(Protocol):
    """What is to be written, and whether the client may be read on."""

    to_client: bytes
    to_server: bytes
    read_client: bool
    over: str
    others: list[bytes]  # the server's lines that are the protocol's, and no part of the extension


class Resuming(Protocol):
    """What makes sessions resumable, where the operator has it so. Without it lines pass as they are."""

    def begin(self, session: ClientSession, line: bytes, opening: Opening) -> bool:
        """Whether it takes this first line over; then `go_on`, `refuse` or `turn` follows."""
        ...

    def up(self, session: ClientSession, first: bytes) -> bytes | None:
        """What a backend began with, as the client is told it; sets `passing` where both sides agreed. None
        where the session can't go on there."""
        ...

    def move(self, session: ClientSession) -> bool:
        """Whether it takes a session, that is to leave its server, to another in place."""
        ...

    def ended(self, session: ClientSession) -> None:
        """A session that passed is over here."""
        ...

    def handed(self) -> bytes:
        """What the process that replaces this one is to know."""
        ...

    def take_over(self, handed: bytes) -> None: ...


class Moving(Protocol):
    """A session on its way to another server, its client's connection standing."""

    def stop(self) -> None: ...


class ClientSession:
    """One client's connection: its first line, its answer, then lines both ways."""

    def __init__(
        self, proxy: Proxy, metrics: Metrics, channel: Channel, ready: Callable[[], bool], spent: float = 0.0
    ) -> None:
        """A session whose channel has taken `spent` seconds to come up."""
        self.proxy = proxy
        self.metrics = metrics
        self.channel = channel
        self.ready = ready
        self.opening: Opening | None = None
        self.req: Request | None = None
        self.pipe: UpstreamPipe | None = None
        self.buffer = bytearray()  # before the answer: what came and is not passed on yet
        self.watch = LineWatch(self._passed)
        self.standing = False
        self.closed = False
        self.moving = False
        self.upstream_reset = False
        self.idle = False  # it has said PING
        self.resuming: Resuming | None = None
        self.offer: object | None = None  # of a resumable session, until a backend has accepted it
        self.passing: Passing | None = None
        self.held = False  # not read on, as its window is full
        self.mover: Moving | None = None
        self.ended = False  # the client has: the end of its server is no reason to move it
        self.began = self.piece_at = proxy.loop.time() - spent
        self.timer: asyncio.TimerHandle | None = proxy.loop.call_later(
            max(0.0, FIRST_LINE_WAIT - spent), self._late
        )

    # From the channel

    def data(self, data: bytes) -> None:
        if self.closed:
            return
        if self.passing is not None and self.standing:
            self.take(self.passing.from_client(data))
            return
        if self.standing and self.pipe is not None:
            # Whole lines only: nothing comes back for a part of one, from a client that writes slowly.
            if self.req is not None and b"\n" in data:
                self.req.on_client_line()
            self.pipe.write(data)
            return
        if self.opening is None:
            pinged = not self.buffer and self.idle
            if pinged:
                self.began = self.proxy.loop.time()
            self.piece_at = self.proxy.loop.time()
            self.buffer += data
            self._first_lines()
            if pinged and self.buffer and self.opening is None and not self.closed:
                self.wait(FIRST_LINE_WAIT)  # a line has begun
        else:
            self.buffer += data
            if self._asks_more() and self.req is not None:
                req = self.req
                self._bad("more than a first line", "early_bytes")
                req.on_disconnect()

    def eof(self) -> None:
        """The client has ended its side."""
        self.ended = True
        if self.standing and self.pipe is not None and not self.closed:
            self.pipe.write_eof()
        else:
            self.lost()

    def lost(self, reset: bool = False) -> None:
        """The channel is gone, or its client before an answer."""
        if self.closed:
            return
        pipe, req = self.pipe, self.req
        if self.mover is not None:
            self.mover.stop()
            self.mover = None
        self._shut(Ending.RESET if reset else Ending.SERVED)
        if self.standing and pipe is not None and reset:
            pipe.reset()
        if req is not None:
            req.on_disconnect()

    def drained(self, full: bool) -> None:
        """Whether the channel takes more: flow control towards the backend."""
        if self.pipe is not None:
            if full:
                self.pipe.pause()
            else:
                self.pipe.resume()

    def evict(self, after: float) -> None:
        """The channel is needed for others: this session has not asked for anything yet."""
        if not self.closed:
            self.reject(after)

    def wait(self, length: float) -> None:
        self.unwait()
        self.timer = self.proxy.loop.call_later(length, self._late)

    def unwait(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def time_left(self) -> float:
        return 0.0 if self.timer is None else max(0.0, self.timer.when() - self.proxy.loop.time())

    def _late(self) -> None:
        """Guards against clients that say nothing, or half a line, and hold what others need."""
        if self.opening is not None or self.closed:
            return
        now = self.proxy.loop.time()
        slow = self.buffer.startswith(b"OPEN ") and now < self.piece_at + SLOW_PAUSE
        if slow and now < self.began + SLOW_MOST:
            self.wait(SLOW_PAUSE / 2)  # spares who writes in small pieces, and still comes on
            return
        self._bad("no first line in time", "late_first_lines")

    def _first_lines(self) -> None:
        """PING for as long as it comes; the first other line opens the session."""
        pings = 0
        while self.opening is None and not self.closed:
            end = self.buffer.find(b"\n")
            # Guards against first lines without end: over 4 KiB there is one failure line and a close.
            if end >= LINE_MAX_BYTES or (end < 0 and len(self.buffer) >= LINE_MAX_BYTES):
                self._bad("too long")
                return
            if end < 0:
                return
            line = bytes(self.buffer[: end + 1])
            del self.buffer[: end + 1]
            if line.rstrip(b"\r\n") == b"PING":
                self.metrics.count("pings")
                pings += 1
                if pings > PINGS:
                    self._bad("too many commands at once")
                    return
                self.channel.write(b"PONG\r\n" if self.ready() else b"ERR\r\n")
                if not self.buffer:
                    self.idle = True
                    self.channel.pinged()
                    self.wait(PING_IDLE)
                continue
            try:
                self.opening = opening = parse_opening(line)
                if self._asks_more():
                    raise InvalidLineError("more than a first line")
                if self.resuming is not None and self.resuming.begin(self, line, opening):
                    return
                self.req = self.proxy.open_request(self, opening.request)
            except (InvalidLineError, InvalidRequestError) as error:
                self._bad(str(error))
                return
            self.unwait()
            if not self.closed:  # it may have been refused at once
                self.channel.opened()

    def go_on(self, opening: Opening) -> None:
        """The first line, as it goes on to a backend, of a session that may be resumed."""
        if self.closed:
            return
        self.opening = opening
        try:
            self.req = self.proxy.open_request(self, opening.request)
        except InvalidRequestError as error:
            self._bad(str(error))
            return
        self.unwait()
        if not self.closed:
            self.channel.opened()

    def turn(self, reason: str) -> None:
        """What the client came with proves nothing, or not any more: one last line, at once."""
        if not self.closed:
            self.channel.write(b"X %b\r\n" % reason.encode())
            self._shut(Ending.FAILED)

    def take(self, passed: Passed) -> None:
        """Write what a resumable session's lines came to."""
        if passed.to_server and self.pipe is not None:
            self.pipe.write(passed.to_server)
            if self.req is not None and self.passing is not None and self.passing.asks:
                self.req.on_client_line()
        if passed.to_client:
            for line in passed.others:
                self._passed(line)
            self.channel.write(passed.to_client)
        if passed.over:
            self.metrics.count(f"resume_over_{passed.over}")
            pipe, req = self.pipe, self.req
            self._shut(Ending.FAILED)
            if pipe is not None:
                pipe.write_eof()
            if req is not None:
                req.on_disconnect()
        elif passed.read_client is self.held:
            self.held = not passed.read_client
            # Held back through to the client's TCP, until an answer makes room.
            (self.channel.pause if self.held else self.channel.resume)()

    def _asks_more(self) -> bool:
        """Guards against clients that don't wait for their answer: some bytes behind the first line are kept
        for the backend, but neither hundreds of commands nor what would fill the memory."""
        return (
            len(self.buffer) > LINE_MAX_BYTES or self.buffer.startswith(b"OPEN ") or b"\nOPEN " in self.buffer
        )

    def _bad(self, why: str, counter: str = "bad_first_lines") -> None:
        self.metrics.count(counter)
        self.channel.write(b"ERR\r\n")
        self._shut(Ending.BAD)

    # From the core

    def is_disconnected(self) -> bool:
        """Whether the client's end has come and waits to be read."""
        return self.channel.left()

    def on_established(self) -> None:
        self.standing = True
        assert self.pipe is not None
        if self.buffer:
            # Bytes that the client sent behind its first line belong to the backend.
            early = bytes(self.buffer)
            self.buffer.clear()
            if self.passing is not None:
                self.take(self.passing.from_client(early))
            else:
                self.pipe.write(early)
        self.channel.resume()

    def reject(self, after: float) -> None:
        self.channel.write(b"BUSY %d\r\n" % round(after * 1000) if after > 0 else b"BUSY\r\n")
        self._shut(Ending.REFUSED)

    def fail(self) -> None:
        self.channel.write(b"ERR\r\n")
        self._shut(Ending.FAILED)

    def migrate(self) -> None:
        if self._moves_in_place():
            return
        if self.watch.between:
            self.say_move()
        else:
            # Guards against a MOVE inside a line: the rest of the line goes first.
            self.moving = True
            self.proxy.loop.call_later(LINE_END_WAIT, self._line_never_ended)

    def on_endpoint_closed(self) -> None:
        """The backend's side has ended."""
        if not self.closed and not self._moves_in_place():
            self._shut(Ending.RESET if self.upstream_reset else Ending.SERVED)

    def _moves_in_place(self) -> bool:
        if self.passing is None or self.resuming is None or self.closed or self.ended:
            return False
        return self.mover is not None or self.resuming.move(self)

    def tell(self, line: bytes) -> None:
        """A line of the node's own to the client, between two others."""
        self.channel.write(line)

    def say_move(self) -> None:
        self.moving = False
        self.channel.write(b"MOVE\r\n")
        pipe = self.pipe
        self._shut(Ending.MOVED)
        if pipe is not None:
            pipe.write_eof()

    def _line_never_ended(self) -> None:
        if self.moving and not self.closed:
            pipe = self.pipe
            self._shut(Ending.RESET)
            if pipe is not None:
                pipe.reset()

    # From the backend's side

    def on_upstream_established(self, upstream: UpstreamPipe, data: bytes) -> None:
        """The backend has said UP: from here on its bytes are the client's."""
        self.pipe = upstream
        if self.resuming is not None and self.offer is not None:
            told = self.resuming.up(self, data)
            if told is None:
                req = self.req
                self.turn("server")
                if req is not None:
                    req.on_disconnect()
                return
            data = told
        if self.passing is not None:
            self.watch.feed(data)
            self.channel.write(data)
        else:
            self.on_upstream_data(data)

    def on_upstream_data(self, data: bytes) -> None:
        if self.closed:
            return
        if self.passing is not None:
            self.take(self.passing.from_server(data, self.passing.line))
            if self.req is not None:
                self.req.on_endpoint_data(b"\n" in data)
            return
        if self.moving:
            end = data.find(b"\n") + 1
            if end:
                self.channel.write(data[:end])
                self.say_move()
            else:
                self.channel.write(data)
            return
        self.watch.feed(data)
        self.channel.write(data)
        if self.req is not None:
            self.req.on_endpoint_data(b"\n" in data)

    def on_upstream_lost(self, reset: bool) -> None:
        """The endpoint's connection has ended; the proxy's word on that follows."""
        self.upstream_reset = reset
        if self.moving:
            self.on_endpoint_closed()  # the line that it was to be moved behind never ends

    def _passed(self, line: bytes) -> None:
        if self.pipe is not None:
            self.pipe.on_line(line)

    def _shut(self, ending: Ending) -> None:
        self.closed = True
        self.unwait()
        self.buffer.clear()
        if self.passing is not None and self.resuming is not None:
            self.resuming.ended(self)
        self.channel.close(ending)


class TcpChannel(Pausable):
    """A client's TCP connection."""

    def __init__(
        self,
        proxy: Proxy,
        metrics: Metrics,
        ready: Callable[[], bool],
        live: set[TcpChannel],
        descriptors: DescriptorBudget,
    ) -> None:
        self.loop = proxy.loop
        self.live = live
        self.descriptors = descriptors
        self.session = ClientSession(proxy, metrics, self, ready)
        self.closing = False
        self.close_by = 0.0
        self.unsent = float("inf")  # bytes on their way out, when the linger was last over
        self.last: asyncio.TimerHandle | None = None  # what ends a connection that lingers
        self.adopted = False  # taken over from another process; until it is made, what it is to say is kept
        self.early = bytearray()
        self.ending: Ending | None = None
        self.gone = False
        self.fd = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(WRITE_BUFFER_HIGH_BYTES)
        no_delay(self.transport)
        self.fd = self.transport.get_extra_info("socket").fileno()
        self.live.add(self)
        self.descriptors.on_accepted(self)
        if self.adopted:
            self._made_adopted()

    def _made_adopted(self) -> None:
        if self.session.idle:
            self.pinged()
        elif self.session.opening is not None:
            self.opened()
        if self.early:
            self.write(bytes(self.early))
            self.early.clear()
        if self.ending is not None:
            self.close(self.ending)

    def at_rest(self) -> bool:
        """Whether nothing is on its way out, and both sides are open: another process can take over."""
        t = self.transport
        rests = t is not None and not t.is_closing() and t.get_write_buffer_size() == 0
        plain = self.session.offer is None and self.session.passing is None
        return rests and plain and not self.closing and not self.paused

    def left(self) -> bool:
        """Guards against a burst that keeps the loop busy: a client's end lies in its socket, behind all that
        came before, while a timer would send its req."""
        if self.transport is None:
            return not self.adopted or self.gone
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, self.fd)
        try:
            return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            sock.detach()  # the descriptor is the transport's

    def pinged(self) -> None:
        self.descriptors.set_rank(self, EvictionRank.PINGED)

    def opened(self) -> None:
        self.descriptors.set_rank(self, None)

    def dismiss(self) -> None:
        self.session.evict(self.session.proxy.settings.max_retry_after)

    def evict(self) -> None:
        if self.closing:  # its answer went out some time ago
            self.end_now()
        else:
            self.dismiss()
            self.end_soon()

    def end_rest(self, after: float) -> None:
        """This process ends: a client that has not asked for anything yet is told to come again elsewhere."""
        if self.session.opening is None and not self.closing:
            self.session.proxy.metrics.count("rests_ended")
            self.session.evict(after)

    def end_soon(self) -> None:
        """Close as soon as all that was said is out."""
        if self.transport is not None:
            self.transport.close()

    def end_now(self) -> None:
        """Close, whatever the other side does. Guards against one that never reads: what it has left unread
        would keep the descriptor for as long as it likes."""
        if self.transport is not None:
            close_now(self.transport)

    def data_received(self, data: bytes) -> None:
        if not self.closing:
            self.session.data(data)
        if self.closing and not self.paused:
            # Guards against a client that goes on sending after its answer: it is read away, so that no
            # reset overtakes the answer, but at a pace that costs others nothing.
            self.pause()
            self.loop.call_later(DRAIN_PAUSE, self._drain)

    def _drain(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.resume()
            if self.last is not None and self.loop.time() + LINGER < self.close_by:
                self.last.cancel()
                self.last = self.loop.call_later(LINGER, self._last)

    def eof_received(self) -> bool:
        if self.closing:
            return False
        self.session.eof()
        return not self.closing

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and self.closing:  # one that lives on in another process has its bytes there
            self._read_away()
        self.live.discard(self)
        self.descriptors.on_closed(self)
        if self.last is not None:
            self.last.cancel()
        self.transport = None
        self.gone = True
        self.session.lost(reset=exc is not None)

    def pause_writing(self) -> None:
        self.session.drained(full=True)

    def resume_writing(self) -> None:
        self.session.drained(full=False)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.closing:
            self.transport.write(data)
        elif self.adopted and not self.gone and not self.closing and self.ending is None:
            self.early += data

    def close(self, ending: Ending) -> None:
        transport = self.transport
        if transport is None and self.adopted and not self.gone:
            self.ending = self.ending or ending
        if transport is None or self.closing:
            return
        self.resume()
        self.closing = True
        if ending is Ending.RESET:
            reset_connection(transport)
            return
        # Guards against the answer being lost to a reset: a socket closed with unread bytes, or one
        # that gets more, resets the other side. So only our side ends, and the rest is read away.
        if transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()
        self.descriptors.set_rank(self, EvictionRank.ANSWERED)
        self.close_by = self.loop.time() + LINGER_MOST
        self.last = self.loop.call_later(LINGER, self._last)

    def _last(self) -> None:
        """The linger is over. One that reads its last lines slowly, but reads them, has longer."""
        unsent = 0 if self.transport is None else self.transport.get_write_buffer_size()
        if 0 < unsent < self.unsent and self.loop.time() + LINGER < self.close_by:
            self.unsent = unsent
            self.last = self.loop.call_later(LINGER, self._last)
        else:
            self.end_now()

    def _read_away(self) -> None:
        """The socket is closed right after this. Guards against a close over bytes that came and were not
        read: it resets the connection, and takes the answer with it."""
        with contextlib.suppress(OSError):
            for _ in range(READ_AWAY):
                if not os.read(self.fd, WRITE_BUFFER_HIGH_BYTES):
                    return
