"""The network towards endpoints, as the proxy sees it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from gradegap.balancing.events import AttemptResult
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.request import Attempt, ConnectPort

HealthCheckDone = Callable[[AttemptResult, Mapping[str, float] | None], None]


class UpstreamPort(Protocol):
    """Connects to endpoints."""

    def connect(self, session: Any, endpoint: Endpoint, timeout: float, attempt: Attempt) -> ConnectPort:
        """Begin an attempt that may take `timeout` s; what comes of it is reported to `attempt`.

        `session` is the request's session port, in the form that the network gave it.
        """

    def check_health(self, endpoint: Endpoint, timeout: float, done: HealthCheckDone) -> None:
        """Ask for a load report; `done` is called once, not before this returns."""

    def close_health_check(self, endpoint: Endpoint) -> None:
        """Close the connection that carries health checks: the process that it reached is no longer there."""
