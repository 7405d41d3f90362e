"""The ordinary path: two uniform draws, and with probability beta the lighter by last probed load."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from gradegap.balancing.events import AttemptResult, EndpointEntry, EndpointList, EndpointListKind
from gradegap.balancing.selection import Selection
from tests.support.balancer_driver import BalancerDriver, forward_actions


def place(d: BalancerDriver, loads: dict[str, float], count: int) -> Counter[str]:
    """Where `count` requests go while every probe is answered with these loads."""
    chosen: Counter[str] = Counter()
    for _ in range(count):
        out = d.answer_health_checks(d.request(after=5.0), lambda s: loads[s])
        (send,) = forward_actions(out)
        chosen[send.endpoint] += 1
        d.end_attempt(send, AttemptResult.OK, settled=True)
    return chosen


def test_beta_is_one_until_b_reaches_n_ln_n_and_follows_the_root_past_it() -> None:
    d = BalancerDriver(servers=20, proxy_count=50)
    for _ in range(400):
        d.balancer.rates.established.add(d.now)
        d.now += 0.5
    d.balancer.context.now = d.now
    rate = d.balancer.rates.established.rate(d.now)
    assert rate == pytest.approx(2.0, rel=0.3)
    limit = 20 * math.log(20)
    edge = limit / (rate * 50)
    assert d.balancer.selection.beta(0.0) == 1.0
    assert d.balancer.selection.beta(edge * 0.99) == 1.0
    assert d.balancer.selection.beta(edge * 4) == pytest.approx(0.5)
    assert d.balancer.selection.beta(edge * 10_000) == pytest.approx(0.01)


def test_failures_before_standing_leave_b_alone() -> None:
    d = BalancerDriver()
    for _ in range(20):
        out = d.answer_health_checks(d.request(after=2.0), 0.2)
        d.end_attempt(forward_actions(out)[0], AttemptResult.ERROR)
    assert d.balancer.rates.established.rate(d.now) == 0.0
    assert d.balancer.selection.beta(1000.0) == 1.0


def test_at_beta_one_choice_frequencies_are_those_of_two_choices() -> None:
    names = [f"s{i}" for i in range(5)]
    loads = {s: 0.1 + 0.02 * i for i, s in enumerate(names)}
    chosen = place(BalancerDriver(servers=5, seed=3), loads, 3000)
    for i, s in enumerate(names):  # of the 10 pairs, server i is the lighter in 4 - i
        assert chosen[s] / 3000 == pytest.approx((4 - i) / 10, abs=0.03)


@pytest.mark.parametrize("beta", [0.5, 0.02])
def test_share_of_two_way_comparisons_follows_beta(monkeypatch: pytest.MonkeyPatch, beta: float) -> None:
    d = BalancerDriver(servers=5, seed=4)
    monkeypatch.setattr(Selection, "beta", lambda self, age: beta)
    names = [f"s{i}" for i in range(5)]
    chosen = place(d, {s: 0.1 + 0.02 * i for i, s in enumerate(names)}, 3000)
    for i, s in enumerate(names):
        expected = beta * (4 - i) / 10 + (1 - beta) / 5
        assert chosen[s] / 3000 == pytest.approx(expected, abs=0.03)


def test_ties_and_unprobed_servers_are_split_at_random() -> None:
    equal = place(BalancerDriver(servers=2, seed=5), {"s0": 0.3, "s1": 0.3}, 1000)
    assert equal["s0"] / 1000 == pytest.approx(0.5, abs=0.06)
    d = BalancerDriver(servers=2, seed=6, health_checks=False)
    d.balancer.context.uses_health_checks = True  # reports exist, none came yet: both are unprobed
    d.balancer.health_checks.budget = -1e9
    chosen = Counter(forward_actions(d.request(after=60.0))[0].endpoint for _ in range(1000))
    assert chosen["s0"] / 1000 == pytest.approx(0.5, abs=0.06)


def test_one_server_and_two_servers() -> None:
    assert place(BalancerDriver(servers=1), {"s0": 0.2}, 20) == {"s0": 20}
    assert place(BalancerDriver(servers=2), {"s0": 0.2, "s1": 0.3}, 20) == {"s0": 20}


def test_same_events_same_actions() -> None:
    runs = []
    for _ in range(2):
        d = BalancerDriver(servers=8, seed=11)
        place(d, {f"s{i}": 0.1 * i for i in range(8)}, 50)
        runs.append(d.log)
    assert runs[0] == runs[1]


def test_names_change_no_decision() -> None:
    runs = []
    for zones in ({"a": "a", "b": "b"}, {"a": "north", "b": "south"}):
        d = BalancerDriver(servers=0, seed=12, zone=zones["a"], cross_zone_cost=0.06)
        entries = tuple(EndpointEntry(f"s{i}", zone=zones["ab"[i % 2]]) for i in range(8))
        d.feed(EndpointList(EndpointListKind.FULL, entries))
        runs.append(place(d, {f"s{i}": 0.05 * i for i in range(8)}, 50))
    assert runs[0] == runs[1]
