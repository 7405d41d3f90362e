"""Costs of a node's data plane: memory per connection, processor time per line, and stalls of its loop.

The node runs in its own process; its save server, clients and discovery are simulated in this process. Lines
go in the direction of deliveries: from the save server to one client after another.
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
from bench.scale.slopes_module import registry_entry
from tests.support.node_environment import (
    DiscoveryServer,
    EndpointServer,
    NodeEnvironment,
    free_port,
    new_request_id,
    running_node,
)

CONNECTIONS = (500, 1_000, 2_000)
LINE_RATES = (1_000, 3_000, 6_000)  # lines per second
LINE_BYTES = (50, 200, 800)
BASE_LINE_BYTES, BASE_LINE_RATE = 100, 2_000  # line size in bytes and lines per second where neither varies
LIST_SERVERS = (60, 600, 2_000)
MEASUREMENT_S = 3.0  # duration of one measurement
REPEATS = 3
METERED_CONNECTIONS = (500, 2_000, 8_000)  # limited by the descriptors of the machine
# Numbers of garbage collections and of endpoint lists for each size, during the run of one node.
COLLECTIONS, LISTS = 4, 2
BATCH_INTERVAL_S = 0.005  # interval between two batches of lines
MAX_CONNECTING = 50  # number of clients that may await their answer at the same time
CAPACITY_CONNECTIONS = 100_000  # capacity of the save server, from which it calculates its reported load
SETTLE_S = 0.5


class LineProtocol(asyncio.Protocol):
    """A peer of the node that reads complete lines."""

    def __init__(self) -> None:
        self.buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Splits the received bytes into lines."""
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.line_received(line)

    def line_received(self, line: bytes) -> None:
        """Handles a complete line, given without its line end."""

    def send_line(self, line: bytes) -> None:
        """Writes a line, given with its line end."""
        if self.transport is not None:
            self.transport.write(line)


class SaveServer:
    """A save server that answers health checks and first lines, and keeps established connections."""

    def __init__(self) -> None:
        self.established: list[LineProtocol] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        port = self.listener.getsockname()[1]
        self.entry = {**registry_entry(0), "addr": f"127.0.0.1:{port}"}

    def accept(self) -> LineProtocol:
        """Returns the protocol of a new connection."""
        return ServerSide(self)


class ServerSide(LineProtocol):
    """The save server's end of a connection."""

    def __init__(self, server: SaveServer) -> None:
        super().__init__()
        self.server = server

    def line_received(self, line: bytes) -> None:
        """Answers a health check or a first line; ignores all later lines."""
        if line.startswith(b"STATS"):
            established = len(self.server.established)
            self.send_line(
                b"PONG x0=%.6f,inflight=%d\r\n" % (established / CAPACITY_CONNECTIONS, established)
            )
        elif line.startswith(b"OPEN"):
            self.server.established.append(self)
            self.send_line(b"UP save-00000\r\n")


