"""One attempt on its own connection: the first line out, the answer in, then lines both ways."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from enum import Enum, auto
from typing import cast

from gradegap.balancing.events import AttemptResult
from gradegap.proxy.request import Attempt
from gradegap.transport.lines import LINE_MAX_BYTES, parse_number
from gradegap.transport.sockets import (
    WRITE_BUFFER_HIGH_BYTES,
    Pausable,
    close_now,
    no_delay,
    reset_connection,
)
from gradegap.upstream.answers import (
    LOAD_PREFIX,
    LOAD_PREFIX_BYTES,
    LOAD_UNIT,
    EndAnnouncement,
    confirms,
    parse_announcement,
)
from gradegap.upstream.interfaces import DownstreamSession

CLOSE_TIMEOUT_S = 0.9
"""For an endpoint to close its side once the client has closed its own."""


class ConnectState(Enum):
    """How far a connection to an endpoint is. Only `UpstreamConnection` changes it, in this order.

    A connection that was released for another process can become established again.
    """

    CONNECTING = auto()
    ESTABLISHED = auto()
    """The endpoint has confirmed the request."""
    ENDED = auto()
    """Its attempt has its result, or was cancelled; nothing more is reported."""


# For each line that passes: looking a member up in its enum costs more than what is done with it.
_ESTABLISHED, _ENDED = ConnectState.ESTABLISHED, ConnectState.ENDED


class UpstreamConnection(Pausable):
    """A connection to an endpoint, for one attempt.

    Beside its state: `sent` stays when the attempt has ended, as by it the proxy decides whether the endpoint
    may have begun to serve; `eof_sent` is about this side of a connection only, whatever its state.
    """

    def __init__(self, session: DownstreamSession, attempt: Attempt) -> None:
        self.session = session
        self.attempt = attempt
        self.stop_dial: Callable[[], None] | None = None
        self.state = ConnectState.CONNECTING
        self.adopted = False
        self.sent = False
        """The first line was written."""
        self.eof_sent = False
        self.announced_result: AttemptResult | None = None
        """The end that the endpoint's last line announced."""
        self.announced_report: dict[str, float] | None = None
        self.buffer = b""

    @classmethod
    def adopt(
        cls,
        session: DownstreamSession,
        attempt: Attempt,
        announced_result: AttemptResult | None,
        announced_report: dict[str, float] | None,
    ) -> UpstreamConnection:
        """A connection that another process of this node has established."""
        connection = cls(session, attempt)
        connection.state = ConnectState.ESTABLISHED
        connection.adopted = connection.sent = True
        connection.announced_result, connection.announced_report = announced_result, announced_report
        return connection

    def connect_failed(self) -> None:
        """No connection in its time: the dialer's answer."""
        self._end(AttemptResult.CONNECT_FAILED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Forward the first line, if the attempt still may."""
        self.transport = cast(asyncio.Transport, transport)
        # Guards against a first line for an attempt given up while it was connecting, or as of now.
        wanted = self.state is not ConnectState.ENDED and self.session.opening is not None
        if not (wanted and (self.attempt.active if self.adopted else self.attempt.may_send())):
            self.transport.close() if self.adopted else self.transport.abort()
            return
        assert self.session.opening is not None
        self.transport.set_write_buffer_limits(WRITE_BUFFER_HIGH_BYTES)
        no_delay(self.transport)
        if self.adopted:
            return
        self.sent = True
        self.attempt.on_sent()
        self.transport.write(self.session.opening.with_wait(self.attempt.time_left()))

    def data_received(self, data: bytes) -> None:
        """Pass an established connection's data on; before that, wait for the answer."""
        if self.state is _ESTABLISHED:
            self.session.on_upstream_data(data)
        elif self.state is ConnectState.CONNECTING:
            self.buffer += data
            end = self.buffer.find(b"\n")
            if end >= 0:
                self._on_answer(self.buffer[:end].rstrip(b"\r"), end < LINE_MAX_BYTES)
            elif len(self.buffer) >= LINE_MAX_BYTES:
                self._reject(AttemptResult.ERROR)

    def _on_answer(self, line: bytes, bounded: bool) -> None:
        # Guards against half an answer, or noise, taken for the confirmation that an endpoint gives.
        if bounded and confirms(line):
            self.state = ConnectState.ESTABLISHED
            self.session.on_upstream_established(self, self.buffer)
            self.buffer = b""
            self.attempt.on_established()
        else:
            announcement = parse_announcement(line)
            if announcement is not None:
                self._announce(announcement)
            self._reject(self.announced_result or AttemptResult.ERROR)

    def on_line(self, line: bytes) -> None:
        """A line went by on an established connection."""
        if line.startswith(LOAD_PREFIX):
            with contextlib.suppress(ValueError):
                self.attempt.on_load(parse_number(line[LOAD_PREFIX_BYTES:].decode()) * LOAD_UNIT)
        else:
            self.announced_result = None
            announcement = parse_announcement(line)
            if announcement is not None:
                self._announce(announcement)

    def _announce(self, announcement: EndAnnouncement) -> None:
        self.announced_result, self.announced_report = announcement.result, announcement.report

    def _reject(self, result: AttemptResult) -> None:
        """The answer doesn't confirm the request."""
        if result is AttemptResult.OK:
            result = AttemptResult.ERROR  # ended before it was established
        transport = self.transport
        self._end(result, self.announced_report)
        if transport is not None:
            transport.close()

    def eof_received(self) -> bool:
        """The endpoint has closed its side: the connection closes."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.transport = None
        if self.state is ConnectState.CONNECTING:
            self._end(AttemptResult.RESET if self.sent else AttemptResult.CONNECT_FAILED)
        elif self.state is ConnectState.ESTABLISHED:
            self.session.on_upstream_lost(reset=exc is not None)
            if self.announced_result is not None:
                self._end(self.announced_result, self.announced_report)
            else:
                self._end(AttemptResult.CANCELLED if self.eof_sent else AttemptResult.RESET)

    def _end(self, result: AttemptResult, report: dict[str, float] | None = None) -> None:
        if self.state is not ConnectState.ENDED:
            self.state = ConnectState.ENDED
            self.attempt.on_ended(result, report)

    def cancel(self) -> None:
        """Give the attempt up by closing its connection."""
        self.state = ConnectState.ENDED
        if self.stop_dial is not None:
            self.stop_dial()
        if self.transport is not None:
            close_now(self.transport)

    # Moves of an established connection: to another session, or to another process

    def is_idle(self) -> bool:
        """Whether nothing is on its way out, and both sides are open: another process can take over."""
        transport = self.transport
        if transport is None or transport.is_closing() or transport.get_write_buffer_size():
            return False
        return self.state is not ConnectState.ENDED and not self.paused and not self.eof_sent

    def release(self) -> None:
        """Report nothing further: the connection goes on elsewhere, or is of no use any more."""
        self.state = ConnectState.ENDED

    def take_back(self) -> None:
        """Go on with an established connection that was released."""
        self.state = ConnectState.ESTABLISHED

    # As its session's pipe

    def write(self, data: bytes) -> None:
        """Send to the endpoint, unless the connection or this side of it has ended."""
        if self.transport is not None and self.state is not _ENDED and not self.eof_sent:
            self.transport.write(data)

    def write_eof(self) -> None:
        """Close this side; the endpoint has a while to close its own."""
        transport = self.transport
        if transport is None or self.eof_sent:
            return
        self.eof_sent = True
        if not transport.is_closing():
            transport.write_eof()
        self.session.proxy.loop.call_later(CLOSE_TIMEOUT_S, close_now, transport)

    def reset(self) -> None:
        """End the connection by a reset, as its client did."""
        if self.transport is not None:
            reset_connection(self.transport)

    def pause_writing(self) -> None:
        """The endpoint takes no more: the client is not read."""
        self.session.channel.pause()

    def resume_writing(self) -> None:
        """The endpoint takes more."""
        self.session.channel.resume()
