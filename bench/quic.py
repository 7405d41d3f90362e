"""Measures the cost of the QUIC listener compared with aioquic alone and with TCP, in one run.

    python -m bench.quic

In one process, the same client drives the listener without a socket and a plain aioquic server; only the
server's side is timed. With a node as a process, its processor time for a session's start and for a line with
its answer, and its memory for a session, are measured over QUIC and over TCP.
"""

from __future__ import annotations

import asyncio
import json
import math
import ssl
import statistics
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
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
from tests.support.node_environment import EndpointServer
from tests.support.quic_harness import QuicClient, make_certificate, running_quic_node
from tests.test_quic_fuzz import SERVER, SocketlessListener

HANDSHAKES = 60
LINES = 1500
SESSIONS = 200
ROUNDS = 3
HANDSHAKE_ROUND_TRIPS = 5  # upper limit of the round trips of a handshake
FORWARDED_BATCHES, FORWARDED_BATCH_SIZE = 50, 200  # batches, datagrams of each
CLIENT_ADDRESS = ("127.0.0.1", 5555)


def least_us(operation: Callable[[], object], count: int) -> float:
    """Return the microseconds of one operation: the mean of the fastest of `ROUNDS` rounds."""
    best = math.inf
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(count):
            operation()
        best = min(best, (time.perf_counter() - began) / count)
    return round(best * 1e6, 2)


def routing_costs() -> dict[str, float]:
    """Return the microseconds of the steps for each datagram before aioquic processes it."""
    keys = DerivedKeys(QuicRing().rotated(1))
    cid = keys.ids.make(Holder(1, 1).octets())
    router = Router(keys, Holder(1, 1), lambda holder: False)
    held_ids = {cid}
    packet = b"\x41" + cid + bytes(60)
    costs = {
        "connection id encoded": least_us(lambda: keys.ids.make(b"\0\1\1\0"), 20_000),
        "connection id decoded": least_us(lambda: keys.ids.read(cid), 20_000),
        "datagram routed to a connection of this process": least_us(
            lambda: router.route(packet, held_ids.__contains__), 20_000
        ),
    }

    costs["datagram forwarded, both sides"] = round(asyncio.run(forwarding_us(packet)), 2)
    return costs


async def forwarding_us(packet: bytes) -> float:
    """Return the microseconds to send a datagram to another process and to receive it there."""
    receiving_end, sending_end = socket_pair()
    metrics = Metrics()
    received = 0
    batch_received = asyncio.Event()

    def count_datagram(data: bytes, address: Any) -> None:
        nonlocal received
        received += 1
        if received % FORWARDED_BATCH_SIZE == 0:
            batch_received.set()

    receiver = ForwardedDatagrams(asyncio.get_running_loop(), receiving_end, metrics, count_datagram)
    forwarder = DatagramForwarder(sending_end, metrics)
    began = time.perf_counter()
    for _ in range(FORWARDED_BATCHES):
        batch_received.clear()
        for _ in range(FORWARDED_BATCH_SIZE):
            forwarder.send(packet, CLIENT_ADDRESS)
        await batch_received.wait()
    elapsed = time.perf_counter() - began
    receiver.close()
    forwarder.close()
    return elapsed / (FORWARDED_BATCHES * FORWARDED_BATCH_SIZE) * 1e6


class PlainServer:
    """An aioquic server that echoes."""

    def __init__(self, folder: Path) -> None:
        self.configuration = QuicConfiguration(is_client=False, alpn_protocols=["gradegap/1"])
        self.configuration.load_cert_chain(folder / "cert.pem", folder / "key.pem")
        self.connection: QuicConnection | None = None

    def reset(self) -> None:
        """Discard the connections, so that another client can connect."""
        self.connection = None

    def exchange(self, datagrams: list[bytes]) -> list[bytes]:
        """Process a client's datagrams and return the answers."""
        for datagram in datagrams:
            if self.connection is None:
                destination = datagram[6 : 6 + datagram[5]]
                self.connection = QuicConnection(
                    configuration=self.configuration, original_destination_connection_id=destination
                )
            self.connection.receive_datagram(datagram, CLIENT_ADDRESS, now=time.time())
        if self.connection is None:
            return []
        while (event := self.connection.next_event()) is not None:
            if isinstance(event, events.StreamDataReceived):
                self.connection.send_stream_data(0, event.data.replace(b"PING", b"PONG"))
        return [answer for answer, _ in self.connection.datagrams_to_send(now=time.time())]


