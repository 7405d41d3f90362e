"""Sessions over QUIC at a node process: address changes, answers, draining, ends, certificates, traces."""

from __future__ import annotations

import json
import re
import signal
import socket
import time
from pathlib import Path

import pytest

from gradegap.quic.listener import CloseCode
from tests.support.node_environment import SCHEDULING_SLACK_S, EndpointServer, free_port, wait_for
from tests.support.quic_harness import QuicClient, make_certificate, running_quic_node
from tests.test_admin_api import call


@pytest.mark.parametrize("new_id", [False, True])
def test_clients_at_new_addresses_keep_their_sessions(tmp_path: Path, new_id: bool) -> None:
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with running_quic_node(tmp_path, [server_a, server_b]) as (node, port):
        clients = [QuicClient(port) for _ in range(6)]
        answers = [client.open_request(ident=f"{k}") for k, client in enumerate(clients)]
        assert set(answers) <= {"UP a", "UP b"}
        counters_before = node.counters()
        open_lines = [*server_a.open_lines, *server_b.open_lines]
        for change in range(2):
            for k, client in enumerate(clients):
                client.change_address(new_id)
                client.send(f"still {k} {change}\r\n".encode())
                assert client.read_line() == f"still {k} {change}"
        for k, client in enumerate(clients):
            server = server_a if answers[k] == "UP a" else server_b
            assert [line for _, line in server.lines if line.startswith(f"still {k} ")] == [
                f"still {k} 0",
                f"still {k} 1",
            ]
            # With new ids their exact number depends on when acknowledgements are sent.
            assert len(client.connection_ids) > 1 if new_id else len(client.connection_ids) == 1
        counters_after = node.counters()
        assert [*server_a.open_lines, *server_b.open_lines] == open_lines and len(open_lines) == 6
        assert (
            counters_before["taken"] == counters_after["taken"] == "6"
            and counters_before["sent"] == counters_after["sent"]
        )
        assert int(counters_after["quic_migrations"]) >= 12
        assert len(server_a.established) + len(server_b.established) == 6


@pytest.mark.parametrize(
    ("open_answer", "expected_line", "code"),
    [
        ("BUSY", r"BUSY \d+", CloseCode.REFUSED),
        ("silence", r"BUSY \d+|BUSY|ERR", CloseCode.REFUSED),
        ("ERR", r"BUSY \d+", CloseCode.REFUSED),
    ],
)
def test_rejected_request_is_answered_in_time_and_closed_with_its_code(
    tmp_path: Path, open_answer: str, expected_line: str, code: CloseCode
) -> None:
    endpoint_server = EndpointServer("a", open_answer)
    with running_quic_node(tmp_path, [endpoint_server]) as (node, port):
        client, began_at = QuicClient(port), time.time()
        assert re.fullmatch(expected_line, client.open_request("c=live,d=900,g=1"))
        assert time.time() - began_at < 0.9 + 0.07 + SCHEDULING_SLACK_S
        assert client.close_code() is code and client.stream_ended
        assert 1 <= len(endpoint_server.open_lines) <= 4
        assert node.counters()["taken"] == "1"


@pytest.mark.parametrize(
    "data",
    [
        b"x" * 5000,
        b"OPEN 1 2 c=live,d=\xff\r\n",
        b"OPEN 1 2 c=none,d=5\r\n",
        b"GET / HTTP/1.1\r\n",
        b"OPEN 1 2 c=live,d=1500\r\n" * 200,
        b"OPEN 1",  # incomplete: answered when the first line times out
    ],
)
def test_invalid_first_line_gets_one_error_line(tmp_path: Path, data: bytes) -> None:
    endpoint_server = EndpointServer("a")
    with running_quic_node(tmp_path, [endpoint_server]) as (node, port):
        client = QuicClient(port)
        client.send(data)
        assert client.read_line(3.0 + SCHEDULING_SLACK_S) == "ERR"
        assert client.close_code() is CloseCode.BAD_LINE
        assert not endpoint_server.open_lines and "taken" not in node.counters()


