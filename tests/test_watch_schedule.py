"""The watch schedule: no drain is missed for a silent discovery, in either mode, in any phase."""

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

SECOND = 1_000_000_000
GRACES = (0.25, 0.75, 2.0, 4.0)
TURN_MOST = 2.0  # s after which a discovery that is asked in turn refuses a call that has waited
IN_TURN = 1.4  # s that a call may wait for its turn and still be of use


def schedule(pushed: bool, grace: float = 2.0, seed: int = 1) -> WatchSchedule:
    told = balancer_driver.settings(
        polls_endpoints=not pushed, drain_grace=grace, poll_within=10.0, proxy_count=40
    )
    made = WatchSchedule(told, Random(seed))
    made.record_answer(made.next_poll(0.0), 0.02, 7)
    return made


@pytest.mark.parametrize("grace", GRACES)
@pytest.mark.parametrize("turn", [0.01, 0.3, 1.5])
def test_a_polled_watch_that_is_silent_leaves_time_for_the_changes_and_the_full_list(
    grace: float, turn: float
) -> None:
    """News of any moment of the watch is there before the rules hold it for told and the grace is over."""
    made = schedule(False, grace)
    made.answer_time_s = turn
    watch = made.next_poll(100.0)
    assert watch.since_version == 7 and 5.0 <= watch.wait_s <= 15.0
    after = made.record_timeout()
    again = made.next_poll(0.0)
    assert again.since_version == 7 and again.wait_s == 0.0
    made.record_timeout()
    whole = made.next_poll(0.0)
    assert whole.since_version is None and after == 0.0
    connect = watch_schedule.CONNECT_TIMEOUT_S / 10  # connects to a discovery that is there are short
    begun = watch.timeout_s + connect + again.timeout_s
    told = watch.wait_s + watch_schedule.WAIT_NOTIFIED_S + grace
    assert begun + 0.1 < told and watch.timeout_s > watch.wait_s + 0.5
    # Further calls wait their turn, and two of them fit between a silence and its end.
    assert 2 * whole.timeout_s + 2 * watch_schedule.CONNECT_TIMEOUT_S < watch_schedule.SILENCE_NOTIFIED_S


@pytest.mark.parametrize("grace", GRACES[1:])
def test_a_pushed_watch_costs_less_than_the_grace_wherever_it_breaks(grace: float) -> None:
    made = schedule(True, grace)
    watch = made.next_poll(0.0)
    made.record_timeout()
    again = made.next_poll(0.0)
    assert watch.timeout_s + again.timeout_s < grace and again.since_version == 7
    made.record_timeout()
    assert made.next_poll(0.0).since_version is None
    # After an outage of any length what the agent holds is asked for within the grace.
    for _ in range(20):
        made.record_timeout()
        assert made.next_poll(0.0).timeout_s <= 0.5
        assert made.record_failure() <= 0.5


def test_failed_polls_back_off_with_jitter_and_within_the_time_of_a_silence() -> None:
    first, late = set(), []
    for seed in range(30):
        made = schedule(False, seed=seed)
        waits = [made.record_failure() for _ in range(12)]
        first.add(round(waits[0], 4))
        late += waits[8:]
        # What discovery has and can be asked for counts as told 6 s later, whatever failed before. A call has
        # just failed; the next waits its turn and is given up, or refused; the one after it is in time.
        given_up = max(waits) + 2 * (watch_schedule.CONNECT_TIMEOUT_S + made.answer_timeout_s)
        refused = 2 * (max(waits) + watch_schedule.CONNECT_TIMEOUT_S) + TURN_MOST + IN_TURN
        assert max(given_up, refused) < watch_schedule.SILENCE_NOTIFIED_S
    assert len(first) > 20 and min(late) >= 0.5 and len({round(w, 3) for w in late}) > 60


