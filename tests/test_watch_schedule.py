"""The one clock for the list: no drain is missed for a silent discovery, in either mode, in any phase."""

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

from gradegap.discovery import watch_schedule as listclock
from gradegap.discovery.watch_schedule import WatchSchedule
from tests import helpers
from tests.silent_discovery import PHASES, SilentDiscovery
from tests.world import BUSY_MACHINE, SETTINGS, Backend, World, wait_for, world

SECOND = 1_000_000_000
GRACES = (0.25, 0.75, 2.0, 4.0)
TURN_MOST = 2.0  # s after which a discovery that is asked in turn refuses a call that has waited
IN_TURN = 1.4  # s that a call may wait for its turn and still be of use


def clock(pushed: bool, grace: float = 2.0, seed: int = 1) -> WatchSchedule:
    told = helpers.settings(polls_endpoints=not pushed, drain_grace=grace, poll_within=10.0, proxy_count=40)
    made = WatchSchedule(told, Random(seed))
    made.took(made.next(0.0), 0.02, 7)
    return made


@pytest.mark.parametrize("grace", GRACES)
@pytest.mark.parametrize("turn", [0.01, 0.3, 1.5])
def test_an_asked_watch_that_is_silent_leaves_time_for_the_changes_and_the_whole_list(
    grace: float, turn: float
) -> None:
    """News of any moment of the watch is there before the rules hold it for told and the grace is over."""
    c = clock(False, grace)
    c.turn = turn
    watch = c.next(100.0)
    assert watch.index == 7 and 5.0 <= watch.wait <= 15.0
    after = c.fell_silent()
    again = c.next(0.0)
    assert again.index == 7 and again.wait == 0.0
    c.fell_silent()
    whole = c.next(0.0)
    assert whole.index is None and after == 0.0
    begun = watch.limit + listclock.DIAL / 10 + again.limit  # dials of a discovery that is there are short
    told = watch.wait + listclock.WAIT_TOLD + grace
    assert begun + 0.1 < told and watch.limit > watch.wait + 0.5
    # Further calls wait their turn, and two of them fit between a silence and its end.
    assert 2 * whole.limit + 2 * listclock.DIAL < listclock.SILENCE_TOLD


@pytest.mark.parametrize("grace", GRACES[1:])
def test_a_pushed_watch_costs_less_than_the_grace_wherever_it_breaks(grace: float) -> None:
    c = clock(True, grace)
    watch = c.next(0.0)
    c.fell_silent()
    again = c.next(0.0)
    assert watch.limit + again.limit < grace and again.index == 7
    c.fell_silent()
    assert c.next(0.0).index is None
    # After an outage of any length what the agent holds is asked for within the grace.
    for _ in range(20):
        c.fell_silent()
        assert c.next(0.0).limit <= 0.5
        assert c.lost() <= 0.5


def test_failed_asked_calls_wait_longer_each_time_with_jitter_and_never_past_the_clock() -> None:
    first, late = set(), []
    for seed in range(30):
        c = clock(False, seed=seed)
        waits = [c.lost() for _ in range(12)]
        first.add(round(waits[0], 4))
        late += waits[8:]
        # What discovery has and can be asked for counts as told 6 s later, whatever failed before. A call has
        # just failed; the next waits its turn and is given up, or refused; the one after it is in time.
        given_up = max(waits) + listclock.DIAL + c.answer + listclock.DIAL + c.answer
        refused = 2 * (max(waits) + listclock.DIAL) + TURN_MOST + IN_TURN
        assert max(given_up, refused) < listclock.SILENCE_TOLD
    assert len(first) > 20 and min(late) >= 0.5 and len({round(w, 3) for w in late}) > 60


def test_a_list_known_from_before_the_start_is_asked_on_from_where_calls_are_dear() -> None:
    c = WatchSchedule(helpers.settings(polls_endpoints=True, poll_within=10.0), Random(1))
    c.known(0)
    first = c.next(0.0)
    assert first.index == 0 and 2.5 <= first.wait <= 7.5
    assert first.limit < first.wait + listclock.WAIT_TOLD
    c.took(first, 6.0, 0)
    assert 5.0 <= c.next(6.0).wait <= 15.0
    c = WatchSchedule(helpers.settings(polls_endpoints=False), Random(1))
    c.known(7)
    assert c.next(0.0).index is None


def test_watches_of_nodes_that_were_started_together_end_apart_and_cost_no_more() -> None:
    """Seeds 0 to 199: first watches, of 5 s about, and the later ones, of 10 s about."""
    for first, about in ((True, 5.0), (False, 10.0)):
        waits_of = []
        for seed in range(200):
            c = WatchSchedule(helpers.settings(polls_endpoints=True, poll_within=10.0), Random(seed))
            c.known(7)
            if not first:
                c.took(c.next(0.0), 6.0, 7)
            waits_of.append(c.next(6.0).wait)
        assert max(waits_of) - min(waits_of) > 0.9 * about
        assert sum(waits_of) / len(waits_of) == pytest.approx(about, rel=0.03)
        in_a_tenth = max(sum(low <= w < low + about / 10 for w in waits_of) for low in waits_of)
        assert in_a_tenth < 0.2 * len(waits_of)