def test_datagrams_with_unissued_ids_are_dropped_and_counted(tmp_path: Path) -> None:
    endpoint_server = EndpointServer("a")
    with running_quic_node(tmp_path, [endpoint_server]) as (node, port):
        client = QuicClient(port)
        assert client.open_request() == "UP a"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.settimeout(0.3)
            for k in range(5):  # unroutable bits, which no key of a ring has
                stranger.sendto(b"\x40\xff" + bytes([k]) * 67, ("127.0.0.1", port))
            stranger.sendto(b"\xff", ("127.0.0.1", port))
            wait_for(lambda: node.counters().get("quic_dropped_unknown_id") == "5")
            assert node.counters()["quic_dropped_short"] == "1"
            with pytest.raises(TimeoutError):
                stranger.recv(2048)
        counters = node.counters()
        assert counters["taken"] == "1" and len(endpoint_server.open_lines) == 1
        client.send(b"untouched\r\n")
        assert client.read_line() == "untouched"


def test_sessions_of_a_draining_server_stay_until_migrated_and_new_ones_avoid_it(tmp_path: Path) -> None:
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with running_quic_node(tmp_path, [server_a, server_b]) as (node, port):
        clients = [QuicClient(port) for _ in range(8)]
        answers = [client.open_request(ident=f"{k}") for k, client in enumerate(clients)]
        clients_on_a = [client for client, answer in zip(clients, answers, strict=True) if answer == "UP a"]
        assert clients_on_a
        drain_announced_at = node.discovery.announce(server_a, state="Terminating")
        while time.time() < drain_announced_at + 2.05:
            for client in clients:
                client.step(0.005)
        # The sessions are still open two seconds after the drain began.
        for k, client in enumerate(clients_on_a):
            client.change_address()
            client.send(f"here {k}\r\n".encode())
            assert client.read_line() == f"here {k}"
        assert {QuicClient(port).open_request() for _ in range(6)} == {"UP b"}
        assert {client.read_line() for client in clients_on_a} == {"MOVE"}
        assert time.time() - drain_announced_at < 4.2
        assert {client.close_code() for client in clients_on_a} == {CloseCode.MOVED}
        late_lines = [
            line
            for received_at, line in server_a.lines
            if received_at > drain_announced_at + 2.0 and not line.startswith("here")
        ]
        assert late_lines == []


@pytest.mark.parametrize("ending_side", ["client", "backend"])
def test_end_of_one_side_ends_the_other(tmp_path: Path, ending_side: str) -> None:
    endpoint_server = EndpointServer("a")
    with running_quic_node(tmp_path, [endpoint_server]) as (_, port):
        client = QuicClient(port)
        assert client.open_request() == "UP a"
        if ending_side == "client":
            client.send(b"last\r\n", end=True)
            wait_for(
                lambda: endpoint_server.connection_ends == ["end"] and endpoint_server.lines[-1][1] == "last"
            )
        else:
            endpoint_server.established[0].shutdown(socket.SHUT_WR)
        assert client.close_code() is CloseCode.SERVED


def test_client_close_during_request_closes_the_attempt(tmp_path: Path) -> None:
    endpoint_server = EndpointServer("a", "silence")
    with running_quic_node(tmp_path, [endpoint_server]) as (node, port):
        client = QuicClient(port)
        client.send(b"OPEN 1 2 c=live,d=1700,g=1\r\n")
        wait_for(lambda: endpoint_server.open_lines)
        client.quic.close()
        client.step(0)
        wait_for(lambda: endpoint_server.connection_ends, 1.0)
        assert node.counters()["client_gone"] == "1" and len(endpoint_server.open_lines) == 1


