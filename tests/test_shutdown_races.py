"""Races of a node's shutdown and of closing connections, each with an order of events that the test enforces.

A test server delays its answer until the other event has happened, or data are written to a socket before the
node's event loop can read it.
"""

from __future__ import annotations

import json
import signal
import socket
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from tests.support.node_environment import (
    SCHEDULING_SLACK_S,
    SETTINGS,
    EndpointServer,
    NodeEnvironment,
    free_port,
    hard_reset,
    running_node,
    wait_for,
)
from tests.test_admin_api import call

SLOW_CLASS: dict[str, Any] = {
    "Name": "slow",
    "AimNs": 700_000_000,
    "HardLimitNs": 6_000_000_000,
    "Points": 1.0,
}
SETTINGS_WITH_SLOW_CLASS = SETTINGS | {
    "Lanes": [*SETTINGS["Lanes"], SLOW_CLASS],
    "FamilyInfo": {"MessageAimNs": [50_000_000, 50_000_000], "Mode": "proxy", "TenantQuotaConnections": []},
}


def send_sigterm(node: NodeEnvironment) -> float:
    """Send SIGTERM, wait until the node has handled it, and return the time."""
    node.process.send_signal(signal.SIGTERM)
    wait_for(lambda: 'event="shutdown started"' in node.log.read_text())
    return time.time()


# Shutdown


def test_request_with_a_wait_beyond_the_shutdown_is_answered_before_exit(tmp_path: Path) -> None:
    """The request's class allows a wait of 6 s and its endpoint hangs, while the platform kills the node
    3.7 s after SIGTERM. The node must answer the request before it exits at 3.5 s, instead of closing the
    connection without an answer."""
    endpoint = EndpointServer("a", "silence")
    with running_node(tmp_path, [endpoint], settings=SETTINGS_WITH_SLOW_CLASS) as node:
        client = node.client()
        client.send("OPEN 1 2 c=slow,d=6000")
        wait_for(lambda: endpoint.open_lines)
        stopped_at = send_sigterm(node)
        assert client.read_line().startswith("BUSY ")
        assert client.read_line() == ""
        # Answered with the last migrations, which are due 3 s after SIGTERM, and not only at the exit.
        assert time.time() - stopped_at < 3.3
        assert node.process.wait(5) == 0


def test_first_lines_after_sigterm_are_rejected_at_once(tmp_path: Path) -> None:
    """On new and on idle connections. A forwarded request would be established and migrated at once."""
    endpoint = EndpointServer("a")
    with running_node(tmp_path, [endpoint]) as node:
        idle_client, pinged_client = node.client(), node.client()
        pinged_client.send("PING")
        assert pinged_client.read_line() == "PONG"
        send_sigterm(node)
        for client in (idle_client, pinged_client, node.client()):
            started_at = time.time()
            answer = client.open_request()
            assert answer.startswith("BUSY ") and 0 < int(answer.split(" ")[1]) <= 400
            assert time.time() - started_at < 0.1 + SCHEDULING_SLACK_S
            assert client.read_line() == ""
        assert not endpoint.open_lines
        assert node.process.wait(5) == 0


def test_request_waiting_for_a_health_check_at_sigterm_is_rejected_at_once(tmp_path: Path) -> None:
    """The endpoints do not answer health checks. A node that shuts down must not forward the waiting request
    later."""
    endpoint_a, endpoint_b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [endpoint_a, endpoint_b], settings=SETTINGS_WITH_SLOW_CLASS) as node:
        for endpoint in (endpoint_a, endpoint_b):
            endpoint.ignores_health_checks.set()
        client = node.client()
        client.send("OPEN 1 2 c=slow,d=6000")
        wait_for(
            lambda: any(
                line == "STATS" for endpoint in (endpoint_a, endpoint_b) for _, line in endpoint.lines
            )
        )
        stopped_at = send_sigterm(node)
        assert client.read_line().startswith("BUSY ")
        assert time.time() - stopped_at < 0.1 + SCHEDULING_SLACK_S
        assert not endpoint_a.open_lines and not endpoint_b.open_lines


def test_idle_connection_is_answered_before_it_is_closed_by_a_shutdown(tmp_path: Path) -> None:
    """A client may write a request at the moment in which the node closes the connection. It must read an
    answer and a regular end, not a reset or an end without an answer."""
    with running_node(tmp_path, [EndpointServer("a")]) as node:
        idle_clients = [node.client() for _ in range(3)]
        idle_clients[1].send("PING")
        assert idle_clients[1].read_line() == "PONG"
        idle_clients[2].send(b"OPEN 1 2 c=li")  # an incomplete first line
        stopped_at = send_sigterm(node)
        for client in idle_clients:
            assert client.read_line().startswith("BUSY ")
            client.send("OPEN 9 2 c=live,d=1000")
        for client in idle_clients:
            assert client.read_line() == ""
        assert node.process.wait(5) == 0
        assert 0.6 < time.time() - stopped_at < 2.5


