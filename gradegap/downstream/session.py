"""A client session: the connection of one client over any kind of channel."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from gradegap.downstream.first_line import FirstLineDeadline, FirstLineReader, exceeds_one_request
from gradegap.downstream.framing import LineScanner, Opening, parse_opening
from gradegap.downstream.interfaces import Channel, CloseReason, InPlaceMigration, Relay, RelayOutput
from gradegap.downstream.session_state import SessionLifecycle, SessionState
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.proxy.request import InvalidRequestError, Request
from gradegap.transport.lines import InvalidLineError
from gradegap.upstream.interfaces import UpstreamPipe

LINE_END_TIMEOUT_S = 0.85
"""Time limit for an endpoint to complete a partly sent line before a MOVE; then the session is closed.

A node's shutdown allows for this time.
"""

# Module constants, because they are used for each relayed line, where an enum member lookup is too costly.
_ESTABLISHED, _MIGRATING, _CLOSED = SessionState.ESTABLISHED, SessionState.MIGRATING, SessionState.CLOSED


class SessionResumption(Protocol):
    """Session resumption, if the operator has enabled it. Without it, lines are relayed unchanged."""

    def begin(self, session: ClientSession, line: bytes, opening: Opening) -> bool:
        """Return whether resumption handles this first line.

        If so, it calls the session's `open_with`, `reject` or `reject_resumption` later.

        Raises:
            InvalidLineError: The line is invalid.
        """
        ...

    def on_endpoint_established(self, session: ClientSession, first: bytes) -> bytes | None:
        """Return the answer for the client, given the endpoint's answer `first`.

        Sets the session's `relay` if both sides agreed on the extension. Returns None if the session cannot
        continue at this endpoint.
        """
        ...

    def migrate_in_place(self, session: ClientSession) -> bool:
        """Start the in-place migration of a session to another endpoint; return whether one was started."""
        ...

    def on_session_closed(self, session: ClientSession) -> None:
        """Handle that a session with a relay has closed in this process."""
        ...

    def export_keys(self) -> bytes:
        """Return the keys that the successor of this process needs for tokens."""
        ...

    def import_keys(self, keys: bytes) -> None:
        """Use the keys of the predecessor of this process."""
        ...


class ClientSession(SessionLifecycle):
    """One client's connection: its first line, its answer, then lines in both directions.

    Three booleans are not part of the state, because they are independent of it: `upstream_reset`,
    `client_eof` and, for flow control, `client_paused`.
    """

    def __init__(
        self,
        proxy: Proxy,
        metrics: Metrics,
        channel: Channel,
        is_ready: Callable[[], bool],
        elapsed: float = 0.0,
    ) -> None:
        """Create a session; `elapsed` is the time in s that its channel took to be established."""
        super().__init__()
        self.proxy = proxy
        self.metrics = metrics
        self.channel = channel
        self.opening: Opening | None = None
        self.request: Request | None = None
        self.upstream: UpstreamPipe | None = None
        self.first_line = FirstLineReader(
            self, channel, metrics, is_ready, partial(FirstLineDeadline, proxy.loop, elapsed)
        )
        self.early_data = self.first_line.buffer  # bytes received after the first line, before its answer
        self.scanner = LineScanner(self._on_endpoint_line)
        self.upstream_reset = False
        self.client_eof = False  # if set, the end of the endpoint's connection causes no migration
        self.resumption: SessionResumption | None = None
        self.offer: object | None = None  # offer of a resumable session; None once an endpoint accepted it
        self.relay: Relay | None = None
        self.client_paused = False  # reading is paused because the relay's window is full
        self.migration: InPlaceMigration | None = None

    # Called by the channel

    def on_data(self, data: bytes) -> None:
        """Process data from the client."""
        if self.state is _ESTABLISHED or self.state is _MIGRATING:
            if self.relay is not None:
                self.pass_on(self.relay.from_client(data))
                return
            # Only complete lines count as unanswered: an endpoint does not answer part of a line, which a
            # slow client may send.
            if self.request is not None and b"\n" in data:
                self.request.on_client_line()
            upstream = self.upstream
            if upstream is not None:
                upstream.write(data)
        elif self.state is SessionState.AWAITING_REQUEST:
            self.first_line.feed(data)
        elif self.state is SessionState.REQUESTED:
            self.early_data += data
            if exceeds_one_request(self.early_data) and self.request is not None:
                self.metrics.count("early_bytes")
                self.reject_line()
                self.request.on_disconnect()

    def on_eof(self) -> None:
        """Handle that the client has closed its side."""
        self.client_eof = True
        if self.passes_lines and self.upstream is not None:
            self.upstream.write_eof()
        else:
            self.on_channel_closed()

    def on_channel_closed(self, reset: bool = False) -> None:
        """Handle the end of the channel, or of its client's side before an answer."""
        if self.closed:
            return
        upstream, request = self.upstream, self.request
        was_relaying = self.passes_lines
        if self.migration is not None:
            self.migration.stop()
            self.migration = None
        self._close(CloseReason.RESET if reset else CloseReason.SERVED)
        if was_relaying and upstream is not None and reset:
            upstream.reset()
        if request is not None:
            request.on_disconnect()

    def on_backpressure(self, full: bool) -> None:
        """Pause reading from the endpoint while the channel's write buffer is full; resume it afterwards."""
        if self.upstream is not None:
            (self.upstream.pause if full else self.upstream.resume)()

    def dismiss(self, retry_after: float) -> None:
        """Reject this session, which has no request yet, because others need its channel's resources."""
        if not self.closed:
            self.reject(retry_after)

    # Called by the reader of the first line

    @property
    def awaits_request(self) -> bool:
        """Whether the session is open and has no request yet."""
        return self.state is SessionState.AWAITING_REQUEST

    def on_first_line(self, line: bytes) -> None:
        """Parse the client's request and open it."""
        try:
            self.opening = opening = parse_opening(line)
            self.enter(SessionState.REQUESTED)
            if exceeds_one_request(self.early_data):
                raise InvalidLineError("client sent another request or too much data before the answer")
            if self.resumption is not None and self.resumption.begin(self, line, opening):
                return
        except (InvalidLineError, InvalidRequestError):
            self.metrics.count("bad_first_lines")
            self.reject_line()
            return
        self.open_with(opening)

    def open_with(self, opening: Opening) -> None:
        """Open a request with this first line, which may differ from the line that the client sent."""
        if self.closed:
            return
        self.opening = opening
        try:
            self.request = self.proxy.open_request(self, opening.request)
        except InvalidRequestError:
            self.metrics.count("bad_first_lines")
            self.reject_line()
            return
        self.first_line.deadline.stop()
        if not self.closed:  # the proxy may have rejected the request at once
            self.channel.on_request()

    def accept_opening(self, opening: Opening) -> None:
        """Accept this first line as the session's request without opening the request."""
        self.opening = opening
        self.enter(SessionState.REQUESTED)
        self.first_line.deadline.stop()

    def reject_resumption(self, reason: str) -> None:
        """Reject an invalid or expired resumption: send a last line with `reason`, and close."""
        if not self.closed:
            self.channel.write(b"X %b\r\n" % reason.encode())
            self._close(CloseReason.FAILED)

    def reject_line(self) -> None:
        """Send a failure line and close, because the first line is invalid or late."""
        self.channel.write(b"ERR\r\n")
        self._close(CloseReason.INVALID_LINE)

    def pass_on(self, output: RelayOutput) -> None:
        """Send the relay's output to the client and the endpoint, and apply its flow control."""
        if output.to_endpoint and self.upstream is not None:
            self.upstream.write(output.to_endpoint)
            if self.request is not None and self.relay is not None and self.relay.awaits_answer:
                self.request.on_client_line()
        if output.to_client:
            for line in output.other_lines:
                self._on_endpoint_line(line)
            self.channel.write(output.to_client)
        if output.end_reason:
            self.metrics.count(f"resume_over_{output.end_reason}")
            upstream, request = self.upstream, self.request
            self._close(CloseReason.FAILED)
            if upstream is not None:
                upstream.write_eof()
            if request is not None:
                request.on_disconnect()
        elif output.read_client is self.client_paused:
            self.client_paused = not output.read_client
            # Backpressure reaches the client's TCP connection until an answer frees space in the window.
            (self.channel.pause if self.client_paused else self.channel.resume)()

    # Called by the proxy

    def is_disconnected(self) -> bool:
        """Return whether the client has closed its connection, even if the loop has not read that yet."""
        return self.channel.is_disconnected()

    def on_established(self) -> None:
        """Handle the endpoint's confirmation: forward the bytes received after the first line."""
        self.enter(SessionState.ESTABLISHED)
        assert self.upstream is not None
        if self.early_data:
            early_data = bytes(self.early_data)
            self.early_data.clear()
            if self.relay is not None:
                self.pass_on(self.relay.from_client(early_data))
            else:
                self.upstream.write(early_data)
        self.channel.resume()

    def reject(self, retry_after: float) -> None:
        """Send the final answer that the request had no effect.

        The client may retry in `retry_after` s; 0: not specified.
        """
        self.channel.write(b"BUSY %d\r\n" % round(retry_after * 1000) if retry_after > 0 else b"BUSY\r\n")
        self._close(CloseReason.REJECTED)

    def fail(self) -> None:
        """Send the final answer that the request failed; whether it had an effect is unknown."""
        self.channel.write(b"ERR\r\n")
        self._close(CloseReason.FAILED)

    def migrate(self) -> None:
        """Migrate the client to another endpoint: in place if possible, else by a MOVE between two lines."""
        if self._migrates_in_place():
            return
        if self.scanner.at_line_end:
            self.send_migrate()
        else:
            # Guards against a MOVE inside a line: the rest of the line is sent first.
            self.enter(SessionState.MIGRATING)
            self.proxy.loop.call_later(LINE_END_TIMEOUT_S, self._on_line_end_timeout)

    def on_endpoint_closed(self) -> None:
        """Handle the end of the endpoint's connection."""
        if not self.closed and not self._migrates_in_place():
            self._close(CloseReason.RESET if self.upstream_reset else CloseReason.SERVED)

    def _migrates_in_place(self) -> bool:
        if self.relay is None or self.resumption is None or self.closed or self.client_eof:
            return False
        return self.migration is not None or self.resumption.migrate_in_place(self)

    def send_migrate(self) -> None:
        """Tell the client to reconnect, and close."""
        self.channel.write(b"MOVE\r\n")
        self._close(CloseReason.MIGRATED)
        if self.upstream is not None:
            self.upstream.write_eof()

    def _on_line_end_timeout(self) -> None:
        if self.state is SessionState.MIGRATING:
            self._close(CloseReason.RESET)
            if self.upstream is not None:
                self.upstream.reset()

    # Called by the connection to the endpoint

    def on_upstream_established(self, upstream: UpstreamPipe, data: bytes) -> None:
        """Handle the endpoint's confirmation of the connection; its data are relayed from now on."""
        self.upstream = upstream
        if self.resumption is not None and self.offer is not None:
            answer = self.resumption.on_endpoint_established(self, data)
            if answer is None:
                request = self.request
                self.reject_resumption("server")
                if request is not None:
                    request.on_disconnect()
                return
            data = answer
        if self.relay is not None:
            self.scanner.feed(data)
            self.channel.write(data)
        else:
            self.on_upstream_data(data)

    def on_upstream_data(self, data: bytes) -> None:
        """Process data from the endpoint."""
        state = self.state
        if state is _CLOSED:
            return
        if self.relay is not None:
            self.pass_on(self.relay.from_endpoint(data, self.relay.endpoint_number))
        elif state is _MIGRATING:
            self._finish_line(data)
            return
        else:
            self.scanner.feed(data)
            self.channel.write(data)
        if self.request is not None:
            self.request.on_endpoint_data(b"\n" in data)

    def _finish_line(self, data: bytes) -> None:
        end = data.find(b"\n") + 1
        if end:
            self.channel.write(data[:end])
            self.send_migrate()
        else:
            self.channel.write(data)

    def on_upstream_lost(self, reset: bool) -> None:
        """Record how the endpoint's connection ended; the proxy then calls `on_endpoint_closed`."""
        self.upstream_reset = reset
        if self.state is SessionState.MIGRATING:
            self.on_endpoint_closed()  # the MOVE waits for a line end that will never arrive

    def _on_endpoint_line(self, line: bytes) -> None:
        if self.upstream is not None:
            self.upstream.on_line(line)

    def _close(self, reason: CloseReason) -> None:
        self.enter(SessionState.CLOSED)
        self.first_line.deadline.stop()
        self.early_data.clear()
        if self.relay is not None and self.resumption is not None:
            self.resumption.on_session_closed(self)
        self.channel.close(reason)

    # Adoption from the predecessor of this process

    def adopt(self, request: Request, upstream: UpstreamPipe, partial_line: bytes) -> None:
        """Continue an established connection.

        `partial_line` is the part of the endpoint's last line that the previous process has relayed.
        """
        self.request, self.upstream = request, upstream
        self.scanner.partial = partial_line
        self.enter(SessionState.ESTABLISHED)
