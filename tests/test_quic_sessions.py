"""The QUIC front of the real program: sessions that migrate, drain, end or are moved."""

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
def test_migrated_clients_keep_their_server_and_open_no_new_req(tmp_path: Path, new_id: bool) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    with running_quic_node(tmp_path, [a, b]) as (w, port):
        clients = [QuicClient(port) for _ in range(6)]
        names = [c.open_request(ident=f"{k}") for k, c in enumerate(clients)]
        assert set(names) <= {"UP a", "UP b"}
        before = w.counters()
        opens = [*a.open_lines, *b.open_lines]
        for hop in range(2):
            for k, c in enumerate(clients):
                c.change_address(new_id)
                c.send(f"still {k} {hop}\r\n".encode())
                assert c.read_line() == f"still {k} {hop}"
        for k, c in enumerate(clients):
            server = a if names[k] == "UP a" else b
            assert [line for _, line in server.lines if line.startswith(f"still {k} ")] == [
                f"still {k} 0",
                f"still {k} 1",
            ]
            assert (
                len(c.connection_ids) > 1 if new_id else len(c.connection_ids) == 1
            )  # how many depends on when acks go out
        after = w.counters()
        assert [*a.open_lines, *b.open_lines] == opens and len(opens) == 6
        assert before["taken"] == after["taken"] == "6" and before["sent"] == after["sent"]
        assert int(after["quic_migrations"]) >= 12
        assert len(a.established) + len(b.established) == 6


@pytest.mark.parametrize(
    ("answer", "said", "code"),
    [
        ("BUSY", r"BUSY \d+", CloseCode.REFUSED),
        ("silence", r"BUSY \d+|BUSY|ERR", CloseCode.REFUSED),
        ("ERR", r"BUSY \d+", CloseCode.REFUSED),
    ],
)
def test_answers_come_in_time_then_a_close_with_their_code(
    tmp_path: Path, answer: str, said: str, code: CloseCode
) -> None:
    b = EndpointServer("a", answer)
    with running_quic_node(tmp_path, [b]) as (w, port):
        c, began = QuicClient(port), time.time()
        assert re.fullmatch(said, c.open_request("c=live,d=900,g=1"))
        assert time.time() - began < 0.9 + 0.07 + SCHEDULING_SLACK_S
        assert c.close_code() is code and c.stream_ended
        assert 1 <= len(b.open_lines) <= 4
        assert w.counters()["taken"] == "1"


@pytest.mark.parametrize(
    "raw",
    [
        b"x" * 5000,
        b"OPEN 1 2 c=live,d=\xff\r\n",
        b"OPEN 1 2 c=none,d=5\r\n",
        b"GET / HTTP/1.1\r\n",
        b"OPEN 1 2 c=live,d=1500\r\n" * 200,
        b"OPEN 1",  # and then nothing: there is an answer all the same, in time
    ],
)
def test_garbage_on_the_stream_gets_one_failure_line(tmp_path: Path, raw: bytes) -> None:
    b = EndpointServer("a")
    with running_quic_node(tmp_path, [b]) as (w, port):
        c = QuicClient(port)
        c.send(raw)
        assert c.read_line(3.0 + SCHEDULING_SLACK_S) == "ERR"
        assert c.close_code() is CloseCode.BAD_LINE
        assert not b.open_lines and "taken" not in w.counters()


def test_ids_that_were_never_issued_reach_nobody(tmp_path: Path) -> None:
    b = EndpointServer("a")
    with running_quic_node(tmp_path, [b]) as (w, port):
        c = QuicClient(port)
        assert c.open_request() == "UP a"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.settimeout(0.3)
            for k in range(5):  # bits of a configuration that there is not, whichever the first is
                stranger.sendto(b"\x40\xff" + bytes([k]) * 67, ("127.0.0.1", port))
            stranger.sendto(b"\xff", ("127.0.0.1", port))
            wait_for(lambda: w.counters().get("quic_dropped_unknown_id") == "5")
            assert w.counters()["quic_dropped_short"] == "1"
            with pytest.raises(TimeoutError):
                stranger.recv(2048)
        counters = w.counters()
        assert counters["taken"] == "1" and len(b.open_lines) == 1
        c.send(b"untouched\r\n")
        assert c.read_line() == "untouched"


def test_an_id_whose_backend_drains_stays_and_is_moved_and_nothing_new_goes_there(tmp_path: Path) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    with running_quic_node(tmp_path, [a, b]) as (w, port):
        clients = [QuicClient(port) for _ in range(8)]
        names = [c.open_request(ident=f"{k}") for k, c in enumerate(clients)]
        on_a = [c for c, name in zip(clients, names, strict=True) if name == "UP a"]
        assert on_a
        told = w.discovery.announce(a, state="Terminating")
        while time.time() < told + 2.05:
            for c in clients:
                c.step(0.005)
        for k, c in enumerate(on_a):  # it began to drain two seconds ago: the session is still there
            c.change_address()
            c.send(f"here {k}\r\n".encode())
            assert c.read_line() == f"here {k}"
        assert {QuicClient(port).open_request() for _ in range(6)} == {"UP b"}
        assert {c.read_line() for c in on_a} == {"MOVE"}
        assert time.time() - told < 4.2
        assert {c.close_code() for c in on_a} == {CloseCode.MOVED}
        late = [line for at, line in a.lines if at > told + 2.0 and not line.startswith("here")]
        assert late == []


