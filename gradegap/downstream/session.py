"""A client session: one client's connection, whatever channel carries its lines."""

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
"""For the end of a line that is half through, before a MOVE; a node's shutdown leaves room for it."""

# For each line that passes: looking a member up in its enum costs more than what is done with it.
_ESTABLISHED, _MIGRATING, _CLOSED = SessionState.ESTABLISHED, SessionState.MIGRATING, SessionState.CLOSED


class SessionResumption(Protocol):
    """What makes sessions resumable, where the operator has it so. Without it lines pass as they are."""

    def begin(self, session: ClientSession, line: bytes, opening: Opening) -> bool:
        """Whether it takes this first line over.

        Then the session's `open_with`, `reject` or `reject_resumption` follows. Raises `InvalidLineError`.
        """
        ...

    def on_endpoint_established(self, session: ClientSession, first: bytes) -> bytes | None:
        """An endpoint's answer, as the client is to have it; sets `relay` where both sides agreed.

        None where the session can't go on there.
        """
        ...

    def migrate_in_place(self, session: ClientSession) -> bool:
        """Whether it migrates a session, that is to leave its endpoint, to another in place."""
        ...

    def on_session_closed(self, session: ClientSession) -> None:
        """A session with a relay has closed here."""
        ...

    def export_keys(self) -> bytes:
        """The keys that the successor of this process needs for tokens."""
        ...

    def import_keys(self, keys: bytes) -> None:
        """Go on with the keys of the predecessor."""
        ...


