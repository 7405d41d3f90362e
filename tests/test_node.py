"""A node as a process, with fakes of its clients, save servers and discovery."""

from __future__ import annotations

import json
import re
import select
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from tests.support.node_environment import (
    ROOT,
    SCHEDULING_SLACK_S,
    SETTINGS,
    EndpointServer,
    free_port,
    hard_reset,
    running_node,
    wait_for,
)
from tests.test_admin_api import call


def test_established_connection_forwards_lines_in_both_directions(tmp_path: Path) -> None:
    server = EndpointServer("a")
    with running_node(tmp_path, [server]) as node:
        client = node.client()
        client.send(b"OPEN 9b1f 7f3a c=live,d=15")  # sent in parts, with data after the first line
        client.send(b"00,g=1,h=7\r\nhello\r\npar")
        assert client.read_line() == "UP a"
        assert client.read_line() == "hello"
        client.send(b"t\r\n")
        assert client.read_line() == "part"
        (open_line,) = server.open_lines
        assert re.fullmatch(r"OPEN 9b1f 7f3a c=live,d=\d+,g=1,h=7", open_line)
        assert 0 < int(re.findall(r"d=(\d+)", open_line)[0]) <= 1500
        long_line = b"x" * 300_000 + b"\r\n"  # exceeds all buffers, so flow control is needed
        client.sock.sendall(long_line)
        assert client.file.readline() == long_line
        server.established[0].sendall(b"LOAD 3.5\r\nBYE\r\n")
        assert client.read_line() == "LOAD 3.5"
        server.established[0].shutdown(socket.SHUT_RDWR)
        assert [client.read_line(), client.read_line()] == ["BYE", ""]
        wait_for(lambda: node.counters().get("ended_ok") == "1")


@pytest.mark.parametrize(
    ("raw", "answer"),
    [
        (b"PING\r\n", "PONG"),
        (b"x" * 5000, "ERR"),
        (b"OPEN " + b"x" * 4100 + b"\r\n", "ERR"),
        (b"OPEN 1 2 c=live,d=1000\xff\r\n", "ERR"),
        (b"OPEN 1 2 c=unknown,d=1000\r\n", "ERR"),
        (b"GET / HTTP/1.1\r\n\r\n", "ERR"),
        (b"OPEN 1 2 c=live,d=1000,at=s-nobody\r\n", "ERR"),
    ],
)
def test_first_line_without_valid_request_opens_no_connection(
    tmp_path: Path, raw: bytes, answer: str
) -> None:
    server = EndpointServer("a")
    with running_node(tmp_path, [server]) as node:
        client = node.client()
        client.sock.sendall(raw)
        assert client.read_line() == answer
        assert answer == "PONG" or client.read_line() == ""
        assert not server.open_lines


@pytest.mark.parametrize(
    ("answer", "expected", "counter"),
    [
        ("BUSY inflight=9", "BUSY", "fetch_full"),
        ("ERR", "BUSY", "fetch_error"),
        ("reset", "BUSY", "fetch_reset"),
        ("MOVE", "BUSY", "fetch_cancelled"),
        ("BYE", "BUSY", "fetch_error"),
        ("UP", "BUSY", "fetch_error"),  # without a receipt, the request was not served
        ("UP \x01", "BUSY", "fetch_error"),
        ("UP " + "x" * 5000, "BUSY", "fetch_error"),
        ("silence", "BUSY", "fetch_timeout"),
    ],
)
def test_failed_attempts_end_in_one_answer(tmp_path: Path, answer: str, expected: str, counter: str) -> None:
    server = EndpointServer("a", answer)
    with running_node(tmp_path, [server]) as node:
        client, started_at = node.client(), time.time()
        client_answer = client.open_request("c=live,d=900,g=1")
        assert re.fullmatch(rf"{expected}( \d+)?", client_answer)
        assert time.time() - started_at < 0.9 + 0.07 + SCHEDULING_SLACK_S
        assert client.read_line() == ""
        assert 1 <= len(server.open_lines) <= 4
        assert int(node.counters()[counter]) == len(server.open_lines)


