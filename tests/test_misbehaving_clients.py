"""Clients with an invalid request or none: they are answered or closed in time, without effect on others."""

from __future__ import annotations

import re
import select
import socket
import threading
import time
from pathlib import Path

import pytest

from tests.support.node_environment import (
    SCHEDULING_SLACK_S,
    Client,
    EndpointServer,
    NodeEnvironment,
    hard_reset,
    new_request_id,
    running_node,
    wait_for,
)

ANSWER_LIMIT_S = 3.0 + SCHEDULING_SLACK_S


def open_files(node: NodeEnvironment) -> int:
    return len(list(Path(f"/proc/{node.process.pid}/fd").iterdir()))


def memory_mb(node: NodeEnvironment, kind: str = "VmHWM") -> float:
    text = Path(f"/proc/{node.process.pid}/status").read_text()
    match = re.search(rf"{kind}:\s+(\d+) kB", text)
    assert match is not None
    return int(match[1]) / 1024


@pytest.mark.parametrize("sent_bytes", [b"", b"OPEN 1 2 c=li", b"PING\r\nOP"])
def test_client_without_a_request_is_answered_within_three_seconds(tmp_path: Path, sent_bytes: bytes) -> None:
    """A connection without a request must not be held for long, such as 30 s, because it uses a
    descriptor."""
    with running_node(tmp_path, [EndpointServer("a")]) as node:
        client, pinged_client, started_at = node.client(), node.client(), time.time()
        pinged_client.send("PING")
        assert pinged_client.read_line() == "PONG"
        client.send(sent_bytes)
        assert not sent_bytes.startswith(b"PING") or client.read_line() == "PONG"
        assert [client.read_line(), client.read_line()] == ["ERR", ""] and (
            time.time() - started_at < ANSWER_LIMIT_S
        )
        assert int(node.counters()["late_first_lines"]) >= 1
        pinged_client.send("PING")  # a client that repeats PING on one connection may continue
        assert pinged_client.read_line() == "PONG"
        assert pinged_client.open_request() == "UP a"


def test_duplicate_id_of_an_open_request_is_rejected_and_not_forwarded(tmp_path: Path) -> None:
    """If the id were not checked, both requests would be forwarded."""
    endpoint = EndpointServer("a")
    with running_node(tmp_path, [endpoint]) as node:
        connection_id = new_request_id()
        first_client = node.client()
        assert first_client.open_request(ident=connection_id) == "UP a"
        for _ in range(3):
            client = node.client()
            assert [client.open_request(ident=connection_id), client.read_line()] == ["ERR", ""]
        assert len(endpoint.open_lines) == 1
        first_client.send("still mine")
        assert first_client.read_line() == "still mine"
        hard_reset(first_client.sock)
        wait_for(lambda: node.counters()["reqs"] == "0")
        assert node.client().open_request(ident=connection_id) == "UP a"


@pytest.mark.parametrize(
    ("fragments", "max_open_lines"),
    [
        ([b"OPEN %d 2 c=live,d=1500\r\n" * 300], 0),  # hundreds of requests at once
        ([b"PING\r\n" * 500], 0),
        ([b"OPEN %d 2 c=live,d=1500\r\n", b"OPEN 8 2 c=live,d=1500\r\n"], 1),
        ([b"OPEN %d 2 c=live,d=1500\r\n" + b"x" * 9000], 0),
        ([b"OPEN %d 2 c=live,d=1500\r\n", b"x" * 9000], 1),
    ],
)
def test_client_that_sends_more_before_its_answer_gets_a_failure(
    tmp_path: Path, fragments: list[bytes], max_open_lines: int
) -> None:
    endpoint = EndpointServer("a", "silence")
    with running_node(tmp_path, [endpoint]) as node:
        client = node.client()
        client.send(fragments[0].replace(b"%d", new_request_id().encode()))
        for fragment in fragments[1:]:
            wait_for(lambda: endpoint.open_lines)
            client.send(fragment)
        lines = client.file.read().decode().splitlines()
        assert lines[-1] == "ERR" and set(lines[:-1]) <= {"PONG"}
        wait_for(lambda: node.counters()["reqs"] == "0")
        assert len(endpoint.open_lines) <= max_open_lines
        # Its attempt is cancelled; the thread of the test server notices that slightly later.
        wait_for(lambda: len(endpoint.connection_ends) == len(endpoint.open_lines))


def test_endless_first_line_affects_neither_memory_nor_other_clients(tmp_path: Path) -> None:
    """The answer must not be lost to a reset, although the client reads only after it has sent everything."""
    with running_node(tmp_path, [EndpointServer("a")]) as node:
        memory_before_mb = memory_mb(node)
        answers: list[bytes] = []

        def send() -> None:
            sock = socket.create_connection(node.client().sock.getpeername(), timeout=8)
            sock.sendall(b"k" * 60_000_000)
            answers.append(sock.recv(100))

        threads = [threading.Thread(target=send) for _ in range(2)]
        for thread in threads:
            thread.start()
        slowest_answer_s = 0.0
        while any(thread.is_alive() for thread in threads):
            started_at = time.time()
            assert node.client().open_request() == "UP a"
            slowest_answer_s = max(slowest_answer_s, time.time() - started_at)
            threads[0].join(0.05)
        for thread in threads:
            thread.join()
        assert answers == [b"ERR\r\n"] * 2
        assert memory_mb(node) - memory_before_mb < 12 and slowest_answer_s < 0.3 + SCHEDULING_SLACK_S


def test_clients_with_a_request_get_descriptors_despite_idle_clients(tmp_path: Path) -> None:
    """Hundreds of connections without a request must not use up the descriptors that requests need."""
    limit = 160
    with running_node(tmp_path, [EndpointServer("a")], limits={"sockets": limit}) as node:
        idle_file_count = open_files(node)
        waiting_clients: list[Client] = []
        for index in range(400):
            waiting_clients.append(node.client())
            if index % 3 == 0:
                waiting_clients[-1].send("PING")
            if index % 3 == 1:
                waiting_clients[-1].send(b"OPEN 1 2 c=")
            if index % 20 == 0:
                requesting_client = node.client()
                assert requesting_client.open_request() == "UP a"
                requesting_client.send("hello")
                assert requesting_client.read_line() == "hello"
                assert open_files(node) <= limit
                hard_reset(requesting_client.sock)
        assert node.client().open_request() == "UP a"
        counters = node.counters()
        assert int(counters["evicted_pinged"]) > 50 and int(counters["evicted_unopened"]) > 50
        # Evicted clients were told when to retry.
        answered_clients = [
            client for client in waiting_clients[::3] if select.select([client.sock], [], [], 0)[0]
        ]
        assert any(re.match(rb"(PONG\r\n)?BUSY \d+", client.sock.recv(100)) for client in answered_clients)
        for client in waiting_clients:
            hard_reset(client.sock)
        wait_for(lambda: open_files(node) <= idle_file_count + 8)
        # The counter agrees with the number of open files.
        wait_for(lambda: int(node.counters()["sockets"].split("/")[0]) <= 8)


def test_established_sessions_are_kept_and_a_client_beyond_the_limit_is_rejected(
    tmp_path: Path,
) -> None:
    with running_node(tmp_path, [EndpointServer("a")], limits={"sockets": 160}) as node:
        answers = ["UP a"]
        clients = []
        while answers[-1] == "UP a":
            clients.append(node.client())
            answers.append(clients[-1].open_request())
        assert re.fullmatch(r"BUSY \d+", answers[-1]) and len(clients) > 40
        clients[0].send("hello")
        assert clients[0].read_line() == "hello" and open_files(node) <= 160
