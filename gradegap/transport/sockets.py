"""Flow control and socket options of TCP connections."""

from __future__ import annotations

import asyncio
import socket
import struct

WRITE_BUFFER_HIGH_BYTES = 64 * 1024
"""Bytes buffered for one side of a connection at which reading from the other side stops."""


class Pausable(asyncio.Protocol):
    """A TCP connection whose reading can be paused while the other side accepts no more data."""

    transport: asyncio.Transport | None = None
    paused = False

    def pause(self) -> None:
        """Stop reading until `resume`."""
        if self.transport is not None and not self.paused and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Continue to read."""
        if self.transport is not None and self.paused:
            self.paused = False
            self.transport.resume_reading()


def close_now(transport: asyncio.Transport) -> None:
    """Close a connection at once; unsent data are dropped."""
    if transport.get_write_buffer_size():
        transport.abort()
    else:
        transport.close()


def no_delay(transport: asyncio.BaseTransport) -> None:
    """Send small writes at once (`TCP_NODELAY`)."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_connection(transport: asyncio.Transport) -> None:
    """End a connection by a TCP reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
