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


def test_an_inherited_connection_has_the_drain_grace_of_its_endpoint() -> None:
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


def test_a_connection_whose_endpoint_is_unresponsive_is_migrated_within_seven_seconds() -> None:
    harness = ProxyHarness()
    session, request, _ = harness.establish()
    harness.loop.run(2.0)
    request.on_client_line()
    harness.loop.run(UNRESPONSIVE_AFTER_S)
    assert session.call_names == ["up", "move"] and harness.loop.now - session.calls[0][1] <= 7.0


def test_an_idle_or_answered_connection_is_not_migrated() -> None:
    harness = ProxyHarness()
    session, request, _ = harness.establish()
    harness.loop.run(20.0)
    request.on_client_line()
    request.on_endpoint_data()
    harness.loop.run(20.0)
    assert session.call_names == ["up"]


def test_slow_messages_are_observed_at_most_once_a_second() -> None:
    harness = ProxyHarness()
    _, request, _ = harness.establish()
    for k in range(10):
        request.on_client_line()
        harness.loop.run(0.01 if k == 0 else 0.4)
        request.on_endpoint_data()
    notes = [e for e in harness.balancer.events if isinstance(e, ConnectionObserved)]
    assert 2 <= len(notes) <= 4 and all(n.message_delay == pytest.approx(0.39) for n in notes)


def test_an_inherited_connection_that_could_not_be_made_is_tried_again() -> None:
    harness = ProxyHarness()
    session, _ = harness.open_request(wait=40.0, inherited_from="a")
    harness.upstream.connections[0].attempt.on_ended(AttemptResult.CONNECT_FAILED)
    harness.loop.run(0.5)
    harness.upstream.connections[1].write()
    harness.upstream.connections[1].attempt.on_established()
    assert session.call_names == ["up"]
    assert [type(e) for e in harness.balancer.events[1:]] == [ConnectionInherited]
