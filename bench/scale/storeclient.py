"""A writer of the store on asyncio: many writes at once, tried at the next machine where one is lost."""

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

CONNECT_S = 1.0
TRY_S = 5.0  # that a machine may take over one try
MARGIN_S = 0.5
PAUSE_S = 0.1  # between two tries


class WriteRecord(msgspec.Struct):
    """One change: when it was asked for, when the yes came, and what became of it."""

    key: str
    proposed: float  # of the try that came through
    first_proposed: float
    acknowledged: float = 0.0
    revision: int = 0
    outcome: str = "lost"
    text: str = ""
    tries: int = 0


class Link(asyncio.Protocol):
    """A client's link to one machine."""

    def __init__(self, secret: bytes) -> None:
        self.channel = LinkChannel.open(secret, "client", is_dialer=True)
        self.loop = asyncio.get_running_loop()
        self.proven: asyncio.Future[None] = self.loop.create_future()
        self.waiting: dict[int, asyncio.Future[wire.Response]] = {}
        self.serial = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection stands."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.channel.begin())

    def data_received(self, data: bytes) -> None:
        """Bytes of the other side."""
        assert self.transport is not None
        words, reply = self.channel.receive(data)
        if reply:
            self.transport.write(reply)
        if self.channel.authenticated and not self.proven.done():
            self.proven.set_result(None)
        for word in words:
            waits = self.waiting.pop(word.serial, None) if isinstance(word, wire.Response) else None
            if waits is not None and isinstance(word, wire.Response) and not waits.done():
                waits.set_result(word)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.transport = None
        pending: list[asyncio.Future[Any]] = [self.proven, *self.waiting.values()]
        for waits in pending:
            if not waits.done():
                waits.set_exception(ConnectionError("the machine ended the link"))
                waits.exception()  # nobody may be waiting any more
        self.waiting.clear()

    async def ask(self, wish: wire.RequestBody, within: float) -> wire.Response:
        """The answer to one wish."""
        if self.transport is None:
            raise ConnectionError("the machine ended the link")
        self.serial += 1
        waits = self.waiting[self.serial] = self.loop.create_future()
        self.transport.write(self.channel.send(wire.Request(self.serial, wish, within)))
        return await asyncio.wait_for(waits, within + MARGIN_S)


class StoreClient:
    """Asks one machine after another until one says yes."""

    def __init__(self, addresses: list[str], secret: bytes) -> None:
        self.addresses, self.secret = addresses, secret
        self.at = 0
        self.link: Link | None = None
        self.connecting = asyncio.Lock()

    async def _connected(self) -> Link:
        async with self.connecting:
            if self.link is None or self.link.transport is None:
                self.link = await connect(self.addresses[self.at % len(self.addresses)], self.secret)
            return self.link

    def _next_machine(self, tried: int) -> None:
        """Guards against a machine passed over because several writes failed at the one before."""
        if self.at == tried:
            self.close()
            self.at += 1

    async def write(self, op: KeyUpdate, within: float, author: str = "scale") -> WriteRecord:
        """Write until a machine says yes, or the time is over: then `outcome` says what was last heard."""
        record = WriteRecord(op.key, steady(), steady())
        end = record.first_proposed + within
        while (left := end - steady()) > 0:
            record.proposed, record.tries = steady(), record.tries + 1
            tried = self.at
            try:
                link = await self._connected()
                answer = await link.ask(wire.Transaction((op,), author=author), min(TRY_S, left))
            except (OSError, TimeoutError, LinkError):
                record.outcome = "lost"
            else:
                record.outcome, record.text, record.revision = answer.outcome, answer.text, answer.revision
                if answer.outcome == "ok":
                    record.acknowledged = steady()
                    return record
            self._next_machine(tried)
            await asyncio.sleep(PAUSE_S)
        return record

    def close(self) -> None:
        """End the link."""
        if self.link is not None and self.link.transport is not None:
            self.link.transport.close()
        self.link = None


async def connect(address: str, secret: bytes) -> Link:
    """A proven link to one machine; `OSError` or `TimeoutError` where there is none."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    _, link = await asyncio.wait_for(loop.create_connection(lambda: Link(secret), host, port), CONNECT_S)
    try:
        await asyncio.wait_for(link.proven, CONNECT_S)
    except TimeoutError:
        if link.transport is not None:
            link.transport.abort()
        raise
    return link


async def status(address: str, secret: bytes, within: float = 1.0) -> dict[str, Any]:
    """What one machine says of itself; empty where it can't be asked."""
    with contextlib.suppress(OSError, TimeoutError, LinkError):
        link = await connect(address, secret)
        try:
            return (await link.ask(wire.Status(), within)).status
        finally:
            if link.transport is not None:
                link.transport.close()
    return {}
