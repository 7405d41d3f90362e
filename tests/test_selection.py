"""Tests of endpoint selection by the (1+beta)-choice process, with up-to-date load reports."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from gradegap.balancing.events import AttemptResult, EndpointEntry, EndpointList, EndpointListKind
from gradegap.balancing.selection import Selection
from tests.support.balancer_driver import BalancerDriver, forward_actions


def place_requests(driver: BalancerDriver, loads: dict[str, float], count: int) -> Counter[str]:
    """Places `count` requests while health checks report `loads`; returns how many each endpoint got."""
    chosen: Counter[str] = Counter()
    for _ in range(count):
        actions = driver.answer_health_checks(driver.request(after=5.0), lambda name: loads[name])
        (forward,) = forward_actions(actions)
        chosen[forward.endpoint] += 1
        driver.end_attempt(forward, AttemptResult.OK, settled=True)
    return chosen


def test_beta_up_to_n_log_n_placements_is_one_then_falls_by_square_root() -> None:
    driver = BalancerDriver(servers=20, proxy_count=50)
    for _ in range(400):
        driver.balancer.rates.established.add(driver.now)
        driver.now += 0.5
    driver.balancer.context.now = driver.now
    rate = driver.balancer.rates.established.rate(driver.now)
    assert rate == pytest.approx(2.0, rel=0.3)
    n_log_n = 20 * math.log(20)
    n_log_n_age = n_log_n / (rate * 50)
    assert driver.balancer.selection.beta(0.0) == 1.0
    assert driver.balancer.selection.beta(n_log_n_age * 0.99) == 1.0
    assert driver.balancer.selection.beta(n_log_n_age * 4) == pytest.approx(0.5)
    assert driver.balancer.selection.beta(n_log_n_age * 10_000) == pytest.approx(0.01)


def test_beta_after_failed_attempts_is_unchanged() -> None:
    driver = BalancerDriver()
    for _ in range(20):
        actions = driver.answer_health_checks(driver.request(after=2.0), 0.2)
        driver.end_attempt(forward_actions(actions)[0], AttemptResult.ERROR)
    assert driver.balancer.rates.established.rate(driver.now) == 0.0
    assert driver.balancer.selection.beta(1000.0) == 1.0


def test_selection_at_beta_one_has_two_choice_frequencies() -> None:
    names = [f"s{index}" for index in range(5)]
    loads = {name: 0.1 + 0.02 * index for index, name in enumerate(names)}
    chosen = place_requests(BalancerDriver(servers=5, seed=3), loads, 3000)
    for index, name in enumerate(names):  # of the 10 pairs, endpoint `index` is the less loaded in 4 - index
        assert chosen[name] / 3000 == pytest.approx((4 - index) / 10, abs=0.03)


@pytest.mark.parametrize("beta", [0.5, 0.02])
def test_selection_with_fixed_beta_compares_with_that_probability(
    monkeypatch: pytest.MonkeyPatch, beta: float
) -> None:
    driver = BalancerDriver(servers=5, seed=4)
    monkeypatch.setattr(Selection, "beta", lambda self, age: beta)
    names = [f"s{index}" for index in range(5)]
    chosen = place_requests(driver, {name: 0.1 + 0.02 * index for index, name in enumerate(names)}, 3000)
    for index, name in enumerate(names):
        expected = beta * (4 - index) / 10 + (1 - beta) / 5
        assert chosen[name] / 3000 == pytest.approx(expected, abs=0.03)


def test_selection_between_equal_or_unknown_loads_is_uniform() -> None:
    tied = place_requests(BalancerDriver(servers=2, seed=5), {"s0": 0.3, "s1": 0.3}, 1000)
    assert tied["s0"] / 1000 == pytest.approx(0.5, abs=0.06)
    driver = BalancerDriver(servers=2, seed=6, health_checks=False)
    driver.balancer.context.uses_health_checks = True  # reports are enabled, but none has arrived yet
    driver.balancer.health_checks.budget = -1e9
    chosen = Counter(forward_actions(driver.request(after=60.0))[0].endpoint for _ in range(1000))
    assert chosen["s0"] / 1000 == pytest.approx(0.5, abs=0.06)


def test_selection_with_one_or_two_endpoints_takes_the_less_loaded() -> None:
    assert place_requests(BalancerDriver(servers=1), {"s0": 0.2}, 20) == {"s0": 20}
    assert place_requests(BalancerDriver(servers=2), {"s0": 0.2, "s1": 0.3}, 20) == {"s0": 20}


def test_balancer_with_same_seed_and_events_returns_same_actions() -> None:
    runs = []
    for _ in range(2):
        driver = BalancerDriver(servers=8, seed=11)
        place_requests(driver, {f"s{index}": 0.1 * index for index in range(8)}, 50)
        runs.append(driver.log)
    assert runs[0] == runs[1]


def test_balancer_with_other_zone_names_decides_alike() -> None:
    runs = []
    for zones in ({"a": "a", "b": "b"}, {"a": "north", "b": "south"}):
        driver = BalancerDriver(servers=0, seed=12, zone=zones["a"], cross_zone_cost=0.06)
        entries = tuple(EndpointEntry(f"s{index}", zone=zones["ab"[index % 2]]) for index in range(8))
        driver.feed(EndpointList(EndpointListKind.FULL, entries))
        runs.append(place_requests(driver, {f"s{index}": 0.05 * index for index in range(8)}, 50))
    assert runs[0] == runs[1]
