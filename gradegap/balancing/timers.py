"""The tokens of timers, which go over the simulator's wire and into recordings as text.

A timer belongs to the balancer ("look", "list", "leave"), to an endpoint ("e" and its name) or to a request
("h" and its id). Tokens are made and read here and nowhere else.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class TimerKind(Enum):
    """What a timer is for; the value is its token, or what its token begins with."""

    HEALTH_CHECKS = "look"
    """The scheduled health checks are due."""
    ENDPOINT_LIST = "list"
    """Discovery is to be called."""
    PROXY_DRAIN = "leave"
    """The next round of migration off this proxy is due."""
    ENDPOINT_DRAIN = "e"
    """The next round of migration off one endpoint is due."""
    REQUEST = "h"
    """A request has waited long enough."""


class Timer(NamedTuple):
    """A timer as its token names it."""

    kind: TimerKind
    subject: str = ""
    """The name of the endpoint, or the id of the request."""


HEALTH_CHECKS_TOKEN = TimerKind.HEALTH_CHECKS.value
ENDPOINT_LIST_TOKEN = TimerKind.ENDPOINT_LIST.value
PROXY_DRAIN_TOKEN = TimerKind.PROXY_DRAIN.value

_OF_THE_BALANCER = {
    kind.value: Timer(kind)
    for kind in (TimerKind.HEALTH_CHECKS, TimerKind.ENDPOINT_LIST, TimerKind.PROXY_DRAIN)
}
_BY_FIRST_LETTER = {kind.value: kind for kind in (TimerKind.ENDPOINT_DRAIN, TimerKind.REQUEST)}


def endpoint_drain_token(endpoint: str) -> str:
    """Returns the token of an endpoint's next round of migration."""
    return TimerKind.ENDPOINT_DRAIN.value + endpoint


def request_token(request_id: int) -> str:
    """Returns the token of a request that waits."""
    return f"{TimerKind.REQUEST.value}{request_id}"


def parse(token: str) -> Timer | None:
    """Returns the timer that a token names; None for a token that is not of this module."""
    timer = _OF_THE_BALANCER.get(token)
    if timer is not None:
        return timer
    kind = _BY_FIRST_LETTER.get(token[:1])
    return Timer(kind, token[1:]) if kind is not None else None
