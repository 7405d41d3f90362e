"""Actions, which the decisions come to; to be carried out in their order.

All times are lengths in seconds, as floats. Nothing in this file decides anything.
"""

from __future__ import annotations

import math
from typing import NamedTuple


class Forward(NamedTuple):
    """Start one attempt: open a connection to the endpoint for this request."""

    request_id: int
    endpoint: str
    timeout: float  # s until the attempt has failed
    begin_within: float = math.inf  # s after which the first line may not be written any more


class Reject(NamedTuple):
    """Final answer: trying again is harmless, after a while where one is given."""

    request_id: int
    retry_after: float = 0.0  # s; 0: no advice


class Fail(NamedTuple):
    """Final answer that promises nothing."""

    request_id: int


class Migrate(NamedTuple):
    """End an established connection politely; its client comes again."""

    request_id: int


class SetTimer(NamedTuple):
    """Send `TimerFired` with this token after a while."""

    delay: float  # s
    token: str


class CheckHealth(NamedTuple):
    """Fetch an endpoint's load report; `HealthCheckEnded` has the result."""

    endpoint: str


class WatchEndpoints(NamedTuple):
    """Call discovery for changes of the endpoint list from now on."""


class LogMessage(NamedTuple):
    """A line for the log."""

    text: str


Action = Forward | Reject | Fail | Migrate | SetTimer | CheckHealth | WatchEndpoints | LogMessage
