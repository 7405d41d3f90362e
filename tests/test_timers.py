"""Tests of timer tokens, which the simulator and recordings contain as text."""

from __future__ import annotations

import pytest

from gradegap.balancing import timers
from gradegap.balancing.timers import Timer, TimerKind


@pytest.mark.parametrize(
    ("token", "timer"),
    [
        (timers.HEALTH_CHECKS_TOKEN, Timer(TimerKind.HEALTH_CHECKS)),
        (timers.ENDPOINT_LIST_TOKEN, Timer(TimerKind.ENDPOINT_LIST)),
        (timers.PROXY_DRAIN_TOKEN, Timer(TimerKind.PROXY_DRAIN)),
        (timers.endpoint_drain_token("look"), Timer(TimerKind.ENDPOINT_DRAIN, "look")),
        (timers.request_token(17), Timer(TimerKind.REQUEST, "17")),
    ],
)
def test_parse_of_a_formatted_token_returns_its_timer(token: str, timer: Timer) -> None:
    assert timers.parse(token) == timer


def test_tokens_have_their_stored_texts() -> None:
    balancer_tokens = (timers.HEALTH_CHECKS_TOKEN, timers.ENDPOINT_LIST_TOKEN, timers.PROXY_DRAIN_TOKEN)
    assert balancer_tokens == ("look", "list", "leave")
    assert (timers.endpoint_drain_token("10.0.0.1:80"), timers.request_token(5)) == ("e10.0.0.1:80", "h5")


@pytest.mark.parametrize("token", ["", "x", "looking", "lists"])
def test_parse_of_an_unknown_token_returns_none(token: str) -> None:
    assert timers.parse(token) is None
