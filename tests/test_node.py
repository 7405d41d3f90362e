"""The real program as a process, met by stand-ins as its clients, save servers and discovery."""

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


def test_a_served_client_gets_its_receipt_and_lines_pass_both_ways(tmp_path: Path) -> None:
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        c = w.client()
        c.send(b"OPEN 9b1f 7f3a c=live,d=15")  # in pieces, with bytes behind the first line
        c.send(b"00,g=1,h=7\r\nhello\r\npar")
        assert c.read_line() == "UP a"
        assert c.read_line() == "hello"
        c.send(b"t\r\n")
        assert c.read_line() == "part"
        (first,) = b.open_lines
        assert re.fullmatch(r"OPEN 9b1f 7f3a c=live,d=\d+,g=1,h=7", first)
        assert 0 < int(re.findall(r"d=(\d+)", first)[0]) <= 1500
        big = b"x" * 300_000 + b"\r\n"  # flow control: more than any buffer holds
        c.sock.sendall(big)
        assert c.file.readline() == big
        b.established[0].sendall(b"LOAD 3.5\r\nBYE\r\n")
        assert c.read_line() == "LOAD 3.5"
        b.established[0].shutdown(socket.SHUT_RDWR)
        assert [c.read_line(), c.read_line()] == ["BYE", ""]
        wait_for(lambda: w.counters().get("ended_ok") == "1")


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
def test_first_lines_that_open_nothing(tmp_path: Path, raw: bytes, answer: str) -> None:
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        c = w.client()
        c.sock.sendall(raw)
        assert c.read_line() == answer
        assert answer == "PONG" or c.read_line() == ""
        assert not b.open_lines


@pytest.mark.parametrize(
    ("answer", "expected", "counted"),
    [
        ("BUSY inflight=9", "BUSY", "fetch_full"),
        ("ERR", "BUSY", "fetch_error"),
        ("reset", "BUSY", "fetch_reset"),
        ("MOVE", "BUSY", "fetch_cancelled"),
        ("BYE", "BUSY", "fetch_error"),
        ("UP", "BUSY", "fetch_error"),  # no receipt: nothing was served
        ("UP \x01", "BUSY", "fetch_error"),
        ("UP " + "x" * 5000, "BUSY", "fetch_error"),
        ("silence", "BUSY", "fetch_timeout"),
    ],
)
def test_attempts_that_come_to_nothing_end_in_one_answer(
    tmp_path: Path, answer: str, expected: str, counted: str
) -> None:
    b = EndpointServer("a", answer)
    with running_node(tmp_path, [b]) as w:
        c, began = w.client(), time.time()
        said = c.open_request("c=live,d=900,g=1")
        assert re.fullmatch(rf"{expected}( \d+)?", said)
        assert time.time() - began < 0.9 + 0.07 + SCHEDULING_SLACK_S
        assert c.read_line() == ""
        assert 1 <= len(b.open_lines) <= 4
        assert int(w.counters()[counted]) == len(b.open_lines)


def test_a_refused_connect_goes_to_the_other_endpoint(tmp_path: Path) -> None:
    dead, alive = EndpointServer("a"), EndpointServer("b")
    dead.stop()
    with running_node(tmp_path, [dead, alive]) as w:
        for _ in range(8):
            assert w.client().open_request() == "UP b"


def test_a_client_that_leaves_abandons_its_fetch(tmp_path: Path) -> None:
    b = EndpointServer("a", "silence")
    with running_node(tmp_path, [b]) as w:
        c = w.client()
        c.send("OPEN 1 2 c=live,d=1700,g=1")
        wait_for(lambda: b.open_lines)
        c.sock.shutdown(socket.SHUT_WR)
        wait_for(lambda: b.connection_ends, 1.0)
        assert w.counters()["client_gone"] == "1" and len(b.open_lines) == 1


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("side", ["client", "backend"])
def test_the_end_of_one_side_is_passed_on_in_kind(tmp_path: Path, side: str, how: str) -> None:
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        c = w.client()
        assert c.open_request() == "UP a"
        began = time.time()
        if side == "client" and how == "end":
            c.sock.shutdown(socket.SHUT_WR)
        elif side == "client":
            hard_reset(c.sock)
        elif how == "end":
            b.established[0].shutdown(socket.SHUT_WR)
        else:
            c.send("reset")
        if side == "client":
            wait_for(lambda: b.connection_ends == [how], 1.0)
        elif how == "end":
            assert c.read_line() == ""
        else:
            with pytest.raises(ConnectionResetError):
                c.read_line()
        assert time.time() - began < 1.0


