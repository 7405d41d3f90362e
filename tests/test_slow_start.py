"""One proxy's part in what all send to servers that have just started, and starts that can't be right."""

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
    BUDGET_SAFETY,
    DRAW_SHARE,
    KEPT_WINDOWS,
    SHARE_EARNED_WINDOWS,
    SHARE_SAFETY,
    SlowStart,
)
from tests.support.balancer_driver import BalancerDriver, forward_actions, settings
from tests.support.node_environment import SETTINGS

SEED = 20
NOW = 1000.0


@dataclass
class Server:
    started_at: float = 0.0
    size: float = 1.0
    load_per_connection: float = 0.0
    last_report: tuple[float | None, float | None] = (None, None)


def of(ready: list[Server], **changes: Any) -> SlowStart:
    """The part of a node that has served for long, and knows what the servers report."""
    capacity = Capacity()
    capacity.update(NOW, ready, settings(**changes))
    cold = SlowStart(capacity)
    cold.started_at = NOW - 1000.0
    return cold


def chance(cold: SlowStart, server: Server, ready: list[Server], now: float, **changes: Any) -> float:
    return cold.chance(now, server, ready, DecayingRate(), settings(**changes))


def just_started(**fields: Any) -> Server:
    return Server(started_at=NOW, **fields)


def test_without_reports_draws_far_apart_keep_a_cold_server_by_its_part_of_an_even_share() -> None:
    one = Server(started_at=1e9)  # a start ahead of the clock: it stays as cold as at its start
    ready = [one] + [Server() for _ in range(9)]
    cold = of(ready, overload_multiple=2.0)
    # One pair in five comes upon it, so what five pairs may give it is kept for one draw.
    kept = min(SHARE_SAFETY * 2.0 / 10 * 5, DRAW_SHARE * 2.0)
    for k in range(1, 5):
        assert chance(cold, one, ready, NOW + 1000.0 * k, overload_multiple=2.0) == pytest.approx(kept * 0.3)


@pytest.mark.parametrize("draws", [1, 10, 1000])
@pytest.mark.parametrize("unit", [0.0, 0.01])
def test_a_burst_has_what_was_kept_and_what_a_window_earns_however_many_draws_it_is(
    draws: int, unit: float
) -> None:
    one = just_started()
    ready = [one] + [Server(load_per_connection=unit) for _ in range(9)]
    cold = of(ready)
    window = 1.0
    clocks = [NOW + window * k / draws for k in range(draws)]
    total = sum(chance(cold, one, ready, now, overload_window=window) for now in clocks)
    grown = 0.3 + 0.7 * window / 10.0  # its part of its capacity at the window's end
    share = SHARE_SAFETY * 3.0 / 10
    most = share * (5.0 + 1.0 / SHARE_EARNED_WINDOWS) * grown
    told = (
        BUDGET_SAFETY * 3.0 * (1.0 / 0.01) / 10.0 / 10 * (KEPT_WINDOWS + 1.0) * window * grown
        if unit
        else 0.0
    )
    print(f"{total:.3f} of {max(most, told):.3f}")
    assert total <= max(most, told) * (1.0 + 1e-9)


@pytest.mark.parametrize("nodes", [3, 30, 1600])
def test_what_all_nodes_draw_adds_up_to_less_than_makes_a_server_fall(nodes: int) -> None:
    """Each node draws ten times a second, among 200 servers of which half are cold."""
    rng = Random(SEED)
    print("seed", SEED)
    young = [just_started() for _ in range(100)]
    ready = young + [Server(load_per_connection=0.01) for _ in range(100)]
    sample = min(nodes, 20)  # of the nodes: all are alike
    given = 0.0
    for cold in [of(ready) for _ in range(sample)]:
        now = NOW + rng.expovariate(10.0)
        while now < NOW + 10.0:
            given += chance(cold, rng.choice(young), ready, now, proxy_count=nodes, overload_window=1.0) / 100
            now += rng.expovariate(10.0)
    falls = sum(3.0 * 100 * (0.3 + 0.7 * t / 10.0) / 10.0 for t in range(10))  # over its warm-up
    print(f"{given * nodes / sample:.1f} of {falls:.1f}")
    assert given * nodes / sample < falls


def test_a_node_that_has_just_started_has_kept_nothing() -> None:
    one = just_started()
    cold = SlowStart(Capacity())
    cold.started_at = NOW
    assert chance(cold, one, [one, Server()], NOW) == 0.0
    assert chance(cold, one, [one, Server()], NOW + 1.0) > 0.0


def test_a_small_server_has_less_and_a_large_one_no_more() -> None:
    set_ = settings()
    small, even, large = (just_started(size=size) for size in (0.5, 1.0, 4.0))
    capacity = Capacity()
    assert capacity.present_share(even, NOW, set_) == pytest.approx(0.3)  # a list without weights
    capacity.update(NOW, [Server(), Server()], set_)
    assert capacity.present_share(small, NOW, set_) == pytest.approx(0.15)
    assert capacity.present_share(even, NOW, set_) == pytest.approx(0.3)
    assert capacity.present_share(large, NOW, set_) == pytest.approx(0.3)


def test_no_server_is_cold_where_settings_tell_no_time() -> None:
    assert not is_warming_up(just_started(), NOW, settings(slow_start_time=0.0, overload_window=0.0))


