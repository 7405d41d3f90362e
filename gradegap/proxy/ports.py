"""The interface of the network code that connects to endpoints."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from gradegap.balancing.events import AttemptResult
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.request import Attempt, ConnectPort

HealthCheckDone = Callable[[AttemptResult, Mapping[str, float] | None], None]


class UpstreamPort(Protocol):
    """Connects to endpoints, for attempts and for health checks."""

    def connect(self, session: Any, endpoint: Endpoint, timeout: float, attempt: Attempt) -> ConnectPort:
        """Start the connection of an attempt, which reports its events to `attempt`.

        `session` is the request's session port, of the type that the network code uses. `timeout` is the time
        in s that the attempt may take.
        """

    def check_health(self, endpoint: Endpoint, timeout: float, done: HealthCheckDone) -> None:
        """Request a load report within `timeout` s; `done` is called once, after this method has returned."""

    def close_health_check(self, endpoint: Endpoint) -> None:
        """Close the connection for health checks, because the process that it reached no longer runs."""