class ClientSession(SessionLifecycle):
    """One client's connection: its first line, its answer, then lines both ways.

    Three booleans are no states: how a side has ended, and flow control, go with several of them.
    """

    def __init__(
        self,
        proxy: Proxy,
        metrics: Metrics,
        channel: Channel,
        is_ready: Callable[[], bool],
        spent: float = 0.0,
    ) -> None:
        """A session whose channel has taken `spent` seconds to come up."""
        super().__init__()
        self.proxy = proxy
        self.metrics = metrics
        self.channel = channel
        self.opening: Opening | None = None
        self.request: Request | None = None
        self.upstream: UpstreamPipe | None = None
        self.first_line = FirstLineReader(
            self, channel, metrics, is_ready, partial(FirstLineDeadline, proxy.loop, spent)
        )
        self.early = self.first_line.buffer  # what came behind the first line, before its answer
        self.scanner = LineScanner(self._on_endpoint_line)
        self.upstream_reset = False
        self.client_eof = False  # then the end of its endpoint is no reason to migrate it
        self.resumption: SessionResumption | None = None
        self.offer: object | None = None  # of a resumable session, until an endpoint has accepted it
        self.relay: Relay | None = None
        self.client_paused = False  # not read on, as the relay's window is full
        self.migration: InPlaceMigration | None = None

    # From the channel

    def on_data(self, data: bytes) -> None:
        """What the client has sent."""
        if self.state is _ESTABLISHED or self.state is _MIGRATING:
            if self.relay is not None:
                self.pass_on(self.relay.from_client(data))
                return
            # Whole lines only: nothing comes back for a part of one, from a client that writes slowly.
            if self.request is not None and b"\n" in data:
                self.request.on_client_line()
            upstream = self.upstream
            if upstream is not None:
                upstream.write(data)
        elif self.state is SessionState.AWAITING_REQUEST:
            self.first_line.feed(data)
        elif self.state is SessionState.REQUESTED:
            self.early += data
            if exceeds_one_request(self.early) and self.request is not None:
                self.metrics.count("early_bytes")
                self.reject_line()
                self.request.on_disconnect()

    def on_eof(self) -> None:
        """The client has closed its side."""
        self.client_eof = True
        if self.passes_lines and self.upstream is not None:
            self.upstream.write_eof()
        else:
            self.on_channel_closed()

    def on_channel_closed(self, reset: bool = False) -> None:
        """The channel has ended, or its client's side before an answer."""
        if self.closed:
            return
        upstream, request = self.upstream, self.request
        passing = self.passes_lines
        if self.migration is not None:
            self.migration.stop()
            self.migration = None
        self._close(CloseReason.RESET if reset else CloseReason.SERVED)
        if passing and upstream is not None and reset:
            upstream.reset()
        if request is not None:
            request.on_disconnect()

    def on_backpressure(self, full: bool) -> None:
        """Whether the channel takes more: flow control towards the endpoint."""
        if self.upstream is not None:
            (self.upstream.pause if full else self.upstream.resume)()

    def dismiss(self, retry_after: float) -> None:
        """The channel is needed for others: this session has no request yet."""
        if not self.closed:
            self.reject(retry_after)

    # From the reader of the first line

    @property
    def awaits_request(self) -> bool:
        """Whether it is open and has no request yet."""
        return self.state is SessionState.AWAITING_REQUEST

    def on_first_line(self, line: bytes) -> None:
        """The client's request."""
        try:
            self.opening = opening = parse_opening(line)
            self.enter(SessionState.REQUESTED)
            if exceeds_one_request(self.early):
                raise InvalidLineError("more than a first line")
            if self.resumption is not None and self.resumption.begin(self, line, opening):
                return
        except (InvalidLineError, InvalidRequestError):
            self.metrics.count("bad_first_lines")
            self.reject_line()
            return
        self.open_with(opening)

    def open_with(self, opening: Opening) -> None:
        """Request a connection by this first line, which may differ from the client's own."""
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
        if not self.closed:  # it may have been rejected at once
            self.channel.on_request()

    def accept_opening(self, opening: Opening) -> None:
        """Take this first line as the session's, and wait for what becomes of it."""
        self.opening = opening
        self.enter(SessionState.REQUESTED)
        self.first_line.deadline.stop()

    def reject_resumption(self, reason: str) -> None:
        """What the client came with proves nothing, or not any more: one last line, at once."""
        if not self.closed:
            self.channel.write(b"X %b\r\n" % reason.encode())
            self._close(CloseReason.FAILED)

    def reject_line(self) -> None:
        """There will be no request: one failure line, and a close."""
        self.channel.write(b"ERR\r\n")
        self._close(CloseReason.INVALID_LINE)

    def pass_on(self, output: RelayOutput) -> None:
        """Send what a resumable session's lines came to."""
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
            # Held back through to the client's TCP, until an answer makes room.
            (self.channel.pause if self.client_paused else self.channel.resume)()

    # From the proxy

    def is_disconnected(self) -> bool:
        """Whether the client's end has come and waits to be read."""
        return self.channel.is_disconnected()

    def on_established(self) -> None:
        """An endpoint has confirmed the connection: what came behind the first line belongs to it."""
        self.enter(SessionState.ESTABLISHED)
        assert self.upstream is not None
        if self.early:
            early = bytes(self.early)
            self.early.clear()
            if self.relay is not None:
                self.pass_on(self.relay.from_client(early))
            else:
                self.upstream.write(early)
        self.channel.resume()

    def reject(self, after: float) -> None:
        """The final answer that promises no effect; with the seconds to come again after, where above 0."""
        self.channel.write(b"BUSY %d\r\n" % round(after * 1000) if after > 0 else b"BUSY\r\n")
        self._close(CloseReason.REJECTED)

    def fail(self) -> None:
        """The final answer that promises nothing."""
        self.channel.write(b"ERR\r\n")
        self._close(CloseReason.FAILED)

    def migrate(self) -> None:
        """Move the client to another endpoint: in place where it can be, else by a MOVE between two lines."""
        if self._migrates_in_place():
            return
        if self.scanner.at_line_end:
            self.send_migrate()
        else:
            # Guards against a MOVE inside a line: the rest of the line goes first.
            self.enter(SessionState.MIGRATING)
            self.proxy.loop.call_later(LINE_END_TIMEOUT_S, self._on_line_end_timeout)

    def on_endpoint_closed(self) -> None:
        """The endpoint's side has ended."""
        if not self.closed and not self._migrates_in_place():
            self._close(CloseReason.RESET if self.upstream_reset else CloseReason.SERVED)

    def _migrates_in_place(self) -> bool:
        if self.relay is None or self.resumption is None or self.closed or self.client_eof:
            return False
        return self.migration is not None or self.resumption.migrate_in_place(self)

    def send_migrate(self) -> None:
        """Tell the client to come again, and close."""
        self.channel.write(b"MOVE\r\n")
        self._close(CloseReason.MIGRATED)
        if self.upstream is not None:
            self.upstream.write_eof()

    def _on_line_end_timeout(self) -> None:
        if self.state is SessionState.MIGRATING:
            self._close(CloseReason.RESET)
            if self.upstream is not None:
                self.upstream.reset()

    # From the endpoint's side

    def on_upstream_established(self, upstream: UpstreamPipe, data: bytes) -> None:
        """The endpoint has confirmed the connection: from here on its bytes are the client's."""
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
        """What the endpoint has sent."""
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
        """The endpoint's connection has ended; the proxy calls `on_endpoint_closed` for that."""
        self.upstream_reset = reset
        if self.state is SessionState.MIGRATING:
            self.on_endpoint_closed()  # the line that the MOVE waits for never ends

    def _on_endpoint_line(self, line: bytes) -> None:
        if self.upstream is not None:
            self.upstream.on_line(line)

    def _close(self, reason: CloseReason) -> None:
        self.enter(SessionState.CLOSED)
        self.first_line.deadline.stop()
        self.early.clear()
        if self.relay is not None and self.resumption is not None:
            self.resumption.on_session_closed(self)
        self.channel.close(reason)

    # From the predecessor of this process

    def adopt(self, request: Request, upstream: UpstreamPipe, partial_line: bytes) -> None:
        """Go on with an established connection, of whose last line `partial_line` has passed already."""
        self.request, self.upstream = request, upstream
        self.scanner.partial = partial_line
        self.enter(SessionState.ESTABLISHED)
