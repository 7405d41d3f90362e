"""A node as `gradegap serve` runs it, with a meter of its loop and a port to ask it on.

    NODE_CONFIG=... WATCH_PORT=... python -m bench.scale.watched_node

Each line on the port is a word: `longest` answers the longest time in ms that the loop was late since the
last such word, `collect` runs a full collection of garbage and answers its ms, `objects` how many objects the
collector follows.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time
from typing import cast

import uvloop

from gradegap.node.node import Node
from gradegap.node.process import block_signals, configure_logging, load_all

EVERY = 0.002  # s between two looks at the loop


class Meter:
    """The longest that the loop was late."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.longest = 0.0
        self._next()

    def _next(self) -> None:
        self.due = time.perf_counter() + EVERY
        self.loop.call_later(EVERY, self._look)

    def _look(self) -> None:
        self.longest = max(self.longest, time.perf_counter() - self.due)
        self._next()

    def taken(self) -> float:
        """ms; measured anew from now on."""
        longest, self.longest = self.longest, 0.0
        return longest * 1e3


class Watch(asyncio.Protocol):
    """One asker on the port."""

    def __init__(self, meter: Meter) -> None:
        self.meter = meter

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """An asker is there."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Words, one a line."""
        for word in data.decode().split():
            self.transport.write(f"{self._answer(word):.3f}\n".encode())

    def _answer(self, word: str) -> float:
        if word == "longest":
            return self.meter.taken()
        if word == "objects":
            return float(len(gc.get_objects()))
        began = time.perf_counter()
        gc.collect()
        return (time.perf_counter() - began) * 1e3


async def main() -> None:
    """Serve until SIGTERM."""
    loop = asyncio.get_running_loop()
    configuration, _ = load_all(None, None)
    node = Node(configuration, loop)
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    await node.start()
    meter = Meter(loop)
    await loop.create_server(lambda: Watch(meter), "127.0.0.1", int(os.environ["WATCH_PORT"]))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGTERM, signal.SIGHUP))
    await node.done


if __name__ == "__main__":
    block_signals()
    configure_logging()
    uvloop.run(main())
