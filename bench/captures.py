"""Records six days of a real node on loopback: the recordings in `tests/captures`.

    python -m bench.captures FOLDER [DAY ...]

Each day takes about 8 s. It has a node process, save servers whose load follows their connections, and
clients that connect, stay for some time, and reconnect if they are migrated or rejected. One function for
each day injects its faults.
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

from tests.support.node_environment import (
    SETTINGS,
    EndpointServer,
    NodeEnvironment,
    new_request_id,
    reset_from_other_thread,
    running_node,
    wait_for,
)

SERVERS = 8
CAPACITY = 80  # connections at which a save server reports a load of 1
DAY_LENGTH_S = 7.0
ARRIVALS_PER_S = 30.0
MEAN_STAY_S = 2.5
MAX_FAILURES = 4  # consecutive failures after which a client gives up
REJECTION_RATIO = 1.2  # ratio of connections to capacity at which a save server rejects clients


class SaveServer(EndpointServer):
    """A save server whose load follows its connections, and which can become unresponsive or fail."""

    def __init__(self, name: str, capacity: int = CAPACITY) -> None:
        self.capacity = capacity
        self.responsive = threading.Event()
        self.responsive.set()
        self.open_connections: set[socket.socket] = set()
        self.dead = False
        super().__init__(name)

    def _serve(self, sock: socket.socket) -> None:
        try:
            for raw in sock.makefile("rb"):
                self.responsive.wait()
                if self.dead:
                    break
                if raw.startswith(b"STATS"):
                    count = len(self.open_connections)
                    sock.sendall(b"PONG x0=%.4f,inflight=%d\r\n" % (count / self.capacity, count))
                elif raw.startswith(b"OPEN"):
                    if len(self.open_connections) >= REJECTION_RATIO * self.capacity:
                        sock.sendall(b"BUSY inflight=%d\r\n" % len(self.open_connections))
                        break
                    self.open_connections.add(sock)
                    sock.sendall(b"UP %b\r\n" % self.name.encode())
                else:
                    sock.sendall(raw)
        except OSError:
            pass
        finally:
            self.open_connections.discard(sock)
            sock.close()

    def die(self) -> None:
        """Resets all connections and answers no further request."""
        self.dead = True
        self.stop()
        for sock in list(self.open_connections):
            with contextlib.suppress(OSError):
                reset_from_other_thread(sock)


class Day:
    """One day: clients that connect, stay and reconnect, while faults are injected."""

    def __init__(self, node: NodeEnvironment, servers: list[SaveServer], seed: int) -> None:
        self.node, self.servers, self.rng = node, servers, random.Random(seed)
        self.arrivals_per_s, self.mean_stay_s = ARRIVALS_PER_S, MEAN_STAY_S
        self.players: set[asyncio.Task[None]] = set()
        self.ends_at = 0.0
        self.answers: dict[str, int] = {}  # number of last answers, by their first four characters

    async def live(self) -> None:
        """Starts clients until the day ends, and waits for all of them."""
        loop = asyncio.get_running_loop()
        self.ends_at = loop.time() + DAY_LENGTH_S
        number = 0
        while loop.time() < self.ends_at:
            number += 1
            task = asyncio.create_task(self.player(f"k{number:04d}"))
            self.players.add(task)
            task.add_done_callback(self.players.discard)
            await asyncio.sleep(self.rng.expovariate(self.arrivals_per_s))
        await asyncio.gather(*self.players)

    async def player(self, key: str) -> None:
        """Runs one client, on as many consecutive connections as its stay requires."""
        loop = asyncio.get_running_loop()
        end = min(loop.time() + self.rng.expovariate(1 / self.mean_stay_s), self.ends_at)
        fields, failures = "", 0
        while loop.time() < end and failures < MAX_FAILURES:
            answer = await self.connection(key, fields, end)
            self.answers[answer[:4]] = self.answers.get(answer[:4], 0) + 1
            if answer == "left":
                return
            failures = 0 if answer in ("MOVE", "") else failures + 1
            fields = ",again=1" if answer in ("MOVE", "") else ",r=1"
            retry_after_ms = answer[5:] if answer.startswith("BUSY ") else ""
            if retry_after_ms.isdecimal():
                await asyncio.sleep(int(retry_after_ms) / 1000)
            else:
                await asyncio.sleep(self.rng.uniform(0.15, 0.5))

    async def connection(self, key: str, fields: str, end: float) -> str:
        """Runs one connection; returns the node's last line, `left` if the client closed it, or empty."""
        host, _, port = self.node.address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return ""
        try:
            writer.write(f"OPEN {new_request_id()} {key} c=live,d=1500{fields}\r\n".encode())
            answer = (await asyncio.wait_for(reader.readline(), 3.0)).decode().strip()
            if not answer.startswith("UP"):
                return answer or "ERR"
            while True:
                left = end - asyncio.get_running_loop().time()
                try:
                    answer = (await asyncio.wait_for(reader.readline(), max(0.01, left))).decode().strip()
                except TimeoutError:
                    return "left"
                if answer in ("MOVE", ""):
                    return answer
        except (OSError, TimeoutError):
            return ""
        finally:
            writer.close()

    async def announce(self, server: SaveServer, **changes: Any) -> None:
        """Changes a server in the endpoint list."""
        await asyncio.to_thread(self.node.discovery.announce, server, **changes)