def test_node_shutdown_migrates_quic_sessions(tmp_path: Path) -> None:
    endpoint_server = EndpointServer("a")
    with running_quic_node(tmp_path, [endpoint_server]) as (node, port):
        clients = [QuicClient(port) for _ in range(3)]
        assert {client.open_request() for client in clients} == {"UP a"}
        node.process.send_signal(signal.SIGTERM)
        for client in clients:
            assert client.read_line() == "MOVE"
            assert client.close_code() is CloseCode.MOVED
        assert node.process.wait(4) == 0


def test_node_out_of_service_migrates_quic_sessions_and_accepts_new_ones_when_back(tmp_path: Path) -> None:
    console = f"127.0.0.1:{free_port()}"
    with running_quic_node(tmp_path, [EndpointServer("a")], console=console) as (_node, port):
        client = QuicClient(port)
        assert client.open_request() == "UP a"
        assert call(console, "out-of-service") == 200
        client_out_of_service = QuicClient(port)
        client_out_of_service.send(b"PING\r\n")
        assert client_out_of_service.read_line() == "ERR" and client_out_of_service.open_request() == "UP a"
        for migrated_client in (client, client_out_of_service):
            assert (
                migrated_client.read_line(4.0) == "MOVE" and migrated_client.close_code() is CloseCode.MOVED
            )
        assert call(console, "in-service") == 200
        client_in_service = QuicClient(port)
        client_in_service.send(b"PING\r\n")
        assert client_in_service.read_line() == "PONG" and client_in_service.open_request() == "UP a"


def test_reloaded_certificate_is_used_for_new_connections_and_invalid_ones_are_refused(
    tmp_path: Path,
) -> None:
    with running_quic_node(tmp_path, [EndpointServer("a")]) as (node, port):

        def certificate_serial(client: QuicClient) -> int:
            certificate = client.quic.tls._peer_certificate
            assert certificate is not None
            return certificate.serial_number

        def reload(counter: str, count: str) -> None:
            node.process.send_signal(signal.SIGHUP)
            wait_for(lambda: node.counters().get(counter) == count)

        old_client = QuicClient(port)
        assert old_client.open_request() == "UP a" and "certificate expires soon" in node.log.read_text()
        make_certificate(tmp_path, 90)
        reload("quic_certificates", "1")
        new_client = QuicClient(port)
        assert (
            certificate_serial(new_client) != certificate_serial(old_client)
            and float(node.counters()["quic_certificate_days"]) > 89
        )
        private_key = (tmp_path / "key.pem").read_bytes()
        make_certificate(tmp_path)  # a certificate of another key; below, no certificate
        (tmp_path / "key.pem").write_bytes(private_key)
        reload("quic_certificates_refused", "1")
        (tmp_path / "cert.pem").unlink()
        reload("quic_certificates_refused", "2")
        assert certificate_serial(QuicClient(port)) == certificate_serial(new_client)
        old_client.send(b"untouched\r\n")
        assert old_client.read_line() == "untouched"


def test_qlog_traces_and_key_log_are_written_to_configured_paths(tmp_path: Path) -> None:
    quic_options = f'qlog = "{tmp_path}/qlog"\nkeylog = "{tmp_path}/keys.log"'
    with running_quic_node(tmp_path, [EndpointServer("a")], quic_options) as (node, port):
        client = QuicClient(port)
        assert client.open_request() == "UP a"
        client.send(b"BYE\r\n", end=True)
        wait_for(lambda: list((tmp_path / "qlog").glob("*.sqlog.json")), 10.0)
        (path,) = (tmp_path / "qlog").iterdir()
        (trace,) = json.loads(path.read_text())["traces"]
        assert any(event["name"] == "transport:packet_received" for event in trace["events"])
        assert "BYE" not in path.read_text()
        assert "CLIENT_TRAFFIC_SECRET_0" in (tmp_path / "keys.log").read_text()
        assert node.counters()["quic_traces"] == "1"
