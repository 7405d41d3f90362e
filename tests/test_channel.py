"""A client's TCP channel as it closes, in the loop of the test: what the other side does in that very moment
is done before the loop may see it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest
import uvloop

from gradegap.downstream.interfaces import LINGER_S, CloseReason
from gradegap.downstream.tcp_channel import LINGER_MAX_S, TcpChannel
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.transport.descriptors import DescriptorBudget
from tests.support.balancer_driver import settings
from tests.support.node_environment import hard_reset

FIRST_LINE = b"OPEN 1 2 c=live,d=1000\r\n"


class Listener:
    """The node's listener without a node: channels whose requests reach no endpoint."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.metrics = Metrics()
        self.descriptors = DescriptorBudget(1000, self.metrics)
        self.proxy = Proxy(settings(), 1, cast(Any, None), self.metrics, self.loop)
        self.channels: set[TcpChannel] = set()
        self.server_socket = socket.create_server(("127.0.0.1", 0))
        self.server_socket.setblocking(False)

    async def open(self) -> None:
        await self.loop.create_server(self._made, sock=self.server_socket)

    def _made(self) -> TcpChannel:
        return TcpChannel(self.proxy, self.metrics, lambda: True, self.channels, self.descriptors)

    async def client(self, small: bool = False) -> tuple[socket.socket, TcpChannel]:
        sock = socket.socket()
        if small:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(self.server_socket.getsockname())
        before = set(self.channels)
        while not (new := self.channels - before):
            await asyncio.sleep(0)
        return sock, new.pop()

    async def until(self, true: Callable[[], bool], within: float) -> None:
        end = self.loop.time() + within
        while not true():
            assert self.loop.time() < end, "it never came about"
            await asyncio.sleep(0.01)


def in_loop(test: Callable[[Listener], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        listener = Listener()
        await listener.open()
        await test(listener)

    uvloop.run(main())


async def read_to_end(sock: socket.socket) -> bytes:
    """All that comes until the end; a reset raises."""
    sock.setblocking(False)
    loop, got = asyncio.get_running_loop(), b""
    while data := await asyncio.wait_for(loop.sock_recv(sock, 1_000_000), 5.0):
        got += data
    return got


def was_reset(sock: socket.socket) -> bool:
    """Whether a reset came, also where the end before it hides it from a reader."""
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


@pytest.mark.parametrize("said", [FIRST_LINE, FIRST_LINE[:9], FIRST_LINE + b"x" * 200_000])
def test_an_eviction_over_unread_bytes_still_answers(said: bytes) -> None:
    """The client's line is in the socket's buffer as the channel is evicted. The close over it reset the
    connection, and the answer went with it."""

    async def test(listener: Listener) -> None:
        sock, channel = await listener.client()
        sock.setblocking(False)
        sock.send(said)  # the loop has no turn between this line and the next
        channel.evict()
        assert (await read_to_end(sock)).startswith(b"BUSY ")
        await listener.until(lambda: listener.descriptors.held_count == 0, 2.0)
        assert not was_reset(sock)

    in_loop(test)


@pytest.mark.parametrize("ending", [CloseReason.MIGRATED, CloseReason.FAILED, CloseReason.SERVED])
def test_the_end_of_a_linger_over_unread_bytes_is_no_reset(ending: CloseReason) -> None:
    """The client writes as the linger ends; it finds the last line and an end."""

    async def test(listener: Listener) -> None:
        sock, channel = await listener.client()
        channel.write(b"MOVE\r\n")
        channel.close(ending)
        await asyncio.sleep(LINGER_S / 2)
        sock.send(FIRST_LINE)
        channel._on_linger_over()
        assert await read_to_end(sock) == b"MOVE\r\n"
        await listener.until(lambda: listener.descriptors.held_count == 0, 2.0)
        assert not was_reset(sock)

    in_loop(test)


@pytest.mark.parametrize("evicted", [False, True])
def test_a_peer_that_never_reads_does_not_keep_its_descriptor(evicted: bool) -> None:
    """More is on its way to it than its buffers hold. Its connection was closed once all was out, and so
    never; evicting it did nothing."""

    async def test(listener: Listener) -> None:
        _sock, channel = await listener.client(small=True)
        channel.write(b"x" * 16_000_000 + b"\r\n")
        channel.close(CloseReason.MIGRATED)
        if evicted:
            channel.evict()
        within_s = LINGER_S / 2 if evicted else LINGER_MAX_S
        await listener.until(lambda: listener.descriptors.held_count == 0, within_s)

    in_loop(test)


def test_a_peer_that_reads_slowly_has_its_last_lines() -> None:
    """It goes on reading past the linger: what it takes time for is not cut off."""

    async def test(listener: Listener) -> None:
        sock, channel = await listener.client()
        size = 40_000_000
        channel.write(b"x" * size + b"MOVE\r\n")
        channel.close(CloseReason.MIGRATED)
        sock.setblocking(False)
        got = b""
        end = listener.loop.time() + 1.5 * LINGER_S
        while listener.loop.time() < end:
            got += await listener.loop.sock_recv(sock, size // 50)
            await asyncio.sleep(LINGER_S / 20)
        assert len(got) < size and channel.transport is not None
        assert (got + await read_to_end(sock)).endswith(b"xMOVE\r\n")

    in_loop(test)


@pytest.mark.parametrize(
    ("how", "disconnected"),
    [("stays", False), ("speaks", False), ("ends its side", True), ("closes", True), ("resets", True)],
)
def test_a_client_that_disconnected_is_seen_before_the_loop_reads_of_it(how: str, disconnected: bool) -> None:
    """Between a client's end and its reading lies all that the loop does first, timers that send included."""

    async def test(listener: Listener) -> None:
        sock, channel = await listener.client()
        match how:
            case "speaks":
                sock.send(b"P")
            case "ends its side":
                sock.shutdown(socket.SHUT_WR)
            case "closes":
                sock.close()
            case "resets":
                hard_reset(sock)
        assert channel.is_disconnected() is disconnected  # in the same turn of the loop
        assert channel.is_disconnected() is disconnected and (channel.transport is not None)

    in_loop(test)


def test_a_client_that_is_dismissed_may_send_its_request_in_that_moment() -> None:
    """It is told, and closed once there is no room any more: its line comes in between and has its answer."""

    async def test(listener: Listener) -> None:
        sock, channel = await listener.client()
        channel.dismiss()
        await asyncio.sleep(0)
        sock.send(FIRST_LINE)  # on its way as the end came
        channel.evict()
        assert (await read_to_end(sock)).startswith(b"BUSY ")
        await listener.until(lambda: listener.descriptors.held_count == 0, 2.0)
        assert not was_reset(sock) and not listener.proxy.requests

    in_loop(test)


def test_a_reset_between_the_accept_and_the_first_read_leaves_nothing() -> None:
    """The system has accepted, and the loop has not: a channel is made for a connection that is gone."""

    async def test(listener: Listener) -> None:
        for said in (b"", FIRST_LINE, b"PING\r\n"):
            sock = socket.create_connection(listener.server_socket.getsockname())
            sock.send(said)
            hard_reset(sock)
        sock, _channel = await listener.client()
        await listener.until(
            lambda: listener.descriptors.held_count == 1 and len(listener.channels) == 1, 2.0
        )
        sock.close()
        await listener.until(lambda: listener.descriptors.held_count == 0, 2.0)
        assert not listener.proxy.requests

    in_loop(test)