def test_all_nodes_told_of_a_new_discovery_at_once_call_it_apart() -> None:
    assert clock(True).spread() == 0.0
    assert len({round(clock(False, seed=k).spread(), 2) for k in range(40)}) > 15


@pytest.mark.parametrize(
    ("full", "version", "at", "why"),
    [
        (False, 8, 1.0, ""),
        (True, 9, 1.0, ""),
        (False, 7, 10.0, ""),  # nothing new, and the wait is over
        (False, 7, 1.0, "out_of_turn"),
        (True, 7, 0.1, "out_of_turn"),
        (False, 6, 10.0, "older"),
        (True, 6, 1.0, "older"),
    ],
)
def test_answers_that_fit_a_watch(full: bool, version: int, at: float, why: str) -> None:
    c = clock(False)
    watch = dataclasses.replace(c.next(50.0), wait=10.0)
    assert c.fits(watch, 50.0 + at, full, version) == why


def test_after_an_answer_of_an_older_version_any_whole_list_is_taken() -> None:
    """Discovery may have begun anew, with small numbers: a node that refused them all would be wedged."""
    c = clock(False)
    c.next(50.0)
    assert c.refused("older") == 0.0
    whole = c.next(50.1)
    assert whole.index is None
    assert c.fits(whole, 50.2, False, 2) == "changes_unasked" and c.fits(whole, 50.2, True, 2) == ""
    c.took(whole, 50.2, 2)
    assert c.next(50.2).index == 2


def test_a_discovery_that_holds_no_watch_is_not_called_in_a_circle() -> None:
    c = clock(True)
    pauses = []
    for _ in range(8):
        c.next(0.0)
        pauses.append(c.refused("out_of_turn"))
    assert pauses[0] == 0.0 and pauses == sorted(pauses) and pauses[-1] == listclock.EARLY_MOST


def settings(mode: str, grace_ms: int) -> dict[str, Any]:
    made = copy.deepcopy(SETTINGS) | {"MembershipMode": mode}
    made["Rules"] |= {"DrainGraceNs": grace_ms * 1_000_000, "AskWithinNs": 5 * SECOND}
    return made


def ask_until(w: World, ended: threading.Event) -> None:
    while not ended.is_set():
        client = w.client()
        client.ask()
        client.sock.close()
        time.sleep(0.004)


def last_open(a: Backend, w: World, d: SilentDiscovery, bound: float) -> float:
    """Ask without pause until `a` has drained and the bound is over; when `a` was last sent to, in s after it
    began to drain."""
    ended = threading.Event()
    asking = threading.Thread(target=ask_until, args=(w, ended), daemon=True)
    asking.start()
    wait_for(lambda: a.opens)
    told = d.tell(a.entry, state="Terminating")
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
    a, b = Backend("a"), Backend("b")
    d = SilentDiscovery([a.entry, b.entry], indent=2)
    grace = 2000 if mode == "pushed" else 250
    with world(tmp_path, [a, b], settings=settings(mode, grace), discovery=d.address) as w:
        wait_for(lambda: any("index" in path for _, path in d.calls))
        began, path = [call for call in d.calls if "index" in call[1]][-1]
        d.fall_silent(phase, calls)
        # Pushed, what the agent has counts as told at once; asked, 6 s after, or 2 s after the call's wait.
        ended = began + waits(path)
        told = 0.0 if mode == "pushed" else max(6.0, ended + 2.0 - time.time())
        bound = told + grace / 1000 + 0.05
        last = last_open(a, w, d, bound)
        print(f"last sent {last:.2f} s after, bound {bound:.2f}, calls {[p for _, p in d.calls]}")
        assert last <= bound + BUSY_MACHINE / 2
        assert int(w.counters()["lists_silent"]) == calls
        assert d.left == 0


@pytest.mark.parametrize("spoilt", ["twice", "older"])
def test_an_answer_that_is_not_the_one_asked_for_is_refused_and_wedges_nothing(
    tmp_path: Path, spoilt: str
) -> None:
    """A second answer some ms late was taken for the next call's, and one of an older version rolled a drain
    back: the first server said is Ready in it."""
    a, b = Backend("a"), Backend("b")
    d = SilentDiscovery([a.entry, b.entry])
    with world(tmp_path, [a, b], settings=settings("on_request", 250), discovery=d.address) as w:
        wait_for(lambda: any("index" in path for _, path in d.calls))
        with d.changed:
            d.twice = 1 if spoilt == "twice" else 0
        d.tell(a.entry, state="Terminating")
        wait_for(lambda: w.counters().get("lists_delta") == "1")
        if spoilt == "older":
            with d.changed:
                d.older = 1
                d.changed.notify_all()
        why = "out_of_turn" if spoilt == "twice" else "older"
        wait_for(lambda: any(f"lists_refused_{why}" in n or "behind" in n for n in w.counters()))
        for _ in range(30):
            assert w.client().ask() == "UP b"
        d.tell(b.entry, state="Terminating")
        d.tell(a.entry, state="Ready")
        wait_for(lambda: w.client().ask() == "UP a")