def test_refused_connect_is_retried_at_other_endpoint(tmp_path: Path) -> None:
    dead, alive = EndpointServer("a"), EndpointServer("b")
    dead.stop()
    with running_node(tmp_path, [dead, alive]) as node:
        for _ in range(8):
            assert node.client().open_request() == "UP b"


def test_client_disconnect_cancels_its_request(tmp_path: Path) -> None:
    server = EndpointServer("a", "silence")
    with running_node(tmp_path, [server]) as node:
        client = node.client()
        client.send("OPEN 1 2 c=live,d=1700,g=1")
        wait_for(lambda: server.open_lines)
        client.sock.shutdown(socket.SHUT_WR)
        wait_for(lambda: server.connection_ends, 1.0)
        assert node.counters()["client_gone"] == "1" and len(server.open_lines) == 1


@pytest.mark.parametrize("end_kind", ["end", "reset"])
@pytest.mark.parametrize("ending_side", ["client", "backend"])
def test_end_of_one_side_is_forwarded_as_the_same_kind(
    tmp_path: Path, ending_side: str, end_kind: str
) -> None:
    server = EndpointServer("a")
    with running_node(tmp_path, [server]) as node:
        client = node.client()
        assert client.open_request() == "UP a"
        started_at = time.time()
        if ending_side == "client" and end_kind == "end":
            client.sock.shutdown(socket.SHUT_WR)
        elif ending_side == "client":
            hard_reset(client.sock)
        elif end_kind == "end":
            server.established[0].shutdown(socket.SHUT_WR)
        else:
            client.send("reset")
        if ending_side == "client":
            wait_for(lambda: server.connection_ends == [end_kind], 1.0)
        elif end_kind == "end":
            assert client.read_line() == ""
        else:
            with pytest.raises(ConnectionResetError):
                client.read_line()
        assert time.time() - started_at < 1.0


def test_draining_endpoint_gets_no_requests_and_its_clients_are_migrated(tmp_path: Path) -> None:
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [server_a, server_b]) as node:
        clients = [node.client() for _ in range(8)]
        names = [client.open_request(ident=f"{index}") for index, client in enumerate(clients)]
        clients_on_a = [client for client, name in zip(clients, names, strict=True) if name == "UP a"]
        announced_at = node.discovery.announce(server_a, state="Terminating")
        for client in clients_on_a:
            assert [client.read_line(), client.read_line()] == ["MOVE", ""]
        assert time.time() - announced_at < 4.2
        lines_before = len(server_a.lines)
        assert {node.client().open_request() for _ in range(8)} == {"UP b"}
        assert not [line for at, line in server_a.lines[lines_before:] if at > announced_at + 2.0]


def test_silent_established_connection_is_migrated(tmp_path: Path) -> None:
    server = EndpointServer("a")
    with running_node(tmp_path, [server]) as node:
        client = node.client()
        assert client.open_request() == "UP a"
        server.established.clear()  # the server no longer echoes
        client.send("are you there")
        started_at = time.time()
        assert [client.read_line(), client.read_line()] == ["MOVE", ""]
        assert 3.0 < time.time() - started_at < 6.5


def test_migration_at_shutdown_waits_for_end_of_line(tmp_path: Path) -> None:
    server = EndpointServer("a")
    with running_node(tmp_path, [server]) as node:
        client = node.client()
        assert client.open_request() == "UP a"
        server.established[0].sendall(b"half of")
        wait_for(lambda: client.sock.recv(16, socket.MSG_PEEK) == b"half of")
        node.process.send_signal(signal.SIGTERM)
        wait_for(lambda: "shutdown started" in node.log.read_text())
        time.sleep(0.45)  # the balancer requests the migration in this time
        server.established[0].sendall(b" a line\r\n")
        assert [client.read_line(), client.read_line(), client.read_line()] == ["half of a line", "MOVE", ""]


