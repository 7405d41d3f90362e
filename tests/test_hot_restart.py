"""A second process of a node takes the place of the first, while clients stay connected."""

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
def second(
    w: NodeEnvironment, shared: Path | None = None, operator: str | None = None
) -> Iterator[tuple[NodeEnvironment, str]]:
    """The platform starts the program once more, with another admin address and all else the same."""
    admin_address = f"127.0.0.1:{free_port()}"
    folder = w.config.parent / "second"
    folder.mkdir()
    extra = {"TMPDIR": str(shared or w.config.parent), "NODE_DISCOVERY": w.discovery.address}
    with running_node(
        folder, w.endpoint_servers, operator, env=extra, console=admin_address, listen=w.address
    ) as n:
        yield n, admin_address


def ready(admin_address: str) -> bool:
    try:
        return call(admin_address, "ready", "GET") == 200
    except OSError:
        return False


def test_clients_stay_connected_while_a_process_takes_over(tmp_path: Path) -> None:
    """The second process once ended, as the address was taken, and the first cut off what it held."""
    a, b = EndpointServer("a"), EndpointServer("b")
    with served(tmp_path, [a, b]) as (w, _old):
        established = [w.client() for _ in range(30)]
        for c in established:
            assert c.open_request().startswith("UP")
        opens = len(a.open_lines) + len(b.open_lines)
        silent, pinged, part, slow = (w.client() for _ in range(4))
        pinged.send("PING")
        assert pinged.read_line() == "PONG"
        part.send(b"OPEN p1 k c=live,")
        established[0].send(b"half a ")
        wait_for(lambda: int(w.counters()["open_sessions"]) >= 34)
        a.answer = b.answer = "silence"
        slow.send(b"OPEN p2 k c=live,d=1500\r\n")
        wait_for(lambda: len(a.open_lines) + len(b.open_lines) > opens)
        with second(w) as (n, second_admin):
            wait_for(lambda: ready(second_admin))
            wait_for(lambda: n.counters().get("established_sessions_adopted") == "30")
            assert slow.read_line().startswith("BUSY")  # by the process that took it
            a.answer = b.answer = "UP {name}"
            established[0].send(b"line\r\n")
            assert established[0].read_line() == "half a line"
            for c in established:
                c.send("still there")
                assert c.read_line() == "still there"
            part.send(b"d=1500\r\n")
            pinged.send("PING")
            assert pinged.read_line() == "PONG"
            for c in (silent, pinged):
                assert c.open_request().startswith("UP")
            assert part.read_line().startswith("UP")
            assert w.client().open_request().startswith("UP")
            w.process.terminate()
            assert w.process.wait(5) == 0
            for c in [*established, silent, pinged, part]:
                c.send("and now")
                assert c.read_line() == "and now"
            assert len([x for x in a.lines + b.lines if x[1].startswith("OPEN")]) <= opens + 8
            # What ends on either side ends on the other.
            established[1].sock.shutdown(socket.SHUT_WR)
            assert established[1].read_line() == ""
            n.process.send_signal(signal.SIGTERM)
            assert [silent.read_line(), silent.read_line()] == ["MOVE", ""]
            assert n.process.wait(5) == 0


def test_a_third_process_follows_the_second(tmp_path: Path) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (w, _):
        c = w.client()
        assert c.open_request() == "UP a"
        with second(w) as (n, second_admin):
            wait_for(lambda: ready(second_admin))
            wait_for(lambda: n.counters().get("established_sessions_adopted") == "1")
            w.process.terminate()
            assert w.process.wait(5) == 0
            with second(n, tmp_path) as (m, admin_address):
                wait_for(lambda: ready(admin_address))
                wait_for(lambda: m.counters().get("established_sessions_adopted") == "1")
                n.process.terminate()
                assert n.process.wait(5) == 0
                c.send("here")
                assert c.read_line() == "here"


@pytest.mark.parametrize("at_first", [True, False])
def test_a_call_at_either_admin_api_takes_effect_in_both(tmp_path: Path, at_first: bool) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    with served(tmp_path, [a, b]) as (w, first_admin):
        assert call(first_admin, "save-servers/s-a/offline") == 200
        with second(w) as (_n, second_admin):
            wait_for(lambda: w.counters().get("hot_restarts") == "1")
            here = first_admin if at_first else second_admin
            assert {w.client().open_request(f"c=live,d=900,g={k}") for k in range(8)} == {"UP b"}
            assert call(here, "save-servers/s-a/online") == 200
            assert call(here, "save-servers/s-b/offline") == 200
            assert {w.client().open_request(f"c=live,d=900,g={k}") for k in range(8)} == {"UP a"}
            assert call(here, "out-of-service") == 200
            c = w.client()
            c.send("PING")
            assert c.read_line() == "ERR"
            assert call(here, "in-service") == 200 and w.is_ready()


@pytest.mark.parametrize("when", ["before", "after"])
def test_the_first_serves_again_when_its_successor_dies(tmp_path: Path, when: str) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (w, first_admin):
        c = w.client()
        assert c.open_request() == "UP a"
        with second(w) as (n, _new):
            if when == "after":
                wait_for(lambda: w.counters().get("established_sessions_passed") == "1")
            n.process.kill()
            n.process.wait()
            wait_for(lambda: w.is_ready() and w.client().open_request() == "UP a")
            assert ready(first_admin)
            with pytest.raises(AssertionError):
                n.is_ready()
            n.process.returncode = 0
        if when == "before":
            assert c.receives_nothing(0.1) or c.read_line() == ""


def test_the_second_goes_on_when_the_first_dies(tmp_path: Path) -> None:
    a = EndpointServer("a")
    with served(tmp_path, [a]) as (w, _):
        c = w.client()
        assert c.open_request() == "UP a"
        with second(w) as (n, second_admin):
            wait_for(lambda: ready(second_admin))
            wait_for(lambda: n.counters().get("established_sessions_adopted") == "1")
            w.process.kill()
            w.process.wait()
            c.send("here")
            assert c.read_line() == "here"
            assert n.client().open_request() == "UP a" and ready(second_admin)
            w.process.returncode = 0


def test_a_socket_that_nobody_listens_on_is_stale(tmp_path: Path) -> None:
    with served(tmp_path, [EndpointServer("a")]) as (w, _):
        pass
    (left,) = tmp_path.glob("*.sock")
    assert left.is_socket()
    with served(tmp_path, [EndpointServer("a")], listen=w.address) as (n, admin_address):
        assert n.client().open_request() == "UP a" and ready(admin_address)


def test_a_drain_is_kept_over_a_hot_restart(tmp_path: Path) -> None:
    """The process that passes its sessions on keeps those of a server that leaves, and moves them itself."""
    a, b = EndpointServer("a"), EndpointServer("b")
    with served(tmp_path, [a]) as (w, first_admin):
        c = w.client()
        assert c.open_request() == "UP a"
        assert call(first_admin, "save-servers/s-a/offline") == 200
        began = time.monotonic()
        with second(w) as (n, _):
            assert c.read_line() == "MOVE"
            assert time.monotonic() - began < 4.0 + SCHEDULING_SLACK_S
            count = len(a.open_lines)
            assert n.client().open_request("c=live,d=900").startswith("BUSY") and len(a.open_lines) == count
    del b
