"""Dials that are given up while the loop takes their sockets over."""

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

TURNS = 20


class Quits(asyncio.Protocol):
    """An attempt that was given up by the time it is connected."""

    def __init__(self) -> None:
        self.came: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).abort()
        self.came.set_result(None)


class Stays(asyncio.Protocol):
    def __init__(self) -> None:
        self.made: asyncio.Future[asyncio.BaseTransport] = asyncio.get_running_loop().create_future()
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.made.set_result(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True


def test_a_dial_given_up_at_its_end_closes_no_other_connection() -> None:
    """Each closed the descriptor of whatever had its number next, as soon as it was collected: a session's
    connection hung, or carried another's lines."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        server = socket.create_server(("127.0.0.1", 0), backlog=4 * TURNS)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        descriptors = DescriptorBudget(1000, Metrics())
        dialer = Dialer(loop, descriptors)
        kept = []
        for _ in range(TURNS):
            given_up = Quits()
            dialer.dial(address, 1.0, given_up, lambda: None)
            await asyncio.wait_for(given_up.came, 5.0)
            await asyncio.sleep(0.001)  # turns of the loop, in which it is closed
            stays = Stays()
            dialer.dial(address, 1.0, stays, lambda: None)
            del given_up
            gc.collect()
            kept.append((stays, await asyncio.wait_for(stays.made, 5.0)))
        inodes = set()
        for stays, transport in kept:
            held = transport.get_extra_info("socket").fileno()
            inodes.add(str(Path(f"/proc/self/fd/{held}").readlink()))
            assert not stays.lost
        assert len(inodes) == TURNS
        assert descriptors.held_count == TURNS
        dialer.task.cancel()
        server.close()

    uvloop.run(main())