def test_attempt_in_progress_at_sigterm_is_established_and_migrated(tmp_path: Path) -> None:
    """The endpoint's `UP` and the signal arrive in the same loop iteration, as far as two processes allow:
    the endpoint answers as soon as the node has handled the signal."""
    endpoint = EndpointServer("a")
    endpoint.open_answers_allowed.clear()
    with running_node(tmp_path, [endpoint]) as node:
        client = node.client()
        client.send("OPEN 1 2 c=live,d=1500")
        wait_for(lambda: endpoint.open_lines)
        send_sigterm(node)
        endpoint.open_answers_allowed.set()
        assert [client.read_line(), client.read_line(), client.read_line()] == ["UP a", "MOVE", ""]
        assert node.process.wait(5) == 0


@pytest.mark.parametrize("second_signal", [signal.SIGTERM, signal.SIGHUP])
def test_second_signal_does_not_affect_a_shutdown(tmp_path: Path, second_signal: signal.Signals) -> None:
    endpoint = EndpointServer("a")
    with running_node(tmp_path, [endpoint]) as node:
        client = node.client()
        assert client.open_request() == "UP a"
        stopped_at = send_sigterm(node)
        config = json.loads(node.config.read_text())
        node.config.write_text(json.dumps(config | {"settings": SETTINGS_WITH_SLOW_CLASS}))
        node.process.send_signal(second_signal)
        assert [client.read_line(), client.read_line()] == ["MOVE", ""]
        assert node.process.wait(5) == 0
        assert time.time() - stopped_at < 2.5
        assert node.log.read_text().count('event="shutdown started"') == 1


def test_sigterm_before_readiness_stops_the_node_gracefully(tmp_path: Path) -> None:
    """The endpoint list has not arrived yet; a request is answered nevertheless."""
    endpoint = EndpointServer("a")
    node = NodeEnvironment(tmp_path, [endpoint], discovery="127.0.0.1:9")
    try:
        wait_for(lambda: "event=listening" in node.log.read_text(), 15.0)
        client = node.client()
        send_sigterm(node)
        assert client.open_request().startswith("BUSY ")
        assert node.process.wait(5) == 0
    finally:
        node.process.kill()
        node.process.wait()


# Closing of connections


class NonReadingEndpoint(EndpointServer):
    """A save server that answers UP and reads nothing afterwards."""

    def _serve(self, sock: socket.socket) -> None:
        file = sock.makefile("rb", buffering=0)
        for line in file:
            if line.startswith(b"STATS"):
                sock.sendall(f"PONG {self.load}\r\n".encode())
            else:
                self.established.append(sock)
                sock.sendall(b"UP a\r\n")
                threading.Event().wait()


def test_endpoint_that_stops_reading_does_not_keep_a_closed_clients_descriptor(
    tmp_path: Path,
) -> None:
    """The client's data cannot be sent to the endpoint, so a close that waits for that would never happen."""
    with running_node(tmp_path, [NonReadingEndpoint("a")]) as node:
        client = node.client()
        assert client.open_request() == "UP a"
        client.sock.settimeout(0.5)
        with pytest.raises(TimeoutError):
            while True:
                client.sock.sendall(b"x" * 1000 + b"\r\n")
        hard_reset(client.sock)
        wait_for(lambda: node.counters()["open_sessions"] == "0", 8.0)  # migrated as unresponsive
        # The remaining sockets are the discovery poll and the health check connection.
        wait_for(lambda: node.counters()["sockets"].startswith("2/"), 5.0)


def test_endpoint_end_within_the_line_a_migration_waits_for_ends_the_client_at_once(
    tmp_path: Path,
) -> None:
    """The client must be disconnected at once, not reset after the timeout for the rest of the line."""
    endpoint, admin_address = EndpointServer("a"), f"127.0.0.1:{free_port()}"
    with running_node(tmp_path, [endpoint], console=admin_address) as node:
        client = node.client()
        assert client.open_request() == "UP a"
        endpoint.established[0].sendall(b"half")
        assert client.sock.recv(4) == b"half"
        assert call(admin_address, "out-of-service") == 200
        wait_for(lambda: node.counters().get("moved") == "1")
        closed_at = time.time()
        endpoint.established[0].shutdown(socket.SHUT_RDWR)
        assert client.read_line() == ""
        assert time.time() - closed_at < 0.3 + SCHEDULING_SLACK_S
