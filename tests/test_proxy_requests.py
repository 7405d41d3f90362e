"""Requests of a proxy: each gets one final answer by its deadline, and nothing afterwards."""

from __future__ import annotations

from typing import NoReturn

import pytest

from gradegap.balancing.actions import Forward, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    EndpointList,
    EndpointPhase,
    Event,
    RequestArrived,
    TimerFired,
)
from gradegap.proxy.request import RequestState, RequestStateError
from tests.support.proxy_harness import ProxyHarness


def test_request_without_a_balancer_decision_fails_at_its_deadline() -> None:
    harness = ProxyHarness()
    harness.balancer.answers.clear()
    started_at = harness.loop.now
    session, _ = harness.open_request(wait=1.5)
    harness.loop.run(5.0)
    assert session.calls == [("fail", started_at + 1.5)] and not harness.proxy.requests


def test_events_after_the_final_answer_are_ignored() -> None:
    harness = ProxyHarness()
    harness.balancer.answers[AttemptEnded] = lambda event: [Reject(event.request_id, 0.5)]
    session, request = harness.open_request(wait=1.0)
    attempt = harness.upstream.connections[0].attempt
    harness.loop.run(1.2)
    attempt.on_established()
    attempt.on_ended(AttemptResult.OK)
    attempt.on_load(0.5)
    request.on_disconnect()
    harness.loop.run(1.0)
    assert session.call_names == ["busy"] and len(harness.balancer.results()) == 1


def test_client_that_disconnected_unread_while_waiting_is_not_forwarded() -> None:
    """The client's end is in the socket's buffer, unread by the busy loop, when a timer makes the balancer
    forward."""
    harness = ProxyHarness()
    harness.balancer.answers = {TimerFired: lambda event: [Forward(1, "a", 1.0)]}
    session, _ = harness.open_request()
    session.disconnected = True
    harness.proxy.feed(TimerFired("h1"))
    harness.loop.run(3.0)
    assert not harness.upstream.connections and not session.calls and not harness.proxy.requests
    disconnected, ended = harness.balancer.events[-2:]
    assert isinstance(disconnected, ClientDisconnected) and isinstance(ended, AttemptEnded) and ended.settled


def test_client_that_disconnected_unread_during_the_connect_sends_nothing() -> None:
    harness = ProxyHarness()
    session, _ = harness.open_request()
    session.disconnected = True
    assert not harness.upstream.connections[0].attempt.may_send()
    harness.loop.run(3.0)
    assert harness.upstream.connections[0].cancelled and not session.calls and not harness.proxy.requests


def test_request_rejected_by_the_gate_on_forward_ends_for_the_balancer() -> None:
    """The balancer must see the end of the attempt, although it was never started; else it waits for it
    forever."""
    harness = ProxyHarness()
    harness.balancer.answers = {TimerFired: lambda event: [Forward(1, "a", 1.0)]}
    session, _ = harness.open_request()
    harness.proxy.set_admission_gate(lambda: 0.5)
    harness.proxy.feed(TimerFired("h1"))
    assert session.call_names == ["busy"] and not harness.proxy.requests
    assert isinstance(harness.balancer.events[-1], AttemptEnded) and harness.balancer.events[-1].settled


def test_disconnect_cancels_the_attempt_without_an_answer() -> None:
    harness = ProxyHarness()
    session, request = harness.open_request()
    request.on_disconnect()
    harness.loop.run(3.0)
    assert harness.upstream.connections[0].cancelled and not session.calls and not harness.proxy.requests


def test_ended_request_rejects_any_transition() -> None:
    harness = ProxyHarness()
    _, request = harness.open_request()
    request.on_disconnect()
    assert request.state is RequestState.ENDED
    with pytest.raises(RequestStateError, match="invalid transition from ended to established"):
        request.transition(RequestState.ESTABLISHED)


def raise_in_decision(event: Event) -> NoReturn:
    raise KeyError("s-a")


@pytest.mark.parametrize("event_type", [RequestArrived, AttemptEnded])
def test_request_whose_decision_raises_fails_at_once(event_type: type) -> None:
    # Guards against a client that is closed without an answer, or waits for its deadline, because the
    # balancer raised an exception while it decided on the client's request.
    harness = ProxyHarness()
    decide = harness.balancer.answers[RequestArrived]
    harness.balancer.answers[event_type] = raise_in_decision
    session, request = harness.open_request()
    if event_type is AttemptEnded:
        harness.upstream.connections[0].attempt.on_ended(AttemptResult.RESET)
    assert session.calls == [("fail", harness.loop.now)] and not harness.proxy.requests
    assert harness.balancer.events[-1] == ClientDisconnected(request.id)
    assert harness.proxy.metrics.counts["decisions_failed"] == 1
    harness.loop.run(3.0)
    assert session.call_names == ["fail"]
    harness.balancer.answers = {RequestArrived: decide}
    assert harness.establish()[0].call_names == ["up"]


def test_decision_that_raises_leaves_the_attempt_of_its_request_alone() -> None:
    # Guards against a second answer: the endpoint has confirmed the connection, and the client has its line.
    harness = ProxyHarness()
    harness.balancer.answers[ConnectionEstablished] = raise_in_decision
    session, request, connection = harness.establish()
    assert session.call_names == ["up"] and request.established
    connection.attempt.on_ended(AttemptResult.OK)
    assert session.call_names == ["up", "end"] and not harness.proxy.requests


def test_decision_on_the_endpoint_list_that_raises_does_not_stop_the_drain() -> None:
    # Guards against a list that is not applied to the end: a draining endpoint must get no new connection.
    harness = ProxyHarness()
    session, _ = harness.open_request()
    harness.balancer.answers[EndpointList] = raise_in_decision
    harness.list_endpoint("a", phase=EndpointPhase.DRAINING)
    assert harness.upstream.connections[0].cancelled and harness.proxy.endpoints["a"].draining
    harness.loop.run(3.0)
    assert session.call_names == ["fail"]
    assert harness.proxy.metrics.counts["decisions_failed"] == 1
