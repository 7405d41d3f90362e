"""Slopes of a node's data side: memory a connection, processor time a line, and how long its loop stops.

The node is a process of its own; its save server, its clients and its discovery are scripted in this one.
Lines go as deliveries do, from the save server to one client after another.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, cast

import uvloop
from hdrh.histogram import HdrHistogram

from bench.process_usage import cpu_seconds, private_kib
from bench.scale.fit import Point, point
from bench.scale.messages import MeterCommand
from bench.scale.results_file import Measurement, measured
from bench.scale.slopes_module import listed
from tests.support.node_environment import (
    DiscoveryServer,
    EndpointServer,
    NodeEnvironment,
    free_port,
    new_request_id,
    running_node,
)

CONNECTIONS = (500, 1_000, 2_000)
RATES = (1_000, 3_000, 6_000)  # lines a second
LINE_BYTES = (50, 200, 800)
USUAL_LINE, USUAL_RATE = 100, 2_000
LIST_SERVERS = (60, 600, 2_000)
FIGURE_S = 3.0  # of one figure
REPEATS = 3
METERED_CONNECTIONS = (500, 2_000, 8_000)  # as many as the descriptors here allow
COLLECTIONS, LISTS = 4, 2  # of each size, in one node's life
BATCH_INTERVAL_S = 0.005  # between two batches of lines
MAX_CONNECTING = 50  # clients that await their answer at once
CAPACITY = 100_000  # connections of the save server, by which it reports its load
SETTLE_S = 0.5


class LineProtocol(asyncio.Protocol):
    """One side of the node: reads complete lines."""

    def __init__(self) -> None:
        self.buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Bytes of the other side."""
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.line_received(line)

    def line_received(self, line: bytes) -> None:
        """A complete line, without its end."""

    def send_line(self, line: bytes) -> None:
        """Write a line that ends with its line end."""
        if self.transport is not None:
            self.transport.write(line)


class SaveServer:
    """Answers health checks and first lines, and keeps established connections."""

    def __init__(self) -> None:
        self.established: list[LineProtocol] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        port = self.listener.getsockname()[1]
        self.entry = {**listed(0), "addr": f"127.0.0.1:{port}"}

    def accept(self) -> LineProtocol:
        """The protocol of a new connection."""
        return ServerSide(self)


class ServerSide(LineProtocol):
    """The save server's end of a connection."""

    def __init__(self, server: SaveServer) -> None:
        super().__init__()
        self.server = server

    def line_received(self, line: bytes) -> None:
        """A health check or a first line; what follows is not answered."""
        if line.startswith(b"STATS"):
            established = len(self.server.established)
            self.send_line(b"PONG x0=%.6f,inflight=%d\r\n" % (established / CAPACITY, established))
        elif line.startswith(b"OPEN"):
            self.server.established.append(self)
            self.send_line(b"UP save-00000\r\n")


