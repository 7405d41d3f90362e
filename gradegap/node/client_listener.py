"""The clients' TCP port: its listening socket, which a successor shares, and the accepted channels."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from gradegap.downstream.tcp_channel import TcpChannel
from gradegap.errors import ConfigurationError
from gradegap.transport.addresses import split_address

ACCEPT_BACKLOG = 1024  # clients that may wait to be accepted


def _listen(host: str, port: int) -> socket.socket:
    """A listening socket, shared so that a process which could not be passed it starts all the same.

    Only processes of the same user can share it.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.listen(ACCEPT_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


class ClientListener:
    """Owns the listening socket, and the server that accepts from a duplicate of it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, create_channel: Callable[[set[TcpChannel]], TcpChannel]
    ) -> None:
        """`create_channel` is given the set that a channel joins while it is connected."""
        self._loop = loop
        self._create_channel = create_channel
        self._server: asyncio.Server | None = None
        self.channels: set[TcpChannel] = set()
        self.socket: socket.socket | None = None  # kept beside the one accepted from, to pass on

    def create_channel(self) -> TcpChannel:
        """A channel for a connection that is still to be made."""
        return self._create_channel(self.channels)

    def bind(self, address: str) -> None:
        """Listen, unless a predecessor has passed its socket on.

        Raises:
            ConfigurationError: where the address can't be listened on.
        """
        try:
            self.socket = self.socket or _listen(*split_address(address))
        except OSError as error:
            raise ConfigurationError(f"can't listen on {address}: {error.strerror}") from None

    async def accept(self) -> None:
        """Accept clients from now on."""
        if self.socket is not None and self._server is None:
            self._server = await self._loop.create_server(
                self.create_channel, sock=self.socket.dup(), backlog=ACCEPT_BACKLOG
            )

    def stop_accepting(self) -> None:
        """Another process accepts from the same socket: what waits in its queue is not lost."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def end_idle(self, retry_after_s: float) -> None:
        """Reject each idle connection; its client may come again elsewhere after that time."""
        for channel in list(self.channels):
            channel.dismiss_idle(retry_after_s)

    def close(self) -> None:
        """End the port, and each channel as soon as all that was written to it is out."""
        if self.socket is not None:
            self.socket.close()
        self.stop_accepting()
        for channel in list(self.channels):
            channel.close_when_sent()
