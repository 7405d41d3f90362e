"""The TCP port for clients: its listening socket, shared with a successor, and the accepted channels."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from gradegap.downstream.tcp_channel import TcpChannel
from gradegap.errors import ConfigurationError
from gradegap.transport.addresses import split_address

ACCEPT_BACKLOG = 1024  # connections that the kernel queues until they are accepted


def _open_listening_socket(host: str, port: int) -> socket.socket:
    """Open a listening socket on an address on which another process of this node may be listening too.

    `SO_REUSEPORT` lets a new process start even if the running one could not pass on its listening socket.
    The kernel allows this sharing only between processes of the same user.
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
    """Owns the listening socket, and the server that accepts connections from a duplicate of it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, create_channel: Callable[[set[TcpChannel]], TcpChannel]
    ) -> None:
        """`create_channel` receives the set of connected channels, to which the channel adds itself."""
        self._loop = loop
        self._create_channel = create_channel
        self._server: asyncio.Server | None = None
        self.channels: set[TcpChannel] = set()
        # The original listening socket, which is passed on to a successor.
        self.socket: socket.socket | None = None

    def create_channel(self) -> TcpChannel:
        """Create a channel whose connection is not attached yet."""
        return self._create_channel(self.channels)

    def bind(self, address: str) -> None:
        """Listen on `address`, unless the predecessor has passed on its listening socket.

        Raises:
            ConfigurationError: if the address can't be listened on.
        """
        try:
            self.socket = self.socket or _open_listening_socket(*split_address(address))
        except OSError as error:
            raise ConfigurationError(f"can't listen on {address}: {error.strerror}") from None

    async def accept(self) -> None:
        """Start to accept clients."""
        if self.socket is not None and self._server is None:
            self._server = await self._loop.create_server(
                self.create_channel, sock=self.socket.dup(), backlog=ACCEPT_BACKLOG
            )

    def stop_accepting(self) -> None:
        """Stop accepting; another process accepts the connections that are queued at the shared socket."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def reject_idle(self, retry_after_s: float) -> None:
        """Reject each idle connection; its client may retry at another node after `retry_after_s` seconds."""
        for channel in list(self.channels):
            channel.dismiss_idle(retry_after_s)

    def close(self) -> None:
        """Close the port, and each channel as soon as all data written to it has been sent."""
        if self.socket is not None:
            self.socket.close()
        self.stop_accepting()
        for channel in list(self.channels):
            channel.close_when_sent()