class ClientSide(LineProtocol):
    """An established client, which records how long lines took to it."""

    def __init__(self, line_latency_us: HdrHistogram) -> None:
        super().__init__()
        self.answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.line_latency_us = line_latency_us
        self.lines = 0

    def line_received(self, line: bytes) -> None:
        """The answer to the first line, or a forwarded line."""
        if not self.answer.done():
            self.answer.set_result(line)
        else:
            self.lines += 1
            sent = int(line[:16], 16)
            self.line_latency_us.record_value(max(1, (time.perf_counter_ns() - sent) // 1_000))


@dataclass
class Site:
    """A node with its save server, its clients and the port of its meter."""

    world: NodeEnvironment
    server: SaveServer
    meter: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None  # of a node with a meter
    rng: Random
    clients: list[ClientSide] = field(default_factory=list)
    line_latency_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))
    version: int = 0

    @property
    def pid(self) -> int:
        """The node's process."""
        return self.world.process.pid

    async def read_meter(self, command: MeterCommand) -> float:
        """The meter's answer to a command."""
        assert self.meter is not None
        reader, writer = self.meter
        writer.write(command.encode() + b"\n")
        return float(await reader.readline())

    async def _open(self) -> None:
        host, _, port = self.world.address.rpartition(":")
        loop = asyncio.get_running_loop()
        while True:
            _, client = await loop.create_connection(
                lambda: ClientSide(self.line_latency_us), host, int(port)
            )
            client.send_line(f"OPEN {new_request_id()} key c=live,d=1500\r\n".encode())
            answer = await client.answer
            if answer.startswith(b"UP"):
                self.clients.append(client)
                return
            assert client.transport is not None
            client.transport.close()
            await asyncio.sleep(0.02 * (1.0 + self.rng.random()))

    async def grow(self, count: int) -> None:
        """Open connections until so many are established."""
        while (missing := count - len(self.clients)) > 0:
            await asyncio.gather(*(self._open() for _ in range(min(missing, MAX_CONNECTING))))
        await asyncio.sleep(SETTLE_S)

    async def pass_lines(self, rate: int, size: int, seconds: float = FIGURE_S) -> float:
        """The node's processor seconds for lines at a rate; all of them have to arrive."""
        before, spent = sum(c.lines for c in self.clients), cpu_seconds(self.pid)
        sides, sent, began = self.server.established, 0, time.perf_counter()
        filling = b"x" * (size - 18) + b"\r\n"
        while (now := time.perf_counter() - began) < seconds:
            while sent < now * rate:
                sides[sent % len(sides)].send_line(b"%016x" % time.perf_counter_ns() + filling)
                sent += 1
            await asyncio.sleep(BATCH_INTERVAL_S)
        await asyncio.sleep(SETTLE_S)
        spent = cpu_seconds(self.pid) - spent
        received = sum(c.lines for c in self.clients) - before
        if received != sent:
            raise RuntimeError(f"{sent - received} of {sent} lines did not arrive")
        return spent / sent * 1e6

    async def idle(self) -> float:
        """The share of a core that the idle node uses."""
        began, spent = time.perf_counter(), cpu_seconds(self.pid)
        await asyncio.sleep(FIGURE_S)
        return (cpu_seconds(self.pid) - spent) / (time.perf_counter() - began)

    async def new_list(self, servers: int) -> None:
        """Discovery is elsewhere from now on: a full list, of which all but the one in use are new."""
        self.version += 1
        others = [listed(k, self.version) for k in range(1, servers)]
        discovery = DiscoveryServer([self.server.entry, *others])
        self.world.discovery_servers.append(discovery)
        config = json.loads(self.world.config.read_text())
        self.world.config.write_text(json.dumps(config | {"discovery": discovery.address}))
        self.world.process.send_signal(signal.SIGHUP)
        until = time.monotonic() + 10.0
        while len(discovery.calls) < 2:  # the second is the watch: the list is taken
            if time.monotonic() > until:
                raise RuntimeError("the node did not ask for the new list")
            await asyncio.sleep(0.01)
        await asyncio.sleep(SETTLE_S)


Work = Callable[[Site], Coroutine[Any, Any, None]]


async def _on_site(work: Work, seed: int, metered: bool) -> None:
    server = SaveServer()
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(server.accept, sock=server.listener)
    port = free_port()
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        place = running_node(
            Path(name),
            [cast(EndpointServer, server)],
            env={"WATCH_PORT": str(port), "TMPDIR": name},
            launcher=["-m", "bench.scale.watched_node" if metered else "gradegap"],
        )
        node = await loop.run_in_executor(None, stack.enter_context, place)
        meter = await asyncio.open_connection("127.0.0.1", port) if metered else None
        site = Site(node, server, meter, Random(seed))
        try:
            await work(site)
        finally:
            if meter is not None:
                meter[1].close()
            for client in site.clients:
                if client.transport is not None:
                    client.transport.abort()
            listening.close()


def on_site(work: Work, seed: int, metered: bool = False) -> None:
    """Run a node, plain or with a meter of its loop, and measure at it."""
    uvloop.run(_on_site(work, seed, metered))


Samples = dict[str, dict[int, list[float]]]


def gathered(samples: Samples, name: str) -> list[Point]:
    """The points of one quantity, by size."""
    return [point(size, values) for size, values in sorted(samples[name].items())]


def add(samples: Samples, name: str, size: int, value: float) -> None:
    """One more repeat of a quantity at a size."""
    samples.setdefault(name, {}).setdefault(size, []).append(value)


def over_connections(samples: Samples, gathered_as: str, name: str, unit: str, how: str) -> Measurement:
    """A measurement over connections."""
    return measured(name, unit, "connections", how, gathered(samples, gathered_as))