@pytest.mark.parametrize("who", ["client", "backend"])
def test_the_end_of_one_side_ends_the_other(tmp_path: Path, who: str) -> None:
    b = EndpointServer("a")
    with running_quic_node(tmp_path, [b]) as (_, port):
        c = QuicClient(port)
        assert c.open_request() == "UP a"
        if who == "client":
            c.send(b"last\r\n", end=True)
            wait_for(lambda: b.connection_ends == ["end"] and b.lines[-1][1] == "last")
        else:
            b.established[0].shutdown(socket.SHUT_WR)
        assert c.close_code() is CloseCode.SERVED


def test_a_client_that_closes_abandons_its_fetch(tmp_path: Path) -> None:
    b = EndpointServer("a", "silence")
    with running_quic_node(tmp_path, [b]) as (w, port):
        c = QuicClient(port)
        c.send(b"OPEN 1 2 c=live,d=1700,g=1\r\n")
        wait_for(lambda: b.open_lines)
        c.quic.close()
        c.step(0)
        wait_for(lambda: b.connection_ends, 1.0)
        assert w.counters()["client_gone"] == "1" and len(b.open_lines) == 1


def test_a_node_that_leaves_moves_its_quic_sessions(tmp_path: Path) -> None:
    b = EndpointServer("a")
    with running_quic_node(tmp_path, [b]) as (w, port):
        clients = [QuicClient(port) for _ in range(3)]
        assert {c.open_request() for c in clients} == {"UP a"}
        w.process.send_signal(signal.SIGTERM)
        for c in clients:
            assert c.read_line() == "MOVE"
            assert c.close_code() is CloseCode.MOVED
        assert w.process.wait(4) == 0


def test_a_node_out_of_service_moves_its_quic_sessions_and_serves_them_again(tmp_path: Path) -> None:
    console = f"127.0.0.1:{free_port()}"
    with running_quic_node(tmp_path, [EndpointServer("a")], console=console) as (_w, port):
        c = QuicClient(port)
        assert c.open_request() == "UP a"
        assert call(console, "out-of-service") == 200
        late = QuicClient(port)
        late.send(b"PING\r\n")
        assert late.read_line() == "ERR" and late.open_request() == "UP a"
        for each in (c, late):
            assert each.read_line(4.0) == "MOVE" and each.close_code() is CloseCode.MOVED
        assert call(console, "in-service") == 200
        again = QuicClient(port)
        again.send(b"PING\r\n")
        assert again.read_line() == "PONG" and again.open_request() == "UP a"


def test_a_new_certificate_is_shown_to_who_comes_next(tmp_path: Path) -> None:
    with running_quic_node(tmp_path, [EndpointServer("a")]) as (w, port):

        def shown(c: QuicClient) -> int:
            certificate = c.quic.tls._peer_certificate
            assert certificate is not None
            return certificate.serial_number

        def reload(counter: str, count: str) -> None:
            w.process.send_signal(signal.SIGHUP)
            wait_for(lambda: w.counters().get(counter) == count)

        old = QuicClient(port)
        assert old.open_request() == "UP a" and "certificate expires soon" in w.log.read_text()
        make_certificate(tmp_path, 90)
        reload("quic_certificates", "1")
        new = QuicClient(port)
        assert shown(new) != shown(old) and float(w.counters()["quic_certificate_days"]) > 89
        pem = (tmp_path / "key.pem").read_bytes()
        make_certificate(tmp_path)  # a certificate that is not this key's; then none at all
        (tmp_path / "key.pem").write_bytes(pem)
        reload("quic_certificates_refused", "1")
        (tmp_path / "cert.pem").unlink()
        reload("quic_certificates_refused", "2")
        assert shown(QuicClient(port)) == shown(new)
        old.send(b"untouched\r\n")
        assert old.read_line() == "untouched"


def test_traces_and_secrets_are_written_where_the_operator_says(tmp_path: Path) -> None:
    more = f'qlog = "{tmp_path}/qlog"\nkeylog = "{tmp_path}/keys.log"'
    with running_quic_node(tmp_path, [EndpointServer("a")], more) as (w, port):
        c = QuicClient(port)
        assert c.open_request() == "UP a"
        c.send(b"BYE\r\n", end=True)
        wait_for(lambda: list((tmp_path / "qlog").glob("*.sqlog.json")), 10.0)
        (path,) = (tmp_path / "qlog").iterdir()
        (trace,) = json.loads(path.read_text())["traces"]
        assert any(e["name"] == "transport:packet_received" for e in trace["events"])
        assert "BYE" not in path.read_text()
        assert "CLIENT_TRAFFIC_SECRET_0" in (tmp_path / "keys.log").read_text()
        assert w.counters()["quic_traces"] == "1"
