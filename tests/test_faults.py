"""Tests of the balancer under faults of endpoints, load reports, discovery, or the whole fleet."""

from __future__ import annotations

import math

import pytest

from gradegap.balancing.actions import CheckHealth, Forward, Migrate, Reject, SetTimer, WatchEndpoints
from gradegap.balancing.admission import ADMISSION_LOAD_LIMIT
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionInherited,
    ConnectionObserved,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.model import Request
from gradegap.balancing.settings import ClassSettings, ReportSource, Settings, WeightMeaning
from tests.support.balancer_driver import (
    CLASS,
    BalancerDriver,
    establish_on_s0,
    forward_actions,
    inherit_connections,
    terminal_actions,
)


def test_request_to_a_full_fleet_is_rejected_with_retry_advice() -> None:
    driver = BalancerDriver()
    actions = driver.answer_health_checks(driver.request(), 1.4)
    (rejection,) = terminal_actions(actions)
    assert isinstance(rejection, Reject) and 0 < rejection.retry_after <= 2.0


def test_full_pair_is_redrawn() -> None:
    for seed in range(10):
        driver = BalancerDriver(servers=4, seed=seed)
        actions = driver.answer_health_checks(
            driver.request(), lambda name: 0.2 if name in ("s0", "s1") else 1.5
        )
        assert all(action.endpoint in ("s0", "s1") for action in forward_actions(actions))


def test_small_headroom_is_used_by_a_part_of_the_proxies() -> None:
    """Many proxies with many requests, one endpoint with headroom: only some of them may use it."""
    forward_count = 0
    for seed in range(60):
        driver = BalancerDriver(servers=10, seed=seed, proxy_count=20)
        for _ in range(20):
            driver.balancer.rates.sent.add(driver.now)
            driver.now += 0.1
        actions = driver.answer_health_checks(driver.request(), lambda name: 0.5 if name == "s3" else 1.3)
        forward_count += len(forward_actions(actions))
    assert 0 < forward_count < 30


def test_lower_priority_is_rejected_first() -> None:
    classes = {
        "live": ClassSettings("live", priority_weight=5.0),
        "spare": ClassSettings("spare", priority_weight=1.0),
    }
    placed = {"live": 0, "spare": 0}
    for seed in range(40):
        for name in placed:
            driver = BalancerDriver(seed=seed, classes=classes)
            placed[name] += len(
                forward_actions(
                    driver.answer_health_checks(driver.request(class_name=name), ADMISSION_LOAD_LIMIT - 0.07)
                )
            )
    assert placed["live"] > placed["spare"]


@pytest.mark.parametrize("is_reconnect", [True, False])
def test_reconnects_from_another_proxy_do_not_count_as_growth(is_reconnect: bool) -> None:
    """Guards against rejecting the clients of a drained proxy although endpoints have headroom.

    The other proxy counted these clients as load in addition to the load reports, which already included
    them, and rejected them for four seconds while endpoints were half idle.
    """
    driver = BalancerDriver(servers=4, proxy_count=2)
    for _ in range(40):
        driver.establish(forward_actions(driver.answer_health_checks(driver.request(after=2.0), 0.3))[0])
    for _ in range(40):
        actions = driver.answer_health_checks(
            driver.request(after=0.05, reconnect=is_reconnect, retry=is_reconnect), 0.3
        )
        if forward_actions(actions):
            driver.establish(forward_actions(actions)[0])
    assert (driver.balancer.growth.factor() < 1.2) is is_reconnect


def test_repeatedly_rejected_reconnect_does_not_count_as_sent() -> None:
    driver = BalancerDriver(servers=4)
    for _ in range(30):
        assert terminal_actions(
            driver.answer_health_checks(driver.request(after=0.02, retry=True, reconnect=True), 1.4)
        )
    assert driver.balancer.rates.sent.rate(driver.now) == 0.0


@pytest.mark.parametrize("fails_everywhere", [True, False])
def test_endpoint_is_not_ejected_while_attempts_fail_everywhere(fails_everywhere: bool) -> None:
    """Guards against ejecting the only endpoint with headroom while the shared save store is overloaded."""
    driver = BalancerDriver(servers=6)
    endpoint = driver.balancer.endpoints["s0"]
    for _ in range(30 if fails_everywhere else 0):
        driver.balancer.rates.failed.add(driver.now)
    for _ in range(2):
        (forward,) = forward_to(driver, endpoint.name)
        driver.end_attempt(forward, AttemptResult.ERROR)
    assert (
        endpoint.consecutive_failures == 2 and (endpoint.ejected_until > driver.now) is not fails_everywhere
    )