def test_a_draining_endpoint_gets_nothing_new_and_its_clients_are_migrated(tmp_path: Path) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [a, b]) as w:
        clients = [w.client() for _ in range(8)]
        names = [c.open_request(ident=f"{k}") for k, c in enumerate(clients)]
        on_a = [c for c, name in zip(clients, names, strict=True) if name == "UP a"]
        announced_at = w.discovery.announce(a, state="Terminating")
        for c in on_a:
            assert [c.read_line(), c.read_line()] == ["MOVE", ""]
        assert time.time() - announced_at < 4.2
        before = len(a.lines)
        assert {w.client().open_request() for _ in range(8)} == {"UP b"}
        assert not [line for at, line in a.lines[before:] if at > announced_at + 2.0]


def test_an_established_connection_that_goes_silent_is_migrated_in_time(tmp_path: Path) -> None:
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        c = w.client()
        assert c.open_request() == "UP a"
        b.established.clear()  # from now on it echoes nothing
        c.send("are you there")
        began = time.time()
        assert [c.read_line(), c.read_line()] == ["MOVE", ""]
        assert 3.0 < time.time() - began < 6.5


def test_a_move_waits_for_the_end_of_a_line(tmp_path: Path) -> None:
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        c = w.client()
        assert c.open_request() == "UP a"
        b.established[0].sendall(b"half of")
        wait_for(lambda: c.sock.recv(16, socket.MSG_PEEK) == b"half of")
        w.process.send_signal(signal.SIGTERM)
        wait_for(lambda: "leaving" in w.log.read_text())
        time.sleep(0.45)  # the balancer migrates it meanwhile
        b.established[0].sendall(b" a line\r\n")
        assert [c.read_line(), c.read_line(), c.read_line()] == ["half of a line", "MOVE", ""]


def test_a_connection_from_before_the_run_stays_where_it_is(tmp_path: Path) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [a, b]) as w:
        for k in range(6):
            assert w.client().open_request(f"c=live,d=4294967,g=1,at=s-{'ab'[k % 2]}") == f"UP {'ab'[k % 2]}"
        assert [len(a.open_lines), len(b.open_lines)] == [3, 3]


def test_sigterm_answers_all_moves_all_and_ends(tmp_path: Path) -> None:
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        clients = [w.client() for _ in range(10)]
        assert {c.open_request() for c in clients} == {"UP a"}
        began = time.time()
        w.process.send_signal(signal.SIGTERM)
        wait_for(lambda: "leaving" in w.log.read_text())
        # Who still comes is answered at once, and sent to no server for the moment until the end.
        late = w.client()
        assert re.fullmatch(r"BUSY \d+", late.open_request()) and late.read_line() == ""
        for c in clients:
            assert [c.read_line(), c.read_line()] == ["MOVE", ""]
        assert len(b.open_lines) == len(clients)
        assert w.process.wait(4) == 0
        assert time.time() - began < 3.7


