"""The tokens of timers are those of the simulator's wire and of recordings."""

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
def test_a_token_is_read_as_the_timer_it_was_made_for(token: str, timer: Timer) -> None:
    assert timers.parse(token) == timer


def test_tokens_are_the_texts_on_the_wire() -> None:
    fixed = (timers.HEALTH_CHECKS_TOKEN, timers.ENDPOINT_LIST_TOKEN, timers.PROXY_DRAIN_TOKEN)
    assert fixed == ("look", "list", "leave")
    assert (timers.endpoint_drain_token("10.0.0.1:80"), timers.request_token(5)) == ("e10.0.0.1:80", "h5")


@pytest.mark.parametrize("token", ["", "x", "looking", "lists"])
def test_an_unknown_token_is_no_timer(token: str) -> None:
    assert timers.parse(token) is None
