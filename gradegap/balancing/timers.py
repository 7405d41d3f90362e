"""The tokens that identify timers, which are sent to the simulator and stored in recordings as text.

A timer belongs to the balancer ("look", "list", "leave"), to an endpoint ("e" followed by its name) or to a
request ("h" followed by its id). Only this module formats and parses tokens.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class TimerKind(Enum):
    """The purpose of a timer. The value is the token, or its first letter if the token names a subject."""

    HEALTH_CHECKS = "look"
    """The next round of scheduled health checks is due."""
    ENDPOINT_LIST = "list"
    """The next call to discovery is due."""
    PROXY_DRAIN = "leave"
    """The next round of migration off this proxy is due."""
    ENDPOINT_DRAIN = "e"
    """The next round of migration off a draining endpoint is due."""
    REQUEST = "h"
    """The wait of a request is over."""


class Timer(NamedTuple):
    """A timer, as parsed from its token."""

    kind: TimerKind
    subject: str = ""
    """The name of the endpoint or the id of the request; empty for a timer of the balancer."""


HEALTH_CHECKS_TOKEN = TimerKind.HEALTH_CHECKS.value
ENDPOINT_LIST_TOKEN = TimerKind.ENDPOINT_LIST.value
PROXY_DRAIN_TOKEN = TimerKind.PROXY_DRAIN.value

_BALANCER_TIMERS = {
    kind.value: Timer(kind)
    for kind in (TimerKind.HEALTH_CHECKS, TimerKind.ENDPOINT_LIST, TimerKind.PROXY_DRAIN)
}
_KIND_BY_FIRST_LETTER = {kind.value: kind for kind in (TimerKind.ENDPOINT_DRAIN, TimerKind.REQUEST)}


def endpoint_drain_token(endpoint: str) -> str:
    """Returns the token of the timer for an endpoint's next round of migration."""
    return TimerKind.ENDPOINT_DRAIN.value + endpoint


def request_token(request_id: int) -> str:
    """Returns the token of the timer for a waiting request."""
    return f"{TimerKind.REQUEST.value}{request_id}"


def parse(token: str) -> Timer | None:
    """Returns the timer that a token identifies; None for a token that this module does not know."""
    timer = _BALANCER_TIMERS.get(token)
    if timer is not None:
        return timer
    kind = _KIND_BY_FIRST_LETTER.get(token[:1])
    return Timer(kind, token[1:]) if kind is not None else None
