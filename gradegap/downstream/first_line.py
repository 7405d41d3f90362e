"""A client's bytes up to its first line: answers to `PING`, and limits on time and size."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from gradegap.downstream.interfaces import Channel
from gradegap.metrics import Metrics
from gradegap.transport.lines import LINE_MAX_BYTES

FIRST_LINE_TIMEOUT_S = 2.5
"""From a connection's start until its first line is complete."""

PING_IDLE_TIMEOUT_S = 30.0
"""From a `PING` until the next line begins."""

PINGS_MAX = 100
"""That may arrive at once."""

SLOW_WRITER_PAUSE_S = 1.0
"""Between two pieces of a first line, within which its writer is sound, but slow."""

SLOW_WRITER_TIMEOUT_S = 6.0
"""In all, for such a writer."""

REQUEST_PREFIX = b"OPEN "


class FirstLineDeadline:
    """The timer of a first line. Guards against clients that hold what others need, and send no request."""

    def __init__(self, loop: asyncio.AbstractEventLoop, spent: float, on_expired: Callable[[], None]) -> None:
        """A deadline of which `spent` seconds are over."""
        self._loop = loop
        self._on_expired = on_expired
        self._line_began_at = self._last_piece_at = loop.time() - spent
        self._timer = loop.call_later(max(0.0, FIRST_LINE_TIMEOUT_S - spent), on_expired)

    def start(self, seconds: float) -> None:
        """Expire in so many seconds, and not before."""
        self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._on_expired)

    def stop(self) -> None:
        """Never expire."""
        self._timer.cancel()

    def time_left(self) -> float:
        """Seconds until it expires."""
        return max(0.0, self._timer.when() - self._loop.time())

    def record_piece(self, first: bool) -> None:
        """A piece of a line has come; `first`: it begins a line after a `PING`."""
        self._last_piece_at = self._loop.time()
        if first:
            self._line_began_at = self._last_piece_at

    def extend(self) -> bool:
        """Spare a client that writes its request in small pieces, and goes on; whether it is spared."""
        now = self._loop.time()
        if now >= self._last_piece_at + SLOW_WRITER_PAUSE_S:
            return False
        if now >= self._line_began_at + SLOW_WRITER_TIMEOUT_S:
            return False
        self.start(SLOW_WRITER_PAUSE_S / 2)
        return True


class FirstLineHandler(Protocol):
    """The session whose first line is read."""

    @property
    def awaits_request(self) -> bool:
        """Whether it is open and has no request yet."""
        ...

    def on_first_line(self, line: bytes) -> None:
        """The first line that is no `PING`, with its line end."""
        ...

    def reject_line(self) -> None:
        """There will be no request: answer so, and close."""
        ...


class FirstLineReader:
    """Reads a client's bytes up to its first line. Owns them until they are forwarded."""

    def __init__(
        self,
        handler: FirstLineHandler,
        channel: Channel,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        deadline: Callable[[Callable[[], None]], FirstLineDeadline],
    ) -> None:
        """`deadline` makes the deadline that calls its argument."""
        self._handler = handler
        self._channel = channel
        self._metrics = metrics
        self._is_ready = is_ready
        self.buffer = bytearray()
        self.pinged = False
        """The client has sent `PING`."""
        self.deadline = deadline(self._on_deadline)

    def feed(self, data: bytes) -> None:
        """What the client has sent, while the session awaits its request."""
        begins_line = not self.buffer and self.pinged
        self.deadline.record_piece(first=begins_line)
        self.buffer += data
        self._read_lines()
        if begins_line and self.buffer and self._handler.awaits_request:
            self.deadline.start(FIRST_LINE_TIMEOUT_S)

    def _read_lines(self) -> None:
        pings = 0
        while self._handler.awaits_request:
            end = self.buffer.find(b"\n")
            # Guards against first lines without end: beyond their length there is one failure line.
            if end >= LINE_MAX_BYTES or (end < 0 and len(self.buffer) >= LINE_MAX_BYTES):
                self._metrics.count("bad_first_lines")
                self._handler.reject_line()
                return
            if end < 0:
                return
            line = bytes(self.buffer[: end + 1])
            del self.buffer[: end + 1]
            if line.rstrip(b"\r\n") != b"PING":
                self._handler.on_first_line(line)
                return
            pings += 1
            self._on_ping(pings)

    def _on_ping(self, count: int) -> None:
        self._metrics.count("pings")
        if count > PINGS_MAX:
            self._metrics.count("bad_first_lines")
            self._handler.reject_line()
            return
        self._channel.write(b"PONG\r\n" if self._is_ready() else b"ERR\r\n")
        if not self.buffer:
            self.pinged = True
            self._channel.on_ping()
            self.deadline.start(PING_IDLE_TIMEOUT_S)

    def _on_deadline(self) -> None:
        if not self._handler.awaits_request:
            return
        if self.buffer.startswith(REQUEST_PREFIX) and self.deadline.extend():
            return
        self._metrics.count("late_first_lines")
        self._handler.reject_line()


def exceeds_one_request(buffer: bytearray) -> bool:
    """Whether more than some data has come behind a request.

    Guards against clients that don't wait for their answer: some bytes behind the first line are kept for the
    endpoint, but neither hundreds of commands nor what would fill the memory.
    """
    repeated = buffer.startswith(REQUEST_PREFIX) or b"\n" + REQUEST_PREFIX in buffer
    return repeated or len(buffer) > LINE_MAX_BYTES
