"""Client of the store on asyncio, with concurrent writes that are retried at the next machine on failure."""

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
ATTEMPT_TIMEOUT_S = 5.0  # limit of one attempt at one machine
RESPONSE_MARGIN_S = 0.5  # added to the time limit of a request to get the timeout of its response
RETRY_PAUSE_S = 0.1  # pause before the next attempt


class WriteRecord(msgspec.Struct):
    """One change with its outcome; times are seconds of the steady clock."""

    key: str
    proposed: float  # start of the last attempt
    first_proposed: float
    acknowledged: float = 0.0
    revision: int = 0
    outcome: str = "lost"
    text: str = ""
    attempts: int = 0


class Link(asyncio.Protocol):
    """A client's link to one control machine."""

    def __init__(self, secret: bytes) -> None:
        self.channel = LinkChannel.open(secret, "client", is_dialer=True)
        self.loop = asyncio.get_running_loop()
        self.authenticated: asyncio.Future[None] = self.loop.create_future()
        self.waiting: dict[int, asyncio.Future[wire.Response]] = {}
        self.serial = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the handshake of the link."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.channel.begin())

    def data_received(self, data: bytes) -> None:
        """Completes the handshake, and delivers each response to its waiting request."""
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
        """Fails the handshake and all waiting requests."""
        self.transport = None
        pending: list[asyncio.Future[Any]] = [self.authenticated, *self.waiting.values()]
        for future in pending:
            if not future.done():
                future.set_exception(ConnectionError("link closed by the machine"))
                future.exception()  # marks the exception as retrieved, as no task may be waiting for it
        self.waiting.clear()

    async def request(self, body: wire.RequestBody, within: float) -> wire.Response:
        """Sends a request and returns its response.

        Args:
            body: the request.
            within: seconds that the machine may take.

        Raises:
            ConnectionError: the link is closed.
            TimeoutError: no response arrives within the time and a margin.
        """
        if self.transport is None:
            raise ConnectionError("link closed by the machine")
        self.serial += 1
        future = self.waiting[self.serial] = self.loop.create_future()
        self.transport.write(self.channel.send(wire.Request(self.serial, body, within)))
        return await asyncio.wait_for(future, within + RESPONSE_MARGIN_S)


class StoreClient:
    """Sends writes to one machine at a time, and to the next one after a failure."""

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
        """Changes to the next machine once, even if several concurrent writes failed at the same machine."""
        if self.machine_index == failed_index:
            self.close()
            self.machine_index += 1

    async def write(self, update: KeyUpdate, within: float, author: str = "scale") -> WriteRecord:
        """Retries a write until a machine accepts it or `within` seconds have passed.

        Returns:
            The record of the write; its `outcome` is that of the last attempt.
        """
        record = WriteRecord(update.key, steady(), steady())
        end = record.first_proposed + within
        while (remaining := end - steady()) > 0:
            record.proposed, record.attempts = steady(), record.attempts + 1
            failed_index = self.machine_index
            try:
                link = await self._connected()
                answer = await link.request(
                    wire.Transaction((update,), author=author), min(ATTEMPT_TIMEOUT_S, remaining)
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
        """Closes the link."""
        if self.link is not None and self.link.transport is not None:
            self.link.transport.close()
        self.link = None


async def connect(address: str, secret: bytes) -> Link:
    """Opens an authenticated link to one machine.

    Raises:
        OSError: the connection fails.
        TimeoutError: the connection or the handshake takes too long.
    """
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
    """Returns the status of one machine, or an empty dictionary if the machine can't be reached."""
    with contextlib.suppress(OSError, TimeoutError, LinkError):
        link = await connect(address, secret)
        try:
            return (await link.request(wire.Status(), within)).status
        finally:
            if link.transport is not None:
                link.transport.close()
    return {}
