"""Forwards datagrams between processes of a node over a Unix socket, without waiting for the other process.

After a hot restart the successor reads the UDP socket. If the connection id of a datagram names the
predecessor as the holder of the connection, the datagram is forwarded to the predecessor. A datagram for
which the socket buffer between the processes has no room is counted and lost, as on any network: QUIC
retransmits.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

import msgspec

from gradegap.metrics import Metrics

SEND_BUFFER_BYTES = 1 << 20  # limit of the data queued between two processes
MAX_MESSAGE_BYTES = 70_000  # limit of one encoded datagram with its address
DATAGRAMS_PER_READ = 64  # limit of datagrams read in one iteration of the event loop


class ForwardedDatagram(msgspec.Struct, array_like=True, frozen=True):
    """A datagram forwarded to another process, with the client's address."""

    host: str
    port: int
    data: bytes


_decoder = msgspec.msgpack.Decoder(ForwardedDatagram)


def socket_pair() -> tuple[socket.socket, socket.socket]:
    """Return the receiving end and the sending end; any number of processes may write to the sending end."""
    receiving_end, sending_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
    for sock in (receiving_end, sending_end):
        sock.setblocking(False)
    with contextlib.suppress(OSError):
        sending_end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return receiving_end, sending_end


class DatagramForwarder:
    """Sends datagrams to another process that holds connections."""

    def __init__(self, sock: socket.socket, metrics: Metrics) -> None:
        self.sock, self.metrics = sock, metrics
        self.is_closed = False
        sock.setblocking(False)

    def send(self, data: bytes, addr: Any) -> bool:
        """Forward a datagram received from `addr`; False once the other process has closed its end."""
        try:
            self.sock.send(msgspec.msgpack.encode(ForwardedDatagram(addr[0], addr[1], data)))
        except (BlockingIOError, InterruptedError):
            # A slow or stopped process must not block this one; clients retransmit the dropped packets.
            self.metrics.count("quic_forward_full")
        except OSError:
            self.is_closed = True
            self.metrics.count("quic_forward_gone")
        else:
            self.metrics.count("quic_forwarded")
        return not self.is_closed

    def close(self) -> None:
        """Stop forwarding and close the socket."""
        self.is_closed = True
        self.sock.close()


class ForwardedDatagrams:
    """Receives the datagrams that other processes forward to this one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        metrics: Metrics,
        handler: Callable[[bytes, Any], None],
    ) -> None:
        self.loop, self.sock, self.metrics, self.on_datagram = loop, sock, metrics, handler
        loop.add_reader(sock, self._on_readable)

    def _on_readable(self) -> None:
        for _ in range(DATAGRAMS_PER_READ):
            try:
                message = self.sock.recv(MAX_MESSAGE_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.close()
                return
            try:
                datagram = _decoder.decode(message)
            except ValueError:  # sent by a process of another software version
                self.metrics.count("quic_forward_malformed")
                continue
            self.metrics.count("quic_forwarded_here")
            self.on_datagram(datagram.data, (datagram.host, datagram.port))

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self.loop.remove_reader(self.sock)
        self.sock.close()
