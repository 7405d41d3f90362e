"""Tests of draining: connections are migrated in paced rounds before an endpoint or this proxy stops."""

from __future__ import annotations

import pytest

from gradegap.balancing import draining
from gradegap.balancing.actions import Action
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    ProxyDraining,
    ProxyResumed,
)
from tests.support.balancer_driver import (
    BalancerDriver,
    establish_on_s0,
    forward_actions,
    migrations_until,
)


def set_phase(driver: BalancerDriver, phase: EndpointPhase) -> list[Action]:
    entry = EndpointEntry("s0", phase=phase)
    return driver.feed(EndpointList(EndpointListKind.DELTA, (entry,)))


@pytest.mark.parametrize("phase", [EndpointPhase.DRAINING, EndpointPhase.REMOVED])
def test_all_connections_are_migrated_in_rounds_before_their_endpoint_stops(phase: EndpointPhase) -> None:
    """Guards against connections that stay on a stopping endpoint until they are reset."""
    driver = BalancerDriver(servers=2)
    establish_on_s0(driver, 20)
    connection_count, started_at = len(driver.balancer.endpoints["s0"].connections), driver.now
    rounds = migrations_until(driver, set_phase(driver, phase), "es0", started_at + 10.0)
    migrations = [(time, count) for time, count in rounds if count]
    assert sum(count for _, count in migrations) == connection_count
    assert (
        migrations[-1][0]
        <= started_at + draining.DEFAULT_DRAIN_TIME_S * draining.DRAIN_END_SHARE + 2 * draining.DRAIN_ROUND_S
    )
    assert max(count for _, count in migrations) <= connection_count / 2  # paced


def test_endpoint_that_stops_early_shortens_the_learned_drain_time() -> None:
    driver = BalancerDriver(servers=2)
    establish_on_s0(driver, 3)
    set_phase(driver, EndpointPhase.DRAINING)
    driver.now += 1.5
    for request in list(driver.balancer.endpoints["s0"].connections.values()):
        driver.feed(AttemptEnded(request.id, 0, "s0", AttemptResult.RESET, 1.0, True))
    assert driver.balancer.draining.learned_drain_time == pytest.approx(1.5)


def test_endpoint_that_is_ready_again_keeps_its_connections() -> None:
    driver = BalancerDriver(servers=2)
    establish_on_s0(driver, 5)
    actions = set_phase(driver, EndpointPhase.DRAINING)
    set_phase(driver, EndpointPhase.READY)
    assert not sum(count for _, count in migrations_until(driver, actions, "es0", driver.now + 10.0))


def test_announced_drain_time_is_kept() -> None:
    """Guards against connections that remain when an endpoint stops after its announced drain time.

    Operators restart a save server about 2.5 s after taking it out of service.
    """
    driver = BalancerDriver(servers=2)
    establish_on_s0(driver, 20)
    connection_count, started_at = len(driver.balancer.endpoints["s0"].connections), driver.now
    entry = EndpointEntry("s0", phase=EndpointPhase.DRAINING, stops_within=2.0)
    actions = driver.feed(EndpointList(EndpointListKind.DELTA, (entry,)))
    migrations = [
        (time, count) for time, count in migrations_until(driver, actions, "es0", started_at + 10.0) if count
    ]
    assert sum(count for _, count in migrations) == connection_count and migrations[-1][0] < started_at + 2.0
    assert max(count for _, count in migrations) <= connection_count / 4  # paced


@pytest.mark.parametrize("repetitions", [1, 5])
def test_proxy_whose_drain_is_cancelled_keeps_its_connections(repetitions: int) -> None:
    """Guards against several timer chains after drain and resume events in quick succession."""
    driver = BalancerDriver(servers=2)
    establish_on_s0(driver, 20)
    timers = []
    for _ in range(repetitions):
        timers += driver.feed(ProxyDraining(driver.now + 2.0), after=0.01)
        assert not driver.feed(ProxyResumed(), after=0.01)
    assert len(timers) == 1
    assert sum(count for _, count in migrations_until(driver, timers, "leave", driver.now + 5.0)) == 0
    # The timer chain has ended, so a new one starts.
    assert len(driver.feed(ProxyDraining(driver.now + 2.0))) == 1


def test_draining_proxy_migrates_all_connections_in_rounds_before_the_deadline() -> None:
    driver = BalancerDriver(servers=2)
    establish_on_s0(driver, 20)
    deadline_at = driver.now + 2.0
    rounds = migrations_until(driver, driver.feed(ProxyDraining(deadline_at)), "leave", deadline_at + 0.2)
    assert sum(count for _, count in rounds) == 20
    assert max(count for _, count in rounds) <= 4


@pytest.mark.parametrize("phase", [EndpointPhase.DRAINING, EndpointPhase.REMOVED])
def test_connection_established_after_the_last_round_of_a_drain_is_migrated(phase: EndpointPhase) -> None:
    # Guards against a client that is never told MOVE: the rounds had ended with the last connection before.
    driver = BalancerDriver(servers=2)
    establish_on_s0(driver, 1)
    (late,) = forward_actions(
        driver.answer_health_checks(driver.request(after=1.0), lambda name: 0.1 if name == "s0" else 0.4)
    )
    assert late.endpoint == "s0"
    assert sum(count for _, count in migrations_until(driver, set_phase(driver, phase), "es0", 1e9)) == 1
    actions = driver.establish(late)
    rounds = migrations_until(driver, actions, "es0", driver.now + 2 * draining.DRAIN_ROUND_S)
    assert sum(count for _, count in rounds) == 1
