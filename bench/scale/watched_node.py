"""A node as `gradegap serve` runs it, with a meter of its event loop and a port to read the meter.

    NODE_CONFIG=... WATCH_PORT=... python -m bench.scale.watched_node

Each line on the port is a `MeterCommand`; each answer is a number.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time
from typing import cast

import uvloop

from bench.scale.messages import MeterCommand
from gradegap.node.node import Node
from gradegap.node.process import block_signals, configure_logging, load_all

SAMPLE_INTERVAL_S = 0.002


class LoopMeter:
    """Measures the longest delay of the timers of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.longest = 0.0
        self._schedule()

    def _schedule(self) -> None:
        self.due = time.perf_counter() + SAMPLE_INTERVAL_S
        self.loop.call_later(SAMPLE_INTERVAL_S, self._sample)

    def _sample(self) -> None:
        self.longest = max(self.longest, time.perf_counter() - self.due)
        self._schedule()

    def take_longest_ms(self) -> float:
        """Returns the longest delay in milliseconds since the last call."""
        longest, self.longest = self.longest, 0.0
        return longest * 1e3


class MeterConnection(asyncio.Protocol):
    """A connection to the port of the meter."""

    def __init__(self, meter: LoopMeter) -> None:
        self.meter = meter

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answers commands, one per line."""
        for command in data.decode().split():
            self.transport.write(f"{self._answer(MeterCommand(command)):.3f}\n".encode())

    def _answer(self, command: MeterCommand) -> float:
        match command:
            case MeterCommand.LONGEST:
                return self.meter.take_longest_ms()
            case MeterCommand.OBJECTS:
                return float(len(gc.get_objects()))
            case MeterCommand.COLLECT:
                began = time.perf_counter()
                gc.collect()
                return (time.perf_counter() - began) * 1e3


async def main() -> None:
    """Runs the node until SIGTERM."""
    loop = asyncio.get_running_loop()
    configuration, _ = load_all(None, None)
    node = Node(configuration, loop)
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    await node.start()
    meter = LoopMeter(loop)
    await loop.create_server(lambda: MeterConnection(meter), "127.0.0.1", int(os.environ["WATCH_PORT"]))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGTERM, signal.SIGHUP))
    await node.done


if __name__ == "__main__":
    block_signals()
    configure_logging()
    uvloop.run(main())
