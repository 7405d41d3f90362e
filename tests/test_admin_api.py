"""The admin API of a running node: readiness, draining, and disabling endpoints."""

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
    ) as environment:
        yield environment, address


def answer(address: str, *pieces: bytes, pause: float = 0.0) -> tuple[int, str]:
    """Send the pieces on one connection; returns the status and the body of the answer."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        for piece in pieces:
            sock.sendall(piece)
            time.sleep(pause)
        raw = sock.makefile("rb").read()
    head, _, body = raw.partition(b"\r\n\r\n")
    return int(head.split()[1]), body.decode()


def call(address: str, path: str, method: str = "PUT", most: float = 1.0) -> int:
    started_at = time.monotonic()
    status, _ = answer(address, f"{method} /control/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    assert time.monotonic() - started_at < most + SCHEDULING_SLACK_S
    return status


def test_valid_and_invalid_calls_get_their_status(tmp_path: Path) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (environment, console):
        ready = b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        for raw, status in (
            (ready, 200),
            (b"GET http://x/control/ready?now HTTP/1.1\r\n\r\n", 200),
            (ready + ready, 200),
            (b"PUT /control/save-servers/s%2Da/offline HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 200),
            (b"PUT /control/save-servers/s-a/online HTTP/1.1\r\n\r\n", 200),
            (b"PUT /control/save-servers/s-a/online HTTP/1.1\r\n\r\n", 200),  # a repeated call succeeds
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
        assert answer(console, *(ready[offset : offset + 1] for offset in range(len(ready))))[0] == 200
        assert answer(console, b"GET /control/rea")[0] == 408
        counters = environment.counters()
        assert (counters["taken_out"], counters["called_back"]) == ("1", "1")


def test_idle_connections_are_evicted_and_other_callers_are_answered(tmp_path: Path) -> None:
    """Guards against callers that keep connections open, use up the descriptors and block other calls."""
    with served(tmp_path, [EndpointServer("a")]) as (environment, console):
        held = [Client(console) for _ in range(3 * CALLERS_MAX)]
        for each in held:
            each.send(b"PUT /control/in-ser")
        assert call(console, "ready", "GET") == 200
        assert call(console, "out-of-service") == 200
        assert environment.client().open_request() == "UP a"
        wait_for(lambda: int(environment.counters()["admin_callers_evicted"]) >= 2 * CALLERS_MAX)
        assert held[0].read_line().startswith("HTTP/1.1 503")


def test_disabled_endpoint_gets_no_request_until_it_is_enabled(tmp_path: Path) -> None:
    """Discovery meanwhile sends the endpoint as Ready, as Gone, and with a later start time."""
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with served(tmp_path, [server_a, server_b]) as (environment, console):
        held = [environment.client() for _ in range(8)]
        on_a = [client for client in held if client.open_request() == "UP a"]
        assert on_a
        assert call(console, "save-servers/s-a/offline") == 200
        assert call(console, "save-servers/s-a/offline") == 200
        disabled_at = time.monotonic()
        open_count = len(server_a.open_lines)
        for changes in ({}, {"state": "Gone"}, {"started_ms": time.time() * 1000}, {"state": "Ready"}):
            environment.discovery.announce(server_a, **changes)
            assert {environment.client().open_request(f"c=live,d=900,g={group}") for group in range(8)} == {
                "UP b"
            }
        assert [client.read_line() for client in on_a] == ["MOVE"] * len(on_a)  # migrated within the bound
        assert time.monotonic() - disabled_at < 4.0 + SCHEDULING_SLACK_S
        assert len(server_a.open_lines) == open_count
        environment.discovery.announce(server_a, started_ms=(time.time() - 60) * 1000)
        assert call(console, "save-servers/s-a/online") == 200  # one call reverts two
        wait_for(lambda: environment.client().open_request() == "UP a")


def test_node_taken_out_of_service_migrates_clients_and_returns_to_service(tmp_path: Path) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (environment, console):
        established, idle = environment.client(), environment.client()
        assert established.open_request() == "UP a"
        idle.send("PING")
        assert idle.read_line() == "PONG"
        drained_at = time.monotonic()
        assert call(console, "out-of-service") == 200
        idle.send("PING")
        assert idle.read_line() == "ERR"
        late = environment.client()
        assert [late.open_request(), idle.open_request()] == [
            "UP a",
            "UP a",
        ]  # later clients are served, then migrated
        assert [client.read_line() for client in (established, late, idle)] == ["MOVE"] * 3
        assert time.monotonic() - drained_at < 4.0
        assert environment.client().open_request() == "UP a"
        assert call(console, "in-service") == 200 and environment.is_ready()
        later_client = environment.client()
        assert later_client.open_request() == "UP a"
        for service_state in ("out-of-service", "in-service") * 5:  # rapid alternation
            assert call(console, service_state) == 200
        assert environment.is_ready() and later_client.receives_nothing(4.0)


def test_sigterm_ends_node_that_is_out_of_service(tmp_path: Path) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (environment, console):
        client = environment.client()
        assert client.open_request() == "UP a"
        assert call(console, "out-of-service") == 200
        environment.process.terminate()
        assert [client.read_line(), client.read_line()] == ["MOVE", ""]
        assert environment.process.wait(5) == 0


@pytest.mark.parametrize("damage", [b"", b"\0\0\0\0junk", None])
def test_damaged_snapshot_of_disabled_endpoints_is_ignored_and_counted(
    tmp_path: Path, damage: bytes | None
) -> None:
    metrics, path = Metrics(), tmp_path / "s.snapshot"
    assert DisabledEndpointsFile(path, metrics).read() == {}
    DisabledEndpointsFile(path, metrics).write({"s-a": 17.0})
    if damage is None:
        assert DisabledEndpointsFile(path, metrics).read() == {"s-a": 17.0}
    else:
        path.write_bytes(damage)
        assert DisabledEndpointsFile(path, metrics).read() == {} and metrics.counts["snapshots_damaged"] == 1
    assert [entry.name for entry in tmp_path.iterdir()] == ["s.snapshot"]


def test_restarted_node_keeps_endpoints_disabled(tmp_path: Path) -> None:
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with served(tmp_path, [server_a, server_b]) as (environment, console):
        assert call(console, "save-servers/s-a/offline") == 200
    with served(tmp_path, [server_a, server_b], listen=environment.address) as (environment, console):
        assert {environment.client().open_request(f"c=live,d=900,g={group}") for group in range(8)} == {
            "UP b"
        }
        assert call(console, "save-servers/s-a/online") == 200