def forward_to(driver: BalancerDriver, server: str) -> list[Forward]:
    """Forwards a request to this endpoint, without a draw."""
    driver.balancer.context.random = lambda: 0.999
    driver.next_id += 1
    request = Request(driver.next_id, CLASS, driver.now, driver.now + 2.0, max_attempts=1)
    driver.balancer.table.requests[request.id] = request
    driver.balancer.context.actions = []
    driver.balancer.attempts.forward(request, driver.balancer.endpoints[server])
    return forward_actions(driver.balancer.context.actions)


@pytest.mark.parametrize("previous_count", [0, 30])
def test_inherited_connections_do_not_count_as_growth(previous_count: int) -> None:
    driver = BalancerDriver(servers=4)
    for index in range(previous_count + 30):
        request_event = RequestArrived(1000 + index, "live", driver.now + 1.0)
        driver.feed(ConnectionInherited(request_event, f"s{index % 4}"), after=0.01)
        assert driver.balancer.growth.factor() < 1.5


@pytest.mark.parametrize("seed", range(8))
def test_group_stays_on_its_endpoint_unless_that_is_much_more_loaded(seed: int) -> None:
    """Guards against spreading a group by load alone: each endpoint that has a part of it pays its setup."""
    driver = BalancerDriver(servers=2, seed=seed, connection_groups=True)
    inherit_connections(driver, "s0", "g1", 20)
    (forward,) = forward_actions(
        driver.answer_health_checks(
            driver.request(group="g1"), lambda name: 0.42 if name == "s0" else 0.40, 20.0
        )
    )
    assert forward.endpoint == "s0"
    driver.end_attempt(forward, AttemptResult.CANCELLED, settled=True)
    driver.now += 30.0
    (forward,) = forward_actions(
        driver.answer_health_checks(
            driver.request(group="g1"), lambda name: 0.8 if name == "s0" else 0.2, 20.0
        )
    )
    assert forward.endpoint == "s1"


def test_migration_takes_the_smallest_groups_first() -> None:
    driver = BalancerDriver(servers=2, connection_groups=True)
    for group, count in (("large", 30), ("small", 2)):
        inherit_connections(driver, "s0", group, count)
    driver.report_health("s1", 0.2, 20.0)
    migrated = [
        action.request_id for action in driver.report_health("s0", 1.2, 32.0) if isinstance(action, Migrate)
    ]
    assert {31, 32} <= set(migrated) and len(migrated) < 15


@pytest.mark.parametrize(("load_elsewhere", "limit"), [(0.95, 0), (0.85, 3), (0.3, 14)])
def test_migration_is_limited_to_the_headroom_of_the_others(load_elsewhere: float, limit: int) -> None:
    """Guards against migrating clients off a full fleet, which are rejected when they reconnect."""
    driver = BalancerDriver(servers=2, proxy_count=1)
    inherit_connections(driver, "s0", "", 32)
    driver.report_health("s1", load_elsewhere, 40.0)
    migrated = [action for action in driver.report_health("s0", 1.5, 32.0) if isinstance(action, Migrate)]
    assert len(migrated) <= limit and bool(migrated) == bool(limit)


def test_overloaded_endpoint_does_not_make_the_others_look_full() -> None:
    """Guards against a single load per connection for all endpoints.

    An overloaded endpoint with few connections raised it until the other endpoints, at a load of three
    quarters, rejected most requests.
    """
    placed = 0
    for seed in range(40):
        driver = BalancerDriver(servers=3, seed=seed, proxy_count=2)
        for _ in range(30):
            driver.report_health("s0", 1.4, 3.0)
            for _ in range(2):
                driver.balancer.rates.sent.add(driver.now)
            driver.now += 0.5
        actions = driver.answer_health_checks(
            driver.request(), lambda name: 1.4 if name == "s0" else 0.7, 40.0
        )
        placed += len(forward_actions(actions))
    assert placed > 35


def first_forward(driver: BalancerDriver) -> Forward:
    (forward,) = forward_actions(driver.answer_health_checks(driver.request(after=0.01), 0.05, 40.0))
    return forward


