"""What a move costs a player: the longest gap between two answers, in place beside the old MOVE, in one run.

    python -m bench.resume [--quick]

One node and two save servers; players ask every 20 ms; the servers drain in turn. The old way is the same
node without `[resume]`: a client is told MOVE, waits 150 to 1,100 ms as clients do, and opens anew. Then what
the session layer costs a line: CPU of the node for the same lines passed plainly and through windows. No part
of CI.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.store import cpu, fresh, told
from gradegap.client import Session
from tests.resume_world import ResumeBackend, SaveStore
from tests.world import Backend, World, fresh_id, wait_for

PLAYERS = 60 if "--quick" in sys.argv else 200
TURNS = 2 if "--quick" in sys.argv else 4
EVERY = 0.02  # s between two requests of a player
LINES = 4000 if "--quick" in sys.argv else 20_000


class Plain:
    """A client of today: told to move, it pauses and opens anew."""

    def __init__(self, address: str) -> None:
        self.address = address

    async def come(self) -> None:
        host, _, port = self.address.rpartition(":")
        while True:
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
            self.writer.write(f"OPEN {fresh_id()} k c=live,d=1500\r\n".encode())
            said = await self.reader.readline()
            if said.startswith(b"UP"):
                return
            self.writer.close()
            await asyncio.sleep(random.uniform(0.15, 1.1))

    async def ask(self, text: bytes) -> bytes:
        while True:
            try:
                self.writer.write(text + b"\r\n")
                said = (await self.reader.readline()).rstrip()
            except OSError:
                said = b""
            if said and said != b"MOVE":
                return said
            self.writer.close()
            await asyncio.sleep(random.uniform(0.15, 1.1))
            await self.come()


async def play(player: Any, gaps: list[float], ended: asyncio.Event) -> None:
    last, most, k = time.monotonic(), 0.0, 0
    while not ended.is_set():
        k += 1
        await player.ask(b"r%d" % k)
        now = time.monotonic()
        most, last = max(most, now - last), now
        await asyncio.sleep(EVERY)
    gaps.append(most - EVERY)


async def drains(w: World, players: list[Any], servers: list[Backend]) -> list[float]:
    """The longest gap of each player, over drains of all servers in turn."""
    ended = asyncio.Event()
    gaps: list[float] = []
    tasks = [asyncio.create_task(play(p, gaps, ended)) for p in players]
    for turn in range(TURNS):
        await asyncio.sleep(1.0)
        leaves = servers[turn % 2]
        await asyncio.to_thread(w.director.tell, leaves, state="Terminating")
        await asyncio.sleep(4.5)
        await asyncio.to_thread(w.director.tell, leaves, state="Ready")
    ended.set()
    await asyncio.gather(*tasks)
    return gaps


def summed(gaps: list[float]) -> dict[str, float]:
    histogram = fresh()
    for gap in gaps:
        histogram.record_value(max(1, round(gap * 1e6)))
    return told(histogram)


async def gaps_of(w: World, servers: list[Backend], resumable: bool) -> dict[str, float]:
    players: list[Any] = []
    for k in range(PLAYERS):
        if resumable:
            players.append(await Session.open([w.address], key=f"k{k}", give_up=30.0))
        else:
            made = Plain(w.address)
            await made.come()
            players.append(made)
        await asyncio.sleep(0.01)
    return summed(await drains(w, players, servers))


async def lines_cost(w: World, resumable: bool) -> float:
    """Node's CPU microseconds a line and its answer, one session, ten at a time."""
    if resumable:
        session = await Session.open([w.address])
        before = cpu(w.process.pid)
        for k in range(0, LINES, 10):
            await asyncio.gather(*(session.ask(b"r%d" % (k + j)) for j in range(10)))
        await session.close()
    else:
        plain = Plain(w.address)
        await plain.come()
        before = cpu(w.process.pid)
        for _ in range(0, LINES, 10):
            plain.writer.write(b"".join(b"r%d\r\n" % j for j in range(10)))
            for _ in range(10):
                await plain.reader.readline()
        plain.writer.close()
    return (cpu(w.process.pid) - before) / LINES * 1e6


def one(resumable: bool) -> tuple[dict[str, float], float]:
    with tempfile.TemporaryDirectory() as name:
        store = SaveStore()
        servers: list[Backend] = [ResumeBackend(n, store, resumable) for n in "ab"]
        w = World(Path(name), servers, "[resume]\n" if resumable else None)
        try:
            wait_for(w.ready, 15.0)
            cost = asyncio.run(lines_cost(w, resumable))
            return asyncio.run(gaps_of(w, servers, resumable)), cost
        finally:
            w.process.kill()
            w.process.wait()


def main() -> None:
    old, plain = one(False)
    new, windows = one(True)
    print(
        json.dumps(
            {
                "players": PLAYERS,
                "drains": TURNS,
                "longest gap of a player, MOVE": old,
                "longest gap of a player, in place": new,
                "ratio at p99": round(new["p99_ms"] / old["p99_ms"], 4),
                "node CPU a line and answer, us": {"plain": round(plain, 1), "windows": round(windows, 1)},
            },
            indent=2,
        )
    )


if __name__ == "__main__":
    main()
