"""What a migration costs a player: the longest gap between two answers, resumed and after a plain MOVE.

    python -m bench.resume [--quick] [--cost]

One node and two save servers; players request every 20 ms; the servers drain in turn. The plain way is the
same node without `[resume]`: a client is sent MOVE, waits 150 to 1,100 ms as clients do, and connects again.
Then what the session layer costs: processor time of the node for the same lines forwarded plainly and through
windows, and memory for an established session; `--cost` measures that alone, three times in turn. No part of
CI.
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

PLAYERS = 60 if "--quick" in sys.argv else 200
DRAINS = 2 if "--quick" in sys.argv else 4
REQUEST_INTERVAL_S = 0.02  # s between two requests of a player
LINES = 4000 if "--quick" in sys.argv else 20_000
MEASURED_SESSIONS = 300  # whose memory is counted
WARM_UP_SESSIONS = 50  # so that what is allocated once is not counted
PAUSE_BOUNDS_S = 0.15, 1.1  # of a client before it connects again
ROUNDS = 3 if "--cost" in sys.argv else 1


class ReconnectingPlayer:
    """A client without resumption: after MOVE it pauses and connects again."""

    def __init__(self, address: str) -> None:
        self.address = address

    async def connect(self) -> None:
        """Open a connection, again and again until the node takes it."""
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
        """One request's answer, over as many connections as it takes."""
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


async def play_until(player: Any, gaps: list[float], ended: asyncio.Event) -> None:
    """One player: request after request until the day ends; its longest gap goes to `gaps`."""
    answered_at, longest, number = time.monotonic(), 0.0, 0
    while not ended.is_set():
        number += 1
        await player.request(b"r%d" % number)
        now = time.monotonic()
        longest, answered_at = max(longest, now - answered_at), now
        await asyncio.sleep(REQUEST_INTERVAL_S)
    gaps.append(longest - REQUEST_INTERVAL_S)


async def gaps_over_drains(
    w: NodeEnvironment, players: list[Any], servers: list[EndpointServer]
) -> list[float]:
    """The longest gap of each player, over drains of all servers in turn."""
    ended = asyncio.Event()
    gaps: list[float] = []
    tasks = [asyncio.create_task(play_until(p, gaps, ended)) for p in players]
    for turn in range(DRAINS):
        await asyncio.sleep(1.0)
        draining = servers[turn % 2]
        await asyncio.to_thread(w.discovery.announce, draining, state="Terminating")
        await asyncio.sleep(4.5)
        await asyncio.to_thread(w.discovery.announce, draining, state="Ready")
    ended.set()
    await asyncio.gather(*tasks)
    return gaps


def gap_percentiles(gaps: list[float]) -> dict[str, float]:
    """Percentiles of the gaps, in milliseconds."""
    histogram = new_histogram()
    for gap in gaps:
        histogram.record_value(max(1, round(gap * 1e6)))
    return percentiles(histogram)


async def gaps_of(w: NodeEnvironment, servers: list[EndpointServer], resumable: bool) -> dict[str, float]:
    """The gaps of all players, plain or resumable."""
    players: list[Any] = []
    for k in range(PLAYERS):
        if resumable:
            players.append(await Session.open([w.address], key=f"k{k}", placement_timeout=30.0))
        else:
            player = ReconnectingPlayer(w.address)
            await player.connect()
            players.append(player)
        await asyncio.sleep(0.01)
    return gap_percentiles(await gaps_over_drains(w, players, servers))


class EchoServer(EndpointServer):
    """A save server that answers what it has read in one write, plain or resumable, and keeps nothing.

    The node is to meet the same pieces both ways.
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
    """One session, driven by hand, in the same pieces whether it is plain or resumable.

    What a client library costs, and how it cuts its writes, is no part of the measurement.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, resumable: bool) -> None:
        self.reader, self.writer, self.resumable, self.requested = reader, writer, resumable, 0

    @classmethod
    async def open(cls, w: NodeEnvironment, resumable: bool) -> RawSession:
        """An established session; a rejected one comes again."""
        host, _, port = w.address.rpartition(":")
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

    async def request(self, many: int) -> None:
        """So many requests in one write, the last answers acknowledged in front; then their answers."""
        numbers = range(self.requested + 1, self.requested + many + 1)
        if self.resumable:
            seen = b"K %d\r\n" % self.requested if self.requested else b""
            self.writer.write(seen + b"".join(b"Q %d request\r\n" % n for n in numbers))
        else:
            self.writer.write(b"".join(b"request %d\r\n" % n for n in numbers))
        for _ in numbers:
            await self.reader.readline()
        self.requested += many


