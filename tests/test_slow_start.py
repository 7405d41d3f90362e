"""Tests of slow start: one proxy's budget for endpoints that have just started, and invalid start times."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from random import Random
from typing import Any

import pytest

from gradegap.balancing import hash_ring, settings_reader
from gradegap.balancing.capacity import Capacity, is_warming_up
from gradegap.balancing.events import (
    AttemptResult,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
)
from gradegap.balancing.rates import DecayingRate
from gradegap.balancing.settings import ClassSettings, DeduplicationScope, Idempotency, ReportSource
from gradegap.balancing.slow_start import (
    CAPACITY_SAFETY_RATIO,
    MAX_ACCEPTANCE_RATIO,
    MIN_BURST_WINDOW_COUNT,
    SEND_SHARE_MAX_REFILL_WINDOWS,
    SEND_SHARE_SAFETY_RATIO,
    SlowStart,
)
from tests.support.balancer_driver import BalancerDriver, forward_actions, settings
from tests.support.node_environment import SETTINGS

SEED = 20
NOW = 1000.0


@dataclass
class ReportedEndpoint:
    started_at: float = 0.0
    size: float = 1.0
    load_per_connection: float = 0.0
    last_report: tuple[float | None, float | None] = (None, None)


def long_running_slow_start(ready: list[ReportedEndpoint], **changes: Any) -> SlowStart:
    """Returns the slow start of a proxy that has run for 1,000 s and has all endpoints' load reports."""
    capacity = Capacity()
    capacity.update(NOW, ready, settings(**changes))
    slow_start = SlowStart(capacity)
    slow_start.started_at = NOW - 1000.0
    return slow_start


def acceptance_probability(
    slow_start: SlowStart, server: ReportedEndpoint, ready: list[ReportedEndpoint], now: float, **changes: Any
) -> float:
    return slow_start.acceptance_probability(now, server, ready, DecayingRate(), settings(**changes))


def starting_endpoint(**fields: Any) -> ReportedEndpoint:
    return ReportedEndpoint(started_at=NOW, **fields)


def test_draws_far_apart_without_reports_are_accepted_by_an_even_share() -> None:
    # It started in the future, so its capacity stays that of an endpoint that has just started.
    starting = ReportedEndpoint(started_at=1e9)
    ready = [starting] + [ReportedEndpoint() for _ in range(9)]
    slow_start = long_running_slow_start(ready, overload_multiple=2.0)
    # One pair in five contains the endpoint, so one draw may use the tokens of five pairs.
    probability = min(SEND_SHARE_SAFETY_RATIO * 2.0 / 10 * 5, MAX_ACCEPTANCE_RATIO * 2.0)
    for index in range(1, 5):
        assert acceptance_probability(
            slow_start, starting, ready, NOW + 1000.0 * index, overload_multiple=2.0
        ) == pytest.approx(probability * 0.3)


@pytest.mark.parametrize("draws", [1, 10, 1000])
@pytest.mark.parametrize("connection_load", [0.0, 0.01])
def test_burst_of_draws_gets_at_most_the_full_bucket_and_the_refill_of_a_window(
    draws: int, connection_load: float
) -> None:
    starting = starting_endpoint()
    ready = [starting] + [ReportedEndpoint(load_per_connection=connection_load) for _ in range(9)]
    slow_start = long_running_slow_start(ready)
    window = 1.0
    times = [NOW + window * index / draws for index in range(draws)]
    total = sum(
        acceptance_probability(slow_start, starting, ready, now, overload_window=window) for now in times
    )
    capacity_share = 0.3 + 0.7 * window / 10.0  # at the end of the window
    share = SEND_SHARE_SAFETY_RATIO * 3.0 / 10
    limit_by_sends = share * (5.0 + 1.0 / SEND_SHARE_MAX_REFILL_WINDOWS) * capacity_share
    limit_by_capacity = (
        CAPACITY_SAFETY_RATIO
        * 3.0
        * (1.0 / 0.01)
        / 10.0
        / 10
        * (MIN_BURST_WINDOW_COUNT + 1.0)
        * window
        * capacity_share
        if connection_load
        else 0.0
    )
    print(f"{total:.3f} of {max(limit_by_sends, limit_by_capacity):.3f}")
    assert total <= max(limit_by_sends, limit_by_capacity) * (1.0 + 1e-9)


