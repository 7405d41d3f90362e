"""The watch schedule keeps drains in time if discovery falls silent, in each mode and phase of a call."""

from __future__ import annotations

import copy
import dataclasses
import re
import threading
import time
from pathlib import Path
from random import Random
from typing import Any

import pytest

from gradegap.discovery import watch_schedule
from gradegap.discovery.watch_schedule import Mismatch, WatchSchedule
from tests.support import balancer_driver
from tests.support.node_environment import (
    SCHEDULING_SLACK_S,
    SETTINGS,
    EndpointServer,
    NodeEnvironment,
    running_node,
    wait_for,
)
from tests.support.silent_discovery import PHASES, SilentDiscovery

NANOSECONDS_PER_SECOND = 1_000_000_000
GRACES_S = (0.25, 0.75, 2.0, 4.0)
MAX_QUEUE_WAIT_S = 2.0  # time after which a shared discovery rejects a queued call
TIMELY_QUEUE_WAIT_S = 1.4  # longest time in the queue after which an answer is still in time


def new_schedule(is_pushed: bool, grace: float = 2.0, seed: int = 1) -> WatchSchedule:
    settings = balancer_driver.settings(
        polls_endpoints=not is_pushed, drain_grace=grace, poll_within=10.0, proxy_count=40
    )
    schedule = WatchSchedule(settings, Random(seed))
    schedule.record_answer(schedule.next_poll(0.0), 0.02, 7)
    return schedule


@pytest.mark.parametrize("grace", GRACES_S)
@pytest.mark.parametrize("answer_time_s", [0.01, 0.3, 1.5])
def test_silent_watch_in_polled_mode_leaves_time_for_changes_and_full_list(
    grace: float, answer_time_s: float
) -> None:
    """A change at any moment of the watch arrives before the notification time plus the grace period."""
    schedule = new_schedule(False, grace)
    schedule.answer_time_s = answer_time_s
    watch = schedule.next_poll(100.0)
    assert watch.since_version == 7 and 5.0 <= watch.wait_s <= 15.0
    delay_s = schedule.record_timeout()
    changes_poll = schedule.next_poll(0.0)
    assert changes_poll.since_version == 7 and changes_poll.wait_s == 0.0
    schedule.record_timeout()
    full_poll = schedule.next_poll(0.0)
    assert full_poll.since_version is None and delay_s == 0.0
    connect_time_s = watch_schedule.CONNECT_TIMEOUT_S / 10  # connections to a reachable discovery are fast
    full_poll_started_s = watch.timeout_s + connect_time_s + changes_poll.timeout_s
    notified_s = watch.wait_s + watch_schedule.WAIT_NOTIFIED_S + grace
    assert full_poll_started_s + 0.1 < notified_s and watch.timeout_s > watch.wait_s + 0.5
    # Later calls may queue, and two of them fit between the start of a silence and the notification time.
    assert 2 * full_poll.timeout_s + 2 * watch_schedule.CONNECT_TIMEOUT_S < watch_schedule.SILENCE_NOTIFIED_S


@pytest.mark.parametrize("grace", GRACES_S[1:])
def test_broken_watch_in_pushed_mode_costs_less_than_grace(grace: float) -> None:
    schedule = new_schedule(True, grace)
    watch = schedule.next_poll(0.0)
    schedule.record_timeout()
    changes_poll = schedule.next_poll(0.0)
    assert watch.timeout_s + changes_poll.timeout_s < grace and changes_poll.since_version == 7
    schedule.record_timeout()
    assert schedule.next_poll(0.0).since_version is None
    # After an outage of any length the agent is polled again within the grace period.
    for _ in range(20):
        schedule.record_timeout()
        assert schedule.next_poll(0.0).timeout_s <= 0.5
        assert schedule.record_failure() <= 0.5


def test_failed_polls_back_off_with_jitter_within_notification_time_of_silence() -> None:
    first_backoffs_s, later_backoffs_s = set(), []
    for seed in range(30):
        schedule = new_schedule(False, seed=seed)
        backoffs_s = [schedule.record_failure() for _ in range(12)]
        first_backoffs_s.add(round(backoffs_s[0], 4))
        later_backoffs_s += backoffs_s[8:]
        # Nodes count as notified 6 s after discovery has a change and is reachable, even after failures. If a
        # call has just failed and the next one queues until it times out or is rejected, the following one is
        # answered in time.
        timed_out_s = max(backoffs_s) + 2 * (watch_schedule.CONNECT_TIMEOUT_S + schedule.answer_timeout_s)
        rejected_s = (
            2 * (max(backoffs_s) + watch_schedule.CONNECT_TIMEOUT_S) + MAX_QUEUE_WAIT_S + TIMELY_QUEUE_WAIT_S
        )
        assert max(timed_out_s, rejected_s) < watch_schedule.SILENCE_NOTIFIED_S
    assert (
        len(first_backoffs_s) > 20
        and min(later_backoffs_s) >= 0.5
        and len({round(wait, 3) for wait in later_backoffs_s}) > 60
    )