def test_a_few_servers_that_hang_do_not_make_others_look_full() -> None:
    capacity = Capacity()
    capacity.update(
        NOW,
        [Server(load_per_connection=0.01) for _ in range(5)]
        + [Server(load_per_connection=0.9) for _ in range(4)],
        settings(),
    )
    assert capacity.load_per_connection(1.0) == pytest.approx(
        0.01
    ) and capacity.connections_when_full() == pytest.approx(100.0)


def test_only_cold_servers_tell_too_little_and_only_where_nothing_else_is_known() -> None:
    capacity = Capacity()
    young = [just_started(load_per_connection=0.04) for _ in range(3)]
    capacity.update(NOW, young, settings())
    assert capacity.connections_when_full() == pytest.approx(25.0) and capacity.warming_count == 3
    capacity.update(NOW + 1.0, [*young, Server(load_per_connection=0.01)], settings())
    assert capacity.connections_when_full() == pytest.approx(100.0)
    capacity.update(NOW + 2.0, young, settings())
    assert capacity.connections_when_full() == pytest.approx(100.0)


def test_a_server_that_hung_is_not_refused_as_full_once_it_is_back() -> None:
    """It reports nine times its capacity with any number of connections while it hangs."""
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


def test_without_reports_a_group_that_all_ask_for_does_not_begin_at_a_cold_server() -> None:
    """Of 14 requests that a cold server got within its window all were one group's, each from another node
    that saw one of them. Each draw alone was thinned; all began at that server."""
    names: hash_ring.Ring = []
    for k in range(20):
        hash_ring.add(names, f"s{k}")
    team = next(f"g{k}" for k in count() if hash_ring.order(names, f"g{k}", 1) == ["s7"])
    hits = total = 0
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
        for send in forward_actions(driver.request(group=team)):
            total += 1
            hits += send.endpoint == "s7"
    part = 0.3 + 0.7 * 0.5  # of its capacity, 5 s after its start
    print(f"{hits} of {total} sends, each from another node")
    assert total == 600
    assert hits <= SHARE_SAFETY * 3.0 * part / 20 * total


def to_cold(driver: BalancerDriver, server: str, requests: int) -> int:
    hits = 0
    for _ in range(requests):
        for send in forward_actions(driver.answer_health_checks(driver.request(after=0.01), 0.2)):
            hits += send.endpoint == server
            driver.end_attempt(send, AttemptResult.OK, settled=True)
    return hits


@pytest.mark.parametrize("starts", [(0.0, -50.0), (-50.0, 0.0)])
def test_of_two_starts_told_of_one_server_the_later_holds(starts: tuple[float, float]) -> None:
    """Told in either order, it counts as cold."""
    driver = BalancerDriver(servers=2, seed=SEED)
    for start in starts:
        driver.set_phase("s0", EndpointPhase.READY, started_at=driver.now + start)
    while_cold = to_cold(driver, "s0", 300)
    driver.now += 10.0
    once_warm = to_cold(driver, "s0", 300)
    print(f"seed {SEED}: {while_cold} sends of 300 while cold, {once_warm} once warm")
    assert while_cold < 30 and once_warm > 3 * while_cold


def test_a_start_that_is_told_no_more_still_counts() -> None:
    driver = BalancerDriver(servers=2, seed=SEED)
    driver.set_phase("s0", EndpointPhase.READY, started_at=driver.now)
    driver.set_phase("s0", EndpointPhase.READY)
    assert to_cold(driver, "s0", 300) < 30


@pytest.mark.parametrize("count", [None, 0, -1, True, "3"])
def test_settings_without_a_count_of_proxies_are_refused(count: Any) -> None:
    """A proxy that takes itself for the only one overfills what all see."""
    without = {name: value for name, value in SETTINGS.items() if name != "ReplicasOfMe"}
    settings_reader.check(SETTINGS)
    with pytest.raises((KeyError, ValueError), match="ReplicasOfMe"):
        settings_reader.check(without if count is None else without | {"ReplicasOfMe": count})


def test_a_keyed_repeat_bound_to_a_cold_cell_has_no_budget_of_its_own() -> None:
    """All servers that drop the repeat are cold: it waits its turn like any attempt, and most are refused."""
    keyed = ClassSettings(
        "live",
        latency_objective=0.5,
        time_limit=2.0,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=5.0,
    )
    repeats = 0
    for seed in range(200):
        driver = BalancerDriver(servers=10, seed=seed, classes={"live": keyed}, slow_start_share=0.13)
        (send,) = forward_actions(driver.answer_health_checks(driver.request(after=9.0), 0.2))
        zone = "a" if int(send.endpoint[1:]) % 2 else "b"
        for k in range(10):
            if ("a" if k % 2 else "b") == zone:
                entry = EndpointEntry(f"s{k}", zone=zone, started_at=driver.now)
                driver.feed(EndpointList(EndpointListKind.DELTA, (entry,)))
        repeats += len(
            forward_actions(driver.answer_health_checks(driver.end_attempt(send, AttemptResult.TIMEOUT), 0.2))
        )
    assert repeats <= 200 * SHARE_SAFETY * 3.0 * 0.13 * 0.5