class ClientSide(LineProtocol):
    """A client that records the latency of the lines it receives."""

    def __init__(self, line_latency_us: HdrHistogram) -> None:
        super().__init__()
        self.answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.line_latency_us = line_latency_us
        self.lines = 0

    def line_received(self, line: bytes) -> None:
        """Handles the answer to the first line, or records the latency of a forwarded line."""
        if not self.answer.done():
            self.answer.set_result(line)
        else:
            self.lines += 1
            sent = int(line[:16], 16)
            self.line_latency_us.record_value(max(1, (time.perf_counter_ns() - sent) // 1_000))


@dataclass
class Site:
    """A node with its save server, its clients and the connection to its loop meter."""

    environment: NodeEnvironment
    server: SaveServer
    meter: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None  # None for a node without a meter
    rng: Random
    clients: list[ClientSide] = field(default_factory=list)
    line_latency_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))
    version: int = 0

    @property
    def pid(self) -> int:
        """Process id of the node."""
        return self.environment.process.pid

    async def read_meter(self, command: MeterCommand) -> float:
        """Sends a command to the meter and returns its answer."""
        assert self.meter is not None
        reader, writer = self.meter
        writer.write(command.encode() + b"\n")
        return float(await reader.readline())

    async def _open(self) -> None:
        host, _, port = self.environment.address.rpartition(":")
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
        """Opens connections until `count` are established."""
        while (missing := count - len(self.clients)) > 0:
            await asyncio.gather(*(self._open() for _ in range(min(missing, MAX_CONNECTING))))
        await asyncio.sleep(SETTLE_S)

    async def pass_lines(self, rate: int, size: int, seconds: float = MEASUREMENT_S) -> float:
        """Passes lines through the node and returns its processor time in µs per line.

        Args:
            rate: lines per second.
            size: bytes per line.
            seconds: duration.

        Raises:
            RuntimeError: a line does not arrive.
        """
        before, spent = sum(c.lines for c in self.clients), cpu_seconds(self.pid)
        sides, sent, began = self.server.established, 0, time.perf_counter()
        padding = b"x" * (size - 18) + b"\r\n"
        while (now := time.perf_counter() - began) < seconds:
            while sent < now * rate:
                sides[sent % len(sides)].send_line(b"%016x" % time.perf_counter_ns() + padding)
                sent += 1
            await asyncio.sleep(BATCH_INTERVAL_S)
        await asyncio.sleep(SETTLE_S)
        spent = cpu_seconds(self.pid) - spent
        received = sum(c.lines for c in self.clients) - before
        if received != sent:
            raise RuntimeError(f"{sent - received} of {sent} lines did not arrive")
        return spent / sent * 1e6

    async def idle(self) -> float:
        """Returns the ratio of a core that the idle node uses."""
        began, spent = time.perf_counter(), cpu_seconds(self.pid)
        await asyncio.sleep(MEASUREMENT_S)
        return (cpu_seconds(self.pid) - spent) / (time.perf_counter() - began)

    async def new_list(self, servers: int) -> None:
        """Switches the node to another discovery server with a full list.

        All servers of the list but the one in use are new.

        Raises:
            RuntimeError: the node does not request the new list within 10 s.
        """
        self.version += 1
        others = [registry_entry(k, self.version) for k in range(1, servers)]
        discovery = DiscoveryServer([self.server.entry, *others])
        self.environment.discovery_servers.append(discovery)
        config = json.loads(self.environment.config.read_text())
        self.environment.config.write_text(json.dumps(config | {"discovery": discovery.address}))
        self.environment.process.send_signal(signal.SIGHUP)
        until = time.monotonic() + 10.0
        while len(discovery.calls) < 2:  # the second call is the watch, sent after the list was applied
            if time.monotonic() > until:
                raise RuntimeError("the node did not request the new endpoint list")
            await asyncio.sleep(0.01)
        await asyncio.sleep(SETTLE_S)


Work = Callable[[Site], Coroutine[Any, Any, None]]


async def _on_site(work: Work, seed: int, metered: bool) -> None:
    server = SaveServer()
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(server.accept, sock=server.listener)
    port = free_port()
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        node_context = running_node(
            Path(name),
            [cast(EndpointServer, server)],
            env={"WATCH_PORT": str(port), "TMPDIR": name},
            launcher=["-m", "bench.scale.watched_node" if metered else "gradegap"],
        )
        node = await loop.run_in_executor(None, stack.enter_context, node_context)
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
    """Runs `work` with a node; a `metered` node measures the stalls of its loop."""
    uvloop.run(_on_site(work, seed, metered))


Samples = dict[str, dict[int, list[float]]]


def sample_points(samples: Samples, name: str) -> list[Point]:
    """Returns the points of one quantity, ordered by size."""
    return [point(size, values) for size, values in sorted(samples[name].items())]


def add_sample(samples: Samples, name: str, size: int, value: float) -> None:
    """Adds the value of one repeat of a quantity at a size."""
    samples.setdefault(name, {}).setdefault(size, []).append(value)


def over_connections(samples: Samples, sample_name: str, name: str, unit: str, how: str) -> Measurement:
    """Returns a measurement over the number of connections."""
    return measured(name, unit, "connections", how, sample_points(samples, sample_name))