def test_a_list_known_from_before_the_start_is_watched_from_its_version_where_polls_are_dear() -> None:
    made = WatchSchedule(balancer_driver.settings(polls_endpoints=True, poll_within=10.0), Random(1))
    made.start_from(0)
    first = made.next_poll(0.0)
    assert first.since_version == 0 and 2.5 <= first.wait_s <= 7.5
    assert first.timeout_s < first.wait_s + watch_schedule.WAIT_NOTIFIED_S
    made.record_answer(first, 6.0, 0)
    assert 5.0 <= made.next_poll(6.0).wait_s <= 15.0
    made = WatchSchedule(balancer_driver.settings(polls_endpoints=False), Random(1))
    made.start_from(7)
    assert made.next_poll(0.0).since_version is None


def test_watches_of_nodes_that_were_started_together_end_apart_and_cost_no_more() -> None:
    """Seeds 0 to 199: first watches, of 5 s about, and the later ones, of 10 s about."""
    for first, about in ((True, 5.0), (False, 10.0)):
        waits_of = []
        for seed in range(200):
            made = WatchSchedule(
                balancer_driver.settings(polls_endpoints=True, poll_within=10.0), Random(seed)
            )
            made.start_from(7)
            if not first:
                made.record_answer(made.next_poll(0.0), 6.0, 7)
            waits_of.append(made.next_poll(6.0).wait_s)
        assert max(waits_of) - min(waits_of) > 0.9 * about
        assert sum(waits_of) / len(waits_of) == pytest.approx(about, rel=0.03)
        in_a_tenth = max(sum(low <= w < low + about / 10 for w in waits_of) for low in waits_of)
        assert in_a_tenth < 0.2 * len(waits_of)


def test_all_nodes_that_learn_of_a_new_discovery_at_once_poll_it_apart() -> None:
    assert schedule(True).start_delay() == 0.0
    assert len({round(schedule(False, seed=k).start_delay(), 2) for k in range(40)}) > 15


@pytest.mark.parametrize(
    ("full", "version", "at", "mismatch"),
    [
        (False, 8, 1.0, None),
        (True, 9, 1.0, None),
        (False, 7, 10.0, None),  # nothing new, and the wait is over
        (False, 7, 1.0, Mismatch.OUT_OF_TURN),
        (True, 7, 0.1, Mismatch.OUT_OF_TURN),
        (False, 6, 10.0, Mismatch.OLDER),
        (True, 6, 1.0, Mismatch.OLDER),
    ],
)
def test_answers_that_fit_a_watch(full: bool, version: int, at: float, mismatch: Mismatch | None) -> None:
    made = schedule(False)
    watch = dataclasses.replace(made.next_poll(50.0), wait_s=10.0)
    assert made.find_mismatch(watch, 50.0 + at, full, version) is mismatch


def test_after_an_answer_of_an_older_version_any_full_list_is_accepted() -> None:
    """Discovery may have begun anew, with small numbers: a node that refused them all would be wedged."""
    made = schedule(False)
    made.next_poll(50.0)
    assert made.record_mismatch(Mismatch.OLDER) == 0.0
    whole = made.next_poll(50.1)
    assert whole.since_version is None
    assert made.find_mismatch(whole, 50.2, False, 2) is Mismatch.CHANGES_UNASKED
    assert made.find_mismatch(whole, 50.2, True, 2) is None
    made.record_answer(whole, 50.2, 2)
    assert made.next_poll(50.2).since_version == 2


def test_a_discovery_that_holds_no_watch_is_not_polled_without_pause() -> None:
    made = schedule(True)
    pauses = []
    for _ in range(8):
        made.next_poll(0.0)
        pauses.append(made.record_mismatch(Mismatch.OUT_OF_TURN))
    assert pauses[0] == 0.0 and pauses == sorted(pauses) and pauses[-1] == watch_schedule.EARLY_BACKOFF_MAX_S


def settings(mode: str, grace_ms: int) -> dict[str, Any]:
    made = copy.deepcopy(SETTINGS) | {"MembershipMode": mode}
    made["Rules"] |= {"DrainGraceNs": grace_ms * 1_000_000, "AskWithinNs": 5 * SECOND}
    return made


