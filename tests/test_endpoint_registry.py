"""An endpoint that leaves the endpoint list and is listed again while an attempt at it is in flight."""

from __future__ import annotations

import pytest

from gradegap.balancing import hash_ring
from gradegap.balancing.actions import Forward
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import (
    AttemptResult,
    ClientDisconnected,
    EndpointPhase,
)
from tests.support.balancer_driver import BalancerDriver, forward_actions

GROUP = "g1"
RESTARTED_AT = 105.0
"""Start of an endpoint's second process, on the driver's clock."""


def forward_to_s0(driver: BalancerDriver) -> Forward:
    """Sends a request of the group until one is forwarded to `s0`, all health checks being answered."""
    for _ in range(200):
        actions = driver.answer_health_checks(driver.request(after=0.1, group=GROUP), 0.1)
        for forward in forward_actions(actions):
            if forward.endpoint == "s0":
                return forward
            driver.end_attempt(forward, AttemptResult.OK, settled=True)
    raise AssertionError("no request was forwarded to s0")


def restart_s0_behind_the_list(driver: BalancerDriver) -> None:
    """The endpoint list removes `s0` and lists it again, restarted, under the same name."""
    driver.set_phase("s0", EndpointPhase.REMOVED)
    driver.set_phase("s0", EndpointPhase.READY, started_at=RESTARTED_AT)


def assert_registry_is_consistent(balancer: Balancer) -> None:
    registry = balancer.registry
    ready = [endpoint for endpoint in registry.endpoints.values() if endpoint.phase is EndpointPhase.READY]
    assert sorted(map(id, registry.ready)) == sorted(map(id, ready))
    assert all(registry.ready[endpoint.ready_index] is endpoint for endpoint in ready)
    expected_ring: hash_ring.Ring = []
    for endpoint in ready:
        hash_ring.add(expected_ring, endpoint.name)
    assert registry.hash_ring == expected_ring


@pytest.mark.parametrize("groups", [False, True])
@pytest.mark.parametrize("end", ["failed", "cancelled", "established, then closed"])
def test_attempt_that_ends_after_its_endpoint_was_listed_again_leaves_the_new_entry(
    end: str, groups: bool
) -> None:
    # Guards against requests that are lost after a save server's restart: the end of an attempt at the old
    # process removed the new process from the registry, and the next draw by group raised KeyError.
    driver = BalancerDriver(servers=3, connection_groups=groups)
    forward = forward_to_s0(driver)
    restart_s0_behind_the_list(driver)
    if end == "failed":
        driver.answer_health_checks(driver.end_attempt(forward, AttemptResult.RESET), 0.1)
    elif end == "cancelled":
        driver.feed(ClientDisconnected(forward.request_id))
        driver.end_attempt(forward, AttemptResult.CANCELLED, settled=True)
    else:
        driver.establish(forward)
        driver.end_attempt(forward, AttemptResult.OK, settled=True)
    assert_registry_is_consistent(driver.balancer)
    for _ in range(20):
        assert forward_actions(driver.answer_health_checks(driver.request(after=0.1, group=GROUP), 0.1))
