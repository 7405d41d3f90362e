"""What lies between regions: a forwarder that can cut one region off, and heal it.

Links between control machines, and those of nodes to machines of other regions, go through it. While a region
is cut off, bytes across its border are held back and the connections stay open, as on a network that drops;
when it heals, those connections are reset, so that both sides connect anew. Run as a child:

    python -m bench.scale.gate SPEC.json
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import cast

import msgspec
import uvloop

from bench.scale.messages import CutRegion, GateCommand, GatePorts, HealRegion

LENGTH_BYTES = 4  # of a frame's length in front of the first message
MAX_HELLO_LENGTH = 4096
BACKLOG = 2048


class Listener(msgspec.Struct):
    """A port of the gate: where it leads, and who comes by it."""

    to_port: int
    to_region: str
    from_region: str = ""  # empty: a control machine, known by the name in its first message


class GateSpec(msgspec.Struct):
    """The specification file of this process."""

    listeners: list[Listener]
    regions: dict[str, str]  # of control machines by name


class Border:
    """Which region is cut off, and all that goes across."""

    def __init__(self, spec: GateSpec) -> None:
        self.spec = spec
        self.cut_region = ""
        self.pipes: set[Pipe] = set()

    def closed(self, one: str, other: str) -> bool:
        """Whether nothing passes between two regions now."""
        return bool(self.cut_region) and one != other and self.cut_region in (one, other)

    def cut_off(self, region: str) -> None:
        """Nothing passes its border any more."""
        self.cut_region = region
        for pipe in self.pipes:
            pipe.update_reading()

    def heal(self) -> None:
        """What was held back is reset."""
        held = [p for p in self.pipes if p.held()]
        self.cut_region = ""
        for pipe in held:
            pipe.reset()


class Side(asyncio.Protocol):
    """One end of a pipe."""

    def __init__(self, pipe: Pipe, dialer: bool) -> None:
        self.pipe, self.dialer = pipe, dialer
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        if self.dialer:
            self.pipe.begin()

    def data_received(self, data: bytes) -> None:
        """Bytes for the other end."""
        self.pipe.forward(self, data)

    def pause_writing(self) -> None:
        """Guards memory against a side that reads slowly."""
        self.pipe.pause_other(self)

    def resume_writing(self) -> None:
        """It reads again."""
        self.pipe.update_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended; so does the other."""
        self.transport = None
        self.pipe.end()


class Pipe:
    """Two connections that are one to those at its ends."""

    def __init__(self, border: Border, listener: Listener) -> None:
        self.border, self.listener = border, listener
        self.region = listener.from_region
        self.head = b""
        self.early = b""  # bytes that came before the other side was connected
        self.front, self.back = Side(self, True), Side(self, False)
        self.task: asyncio.Task[None] | None = None
        border.pipes.add(self)

    def begin(self) -> None:
        """Connect to where the listener leads."""
        self.task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.back, "127.0.0.1", self.listener.to_port)
        except OSError:
            self.reset()
        else:
            early, self.early = self.early, b""
            self.update_reading()
            self._write(self.back, early)

    def held(self) -> bool:
        """Whether it crosses a closed border."""
        return bool(self.region) and self.border.closed(self.region, self.listener.to_region)

    def update_reading(self) -> None:
        """Read from both sides, or from none where the border is closed."""
        if self.back.transport is None:
            return
        for side in (self.front, self.back):
            if side.transport is not None and not side.transport.is_closing():
                (side.transport.pause_reading if self.held() else side.transport.resume_reading)()

    def forward(self, side: Side, data: bytes) -> None:
        """Bytes from one side to the other."""
        if side is self.front and not self.region:
            self._learn_region(data)
            self.update_reading()
        other = self.back if side is self.front else self.front
        if other is self.back and other.transport is None:
            self.early += data
        else:
            self._write(other, data)

    def _write(self, side: Side, data: bytes) -> None:
        if side.transport is not None and not self.held():
            side.transport.write(data)

    def _learn_region(self, data: bytes) -> None:
        """A control machine says its name in its first message; a client says none."""
        self.head += data
        size = int.from_bytes(self.head[:LENGTH_BYTES], "big")
        if len(self.head) >= LENGTH_BYTES + size:
            hello = msgspec.msgpack.decode(self.head[LENGTH_BYTES : LENGTH_BYTES + size])
            self.region = self.border.spec.regions.get(hello.get("name", ""), "outside")
        elif len(self.head) > MAX_HELLO_LENGTH:
            self.reset()

    def pause_other(self, side: Side) -> None:
        """One side reads slowly: nothing more is taken from the other."""
        other = self.back if side is self.front else self.front
        if other.transport is not None:
            other.transport.pause_reading()

    def reset(self) -> None:
        """End both sides at once."""
        for side in (self.front, self.back):
            if side.transport is not None:
                side.transport.abort()
        self.border.pipes.discard(self)

    def end(self) -> None:
        """One side has ended; what is on its way to the other still goes, unless the border is closed."""
        if self.held():
            return
        for side in (self.front, self.back):
            if side.transport is not None:
                side.transport.close()
        self.border.pipes.discard(self)


async def serve(spec: GateSpec) -> None:
    """Listen, report the ports, and serve commands until standard input ends."""
    loop = asyncio.get_running_loop()
    border = Border(spec)
    ports = []
    for listener in spec.listeners:
        server = await loop.create_server(
            lambda listener=listener: Pipe(border, listener).front,  # type: ignore[misc]
            "127.0.0.1",
            0,
            backlog=BACKLOG,
        )
        ports.append(server.sockets[0].getsockname()[1])
    print(msgspec.json.encode(GatePorts(ports)).decode(), flush=True)
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        match msgspec.json.decode(line, type=GateCommand):
            case CutRegion(region):
                border.cut_off(region)
            case HealRegion():
                border.heal()


if __name__ == "__main__":
    uvloop.run(serve(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=GateSpec)))
