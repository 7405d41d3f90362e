"""Established and inherited connections of a proxy: unresponsive endpoints, slow messages, drain grace."""

from __future__ import annotations

import pytest

from gradegap.balancing.events import (
    AttemptResult,
    ConnectionInherited,
    ConnectionObserved,
    EndpointPhase,
)
from gradegap.proxy.unresponsive import UNRESPONSIVE_AFTER_S
from tests.support.proxy_harness import ProxyHarness


def test_inherited_connection_may_be_sent_during_the_drain_grace() -> None:
    harness = ProxyHarness()
    harness.open_request(wait=40.0, inherited_from="a")
    harness.list_endpoint("a", phase=EndpointPhase.DRAINING)
    assert (
        not harness.upstream.connections[0].cancelled and harness.upstream.connections[0].attempt.may_send()
    )
    harness.loop.run(1.95)
    assert (
        not harness.upstream.connections[0].attempt.may_send() and harness.upstream.connections[0].cancelled
    )


def test_connection_to_an_unresponsive_endpoint_is_migrated_within_seven_seconds() -> None:
    harness = ProxyHarness()
    session, request, _ = harness.establish()
    harness.loop.run(2.0)
    request.on_client_line()
    harness.loop.run(UNRESPONSIVE_AFTER_S)
    assert session.call_names == ["up", "move"] and harness.loop.now - session.calls[0][1] <= 7.0


def test_idle_or_answered_connection_is_not_migrated() -> None:
    harness = ProxyHarness()
    session, request, _ = harness.establish()
    harness.loop.run(20.0)
    request.on_client_line()
    request.on_endpoint_data()
    harness.loop.run(20.0)
    assert session.call_names == ["up"]


def test_slow_messages_are_reported_at_most_once_a_second() -> None:
    harness = ProxyHarness()
    _, request, _ = harness.establish()
    for index in range(10):
        request.on_client_line()
        harness.loop.run(0.01 if index == 0 else 0.4)
        request.on_endpoint_data()
    observations = [event for event in harness.balancer.events if isinstance(event, ConnectionObserved)]
    assert 2 <= len(observations) <= 4 and all(
        observation.message_delay == pytest.approx(0.39) for observation in observations
    )


def test_inherited_connection_is_retried_after_a_failed_connect() -> None:
    harness = ProxyHarness()
    session, _ = harness.open_request(wait=40.0, inherited_from="a")
    harness.upstream.connections[0].attempt.on_ended(AttemptResult.CONNECT_FAILED)
    harness.loop.run(0.5)
    harness.upstream.connections[1].write()
    harness.upstream.connections[1].attempt.on_established()
    assert session.call_names == ["up"]
    assert [type(event) for event in harness.balancer.events[1:]] == [ConnectionInherited]