class ListenerWithoutSocket:
    """The node's QUIC listener, called with datagrams directly."""

    def __init__(self, folder: Path, loop: asyncio.AbstractEventLoop) -> None:
        self.harness = SocketlessListener(folder, loop)

    def reset(self) -> None:
        """Discard the connections, so that another client can connect."""
        for channel in list(self.harness.listener.channels):
            channel.discard()

    def exchange(self, datagrams: list[bytes]) -> list[bytes]:
        """Process a client's datagrams and return the answers."""
        for datagram in datagrams:
            self.harness.listener.datagram_received(datagram, CLIENT_ADDRESS)
        for channel in list(self.harness.listener.channels):
            channel.flush()
        return self.harness.transport.sent.pop(CLIENT_ADDRESS, [])


@dataclass(frozen=True)
class ServerCost:
    """Microseconds of the server's side for a handshake, and for a line with its answer."""

    handshake_us: float
    line_us: float


def drive(server: PlainServer | ListenerWithoutSocket) -> ServerCost:
    """Run handshakes one after the other, then lines on the last connection; returns the medians."""
    handshakes = []
    for _ in range(HANDSHAKES):
        server.reset()
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=["gradegap/1"], verify_mode=ssl.CERT_NONE
        )
        client = QuicConnection(configuration=configuration)
        client.connect(SERVER, now=time.time())
        handshakes.append(sum(timed_exchange(client, server) for _ in range(HANDSHAKE_ROUND_TRIPS)))
    lines = []
    for _ in range(LINES):
        client.send_stream_data(0, b"PING\r\n")
        lines.append(timed_exchange(client, server) + timed_exchange(client, server))
    return ServerCost(statistics.median(handshakes) * 1e6, statistics.median(lines) * 1e6)


def timed_exchange(client: QuicConnection, server: PlainServer | ListenerWithoutSocket) -> float:
    """Pass pending datagrams both ways; returns the seconds of the server's side."""
    datagrams = [data for data, _ in client.datagrams_to_send(now=time.time())]
    began = time.perf_counter()
    answers = server.exchange(datagrams)
    elapsed = time.perf_counter() - began
    for answer in answers:
        client.receive_datagram(answer, SERVER, now=time.time())
    while client.next_event() is not None:
        pass
    return elapsed


def in_process() -> dict[str, Any]:
    """Compare the listener with aioquic alone, in alternating rounds."""
    loop = asyncio.new_event_loop()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        make_certificate(folder, 90)
        rounds = [
            (drive(PlainServer(folder)), drive(ListenerWithoutSocket(folder, loop))) for _ in range(ROUNDS)
        ]
    loop.close()
    return {
        "a handshake, us": compared([(plain.handshake_us, ours.handshake_us) for plain, ours in rounds]),
        "a line and its answer, us": compared([(plain.line_us, ours.line_us) for plain, ours in rounds]),
    }


def compared(rounds: list[tuple[float, float]]) -> dict[str, Any]:
    """Return the medians of aioquic alone and of the listener, and the ratio of each round."""
    return {
        "aioquic alone": round(statistics.median(plain for plain, _ in rounds), 1),
        "QUIC listener": round(statistics.median(ours for _, ours in rounds), 1),
        "ratio, each round": [round(ours / plain, 2) for plain, ours in rounds],
    }


def established(connect: Callable[[], Any]) -> Any:
    """Return a client whose session is established; a rejected client is replaced after 0.1 s."""
    for _ in range(50):
        client = connect()
        answer = client.open_request()
        if answer.startswith("UP"):
            return client
        time.sleep(0.1)
    raise AssertionError(answer)


def node_cost(pid: int, connect: Callable[[], Any]) -> dict[str, float]:
    """Return the processor time and memory of a node for sessions that `connect` opens."""
    established(connect)
    cpu_before, kib_before = cpu_seconds(pid), private_kib(pid)
    clients = [established(connect) for _ in range(SESSIONS)]
    cpu_connected, kib_connected = cpu_seconds(pid), private_kib(pid)
    client = clients[-1]
    for _ in range(LINES):
        client.send(b"hello\r\n")
        client.read_line()
    cpu_after_lines = cpu_seconds(pid)
    return {
        "a session's start, us": round((cpu_connected - cpu_before) / SESSIONS * 1e6),
        "a line and its answer, us": round((cpu_after_lines - cpu_connected) / LINES * 1e6),
        "a session, KiB": round((kib_connected - kib_before) / SESSIONS, 1),
    }


def node_costs() -> dict[str, Any]:
    """Return the costs of a node process over QUIC and over TCP."""
    with (
        tempfile.TemporaryDirectory() as name,
        running_quic_node(Path(name), [EndpointServer(n) for n in "abcdef"]) as (node, port),
    ):
        pid = node.process.pid
        return {
            "QUIC": node_cost(pid, lambda: QuicClient(port)),
            "TCP": node_cost(pid, node.client),
        }


def main() -> None:
    """Run all measurements and print the figures as JSON."""
    figures = {
        "parts, us": routing_costs(),
        "in one process": in_process(),
        "a node as a process": node_costs(),
    }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
