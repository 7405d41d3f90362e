"""The actions that a `Balancer` returns, to be executed in order.

All times are durations in seconds, as floats. This module contains no decision logic.
"""

from __future__ import annotations

import math
from typing import NamedTuple


class Forward(NamedTuple):
    """Start one attempt: open a connection to the endpoint for the request."""

    request_id: int
    endpoint: str
    timeout: float  # seconds after which the attempt has failed
    begin_within: float = math.inf  # seconds after which the request must no longer be written


class Reject(NamedTuple):
    """Final answer: the client may safely retry, after `retry_after` where that is given."""

    request_id: int
    retry_after: float = 0.0  # seconds; 0: no advice to the client


class Fail(NamedTuple):
    """Final answer: the request failed, and the endpoint may have executed it."""

    request_id: int


class Migrate(NamedTuple):
    """Close an established connection gracefully, so that its client reconnects."""

    request_id: int


class SetTimer(NamedTuple):
    """Deliver `TimerFired` with this token after a delay."""

    delay: float  # seconds
    token: str


class CheckHealth(NamedTuple):
    """Send a health check to an endpoint; `HealthCheckEnded` delivers the result and the load report."""

    endpoint: str


class WatchEndpoints(NamedTuple):
    """Start to watch the endpoint list: request all further changes of it from discovery."""


class LogMessage(NamedTuple):
    """Write a line to the log."""

    text: str


Action = Forward | Reject | Fail | Migrate | SetTimer | CheckHealth | WatchEndpoints | LogMessage
