"""Endpoints of a proxy: restarts, drain grace, health checks, administrative disabling."""

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


def test_an_endpoint_restarted_under_its_id_starts_with_nothing_known_of_it() -> None:
    """Its drain is over; its report and its health check connection are those of the process before."""
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
    assert [each.endpoint.id for each in harness.upstream.connections] == ["a"]


def test_a_repeated_drain_notice_does_not_restart_the_grace() -> None:
    harness = ProxyHarness()
    harness.list_endpoint("a", phase=EndpointPhase.DRAINING)
    harness.loop.run(1.5)
    harness.list_endpoint("a", phase=EndpointPhase.DRAINING)
    harness.loop.run(0.5)
    harness.open_request()
    assert not harness.upstream.connections


def test_an_endpoint_past_its_drain_grace_is_not_checked_nor_taken_for_unresponsive() -> None:
    """It once counted as unresponsive, and its connections were migrated in one wave."""
    harness = ProxyHarness()
    harness.balancer.answers[TimerFired] = lambda e: [CheckHealth("a")]
    harness.list_endpoint("a", phase=EndpointPhase.DRAINING)
    harness.proxy.feed(TimerFired("look"))
    harness.loop.run(2.5)
    harness.proxy.feed(TimerFired("look"))
    harness.loop.run(0.1)
    assert harness.upstream.checked == ["a"]
    assert [e.result for e in harness.balancer.events if isinstance(e, HealthCheckEnded)] == [
        AttemptResult.FULL
    ]


@pytest.mark.parametrize(("grace", "stays"), [(0.25, 2.0), (2.0, 2.0), (6.0, 6.0)])
def test_a_disabled_endpoint_is_emptied_over_seconds_however_short_the_grace(
    grace: float, stays: float
) -> None:
    """With a grace of 250 ms all its clients were migrated within a fifth of a second."""
    harness = ProxyHarness()
    harness.proxy.settings = settings(drain_grace=grace)
    assert harness.proxy.disable_endpoint("a")
    (entry,) = [e for e in harness.balancer.events if isinstance(e, EndpointList)][-1].entries
    assert entry.phase is EndpointPhase.DRAINING and entry.stops_within == stays


@pytest.mark.parametrize(("grace", "sends_for"), [(0.05, 0.03), (0.25, 0.15), (2.0, 1.9)])
def test_a_short_grace_leaves_some_of_it_to_send_in(grace: float, sends_for: float) -> None:
    harness = ProxyHarness()
    harness.proxy.settings = settings(drain_grace=grace)
    harness.list_endpoint("a", phase=EndpointPhase.DRAINING)
    endpoint = harness.proxy.endpoints["a"]
    harness.loop.run(sends_for - 0.001)
    assert harness.proxy.within_drain_grace(endpoint)
    harness.loop.run(0.002)
    assert not harness.proxy.within_drain_grace(endpoint)
