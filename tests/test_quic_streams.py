"""Streams over QUIC: loss, many sessions of one connection, much data, clients that don't read."""

from __future__ import annotations

import os
import select
import socket
import time
from pathlib import Path

from conformance.quic.client import ScriptedClient
from gradegap.quic.listener import CloseCode
from tests.support.lossy_datagram_relay import LossyDatagramRelay
from tests.support.node_environment import EndpointServer, new_request_id, wait_for
from tests.support.quic_harness import QuicClient, running_quic_node


def test_a_tenth_lost_doubled_and_out_of_order_costs_no_line(tmp_path: Path) -> None:
    """Ten clients through a network of that kind, half of which change their address. All are heard
    in turn: one that is left alone takes the time for the network's."""
    with (
        running_quic_node(tmp_path, [EndpointServer("a"), EndpointServer("b")]) as (w, port),
        LossyDatagramRelay(("127.0.0.1", port), 7, 0.1, 0.1, 0.1) as way,
    ):
        clients: list[QuicClient] = []

        def heard(lines: int) -> None:
            end = time.monotonic() + 20.0
            while any(c.received_data.count(b"\r\n") < lines for c in clients):
                assert time.monotonic() < end, [c.received_data[-40:] for c in clients]
                for c in clients:
                    c.step(0.0005)

        clients += [QuicClient(way.port, 20.0) for _ in range(10)]
        for c in clients:
            c.send(f"OPEN {new_request_id()} 7f3a c=live,d=1800\r\n".encode())
        heard(1)
        for turn in range(10):
            for k, c in enumerate(clients):
                c.send(f"{k} {turn}\r\n".encode())
            heard(2 + turn)
            for c in clients[::2] if turn == 5 else ():
                c.change_address(new_id=True)
        for k, c in enumerate(clients):
            first, *rest = c.received_data.decode().splitlines()
            assert first.startswith("UP") and rest == [f"{k} {turn}" for turn in range(10)]
        assert way.dropped > 30
        counters = w.counters()
        assert counters["taken"] == "10" and int(counters["quic_migrations"]) >= 5


def test_streams_of_one_connection_are_sessions_of_their_own(tmp_path: Path) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    with running_quic_node(tmp_path, [a, b]) as (w, port):
        c = ScriptedClient(("127.0.0.1", port), "gradegap/1")
        numbers = [4 * k for k in range(8)]
        for n in numbers:
            c.quic.send_stream_data(n, f"OPEN {new_request_id()} k{n} c=live,d=1500,g={n}\r\n".encode())
        c.wait_until(lambda: all(b"\n" in c.stream_data.get(n, b"") for n in numbers), "an answer to each")
        servers = {n: c.stream_data[n].decode().strip() for n in numbers}
        assert set(servers.values()) == {"UP a", "UP b"} and w.counters()["taken"] == "8"
        c.change_address()
        for n in numbers:
            assert c.exchange_line(b"hello %d\r\n" % n, n).endswith(b"hello %d\r\n" % n)
        # One that the client ends, and one that its backend breaks, end alone.
        ended = next(n for n in numbers if servers[n] == "UP a")
        broken = next(n for n in numbers if servers[n] == "UP b")
        c.quic.send_stream_data(ended, b"", end_stream=True)
        c.wait_until(lambda: ended in c.ended_streams, "the end of its stream")
        c.quic.send_stream_data(broken, b"reset\r\n")
        c.wait_until(lambda: broken in c.error_codes, "a reset of its stream")
        assert c.error_codes[broken] == CloseCode.RESET
        # A refusal is one session's too, with its code; another first line can't be read.
        a.answer = b.answer = "BUSY"
        for n, line in ((100, f"OPEN {new_request_id()} k c=live,d=300"), (104, "NONSENSE")):
            c.quic.send_stream_data(n, line.encode() + b"\r\n")
        c.wait_until(lambda: {100, 104} <= c.error_codes.keys(), "codes of both")
        assert (c.error_codes[100], c.error_codes[104]) == (CloseCode.REFUSED, CloseCode.BAD_LINE)
        assert c.stream_data[100].startswith(b"BUSY") and c.stream_data[104] == b"ERR\r\n"
        # A drain moves those of its server, and no others.
        left = [n for n in numbers if n not in (ended, broken)]
        w.discovery.announce(a, state="Terminating")
        on_a = [n for n in left if servers[n] == "UP a"]
        c.wait_until(lambda: all(c.stream_data[n].endswith(b"MOVE\r\n") for n in on_a), "MOVE to each", 5.0)
        for n in left:
            if n not in on_a:
                assert c.exchange_line(b"still here\r\n", n).endswith(b"still here\r\n")
        remaining = str(len(left) - len(on_a))
        c.wait_until(lambda: w.counters()["quic_sessions"] == remaining, "the end of the others")
        assert not c.termination
        assert w.counters()["quic_connections"] == "1"


