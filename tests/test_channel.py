"""Closing of a client's TCP channel. The tests run in the channel's event loop, so that the client can act at
the moment of the close, before the loop reads from the socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest
import uvloop

from gradegap.balancing.actions import Action
from gradegap.balancing.events import Event
from gradegap.downstream.interfaces import LINGER_S, CloseReason
from gradegap.downstream.tcp_channel import LINGER_MAX_S, TcpChannel
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.transport.descriptors import DescriptorBudget
from tests.support.balancer_driver import settings
from tests.support.node_environment import hard_reset

FIRST_LINE = b"OPEN 1 2 c=live,d=1000\r\n"


class Listener:
    """A client listener without a node: its channels have a proxy without endpoints."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.metrics = Metrics()
        self.descriptors = DescriptorBudget(1000, self.metrics)
        self.proxy = Proxy(settings(), 1, cast(Any, None), self.metrics, self.loop)
        self.channels: set[TcpChannel] = set()
        self.server_socket = socket.create_server(("127.0.0.1", 0))
        self.server_socket.setblocking(False)

    async def open(self) -> None:
        await self.loop.create_server(self._create_channel, sock=self.server_socket)

    def _create_channel(self) -> TcpChannel:
        return TcpChannel(self.proxy, self.metrics, lambda: True, self.channels, self.descriptors)

    async def client(self, small_buffer: bool = False) -> tuple[socket.socket, TcpChannel]:
        sock = socket.socket()
        if small_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(self.server_socket.getsockname())
        before = set(self.channels)
        while not (new_channels := self.channels - before):
            await asyncio.sleep(0)
        return sock, new_channels.pop()

    async def wait_until(self, condition: Callable[[], bool], within_s: float) -> None:
        end = self.loop.time() + within_s
        while not condition():
            assert self.loop.time() < end, "condition not met in time"
            await asyncio.sleep(0.01)