def ask_until(w: NodeEnvironment, ended: threading.Event) -> None:
    while not ended.is_set():
        client = w.client()
        client.open_request()
        client.sock.close()
        time.sleep(0.004)


def last_open(a: EndpointServer, w: NodeEnvironment, d: SilentDiscovery, bound: float) -> float:
    """Ask without pause until `a` has drained and the bound is over; when `a` was last sent to, in s after it
    began to drain."""
    ended = threading.Event()
    asking = threading.Thread(target=ask_until, args=(w, ended), daemon=True)
    asking.start()
    wait_for(lambda: a.open_lines)
    told = d.announce(a.entry, state="Terminating")
    wait_for(lambda: time.time() > told + bound + 0.3, bound + 5.0)
    ended.set()
    asking.join()
    return max(at for at, line in a.lines if line.startswith("OPEN")) - told


def waits(path: str) -> float:
    """s that a call may wait, by its path."""
    found = re.search(r"wait=(\d+)", path)
    return int(found[1]) / 1000 if found else 0.0


@pytest.mark.parametrize("calls", [1, 2])
@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_a_drain_is_kept_though_discovery_falls_silent(
    tmp_path: Path, mode: str, phase: str, calls: int
) -> None:
    """The watch that was open, or also the call after it, gets so far and no further; its connection stands.
    Once given up after 16 s only: the drain was sent to for as long."""
    a, b = EndpointServer("a"), EndpointServer("b")
    d = SilentDiscovery([a.entry, b.entry], indent=2)
    grace = 2000 if mode == "pushed" else 250
    with running_node(tmp_path, [a, b], settings=settings(mode, grace), discovery=d.address) as w:
        wait_for(lambda: any("index" in path for _, path in d.calls))
        began, path = [call for call in d.calls if "index" in call[1]][-1]
        d.fall_silent(phase, calls)
        # Pushed, what the agent has counts as told at once; asked, 6 s after, or 2 s after the call's wait.
        ended = began + waits(path)
        told = 0.0 if mode == "pushed" else max(6.0, ended + 2.0 - time.time())
        bound = told + grace / 1000 + 0.05
        last = last_open(a, w, d, bound)
        print(f"last sent {last:.2f} s after, bound {bound:.2f}, calls {[p for _, p in d.calls]}")
        assert last <= bound + SCHEDULING_SLACK_S / 2
        assert int(w.counters()["lists_silent"]) == calls
        assert d.silent_calls_left == 0


@pytest.mark.parametrize("spoilt", ["twice", "older"])
def test_an_answer_that_is_not_the_one_to_its_poll_is_rejected_and_blocks_nothing(
    tmp_path: Path, spoilt: str
) -> None:
    """A second answer some ms late was taken for the next call's, and one of an older version rolled a drain
    back: the first server said is Ready in it."""
    a, b = EndpointServer("a"), EndpointServer("b")
    d = SilentDiscovery([a.entry, b.entry])
    with running_node(tmp_path, [a, b], settings=settings("on_request", 250), discovery=d.address) as w:
        wait_for(lambda: any("index" in path for _, path in d.calls))
        with d.changed:
            d.duplicate_answers = 1 if spoilt == "twice" else 0
        d.announce(a.entry, state="Terminating")
        wait_for(lambda: w.counters().get("lists_delta") == "1")
        if spoilt == "older":
            with d.changed:
                d.stale_answers = 1
                d.changed.notify_all()
        why = "out_of_turn" if spoilt == "twice" else "older"
        wait_for(lambda: any(f"lists_refused_{why}" in n or "behind" in n for n in w.counters()))
        for _ in range(30):
            assert w.client().open_request() == "UP b"
        d.announce(b.entry, state="Terminating")
        d.announce(a.entry, state="Ready")
        wait_for(lambda: w.client().open_request() == "UP a")
