"""A writer of the store on asyncio: many writes at once, retried at the next machine where one fails."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, cast

import msgspec

from bench.scale.sessions import steady
from gradegap.store import wire
from gradegap.store.channel import LinkChannel
from gradegap.store.errors import LinkError
from gradegap.store.records import KeyUpdate
from gradegap.transport.addresses import split_address

CONNECT_TIMEOUT_S = 1.0
ATTEMPT_TIMEOUT_S = 5.0  # of one attempt at one machine
RESPONSE_MARGIN_S = 0.5  # beyond the time that the machine was given
RETRY_PAUSE_S = 0.1


class WriteRecord(msgspec.Struct):
    """One change: when it was proposed, when it was acknowledged, and its outcome."""

    key: str
    proposed: float  # of the last attempt
    first_proposed: float
    acknowledged: float = 0.0
    revision: int = 0
    outcome: str = "lost"
    text: str = ""
    attempts: int = 0


class Link(asyncio.Protocol):
    """A client's link to one machine."""

    def __init__(self, secret: bytes) -> None:
        self.channel = LinkChannel.open(secret, "client", is_dialer=True)
        self.loop = asyncio.get_running_loop()
        self.authenticated: asyncio.Future[None] = self.loop.create_future()
        self.waiting: dict[int, asyncio.Future[wire.Response]] = {}
        self.serial = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.channel.begin())

    def data_received(self, data: bytes) -> None:
        """Bytes of the other side."""
        assert self.transport is not None
        messages, reply = self.channel.receive(data)
        if reply:
            self.transport.write(reply)
        if self.channel.authenticated and not self.authenticated.done():
            self.authenticated.set_result(None)
        for message in messages:
            future = self.waiting.pop(message.serial, None) if isinstance(message, wire.Response) else None
            if future is not None and isinstance(message, wire.Response) and not future.done():
                future.set_result(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.transport = None
        pending: list[asyncio.Future[Any]] = [self.authenticated, *self.waiting.values()]
        for future in pending:
            if not future.done():
                future.set_exception(ConnectionError("the machine ended the link"))
                future.exception()  # nobody may be waiting any more
        self.waiting.clear()

    async def request(self, body: wire.RequestBody, within: float) -> wire.Response:
        """The response to one request; `ConnectionError` or `TimeoutError` where none comes."""
        if self.transport is None:
            raise ConnectionError("the machine ended the link")
        self.serial += 1
        future = self.waiting[self.serial] = self.loop.create_future()
        self.transport.write(self.channel.send(wire.Request(self.serial, body, within)))
        return await asyncio.wait_for(future, within + RESPONSE_MARGIN_S)


class StoreClient:
    """Sends a write to one machine after another until one accepts it."""

    def __init__(self, addresses: list[str], secret: bytes) -> None:
        self.addresses, self.secret = addresses, secret
        self.machine_index = 0
        self.link: Link | None = None
        self.connecting = asyncio.Lock()

    async def _connected(self) -> Link:
        async with self.connecting:
            if self.link is None or self.link.transport is None:
                self.link = await connect(
                    self.addresses[self.machine_index % len(self.addresses)], self.secret
                )
            return self.link

    def _next_machine(self, failed_index: int) -> None:
        """Guards against a machine passed over because several writes failed at the one before."""
        if self.machine_index == failed_index:
            self.close()
            self.machine_index += 1

    async def write(self, op: KeyUpdate, within: float, author: str = "scale") -> WriteRecord:
        """Write until a machine accepts it or the time is over; `outcome` is that of the last attempt."""
        record = WriteRecord(op.key, steady(), steady())
        end = record.first_proposed + within
        while (remaining := end - steady()) > 0:
            record.proposed, record.attempts = steady(), record.attempts + 1
            failed_index = self.machine_index
            try:
                link = await self._connected()
                answer = await link.request(
                    wire.Transaction((op,), author=author), min(ATTEMPT_TIMEOUT_S, remaining)
                )
            except (OSError, TimeoutError, LinkError):
                record.outcome = "lost"
            else:
                record.outcome, record.text, record.revision = answer.outcome, answer.text, answer.revision
                if answer.outcome == "ok":
                    record.acknowledged = steady()
                    return record
            self._next_machine(failed_index)
            await asyncio.sleep(RETRY_PAUSE_S)
        return record

    def close(self) -> None:
        """End the link."""
        if self.link is not None and self.link.transport is not None:
            self.link.transport.close()
        self.link = None


async def connect(address: str, secret: bytes) -> Link:
    """An authenticated link to one machine; `OSError` or `TimeoutError` where there is none."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    _, link = await asyncio.wait_for(
        loop.create_connection(lambda: Link(secret), host, port), CONNECT_TIMEOUT_S
    )
    try:
        await asyncio.wait_for(link.authenticated, CONNECT_TIMEOUT_S)
    except TimeoutError:
        if link.transport is not None:
            link.transport.abort()
        raise
    return link


async def status(address: str, secret: bytes, within: float = 1.0) -> dict[str, Any]:
    """The status of one machine; empty where it can't be reached."""
    with contextlib.suppress(OSError, TimeoutError, LinkError):
        link = await connect(address, secret)
        try:
            return (await link.request(wire.Status(), within)).status
        finally:
            if link.transport is not None:
                link.transport.close()
    return {}
