"""Interfaces between an upstream connection and the client session that it serves."""

from __future__ import annotations

from typing import Protocol

from gradegap.proxy.proxy import Proxy


class ForwardedLine(Protocol):
    """A client's first line, in the form that is forwarded."""

    def with_wait(self, wait: float) -> bytes:
        """Return the line with its wait replaced by `wait` s, the time that the node will wait."""
        ...


class ClientFlow(Protocol):
    """Flow control of the client's channel."""

    def pause(self) -> None:
        """Stop reading."""
        ...

    def resume(self) -> None:
        """Continue to read."""
        ...


class UpstreamPipe(Protocol):
    """An established upstream connection, as its client session sees it."""

    session: DownstreamSession

    def write(self, data: bytes) -> None:
        """Send data to the endpoint."""
        ...

    def write_eof(self) -> None:
        """Close this side; the endpoint has a limited time to close its own."""
        ...

    def reset(self) -> None:
        """Reset the connection to the endpoint, because the client has reset its connection."""
        ...

    def pause(self) -> None:
        """Stop reading."""
        ...

    def resume(self) -> None:
        """Continue to read."""
        ...

    def on_line(self, line: bytes) -> None:
        """Handle a line of the endpoint that was relayed to the client."""
        ...

    def release(self) -> None:
        """Detach the connection from its attempt, so that it reports nothing further."""
        ...


class DownstreamSession(Protocol):
    """A client session, as its upstream connection sees it."""

    @property
    def proxy(self) -> Proxy:
        """The proxy to which the session and its connection belong."""
        ...

    @property
    def channel(self) -> ClientFlow:
        """The client's channel."""
        ...

    @property
    def opening(self) -> ForwardedLine | None:
        """The client's first line; None until it has been received."""
        ...

    def on_upstream_established(self, upstream: UpstreamPipe, data: bytes) -> None:
        """Handle the endpoint's confirmation; `data` is its answer and the bytes received after it."""
        ...

    def on_upstream_data(self, data: bytes) -> None:
        """Process data from the endpoint on an established connection."""
        ...

    def on_upstream_lost(self, reset: bool) -> None:
        """Handle the end of the established connection, by a reset or not; the end of its attempt follows."""
        ...