@pytest.mark.parametrize("proxies", [3, 30, 1600])
def test_draws_of_all_proxies_add_up_to_less_than_overloads_an_endpoint(proxies: int) -> None:
    """Each proxy draws ten times per second among 200 endpoints, half of which are warming up."""
    rng = Random(SEED)
    print("seed", SEED)
    warming = [starting_endpoint() for _ in range(100)]
    ready = warming + [ReportedEndpoint(load_per_connection=0.01) for _ in range(100)]
    simulated_count = min(proxies, 20)  # of the proxies, which are all alike
    sent_per_endpoint = 0.0
    for slow_start in [long_running_slow_start(ready) for _ in range(simulated_count)]:
        now = NOW + rng.expovariate(10.0)
        while now < NOW + 10.0:
            sent_per_endpoint += (
                acceptance_probability(
                    slow_start, rng.choice(warming), ready, now, proxy_count=proxies, overload_window=1.0
                )
                / 100
            )
            now += rng.expovariate(10.0)
    overload_requests = sum(3.0 * 100 * (0.3 + 0.7 * t / 10.0) / 10.0 for t in range(10))  # over the warm-up
    print(f"{sent_per_endpoint * proxies / simulated_count:.1f} of {overload_requests:.1f}")
    assert sent_per_endpoint * proxies / simulated_count < overload_requests


def test_proxy_that_has_just_started_has_an_empty_bucket() -> None:
    starting = starting_endpoint()
    slow_start = SlowStart(Capacity())
    slow_start.started_at = NOW
    assert acceptance_probability(slow_start, starting, [starting, ReportedEndpoint()], NOW) == 0.0
    assert acceptance_probability(slow_start, starting, [starting, ReportedEndpoint()], NOW + 1.0) > 0.0


def test_warming_capacity_share_is_less_for_small_and_no_more_for_large_endpoints() -> None:
    default_settings = settings()
    small, mean_sized, large = (starting_endpoint(size=size) for size in (0.5, 1.0, 4.0))
    capacity = Capacity()
    # Before the first update, sizes are ignored.
    assert capacity.warming_capacity_share(mean_sized, NOW, default_settings) == pytest.approx(0.3)
    capacity.update(NOW, [ReportedEndpoint(), ReportedEndpoint()], default_settings)
    assert capacity.warming_capacity_share(small, NOW, default_settings) == pytest.approx(0.15)
    assert capacity.warming_capacity_share(mean_sized, NOW, default_settings) == pytest.approx(0.3)
    assert capacity.warming_capacity_share(large, NOW, default_settings) == pytest.approx(0.3)


def test_endpoint_without_slow_start_time_is_never_warming_up() -> None:
    assert not is_warming_up(starting_endpoint(), NOW, settings(slow_start_time=0.0, overload_window=0.0))


def test_capacity_with_some_hung_endpoints_is_that_of_the_others() -> None:
    capacity = Capacity()
    capacity.update(
        NOW,
        [ReportedEndpoint(load_per_connection=0.01) for _ in range(5)]
        + [ReportedEndpoint(load_per_connection=0.9) for _ in range(4)],
        settings(),
    )
    assert capacity.load_per_connection(1.0) == pytest.approx(
        0.01
    ) and capacity.connections_when_full() == pytest.approx(100.0)


def test_capacity_uses_warming_endpoints_only_while_nothing_else_is_known() -> None:
    capacity = Capacity()
    warming = [starting_endpoint(load_per_connection=0.04) for _ in range(3)]
    capacity.update(NOW, warming, settings())
    assert capacity.connections_when_full() == pytest.approx(25.0) and capacity.warming_count == 3
    capacity.update(NOW + 1.0, [*warming, ReportedEndpoint(load_per_connection=0.01)], settings())
    assert capacity.connections_when_full() == pytest.approx(100.0)
    capacity.update(NOW + 2.0, warming, settings())
    assert capacity.connections_when_full() == pytest.approx(100.0)


def test_endpoint_that_has_recovered_from_hanging_gets_requests() -> None:
    """Guards against learning the load per connection from an endpoint that hangs.

    While it hangs, it reports nine times its capacity with any number of connections. If this counted, it
    would look full after its recovery.
    """
    driver = BalancerDriver(servers=1, seed=SEED)
    for connections in (10.0, 8.0, 6.0, 4.0):
        driver.now += 1.0
        driver.report_health("s0", 9.0, connections)
    driver.now += 1.0
    driver.report_health("s0", 0.05, 5.0)
    driver.now += 1.0
    driver.report_health("s0", 0.06, 6.0)
    assert driver.balancer.load_estimates.load_per_connection(
        driver.balancer.endpoints["s0"]
    ) == pytest.approx(0.01, rel=0.01)
    assert forward_actions(driver.answer_health_checks(driver.request(after=0.01), 0.06, 6.0))


