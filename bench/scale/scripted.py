"""Simulated discovery and save servers, in one process for all nodes of a run.

Discovery speaks the HTTP of the platform: the full list, then a watch that is held until the list changes or
the wait has passed. Save servers answer `STATS` as real ones do, and nothing else. Runs as a child process:

    python -m bench.scale.scripted SPEC.json

The process prints one JSON line with discovery's port once all servers listen, and ends at the end of its
standard input.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import sys
from pathlib import Path
from typing import Any, cast

import msgspec
import uvloop

from bench.scale.messages import DiscoveryPort

WATCH = re.compile(rb"index=(\d+)&wait=(\d+)")
END_OF_REQUEST = b"\r\n\r\n"
MAX_REQUEST_BYTES = 4096
KEPT_CHANGES = 1000  # number of the latest changes of the list from which watches are answered
BACKLOG = 2048


class ScriptedSpec(msgspec.Struct):
    """The specification file of this process."""

    servers: int
    seed: int
    changes_per_s: float


class ServerList:
    """The list that discovery serves, and its latest changes."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.entries = {str(e["id"]): e for e in entries}
        self.version = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.waiting: set[Discovery] = set()
        self._full: bytes | None = None

    def full(self) -> bytes:
        """Returns the response to a request without an index; it is encoded once per version."""
        if self._full is None:
            self._full = http_answer(self.version, True, list(self.entries.values()))
        return self._full

    def since(self, index: int) -> bytes:
        """Returns the response with all changes after a version."""
        changed = {str(e["id"]): e for version, e in self.changes if version > index}
        return http_answer(self.version, False, list(changed.values()))

    def change(self, server: str, **fields: Any) -> None:
        """Changes fields of one server, and answers all watches."""
        self.version += 1
        self.entries[server] = entry = {**self.entries[server], **fields}
        self.changes = [*self.changes[-KEPT_CHANGES:], (self.version, entry)]
        self._full = None
        waiting, self.waiting = self.waiting, set()
        for discovery in waiting:
            discovery.answer_now()


def http_answer(version: int, full: bool, servers: list[dict[str, Any]]) -> bytes:
    """Returns an HTTP response of discovery with its header and body."""
    body = json.dumps({"version": version, "full": full, "servers": servers}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Discovery(asyncio.Protocol):
    """One node's connection to discovery."""

    def __init__(self, servers: ServerList) -> None:
        self.servers = servers
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.index = 0
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answers complete requests, or holds them as a watch."""
        self.buffer += data
        while (end := self.buffer.find(END_OF_REQUEST)) >= 0:
            request, self.buffer = self.buffer[:end], self.buffer[end + len(END_OF_REQUEST) :]
            self._handle_request(request)
        if len(self.buffer) > MAX_REQUEST_BYTES and self.transport is not None:
            self.transport.abort()

    def _handle_request(self, request: bytes) -> None:
        assert self.transport is not None
        found = WATCH.search(request)
        if found is None:
            self.transport.write(self.servers.full())
            return
        self.index = int(found[1])
        if self.servers.version > self.index:
            self.answer_now()
            return
        self.servers.waiting.add(self)
        self.timer = self.loop.call_later(int(found[2]) / 1000, self._watch_timed_out)

    def _watch_timed_out(self) -> None:
        self.servers.waiting.discard(self)
        self.answer_now()

    def answer_now(self) -> None:
        """Answers the held watch."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.transport is not None:
            self.transport.write(self.servers.since(self.index))

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops the connection."""
        self.transport = None
        self.servers.waiting.discard(self)
        if self.timer is not None:
            self.timer.cancel()


class SaveServer(asyncio.Protocol):
    """One health check connection to a save server."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answers each health check with a random load."""
        if self.transport is None:
            return
        for _ in range(data.count(b"STATS")):
            load, inflight = self.rng.uniform(0.05, 0.6), self.rng.randrange(20, 400)
            self.transport.write(f"PONG x0={load:.4f},inflight={inflight}\r\n".encode())

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops the connection."""
        self.transport = None


async def serve(spec: ScriptedSpec) -> None:
    """Opens the listeners, reports discovery's port, and changes the list until standard input ends."""
    loop = asyncio.get_running_loop()
    rng = random.Random(spec.seed)
    entries = []
    for number in range(spec.servers):
        server = await loop.create_server(lambda: SaveServer(rng), "127.0.0.1", 0, backlog=BACKLOG)
        port = server.sockets[0].getsockname()[1]
        entries.append(
            {"id": f"s-{number:04}", "addr": f"127.0.0.1:{port}", "zone": f"z{number % 16}", "state": "Ready"}
        )
    servers = ServerList(entries)
    discovery = await loop.create_server(lambda: Discovery(servers), "127.0.0.1", 0, backlog=BACKLOG)
    port = DiscoveryPort(discovery.sockets[0].getsockname()[1])
    print(msgspec.json.encode(port).decode(), flush=True)
    churn = loop.create_task(_change_list(servers, spec.changes_per_s, rng))
    ended = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(ended), sys.stdin)
    while await ended.readline():
        pass
    churn.cancel()


async def _change_list(servers: ServerList, per_s: float, rng: random.Random) -> None:
    """Drains servers and returns them to service, at Poisson times."""
    names = sorted(servers.entries)
    while per_s > 0:
        await asyncio.sleep(rng.expovariate(per_s))
        name = rng.choice(names)
        ready = servers.entries[name]["state"] == "Ready"
        servers.change(name, state="Terminating" if ready else "Ready")


if __name__ == "__main__":
    uvloop.run(serve(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ScriptedSpec)))
