"""Fuzzing of the datagram path: no datagram raises, state stays bounded, another client is still served."""

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
from hypothesis import settings as hypothesis_settings
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


class RecordingTransport:
    """A transport that records the datagrams sent, by address."""

    def __init__(self) -> None:
        self.sent: dict[Any, list[bytes]] = {}

    def sendto(self, data: bytes, addr: Any) -> None:
        self.sent.setdefault(addr, []).append(data)

    def close(self) -> None: ...


class SocketlessListener:
    """A QUIC listener without a socket, and aioquic clients whose datagrams are passed to it directly."""

    def __init__(self, folder: Path, loop: asyncio.AbstractEventLoop) -> None:
        self.metrics, self.transport = Metrics(), RecordingTransport()
        proxy = Proxy(settings(), 1, cast(Any, NoPort()), self.metrics, loop)
        quic_settings = QuicSettings("", f"{folder}/cert.pem", f"{folder}/key.pem")
        self.listener = QuicListener(proxy, self.metrics, lambda: True, quic_settings, "n", lambda: None)
        self.listener.transport = cast(Any, self.transport)
        self.received_data = b""

    def new_client(self, first_id: bytes = b"") -> QuicConnection:
        """Return a client; `first_id` is its original destination id, random if empty."""
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=["gradegap/1"], verify_mode=ssl.CERT_NONE
        )
        client = QuicConnection(configuration=configuration)
        if first_id:
            client._peer_cid.cid = client._original_destination_connection_id = first_id
        client.connect(SERVER, now=time.time())
        return client

    def exchange(self, client: QuicConnection, addr: Any) -> list[bytes]:
        """Pass pending datagrams both ways; returns those of the client."""
        sent = [data for data, _ in client.datagrams_to_send(now=time.time())]
        for data in sent:
            self.listener.datagram_received(data, addr)
        for channel in list(self.listener.channels):
            channel.flush()
        for data in self.transport.sent.pop(addr, []):
            client.receive_datagram(data, SERVER, now=time.time())
        while (event := client.next_event()) is not None:
            if isinstance(event, events.StreamDataReceived):
                self.received_data += event.data
        return sent

    def is_served(self, client: QuicConnection) -> bool:
        self.received_data = b""
        client.send_stream_data(0, b"PING\r\n")
        for _ in range(6):
            self.exchange(client, BYSTANDER)
        return self.received_data == b"PONG\r\n"


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    directory: Path = tmp_path_factory.mktemp("quic")
    make_certificate(directory)
    return directory


@contextmanager
def listener_with_bystander(folder: Path) -> Iterator[tuple[SocketlessListener, QuicConnection]]:
    loop = asyncio.new_event_loop()
    try:
        harness = SocketlessListener(folder, loop)
        bystander = harness.new_client()
        for _ in range(6):
            harness.exchange(bystander, BYSTANDER)
        assert harness.is_served(bystander)
        yield harness, bystander
        assert harness.is_served(bystander)
    finally:
        loop.close()


@hypothesis_settings(
    max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(seed=st.integers(0, 2**32))
def test_corrupted_datagrams_leave_state_bounded_and_bystander_served(folder: Path, seed: int) -> None:
    rng = random.Random(seed)
    with listener_with_bystander(folder) as (harness, _bystander):
        fuzzer = harness.new_client()
        valid: list[bytes] = []
        for k in range(8):
            if k > 3:
                fuzzer.send_stream_data(0, b"PING\r\n")
            valid += harness.exchange(fuzzer, FUZZER)
        issued_ids = [bytes(cid) for cid in harness.listener.routes]
        for _ in range(60):
            data = bytearray(rng.choice(valid))
            match rng.randrange(6):
                case 0:
                    for _ in range(rng.randrange(1, 8)):
                        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
                case 1:
                    del data[rng.randrange(len(data)) :]
                case 2:
                    data += rng.randbytes(rng.randrange(400))
                case 3:  # an issued id in a packet of another connection
                    offset = 1 if not data[0] & 0x80 else 6
                    data[offset : offset + 17] = rng.choice(issued_ids)
                case 4:
                    data = bytearray(rng.randbytes(rng.randrange(1500)))
                case _:
                    data[0] = rng.randrange(256)
            harness.listener.datagram_received(
                bytes(data), rng.choice([FUZZER, BYSTANDER, ("127.0.0.1", 3333)])
            )
        assert len(harness.listener.channels) < 90 and len(harness.listener.initial_routes) < 90


@pytest.mark.parametrize("kind", ["initial", "handshake", "short", "retry", "negotiation"])
def test_inverted_octet_or_truncation_at_every_offset_keeps_only_the_bystander(
    folder: Path, kind: str
) -> None:
    """The packet is sent once with each of its first 120 octets inverted, and once cut there."""
    with listener_with_bystander(folder) as (harness, _bystander):
        version = struct.pack(">I", 0 if kind == "negotiation" else 1)
        if kind == "short":
            header = b"\x41" + next(iter(harness.listener.routes))
        else:
            first_octet = {"initial": 0xC0, "handshake": 0xE0, "retry": 0xF0, "negotiation": 0xC0}[kind]
            header = (
                bytes([first_octet])
                + version
                + b"\x11"
                + next(iter(harness.listener.routes))
                + b"\x08"
                + bytes(8)
            )
        data = (header + b"\0\x44\xb0" + secrets.token_bytes(80)).ljust(1200, b"\0")
        for k in range(min(len(data), 120)):
            corrupted = bytearray(data)
            corrupted[k] ^= 0xFF
            harness.listener.datagram_received(bytes(corrupted), FUZZER)
            harness.listener.datagram_received(bytes(data[:k]), FUZZER)
        for channel in list(harness.listener.channels):
            if channel.address == FUZZER:
                channel._on_handshake_timeout()
        assert len(harness.listener.channels) == 1  # that of the bystander
        assert "quic_migrations" not in harness.metrics.counts


def test_flood_of_initials_is_answered_with_retries_and_bystander_served(folder: Path) -> None:
    with listener_with_bystander(folder) as (harness, _bystander):
        for k in range(2000):
            client = harness.new_client()
            for data, _ in client.datagrams_to_send(now=time.time()):
                harness.listener.datagram_received(data, (f"127.0.{k // 250}.{k % 250 + 1}", 5000))
        counts = harness.metrics.counts
        assert len(harness.listener.channels) <= 1 + harness.listener.retry_from
        assert counts["quic_retries"] >= 1900
        # Each address is sent less than three times its Initial, so forged addresses can't amplify traffic.
        assert all(sum(map(len, sent)) < 3 * 1300 for sent in harness.transport.sent.values())


def test_two_clients_with_the_same_first_id_both_complete_handshakes(folder: Path) -> None:
    with listener_with_bystander(folder) as (harness, _):
        first_id = os.urandom(8)
        clients = [harness.new_client(first_id) for _ in range(2)]
        addresses = [("127.0.0.1", 4001), ("127.0.0.1", 4002)]
        for _ in range(8):
            for client, addr in zip(clients, addresses, strict=True):
                harness.exchange(client, addr)
        assert all(client._handshake_complete for client in clients)
        assert len(harness.listener.channels) == 3