def test_more_streams_than_one_client_may_have_are_refused_one_by_one(tmp_path: Path) -> None:
    with running_quic_node(tmp_path, [EndpointServer("a")]) as (w, port):
        c = ScriptedClient(("127.0.0.1", port), "gradegap/1")
        numbers = [4 * k for k in range(40)]
        for n in numbers:
            c.quic.send_stream_data(n, b"PING\r\n")
        c.wait_until(lambda: len(c.error_codes) == 8, "refusals")
        assert {c.error_codes[n] for n in numbers[32:]} == {CloseCode.REFUSED}
        admitted = numbers[:32]
        c.wait_until(
            lambda: all(c.stream_data.get(n) == b"PONG\r\n" for n in admitted), "answers to the others"
        )
        assert w.counters()["quic_streams_refused"] == "8"


def test_much_data_both_ways_stays_whole(tmp_path: Path) -> None:
    b = EndpointServer("a")
    with running_quic_node(tmp_path, [b]) as (_, port):
        c = QuicClient(port)
        assert c.open_request() == "UP a"
        big = os.urandom(200_000).hex().encode() + b"\r\n"
        c.send(big)
        c.run_until(lambda: len(c.received_data) >= len(big), 20.0)
        assert c.received_data == big


def test_a_client_that_must_prove_its_address_is_served_all_the_same(tmp_path: Path) -> None:
    with running_quic_node(tmp_path, [EndpointServer("a")], "retry_from = 0") as (w, port):
        assert QuicClient(port).open_request() == "UP a"
        assert w.counters()["quic_retries"] == "1"


def test_a_client_that_shakes_hands_and_says_nothing_is_closed_in_time(tmp_path: Path) -> None:
    """Its late first line was once answered on a stream that there was not: it stayed until its idle time."""
    with running_quic_node(tmp_path, [EndpointServer("a")]) as (w, port):
        c = QuicClient(port)
        assert c.close_code() is CloseCode.BAD_LINE and c.received_data == b""
        wait_for(lambda: w.counters()["quic_connections"] == "0")
        assert w.counters()["late_first_lines"] == "1"


def test_first_packets_that_nothing_can_be_made_of_are_forgotten(tmp_path: Path) -> None:
    with running_quic_node(tmp_path, [EndpointServer("a")]) as (w, port):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for _ in range(20):
                head = b"\xc0\x00\x00\x00\x01\x08" + os.urandom(8) + b"\x08" + os.urandom(8) + b"\x00"
                stranger.sendto(head + b"\x44\xb0" + os.urandom(1200), ("127.0.0.1", port))
        wait_for(lambda: int(w.counters()["quic_connections"]) == 20)
        assert QuicClient(port).open_request() == "UP a"
        wait_for(lambda: int(w.counters()["quic_connections"]) == 1, 10.0)
        assert w.counters()["quic_ids"] == "8"  # the client's own first one stands apart


def test_a_client_that_reads_nothing_holds_its_backend_back(tmp_path: Path) -> None:
    b = EndpointServer("a")
    with running_quic_node(tmp_path, [b]) as (w, port):
        c = QuicClient(port)
        assert c.open_request() == "UP a"
        sock, sent = b.established[0], 0
        # No timeout is set: it would be the stand-in's reading thread's too, which then ends the connection.
        while select.select([], [sock], [], 0.3)[1]:
            sent += sock.send(b"y" * 65536, socket.MSG_DONTWAIT)
            assert sent < 64 * 1024 * 1024
        assert "quic_overrun" not in w.counters()