def test_list_known_at_start_is_watched_from_its_version_in_polled_mode_only() -> None:
    schedule = WatchSchedule(balancer_driver.settings(polls_endpoints=True, poll_within=10.0), Random(1))
    schedule.start_from(0)
    first_poll = schedule.next_poll(0.0)
    assert first_poll.since_version == 0 and 2.5 <= first_poll.wait_s <= 7.5
    assert first_poll.timeout_s < first_poll.wait_s + watch_schedule.WAIT_NOTIFIED_S
    schedule.record_answer(first_poll, 6.0, 0)
    assert 5.0 <= schedule.next_poll(6.0).wait_s <= 15.0
    schedule = WatchSchedule(balancer_driver.settings(polls_endpoints=False), Random(1))
    schedule.start_from(7)
    assert schedule.next_poll(0.0).since_version is None


def test_waits_of_watches_are_spread_around_unchanged_mean() -> None:
    """Nodes started together: seeds 0 to 199, for first waits with a mean of 5 s and later ones of 10 s."""
    for is_first, mean_wait_s in ((True, 5.0), (False, 10.0)):
        waits_s = []
        for seed in range(200):
            schedule = WatchSchedule(
                balancer_driver.settings(polls_endpoints=True, poll_within=10.0), Random(seed)
            )
            schedule.start_from(7)
            if not is_first:
                schedule.record_answer(schedule.next_poll(0.0), 6.0, 7)
            waits_s.append(schedule.next_poll(6.0).wait_s)
        assert max(waits_s) - min(waits_s) > 0.9 * mean_wait_s
        assert sum(waits_s) / len(waits_s) == pytest.approx(mean_wait_s, rel=0.03)
        max_count_in_tenth = max(
            sum(lower_bound_s <= wait < lower_bound_s + mean_wait_s / 10 for wait in waits_s)
            for lower_bound_s in waits_s
        )
        assert max_count_in_tenth < 0.2 * len(waits_s)


def test_first_polls_at_new_address_are_spread_in_polled_mode_only() -> None:
    assert new_schedule(True).start_delay() == 0.0
    assert len({round(new_schedule(False, seed=seed).start_delay(), 2) for seed in range(40)}) > 15


@pytest.mark.parametrize(
    ("full", "version", "at", "mismatch"),
    [
        (False, 8, 1.0, None),
        (True, 9, 1.0, None),
        (False, 7, 10.0, None),  # no change, at the end of the wait
        (False, 7, 1.0, Mismatch.OUT_OF_TURN),
        (True, 7, 0.1, Mismatch.OUT_OF_TURN),
        (False, 6, 10.0, Mismatch.OLDER),
        (True, 6, 1.0, Mismatch.OLDER),
    ],
)
def test_find_mismatch_rejects_early_and_older_answers_to_watch(
    full: bool, version: int, at: float, mismatch: Mismatch | None
) -> None:
    schedule = new_schedule(False)
    watch = dataclasses.replace(schedule.next_poll(50.0), wait_s=10.0)
    assert schedule.find_mismatch(watch, 50.0 + at, full, version) is mismatch


def test_full_list_of_any_version_is_accepted_after_answer_of_older_version() -> None:
    """A restarted discovery may count versions from the start: a node that rejects them never recovers."""
    schedule = new_schedule(False)
    schedule.next_poll(50.0)
    assert schedule.record_mismatch(Mismatch.OLDER) == 0.0
    full_poll = schedule.next_poll(50.1)
    assert full_poll.since_version is None
    assert schedule.find_mismatch(full_poll, 50.2, False, 2) is Mismatch.CHANGES_UNASKED
    assert schedule.find_mismatch(full_poll, 50.2, True, 2) is None
    schedule.record_answer(full_poll, 50.2, 2)
    assert schedule.next_poll(50.2).since_version == 2


def test_discovery_that_answers_watches_early_is_polled_with_backoff() -> None:
    schedule = new_schedule(True)
    backoffs_s = []
    for _ in range(8):
        schedule.next_poll(0.0)
        backoffs_s.append(schedule.record_mismatch(Mismatch.OUT_OF_TURN))
    assert (
        backoffs_s[0] == 0.0
        and backoffs_s == sorted(backoffs_s)
        and backoffs_s[-1] == watch_schedule.EARLY_BACKOFF_MAX_S
    )


