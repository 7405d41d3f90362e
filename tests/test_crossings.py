"""Events that come between two lines of the node, each forced and none left to luck.

A stand-in holds its answer until then, or something is put into a socket before the loop may read it.
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

SLOW: dict[str, Any] = {"Name": "slow", "AimNs": 700_000_000, "HardLimitNs": 6_000_000_000, "Points": 1.0}
WITH_SLOW = SETTINGS | {
    "Lanes": [*SETTINGS["Lanes"], SLOW],
    "FamilyInfo": {"MessageAimNs": [50_000_000, 50_000_000], "Mode": "proxy", "TenantQuotaConnections": []},
}


def leave(w: NodeEnvironment) -> float:
    """SIGTERM, and the node has seen it."""
    w.process.send_signal(signal.SIGTERM)
    wait_for(lambda: "event=leaving" in w.log.read_text())
    return time.time()


# A planned stop


def test_a_request_that_may_wait_longer_than_the_stop_is_answered_before_the_end(tmp_path: Path) -> None:
    """Its class waits 6 s and its server hangs; the platform kills 3.7 s after SIGTERM. The node once ended
    at 3.5 s with the request still out, and its client's connection just closed."""
    b = EndpointServer("a", "silence")
    with running_node(tmp_path, [b], settings=WITH_SLOW) as w:
        c = w.client()
        c.send("OPEN 1 2 c=slow,d=6000")
        wait_for(lambda: b.open_lines)
        began = leave(w)
        assert c.read_line().startswith("BUSY ")
        assert c.read_line() == ""
        assert time.time() - began < 3.3  # when the last moves are due, 3 s after SIGTERM, and not at the end
        assert w.process.wait(5) == 0


def test_first_lines_after_sigterm_are_answered_at_once_and_never_forwarded(tmp_path: Path) -> None:
    """On new and on idle connections. They once went to a server, were established and migrated at once."""
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        idle, pinged = w.client(), w.client()
        pinged.send("PING")
        assert pinged.read_line() == "PONG"
        leave(w)
        for c in (idle, pinged, w.client()):
            began = time.time()
            answer = c.open_request()
            assert answer.startswith("BUSY ") and 0 < int(answer.split(" ")[1]) <= 400
            assert time.time() - began < 0.1 + SCHEDULING_SLACK_S
            assert c.read_line() == ""
        assert not b.open_lines
        assert w.process.wait(5) == 0


def test_a_request_that_waits_for_a_health_check_at_sigterm_is_answered_at_once(tmp_path: Path) -> None:
    """Its server holds its answers; the request was once forwarded after them, by a node that leaves."""
    a, b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [a, b], settings=WITH_SLOW) as w:
        for each in (a, b):
            each.ignores_health_checks.set()
        c = w.client()
        c.send("OPEN 1 2 c=slow,d=6000")
        wait_for(lambda: any(line == "STATS" for each in (a, b) for _, line in each.lines))
        began = leave(w)
        assert c.read_line().startswith("BUSY ")
        assert time.time() - began < 0.1 + SCHEDULING_SLACK_S
        assert not a.open_lines and not b.open_lines


def test_an_idle_connection_at_the_end_of_a_shutdown_is_answered_before_it_is_closed(tmp_path: Path) -> None:
    """A request may be written in the very moment in which the node closes: it finds its answer there, and an
    end, where it once found a reset or an end without an answer."""
    with running_node(tmp_path, [EndpointServer("a")]) as w:
        idle = [w.client() for _ in range(3)]
        idle[1].send("PING")
        assert idle[1].read_line() == "PONG"
        idle[2].send(b"OPEN 1 2 c=li")  # half a first line
        began = leave(w)
        for c in idle:
            assert c.read_line().startswith("BUSY ")
            c.send("OPEN 9 2 c=live,d=1000")
        for c in idle:
            assert c.read_line() == ""
        assert w.process.wait(5) == 0
        assert 0.6 < time.time() - began < 2.5


