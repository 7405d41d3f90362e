"""Tests of connection counts inferred from live weights, and of group affinity over many proxies."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from gradegap.balancing import connection_estimates, hash_ring
from gradegap.balancing.events import (
    ConnectionInherited,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    RequestArrived,
)
from gradegap.balancing.settings import WeightMeaning
from tests.support.balancer_driver import BalancerDriver, forward_actions, terminal_actions

SIZE, CORES = 8.0, 5.0


def update_weights(
    driver: BalancerDriver, connections: dict[str, float], kind: EndpointListKind = EndpointListKind.DELTA
) -> None:
    """Feeds an endpoint list whose weights correspond to these connection counts."""
    entries = (
        EndpointEntry(name, weight=SIZE / (1.0 + count / CORES)) for name, count in connections.items()
    )
    driver.feed(EndpointList(kind, tuple(entries)), after=0.1)


def driver_with_two_endpoints(seed: int) -> BalancerDriver:
    """Returns a driver with s0 at load 0.3, s1 at load 0.5, 30 connections each, and no budget to check."""
    driver = BalancerDriver(servers=2, seed=seed, weight_meaning=WeightMeaning.LIVE, proxy_count=40)
    update_weights(driver, {"s0": 0.0, "s1": 0.0}, EndpointListKind.FULL)
    update_weights(driver, {"s0": 30.0, "s1": 30.0})
    driver.report_health("s0", 0.3, 30.0)
    driver.report_health("s1", 0.5, 30.0)
    driver.balancer.health_checks.budget = -100.0
    return driver


@pytest.mark.parametrize("seed", range(10))
def test_live_weights_after_a_report_reveal_placements_of_other_proxies(seed: int) -> None:
    """Guards against overload by 40 proxies that all use the headroom of their last load report at once."""
    driver = driver_with_two_endpoints(seed)
    update_weights(driver, {"s0": 70.0, "s1": 30.0})  # 0.3 + 40 * 0.01
    assert [forward.endpoint for forward in forward_actions(driver.request())] == ["s1"]
    update_weights(driver, {"s0": 120.0, "s1": 70.0})  # 1.2 and 1.17 now
    actions = driver.request(after=0.1)
    assert terminal_actions(actions) and not forward_actions(actions)


def test_complete_lists_and_phase_changes_do_not_change_estimated_connections() -> None:
    """Guards against taking a nominal weight for a live one, which makes the endpoint look empty."""
    driver = driver_with_two_endpoints(1)
    update_weights(driver, {"s0": 70.0, "s1": 30.0})
    update_weights(driver, {"s0": 0.0, "s1": 0.0}, EndpointListKind.FULL)
    for phase in (EndpointPhase.DRAINING, EndpointPhase.READY):
        entry = EndpointEntry("s0", phase=phase, weight=SIZE)
        driver.feed(EndpointList(EndpointListKind.DELTA, (entry,)))
    assert driver.balancer.load_estimates.load(driver.balancer.endpoints["s0"]) == pytest.approx(0.7)
    entry = EndpointEntry("s0", weight=SIZE, started_at=driver.now)  # its process has restarted
    driver.feed(EndpointList(EndpointListKind.DELTA, (entry,)))
    assert driver.balancer.load_estimates.load(driver.balancer.endpoints["s0"]) is None


def test_load_per_connection_of_an_empty_endpoint_follows_its_size() -> None:
    driver = BalancerDriver(servers=3, weight_meaning=WeightMeaning.LIVE)
    update_weights(driver, {f"s{index}": 0.0 for index in range(3)}, EndpointListKind.FULL)
    update_weights(driver, {"s0": 40.0, "s1": 40.0})
    for name in ("s0", "s1"):
        driver.report_health(name, 0.4, 40.0)
    driver.report_health("s2", 0.0, 0.0)
    assert driver.balancer.load_estimates.load_per_connection(
        driver.balancer.endpoints["s2"]
    ) == pytest.approx(0.01)


@pytest.mark.parametrize("noise", [0.0, 0.08])
def test_cores_are_learned_from_reports_and_live_weights(noise: float) -> None:
    rng = Random(3)
    print("seed 3")
    learned_cores = connection_estimates.cores(0.0, SIZE, SIZE, 0.0)  # an empty endpoint reveals nothing
    for _ in range(60):
        connection_count = rng.uniform(10.0, 90.0)
        learned_cores = connection_estimates.cores(
            learned_cores,
            SIZE,
            SIZE / (1.0 + connection_count / CORES),
            connection_count * rng.uniform(1 - noise, 1 + noise),
        )
    assert learned_cores == pytest.approx(CORES, rel=noise + 1e-6)
    assert connection_estimates.connections(
        SIZE, SIZE / (1.0 + 50.0 / CORES), learned_cores
    ) == pytest.approx(50.0, rel=noise + 1e-6)
    assert (
        connection_estimates.connections(SIZE, 0.0, learned_cores) < float("inf")
        and connection_estimates.cores(learned_cores, 0.0, 0.0, 9.0) == learned_cores
    )


def test_group_spread_over_many_proxies_meets_on_one_endpoint() -> None:
    """Guards against splitting a group over two endpoints, which pays its setup cost twice.

    It came about with 40 proxies without connections of the group and with noisy load reports: each proxy
    selected the less loaded of the first two endpoints on the ring.
    """
    rng = Random(5)
    print("seed 5")
    endpoint_counts: Counter[str] = Counter()
    for seed in range(40):
        driver = BalancerDriver(servers=20, seed=seed, connection_groups=True, proxy_count=40)
        actions = driver.answer_health_checks(
            driver.request(group="board-9"), lambda name: 0.3 + rng.uniform(-0.04, 0.04), 20.0
        )
        endpoint_counts.update(forward.endpoint for forward in forward_actions(actions))
    assert endpoint_counts.most_common(1)[0][1] >= 38, endpoint_counts


def test_request_of_a_group_goes_to_the_endpoint_with_its_connections() -> None:
    """Guards against scattering a group whose connections are not on the first endpoint of its ring."""
    hit_count = 0
    for index in range(20):
        driver = BalancerDriver(servers=20, seed=index, connection_groups=True)
        driver.feed(
            ConnectionInherited(RequestArrived(900, "live", driver.now + 2.0, group="board-9"), f"s{index}")
        )
        actions = driver.answer_health_checks(driver.request(group="board-9"), 0.3, 20.0)
        hit_count += [forward.endpoint for forward in forward_actions(actions)] == [f"s{index}"]
    assert hit_count == 20


def _forwards_beside_full_home(x0: float) -> int:
    """Returns the forwards of 40 proxies, each with one request of a group whose first endpoint is full.

    The other endpoints are at load `x0` with 20 connections each.
    """
    forward_count = 0
    for seed in range(40):
        driver = BalancerDriver(servers=20, seed=seed, connection_groups=True)
        (home,) = hash_ring.order(driver.balancer.registry.hash_ring, "board-9", 1)
        actions = driver.answer_health_checks(
            driver.request(group="board-9"), lambda name, full=home: 1.3 if name == full else x0, 20.0
        )
        forward_count += len(forward_actions(actions))
    return forward_count


def test_first_connection_of_a_group_needs_headroom_for_several() -> None:
    """Guards against spreading a group over many endpoints when these fill up (scenario join+vast).

    A group costs setup on every endpoint that has one of its connections. Each group was spread over eight
    endpoints, and 20 groups cost as much as 345 connections.
    """
    # Each other endpoint has headroom for 4 to 5 connections at load 0.7, and for 25 at load 0.4.
    forwards_at_0_7, forwards_at_0_4 = _forwards_beside_full_home(0.7), _forwards_beside_full_home(0.4)
    print(f"forwards of 40 requests: {forwards_at_0_7} at load 0.7, {forwards_at_0_4} at load 0.4")
    assert forwards_at_0_7 == 0
    assert forwards_at_0_4 >= 36
