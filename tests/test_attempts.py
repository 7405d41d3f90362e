"""Where an attempt breaks, and what may follow: by each class's effect, on sockets.

The stand-in server breaks at one point of the first line or of the answer, and nowhere else. Where the line
may have run, an unsafe class is not repeated; where it can't have, any class is.
"""

from __future__ import annotations

import re
import select
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from tests.support.node_environment import (
    SCHEDULING_SLACK_S,
    SETTINGS,
    EndpointServer,
    hard_reset,
    running_node,
    wait_for,
)

MS = 1_000_000
BREAKS = ["refused", "at accept", "in the line", "after the line", "busy", "half an answer", "noise", "hang"]
NEVER_RAN = {"refused", "busy"}


def lane(effect: str, group: str = "all", window: int = 5000, limit: int = 1500) -> dict[str, Any]:
    return {
        "Name": effect,
        "AimNs": 300 * MS,
        "HardLimitNs": limit * MS,
        "Points": 1.0,
        "Idempotency": effect,
        "Group": group,
        "DedupWindowNs": window * MS,
    }


def settings(*lanes: dict[str, Any]) -> dict[str, Any]:
    info = {"MessageAimNs": [50 * MS] * len(lanes), "Mode": "proxy", "TenantQuotaConnections": []}
    return SETTINGS | {"Lanes": list(lanes), "FamilyInfo": info}


class Breaks(EndpointServer):
    """Answers probes as the lightest there is, and breaks at one point of every attempt."""

    def __init__(self, name: str, where: str) -> None:
        self.where = where
        self.attempts: list[socket.socket] = []
        super().__init__(name, load="x0=0.0,inflight=1")
        if where == "refused":
            self.stop()

    def _serve(self, sock: socket.socket) -> None:
        first = sock.recv(1, socket.MSG_PEEK)
        if first != b"O":  # a probe, or nothing at all
            super()._serve(sock)
            return
        self.attempts.append(sock)
        match self.where:
            case "at accept":
                hard_reset(sock)
            case "in the line":
                sock.recv(3)
                hard_reset(sock)
            case "after the line":
                sock.recv(4096)
                hard_reset(sock)
            case "busy":
                sock.recv(4096)
                sock.sendall(b"BUSY\r\n")
                sock.shutdown(socket.SHUT_WR)
            case "half an answer":
                sock.recv(4096)
                sock.sendall(b"UP 12")
                sock.shutdown(socket.SHUT_WR)
            case "noise":
                sock.recv(4096)
                sock.sendall(b"\x00\xffBUSY\r\nUP 1\r\n")
            case "hang":
                sock.recv(4096)
                sock.sendall(b"U")


@pytest.mark.parametrize("where", BREAKS)
@pytest.mark.parametrize("effect", ["safe", "unsafe", "keyed"])
def test_what_follows_a_failed_attempt(tmp_path: Path, effect: str, where: str) -> None:
    """Each server breaks in the same way, and so every attempt; of an unsafe class one may have run."""
    made = [Breaks("a", where), Breaks("b", where)]
    with running_node(tmp_path, [*made], settings=settings(lane(effect))) as w:
        c, began = w.client(), time.monotonic()
        said = c.open_request(f"c={effect},d=1500")
        assert time.monotonic() - began < 1.5 + 0.07 + SCHEDULING_SLACK_S
        assert c.read_line() == ""
        attempts = sum(len(each.attempts) for each in made)
        if where == "refused":
            assert attempts == 0 and re.fullmatch(r"BUSY \d+", said)
        elif effect == "unsafe" and where not in NEVER_RAN:
            assert attempts == 1 and said == "ERR"
        else:
            assert attempts >= 2 and re.fullmatch(r"BUSY \d+", said)


def test_a_retry_within_its_window_goes_to_the_group_of_the_first_attempt_and_later_not_at_all(
    tmp_path: Path,
) -> None:
    """Both servers of a zone break after the line; the third, of another zone, would serve."""
    a, b, other = Breaks("a", "after the line"), Breaks("b", "after the line"), EndpointServer("c")
    other.entry["zone"] = "y"
    other.load = "x0=0.9,inflight=900"
    with running_node(tmp_path, [a, b, other], settings=settings(lane("keyed", group="zone"))) as w:
        broke = 0
        for k in range(12):
            before = len(a.attempts) + len(b.attempts)
            said = w.client().open_request("c=keyed,d=1500", ident=f"{k:x}")
            tried = len(a.attempts) + len(b.attempts) - before
            # What the other zone serves had no attempt in the first, where it may have run; and what broke
            # there is neither served elsewhere nor refused, as a client's repeat might go elsewhere too.
            assert not tried or said == "ERR"
            broke += tried
        assert broke


class Second(EndpointServer):
    """Notes, as a first line comes, whether the attempt before it has been given up on the wire."""

    def __init__(self, name: str, before: Breaks) -> None:
        self.before = before
        self.overlaps: list[bool] = []
        super().__init__(name, load="x0=0.5,inflight=500")

    def _serve(self, sock: socket.socket) -> None:
        if sock.recv(1, socket.MSG_PEEK) == b"O":
            for earlier in self.before.attempts:
                ended = select.select([earlier], [], [], 0)[0] and not earlier.recv(1, socket.MSG_PEEK)
                self.overlaps.append(not ended)
        super()._serve(sock)


def test_the_attempt_before_is_closed_when_the_next_ones_line_is_there(tmp_path: Path) -> None:
    """It hung and timed out: its end is on the wire before the next first line, and so never two are out."""
    a = Breaks("a", "hang")
    b = Second("b", a)
    with running_node(tmp_path, [a, b], settings=settings(lane("safe"))) as w:
        for _ in range(20):
            w.client().open_request("c=safe,d=1500")
            if b.overlaps:
                break
        wait_for(lambda: b.overlaps)
        assert not any(b.overlaps)
