"""Six days of a real node on loopback, recorded: the captures that `tests/captures` keeps.

    python -m bench.captures FOLDER [DAY ...]

Each takes some 8 s: a node as a process, save servers whose load follows their connections, clients that
come, stay a while, go where they are told to and come again. What goes wrong is in the day's own function.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tests.world import SETTINGS, EndpointServer, World, fresh_id, reset_from_outside, wait_for, world

SERVERS = 8
CAPACITY = 80  # connections at which a save server says x0=1
LENGTH = 7.0  # s
RATE = 30.0  # clients a second
STAY = 2.5  # s, on average


class SaveServer(EndpointServer):
    """Its load follows its connections; it can fall silent, or die."""

    def __init__(self, name: str, capacity: int = CAPACITY) -> None:
        self.capacity = capacity
        self.speaks = threading.Event()
        self.speaks.set()
        self.held: set[socket.socket] = set()
        self.dead = False
        super().__init__(name)

    def _serve(self, sock: socket.socket) -> None:
        try:
            for raw in sock.makefile("rb"):
                self.speaks.wait()
                if self.dead:
                    break
                if raw.startswith(b"STATS"):
                    count = len(self.held)
                    sock.sendall(b"PONG x0=%.4f,inflight=%d\r\n" % (count / self.capacity, count))
                elif raw.startswith(b"OPEN"):
                    if len(self.held) >= 1.2 * self.capacity:
                        sock.sendall(b"BUSY inflight=%d\r\n" % len(self.held))
                        break
                    self.held.add(sock)
                    sock.sendall(b"UP %b\r\n" % self.name.encode())
                else:
                    sock.sendall(raw)
        except OSError:
            pass
        finally:
            self.held.discard(sock)
            sock.close()

    def die(self) -> None:
        """End all connections by a reset, and answer nothing more."""
        self.dead = True
        self.stop()
        for sock in list(self.held):
            with contextlib.suppress(OSError):
                reset_from_outside(sock)


class Day:
    """One day: clients that come, stay and come again, and what goes wrong."""

    def __init__(self, w: World, servers: list[SaveServer], seed: int) -> None:
        self.w, self.servers, self.rng = w, servers, random.Random(seed)
        self.rate, self.stay = RATE, STAY
        self.players: set[asyncio.Task[None]] = set()
        self.ends = 0.0
        self.answers: dict[str, int] = {}

    async def live(self) -> None:
        """Send clients until the day ends, and wait for all of them."""
        loop = asyncio.get_running_loop()
        self.ends = loop.time() + LENGTH
        number = 0
        while loop.time() < self.ends:
            number += 1
            task = asyncio.create_task(self.player(f"k{number:04d}"))
            self.players.add(task)
            task.add_done_callback(self.players.discard)
            await asyncio.sleep(self.rng.expovariate(self.rate))
        await asyncio.gather(*self.players)

    async def player(self, key: str) -> None:
        """One client, on as many connections as its stay takes."""
        loop = asyncio.get_running_loop()
        end = min(loop.time() + self.rng.expovariate(1 / self.stay), self.ends)
        more, tries = "", 0
        while loop.time() < end and tries < 4:
            said = await self.connection(key, more, end)
            self.answers[said[:4]] = self.answers.get(said[:4], 0) + 1
            if said == "left":
                return
            tries = 0 if said in ("MOVE", "") else tries + 1
            more = ",again=1" if said in ("MOVE", "") else ",r=1"
            busy = said[5:] if said.startswith("BUSY ") else ""
            await asyncio.sleep(int(busy) / 1000 if busy.isdecimal() else self.rng.uniform(0.15, 0.5))

    async def connection(self, key: str, more: str, end: float) -> str:
        """How one ended: what the node said, `left` where its client did, empty where it broke."""
        host, _, port = self.w.address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return ""
        try:
            writer.write(f"OPEN {fresh_id()} {key} c=live,d=1500{more}\r\n".encode())
            said = (await asyncio.wait_for(reader.readline(), 3.0)).decode().strip()
            if not said.startswith("UP"):
                return said or "ERR"
            while True:
                left = end - asyncio.get_running_loop().time()
                try:
                    said = (await asyncio.wait_for(reader.readline(), max(0.01, left))).decode().strip()
                except TimeoutError:
                    return "left"
                if said in ("MOVE", ""):
                    return said
        except (OSError, TimeoutError):
            return ""
        finally:
            writer.close()

    async def tell(self, server: SaveServer, **changes: Any) -> None:
        """Change what discovery says of a server."""
        await asyncio.to_thread(self.w.discovery.announce, server, **changes)


async def quarter_dies(day: Day) -> None:
    """Two of eight die at one moment; discovery says so a second later."""
    await asyncio.sleep(2.5)
    for server in day.servers[:2]:
        await asyncio.to_thread(server.die)
    await asyncio.sleep(1.0)
    for server in day.servers[:2]:
        await day.tell(server, state="Gone")


async def silent(day: Day) -> None:
    """Two take connections and say nothing for 2.5 s."""
    await asyncio.sleep(2.5)
    for server in day.servers[:2]:
        server.speaks.clear()
    await asyncio.sleep(2.5)
    for server in day.servers[:2]:
        server.speaks.set()


async def rolling_deploy(day: Day) -> None:
    """One after the other is told to go, and a cold one comes in its place."""
    day.stay = 8.0
    for k, server in enumerate(list(day.servers[:4])):
        await asyncio.sleep(1.0)
        await day.tell(server, state="Terminating")
        after = SaveServer(f"{server.name}{k}", CAPACITY // 2)
        day.servers.append(after)
        await day.tell(after, state="Ready", started_ms=round(time.time() * 1000))


async def jump(day: Day) -> None:
    """Ten times the clients for 1.5 s."""
    await asyncio.sleep(2.5)
    day.rate = 10 * RATE
    await asyncio.sleep(1.5)
    day.rate = RATE


async def drain_under_load(day: Day) -> None:
    """The fullest is told to go, and is gone 3.8 s later."""
    day.stay = 12.0
    await asyncio.sleep(2.0)
    leaves = max(day.servers, key=lambda s: len(s.held))
    await day.tell(leaves, state="Terminating")
    await asyncio.sleep(3.8)
    await asyncio.to_thread(leaves.die)
    await day.tell(leaves, state="Gone")


async def parted_discovery(day: Day) -> None:
    """Discovery answers nobody while two servers die, and one that is not known yet comes."""
    await asyncio.sleep(2.0)
    day.w.discovery.hold = threading.Event()
    await asyncio.sleep(0.5)
    for server in day.servers[:2]:
        await asyncio.to_thread(server.die)
    await asyncio.sleep(2.5)
    held, day.w.discovery.hold = day.w.discovery.hold, None
    held.set()
    for server in day.servers[:2]:
        await day.tell(server, state="Gone")


DAYS: dict[str, Callable[[Day], Awaitable[None]]] = {
    "quarter_dies": quarter_dies,
    "silent": silent,
    "rolling_deploy": rolling_deploy,
    "jump": jump,
    "drain_under_load": drain_under_load,
    "parted_discovery": parted_discovery,
}


def record(name: str, out: Path, seed: int) -> dict[str, int]:
    """The capture of that day; how its clients' connections ended."""
    with tempfile.TemporaryDirectory() as place:
        folder = Path(place) / "captures"
        operator = f'[capture]\nfolder = "{folder}"\nstate_s = 3600\n'
        servers = [SaveServer(f"{k}") for k in range(SERVERS)]
        alone = SETTINGS | {"ReplicasOfMe": 1}
        with world(Path(place), list(servers), operator, settings=alone) as w:
            day = Day(w, servers, seed)

            async def main() -> None:
                await asyncio.gather(day.live(), DAYS[name](day))

            asyncio.run(main())
            w.process.terminate()
            wait_for(lambda: w.process.poll() is not None, 10.0)
        (path,) = folder.iterdir()
        out.write_bytes(path.read_bytes())
        return day.answers


def main() -> None:
    """Play the days that the command line names, or all of them."""
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    for seed, name in enumerate(sys.argv[2:] or DAYS):
        out = folder / f"{name}.ggc"
        answers = record(name, out, seed)
        print(f"{name}: {out.stat().st_size} bytes, {answers}")


if __name__ == "__main__":
    main()
