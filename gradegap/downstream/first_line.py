"""Reads a client's bytes up to its first line: answers `PING`, and enforces limits on time and size."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from gradegap.downstream.interfaces import Channel
from gradegap.metrics import Metrics
from gradegap.transport.lines import LINE_MAX_BYTES

FIRST_LINE_TIMEOUT_S = 2.5
"""Time limit from the start of a connection to the end of its first line."""

PING_IDLE_TIMEOUT_S = 30.0
"""Time limit from a `PING` to the start of the next line."""

PINGS_MAX = 100
"""Maximum number of `PING` lines in the data of one read."""

SLOW_WRITER_PAUSE_MAX_S = 1.0
"""Longest pause between two fragments of a first line for which the client counts as slow but alive."""

SLOW_WRITER_TIMEOUT_S = 6.0
"""Time limit for the whole first line of a slow client."""

REQUEST_PREFIX = b"OPEN "


class FirstLineDeadline:
    """The timer of a first line. Guards against clients that hold a connection without sending a request."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, elapsed: float, on_expired: Callable[[], None]
    ) -> None:
        """Start a deadline of which `elapsed` s have already passed."""
        self._loop = loop
        self._on_expired = on_expired
        self._line_began_at = self._last_fragment_at = loop.time() - elapsed
        self._timer = loop.call_later(max(0.0, FIRST_LINE_TIMEOUT_S - elapsed), on_expired)

    def start(self, seconds: float) -> None:
        """Restart the timer so that it expires in `seconds` s."""
        self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._on_expired)

    def stop(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def time_left(self) -> float:
        """Return the time until the timer expires, in s."""
        return max(0.0, self._timer.when() - self._loop.time())

    def record_fragment(self, is_first: bool) -> None:
        """Record the arrival of a fragment of a line; `is_first`: it starts a line after a `PING`."""
        self._last_fragment_at = self._loop.time()
        if is_first:
            self._line_began_at = self._last_fragment_at

    def extend(self) -> bool:
        """Extend the deadline if the request is arriving in fragments; return whether it was extended."""
        now = self._loop.time()
        if now >= self._last_fragment_at + SLOW_WRITER_PAUSE_MAX_S:
            return False
        if now >= self._line_began_at + SLOW_WRITER_TIMEOUT_S:
            return False
        self.start(SLOW_WRITER_PAUSE_MAX_S / 2)
        return True


class FirstLineHandler(Protocol):
    """The session whose first line is read, as its reader sees it."""

    @property
    def awaits_request(self) -> bool:
        """Whether the session is open and has no request yet."""
        ...

    def on_first_line(self, line: bytes) -> None:
        """Handle the first line other than `PING`, including its line end."""
        ...

    def reject_line(self) -> None:
        """Answer that the request failed, and close, because the first line is invalid or late."""
        ...


class FirstLineReader:
    """Reads a client's first line, and buffers the bytes received after it until they are forwarded."""

    def __init__(
        self,
        handler: FirstLineHandler,
        channel: Channel,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        deadline: Callable[[Callable[[], None]], FirstLineDeadline],
    ) -> None:
        """Create a reader; `deadline` creates a deadline that calls the given function when it expires."""
        self._handler = handler
        self._channel = channel
        self._metrics = metrics
        self._is_ready = is_ready
        self.buffer = bytearray()
        self.pinged = False
        """Whether the client has sent `PING`."""
        self.deadline = deadline(self._on_deadline)

    def feed(self, data: bytes) -> None:
        """Process data from the client while the session awaits its request."""
        begins_line = not self.buffer and self.pinged
        self.deadline.record_fragment(is_first=begins_line)
        self.buffer += data
        self._read_lines()
        if begins_line and self.buffer and self._handler.awaits_request:
            self.deadline.start(FIRST_LINE_TIMEOUT_S)

    def _read_lines(self) -> None:
        pings = 0
        while self._handler.awaits_request:
            end = self.buffer.find(b"\n")
            # Guards against endless first lines: an over-long line is answered with a failure line.
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
    """Return whether the bytes received after a first line contain another request or are too many.

    The size limit is `LINE_MAX_BYTES`.

    Guards against clients that don't wait for their answer: some bytes after the first line are buffered for
    the endpoint, but neither further requests nor an amount that could fill the memory.
    """
    repeated = buffer.startswith(REQUEST_PREFIX) or b"\n" + REQUEST_PREFIX in buffer
    return repeated or len(buffer) > LINE_MAX_BYTES
