"""Clients with a bad request, or with none: each is answered or closed in time, and others notice nothing."""

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

IN_TIME = 3.0 + SCHEDULING_SLACK_S


def open_files(w: NodeEnvironment) -> int:
    return len(list(Path(f"/proc/{w.process.pid}/fd").iterdir()))


def memory_mb(w: NodeEnvironment, kind: str = "VmHWM") -> float:
    text = Path(f"/proc/{w.process.pid}/status").read_text()
    found = re.search(rf"{kind}:\s+(\d+) kB", text)
    assert found is not None
    return int(found[1]) / 1024


@pytest.mark.parametrize("said", [b"", b"OPEN 1 2 c=li", b"PING\r\nOP"])
def test_a_client_without_a_request_is_answered_within_three_seconds(tmp_path: Path, said: bytes) -> None:
    """Such connections were once held for 30 s."""
    with running_node(tmp_path, [EndpointServer("a")]) as w:
        c, pinged, began = w.client(), w.client(), time.time()
        pinged.send("PING")
        assert pinged.read_line() == "PONG"
        c.send(said)
        assert not said.startswith(b"PING") or c.read_line() == "PONG"
        assert [c.read_line(), c.read_line()] == ["ERR", ""] and time.time() - began < IN_TIME
        assert int(w.counters()["late_first_lines"]) >= 1
        pinged.send("PING")  # what asks for health on one connection may go on
        assert pinged.read_line() == "PONG"
        assert pinged.open_request() == "UP a"


def test_the_id_of_an_open_request_is_rejected_and_never_reaches_an_endpoint(tmp_path: Path) -> None:
    """The id was once not looked at, and both were served."""
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        ident = new_request_id()
        first = w.client()
        assert first.open_request(ident=ident) == "UP a"
        for _ in range(3):
            c = w.client()
            assert [c.open_request(ident=ident), c.read_line()] == ["ERR", ""]
        assert len(b.open_lines) == 1
        first.send("still mine")
        assert first.read_line() == "still mine"
        hard_reset(first.sock)
        wait_for(lambda: w.counters()["reqs"] == "0")
        assert w.client().open_request(ident=ident) == "UP a"


@pytest.mark.parametrize(
    ("pieces", "opens"),
    [
        ([b"OPEN %d 2 c=live,d=1500\r\n" * 300], 0),  # hundreds of commands at one time
        ([b"PING\r\n" * 500], 0),
        ([b"OPEN %d 2 c=live,d=1500\r\n", b"OPEN 8 2 c=live,d=1500\r\n"], 1),
        ([b"OPEN %d 2 c=live,d=1500\r\n" + b"x" * 9000], 0),
        ([b"OPEN %d 2 c=live,d=1500\r\n", b"x" * 9000], 1),
    ],
)
def test_a_client_that_does_not_wait_for_its_answer_gets_a_failure(
    tmp_path: Path, pieces: list[bytes], opens: int
) -> None:
    b = EndpointServer("a", "silence")
    with running_node(tmp_path, [b]) as w:
        c = w.client()
        c.send(pieces[0].replace(b"%d", new_request_id().encode()))
        for piece in pieces[1:]:
            wait_for(lambda: b.open_lines)
            c.send(piece)
        lines = c.file.read().decode().splitlines()
        assert lines[-1] == "ERR" and set(lines[:-1]) <= {"PONG"}
        wait_for(lambda: w.counters()["reqs"] == "0")
        assert len(b.open_lines) <= opens
        # What was under way for it is given up; the server's own thread hears of that a little later.
        wait_for(lambda: len(b.connection_ends) == len(b.open_lines))


def test_one_that_sends_megabytes_costs_neither_memory_nor_others(tmp_path: Path) -> None:
    """The answer must not be lost to a reset, though the client reads it only after all is sent."""
    with running_node(tmp_path, [EndpointServer("a")]) as w:
        before = memory_mb(w)
        answers: list[bytes] = []

        def send() -> None:
            sock = socket.create_connection(w.client().sock.getpeername(), timeout=8)
            sock.sendall(b"k" * 60_000_000)
            answers.append(sock.recv(100))

        threads = [threading.Thread(target=send) for _ in range(2)]
        for each in threads:
            each.start()
        slowest = 0.0
        while any(each.is_alive() for each in threads):
            began = time.time()
            assert w.client().open_request() == "UP a"
            slowest = max(slowest, time.time() - began)
            threads[0].join(0.05)
        for each in threads:
            each.join()
        assert answers == [b"ERR\r\n"] * 2
        assert memory_mb(w) - before < 12 and slowest < 0.3 + SCHEDULING_SLACK_S


def test_descriptors_are_kept_for_clients_with_a_request(tmp_path: Path) -> None:
    """Hundreds of connections that say nothing once took every descriptor, and who asked got none."""
    limit = 160
    with running_node(tmp_path, [EndpointServer("a")], limits={"sockets": limit}) as w:
        idle = open_files(w)
        crowd: list[Client] = []
        for k in range(400):
            crowd.append(w.client())
            if k % 3 == 0:
                crowd[-1].send("PING")
            if k % 3 == 1:
                crowd[-1].send(b"OPEN 1 2 c=")
            if k % 20 == 0:
                good = w.client()
                assert good.open_request() == "UP a"
                good.send("hello")
                assert good.read_line() == "hello"
                assert open_files(w) <= limit
                hard_reset(good.sock)
        assert w.client().open_request() == "UP a"
        counted = w.counters()
        assert int(counted["evicted_pinged"]) > 50 and int(counted["evicted_unopened"]) > 50
        # Those that made way were told when to come back.
        told = [c for c in crowd[::3] if select.select([c.sock], [], [], 0)[0]]
        assert any(re.match(rb"(PONG\r\n)?BUSY \d+", c.sock.recv(100)) for c in told)
        for c in crowd:
            hard_reset(c.sock)
        wait_for(lambda: open_files(w) <= idle + 8)
        wait_for(lambda: int(w.counters()["sockets"].split("/")[0]) <= 8)  # and the count is true


def test_established_sessions_that_fill_the_node_are_kept_and_the_next_is_rejected(
    tmp_path: Path,
) -> None:
    with running_node(tmp_path, [EndpointServer("a")], limits={"sockets": 160}) as w:
        said = ["UP a"]
        clients = []
        while said[-1] == "UP a":
            clients.append(w.client())
            said.append(clients[-1].open_request())
        assert re.fullmatch(r"BUSY \d+", said[-1]) and len(clients) > 40
        clients[0].send("hello")
        assert clients[0].read_line() == "hello" and open_files(w) <= 160
