"""Attempts of a proxy: one at a time per request, ended before the deadline, none to a draining endpoint."""

from __future__ import annotations

import pytest

from gradegap.balancing.actions import Forward, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    EndpointList,
    EndpointPhase,
    RequestArrived,
)
from tests.support.proxy_harness import ProxyHarness


def test_forward_while_an_attempt_is_active_starts_no_second_attempt() -> None:
    harness = ProxyHarness()
    harness.balancer.answers[RequestArrived] = lambda event: [Forward(event.request_id, "a", 1.0)] * 2
    harness.open_request()
    assert len(harness.upstream.connections) == 1 and harness.proxy.metrics.counts["moot"] == 1


def test_attempt_timeout_leaves_time_to_answer_before_the_deadline() -> None:
    harness = ProxyHarness()
    harness.balancer.answers[AttemptEnded] = lambda event: [Reject(event.request_id, 0.5)]
    started_at = harness.loop.now
    session, _ = harness.open_request(wait=1.5)
    harness.upstream.connections[0].write()
    harness.loop.run(5.0)
    ((call_name, called_at),) = session.calls
    assert call_name == "busy" and called_at <= started_at + 1.5
    assert harness.balancer.results() == [AttemptResult.TIMEOUT] and harness.upstream.connections[0].cancelled


@pytest.mark.parametrize("phase", [EndpointPhase.DRAINING, EndpointPhase.REMOVED])
def test_drain_notice_cancels_an_attempt_that_is_still_connecting(
    phase: EndpointPhase,
) -> None:
    """The attempt is cancelled at once and not at the end of the drain grace, which may be over when this
    node learns of the drain. The balancer is told first, because it would otherwise choose the same endpoint
    again."""
    harness = ProxyHarness()
    harness.balancer.answers[AttemptEnded] = lambda event: [Forward(event.request_id, "b", 5.0)]
    harness.list_endpoint("b")
    _session, _ = harness.open_request(wait=9.0)
    harness.list_endpoint("a", phase=phase)
    assert harness.upstream.connections[0].cancelled and not harness.upstream.connections[0].sent
    assert harness.balancer.results() == [AttemptResult.CONNECT_FAILED]
    assert [type(event) for event in harness.balancer.events[-2:]] == [EndpointList, AttemptEnded]
    assert [connection.endpoint.id for connection in harness.upstream.connections] == ["a", "b"]
    del harness.balancer.answers[AttemptEnded], harness.upstream.connections[1]
    # Nothing more is sent to the draining endpoint, although the balancer forwards to it.
    harness.open_request(wait=9.0)
    harness.loop.run(0.1)
    assert len(harness.upstream.connections) == 1 and harness.balancer.results()[1:] == [
        AttemptResult.NOT_SENT
    ]


def test_retry_is_not_sent_after_its_deduplication_window() -> None:
    """The retry was decided in time, but its connection was established late. Endpoints deduplicate retries
    only within the window, so a later one could run twice."""
    harness = ProxyHarness()
    harness.balancer.answers[RequestArrived] = lambda event: [
        Forward(event.request_id, "a", 5.0, begin_within=0.1)
    ]
    harness.open_request()
    harness.open_request()
    harness.loop.run(0.09)
    assert harness.upstream.connections[0].attempt.may_send()
    harness.loop.run(0.02)
    assert not harness.upstream.connections[1].attempt.may_send()
    assert harness.balancer.results() == [AttemptResult.CONNECT_FAILED]
