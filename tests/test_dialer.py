"""Dials whose transport is closed while the event loop takes over their socket."""

from __future__ import annotations

import asyncio
import gc
import socket
from pathlib import Path
from typing import cast

import uvloop

from gradegap.metrics import Metrics
from gradegap.transport.descriptors import DescriptorBudget
from gradegap.transport.dialer import Dialer

DIAL_COUNT = 20


class AbortingProtocol(asyncio.Protocol):
    """A protocol that aborts its transport as soon as it is connected, like a cancelled attempt."""

    def __init__(self) -> None:
        self.connected: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).abort()
        self.connected.set_result(None)


class KeepingProtocol(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport_created: asyncio.Future[asyncio.BaseTransport] = (
            asyncio.get_running_loop().create_future()
        )
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport_created.set_result(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True


def test_dial_aborted_on_connect_closes_no_other_descriptor() -> None:
    """The socket of an aborted dial must not close its descriptor number again when it is garbage-collected:
    the number may belong to another session's connection by then, which would hang or carry another session's
    lines."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        server = socket.create_server(("127.0.0.1", 0), backlog=4 * DIAL_COUNT)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        descriptors = DescriptorBudget(1000, Metrics())
        dialer = Dialer(loop, descriptors)
        kept_connections = []
        for _ in range(DIAL_COUNT):
            aborting_protocol = AbortingProtocol()
            dialer.dial(address, 1.0, aborting_protocol, lambda: None)
            await asyncio.wait_for(aborting_protocol.connected, 5.0)
            await asyncio.sleep(0.001)  # lets the loop close the transport
            keeping_protocol = KeepingProtocol()
            dialer.dial(address, 1.0, keeping_protocol, lambda: None)
            del aborting_protocol
            gc.collect()
            kept_connections.append(
                (keeping_protocol, await asyncio.wait_for(keeping_protocol.transport_created, 5.0))
            )
        inodes = set()
        for keeping_protocol, transport in kept_connections:
            descriptor = transport.get_extra_info("socket").fileno()
            inodes.add(str(Path(f"/proc/self/fd/{descriptor}").readlink()))
            assert not keeping_protocol.lost
        assert len(inodes) == DIAL_COUNT
        assert descriptors.held_count == DIAL_COUNT
        dialer.task.cancel()
        server.close()

    uvloop.run(main())
