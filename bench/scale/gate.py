"""A forwarder between regions that can cut one region off and heal it.

Links between control machines, and links of nodes to machines of other regions, go through the gate. While a
region is cut off, bytes across its border are held back and the connections stay open, as on a network that
drops packets. When the region heals, those connections are reset, so that both sides reconnect. Runs as a
child process:

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

LENGTH_BYTES = 4  # size of the length field in front of the first message
MAX_HELLO_BYTES = 4096
BACKLOG = 2048


class Listener(msgspec.Struct):
    """A port of the gate, with its destination and the region of its clients."""

    to_port: int
    to_region: str
    from_region: str = ""  # empty: a control machine, whose first message tells its name


class GateSpec(msgspec.Struct):
    """The specification file of this process."""

    listeners: list[Listener]
    regions: dict[str, str]  # regions of the control machines, by machine name


class Border:
    """The region that is cut off, and all connections through the gate."""

    def __init__(self, spec: GateSpec) -> None:
        self.spec = spec
        self.cut_region = ""
        self.pipes: set[Pipe] = set()

    def closed(self, one: str, other: str) -> bool:
        """Returns whether the traffic between two regions is cut."""
        return bool(self.cut_region) and one != other and self.cut_region in (one, other)

    def cut_off(self, region: str) -> None:
        """Cuts all traffic across the border of a region."""
        self.cut_region = region
        for pipe in self.pipes:
            pipe.update_reading()

    def heal(self) -> None:
        """Ends the cut, and resets the connections that it held back."""
        held = [p for p in self.pipes if p.held()]
        self.cut_region = ""
        for pipe in held:
            pipe.reset()


class Side(asyncio.Protocol):
    """The protocol at one end of a pipe."""

    def __init__(self, pipe: Pipe, dialer: bool) -> None:
        self.pipe, self.dialer = pipe, dialer
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; the dialer's side also connects to the destination."""
        self.transport = cast(asyncio.Transport, transport)
        if self.dialer:
            self.pipe.begin()

    def data_received(self, data: bytes) -> None:
        """Forwards the bytes to the other end."""
        self.pipe.forward(self, data)

    def pause_writing(self) -> None:
        """Stops reading from the other end, which limits the memory for a slow reader."""
        self.pipe.pause_other(self)

    def resume_writing(self) -> None:
        """Continues reading from the other end."""
        self.pipe.update_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the other connection as well."""
        self.transport = None
        self.pipe.end()


class Pipe:
    """Two connections that the gate joins to one."""

    def __init__(self, border: Border, listener: Listener) -> None:
        self.border, self.listener = border, listener
        self.region = listener.from_region
        self.hello_bytes = b""  # bytes of the first message
        self.early = b""  # bytes received before the other side was connected
        self.front, self.back = Side(self, True), Side(self, False)
        self.task: asyncio.Task[None] | None = None
        border.pipes.add(self)

    def begin(self) -> None:
        """Starts to connect to the destination of the listener."""
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
        """Returns whether the pipe crosses the border of a region that is cut off."""
        return bool(self.region) and self.border.closed(self.region, self.listener.to_region)

    def update_reading(self) -> None:
        """Reads from both sides, or from neither while the pipe is held back."""
        if self.back.transport is None:
            return
        for side in (self.front, self.back):
            if side.transport is not None and not side.transport.is_closing():
                (side.transport.pause_reading if self.held() else side.transport.resume_reading)()

    def forward(self, side: Side, data: bytes) -> None:
        """Forwards bytes from one side to the other."""
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
        """Reads the name of a control machine from the first message; the message of a client has no name."""
        self.hello_bytes += data
        size = int.from_bytes(self.hello_bytes[:LENGTH_BYTES], "big")
        if len(self.hello_bytes) >= LENGTH_BYTES + size:
            hello = msgspec.msgpack.decode(self.hello_bytes[LENGTH_BYTES : LENGTH_BYTES + size])
            self.region = self.border.spec.regions.get(hello.get("name", ""), "outside")
        elif len(self.hello_bytes) > MAX_HELLO_BYTES:
            self.reset()

    def pause_other(self, side: Side) -> None:
        """Pauses reading from the other side while `side` reads slowly."""
        other = self.back if side is self.front else self.front
        if other.transport is not None:
            other.transport.pause_reading()

    def reset(self) -> None:
        """Resets both connections."""
        for side in (self.front, self.back):
            if side.transport is not None:
                side.transport.abort()
        self.border.pipes.discard(self)

    def end(self) -> None:
        """Closes both connections after pending bytes are sent; does nothing while the pipe is held back."""
        if self.held():
            return
        for side in (self.front, self.back):
            if side.transport is not None:
                side.transport.close()
        self.border.pipes.discard(self)


async def serve(spec: GateSpec) -> None:
    """Opens the listeners, reports their ports, and runs commands until standard input ends."""
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