async def cpu_per_request_us(w: NodeEnvironment, resumable: bool, many: int) -> float:
    """Node's CPU microseconds for a request and its answer, one session, `many` at a time."""
    session = await RawSession.open(w, resumable)
    await session.request(many)
    before = cpu_seconds(w.process.pid)
    for _ in range(0, LINES, many):
        await session.request(many)
    spent = (cpu_seconds(w.process.pid) - before) / LINES * 1e6
    session.writer.close()
    return spent


async def kib_per_session(w: NodeEnvironment, resumable: bool) -> float:
    """KiB of the node for each standing session, one request of it under way."""
    sessions = [await RawSession.open(w, resumable) for _ in range(WARM_UP_SESSIONS)]
    before = private_kib(w.process.pid)
    for _ in range(MEASURED_SESSIONS):
        await asyncio.sleep(0.01)
        sessions.append(await RawSession.open(w, resumable))
        await sessions[-1].request(2)
    kib = (private_kib(w.process.pid) - before) / MEASURED_SESSIONS
    for session in sessions:
        session.writer.close()
    return kib


@contextlib.contextmanager
def node(servers: list[EndpointServer], resumable: bool) -> Iterator[NodeEnvironment]:
    """A node in front of these servers, with or without `[resume]`."""
    with tempfile.TemporaryDirectory() as name:
        w = NodeEnvironment(Path(name), servers, "[resume]\n" if resumable else None)
        try:
            wait_for(w.is_ready, 15.0)
            yield w
        finally:
            w.process.kill()
            w.process.wait()


def measure_one_way(resumable: bool) -> dict[str, Any]:
    """All figures of one way to play."""
    found: dict[str, Any] = {"gaps": {}}
    with node([EchoServer("a")], resumable) as w:
        for many in (1, 10):
            found[f"us_{many}"] = asyncio.run(cpu_per_request_us(w, resumable, many))
        found["kib"] = asyncio.run(kib_per_session(w, resumable))
    if "--cost" not in sys.argv:
        store = SaveStore()
        servers: list[EndpointServer] = [ResumableEndpointServer(n, store, resumable) for n in "ab"]
        with node(servers, resumable) as w:
            found["gaps"] = asyncio.run(gaps_of(w, servers, resumable))
    return found


def main() -> None:
    """Play both ways in turn, and print the figures as JSON."""
    rounds: dict[bool, list[dict[str, Any]]] = {False: [], True: []}
    for _ in range(ROUNDS):
        for resumable in (False, True):
            rounds[resumable].append(measure_one_way(resumable))
    figures: dict[str, Any] = {"players": PLAYERS, "drains": DRAINS, "rounds": ROUNDS}
    for key, what in (
        ("us_1", "node CPU a request and answer, us, one at a time"),
        ("us_10", "node CPU a request and answer, us, ten at a time"),
        ("kib", "node KiB a standing session"),
    ):
        plain, windows = (statistics.median(r[key] for r in rounds[k]) for k in (False, True))
        ratios = sorted(new[key] / old[key] for old, new in zip(rounds[False], rounds[True], strict=True))
        figures[what] = {"plain": round(plain, 1), "resumable": round(windows, 1)}
        figures[what]["ratio, each round"] = [round(r, 2) for r in ratios]
    old, new = rounds[False][0]["gaps"], rounds[True][0]["gaps"]
    if old:
        figures["longest gap of a player, MOVE"] = old
        figures["longest gap of a player, in place"] = new
        figures["ratio at p99"] = round(new["p99_ms"] / old["p99_ms"], 4)
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
