"""An endpoint that leaves the endpoint list and is listed again while an attempt at it is in flight."""

from __future__ import annotations

from random import Random

import pytest

from gradegap.balancing import hash_ring
from gradegap.balancing.actions import Action, CheckHealth, Fail, Forward, Migrate, Reject, SetTimer
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import (
    AttemptResult,
    ClientDisconnected,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    HealthCheckEnded,
    TimerFired,
)
from tests.support.balancer_driver import BalancerDriver, forward_actions, migrations_until

GROUP = "g1"
RESTARTED_AT = 105.0
"""Start of an endpoint's second process, on the driver's clock."""

RANDOM_ENDPOINT_COUNT = 4
RANDOM_EVENT_COUNT = 600


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
    for request in balancer.requests.values():
        held_by = request.endpoint
        if held_by is not None and request.id in held_by.connections:
            assert registry.endpoints.get(held_by.name) is held_by


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


def test_connection_established_after_its_endpoint_was_listed_again_counts_there() -> None:
    # Guards against a connection that no drain, health check or overload of its endpoint ever reaches.
    driver = BalancerDriver(servers=3, connection_groups=True)
    forward = forward_to_s0(driver)
    restart_s0_behind_the_list(driver)
    driver.establish(forward)
    assert list(driver.balancer.endpoints["s0"].connections) == [forward.request_id]
    actions = driver.feed(
        EndpointList(EndpointListKind.DELTA, (EndpointEntry("s0", phase=EndpointPhase.DRAINING),))
    )
    rounds = migrations_until(driver, actions, "es0", driver.now + 10.0)
    assert sum(count for _, count in rounds) == 1


def test_connection_established_after_its_endpoint_was_removed_is_migrated() -> None:
    # Guards against a client that is never told MOVE: the drain's timer did not find the forgotten endpoint.
    driver = BalancerDriver(servers=3)
    forward = forward_to_s0(driver)
    driver.set_phase("s0", EndpointPhase.REMOVED)
    rounds = migrations_until(driver, driver.establish(forward), "es0", driver.now + 10.0)
    assert sum(count for _, count in rounds) == 1
    assert "s0" not in driver.balancer.endpoints


class RandomEvents:
    """Feeds a balancer with random events in which endpoints leave the list and return at any moment."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.driver = BalancerDriver(RANDOM_ENDPOINT_COUNT, seed, connection_groups=True)
        self.attempts: dict[int, Forward] = {}
        self.connections: dict[int, Forward] = {}
        self.timers: list[str] = []
        self.checked: list[str] = []

    def run_step(self) -> None:
        step = self.random.choice(
            [
                self._request,
                self._request,
                self._establish,
                self._end_attempt,
                self._end_connection,
                self._disconnect,
                self._change_list,
                self._fire_timer,
                self._answer_health_check,
            ]
        )
        self.driver.now += 0.05 * self.random.random()
        for action in step():
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Forward():
                assert action.request_id not in self.attempts
                assert self.driver.balancer.endpoints[action.endpoint].phase is EndpointPhase.READY
                self.attempts[action.request_id] = action
            case SetTimer():
                self.timers.append(action.token)
            case CheckHealth():
                self.checked.append(action.endpoint)
            case Migrate():
                forward = self.connections.pop(action.request_id)
                for following in self.driver.end_attempt(forward, AttemptResult.CANCELLED, settled=True):
                    self._carry_out(following)
            case Reject() | Fail():
                assert action.request_id not in self.attempts

    def _take(self, forwards: dict[int, Forward]) -> Forward | None:
        return forwards.pop(self.random.choice(list(forwards))) if forwards else None

    def _request(self) -> list[Action]:
        return self.driver.request(group=f"g{self.random.randrange(3)}")

    def _establish(self) -> list[Action]:
        forward = self._take(self.attempts)
        if forward is None:
            return []
        self.connections[forward.request_id] = forward
        return self.driver.establish(forward)

    def _end_attempt(self) -> list[Action]:
        forward = self._take(self.attempts)
        results = [AttemptResult.RESET, AttemptResult.FULL, AttemptResult.CONNECT_FAILED]
        return self.driver.end_attempt(forward, self.random.choice(results)) if forward else []

    def _end_connection(self) -> list[Action]:
        forward = self._take(self.connections)
        results = [AttemptResult.OK, AttemptResult.RESET]
        return self.driver.end_attempt(forward, self.random.choice(results), settled=True) if forward else []

    def _disconnect(self) -> list[Action]:
        forward = self._take(self.attempts)
        if forward is None:
            return []
        actions = self.driver.feed(ClientDisconnected(forward.request_id))
        return actions + self.driver.end_attempt(forward, AttemptResult.CANCELLED, settled=True)

    def _change_list(self) -> list[Action]:
        phases = list(EndpointPhase)
        entries = tuple(
            EndpointEntry(
                f"s{index}",
                phase=self.random.choice(phases),
                started_at=self.driver.now if self.random.random() < 0.5 else 0.0,
            )
            for index in range(RANDOM_ENDPOINT_COUNT)
            if self.random.random() < 0.6
        )
        kind = self.random.choice([EndpointListKind.DELTA, EndpointListKind.FULL])
        return self.driver.feed(EndpointList(kind, entries))

    def _fire_timer(self) -> list[Action]:
        if not self.timers:
            return []
        return self.driver.feed(TimerFired(self.timers.pop(self.random.randrange(len(self.timers)))))

    def _answer_health_check(self) -> list[Action]:
        if not self.checked:
            return []
        name = self.checked.pop(self.random.randrange(len(self.checked)))
        if self.random.random() < 0.3:
            return self.driver.feed(HealthCheckEnded(name, AttemptResult.TIMEOUT, 0.25, None))
        return self.driver.report_health(name, self.random.random())


@pytest.mark.parametrize("seed", range(40))
def test_registry_is_consistent_after_each_of_many_random_events(seed: int) -> None:
    # Guards against any other order of events that leaves a name in the ring without an endpoint behind it.
    events = RandomEvents(seed)
    for _ in range(RANDOM_EVENT_COUNT):
        events.run_step()
        assert_registry_is_consistent(events.driver.balancer)