def test_group_without_reports_does_not_start_at_a_warming_endpoint() -> None:
    """Guards against the overload of a warming endpoint that is the first candidate of a large group.

    Each of 14 requests that a warming endpoint got within one overload window was of the same group and came
    through another proxy. Each draw was limited by slow start, but all draws started at that endpoint.
    """
    ring: hash_ring.Ring = []
    for index in range(20):
        hash_ring.add(ring, f"s{index}")
    group_name = next(f"g{index}" for index in count() if hash_ring.order(ring, f"g{index}", 1) == ["s7"])
    hit_count = total = 0
    for seed in range(600):
        driver = BalancerDriver(
            servers=20,
            seed=seed,
            report_source=ReportSource.NONE,
            health_checks=False,
            connection_groups=True,
        )
        driver.now += 100.0
        driver.set_phase("s7", EndpointPhase.READY, started_at=driver.now - 5.0)
        for forward in forward_actions(driver.request(group=group_name)):
            total += 1
            hit_count += forward.endpoint == "s7"
    capacity_share = 0.3 + 0.7 * 0.5  # 5 s after its start
    print(f"{hit_count} of {total} forwards, each from another proxy")
    assert total == 600
    assert hit_count <= SEND_SHARE_SAFETY_RATIO * 3.0 * capacity_share / 20 * total


def forwards_to(driver: BalancerDriver, server: str, requests: int) -> int:
    hit_count = 0
    for _ in range(requests):
        for forward in forward_actions(driver.answer_health_checks(driver.request(after=0.01), 0.2)):
            hit_count += forward.endpoint == server
            driver.end_attempt(forward, AttemptResult.OK, settled=True)
    return hit_count


@pytest.mark.parametrize("start_offsets", [(0.0, -50.0), (-50.0, 0.0)])
def test_endpoint_with_two_start_times_warms_up_from_the_later(start_offsets: tuple[float, float]) -> None:
    """The order in which the endpoint list gives the two start times does not matter."""
    driver = BalancerDriver(servers=2, seed=SEED)
    for offset in start_offsets:
        driver.set_phase("s0", EndpointPhase.READY, started_at=driver.now + offset)
    while_warming = forwards_to(driver, "s0", 300)
    driver.now += 10.0
    when_warm = forwards_to(driver, "s0", 300)
    print(f"seed {SEED}: {while_warming} forwards of 300 while warming up, {when_warm} when warm")
    assert while_warming < 30 and when_warm > 3 * while_warming


def test_endpoint_whose_start_time_is_omitted_later_is_still_warming_up() -> None:
    driver = BalancerDriver(servers=2, seed=SEED)
    driver.set_phase("s0", EndpointPhase.READY, started_at=driver.now)
    driver.set_phase("s0", EndpointPhase.READY)
    assert forwards_to(driver, "s0", 300) < 30


@pytest.mark.parametrize("count", [None, 0, -1, True, "3"])
def test_settings_without_a_valid_proxy_count_are_rejected(count: Any) -> None:
    """Guards against a proxy that assumes to be the only one: all of them would overfill every endpoint."""
    without_count = {name: value for name, value in SETTINGS.items() if name != "ReplicasOfMe"}
    settings_reader.check(SETTINGS)
    with pytest.raises((KeyError, ValueError), match="ReplicasOfMe"):
        settings_reader.check(without_count if count is None else without_count | {"ReplicasOfMe": count})


def test_keyed_retry_bound_to_warming_endpoints_stays_within_their_budget() -> None:
    """If all endpoints that drop the duplicate are warming up, slow start limits retries like any attempt."""
    keyed = ClassSettings(
        "live",
        latency_objective=0.5,
        time_limit=2.0,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=5.0,
    )
    repeat_count = 0
    for seed in range(200):
        driver = BalancerDriver(servers=10, seed=seed, classes={"live": keyed}, slow_start_share=0.13)
        (forward,) = forward_actions(driver.answer_health_checks(driver.request(after=9.0), 0.2))
        zone = "a" if int(forward.endpoint[1:]) % 2 else "b"
        for index in range(10):
            if ("a" if index % 2 else "b") == zone:
                entry = EndpointEntry(f"s{index}", zone=zone, started_at=driver.now)
                driver.feed(EndpointList(EndpointListKind.DELTA, (entry,)))
        repeat_count += len(
            forward_actions(
                driver.answer_health_checks(driver.end_attempt(forward, AttemptResult.TIMEOUT), 0.2)
            )
        )
    assert repeat_count <= 200 * SEND_SHARE_SAFETY_RATIO * 3.0 * 0.13 * 0.5
