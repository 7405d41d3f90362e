"""The datagram path under whatever comes: nothing raises, nothing grows, a bystander is served."""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import ssl
import struct
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, cast

import pytest
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from hypothesis import HealthCheck, given
from hypothesis import settings as tuned
from hypothesis import strategies as st

from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.quic.listener import QuicListener
from gradegap.quic.settings import QuicSettings
from tests.support.balancer_driver import settings
from tests.support.quic_harness import make_certificate
from tests.test_store_node import NoPort

SERVER = ("127.0.0.1", 1000)
BYSTANDER, FUZZER = ("127.0.0.1", 1111), ("127.0.0.1", 2222)


class Wire:
    """What the front sends, by address."""

    def __init__(self) -> None:
        self.sent: dict[Any, list[bytes]] = {}

    def sendto(self, data: bytes, addr: Any) -> None:
        self.sent.setdefault(addr, []).append(data)

    def close(self) -> None: ...


class Pair:
    """A front without a socket, and a client of aioquic's own that speaks to it."""

    def __init__(self, folder: Path, loop: asyncio.AbstractEventLoop) -> None:
        self.metrics, self.wire = Metrics(), Wire()
        proxy = Proxy(settings(), 1, cast(Any, NoPort()), self.metrics, loop)
        listen = QuicSettings("", f"{folder}/cert.pem", f"{folder}/key.pem")
        self.front = QuicListener(proxy, self.metrics, lambda: True, listen, "n", lambda: None)
        self.front.transport = cast(Any, self.wire)
        self.heard = b""

    def client(self, chosen: bytes = b"") -> QuicConnection:
        """`chosen`: its first id for the server."""
        made = QuicConfiguration(is_client=True, alpn_protocols=["gradegap/1"], verify_mode=ssl.CERT_NONE)
        quic = QuicConnection(configuration=made)
        if chosen:
            quic._peer_cid.cid = quic._original_destination_connection_id = chosen
        quic.connect(SERVER, now=time.time())
        return quic

    def turn(self, quic: QuicConnection, addr: Any) -> list[bytes]:
        """What the client has to say goes in, what is answered comes back; the client's datagrams."""
        out = [data for data, _ in quic.datagrams_to_send(now=time.time())]
        for data in out:
            self.front.datagram_received(data, addr)
        for channel in list(self.front.channels):
            channel.flush()
        for data in self.wire.sent.pop(addr, []):
            quic.receive_datagram(data, SERVER, now=time.time())
        while (event := quic.next_event()) is not None:
            if isinstance(event, events.StreamDataReceived):
                self.heard += event.data
        return out

    def served(self, quic: QuicConnection) -> bool:
        self.heard = b""
        quic.send_stream_data(0, b"PING\r\n")
        for _ in range(6):
            self.turn(quic, BYSTANDER)
        return self.heard == b"PONG\r\n"


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    made: Path = tmp_path_factory.mktemp("quic")
    make_certificate(made)
    return made


@contextmanager
def fronted(folder: Path) -> Iterator[tuple[Pair, QuicConnection]]:
    loop = asyncio.new_event_loop()
    try:
        pair = Pair(folder, loop)
        bystander = pair.client()
        for _ in range(6):
            pair.turn(bystander, BYSTANDER)
        assert pair.served(bystander)
        yield pair, bystander
        assert pair.served(bystander)
    finally:
        loop.close()


@tuned(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(seed=st.integers(0, 2**32))
def test_garbled_datagrams_of_every_kind_disturb_nobody(folder: Path, seed: int) -> None:
    rng = random.Random(seed)
    with fronted(folder) as (pair, _bystander):
        stranger = pair.client()
        sound: list[bytes] = []
        for k in range(8):
            if k > 3:
                stranger.send_stream_data(0, b"PING\r\n")
            sound += pair.turn(stranger, FUZZER)
        mine = [bytes(cid) for cid in pair.front.routes]
        for _ in range(60):
            data = bytearray(rng.choice(sound))
            match rng.randrange(6):
                case 0:
                    for _ in range(rng.randrange(1, 8)):
                        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
                case 1:
                    del data[rng.randrange(len(data)) :]
                case 2:
                    data += rng.randbytes(rng.randrange(400))
                case 3:  # somebody's id, in a packet of another
                    at = 1 if not data[0] & 0x80 else 6
                    data[at : at + 17] = rng.choice(mine)
                case 4:
                    data = bytearray(rng.randbytes(rng.randrange(1500)))
                case _:
                    data[0] = rng.randrange(256)
            pair.front.datagram_received(bytes(data), rng.choice([FUZZER, BYSTANDER, ("127.0.0.1", 3333)]))
        assert len(pair.front.channels) < 90 and len(pair.front.initial_routes) < 90


@pytest.mark.parametrize("kind", ["initial", "handshake", "short", "retry", "negotiation"])
def test_garbage_at_every_offset_of_each_kind_of_packet(folder: Path, kind: str) -> None:
    """One octet at a time, each to every bit turned."""
    with fronted(folder) as (pair, _bystander):
        version = struct.pack(">I", 0 if kind == "negotiation" else 1)
        if kind == "short":
            head = b"\x41" + next(iter(pair.front.routes))
        else:
            first = {"initial": 0xC0, "handshake": 0xE0, "retry": 0xF0, "negotiation": 0xC0}[kind]
            head = bytes([first]) + version + b"\x11" + next(iter(pair.front.routes)) + b"\x08" + bytes(8)
        data = (head + b"\0\x44\xb0" + secrets.token_bytes(80)).ljust(1200, b"\0")
        for k in range(min(len(data), 120)):
            turned = bytearray(data)
            turned[k] ^= 0xFF
            pair.front.datagram_received(bytes(turned), FUZZER)
            pair.front.datagram_received(bytes(data[:k]), FUZZER)
        for channel in list(pair.front.channels):
            if channel.address == FUZZER:
                channel._on_handshake_timeout()
        assert len(pair.front.channels) == 1  # the bystander's
        assert "quic_migrations" not in pair.metrics.counts


def test_a_flood_of_first_packets_is_bounded_and_the_others_are_served(folder: Path) -> None:
    with fronted(folder) as (pair, _bystander):
        for k in range(2000):
            quic = pair.client()
            for data, _ in quic.datagrams_to_send(now=time.time()):
                pair.front.datagram_received(data, (f"127.0.{k // 250}.{k % 250 + 1}", 5000))
        counts = pair.metrics.counts
        assert len(pair.front.channels) <= 1 + pair.front.retry_from
        assert counts["quic_retries"] >= 1900
        # Each is told to prove itself by less than it sent: forged addresses gain nothing.
        assert all(sum(map(len, sent)) < 3 * 1300 for sent in pair.wire.sent.values())


def test_two_clients_that_choose_one_first_id_are_both_served(folder: Path) -> None:
    with fronted(folder) as (pair, _):
        chosen = os.urandom(8)
        clients = [pair.client(chosen) for _ in range(2)]
        addresses = [("127.0.0.1", 4001), ("127.0.0.1", 4002)]
        for _ in range(8):
            for quic, addr in zip(clients, addresses, strict=True):
                pair.turn(quic, addr)
        assert all(quic._handshake_complete for quic in clients)
        assert len(pair.front.channels) == 3