def test_request_of_existing_connection_goes_to_its_endpoint(tmp_path: Path) -> None:
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [server_a, server_b]) as node:
        for index in range(6):
            assert (
                node.client().open_request(f"c=live,d=4294967,g=1,at=s-{'ab'[index % 2]}")
                == f"UP {'ab'[index % 2]}"
            )
        assert [len(server_a.open_lines), len(server_b.open_lines)] == [3, 3]


def test_sigterm_answers_and_migrates_all_clients_and_exits(tmp_path: Path) -> None:
    server = EndpointServer("a")
    with running_node(tmp_path, [server]) as node:
        clients = [node.client() for _ in range(10)]
        assert {client.open_request() for client in clients} == {"UP a"}
        started_at = time.time()
        node.process.send_signal(signal.SIGTERM)
        wait_for(lambda: "shutdown started" in node.log.read_text())
        # A request during the shutdown is rejected at once, and is not forwarded.
        late_client = node.client()
        assert re.fullmatch(r"BUSY \d+", late_client.open_request()) and late_client.read_line() == ""
        for client in clients:
            assert [client.read_line(), client.read_line()] == ["MOVE", ""]
        assert len(server.open_lines) == len(clients)
        assert node.process.wait(4) == 0
        assert time.time() - started_at < 3.7


