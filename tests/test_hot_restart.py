"""Hot restart: a second process of a node replaces the first while clients stay connected."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.support.node_environment import (
    SCHEDULING_SLACK_S,
    EndpointServer,
    NodeEnvironment,
    free_port,
    running_node,
    wait_for,
)
from tests.test_admin_api import call, served


@contextmanager
def running_successor(
    first: NodeEnvironment, shared_folder: Path | None = None, operator: str | None = None
) -> Iterator[tuple[NodeEnvironment, str]]:
    """A second process of a running node, which differs only in its admin address; yields that too."""
    admin_address = f"127.0.0.1:{free_port()}"
    folder = first.config.parent / "second"
    folder.mkdir()
    environment_variables = {
        "TMPDIR": str(shared_folder or first.config.parent),
        "NODE_DISCOVERY": first.discovery.address,
    }
    with running_node(
        folder,
        first.endpoint_servers,
        operator,
        env=environment_variables,
        console=admin_address,
        listen=first.address,
    ) as environment:
        yield environment, admin_address


def is_admin_ready(admin_address: str) -> bool:
    try:
        return call(admin_address, "ready", "GET") == 200
    except OSError:
        return False


def test_clients_stay_connected_during_hot_restart(tmp_path: Path) -> None:
    """Guards against a second process that exits because its address is in use, while the first one closes
    its connections."""
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with served(tmp_path, [server_a, server_b]) as (first, _old):
        established = [first.client() for _ in range(30)]
        for client in established:
            assert client.open_request().startswith("UP")
        open_count = len(server_a.open_lines) + len(server_b.open_lines)
        silent, pinged, partial, waiting = (first.client() for _ in range(4))
        pinged.send("PING")
        assert pinged.read_line() == "PONG"
        partial.send(b"OPEN p1 k c=live,")
        established[0].send(b"half a ")
        wait_for(lambda: int(first.counters()["open_sessions"]) >= 34)
        server_a.answer = server_b.answer = "silence"
        waiting.send(b"OPEN p2 k c=live,d=1500\r\n")
        wait_for(lambda: len(server_a.open_lines) + len(server_b.open_lines) > open_count)
        with running_successor(first) as (second, second_admin):
            wait_for(lambda: is_admin_ready(second_admin))
            wait_for(lambda: second.counters().get("established_sessions_adopted") == "30")
            assert waiting.read_line().startswith("BUSY")  # from the process that received the request
            server_a.answer = server_b.answer = "UP {name}"
            established[0].send(b"line\r\n")
            assert established[0].read_line() == "half a line"
            for client in established:
                client.send("still there")
                assert client.read_line() == "still there"
            partial.send(b"d=1500\r\n")
            pinged.send("PING")
            assert pinged.read_line() == "PONG"
            for client in (silent, pinged):
                assert client.open_request().startswith("UP")
            assert partial.read_line().startswith("UP")
            assert first.client().open_request().startswith("UP")
            first.process.terminate()
            assert first.process.wait(5) == 0
            for client in [*established, silent, pinged, partial]:
                client.send("and now")
                assert client.read_line() == "and now"
            assert (
                len([line for line in server_a.lines + server_b.lines if line[1].startswith("OPEN")])
                <= open_count + 8
            )
            # The end of either side is forwarded to the other side.
            established[1].sock.shutdown(socket.SHUT_WR)
            assert established[1].read_line() == ""
            second.process.send_signal(signal.SIGTERM)
            assert [silent.read_line(), silent.read_line()] == ["MOVE", ""]
            assert second.process.wait(5) == 0


def test_successor_is_itself_succeeded(tmp_path: Path) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (first, _):
        client = first.client()
        assert client.open_request() == "UP a"
        with running_successor(first) as (second, second_admin):
            wait_for(lambda: is_admin_ready(second_admin))
            wait_for(lambda: second.counters().get("established_sessions_adopted") == "1")
            first.process.terminate()
            assert first.process.wait(5) == 0
            with running_successor(second, tmp_path) as (third, third_admin):
                wait_for(lambda: is_admin_ready(third_admin))
                wait_for(lambda: third.counters().get("established_sessions_adopted") == "1")
                second.process.terminate()
                assert second.process.wait(5) == 0
                client.send("here")
                assert client.read_line() == "here"


@pytest.mark.parametrize("at_first", [True, False])
def test_operation_at_either_admin_api_takes_effect_in_both_processes(tmp_path: Path, at_first: bool) -> None:
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with served(tmp_path, [server_a, server_b]) as (first, first_admin):
        assert call(first_admin, "save-servers/s-a/offline") == 200
        with running_successor(first) as (_second, second_admin):
            wait_for(lambda: first.counters().get("hot_restarts") == "1")
            admin_address = first_admin if at_first else second_admin
            assert {first.client().open_request(f"c=live,d=900,g={index}") for index in range(8)} == {"UP b"}
            assert call(admin_address, "save-servers/s-a/online") == 200
            assert call(admin_address, "save-servers/s-b/offline") == 200
            assert {first.client().open_request(f"c=live,d=900,g={index}") for index in range(8)} == {"UP a"}
            assert call(admin_address, "out-of-service") == 200
            client = first.client()
            client.send("PING")
            assert client.read_line() == "ERR"
            assert call(admin_address, "in-service") == 200 and first.is_ready()


@pytest.mark.parametrize("failure_time", ["before", "after"])
def test_predecessor_serves_again_after_successor_dies(tmp_path: Path, failure_time: str) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (first, first_admin):
        client = first.client()
        assert client.open_request() == "UP a"
        with running_successor(first) as (second, _second_admin):
            if failure_time == "after":
                wait_for(lambda: first.counters().get("established_sessions_passed") == "1")
            second.process.kill()
            second.process.wait()
            wait_for(lambda: first.is_ready() and first.client().open_request() == "UP a")
            assert is_admin_ready(first_admin)
            with pytest.raises(AssertionError):
                second.is_ready()
            second.process.returncode = 0
        if failure_time == "before":
            assert client.receives_nothing(0.1) or client.read_line() == ""


def test_successor_continues_after_predecessor_dies(tmp_path: Path) -> None:
    server = EndpointServer("a")
    with served(tmp_path, [server]) as (first, _):
        client = first.client()
        assert client.open_request() == "UP a"
        with running_successor(first) as (second, second_admin):
            wait_for(lambda: is_admin_ready(second_admin))
            wait_for(lambda: second.counters().get("established_sessions_adopted") == "1")
            first.process.kill()
            first.process.wait()
            client.send("here")
            assert client.read_line() == "here"
            assert second.client().open_request() == "UP a" and is_admin_ready(second_admin)
            first.process.returncode = 0


def test_stale_hot_restart_socket_is_replaced(tmp_path: Path) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (first, _):
        pass
    (socket_path,) = tmp_path.glob("*.sock")
    assert socket_path.is_socket()
    with served(tmp_path, [EndpointServer("a")], listen=first.address) as (second, admin_address):
        assert second.client().open_request() == "UP a" and is_admin_ready(admin_address)


def test_drain_continues_during_hot_restart(tmp_path: Path) -> None:
    """The predecessor does not transfer sessions of a draining endpoint, but migrates them itself."""
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with served(tmp_path, [server_a]) as (first, first_admin):
        client = first.client()
        assert client.open_request() == "UP a"
        assert call(first_admin, "save-servers/s-a/offline") == 200
        started_at = time.monotonic()
        with running_successor(first) as (second, _):
            assert client.read_line() == "MOVE"
            assert time.monotonic() - started_at < 4.0 + SCHEDULING_SLACK_S
            open_count = len(server_a.open_lines)
            assert (
                second.client().open_request("c=live,d=900").startswith("BUSY")
                and len(server_a.open_lines) == open_count
            )
    del server_b
