"""What a proxy keeps of each request: one final answer, in time, and nothing after it."""

from __future__ import annotations

import pytest

from gradegap.balancing.actions import Forward, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    TimerFired,
)
from gradegap.proxy.request import RequestState, RequestStateError
from tests.support.proxy_harness import ProxyHarness


def test_a_request_that_the_balancer_never_answers_fails_at_its_deadline() -> None:
    harness = ProxyHarness()
    harness.balancer.answers.clear()
    started_at = harness.loop.now
    session, _ = harness.open_request(wait=1.5)
    harness.loop.run(5.0)
    assert session.calls == [("fail", started_at + 1.5)] and not harness.proxy.requests


def test_reports_about_a_finished_request_change_nothing() -> None:
    harness = ProxyHarness()
    harness.balancer.answers[AttemptEnded] = lambda e: [Reject(e.request_id, 0.5)]
    session, request = harness.open_request(wait=1.0)
    attempt = harness.upstream.connections[0].attempt
    harness.loop.run(1.2)
    attempt.on_established()
    attempt.on_ended(AttemptResult.OK)
    attempt.on_load(0.5)
    request.on_disconnect()
    harness.loop.run(1.0)
    assert session.call_names == ["busy"] and len(harness.balancer.results()) == 1


def test_a_client_that_disconnected_unread_while_it_waited_is_not_forwarded() -> None:
    """Its end lies in the socket as a timer lets the balancer choose: the busy loop did not read it yet."""
    harness = ProxyHarness()
    harness.balancer.answers = {TimerFired: lambda e: [Forward(1, "a", 1.0)]}
    session, _ = harness.open_request()
    session.disconnected = True
    harness.proxy.feed(TimerFired("h1"))
    harness.loop.run(3.0)
    assert not harness.upstream.connections and not session.calls and not harness.proxy.requests
    disconnected, ended = harness.balancer.events[-2:]
    assert isinstance(disconnected, ClientDisconnected) and isinstance(ended, AttemptEnded) and ended.settled


def test_nothing_is_sent_for_a_client_that_disconnected_unread_during_the_dial() -> None:
    harness = ProxyHarness()
    session, _ = harness.open_request()
    session.disconnected = True
    assert not harness.upstream.connections[0].attempt.may_send()
    harness.loop.run(3.0)
    assert harness.upstream.connections[0].cancelled and not session.calls and not harness.proxy.requests


def test_a_request_rejected_by_the_gate_as_it_is_forwarded_is_settled_for_the_balancer() -> None:
    """The balancer once saw the client disconnect, and kept waiting for the end of an attempt never begun."""
    harness = ProxyHarness()
    harness.balancer.answers = {TimerFired: lambda e: [Forward(1, "a", 1.0)]}
    session, _ = harness.open_request()
    harness.proxy.set_admission_gate(lambda: 0.5)
    harness.proxy.feed(TimerFired("h1"))
    assert session.call_names == ["busy"] and not harness.proxy.requests
    assert isinstance(harness.balancer.events[-1], AttemptEnded) and harness.balancer.events[-1].settled


def test_a_disconnect_cancels_the_attempt_and_gives_no_answer() -> None:
    harness = ProxyHarness()
    session, request = harness.open_request()
    request.on_disconnect()
    harness.loop.run(3.0)
    assert harness.upstream.connections[0].cancelled and not session.calls and not harness.proxy.requests


def test_a_request_that_ended_can_enter_no_other_state() -> None:
    harness = ProxyHarness()
    _, request = harness.open_request()
    request.on_disconnect()
    assert request.state is RequestState.ENDED
    with pytest.raises(RequestStateError, match="invalid transition from ended to established"):
        request.transition(RequestState.ESTABLISHED)
