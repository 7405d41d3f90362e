"""What a proxy keeps of attempts: one at a time, in time, and none to an endpoint that drains."""

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


def test_a_second_attempt_while_one_is_active_is_not_begun() -> None:
    harness = ProxyHarness()
    harness.balancer.answers[RequestArrived] = lambda e: [Forward(e.request_id, "a", 1.0)] * 2
    harness.open_request()
    assert len(harness.upstream.connections) == 1 and harness.proxy.metrics.counts["moot"] == 1


def test_an_attempt_ends_before_the_deadline_so_that_the_answer_is_in_time() -> None:
    harness = ProxyHarness()
    harness.balancer.answers[AttemptEnded] = lambda e: [Reject(e.request_id, 0.5)]
    started_at = harness.loop.now
    session, _ = harness.open_request(wait=1.5)
    harness.upstream.connections[0].write()
    harness.loop.run(5.0)
    ((call, at),) = session.calls
    assert call == "busy" and at <= started_at + 1.5
    assert harness.balancer.results() == [AttemptResult.TIMEOUT] and harness.upstream.connections[0].cancelled


@pytest.mark.parametrize("phase", [EndpointPhase.DRAINING, EndpointPhase.REMOVED])
def test_an_attempt_still_connecting_when_its_endpoint_drains_is_cancelled_unsent(
    phase: EndpointPhase,
) -> None:
    """At once, and not at the end of the grace, which may be over when this node learns of the drain.
    The balancer gets the list first, or it would choose the same endpoint again."""
    harness = ProxyHarness()
    harness.balancer.answers[AttemptEnded] = lambda e: [Forward(e.request_id, "b", 5.0)]
    harness.list_endpoint("b")
    _session, _ = harness.open_request(wait=9.0)
    harness.list_endpoint("a", phase=phase)
    assert harness.upstream.connections[0].cancelled and not harness.upstream.connections[0].sent
    assert harness.balancer.results() == [AttemptResult.CONNECT_FAILED]
    assert [type(e) for e in harness.balancer.events[-2:]] == [EndpointList, AttemptEnded]
    assert [each.endpoint.id for each in harness.upstream.connections] == ["a", "b"]
    del harness.balancer.answers[AttemptEnded], harness.upstream.connections[1]
    harness.open_request(wait=9.0)  # and nothing new is sent there, though the balancer decides so
    harness.loop.run(0.1)
    assert len(harness.upstream.connections) == 1 and harness.balancer.results()[1:] == [
        AttemptResult.NOT_SENT
    ]


def test_a_retry_that_could_not_be_sent_within_its_window_is_not_sent_after_it() -> None:
    """It was decided in time, and its connection came up late: endpoints deduplicate for so long only."""
    harness = ProxyHarness()
    harness.balancer.answers[RequestArrived] = lambda e: [Forward(e.request_id, "a", 5.0, begin_within=0.1)]
    harness.open_request()
    harness.open_request()
    harness.loop.run(0.09)
    assert harness.upstream.connections[0].attempt.may_send()
    harness.loop.run(0.02)
    assert not harness.upstream.connections[1].attempt.may_send()
    assert harness.balancer.results() == [AttemptResult.CONNECT_FAILED]