def test_an_attempt_under_way_at_sigterm_is_established_and_migrated(tmp_path: Path) -> None:
    """`UP` and the signal in one turn of the loop, as near as two processes come: the server answers in the
    moment in which the node has seen the signal."""
    b = EndpointServer("a")
    b.open_answers_allowed.clear()
    with running_node(tmp_path, [b]) as w:
        c = w.client()
        c.send("OPEN 1 2 c=live,d=1500")
        wait_for(lambda: b.open_lines)
        leave(w)
        b.open_answers_allowed.set()
        assert [c.read_line(), c.read_line(), c.read_line()] == ["UP a", "MOVE", ""]
        assert w.process.wait(5) == 0


@pytest.mark.parametrize("second", [signal.SIGTERM, signal.SIGHUP])
def test_a_second_signal_changes_nothing_of_a_stop(tmp_path: Path, second: signal.Signals) -> None:
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        c = w.client()
        assert c.open_request() == "UP a"
        began = leave(w)
        config = json.loads(w.config.read_text())
        w.config.write_text(json.dumps(config | {"settings": WITH_SLOW}))
        w.process.send_signal(second)
        assert [c.read_line(), c.read_line()] == ["MOVE", ""]
        assert w.process.wait(5) == 0
        assert time.time() - began < 2.5
        assert w.log.read_text().count("event=leaving") == 1


def test_sigterm_before_readiness_ends_the_node_as_ever(tmp_path: Path) -> None:
    """Its list has not come yet; a request meanwhile is answered."""
    b = EndpointServer("a")
    w = NodeEnvironment(tmp_path, [b], discovery="127.0.0.1:9")
    try:
        wait_for(lambda: "event=listening" in w.log.read_text(), 15.0)
        c = w.client()
        leave(w)
        assert c.open_request().startswith("BUSY ")
        assert w.process.wait(5) == 0
    finally:
        w.process.kill()
        w.process.wait()


# Closing


class Deaf(EndpointServer):
    """A save server that says UP and reads nothing after it."""

    def _serve(self, sock: socket.socket) -> None:
        file = sock.makefile("rb", buffering=0)
        for raw in file:
            if raw.startswith(b"STATS"):
                sock.sendall(f"PONG {self.load}\r\n".encode())
            else:
                self.established.append(sock)
                sock.sendall(b"UP a\r\n")
                threading.Event().wait()


def test_a_server_that_reads_no_more_does_not_keep_the_descriptor_of_a_client_that_left(
    tmp_path: Path,
) -> None:
    """What the client had sent could not go out, so the close that waited for it never came."""
    with running_node(tmp_path, [Deaf("a")]) as w:
        c = w.client()
        assert c.open_request() == "UP a"
        c.sock.settimeout(0.5)
        with pytest.raises(TimeoutError):
            while True:
                c.sock.sendall(b"x" * 1000 + b"\r\n")
        hard_reset(c.sock)
        wait_for(lambda: w.counters()["open_sessions"] == "0", 8.0)  # unresponsive, and so migrated
        # What is left: the call to discovery, and the connection that carries probes.
        wait_for(lambda: w.counters()["sockets"].startswith("2/"), 5.0)


def test_a_server_that_ends_in_the_line_that_a_migration_waits_for_ends_its_client_at_once(
    tmp_path: Path,
) -> None:
    """The client was notified of nothing until the wait for the line was over, and then by a reset."""
    b, admin_address = EndpointServer("a"), f"127.0.0.1:{free_port()}"
    with running_node(tmp_path, [b], console=admin_address) as w:
        c = w.client()
        assert c.open_request() == "UP a"
        b.established[0].sendall(b"half")
        assert c.sock.recv(4) == b"half"
        assert call(admin_address, "out-of-service") == 200
        wait_for(lambda: w.counters().get("moved") == "1")
        began = time.time()
        b.established[0].shutdown(socket.SHUT_RDWR)
        assert c.read_line() == ""
        assert time.time() - began < 0.3 + SCHEDULING_SLACK_S