def connections_part(seed: int) -> list[Measurement]:
    """Measures memory, idle processor time and the cost of a line, over the number of connections."""
    samples: Samples = {}

    async def run(site: Site) -> None:
        for count in CONNECTIONS:
            before, opened = cpu_seconds(site.pid), count - len(site.clients)
            await site.grow(count)
            add_sample(samples, "open", count, (cpu_seconds(site.pid) - before) / opened * 1e6)
            add_sample(samples, "memory", count, private_kib(site.pid) * 1024.0)
            add_sample(samples, "idle", count, await site.idle() * 100.0)
            site.line_latency_us.reset()
            add_sample(samples, "line", count, await site.pass_lines(BASE_LINE_RATE, BASE_LINE_BYTES))
            add_sample(samples, "late", count, site.line_latency_us.get_value_at_percentile(99) / 1e3)

    for repeat in range(REPEATS):
        on_site(run, seed + repeat)
    opens = "comes, is placed on the one server and stands"
    lines = f"{BASE_LINE_RATE} lines of {BASE_LINE_BYTES} bytes a second, save server to clients in turn"
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
    """Measures the cost of a line, over the rate of lines and over their size."""
    samples: Samples = {}

    async def run(site: Site) -> None:
        await site.grow(1_000)
        for rate in LINE_RATES:
            site.line_latency_us.reset()
            cost_us = await site.pass_lines(rate, BASE_LINE_BYTES)
            add_sample(samples, "rate", rate, cost_us * rate / 1e4)
            add_sample(samples, "late", rate, site.line_latency_us.get_value_at_percentile(99) / 1e3)
        for size in LINE_BYTES:
            add_sample(samples, "bytes", size, await site.pass_lines(BASE_LINE_RATE, size))

    for repeat in range(REPEATS):
        on_site(run, seed + repeat)
    where = "1,000 connections"
    return [
        measured(
            "share_by_lines",
            "% of a core",
            "lines a second",
            f"a node's processor time; {where}, lines of {BASE_LINE_BYTES} bytes",
            sample_points(samples, "rate"),
        ),
        measured(
            "line_late_by_lines",
            "ms",
            "lines a second",
            f"99 in 100 lines come within; {where}, lines of {BASE_LINE_BYTES} bytes",
            sample_points(samples, "late"),
        ),
        measured(
            "line_by_bytes",
            "µs",
            "bytes a line",
            f"processor time a line; {where}, {BASE_LINE_RATE} lines a second",
            sample_points(samples, "bytes"),
        ),
    ]


def stops_part(seed: int) -> list[Measurement]:
    """Measures stalls of the loop by garbage collections and endpoint lists while lines pass."""
    samples: Samples = {}

    async def during(site: Site, event: Awaitable[Any]) -> tuple[float, Any]:
        """Returns the longest stall of the loop while lines pass during an event, and the event's result."""
        await site.read_meter(MeterCommand.LONGEST)
        lines = asyncio.ensure_future(site.pass_lines(BASE_LINE_RATE, BASE_LINE_BYTES, 1.5))
        await asyncio.sleep(SETTLE_S)
        value = await event
        await lines
        return await site.read_meter(MeterCommand.LONGEST), value

    async def run(site: Site) -> None:
        for count in METERED_CONNECTIONS:
            await site.grow(count)
            add_sample(samples, "quiet", count, (await during(site, asyncio.sleep(0)))[0])
            for _ in range(COLLECTIONS):
                stop, spent = await during(site, site.read_meter(MeterCommand.COLLECT))
                add_sample(samples, "collect", count, spent)
                add_sample(samples, "collect_stop", count, stop)
            add_sample(samples, "objects", count, await site.read_meter(MeterCommand.OBJECTS))
        for servers in LIST_SERVERS * LISTS:
            add_sample(samples, "list", servers, (await during(site, site.new_list(servers)))[0])

    on_site(run, seed, metered=True)
    lines = f"{BASE_LINE_RATE} lines of {BASE_LINE_BYTES} bytes a second pass"
    longest = "the loop's longest stop"
    listed_anew = f"{longest} as a list comes in which all but one are new; {lines}, "
    listed_anew += f"{METERED_CONNECTIONS[-1]} connections"
    collecting = f"{longest} with a full collection; {lines}"
    return [
        over_connections(samples, "quiet", "stop_quiet", "ms", f"{longest}; {lines}"),
        over_connections(samples, "collect", "node_collection", "ms", "a full collection in a node"),
        over_connections(samples, "collect_stop", "stop_collection", "ms", collecting),
        over_connections(samples, "objects", "node_objects", "objects", "what the collector follows"),
        measured("stop_list", "ms", "servers", listed_anew, sample_points(samples, "list"), "power"),
    ]


PARTS: dict[str, Callable[[int], list[Measurement]]] = {
    "connections": connections_part,
    "lines": lines_part,
    "stops": stops_part,
}