def test_watch_is_repeated_at_once_and_after_invalid_answers(tmp_path: Path) -> None:
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [server_a]) as node:
        discovery = node.discovery
        discovery.raw_answers += [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2}"]
        discovery.raw_answers += [b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", b""]
        discovery.announce(server_a, weight=0.5)
        assert node.client().open_request() == "UP a"  # the last list is kept
        wait_for(lambda: not discovery.raw_answers)
        discovery.announce(server_b)
        wait_for(lambda: node.client().open_request() == "UP b")
        answered_at = discovery.answered_at[-2:]
        wait_for(
            lambda: all(
                any(0 <= call_time - answer_time < 0.2 for call_time, _ in list(discovery.calls))
                for answer_time in answered_at
            ),
            2.0,
        )


BAD_ENTRIES: list[dict[str, Any]] = [
    {"id": "s-x", "addr": "nowhere", "state": "Ready"},
    {"id": "s-x", "addr": "127.0.0.1:99999", "state": "Ready"},
    {"id": "s-x", "addr": "some.host:80", "state": "Ready"},
    {"id": "s-x", "state": "Ready"},
    {"id": "s-x", "addr": "127.0.0.1:1", "weight": -1},
    {"id": "s-x", "addr": "127.0.0.1:1", "weight": "heavy"},
    {"id": "", "addr": "127.0.0.1:1"},
    {"addr": "127.0.0.1:1"},
]


def test_invalid_entries_of_a_list_do_not_affect_valid_ones(tmp_path: Path) -> None:
    """Guards against an invalid entry that makes the whole list unreadable, or raises an exception when the
    endpoint is dialled."""
    server_a, server_b, server_c = EndpointServer("a"), EndpointServer("b"), EndpointServer("c")
    with running_node(tmp_path, [server_a, server_c]) as node:
        invalid_entry_c = server_c.entry | {"weight": None}  # its last valid entry stays in force
        listing = {"version": 9, "full": True, "servers": [*BAD_ENTRIES, server_b.entry, invalid_entry_c]}
        body = json.dumps(listing).encode()
        wait_for(lambda: any("index" in path for _, path in list(node.discovery.calls)))
        node.discovery.raw_answers.append(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        node.discovery.announce(server_a, weight=0.5)
        wait_for(lambda: node.counters().get("list_items_bad") == str(len(BAD_ENTRIES) + 1))
        assert {node.client().open_request() for _ in range(20)} == {"UP b", "UP c"}


@pytest.mark.parametrize(("byte_interval_s", "answer"), [(0.15, "UP a"), (9.0, "ERR")])
def test_slow_first_line_is_served_and_silent_client_is_rejected(
    tmp_path: Path, byte_interval_s: float, answer: str
) -> None:
    """Guards against one deadline of 2.5 s from the first byte for both kinds of client."""
    with running_node(tmp_path, [EndpointServer("a")]) as node:
        client, line, started_at = node.client(), b"OPEN 1 2 c=live,d=900\r\n", time.monotonic()
        for index in range(len(line)):
            client.sock.sendall(line[index : index + 1])
            if select.select([client.sock], [], [], byte_interval_s)[0]:
                break
        assert client.read_line() == answer
        elapsed_s = time.monotonic() - started_at
        assert 3.0 < elapsed_s < 6.0 if byte_interval_s < 1 else elapsed_s < 3.0 + SCHEDULING_SLACK_S


def test_migration_waits_for_end_of_slow_line(tmp_path: Path) -> None:
    """Guards against a connection that is reset 0.5 s after the migration, in the middle of a line."""
    server_a, admin_address = EndpointServer("a"), f"127.0.0.1:{free_port()}"
    with running_node(tmp_path, [server_a], console=admin_address) as node:
        client = node.client()
        assert client.open_request() == "UP a"
        server_a.established[0].sendall(b"half ")
        assert client.sock.recv(5) == b"half "
        assert call(admin_address, "out-of-service") == 200
        wait_for(lambda: node.counters().get("moved") == "1")
        time.sleep(0.7)
        server_a.established[0].sendall(b"a line\r\n")
        assert [client.read_line(), client.read_line(), client.read_line()] == ["a line", "MOVE", ""]


def test_overloaded_discovery_is_polled_less_often_and_for_changes_only(tmp_path: Path) -> None:
    """Guards against nodes that poll for the full list every 0.1 s, so that discovery answers none for
    seconds."""
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [server_a], settings=SETTINGS | {"MembershipMode": "on_request"}) as node:
        calls = node.discovery.calls
        wait_for(lambda: any("index" in path for _, path in list(calls)))
        calls_before = len(calls)
        node.discovery.raw_answers += [b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"] * 6
        with node.discovery.changed:
            node.discovery.version += 1
            node.discovery.changes.append((node.discovery.version, server_b.entry))
            node.discovery.changed.notify_all()
        wait_for(lambda: len(calls) >= calls_before + 7, 12.0)
        wait_for(lambda: node.client().open_request() == "UP b")
        later_calls = calls[calls_before:]
        assert all("index" in path for _, path in later_calls) and node.counters()["lists_busy"] == "6"
        # The sum of the intervals, each with the smallest jitter.
        assert later_calls[6][0] - later_calls[0][0] > 0.5 * (0.1 + 0.2 + 0.4 + 0.8 + 1.0 + 1.0)


def test_invalid_health_check_answers_leave_endpoint_in_use(tmp_path: Path) -> None:
    loads = ["x0=nan,inflight=-1", "x0=1e999", "", "x0=0.1\r\nPONG x0=9.0", "x" * 5000]
    servers = [EndpointServer(str(index), load=load) for index, load in enumerate(loads)]
    with running_node(tmp_path, servers) as node:
        answers: set[str] = set()

        def all_servers_answered() -> bool:
            answers.add(node.client().open_request())
            return len(answers) == len(loads)

        wait_for(all_servers_answered)


@pytest.mark.parametrize(
    ("text", "message_part"),
    [
        ("{", "is not a valid configuration"),
        ('{"name":"n","listen":"x","discovery":"127.0.0.1:1","settings":{}}', "listen"),
        (
            '{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{}}',
            "missing key 'Lanes'",
        ),
        ('{"name":"n","listen":"127.0.0.1:1"}', "discovery"),
        (None, "can't be read"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, text: str | None, message_part: str
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    command = [sys.executable, "-m", "gradegap", "serve", "--config", str(path)]
    completed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=20)
    assert completed.returncode != 0
    assert completed.stderr.count("\n") == 1 and message_part in completed.stderr