def run_in_loop(test: Callable[[Listener], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        listener = Listener()
        await listener.open()
        await test(listener)

    uvloop.run(main())


async def read_to_end(sock: socket.socket) -> bytes:
    """Read until the end of the connection; a reset raises an exception."""
    sock.setblocking(False)
    loop, received = asyncio.get_running_loop(), b""
    while data := await asyncio.wait_for(loop.sock_recv(sock, 1_000_000), 5.0):
        received += data
    return received


def was_reset(sock: socket.socket) -> bool:
    """Return whether the connection was reset, even if a preceding end hides the reset from readers."""
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


@pytest.mark.parametrize("sent_bytes", [FIRST_LINE, FIRST_LINE[:9], FIRST_LINE + b"x" * 200_000])
def test_evicted_client_with_unread_bytes_gets_its_answer(sent_bytes: bytes) -> None:
    """The client's line is in the socket's buffer when the channel is evicted. Closing a socket with unread
    bytes resets the connection, so that the answer is lost."""

    async def test(listener: Listener) -> None:
        sock, channel = await listener.client()
        sock.setblocking(False)
        sock.send(sent_bytes)  # the loop does not run between this line and the next
        channel.evict()
        assert (await read_to_end(sock)).startswith(b"BUSY ")
        await listener.wait_until(lambda: listener.descriptors.held_count == 0, 2.0)
        assert not was_reset(sock)

    run_in_loop(test)


@pytest.mark.parametrize("close_reason", [CloseReason.MIGRATED, CloseReason.FAILED, CloseReason.SERVED])
def test_linger_end_with_unread_bytes_causes_no_reset(close_reason: CloseReason) -> None:
    """The client writes when the linger ends; it must still receive the last line and a regular end."""

    async def test(listener: Listener) -> None:
        sock, channel = await listener.client()
        channel.write(b"MOVE\r\n")
        channel.close(close_reason)
        await asyncio.sleep(LINGER_S / 2)
        sock.send(FIRST_LINE)
        channel._on_linger_over()
        assert await read_to_end(sock) == b"MOVE\r\n"
        await listener.wait_until(lambda: listener.descriptors.held_count == 0, 2.0)
        assert not was_reset(sock)

    run_in_loop(test)


@pytest.mark.parametrize("evicted", [False, True])
def test_client_that_never_reads_loses_its_descriptor(evicted: bool) -> None:
    """More data are unsent than the buffers of the connection hold. A close that waits until all data are
    sent would never happen, and neither would an eviction that waits for it."""

    async def test(listener: Listener) -> None:
        _sock, channel = await listener.client(small_buffer=True)
        channel.write(b"x" * 16_000_000 + b"\r\n")
        channel.close(CloseReason.MIGRATED)
        if evicted:
            channel.evict()
        limit_s = LINGER_S / 2 if evicted else LINGER_MAX_S
        await listener.wait_until(lambda: listener.descriptors.held_count == 0, limit_s)

    run_in_loop(test)


def test_client_that_reads_slowly_receives_its_last_lines() -> None:
    """The client reads for longer than the linger time; the rest of its data must not be cut off."""

    async def test(listener: Listener) -> None:
        sock, channel = await listener.client()
        size_bytes = 40_000_000
        channel.write(b"x" * size_bytes + b"MOVE\r\n")
        channel.close(CloseReason.MIGRATED)
        sock.setblocking(False)
        received = b""
        end = listener.loop.time() + 1.5 * LINGER_S
        while listener.loop.time() < end:
            received += await listener.loop.sock_recv(sock, size_bytes // 50)
            await asyncio.sleep(LINGER_S / 20)
        assert len(received) < size_bytes and channel.transport is not None
        assert (received + await read_to_end(sock)).endswith(b"xMOVE\r\n")

    run_in_loop(test)


@pytest.mark.parametrize(
    ("client_action", "disconnected"),
    [("stays", False), ("speaks", False), ("ends its side", True), ("closes", True), ("resets", True)],
)
def test_is_disconnected_detects_a_client_end_that_the_loop_has_not_read(
    client_action: str, disconnected: bool
) -> None:
    """Before the loop reads the end, it runs other callbacks, among them timers that forward requests."""

    async def test(listener: Listener) -> None:
        sock, channel = await listener.client()
        match client_action:
            case "speaks":
                sock.send(b"P")
            case "ends its side":
                sock.shutdown(socket.SHUT_WR)
            case "closes":
                sock.close()
            case "resets":
                hard_reset(sock)
        assert channel.is_disconnected() is disconnected  # in the same loop iteration
        assert channel.is_disconnected() is disconnected and (channel.transport is not None)

    run_in_loop(test)


def test_request_sent_during_dismissal_is_answered() -> None:
    """A client is dismissed first and closed when no descriptor is left; its line arrives in between."""

    async def test(listener: Listener) -> None:
        sock, channel = await listener.client()
        channel.dismiss()
        await asyncio.sleep(0)
        sock.send(FIRST_LINE)  # sent while the dismissal is in progress
        channel.evict()
        assert (await read_to_end(sock)).startswith(b"BUSY ")
        await listener.wait_until(lambda: listener.descriptors.held_count == 0, 2.0)
        assert not was_reset(sock) and not listener.proxy.requests

    run_in_loop(test)


def test_reset_between_accept_and_first_read_releases_everything() -> None:
    """The kernel has accepted the connection and the loop has not, so a channel is created for a closed
    one."""

    async def test(listener: Listener) -> None:
        for sent_bytes in (b"", FIRST_LINE, b"PING\r\n"):
            sock = socket.create_connection(listener.server_socket.getsockname())
            sock.send(sent_bytes)
            hard_reset(sock)
        sock, _channel = await listener.client()
        await listener.wait_until(
            lambda: listener.descriptors.held_count == 1 and len(listener.channels) == 1, 2.0
        )
        sock.close()
        await listener.wait_until(lambda: listener.descriptors.held_count == 0, 2.0)
        assert not listener.proxy.requests

    run_in_loop(test)


def test_client_whose_decision_raises_gets_its_answer() -> None:
    # Guards against a connection that the event loop closes without an answer, because an exception of the
    # balancer reached it through the channel.
    class FailingBalancer:
        def handle(self, now: float, event: Event) -> list[Action]:
            raise KeyError("s-a")

    async def test(listener: Listener) -> None:
        listener.proxy.balancer = FailingBalancer()  # type: ignore[assignment]
        sock, _ = await listener.client()
        sock.send(FIRST_LINE)
        assert await read_to_end(sock) == b"ERR\r\n"
        assert not was_reset(sock)
        other_sock, _ = await listener.client()
        other_sock.send(b"PING\r\n" + FIRST_LINE)
        assert await read_to_end(other_sock) == b"PONG\r\nERR\r\n"

    run_in_loop(test)
