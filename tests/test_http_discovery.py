"""Concurrent polls of discovery: which answer is used, and what follows when one of the polls ends."""

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
class ManualTimer:
    at: float
    callback: Callable[..., None]
    args: tuple[Any, ...]
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


@dataclass
class ManualLoop:
    """Event loop whose clock advances only when the test runs it."""

    now: float = 100.0
    timers: list[ManualTimer] = field(default_factory=list)

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> ManualTimer:
        self.timers.append(ManualTimer(self.now + delay, callback, args))
        return self.timers[-1]

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while due := [timer for timer in self.timers if not timer.cancelled and timer.at <= end]:
            timer = min(due, key=lambda timer: timer.at)
            self.timers.remove(timer)
            self.now = timer.at
            timer.callback(*timer.args)
        self.now = end


@dataclass
class RecordingTransport:
    written: list[str] = field(default_factory=list)
    aborted: bool = False

    def write(self, data: bytes) -> None:
        self.written.append(data.decode().split(" ")[1])

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.aborted


class DiscoveryHarness:
    """HTTP discovery with a dialer that connects at once, and with answers from the test."""

    def __init__(self, is_pushed: bool = False) -> None:
        self.loop = ManualLoop()
        self.settings = balancer_driver.settings(
            polls_endpoints=not is_pushed, poll_within=10.0, drain_grace=2.0
        )
        self.calls: list[tuple[PollConnection, RecordingTransport]] = []
        self.lists: list[tuple[EndpointListKind, list[AddressedEntry]]] = []
        self.metrics = Metrics()
        self.discovery = HttpDiscovery(cast(Proxy, self), cast(Dialer, self), "discovery:1", self.metrics)
        if not is_pushed:
            self.discovery.schedule.start_from(7)
        self.discovery.start()

    def update_endpoints(self, kind: EndpointListKind, entries: Iterable[AddressedEntry]) -> None:
        self.lists.append((kind, list(entries)))

    def dial(
        self, address: str, wait: float, protocol: PollConnection, failed: Callable[[], None]
    ) -> Callable[[], None]:
        transport = RecordingTransport()
        self.calls.append((protocol, transport))
        self.loop.call_later(0.0, protocol.connection_made, transport)
        return lambda: None

    def answer(self, call_index: int, version: int, full: bool = False) -> None:
        body = json.dumps(
            {"version": version, "full": full, "servers": [{"id": "s", "state": "Terminating"}]}
        )
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.calls[call_index][0].data_received((head + body).encode())

    def polled_targets(self) -> list[str]:
        return [path for _, transport in self.calls for path in transport.written]

    def run_until_calls(self, count: int) -> None:
        for _ in range(2000):
            if len(self.calls) >= count:
                break
            self.loop.run(0.01)
        self.loop.run(0.0)


def test_overdue_watch_with_late_answer_updates_list_and_drops_later_poll() -> None:
    harness = DiscoveryHarness()
    harness.run_until_calls(2)
    assert not harness.calls[0][1].aborted and harness.polled_targets()[1].endswith("index=7&wait=0")
    harness.answer(0, version=9)
    assert [kind for kind, _ in harness.lists] == [EndpointListKind.DELTA]
    assert harness.calls[1][1].aborted and not harness.calls[0][1].aborted
    assert "index=9" in harness.calls[0][1].written[-1]
    # An answer to the dropped poll is ignored, and no poll other than the watch is sent.
    harness.answer(1, version=12)
    harness.loop.run(5.0)
    assert len(harness.lists) == 1 and len(harness.calls) == 2


def test_overloaded_poll_is_retried_unless_overdue_poll_is_answered_first() -> None:
    harness = DiscoveryHarness()
    harness.run_until_calls(2)
    harness.calls[1][0].data_received(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    assert harness.discovery.next_poll_timer is not None
    harness.answer(0, version=9)
    assert harness.discovery.next_poll_timer is None
    harness.loop.run(2.0)
    assert len(harness.calls) == 2 and len(harness.lists) == 1
    harness_without_late_answer = DiscoveryHarness()
    harness_without_late_answer.run_until_calls(2)
    harness_without_late_answer.calls[1][0].data_received(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    harness_without_late_answer.loop.run(0.15)
    assert len(harness_without_late_answer.calls) == 3


def test_overdue_poll_that_ends_beside_later_poll_starts_no_poll() -> None:
    harness = DiscoveryHarness()
    harness.run_until_calls(2)
    harness.calls[0][0].connection_lost(ConnectionResetError())
    assert harness.discovery.next_poll_timer is None and len(harness.discovery.connections) == 1
    harness.answer(1, version=9)
    assert len(harness.lists) == 1 and len(harness.calls) == 2


def test_scheduled_retry_is_not_delayed_by_end_of_overdue_poll() -> None:
    harness = DiscoveryHarness()
    harness.run_until_calls(2)
    harness.calls[1][0].connection_lost(ConnectionResetError())
    retry = harness.discovery.next_poll_timer
    assert retry is not None
    harness.calls[0][0].connection_lost(ConnectionResetError())
    assert harness.discovery.next_poll_timer is retry and not cast(ManualTimer, retry).cancelled


def test_unanswered_polls_are_limited_and_end_in_polls_for_full_list() -> None:
    harness = DiscoveryHarness()
    for count in range(2, 7):
        harness.run_until_calls(count)
        assert len(harness.discovery.connections) <= OPEN_POLLS_MAX
    assert len(harness.calls) == 6
    assert [transport.aborted for _, transport in harness.calls] == [True] * 3 + [False] * 3
    assert harness.polled_targets()[2:] == ["/registry/instances"] * 4


@pytest.mark.parametrize("is_pushed", [True, False])
def test_changed_address_ends_all_polls_to_previous_address(is_pushed: bool) -> None:
    harness = DiscoveryHarness(is_pushed)
    harness.run_until_calls(2)
    harness.discovery.change_address("discovery:2")
    assert all(transport.aborted for _, transport in harness.calls[:2])
    harness.answer(0, version=50, full=True)
    assert not harness.lists


def test_overdue_poll_to_agent_is_dropped() -> None:
    """An agent has no queue of polls, so an overdue poll keeps no place in it and is closed."""
    harness = DiscoveryHarness(is_pushed=True)
    harness.run_until_calls(2)
    assert harness.calls[0][1].aborted and len(harness.discovery.connections) == 1
