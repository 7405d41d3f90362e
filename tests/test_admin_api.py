"""The admin API: a node drained, and endpoints disabled, by calls to a process that serves."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from gradegap.admin.http_api import CALLERS_MAX
from gradegap.metrics import Metrics
from gradegap.store.disabled_endpoints import DisabledEndpointsFile
from tests.support.node_environment import (
    SCHEDULING_SLACK_S,
    Client,
    EndpointServer,
    NodeEnvironment,
    free_port,
    running_node,
    wait_for,
)


@contextmanager
def served(
    tmp_path: Path, endpoint_servers: list[EndpointServer], **config: Any
) -> Iterator[tuple[NodeEnvironment, str]]:
    address = f"127.0.0.1:{free_port()}"
    with running_node(
        tmp_path, endpoint_servers, env={"TMPDIR": str(tmp_path)}, console=address, **config
    ) as w:
        yield w, address


def answer(address: str, *pieces: bytes, pause: float = 0.0) -> tuple[int, str]:
    """Status and body of what one connection is answered."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        for piece in pieces:
            sock.sendall(piece)
            time.sleep(pause)
        raw = sock.makefile("rb").read()
    head, _, body = raw.partition(b"\r\n\r\n")
    return int(head.split()[1]), body.decode()


def call(address: str, path: str, method: str = "PUT", most: float = 1.0) -> int:
    began = time.monotonic()
    status, _ = answer(address, f"{method} /control/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    assert time.monotonic() - began < most + SCHEDULING_SLACK_S
    return status


def test_calls_are_answered_by_what_they_are(tmp_path: Path) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (w, console):
        ready = b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        for raw, status in (
            (ready, 200),
            (b"GET http://x/control/ready?now HTTP/1.1\r\n\r\n", 200),
            (ready + ready, 200),
            (b"PUT /control/save-servers/s%2Da/offline HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 200),
            (b"PUT /control/save-servers/s-a/online HTTP/1.1\r\n\r\n", 200),
            (b"PUT /control/save-servers/s-a/online HTTP/1.1\r\n\r\n", 200),  # a repeat is harmless
            (b"PUT /control/save-servers/nobody/offline HTTP/1.1\r\n\r\n", 404),
            (b"PUT /control/save-servers/nobody/online HTTP/1.1\r\n\r\n", 404),
            (b"PUT /control/save-servers/%ff/online HTTP/1.1\r\n\r\n", 400),
            (b"PUT /control/save-servers//online HTTP/1.1\r\n\r\n", 400),
            (b"PUT /control/save-servers/s-a/away HTTP/1.1\r\n\r\n", 404),
            (b"GET / HTTP/1.1\r\n\r\n", 404),
            (b"PUT /control/ready HTTP/1.1\r\n\r\n", 405),
            (b"GET /control/out-of-service HTTP/1.1\r\n\r\n", 405),
            (b"OPEN 1 2 c=live,d=100\r\n\r\n", 400),
            (b"PUT /control/in-service HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", 413),
            (b"GET /" + b"x" * 9000, 413),
        ):
            assert answer(console, raw)[0] == status, raw
        assert answer(console, *(ready[k : k + 1] for k in range(len(ready))))[0] == 200
        assert answer(console, b"GET /control/rea")[0] == 408
        counted = w.counters()
        assert (counted["taken_out"], counted["called_back"]) == ("1", "1")


def test_callers_that_hold_their_connection_keep_nobody_out(tmp_path: Path) -> None:
    """Guards the descriptors and the calls of others: once nobody else had an answer."""
    with served(tmp_path, [EndpointServer("a")]) as (w, console):
        held = [Client(console) for _ in range(3 * CALLERS_MAX)]
        for each in held:
            each.send(b"PUT /control/in-ser")
        assert call(console, "ready", "GET") == 200
        assert call(console, "out-of-service") == 200
        assert w.client().open_request() == "UP a"
        wait_for(lambda: int(w.counters()["admin_callers_evicted"]) >= 2 * CALLERS_MAX)
        assert held[0].read_line().startswith("HTTP/1.1 503")


def test_nothing_is_forwarded_to_a_disabled_endpoint_until_it_is_enabled(tmp_path: Path) -> None:
    """Whatever discovery says in between: a Ready entry, a restart, a full list without it."""
    a, b = EndpointServer("a"), EndpointServer("b")
    with served(tmp_path, [a, b]) as (w, console):
        held = [w.client() for _ in range(8)]
        on_a = [c for c in held if c.open_request() == "UP a"]
        assert on_a
        assert call(console, "save-servers/s-a/offline") == 200
        assert call(console, "save-servers/s-a/offline") == 200
        said = time.monotonic()
        count = len(a.open_lines)
        for changes in ({}, {"state": "Gone"}, {"started_ms": time.time() * 1000}, {"state": "Ready"}):
            w.discovery.announce(a, **changes)
            assert {w.client().open_request(f"c=live,d=900,g={k}") for k in range(8)} == {"UP b"}
        assert [c.read_line() for c in on_a] == ["MOVE"] * len(on_a)  # told in time
        assert time.monotonic() - said < 4.0 + SCHEDULING_SLACK_S
        assert len(a.open_lines) == count
        w.discovery.announce(a, started_ms=(time.time() - 60) * 1000)
        assert call(console, "save-servers/s-a/online") == 200  # one call for two
        wait_for(lambda: w.client().open_request() == "UP a")


def test_a_node_out_of_service_empties_and_comes_back(tmp_path: Path) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (w, console):
        standing, kept = w.client(), w.client()
        assert standing.open_request() == "UP a"
        kept.send("PING")
        assert kept.read_line() == "PONG"
        called = time.monotonic()
        assert call(console, "out-of-service") == 200
        kept.send("PING")
        assert kept.read_line() == "ERR"
        late = w.client()
        assert [late.open_request(), kept.open_request()] == [
            "UP a",
            "UP a",
        ]  # who still comes is served, and moved
        assert [c.read_line() for c in (standing, late, kept)] == ["MOVE"] * 3
        assert time.monotonic() - called < 4.0
        assert w.client().open_request() == "UP a"
        assert call(console, "in-service") == 200 and w.is_ready()
        stays = w.client()
        assert stays.open_request() == "UP a"
        for way in ("out-of-service", "in-service") * 5:  # quick alternation
            assert call(console, way) == 200
        assert w.is_ready() and stays.receives_nothing(4.0)


def test_sigterm_ends_a_node_that_is_out_of_service(tmp_path: Path) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (w, console):
        c = w.client()
        assert c.open_request() == "UP a"
        assert call(console, "out-of-service") == 200
        w.process.terminate()
        assert [c.read_line(), c.read_line()] == ["MOVE", ""]
        assert w.process.wait(5) == 0


@pytest.mark.parametrize("damage", [b"", b"\0\0\0\0junk", None])
def test_a_snapshot_is_read_whole_or_not_at_all(tmp_path: Path, damage: bytes | None) -> None:
    metrics, path = Metrics(), tmp_path / "s.snapshot"
    assert DisabledEndpointsFile(path, metrics).read() == {}
    DisabledEndpointsFile(path, metrics).write({"s-a": 17.0})
    if damage is None:
        assert DisabledEndpointsFile(path, metrics).read() == {"s-a": 17.0}
    else:
        path.write_bytes(damage)
        assert DisabledEndpointsFile(path, metrics).read() == {} and metrics.counts["snapshots_damaged"] == 1
    assert [kept.name for kept in tmp_path.iterdir()] == ["s.snapshot"]


def test_a_process_started_again_keeps_endpoints_disabled(tmp_path: Path) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    with served(tmp_path, [a, b]) as (w, console):
        assert call(console, "save-servers/s-a/offline") == 200
    with served(tmp_path, [a, b], listen=w.address) as (w, console):
        assert {w.client().open_request(f"c=live,d=900,g={k}") for k in range(8)} == {"UP b"}
        assert call(console, "save-servers/s-a/online") == 200