@pytest.mark.parametrize("result", [AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CONNECT_FAILED])
def test_failing_endpoint_is_ejected_and_recovers_by_a_single_attempt(
    result: AttemptResult,
) -> None:
    """Guards against selecting a failing endpoint each time because its health checks report a low load."""
    driver = BalancerDriver(servers=4, proxy_count=1)
    failure_count = 0
    while failure_count < 2:
        forward = first_forward(driver)
        if forward.endpoint == "s0":
            failure_count += 1
            driver.answer_health_checks(driver.end_attempt(forward, result), 0.05, 40.0)
        driver.feed(ClientDisconnected(forward.request_id))
    assert all(first_forward(driver).endpoint != "s0" for _ in range(40))
    driver.now += 1.0
    forwards = [forward for forward in (first_forward(driver) for _ in range(40)) if forward.endpoint == "s0"]
    assert len(forwards) == 1
    driver.establish(forwards[0])
    assert any(first_forward(driver).endpoint == "s0" for _ in range(40))


def test_attempts_continue_while_all_endpoints_fail() -> None:
    driver = BalancerDriver(servers=3, proxy_count=1)
    for _ in range(12):
        actions = driver.answer_health_checks(driver.request(after=0.01), 0.3)
        while forward_actions(actions):
            actions = driver.answer_health_checks(
                driver.end_attempt(forward_actions(actions)[0], AttemptResult.TIMEOUT), 0.3
            )
    # Each attempt is made with some probability only, since a shared resource may be overloaded.
    assert any(forward_actions(driver.answer_health_checks(driver.request(after=0.5), 0.3)) for _ in range(6))


def test_migration_off_a_full_endpoint_is_partial_and_paused() -> None:
    driver = BalancerDriver(servers=2)
    establish_on_s0(driver, 12)
    connection_count = len(driver.balancer.endpoints["s0"].connections)
    migrated = [action for action in driver.report_health("s0", 1.5) if isinstance(action, Migrate)]
    assert 0 < len(migrated) < connection_count / 2
    assert not [action for action in driver.report_health("s0", 1.6) if isinstance(action, Migrate)]


def test_endpoint_with_headroom_keeps_its_connections() -> None:
    driver = BalancerDriver(servers=2)
    establish_on_s0(driver, 12)
    assert not [action for action in driver.report_health("s0", 0.8) if isinstance(action, Migrate)]


def test_endpoint_that_fails_fast_costs_attempts_but_no_answers() -> None:
    """It reports the lowest load, so it is selected first; the next attempt goes to another endpoint."""
    driver = BalancerDriver(servers=4, seed=2)
    failure_count = 0
    for _ in range(200):
        actions = driver.answer_health_checks(
            driver.request(after=2.0), lambda name: 0.0 if name == "s0" else 0.3
        )
        (forward,) = forward_actions(actions)
        if forward.endpoint == "s0":
            failure_count += 1
            (forward,) = forward_actions(
                driver.answer_health_checks(driver.end_attempt(forward, AttemptResult.ERROR), 0.3)
            )
        assert forward.endpoint != "s0"
        assert not driver.end_attempt(forward, AttemptResult.OK, settled=True)
    assert failure_count > 50


def test_only_endpoint_is_attempted_again() -> None:
    driver = BalancerDriver(servers=1)
    (forward,) = forward_actions(driver.answer_health_checks(driver.request(), 0.2))
    assert forward_actions(driver.answer_health_checks(driver.end_attempt(forward, AttemptResult.FULL), 0.2))


@pytest.mark.parametrize("x0", [math.nan, -1.0, math.inf])
def test_report_with_an_invalid_load_is_ignored(x0: float) -> None:
    driver = BalancerDriver()
    assert forward_actions(driver.answer_health_checks(driver.request(), x0))
    assert all(endpoint.load is None for endpoint in driver.balancer.endpoints.values())


def test_report_without_the_compared_field_is_ignored() -> None:
    driver = BalancerDriver()
    driver.feed(HealthCheckEnded("s0", AttemptResult.OK, 0.0, {"inflight": 3.0}))
    assert driver.balancer.endpoints["s0"].load is None


