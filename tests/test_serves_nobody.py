"""A process that turns all its clients away: as long as a server is Ready, some of them are sent on."""

from __future__ import annotations

import pytest

from gradegap.balancing.actions import Action, CheckHealth, Forward, SetTimer
from gradegap.balancing.events import AttemptEnded, AttemptResult, HealthCheckEnded, TimerFired
from tests.support.balancer_driver import BalancerDriver

WINDOW = 4.0  # s on end in which a process that gets requests may not turn all of them away
PAUSE = 0.1  # s between two requests
LASTS = 20.0  # s of trouble


@pytest.mark.parametrize("result", [AttemptResult.CONNECT_FAILED, AttemptResult.TIMEOUT, AttemptResult.FULL])
@pytest.mark.parametrize("probes", [AttemptResult.OK, AttemptResult.TIMEOUT])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_some_requests_are_sent_on_though_every_server_fails(
    result: AttemptResult, probes: AttemptResult, seed: int
) -> None:
    d = BalancerDriver(servers=4, seed=seed)
    sends: list[float] = []
    timers: list[tuple[float, str]] = []
    began = d.now

    def carry_out(actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Forward):
                sends.append(d.now)
                failed = AttemptEnded(action.request_id, 0, action.endpoint, result, 0.01, False, None)
                carry_out(d.feed(failed))
            elif isinstance(action, CheckHealth):
                report = {"x0": 0.3, "inflight": 5.0} if probes is AttemptResult.OK else None
                carry_out(d.feed(HealthCheckEnded(action.endpoint, probes, 0.01, report)))
            elif isinstance(action, SetTimer):
                timers.append((d.now + action.delay, action.token))

    while d.now < began + LASTS:
        carry_out(d.request(after=PAUSE))
        for due in sorted(t for t in timers if t[0] <= d.now):
            timers.remove(due)
            carry_out(d.feed(TimerFired(due[1])))
    gaps = [b - a for a, b in zip([began, *sends], [*sends, d.now], strict=True)]
    print(f"seed {seed}: {len(sends)} sends in {LASTS:.0f} s, longest gap {max(gaps):.2f} s")
    assert max(gaps) < WINDOW
