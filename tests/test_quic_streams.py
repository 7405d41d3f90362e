"""QUIC streams at a node process: packet loss, several sessions of a connection, flow control, timeouts."""

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


def test_lines_survive_datagram_loss_duplication_reordering_and_address_changes(tmp_path: Path) -> None:
    """A tenth of the datagrams is lost, duplicated or late; half of the ten clients change their address.

    All clients are processed in turn: one that is not would take the waiting time for network delay.
    """
    with (
        running_quic_node(tmp_path, [EndpointServer("a"), EndpointServer("b")]) as (node, port),
        LossyDatagramRelay(("127.0.0.1", port), 7, 0.1, 0.1, 0.1) as relay,
    ):
        clients: list[QuicClient] = []

        def receive_lines(line_count: int) -> None:
            deadline = time.monotonic() + 20.0
            while any(client.received_data.count(b"\r\n") < line_count for client in clients):
                assert time.monotonic() < deadline, [client.received_data[-40:] for client in clients]
                for client in clients:
                    client.step(0.0005)

        clients += [QuicClient(relay.port, 20.0) for _ in range(10)]
        for client in clients:
            client.send(f"OPEN {new_request_id()} 7f3a c=live,d=1800\r\n".encode())
        receive_lines(1)
        for turn in range(10):
            for k, client in enumerate(clients):
                client.send(f"{k} {turn}\r\n".encode())
            receive_lines(2 + turn)
            for client in clients[::2] if turn == 5 else ():
                client.change_address(new_id=True)
        for k, client in enumerate(clients):
            answer, *echoed_lines = client.received_data.decode().splitlines()
            assert answer.startswith("UP") and echoed_lines == [f"{k} {turn}" for turn in range(10)]
        assert relay.dropped > 30
        counters = node.counters()
        assert counters["taken"] == "10" and int(counters["quic_migrations"]) >= 5


def test_streams_of_one_connection_are_independent_sessions(tmp_path: Path) -> None:
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with running_quic_node(tmp_path, [server_a, server_b]) as (node, port):
        client = ScriptedClient(("127.0.0.1", port), "gradegap/1")
        stream_ids = [4 * k for k in range(8)]
        for stream_id in stream_ids:
            client.quic.send_stream_data(
                stream_id, f"OPEN {new_request_id()} k{stream_id} c=live,d=1500,g={stream_id}\r\n".encode()
            )
        client.wait_until(
            lambda: all(b"\n" in client.stream_data.get(stream_id, b"") for stream_id in stream_ids),
            "an answer to each",
        )
        answers = {stream_id: client.stream_data[stream_id].decode().strip() for stream_id in stream_ids}
        assert set(answers.values()) == {"UP a", "UP b"} and node.counters()["taken"] == "8"
        client.change_address()
        for stream_id in stream_ids:
            assert client.exchange_line(b"hello %d\r\n" % stream_id, stream_id).endswith(
                b"hello %d\r\n" % stream_id
            )
        # A session that the client ends and one that its backend resets do not affect the others.
        ended = next(stream_id for stream_id in stream_ids if answers[stream_id] == "UP a")
        broken = next(stream_id for stream_id in stream_ids if answers[stream_id] == "UP b")
        client.quic.send_stream_data(ended, b"", end_stream=True)
        client.wait_until(lambda: ended in client.ended_streams, "the end of its stream")
        client.quic.send_stream_data(broken, b"reset\r\n")
        client.wait_until(lambda: broken in client.error_codes, "a reset of its stream")
        assert client.error_codes[broken] == CloseCode.RESET
        # A rejected request and an invalid first line each end only their session, with their code.
        server_a.answer = server_b.answer = "BUSY"
        for stream_id, line in ((100, f"OPEN {new_request_id()} k c=live,d=300"), (104, "NONSENSE")):
            client.quic.send_stream_data(stream_id, line.encode() + b"\r\n")
        client.wait_until(lambda: {100, 104} <= client.error_codes.keys(), "codes of both")
        assert (client.error_codes[100], client.error_codes[104]) == (CloseCode.REFUSED, CloseCode.BAD_LINE)
        assert client.stream_data[100].startswith(b"BUSY") and client.stream_data[104] == b"ERR\r\n"
        # Draining a server migrates its sessions and no others.
        open_stream_ids = [stream_id for stream_id in stream_ids if stream_id not in (ended, broken)]
        node.discovery.announce(server_a, state="Terminating")
        stream_ids_on_a = [stream_id for stream_id in open_stream_ids if answers[stream_id] == "UP a"]
        client.wait_until(
            lambda: all(client.stream_data[stream_id].endswith(b"MOVE\r\n") for stream_id in stream_ids_on_a),
            "MOVE to each",
            5.0,
        )
        for stream_id in open_stream_ids:
            if stream_id not in stream_ids_on_a:
                assert client.exchange_line(b"still here\r\n", stream_id).endswith(b"still here\r\n")
        remaining_count = str(len(open_stream_ids) - len(stream_ids_on_a))
        client.wait_until(
            lambda: node.counters()["quic_sessions"] == remaining_count, "the end of the others"
        )
        assert not client.termination
        assert node.counters()["quic_connections"] == "1"