def test_repeated_report_keeps_the_time_of_the_first() -> None:
    driver = BalancerDriver()
    report = HealthCheckEnded("s0", AttemptResult.OK, 0.001, {"x0": 0.4, "inflight": 5.0})
    driver.feed(report)
    first_at = driver.now
    driver.feed(report, after=3.0)
    assert driver.balancer.endpoints["s0"].report_changed_at == first_at


def test_frozen_reports_cause_no_rejection() -> None:
    driver = BalancerDriver()
    report = {"x0": 1.2, "inflight": 9.0}
    frozen = {
        name: HealthCheckEnded(name, AttemptResult.OK, 0.001, report) for name in driver.balancer.endpoints
    }
    for _ in range(12):
        for event in frozen.values():
            driver.feed(event, after=0.2)
    actions = pending = driver.request()
    while pending:
        pending = [
            action
            for check in pending
            if isinstance(check, CheckHealth)
            for action in driver.feed(frozen[check.endpoint])
        ]
        actions = actions + pending
    assert forward_actions(actions)


def test_endpoint_whose_health_check_is_answered_is_preferred() -> None:
    for seed in range(10):
        driver = BalancerDriver(servers=2, seed=seed)
        actions = driver.request()
        driver.report_health("s1", 0.5)
        (timer,) = [action for action in actions if isinstance(action, SetTimer)]
        (forward,) = forward_actions(driver.feed(TimerFired(timer.token), after=timer.delay))
        assert forward.endpoint == "s1"


def test_calls_to_discovery_are_spread_and_back_off_after_failures() -> None:
    first = set()
    waits = []
    for seed in range(20):
        driver = BalancerDriver(seed=seed, polls_endpoints=True)
        (timer,) = [
            action for _, action in driver.log if isinstance(action, SetTimer) and action.token == "list"
        ]
        assert timer.delay < driver.settings.poll_within
        first.add(round(timer.delay, 3))
        assert driver.feed(TimerFired("list"), after=timer.delay) == [WatchEndpoints()]
        for _ in range(6):
            actions = driver.feed(EndpointList(EndpointListKind.FAILED))
            (timer,) = [action for action in actions if isinstance(action, SetTimer)]
            waits.append(timer.delay)
            driver.feed(TimerFired("list"), after=timer.delay)
        assert len(driver.balancer.registry.ready) == 6  # the previous list is kept
    assert len(first) > 15
    assert sum(waits[5::6]) > 3 * sum(waits[0::6])
    assert max(waits) < 4 * 10.0


def test_group_is_placed_on_few_endpoints_by_all_proxies() -> None:
    endpoints: set[str] = set()
    for seed in range(30):
        driver = BalancerDriver(servers=20, seed=seed, connection_groups=True)
        actions = driver.answer_health_checks(driver.request(group="board-9"), 0.3)
        endpoints |= {action.endpoint for action in forward_actions(actions)}
    assert len(endpoints) <= 2


def test_group_keeps_its_endpoints_when_others_are_removed() -> None:
    driver = BalancerDriver(servers=20, connection_groups=True)
    before = forward_actions(
        driver.answer_health_checks(driver.request(group="board-9"), lambda server: 0.3)
    )[0].endpoint
    for name in [f"s{index}" for index in range(20) if f"s{index}" != before][:5]:
        driver.set_phase(name, EndpointPhase.REMOVED)
    after = [driver.balancer.endpoints[name].name for _, name in driver.balancer.registry.hash_ring]
    assert before in after and len(set(after)) == 15


def test_cross_zone_cost_prefers_local_endpoints_with_headroom() -> None:
    local_count = total = 0
    for seed in range(60):
        driver = BalancerDriver(servers=8, seed=seed, zone="a", cross_zone_cost=0.06)
        for forward in forward_actions(driver.answer_health_checks(driver.request(), 0.3)):
            total += 1
            local_count += int(forward.endpoint[1:]) % 2
    assert local_count / total > 0.9


def test_inherited_connection_is_tracked_until_it_ends() -> None:
    driver = BalancerDriver()
    driver.feed(ConnectionInherited(RequestArrived(7, "live", driver.now + 1.0), "s2"))
    driver.now += 30.0
    assert not driver.feed(AttemptEnded(7, 0, "s2", AttemptResult.OK, 30.0, True))
    assert not driver.balancer.requests and not driver.balancer.endpoints["s2"].connections


