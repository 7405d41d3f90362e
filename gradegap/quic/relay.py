"""Datagrams from one process of a node to another, over a Unix socket: bounded, counted, never waited for.

The process that replaces another reads the UDP socket; what is of a connection that the one before holds goes
there by its id. What the socket between them has no room for is lost, as on any network: QUIC sends it again.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

import msgspec

from gradegap.metrics import Metrics

SEND_BUFFER_BYTES = 1 << 20  # octets that may wait between two processes
MAX_DATAGRAM_BYTES = 70_000  # octets of one datagram with its address
DATAGRAMS_PER_TURN = 64  # datagrams that are read in one turn of the loop


class ForwardedDatagram(msgspec.Struct, array_like=True, frozen=True):
    """One datagram on its way to another process."""

    host: str
    port: int
    data: bytes


_decoder = msgspec.msgpack.Decoder(ForwardedDatagram)


def socket_pair() -> tuple[socket.socket, socket.socket]:
    """Both ends; any number of processes may write to the second."""
    reads, writes = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
    for each in (reads, writes):
        each.setblocking(False)
    with contextlib.suppress(OSError):
        writes.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return reads, writes


class DatagramForwarder:
    """The way to a process that holds connections."""

    def __init__(self, sock: socket.socket, metrics: Metrics) -> None:
        self.sock, self.metrics = sock, metrics
        self.closed = False
        sock.setblocking(False)

    def send(self, data: bytes, addr: Any) -> bool:
        """False once nobody is there any more."""
        try:
            self.sock.send(msgspec.msgpack.encode(ForwardedDatagram(addr[0], addr[1], data)))
        except (BlockingIOError, InterruptedError):
            # Guards this process against one that is slow or stopped: its clients send again.
            self.metrics.count("quic_forward_full")
        except OSError:
            self.closed = True
            self.metrics.count("quic_forward_gone")
        else:
            self.metrics.count("quic_forwarded")
        return not self.closed

    def close(self) -> None:
        """Forward nothing more."""
        self.closed = True
        self.sock.close()


class ForwardedDatagrams:
    """Where what others forward comes in."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        metrics: Metrics,
        came: Callable[[bytes, Any], None],
    ) -> None:
        self.loop, self.sock, self.metrics, self.on_datagram = loop, sock, metrics, came
        loop.add_reader(sock, self._readable)

    def _readable(self) -> None:
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                raw = self.sock.recv(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.close()
                return
            try:
                passed = _decoder.decode(raw)
            except ValueError:  # of another version's process
                self.metrics.count("quic_forward_malformed")
                continue
            self.metrics.count("quic_forwarded_here")
            self.on_datagram(passed.data, (passed.host, passed.port))

    def close(self) -> None:
        """Take in nothing more."""
        self.loop.remove_reader(self.sock)
        self.sock.close()