def test_streams_beyond_the_connection_limit_are_refused_and_others_served(tmp_path: Path) -> None:
    with running_quic_node(tmp_path, [EndpointServer("a")]) as (node, port):
        client = ScriptedClient(("127.0.0.1", port), "gradegap/1")
        stream_ids = [4 * k for k in range(40)]
        for stream_id in stream_ids:
            client.quic.send_stream_data(stream_id, b"PING\r\n")
        client.wait_until(lambda: len(client.error_codes) == 8, "refusals")
        assert {client.error_codes[stream_id] for stream_id in stream_ids[32:]} == {CloseCode.REFUSED}
        admitted_ids = stream_ids[:32]
        client.wait_until(
            lambda: all(client.stream_data.get(stream_id) == b"PONG\r\n" for stream_id in admitted_ids),
            "answers to the others",
        )
        assert node.counters()["quic_streams_refused"] == "8"


def test_data_beyond_the_flow_control_window_arrives_unchanged(tmp_path: Path) -> None:
    endpoint_server = EndpointServer("a")
    with running_quic_node(tmp_path, [endpoint_server]) as (_, port):
        client = QuicClient(port)
        assert client.open_request() == "UP a"
        long_line = os.urandom(200_000).hex().encode() + b"\r\n"
        client.send(long_line)
        client.run_until(lambda: len(client.received_data) >= len(long_line), 20.0)
        assert client.received_data == long_line


def test_client_is_served_after_retry(tmp_path: Path) -> None:
    with running_quic_node(tmp_path, [EndpointServer("a")], "retry_from = 0") as (node, port):
        assert QuicClient(port).open_request() == "UP a"
        assert node.counters()["quic_retries"] == "1"


def test_connection_without_a_stream_is_closed_when_the_first_line_times_out(tmp_path: Path) -> None:
    """Guards against answering the timeout on a stream that does not exist, which left the connection open
    until its idle timeout."""
    with running_quic_node(tmp_path, [EndpointServer("a")]) as (node, port):
        client = QuicClient(port)
        assert client.close_code() is CloseCode.BAD_LINE and client.received_data == b""
        wait_for(lambda: node.counters()["quic_connections"] == "0")
        assert node.counters()["late_first_lines"] == "1"


def test_connections_of_undecryptable_initials_are_discarded(tmp_path: Path) -> None:
    with running_quic_node(tmp_path, [EndpointServer("a")]) as (node, port):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(20):
                header = b"\xc0\x00\x00\x00\x01\x08" + os.urandom(8) + b"\x08" + os.urandom(8) + b"\x00"
                sender.sendto(header + b"\x44\xb0" + os.urandom(1200), ("127.0.0.1", port))
        wait_for(lambda: int(node.counters()["quic_connections"]) == 20)
        assert QuicClient(port).open_request() == "UP a"
        wait_for(lambda: int(node.counters()["quic_connections"]) == 1, 10.0)
        assert node.counters()["quic_ids"] == "8"  # the client's original destination id is counted apart


def test_backend_is_not_read_while_its_client_reads_nothing(tmp_path: Path) -> None:
    endpoint_server = EndpointServer("a")
    with running_quic_node(tmp_path, [endpoint_server]) as (node, port):
        client = QuicClient(port)
        assert client.open_request() == "UP a"
        sock, sent_bytes = endpoint_server.established[0], 0
        # The socket gets no timeout: it is shared with the endpoint server's reading thread, which would then
        # end the connection.
        while select.select([], [sock], [], 0.3)[1]:
            sent_bytes += sock.send(b"y" * 65536, socket.MSG_DONTWAIT)
            assert sent_bytes < 64 * 1024 * 1024
        assert "quic_overrun" not in node.counters()
