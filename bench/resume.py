"""Measures the cost of a migration: the longest gap between two answers, with and without resumption.

    python -m bench.resume [--quick] [--cost]

One node runs in front of two save servers. Players send a request every 20 ms while the servers drain in
turn. Without resumption the node has no `[resume]` table: a client is sent MOVE, waits 150 to 1,100 ms as
clients do, and connects again.

The benchmark also measures the cost of the session layer: the node's CPU time for the same lines with and
without windows, and its memory for an established session. `--cost` measures only this, in three rounds. CI
does not run this benchmark.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from bench.histograms import new_histogram, percentiles
from bench.process_usage import cpu_seconds, private_kib
from gradegap.client import Session
from tests.support.node_environment import EndpointServer, NodeEnvironment, new_request_id, wait_for
from tests.support.resume_servers import ResumableEndpointServer, SaveStore

PLAYER_COUNT = 60 if "--quick" in sys.argv else 200
DRAIN_COUNT = 2 if "--quick" in sys.argv else 4
REQUEST_INTERVAL_S = 0.02  # interval between two requests of a player
REQUEST_COUNT = 4000 if "--quick" in sys.argv else 20_000
MEASURED_SESSION_COUNT = 300  # sessions whose memory is measured
WARM_UP_SESSION_COUNT = 50  # sessions opened before, so that one-time allocations are not counted
PAUSE_BOUNDS_S = 0.15, 1.1  # range of a client's pause before it connects again
ROUND_COUNT = 3 if "--cost" in sys.argv else 1


class ReconnectingPlayer:
    """A client without resumption: after MOVE it pauses and connects again."""

    def __init__(self, address: str) -> None:
        self.address = address

    async def connect(self) -> None:
        """Connect to the node, and retry until it accepts the session."""
        host, _, port = self.address.rpartition(":")
        while True:
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
            self.writer.write(f"OPEN {new_request_id()} k c=live,d=1500\r\n".encode())
            answer = await self.reader.readline()
            if answer.startswith(b"UP"):
                return
            self.writer.close()
            await asyncio.sleep(random.uniform(*PAUSE_BOUNDS_S))

    async def request(self, text: bytes) -> bytes:
        """Return the answer to one request, which is repeated on new connections until it is answered."""
        while True:
            try:
                self.writer.write(text + b"\r\n")
                answer = (await self.reader.readline()).rstrip()
            except OSError:
                answer = b""
            if answer and answer != b"MOVE":
                return answer
            self.writer.close()
            await asyncio.sleep(random.uniform(*PAUSE_BOUNDS_S))
            await self.connect()


async def play_until(player: Any, gaps: list[float], stop_event: asyncio.Event) -> None:
    """Send requests until `stop_event` is set; append the player's longest gap, in seconds, to `gaps`."""
    answered_at, longest, number = time.monotonic(), 0.0, 0
    while not stop_event.is_set():
        number += 1
        await player.request(b"r%d" % number)
        now = time.monotonic()
        longest, answered_at = max(longest, now - answered_at), now
        await asyncio.sleep(REQUEST_INTERVAL_S)
    gaps.append(longest - REQUEST_INTERVAL_S)


async def gaps_over_drains(
    environment: NodeEnvironment, players: list[Any], servers: list[EndpointServer]
) -> list[float]:
    """Return the longest gap of each player, in seconds, while the servers drain in turn."""
    stop_event = asyncio.Event()
    gaps: list[float] = []
    tasks = [asyncio.create_task(play_until(player, gaps, stop_event)) for player in players]
    for turn in range(DRAIN_COUNT):
        await asyncio.sleep(1.0)
        draining = servers[turn % 2]
        await asyncio.to_thread(environment.discovery.announce, draining, state="Terminating")
        await asyncio.sleep(4.5)
        await asyncio.to_thread(environment.discovery.announce, draining, state="Ready")
    stop_event.set()
    await asyncio.gather(*tasks)
    return gaps


def gap_percentiles(gaps: list[float]) -> dict[str, float]:
    """Return percentiles of the gaps, in milliseconds."""
    histogram = new_histogram()
    for gap in gaps:
        histogram.record_value(max(1, round(gap * 1e6)))
    return percentiles(histogram)


async def gaps_of(
    environment: NodeEnvironment, servers: list[EndpointServer], resumable: bool
) -> dict[str, float]:
    """Return the percentiles of all players' longest gaps, with or without resumption."""
    players: list[Any] = []
    for index in range(PLAYER_COUNT):
        if resumable:
            players.append(await Session.open([environment.address], key=f"k{index}", placement_timeout=30.0))
        else:
            player = ReconnectingPlayer(environment.address)
            await player.connect()
            players.append(player)
        await asyncio.sleep(0.01)
    return gap_percentiles(await gaps_over_drains(environment, players, servers))


class EchoServer(EndpointServer):
    """A save server that answers each read in one write, with or without resumption, and stores nothing.

    The node thus reads pieces of the same size in both variants.
    """

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            is_established, rest = False, b""
            while data := sock.recv(65536):
                *lines, rest = (rest + data).split(b"\n")
                if is_established:
                    answers = [
                        b"A" + raw[1:] if raw[:2] == b"Q " else raw for raw in lines if raw[:2] != b"K "
                    ]
                    sock.sendall(b"".join(line + b"\n" for line in answers))
                elif lines[0].startswith(b"STATS"):
                    sock.sendall(b"PONG x0=0.05,inflight=40\r\n")
                else:
                    is_established = True
                    sock.sendall(b"UP a rs=0\r\n" if b"rn=" in lines[0] else b"UP a\r\n")
        sock.close()