def node_settings(mode: str, grace_ms: int) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS) | {"MembershipMode": mode}
    settings["Rules"] |= {"DrainGraceNs": grace_ms * 1_000_000, "AskWithinNs": 5 * NANOSECONDS_PER_SECOND}
    return settings


def send_requests_until(environment: NodeEnvironment, stopped: threading.Event) -> None:
    while not stopped.is_set():
        client = environment.client()
        client.open_request()
        client.sock.close()
        time.sleep(0.004)


def last_request_after_drain_s(
    server: EndpointServer, environment: NodeEnvironment, discovery: SilentDiscovery, bound_s: float
) -> float:
    """Send requests until `bound_s` has passed after the drain of `server`; returns the time from the
    beginning of the drain to the last request that the server received, in seconds."""
    stopped = threading.Event()
    request_thread = threading.Thread(target=send_requests_until, args=(environment, stopped), daemon=True)
    request_thread.start()
    wait_for(lambda: server.open_lines)
    drained_at = discovery.announce(server.entry, state="Terminating")
    wait_for(lambda: time.time() > drained_at + bound_s + 0.3, bound_s + 5.0)
    stopped.set()
    request_thread.join()
    return max(at for at, line in server.lines if line.startswith("OPEN")) - drained_at


def poll_wait_s(path: str) -> float:
    """Wait of a poll in seconds, parsed from its path."""
    found = re.search(r"wait=(\d+)", path)
    return int(found[1]) / 1000 if found else 0.0


@pytest.mark.parametrize("calls", [1, 2])
@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_node_stops_sending_to_draining_server_in_time_if_discovery_falls_silent(
    tmp_path: Path, mode: str, phase: str, calls: int
) -> None:
    """Guards against a silent call that is closed only after 16 s, during which the node sends requests to
    the draining server. The open watch, or also the call after it, stops in the given phase; its connection
    stays open."""
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    discovery = SilentDiscovery([server_a.entry, server_b.entry], indent=2)
    grace = 2000 if mode == "pushed" else 250
    with running_node(
        tmp_path, [server_a, server_b], settings=node_settings(mode, grace), discovery=discovery.address
    ) as environment:
        wait_for(lambda: any("index" in path for _, path in discovery.calls))
        began_at, path = [call for call in discovery.calls if "index" in call[1]][-1]
        discovery.fall_silent(phase, calls)
        # A node counts as notified at once in pushed mode; in polled mode after 6 s, or 2 s after the wait.
        wait_ended_at = began_at + poll_wait_s(path)
        notified_s = 0.0 if mode == "pushed" else max(6.0, wait_ended_at + 2.0 - time.time())
        bound_s = notified_s + grace / 1000 + 0.05
        last_request_s = last_request_after_drain_s(server_a, environment, discovery, bound_s)
        print(
            f"last sent {last_request_s:.2f} s after, bound {bound_s:.2f}, "
            f"calls {[path for _, path in discovery.calls]}"
        )
        assert last_request_s <= bound_s + SCHEDULING_SLACK_S / 2
        assert int(environment.counters()["lists_silent"]) == calls
        assert discovery.silent_calls_left == 0


@pytest.mark.parametrize("fault", ["twice", "older"])
def test_mismatched_answer_is_rejected_and_later_changes_arrive(tmp_path: Path, fault: str) -> None:
    """Guards against a duplicate answer, some ms late, that is taken for the answer to the next call, and
    against an answer of an older version, in which the draining server is still Ready."""
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    discovery = SilentDiscovery([server_a.entry, server_b.entry])
    with running_node(
        tmp_path, [server_a, server_b], settings=node_settings("on_request", 250), discovery=discovery.address
    ) as environment:
        wait_for(lambda: any("index" in path for _, path in discovery.calls))
        with discovery.changed:
            discovery.duplicate_answers = 1 if fault == "twice" else 0
        discovery.announce(server_a.entry, state="Terminating")
        wait_for(lambda: environment.counters().get("lists_delta") == "1")
        if fault == "older":
            with discovery.changed:
                discovery.stale_answers = 1
                discovery.changed.notify_all()
        reason = "out_of_turn" if fault == "twice" else "older"
        wait_for(
            lambda: any(
                f"lists_refused_{reason}" in name or "behind" in name for name in environment.counters()
            )
        )
        for _ in range(30):
            assert environment.client().open_request() == "UP b"
        discovery.announce(server_b.entry, state="Terminating")
        discovery.announce(server_a.entry, state="Ready")
        wait_for(lambda: environment.client().open_request() == "UP a")
