"""What an upstream connection sees of the client session that it serves."""

from __future__ import annotations

from typing import Protocol

from gradegap.proxy.proxy import Proxy


class ForwardedLine(Protocol):
    """A client's first line, as it is forwarded."""

    def with_wait(self, wait: float) -> bytes:
        """The line with the seconds that the node will wait."""
        ...


class ClientFlow(Protocol):
    """Flow control of a client's channel."""

    def pause(self) -> None:
        """Stop reading."""
        ...

    def resume(self) -> None:
        """Read on."""
        ...


class UpstreamPipe(Protocol):
    """An established upstream connection, as its client session sees it."""

    session: DownstreamSession

    def write(self, data: bytes) -> None:
        """Send to the endpoint."""
        ...

    def write_eof(self) -> None:
        """Close this side; the endpoint has a while to close its own."""
        ...

    def reset(self) -> None:
        """End the connection by a reset, as its client did."""
        ...

    def pause(self) -> None:
        """Stop reading."""
        ...

    def resume(self) -> None:
        """Read on."""
        ...

    def on_line(self, line: bytes) -> None:
        """A line of the endpoint has gone by to the client."""
        ...

    def release(self) -> None:
        """Its attempt has nothing to do with it any more: report nothing further."""
        ...


class DownstreamSession(Protocol):
    """A client session, as its upstream connection sees it."""

    @property
    def proxy(self) -> Proxy:
        """The proxy that both belong to."""
        ...

    @property
    def channel(self) -> ClientFlow:
        """The client's channel."""
        ...

    @property
    def opening(self) -> ForwardedLine | None:
        """The client's first line; None before it has come."""
        ...

    def on_upstream_established(self, upstream: UpstreamPipe, data: bytes) -> None:
        """The endpoint has confirmed the connection; `data` is its answer and what came behind it."""
        ...

    def on_upstream_data(self, data: bytes) -> None:
        """What the endpoint sent on an established connection."""
        ...

    def on_upstream_lost(self, reset: bool) -> None:
        """The established connection has ended, by a reset or not; its attempt's end follows."""
        ...
