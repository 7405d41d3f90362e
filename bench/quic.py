"""What the QUIC front costs, beside aioquic alone and beside the line front, in one run.

    python -m bench.quic

In one process: the front without a socket and a bare server of aioquic's, each fed by the same kind of
client; only what the server's side takes is timed. As processes: CPU of a node for a session's start, for a
line and its answer, and its memory for a session, over QUIC and over TCP.
"""

from __future__ import annotations

import asyncio
import json
import ssl
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from bench.process_usage import cpu_seconds, private_kib
from gradegap.metrics import Metrics
from gradegap.quic.keys import DerivedKeys, Holder, QuicRing
from gradegap.quic.relay import DatagramForwarder, ForwardedDatagrams, socket_pair
from gradegap.quic.routing import Router
from tests.test_quic import QuicClient, make_certificate, quic_world
from tests.test_quic_fuzz import SERVER, Pair
from tests.world import Client, EndpointServer

SHAKES, LINES, SESSIONS = 60, 1500, 200
CLIENT = ("127.0.0.1", 5555)


def each(work: Callable[[], object], count: int) -> float:
    """us, the least of three rounds."""
    best = 1e9
    for _ in range(3):
        began = time.perf_counter()
        for _ in range(count):
            work()
        best = min(best, (time.perf_counter() - began) / count)
    return round(best * 1e6, 2)


def parts() -> dict[str, float]:
    keys = DerivedKeys(QuicRing().rotated(1))
    cid = keys.ids.make(Holder(1, 1).octets())
    router = Router(keys, Holder(1, 1), lambda h: False)
    held = {cid}
    packet = b"\x41" + cid + bytes(60)
    found = {
        "an id made": each(lambda: keys.ids.make(b"\0\1\1\0"), 20_000),
        "an id read": each(lambda: keys.ids.read(cid), 20_000),
        "a datagram routed that is held here": each(lambda: router.route(packet, held.__contains__), 20_000),
    }

    async def relayed() -> float:
        reads, writes = socket_pair()
        metrics, count = Metrics(), 0
        done = asyncio.Event()

        def came(data: bytes, addr: Any) -> None:
            nonlocal count
            count += 1
            if count % 200 == 0:
                done.set()

        inlet = ForwardedDatagrams(asyncio.get_running_loop(), reads, metrics, came)
        relay = DatagramForwarder(writes, metrics)
        began = time.perf_counter()
        for _ in range(50):
            done.clear()
            for _ in range(200):
                relay.send(packet, CLIENT)
            await done.wait()
        took = time.perf_counter() - began
        inlet.close()
        relay.close()
        return took / 10_000 * 1e6

    found["a datagram forwarded, both sides"] = round(asyncio.run(relayed()), 2)
    return found


class Bare:
    """aioquic's server, that echoes."""

    def __init__(self, folder: Path) -> None:
        self.made = QuicConfiguration(is_client=False, alpn_protocols=["gradegap/1"])
        self.made.load_cert_chain(folder / "cert.pem", folder / "key.pem")
        self.server: QuicConnection | None = None

    def begin(self) -> None:
        self.server = None

    def turn(self, data: list[bytes]) -> list[bytes]:
        for raw in data:
            if self.server is None:
                self.server = QuicConnection(
                    configuration=self.made, original_destination_connection_id=raw[6 : 6 + raw[5]]
                )
            self.server.receive_datagram(raw, CLIENT, now=time.time())
        if self.server is None:
            return []
        while (event := self.server.next_event()) is not None:
            if isinstance(event, events.StreamDataReceived):
                self.server.send_stream_data(0, event.data.replace(b"PING", b"PONG"))
        return [out for out, _ in self.server.datagrams_to_send(now=time.time())]


class Fronted:
    """The front, without a socket."""

    def __init__(self, folder: Path, loop: asyncio.AbstractEventLoop) -> None:
        self.pair = Pair(folder, loop)

    def begin(self) -> None:
        for channel in list(self.pair.front.channels):
            channel.discard()

    def turn(self, data: list[bytes]) -> list[bytes]:
        for raw in data:
            self.pair.front.datagram_received(raw, CLIENT)
        for channel in list(self.pair.front.channels):
            channel.flush()
        return self.pair.wire.sent.pop(CLIENT, [])


def driven(server: Bare | Fronted) -> tuple[float, float]:
    """Microseconds of the server's side: a handshake, a line with its answer."""
    shakes, lines = [], []

    def turn(quic: QuicConnection) -> float:
        out = [data for data, _ in quic.datagrams_to_send(now=time.time())]
        began = time.perf_counter()
        back = server.turn(out)
        took = time.perf_counter() - began
        for raw in back:
            quic.receive_datagram(raw, SERVER, now=time.time())
        while quic.next_event() is not None:
            pass
        return took

    for _ in range(SHAKES):
        server.begin()
        how = QuicConfiguration(is_client=True, alpn_protocols=["gradegap/1"], verify_mode=ssl.CERT_NONE)
        quic = QuicConnection(configuration=how)
        quic.connect(SERVER, now=time.time())
        shakes.append(sum(turn(quic) for _ in range(5)))
    for _ in range(LINES):
        quic.send_stream_data(0, b"PING\r\n")
        lines.append(turn(quic) + turn(quic))
    return statistics.median(shakes) * 1e6, statistics.median(lines) * 1e6


def in_process() -> dict[str, Any]:
    loop = asyncio.new_event_loop()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        make_certificate(folder, 90)
        rounds = [(driven(Bare(folder)), driven(Fronted(folder, loop))) for _ in range(3)]
    loop.close()
    said: dict[str, Any] = {}
    for k, what in enumerate(("a handshake, us", "a line and its answer, us")):
        said[what] = {
            "aioquic alone": round(statistics.median(a[k] for a, _ in rounds), 1),
            "the front": round(statistics.median(b[k] for _, b in rounds), 1),
            "ratio, each round": [round(b[k] / a[k], 2) for a, b in rounds],
        }
    return said


def standing(make: Callable[[], Any]) -> Any:
    """A client with its connection; one that is told BUSY comes again."""
    for _ in range(50):
        c = make()
        said = c.ask()
        if said.startswith("UP"):
            return c
        time.sleep(0.1)
    raise AssertionError(said)


def of_node() -> dict[str, Any]:
    """CPU us and KiB of a node, over each front."""
    with (
        tempfile.TemporaryDirectory() as name,
        quic_world(Path(name), [EndpointServer(n) for n in "abcdef"]) as (w, port),
    ):
        pid, said = w.process.pid, {}
        for front in ("QUIC", "TCP"):
            make: Callable[[], Any] = (lambda: QuicClient(port)) if front == "QUIC" else w.client
            standing(make)
            began, size = cpu_seconds(pid), private_kib(pid)
            clients = [standing(make) for _ in range(SESSIONS)]
            opened, grown = cpu_seconds(pid), private_kib(pid)
            c = clients[-1]
            for _ in range(LINES):
                c.send(b"hello\r\n")
                c.line()
            spoken = cpu_seconds(pid)
            said[front] = {
                "a session's start, us": round((opened - began) / SESSIONS * 1e6),
                "a line and its answer, us": round((spoken - opened) / LINES * 1e6),
                "a session, KiB": round((grown - size) / SESSIONS, 1),
            }
        return said


def main() -> None:
    said = {"parts, us": parts(), "in one process": in_process(), "a node as a process": of_node()}
    print(json.dumps(said, indent=2))


__all__ = ["Client"]

if __name__ == "__main__":
    main()
