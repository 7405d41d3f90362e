"""A store member that publishes over real sockets, with clients and raw connections."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from gradegap.metrics import Metrics
from gradegap.observer.client import ObserverClient
from gradegap.observer.limits import Limits
from gradegap.observer.link import subscriber_channel
from gradegap.observer.messages import Change
from gradegap.observer.server import PublisherServer
from gradegap.store import wire
from gradegap.store.member import StoreMember
from gradegap.store.records import KeyUpdate
from gradegap.store.settings import StoreSettings
from gradegap.store.subscription_settings import ObserverMachine, ObserverSettings
from gradegap.transport.addresses import split_address
from tests.support.node_environment import free_port

SECRET = b"0123456789abcdef of a test"
TIMEOUT_S = 10.0


class PublisherEnvironment:
    """One publishing member and the clients that a test connects to it."""

    def __init__(
        self, folder: Path, loop: asyncio.AbstractEventLoop, limits: Limits | None, lease_s: float
    ) -> None:
        self.loop, self.folder = loop, folder
        self.publish = f"127.0.0.1:{free_port()}"
        (folder / "secret").write_bytes(SECRET)
        listen = f"127.0.0.1:{free_port()}"
        settings = StoreSettings("c1", listen, publish=self.publish, lease_s=lease_s)
        self.member = StoreMember(
            settings,
            SECRET,
            folder / "c1",
            loop,
            Metrics(),
            lambda error: None,
            make_subscription_server=PublisherServer,
        )
        assert isinstance(self.member.subscription_server, PublisherServer)
        self.server = self.member.subscription_server
        if limits is not None:
            self.server.limits = limits
        self.clients: list[ObserverClient] = []

    @property
    def counts(self) -> dict[str, int]:
        return dict(self.member.metrics.counts)

    def client(self, name: str, **more: Any) -> ObserverClient:
        """Starts a node's subscription, which keeps the received values in its attribute `keys`."""
        machines = (ObserverMachine("c1", self.publish),)
        settings = ObserverSettings(machines, name, secret=str(self.folder / "secret"), **more)
        keys: dict[str, Any] = {}

        def apply(revision: int, changes: tuple[Change, ...], is_snapshot: bool) -> None:
            if is_snapshot:
                keys.clear()
            for change in changes:
                keys[change.key] = None if change.deleted else change.value

        client = ObserverClient(settings, self.loop, Metrics(), apply, lambda fresh: None)
        client.keys = keys  # type: ignore[attr-defined]
        self.clients.append(client)
        client.start()
        return client

    async def write(self, key: str, value: Any) -> wire.Response:
        return await self.transact(KeyUpdate(key, value))

    async def transact(self, *ops: KeyUpdate) -> wire.Response:
        response: asyncio.Future[wire.Response] = self.loop.create_future()
        self.member.requests.request(wire.Transaction(ops), response.set_result, TIMEOUT_S)
        return await response

    async def wait_until(self, condition: Callable[[], Any], within: float = TIMEOUT_S) -> Any:
        end = time.monotonic() + within
        while not (result := condition()):
            assert time.monotonic() < end, f"condition not met within {within} s: {self.counts}"
            await asyncio.sleep(0.005)
        return result

    async def dial(self, receive_buffer: int = 0) -> RawConnection:
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await self.loop.sock_connect(sock, split_address(self.publish))
        return RawConnection(*await asyncio.open_connection(sock=sock))


class RawConnection:
    """A connection on which a test sends arbitrary messages."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.channel = subscriber_channel(SECRET)
        self.messages: list[Any] = []

    async def authenticate(self) -> None:
        self.writer.write(self.channel.begin())
        while not self.channel.authenticated:
            await self.read()

    async def read(self) -> bool:
        """Reads more data; returns False once the other side has closed the connection."""
        try:
            data = await asyncio.wait_for(self.reader.read(65536), TIMEOUT_S)
        except ConnectionError:
            return False
        messages, reply = self.channel.receive(data)
        self.writer.write(reply)
        self.messages += messages
        return bool(data)

    def send(self, message: msgspec.Struct) -> None:
        self.writer.write(self.channel.send(message))

    async def next_message(self, kind: type) -> Any:
        while True:
            for message in self.messages:
                if isinstance(message, kind):
                    self.messages.remove(message)
                    return message
            assert await self.read(), f"ended before a {kind.__name__}"

    async def wait_for_end(self) -> None:
        while await self.read():
            pass


def run_with_publisher(
    folder: Path,
    scenario: Callable[[PublisherEnvironment], Awaitable[None]],
    limits: Limits | None = None,
    lease_s: float = 1.0,
) -> None:
    """Runs `scenario` against a member that leads."""

    async def main() -> None:
        environment = PublisherEnvironment(folder, asyncio.get_running_loop(), limits, lease_s)
        await environment.member.start()
        try:
            await environment.wait_until(environment.member.is_fresh)
            await scenario(environment)
        finally:
            for client in environment.clients:
                client.leave()
            environment.member.close()

    uvloop.run(main())