async def quarter_dies(day: Day) -> None:
    """Two of eight endpoints fail at the same time; discovery removes them a second later."""
    await asyncio.sleep(2.5)
    for server in day.servers[:2]:
        await asyncio.to_thread(server.die)
    await asyncio.sleep(1.0)
    for server in day.servers[:2]:
        await day.announce(server, state="Gone")


async def silent(day: Day) -> None:
    """Two endpoints accept connections and answer nothing for 2.5 s."""
    await asyncio.sleep(2.5)
    for server in day.servers[:2]:
        server.responsive.clear()
    await asyncio.sleep(2.5)
    for server in day.servers[:2]:
        server.responsive.set()


async def rolling_deploy(day: Day) -> None:
    """Endpoints drain one after the other, and each is replaced by one in slow start."""
    day.mean_stay_s = 8.0
    for number, server in enumerate(list(day.servers[:4])):
        await asyncio.sleep(1.0)
        await day.announce(server, state="Terminating")
        replacement = SaveServer(f"{server.name}{number}", CAPACITY // 2)
        day.servers.append(replacement)
        await day.announce(replacement, state="Ready", started_ms=round(time.time() * 1000))


async def jump(day: Day) -> None:
    """The arrival rate of clients is ten times as high for 1.5 s."""
    await asyncio.sleep(2.5)
    day.arrivals_per_s = 10 * ARRIVALS_PER_S
    await asyncio.sleep(1.5)
    day.arrivals_per_s = ARRIVALS_PER_S


async def drain_under_load(day: Day) -> None:
    """The endpoint with the most connections drains, and is removed 3.8 s later."""
    day.mean_stay_s = 12.0
    await asyncio.sleep(2.0)
    draining = max(day.servers, key=lambda server: len(server.open_connections))
    await day.announce(draining, state="Terminating")
    await asyncio.sleep(3.8)
    await asyncio.to_thread(draining.die)
    await day.announce(draining, state="Gone")


async def parted_discovery(day: Day) -> None:
    """Discovery answers no call while two endpoints fail."""
    await asyncio.sleep(2.0)
    day.node.discovery.answers_allowed = threading.Event()
    await asyncio.sleep(0.5)
    for server in day.servers[:2]:
        await asyncio.to_thread(server.die)
    await asyncio.sleep(2.5)
    answers_allowed, day.node.discovery.answers_allowed = day.node.discovery.answers_allowed, None
    answers_allowed.set()
    for server in day.servers[:2]:
        await day.announce(server, state="Gone")


DAYS: dict[str, Callable[[Day], Awaitable[None]]] = {
    "quarter_dies": quarter_dies,
    "silent": silent,
    "rolling_deploy": rolling_deploy,
    "jump": jump,
    "drain_under_load": drain_under_load,
    "parted_discovery": parted_discovery,
}


def record(name: str, out: Path, seed: int) -> dict[str, int]:
    """Records a day to `out`; returns how the clients' connections ended."""
    with tempfile.TemporaryDirectory() as parent:
        folder = Path(parent) / "captures"
        operator = f'[capture]\nfolder = "{folder}"\nstate_s = 3600\n'
        servers = [SaveServer(f"{number}") for number in range(SERVERS)]
        node_settings = SETTINGS | {"ReplicasOfMe": 1}
        with running_node(Path(parent), list(servers), operator, settings=node_settings) as node:
            day = Day(node, servers, seed)

            async def main() -> None:
                await asyncio.gather(day.live(), DAYS[name](day))

            asyncio.run(main())
            node.process.terminate()
            wait_for(lambda: node.process.poll() is not None, 10.0)
        (path,) = folder.iterdir()
        out.write_bytes(path.read_bytes())
        return day.answers


def main() -> None:
    """Records the days named on the command line, or all of them."""
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    for seed, name in enumerate(sys.argv[2:] or DAYS):
        out = folder / f"{name}.ggc"
        answers = record(name, out, seed)
        print(f"{name}: {out.stat().st_size} bytes, {answers}")


if __name__ == "__main__":
    main()
