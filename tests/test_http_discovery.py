"""Polls of discovery that are out together: which answer counts, and what follows when one of them ends."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, cast

import pytest

from gradegap.balancing.events import EndpointListKind
from gradegap.discovery.endpoint_list import AddressedEntry
from gradegap.discovery.http_discovery import OPEN_POLLS_MAX, HttpDiscovery, PollConnection
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.transport.dialer import Dialer
from tests.support import balancer_driver


@dataclass
class Timer:
    at: float
    callback: Callable[..., None]
    args: tuple[Any, ...]
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


@dataclass
class Loop:
    """A clock with timers that the test moves on."""

    now: float = 100.0
    timers: list[Timer] = field(default_factory=list)

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> Timer:
        self.timers.append(Timer(self.now + delay, callback, args))
        return self.timers[-1]

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while due := [t for t in self.timers if not t.cancelled and t.at <= end]:
            timer = min(due, key=lambda t: t.at)
            self.timers.remove(timer)
            self.now = timer.at
            timer.callback(*timer.args)
        self.now = end


@dataclass
class Transport:
    written: list[str] = field(default_factory=list)
    aborted: bool = False

    def write(self, data: bytes) -> None:
        self.written.append(data.decode().split(" ")[1])

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.aborted


class Rig:
    """A discovery client whose dials the test answers; every call is connected at once."""

    def __init__(self, pushed: bool = False) -> None:
        self.loop = Loop()
        self.settings = balancer_driver.settings(
            polls_endpoints=not pushed, poll_within=10.0, drain_grace=2.0
        )
        self.calls: list[tuple[PollConnection, Transport]] = []
        self.lists: list[tuple[EndpointListKind, list[AddressedEntry]]] = []
        self.metrics = Metrics()
        self.discovery = HttpDiscovery(cast(Proxy, self), cast(Dialer, self), "discovery:1", self.metrics)
        if not pushed:
            self.discovery.schedule.start_from(7)
        self.discovery.start()

    def update_endpoints(self, kind: EndpointListKind, entries: Iterable[AddressedEntry]) -> None:
        self.lists.append((kind, list(entries)))

    def dial(
        self, address: str, wait: float, protocol: PollConnection, failed: Callable[[], None]
    ) -> Callable[[], None]:
        transport = Transport()
        self.calls.append((protocol, transport))
        self.loop.call_later(0.0, protocol.connection_made, transport)
        return lambda: None

    def answer(self, k: int, version: int, full: bool = False) -> None:
        body = json.dumps(
            {"version": version, "full": full, "servers": [{"id": "s", "state": "Terminating"}]}
        )
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.calls[k][0].data_received((head + body).encode())

    def paths(self) -> list[str]:
        return [path for _, transport in self.calls for path in transport.written]

    def until_calls(self, count: int) -> None:
        for _ in range(2000):
            if len(self.calls) >= count:
                break
            self.loop.run(0.01)
        self.loop.run(0.0)


def test_the_late_answer_of_an_overdue_watch_counts_and_the_later_poll_is_dropped() -> None:
    rig = Rig()
    rig.until_calls(2)
    assert not rig.calls[0][1].aborted and rig.paths()[1].endswith("index=7&wait=0")
    rig.answer(0, version=9)
    assert [kind for kind, _ in rig.lists] == [EndpointListKind.DELTA]
    assert rig.calls[1][1].aborted and not rig.calls[0][1].aborted
    assert "index=9" in rig.calls[0][1].written[-1]
    # What the dropped call still says is not heard, and nothing is called but the one watch.
    rig.answer(1, version=12)
    rig.loop.run(5.0)
    assert len(rig.lists) == 1 and len(rig.calls) == 2


def test_a_rejected_poll_is_made_again_unless_an_overdue_one_is_answered_before() -> None:
    rig = Rig()
    rig.until_calls(2)
    rig.calls[1][0].data_received(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    assert rig.discovery.next_poll_timer is not None
    rig.answer(0, version=9)
    assert rig.discovery.next_poll_timer is None
    rig.loop.run(2.0)
    assert len(rig.calls) == 2 and len(rig.lists) == 1
    refused = Rig()
    refused.until_calls(2)
    refused.calls[1][0].data_received(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    refused.loop.run(0.15)
    assert len(refused.calls) == 3


def test_an_overdue_poll_that_ends_beside_a_later_one_makes_no_further_poll() -> None:
    rig = Rig()
    rig.until_calls(2)
    rig.calls[0][0].connection_lost(ConnectionResetError())
    assert rig.discovery.next_poll_timer is None and len(rig.discovery.connections) == 1
    rig.answer(1, version=9)
    assert len(rig.lists) == 1 and len(rig.calls) == 2


def test_a_pending_retry_is_not_put_off_by_the_end_of_an_overdue_poll() -> None:
    rig = Rig()
    rig.until_calls(2)
    rig.calls[1][0].connection_lost(ConnectionResetError())
    retry = rig.discovery.next_poll_timer
    assert retry is not None
    rig.calls[0][0].connection_lost(ConnectionResetError())
    assert rig.discovery.next_poll_timer is retry and not cast(Timer, retry).cancelled


def test_open_polls_are_bounded_and_the_full_list_is_polled_in_the_end() -> None:
    rig = Rig()
    for count in range(2, 7):
        rig.until_calls(count)
        assert len(rig.discovery.connections) <= OPEN_POLLS_MAX
    assert len(rig.calls) == 6
    assert [t.aborted for _, t in rig.calls] == [True] * 3 + [False] * 3
    assert rig.paths()[2:] == ["/registry/instances"] * 4


@pytest.mark.parametrize("pushed", [True, False])
def test_a_new_discovery_ends_all_polls_to_the_old_one(pushed: bool) -> None:
    rig = Rig(pushed)
    rig.until_calls(2)
    rig.discovery.change_address("discovery:2")
    assert all(t.aborted for _, t in rig.calls[:2])
    rig.answer(0, version=50, full=True)
    assert not rig.lists


def test_an_overdue_poll_to_an_agent_is_given_up() -> None:
    """An agent answers at once or not at all: an old call there waits for nothing."""
    rig = Rig(pushed=True)
    rig.until_calls(2)
    assert rig.calls[0][1].aborted and len(rig.discovery.connections) == 1
