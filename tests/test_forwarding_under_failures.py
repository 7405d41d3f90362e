"""Guards against a proxy that rejects all its clients while an endpoint is ready: some must be forwarded."""

from __future__ import annotations

import pytest

from gradegap.balancing.actions import Action, CheckHealth, Forward, SetTimer
from gradegap.balancing.events import AttemptEnded, AttemptResult, HealthCheckEnded, TimerFired
from tests.support.balancer_driver import BalancerDriver

MAX_GAP_S = 4.0  # longest time for which a proxy may reject all of its requests
REQUEST_INTERVAL_S = 0.1
FAILURE_TIME_S = 20.0


@pytest.mark.parametrize("result", [AttemptResult.CONNECT_FAILED, AttemptResult.TIMEOUT, AttemptResult.FULL])
@pytest.mark.parametrize("health_check_result", [AttemptResult.OK, AttemptResult.TIMEOUT])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_requests_are_still_forwarded_while_every_endpoint_fails(
    result: AttemptResult, health_check_result: AttemptResult, seed: int
) -> None:
    driver = BalancerDriver(servers=4, seed=seed)
    forwarded_at: list[float] = []
    timers: list[tuple[float, str]] = []
    started_at = driver.now

    def execute(actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Forward):
                forwarded_at.append(driver.now)
                attempt_ended = AttemptEnded(action.request_id, 0, action.endpoint, result, 0.01, False, None)
                execute(driver.feed(attempt_ended))
            elif isinstance(action, CheckHealth):
                report = {"x0": 0.3, "inflight": 5.0} if health_check_result is AttemptResult.OK else None
                execute(driver.feed(HealthCheckEnded(action.endpoint, health_check_result, 0.01, report)))
            elif isinstance(action, SetTimer):
                timers.append((driver.now + action.delay, action.token))

    while driver.now < started_at + FAILURE_TIME_S:
        execute(driver.request(after=REQUEST_INTERVAL_S))
        for timer in sorted(timer_entry for timer_entry in timers if timer_entry[0] <= driver.now):
            timers.remove(timer)
            execute(driver.feed(TimerFired(timer[1])))
    gaps = [
        later - earlier
        for earlier, later in zip([started_at, *forwarded_at], [*forwarded_at, driver.now], strict=True)
    ]
    print(
        f"seed {seed}: {len(forwarded_at)} forwards in {FAILURE_TIME_S:.0f} s, longest gap {max(gaps):.2f} s"
    )
    assert max(gaps) < MAX_GAP_S