class RawSession:
    """One session that writes the same pieces with and without resumption.

    The client library is not used, so that its cost and the size of its writes do not affect the measurement.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, resumable: bool) -> None:
        self.reader, self.writer, self.resumable, self.requested = reader, writer, resumable, 0

    @classmethod
    async def open(cls, environment: NodeEnvironment, resumable: bool) -> RawSession:
        """Open a session; retry while the node rejects it."""
        host, _, port = environment.address.rpartition(":")
        while True:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"OPEN {new_request_id()} k c=live,d=1500{',rs=1' if resumable else ''}\r\n".encode()
            )
            answer = await reader.readline()
            if answer.startswith(b"UP"):
                assert (b",t=" in answer) is resumable, answer
                return RawSession(reader, writer, resumable)
            writer.close()
            await asyncio.sleep(int(answer.split()[1]) / 1000)  # BUSY names the time to wait

    async def request(self, batch_size: int) -> None:
        """Write `batch_size` requests and an acknowledgement at once and read the answers."""
        numbers = range(self.requested + 1, self.requested + batch_size + 1)
        if self.resumable:
            seen = b"K %d\r\n" % self.requested if self.requested else b""
            self.writer.write(seen + b"".join(b"Q %d request\r\n" % number for number in numbers))
        else:
            self.writer.write(b"".join(b"request %d\r\n" % number for number in numbers))
        for _ in numbers:
            await self.reader.readline()
        self.requested += batch_size


async def cpu_per_request_us(environment: NodeEnvironment, resumable: bool, batch_size: int) -> float:
    """Return the node's CPU time for a request and its answer, in microseconds.

    One session sends `batch_size` requests at a time.
    """
    session = await RawSession.open(environment, resumable)
    await session.request(batch_size)
    before = cpu_seconds(environment.process.pid)
    for _ in range(0, REQUEST_COUNT, batch_size):
        await session.request(batch_size)
    cpu_us = (cpu_seconds(environment.process.pid) - before) / REQUEST_COUNT * 1e6
    session.writer.close()
    return cpu_us


async def kib_per_session(environment: NodeEnvironment, resumable: bool) -> float:
    """Return the node's memory for each established session with two answered requests, in KiB."""
    sessions = [await RawSession.open(environment, resumable) for _ in range(WARM_UP_SESSION_COUNT)]
    before = private_kib(environment.process.pid)
    for _ in range(MEASURED_SESSION_COUNT):
        await asyncio.sleep(0.01)
        sessions.append(await RawSession.open(environment, resumable))
        await sessions[-1].request(2)
    kib = (private_kib(environment.process.pid) - before) / MEASURED_SESSION_COUNT
    for session in sessions:
        session.writer.close()
    return kib


@contextlib.contextmanager
def running_node(servers: list[EndpointServer], resumable: bool) -> Iterator[NodeEnvironment]:
    """Run a node in front of these servers, with or without the `[resume]` table."""
    with tempfile.TemporaryDirectory() as name:
        environment = NodeEnvironment(Path(name), servers, "[resume]\n" if resumable else None)
        try:
            wait_for(environment.is_ready, 15.0)
            yield environment
        finally:
            environment.process.kill()
            environment.process.wait()


def measure_variant(resumable: bool) -> dict[str, Any]:
    """Measure all figures with or without resumption."""
    found: dict[str, Any] = {"gaps": {}}
    with running_node([EchoServer("a")], resumable) as environment:
        for batch_size in (1, 10):
            found[f"us_{batch_size}"] = asyncio.run(cpu_per_request_us(environment, resumable, batch_size))
        found["kib"] = asyncio.run(kib_per_session(environment, resumable))
    if "--cost" not in sys.argv:
        store = SaveStore()
        servers: list[EndpointServer] = [ResumableEndpointServer(name, store, resumable) for name in "ab"]
        with running_node(servers, resumable) as environment:
            found["gaps"] = asyncio.run(gaps_of(environment, servers, resumable))
    return found


def main() -> None:
    """Measure both variants in turn and print the figures as JSON."""
    rounds: dict[bool, list[dict[str, Any]]] = {False: [], True: []}
    for _ in range(ROUND_COUNT):
        for resumable in (False, True):
            rounds[resumable].append(measure_variant(resumable))
    figures: dict[str, Any] = {"players": PLAYER_COUNT, "drains": DRAIN_COUNT, "rounds": ROUND_COUNT}
    for key, title in (
        ("us_1", "node CPU a request and answer, us, one at a time"),
        ("us_10", "node CPU a request and answer, us, ten at a time"),
        ("kib", "node KiB a standing session"),
    ):
        plain, resumable_value = (
            statistics.median(figures_of_round[key] for figures_of_round in rounds[variant])
            for variant in (False, True)
        )
        ratios = sorted(
            resumed[key] / plain_figures[key]
            for plain_figures, resumed in zip(rounds[False], rounds[True], strict=True)
        )
        figures[title] = {"plain": round(plain, 1), "resumable": round(resumable_value, 1)}
        figures[title]["ratio, each round"] = [round(ratio, 2) for ratio in ratios]
    plain_gaps, resumable_gaps = rounds[False][0]["gaps"], rounds[True][0]["gaps"]
    if plain_gaps:
        figures["longest gap of a player, MOVE"] = plain_gaps
        figures["longest gap of a player, in place"] = resumable_gaps
        figures["ratio at p99"] = round(resumable_gaps["p99_ms"] / plain_gaps["p99_ms"], 4)
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
