"""The connection of one attempt: sends the first line, reads the answer, then relays lines both ways."""

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
"""Time limit for an endpoint to close its side after the client has closed its own."""


class ConnectState(Enum):
    """State of a connection to an endpoint. Only `UpstreamConnection` changes it, and only in this order.

    The exception is a connection that was released for another process: it can become established again.
    """

    CONNECTING = auto()
    ESTABLISHED = auto()
    """The endpoint has confirmed the request."""
    ENDED = auto()
    """The attempt has its result or was cancelled; no further events are reported to it."""


# Module constants, because they are used for each relayed line, where an enum member lookup is too costly.
_ESTABLISHED, _ENDED = ConnectState.ESTABLISHED, ConnectState.ENDED


class UpstreamConnection(Pausable):
    """A connection to an endpoint, for one attempt.

    Two booleans are independent of the state: `sent` stays set after the attempt has ended, because the proxy
    derives from it whether the endpoint may have begun to process the request; `eof_sent` tells whether this
    side of the connection was closed.
    """

    def __init__(self, session: DownstreamSession, attempt: Attempt) -> None:
        self.session = session
        self.attempt = attempt
        self.stop_dial: Callable[[], None] | None = None
        self.state = ConnectState.CONNECTING
        self.adopted = False
        self.sent = False
        """Whether the first line was written."""
        self.eof_sent = False
        self.announced_result: AttemptResult | None = None
        """The result that the endpoint's last line announced; None if it announced no end."""
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
        """Create the object for a connection that another process of this node established."""
        connection = cls(session, attempt)
        connection.state = ConnectState.ESTABLISHED
        connection.adopted = connection.sent = True
        connection.announced_result, connection.announced_report = announced_result, announced_report
        return connection

    def connect_failed(self) -> None:
        """End the attempt, because the dialer could not connect within the timeout."""
        self._end(AttemptResult.CONNECT_FAILED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Forward the first line, if the attempt is still active and allowed to send."""
        self.transport = cast(asyncio.Transport, transport)
        # Guards against sending the first line of an attempt that was cancelled during the connect, or is
        # ended by `may_send`.
        is_wanted = self.state is not ConnectState.ENDED and self.session.opening is not None
        if not (is_wanted and (self.attempt.active if self.adopted else self.attempt.may_send())):
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
        """Relay the data of an established connection; before that, read the endpoint's answer."""
        if self.state is _ESTABLISHED:
            self.session.on_upstream_data(data)
        elif self.state is ConnectState.CONNECTING:
            self.buffer += data
            end = self.buffer.find(b"\n")
            if end >= 0:
                self._on_answer(self.buffer[:end].rstrip(b"\r"), end < LINE_MAX_BYTES)
            elif len(self.buffer) >= LINE_MAX_BYTES:
                self._reject(AttemptResult.ERROR)

    def _on_answer(self, line: bytes, is_within_limit: bool) -> None:
        # Guards against taking an incomplete or malformed answer for a confirmation.
        if is_within_limit and confirms(line):
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
        """Handle a line that was relayed to the client: a reported load or an announced end."""
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
        """End the attempt, because the answer does not confirm the request."""
        if result is AttemptResult.OK:
            result = AttemptResult.ERROR  # the connection ended before it was established
        transport = self.transport
        self._end(result, self.announced_report)
        if transport is not None:
            transport.close()

    def eof_received(self) -> bool:
        """Close the connection, because the endpoint has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection: end the attempt with the matching result."""
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
        """Cancel the attempt by closing its connection."""
        self.state = ConnectState.ENDED
        if self.stop_dial is not None:
            self.stop_dial()
        if self.transport is not None:
            close_now(self.transport)

    # Transfer of an established connection to another session or another process

    def is_idle(self) -> bool:
        """Return whether all data are sent and both sides are open, so that another process can adopt it."""
        transport = self.transport
        if transport is None or transport.is_closing() or transport.get_write_buffer_size():
            return False
        return self.state is not ConnectState.ENDED and not self.paused and not self.eof_sent

    def release(self) -> None:
        """Stop reporting to the attempt: another session or process has the connection, or none needs it."""
        self.state = ConnectState.ENDED

    def take_back(self) -> None:
        """Undo `release`: the connection is established again in this process."""
        self.state = ConnectState.ESTABLISHED

    # The `UpstreamPipe` interface

    def write(self, data: bytes) -> None:
        """Send data to the endpoint, unless the connection or this side of it has ended."""
        if self.transport is not None and self.state is not _ENDED and not self.eof_sent:
            self.transport.write(data)

    def write_eof(self) -> None:
        """Close this side; the endpoint has a limited time to close its own."""
        transport = self.transport
        if transport is None or self.eof_sent:
            return
        self.eof_sent = True
        if not transport.is_closing():
            transport.write_eof()
        self.session.proxy.loop.call_later(CLOSE_TIMEOUT_S, close_now, transport)

    def reset(self) -> None:
        """Reset the connection to the endpoint, because the client has reset its connection."""
        if self.transport is not None:
            reset_connection(self.transport)

    def pause_writing(self) -> None:
        """Stop reading from the client, because the write buffer to the endpoint is full."""
        self.session.channel.pause()

    def resume_writing(self) -> None:
        """Continue to read from the client, because the write buffer has space again."""
        self.session.channel.resume()
