"""Outgoing TCP connections, established without a task for each."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from gradegap.transport.addresses import split_address
from gradegap.transport.descriptors import DescriptorBudget


class _PendingConnect:
    """One connect under way, until it is up, has failed or is stopped."""

    __slots__ = ("_dialer", "_failed", "_over", "_protocol", "_sock", "_timer")

    def __init__(self, dialer: Dialer, protocol: asyncio.Protocol, failed: Callable[[], None]) -> None:
        self._dialer = dialer
        self._protocol = protocol
        self._failed = failed
        self._over = False
        self._sock: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, address: str, timeout: float) -> None:
        """Begin; a connect that can't begin fails on the loop's next turn."""
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
        """Give up without a call of `failed`; harmless once it is over."""
        if not self._over:
            self._finish()
            if self._sock is not None:
                self._sock.close()

    def _fail(self) -> None:
        if not self._over:
            self.stop()
            self._failed()

    def _finish(self) -> None:
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        if self._sock is not None:
            self._dialer.loop.remove_writer(self._sock)

    def _on_writable(self) -> None:
        sock = self._sock
        if self._over or sock is None:
            return
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail()
            return
        self._finish()
        self._dialer.adopt(sock, self._protocol)


class Dialer:
    """Establishes TCP connections without a task for each: one task hands all of them to the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, descriptors: DescriptorBudget) -> None:
        self.loop = loop
        self.descriptors = descriptors
        self._connected: asyncio.Queue[tuple[socket.socket, asyncio.Protocol]] = asyncio.Queue()
        self.task = loop.create_task(self._create_transports())

    def dial(
        self, address: str, timeout: float, protocol: asyncio.Protocol, failed: Callable[[], None]
    ) -> Callable[[], None]:
        """Connect within `timeout` seconds: `protocol` gets the transport, or `failed` is called.

        Returns what stops it.
        """
        pending = _PendingConnect(self, protocol, failed)
        pending.start(address, timeout)
        return pending.stop

    def adopt(self, sock: socket.socket, protocol: asyncio.Protocol) -> None:
        """Give `protocol` a transport for a socket that is connected already."""
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
                # Guards against another connection's end. uvloop lets go of `sock` when it closes the
                # transport, but ties the two together only after `connection_made`. Closed by then, as by an
                # attempt that was given up, `sock` kept the number of a descriptor that was closed, and when
                # it was collected it closed whatever had that number.
                sock.detach()
