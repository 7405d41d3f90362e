"""Outgoing TCP connections, established without one task per connect."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from gradegap.transport.addresses import split_address
from gradegap.transport.descriptors import DescriptorBudget


class _PendingConnect:
    """A connect in progress, until it succeeds, fails or is stopped."""

    __slots__ = ("_dialer", "_is_finished", "_on_failed", "_protocol", "_sock", "_timer")

    def __init__(self, dialer: Dialer, protocol: asyncio.Protocol, on_failed: Callable[[], None]) -> None:
        self._dialer = dialer
        self._protocol = protocol
        self._on_failed = on_failed
        self._is_finished = False
        self._sock: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, address: str, timeout: float) -> None:
        """Start the connect; if that fails at once, the failure is reported in the loop's next iteration."""
        loop = self._dialer.loop
        try:
            host, port = split_address(address)
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            self._sock = sock = self._dialer.descriptors.open_socket(family)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.connect((host, port))
        except BlockingIOError:
            pass
        except (OSError, ValueError, OverflowError):
            loop.call_soon(self._fail)
            return
        loop.add_writer(sock, self._on_writable)
        self._timer = loop.call_later(timeout, self._fail)

    def stop(self) -> None:
        """Stop the connect without reporting a failure; no effect once the connect has ended."""
        if not self._is_finished:
            self._finish()
            if self._sock is not None:
                self._sock.close()

    def _fail(self) -> None:
        if not self._is_finished:
            self.stop()
            self._on_failed()

    def _finish(self) -> None:
        self._is_finished = True
        if self._timer is not None:
            self._timer.cancel()
        if self._sock is not None:
            self._dialer.loop.remove_writer(self._sock)

    def _on_writable(self) -> None:
        sock = self._sock
        if self._is_finished or sock is None:
            return
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail()
            return
        self._finish()
        self._dialer.adopt(sock, self._protocol)


class Dialer:
    """Establishes TCP connections. One task creates the transports of all of them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, descriptors: DescriptorBudget) -> None:
        self.loop = loop
        self.descriptors = descriptors
        self._connected: asyncio.Queue[tuple[socket.socket, asyncio.Protocol]] = asyncio.Queue()
        self.task = loop.create_task(self._create_transports())

    def dial(
        self, address: str, timeout: float, protocol: asyncio.Protocol, on_failed: Callable[[], None]
    ) -> Callable[[], None]:
        """Connect within `timeout` s: `protocol` gets the transport, or `on_failed` is called.

        Returns a function that stops the connect.
        """
        pending = _PendingConnect(self, protocol, on_failed)
        pending.start(address, timeout)
        return pending.stop

    def adopt(self, sock: socket.socket, protocol: asyncio.Protocol) -> None:
        """Create a transport between a connected socket and `protocol`."""
        self._connected.put_nowait((sock, protocol))

    async def _create_transports(self) -> None:
        while True:
            sock, protocol = await self._connected.get()
            try:
                transport, _ = await self.loop.create_connection(lambda p=protocol: p, sock=sock)  # type: ignore[misc]
            except OSError as error:
                sock.close()
                protocol.connection_lost(error)
                continue
            if transport.is_closing():
                # Guards against closing another connection's descriptor. uvloop detaches `sock` when it
                # closes the transport, but associates the two only after `connection_made`. If the transport
                # is closed by then, for example because the attempt was cancelled, `sock` still has the
                # number of the closed descriptor, and its garbage collection would close the new owner of
                # that number.
                sock.detach()