def connections_part(seed: int) -> list[Measurement]:
    """Memory, idle processor time and the price of a line over connections."""
    samples: Samples = {}

    async def run(site: Site) -> None:
        for count in CONNECTIONS:
            before, opened = cpu_seconds(site.pid), count - len(site.clients)
            await site.grow(count)
            add(samples, "open", count, (cpu_seconds(site.pid) - before) / opened * 1e6)
            add(samples, "memory", count, private_kib(site.pid) * 1024.0)
            add(samples, "idle", count, await site.idle() * 100.0)
            site.line_latency_us.reset()
            add(samples, "line", count, await site.pass_lines(USUAL_RATE, USUAL_LINE))
            add(samples, "late", count, site.line_latency_us.get_value_at_percentile(99) / 1e3)

    for repeat in range(REPEATS):
        on_site(run, seed + repeat)
    opens = "comes, is placed on the one server and stands"
    lines = f"{USUAL_RATE} lines of {USUAL_LINE} bytes a second, save server to clients in turn"
    return [
        over_connections(samples, "memory", "connection_memory", "bytes", "private memory of a node"),
        over_connections(samples, "idle", "idle_share", "% of a core", "a node whose sessions rest"),
        over_connections(
            samples, "open", "open_by_connections", "µs", f"processor time a connection that {opens}"
        ),
        over_connections(samples, "line", "line_by_connections", "µs", f"processor time a line; {lines}"),
        over_connections(
            samples, "late", "line_late_by_connections", "ms", f"99 in 100 lines come within; {lines}"
        ),
    ]


def lines_part(seed: int) -> list[Measurement]:
    """The price of a line over the rate of lines and over their size."""
    samples: Samples = {}

    async def run(site: Site) -> None:
        await site.grow(1_000)
        for rate in RATES:
            site.line_latency_us.reset()
            price = await site.pass_lines(rate, USUAL_LINE)
            add(samples, "rate", rate, price * rate / 1e4)
            add(samples, "late", rate, site.line_latency_us.get_value_at_percentile(99) / 1e3)
        for size in LINE_BYTES:
            add(samples, "bytes", size, await site.pass_lines(USUAL_RATE, size))

    for repeat in range(REPEATS):
        on_site(run, seed + repeat)
    where = "1,000 connections"
    return [
        measured(
            "share_by_lines",
            "% of a core",
            "lines a second",
            f"a node's processor time; {where}, lines of {USUAL_LINE} bytes",
            gathered(samples, "rate"),
        ),
        measured(
            "line_late_by_lines",
            "ms",
            "lines a second",
            f"99 in 100 lines come within; {where}, lines of {USUAL_LINE} bytes",
            gathered(samples, "late"),
        ),
        measured(
            "line_by_bytes",
            "µs",
            "bytes a line",
            f"processor time a line; {where}, {USUAL_RATE} lines a second",
            gathered(samples, "bytes"),
        ),
    ]


def stops_part(seed: int) -> list[Measurement]:
    """How long the loop stands still, with lines passing: collections of garbage, and lists."""
    samples: Samples = {}

    async def during(site: Site, event: Awaitable[Any]) -> tuple[float, Any]:
        """The longest stop of the loop while lines pass and something happens among them."""
        await site.read_meter(MeterCommand.LONGEST)
        lines = asyncio.ensure_future(site.pass_lines(USUAL_RATE, USUAL_LINE, 1.5))
        await asyncio.sleep(SETTLE_S)
        value = await event
        await lines
        return await site.read_meter(MeterCommand.LONGEST), value

    async def run(site: Site) -> None:
        for count in METERED_CONNECTIONS:
            await site.grow(count)
            add(samples, "quiet", count, (await during(site, asyncio.sleep(0)))[0])
            for _ in range(COLLECTIONS):
                stop, spent = await during(site, site.read_meter(MeterCommand.COLLECT))
                add(samples, "collect", count, spent)
                add(samples, "collect_stop", count, stop)
            add(samples, "objects", count, await site.read_meter(MeterCommand.OBJECTS))
        for servers in LIST_SERVERS * LISTS:
            add(samples, "list", servers, (await during(site, site.new_list(servers)))[0])

    on_site(run, seed, metered=True)
    lines = f"{USUAL_RATE} lines of {USUAL_LINE} bytes a second pass"
    longest = "the loop's longest stop"
    listed_anew = f"{longest} as a list comes in which all but one are new; {lines}, "
    listed_anew += f"{METERED_CONNECTIONS[-1]} connections"
    collecting = f"{longest} with a full collection; {lines}"
    return [
        over_connections(samples, "quiet", "stop_quiet", "ms", f"{longest}; {lines}"),
        over_connections(samples, "collect", "node_collection", "ms", "a full collection in a node"),
        over_connections(samples, "collect_stop", "stop_collection", "ms", collecting),
        over_connections(samples, "objects", "node_objects", "objects", "what the collector follows"),
        measured("stop_list", "ms", "servers", listed_anew, gathered(samples, "list"), "power"),
    ]


PARTS: dict[str, Callable[[int], list[Measurement]]] = {
    "connections": connections_part,
    "lines": lines_part,
    "stops": stops_part,
}