def test_the_watch_goes_on_at_once_and_survives_bad_answers(tmp_path: Path) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [a]) as w:
        d = w.discovery
        d.raw_answers += [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2}"]
        d.raw_answers += [b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", b""]
        d.announce(a, weight=0.5)
        assert w.client().open_request() == "UP a"  # the last list is kept
        wait_for(lambda: not d.raw_answers)
        d.announce(b)
        wait_for(lambda: w.client().open_request() == "UP b")
        answers = d.answered_at[-2:]
        wait_for(lambda: all(any(0 <= at - said < 0.2 for at, _ in list(d.calls)) for said in answers), 2.0)


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


def test_bad_entries_of_a_list_don_t_take_the_good_ones_with_them(tmp_path: Path) -> None:
    """One such entry once made the whole list unreadable, or raised where the backend was dialled."""
    a, b, c = EndpointServer("a"), EndpointServer("b"), EndpointServer("c")
    with running_node(tmp_path, [a, c]) as w:
        bad_c = c.entry | {"weight": None}  # what was announced of it last still holds
        listing = {"version": 9, "full": True, "servers": [*BAD_ENTRIES, b.entry, bad_c]}
        body = json.dumps(listing).encode()
        wait_for(lambda: any("index" in path for _, path in list(w.discovery.calls)))
        w.discovery.raw_answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        w.discovery.announce(a, weight=0.5)
        wait_for(lambda: w.counters().get("list_items_bad") == str(len(BAD_ENTRIES) + 1))
        assert {w.client().open_request() for _ in range(20)} == {"UP b", "UP c"}


@pytest.mark.parametrize(("pause", "answer"), [(0.15, "UP a"), (9.0, "ERR")])
def test_a_slow_writer_is_served_and_a_silent_one_is_not(tmp_path: Path, pause: float, answer: str) -> None:
    """Both once had 2.5 s from their first byte."""
    with running_node(tmp_path, [EndpointServer("a")]) as w:
        c, line, began = w.client(), b"OPEN 1 2 c=live,d=900\r\n", time.monotonic()
        for k in range(len(line)):
            c.sock.sendall(line[k : k + 1])
            if select.select([c.sock], [], [], pause)[0]:
                break
        assert c.read_line() == answer
        spent = time.monotonic() - began
        assert 3.0 < spent < 6.0 if pause < 1 else spent < 3.0 + SCHEDULING_SLACK_S


def test_a_move_waits_for_the_end_of_a_line_that_comes_slowly(tmp_path: Path) -> None:
    """A connection whose backend was half through a line was reset after 0.5 s."""
    a, admin_address = EndpointServer("a"), f"127.0.0.1:{free_port()}"
    with running_node(tmp_path, [a], console=admin_address) as w:
        c = w.client()
        assert c.open_request() == "UP a"
        a.established[0].sendall(b"half ")
        assert c.sock.recv(5) == b"half "
        assert call(admin_address, "out-of-service") == 200
        wait_for(lambda: w.counters().get("moved") == "1")
        time.sleep(0.7)
        a.established[0].sendall(b"a line\r\n")
        assert [c.read_line(), c.read_line(), c.read_line()] == ["a line", "MOVE", ""]


def test_a_discovery_short_of_capacity_is_polled_less_often_and_for_changes_only(tmp_path: Path) -> None:
    """Every node once polled it for the full list every 0.1 s, and none was answered for seconds."""
    a, b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [a], settings=SETTINGS | {"MembershipMode": "on_request"}) as w:
        calls = w.discovery.calls
        wait_for(lambda: any("index" in path for _, path in list(calls)))
        before = len(calls)
        w.discovery.raw_answers += [b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"] * 6
        with w.discovery.changed:
            w.discovery.version += 1
            w.discovery.changes.append((w.discovery.version, b.entry))
            w.discovery.changed.notify_all()
        wait_for(lambda: len(calls) >= before + 7, 12.0)
        wait_for(lambda: w.client().open_request() == "UP b")
        made = calls[before:]
        assert all("index" in path for _, path in made) and w.counters()["lists_busy"] == "6"
        assert made[6][0] - made[0][0] > 0.5 * (0.1 + 0.2 + 0.4 + 0.8 + 1.0 + 1.0)  # at the least jitter


def test_probes_that_answer_nonsense_leave_a_backend_in_use(tmp_path: Path) -> None:
    loads = ["x0=nan,inflight=-1", "x0=1e999", "", "x0=0.1\r\nPONG x0=9.0", "x" * 5000]
    made = [EndpointServer(str(k), load=load) for k, load in enumerate(loads)]
    with running_node(tmp_path, made) as w:
        seen: set[str] = set()

        def all_seen() -> bool:
            seen.add(w.client().open_request())
            return len(seen) == len(loads)

        wait_for(all_seen)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("{", "no configuration"),
        ('{"name":"n","listen":"x","discovery":"127.0.0.1:1","settings":{}}', "listen"),
        ('{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{}}', "lack 'Lanes'"),
        ('{"name":"n","listen":"127.0.0.1:1"}', "discovery"),
        (None, "can't be read"),
    ],
)
def test_a_bad_configuration_is_one_plain_line(tmp_path: Path, text: str | None, named: str) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    command = [sys.executable, "-m", "gradegap", "serve", "--config", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=20)
    assert done.returncode != 0
    assert done.stderr.count("\n") == 1 and named in done.stderr
