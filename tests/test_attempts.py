"""Retries after failed attempts, for each idempotency of a traffic class, over real sockets.

The test server fails at one point of the first line or of the answer. If the request may have run, an unsafe
class is not retried; if it cannot have run, any class is.
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
FAILURE_POINTS = [
    "refused",
    "at accept",
    "in the line",
    "after the line",
    "busy",
    "half an answer",
    "noise",
    "hang",
]
FAILURE_POINTS_WITHOUT_EFFECT = {"refused", "busy"}


def traffic_class(
    idempotency: str, group: str = "all", dedup_window_ms: int = 5000, time_limit_ms: int = 1500
) -> dict[str, Any]:
    return {
        "Name": idempotency,
        "AimNs": 300 * MS,
        "HardLimitNs": time_limit_ms * MS,
        "Points": 1.0,
        "Idempotency": idempotency,
        "Group": group,
        "DedupWindowNs": dedup_window_ms * MS,
    }


def settings(*traffic_classes: dict[str, Any]) -> dict[str, Any]:
    family_info = {
        "MessageAimNs": [50 * MS] * len(traffic_classes),
        "Mode": "proxy",
        "TenantQuotaConnections": [],
    }
    return SETTINGS | {"Lanes": list(traffic_classes), "FamilyInfo": family_info}


class FailingEndpoint(EndpointServer):
    """A server that reports the lowest load to health checks, and fails at one point of every attempt."""

    def __init__(self, name: str, failure_point: str) -> None:
        self.failure_point = failure_point
        self.attempts: list[socket.socket] = []
        super().__init__(name, load="x0=0.0,inflight=1")
        if failure_point == "refused":
            self.stop()

    def _serve(self, sock: socket.socket) -> None:
        first_byte = sock.recv(1, socket.MSG_PEEK)
        if first_byte != b"O":  # a health check, or no data
            super()._serve(sock)
            return
        self.attempts.append(sock)
        match self.failure_point:
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


@pytest.mark.parametrize("failure_point", FAILURE_POINTS)
@pytest.mark.parametrize("idempotency", ["safe", "unsafe", "keyed"])
def test_failed_attempt_is_retried_unless_an_unsafe_request_may_have_run(
    tmp_path: Path, idempotency: str, failure_point: str
) -> None:
    """All servers fail at the same point, so every attempt fails there. An unsafe request may run at most
    once."""
    endpoints = [FailingEndpoint("a", failure_point), FailingEndpoint("b", failure_point)]
    with running_node(tmp_path, [*endpoints], settings=settings(traffic_class(idempotency))) as node:
        client, started_at = node.client(), time.monotonic()
        answer = client.open_request(f"c={idempotency},d=1500")
        assert time.monotonic() - started_at < 1.5 + 0.07 + SCHEDULING_SLACK_S
        assert client.read_line() == ""
        attempts = sum(len(endpoint.attempts) for endpoint in endpoints)
        if failure_point == "refused":
            assert attempts == 0 and re.fullmatch(r"BUSY \d+", answer)
        elif idempotency == "unsafe" and failure_point not in FAILURE_POINTS_WITHOUT_EFFECT:
            assert attempts == 1 and answer == "ERR"
        else:
            assert attempts >= 2 and re.fullmatch(r"BUSY \d+", answer)


def test_retry_of_a_keyed_request_stays_in_its_deduplication_group(
    tmp_path: Path,
) -> None:
    """Both servers of a zone fail after the first line; the server of the other zone answers requests."""
    endpoint_a, endpoint_b, other_zone_endpoint = (
        FailingEndpoint("a", "after the line"),
        FailingEndpoint("b", "after the line"),
        EndpointServer("c"),
    )
    other_zone_endpoint.entry["zone"] = "y"
    other_zone_endpoint.load = "x0=0.9,inflight=900"
    with running_node(
        tmp_path,
        [endpoint_a, endpoint_b, other_zone_endpoint],
        settings=settings(traffic_class("keyed", group="zone")),
    ) as node:
        failed_count = 0
        for index in range(12):
            count_before = len(endpoint_a.attempts) + len(endpoint_b.attempts)
            answer = node.client().open_request("c=keyed,d=1500", ident=f"{index:x}")
            attempt_count = len(endpoint_a.attempts) + len(endpoint_b.attempts) - count_before
            # A request that was attempted in the first zone may have run there. It must neither be served in
            # the other zone nor be rejected, because the client would then retry, possibly in the other zone.
            assert not attempt_count or answer == "ERR"
            failed_count += attempt_count
        assert failed_count


class OverlapRecorder(EndpointServer):
    """A server that records, for each first line, whether the previous attempts' connections are still
    open."""

    def __init__(self, name: str, previous_endpoint: FailingEndpoint) -> None:
        self.previous_endpoint = previous_endpoint
        self.overlaps: list[bool] = []
        super().__init__(name, load="x0=0.5,inflight=500")

    def _serve(self, sock: socket.socket) -> None:
        if sock.recv(1, socket.MSG_PEEK) == b"O":
            for previous_attempt in self.previous_endpoint.attempts:
                ended = select.select([previous_attempt], [], [], 0)[0] and not previous_attempt.recv(
                    1, socket.MSG_PEEK
                )
                self.overlaps.append(not ended)
        super()._serve(sock)


def test_timed_out_attempt_is_closed_before_the_retry_is_sent(tmp_path: Path) -> None:
    """The first attempt hangs and times out. Its connection is closed before the next first line is sent, so
    that two attempts never overlap."""
    endpoint_a = FailingEndpoint("a", "hang")
    endpoint_b = OverlapRecorder("b", endpoint_a)
    with running_node(tmp_path, [endpoint_a, endpoint_b], settings=settings(traffic_class("safe"))) as node:
        for _ in range(20):
            node.client().open_request("c=safe,d=1500")
            if endpoint_b.overlaps:
                break
        wait_for(lambda: endpoint_b.overlaps)
        assert not any(endpoint_b.overlaps)