@pytest.mark.parametrize("report_source", list(ReportSource))
@pytest.mark.parametrize("weight_meaning", list(WeightMeaning))
@pytest.mark.parametrize("health_checks", [False, True])
def test_requests_are_placed_with_any_combination_of_load_information(
    report_source: ReportSource, weight_meaning: WeightMeaning, health_checks: bool
) -> None:
    driver = BalancerDriver(
        report_source=report_source, weight_meaning=weight_meaning, health_checks=health_checks
    )
    for _ in range(20):
        (forward,) = forward_actions(driver.answer_health_checks(driver.request(after=0.3), 0.2))
        driver.establish(forward)


def test_invalid_settings_raise() -> None:
    with pytest.raises(ValueError, match="no class"):
        Settings(classes={})
    with pytest.raises(ValueError, match="cold_time"):
        BalancerDriver(slow_start_time=-1.0)


def test_slow_messages_leave_health_checks_to_requests() -> None:
    """Guards against slow messages that use up the health check budget.

    Requests were then placed on full endpoints without a health check.
    """
    driver = BalancerDriver(servers=6)
    for index in range(600):
        driver.feed(ConnectionObserved(1, f"s{index % 6}", message_delay=0.4), after=0.2)
        for endpoint in driver.balancer.endpoints.values():
            endpoint.health_check_sent_at = -1e9
    actions = driver.request()
    assert [action for action in actions if isinstance(action, CheckHealth)]


def test_connections_migrate_off_an_unresponsive_endpoint() -> None:
    driver = BalancerDriver(servers=2)
    establish_on_s0(driver, 12)
    unanswered = HealthCheckEnded("s0", AttemptResult.TIMEOUT, 0.2)
    assert not driver.feed(unanswered, after=1.0)
    assert not driver.feed(unanswered, after=1.0)
    migrated = [
        action
        for _ in range(6)
        for action in driver.feed(unanswered, after=3.0)
        if isinstance(action, Migrate)
    ]
    assert len(migrated) >= 3


def test_no_connection_is_migrated_while_no_endpoint_answers() -> None:
    driver = BalancerDriver(servers=2)
    establish_on_s0(driver, 12)
    driver.balancer.health_checks.answered_share = 0.3
    unanswered = HealthCheckEnded("s0", AttemptResult.TIMEOUT, 0.2)
    assert not [
        action
        for _ in range(6)
        for action in driver.feed(unanswered, after=3.0)
        if isinstance(action, Migrate)
    ]


def test_attempts_are_reduced_while_they_fail_everywhere() -> None:
    """Guards against retries that prolong the overload of the store behind all endpoints.

    A surge of reconnecting clients overloaded the store, and four attempts for each request kept it
    overloaded: there were a dozen or more attempts per client, none of which was established.
    """
    driver = BalancerDriver(servers=4, proxy_count=1)
    forward_counts: list[int] = []
    for is_failing in (False, True, False):
        forward_counts.append(0)
        for _ in range(60):
            actions = driver.answer_health_checks(driver.request(after=0.05), 0.05, 40.0)
            while forward_actions(actions):
                forward_counts[-1] += 1
                if is_failing:
                    actions = driver.answer_health_checks(
                        driver.end_attempt(forward_actions(actions)[0], AttemptResult.ERROR), 0.05, 40.0
                    )
                else:
                    actions = driver.establish(forward_actions(actions)[0])
        driver.now += 4.0 if is_failing else 0.0
    assert forward_counts[0] == 60 and forward_counts[1] < 110 and forward_counts[2] > 55


def test_attempt_gets_all_remaining_time_while_most_attempts_fail() -> None:
    """Guards against early timeouts: each one led to a retry, which cost the overloaded store once more."""
    driver = BalancerDriver(servers=4, proxy_count=1)
    assert first_forward(driver).timeout < 2.0
    for _ in range(10):
        actions = driver.answer_health_checks(driver.request(after=0.01), 0.05, 40.0)
        while forward_actions(actions):
            actions = driver.answer_health_checks(
                driver.end_attempt(forward_actions(actions)[0], AttemptResult.TIMEOUT), 0.05, 40.0
            )
    forwards: list[Forward] = []
    while not forwards:
        forwards = forward_actions(driver.answer_health_checks(driver.request(after=0.01), 0.05, 40.0))
    assert forwards[0].timeout == pytest.approx(2.0)
