"""Endpoints of a proxy: restarts, drain grace, health checks and administrative disabling."""

from __future__ import annotations

import pytest

from gradegap.balancing.actions import CheckHealth
from gradegap.balancing.events import (
    AttemptResult,
    EndpointList,
    EndpointPhase,
    HealthCheckEnded,
    TimerFired,
)
from tests.support.balancer_driver import settings
from tests.support.proxy_harness import ProxyHarness


def test_restarted_endpoint_loses_the_state_of_its_previous_process() -> None:
    """The drain state, the load report and the health check connection belong to the previous process."""
    harness = ProxyHarness()
    harness.list_endpoint("a", phase=EndpointPhase.DRAINING)
    harness.proxy.record_report(harness.proxy.now(), "a", {"x0": 0.9})
    harness.loop.run(5.0)
    harness.upstream.closed.clear()
    harness.list_endpoint("a", started_at=harness.proxy.now())
    endpoint = harness.proxy.endpoints["a"]
    assert (
        harness.upstream.closed == ["a"]
        and endpoint.report is None
        and harness.proxy.within_drain_grace(endpoint)
    )
    harness.open_request()
    assert [connection.endpoint.id for connection in harness.upstream.connections] == ["a"]


def test_repeated_drain_notice_does_not_restart_the_grace() -> None:
    harness = ProxyHarness()
    harness.list_endpoint("a", phase=EndpointPhase.DRAINING)
    harness.loop.run(1.5)
    harness.list_endpoint("a", phase=EndpointPhase.DRAINING)
    harness.loop.run(0.5)
    harness.open_request()
    assert not harness.upstream.connections


def test_endpoint_past_its_drain_grace_is_neither_checked_nor_unresponsive() -> None:
    """If the missing check counted as a timeout, the balancer would migrate all connections at once."""
    harness = ProxyHarness()
    harness.balancer.answers[TimerFired] = lambda event: [CheckHealth("a")]
    harness.list_endpoint("a", phase=EndpointPhase.DRAINING)
    harness.proxy.feed(TimerFired("look"))
    harness.loop.run(2.5)
    harness.proxy.feed(TimerFired("look"))
    harness.loop.run(0.1)
    assert harness.upstream.checked == ["a"]
    assert [event.result for event in harness.balancer.events if isinstance(event, HealthCheckEnded)] == [
        AttemptResult.FULL
    ]


@pytest.mark.parametrize(("grace", "expected_stops_within"), [(0.25, 2.0), (2.0, 2.0), (6.0, 6.0)])
def test_disabled_endpoint_is_drained_over_at_least_two_seconds(
    grace: float, expected_stops_within: float
) -> None:
    """With a drain grace of 250 ms all clients would otherwise be migrated within a fifth of a second."""
    harness = ProxyHarness()
    harness.proxy.settings = settings(drain_grace=grace)
    assert harness.proxy.disable_endpoint("a")
    (entry,) = [event for event in harness.balancer.events if isinstance(event, EndpointList)][-1].entries
    assert entry.phase is EndpointPhase.DRAINING and entry.stops_within == expected_stops_within


@pytest.mark.parametrize(("grace", "expected_send_window"), [(0.05, 0.03), (0.25, 0.15), (2.0, 1.9)])
def test_short_drain_grace_leaves_time_to_send(grace: float, expected_send_window: float) -> None:
    harness = ProxyHarness()
    harness.proxy.settings = settings(drain_grace=grace)
    harness.list_endpoint("a", phase=EndpointPhase.DRAINING)
    endpoint = harness.proxy.endpoints["a"]
    harness.loop.run(expected_send_window - 0.001)
    assert harness.proxy.within_drain_grace(endpoint)
    harness.loop.run(0.002)
    assert not harness.proxy.within_drain_grace(endpoint)
