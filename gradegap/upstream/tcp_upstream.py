"""The implementation of the proxy's `UpstreamPort` over TCP."""

from __future__ import annotations

import asyncio

from gradegap.balancing.events import AttemptResult
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.ports import HealthCheckDone
from gradegap.proxy.request import Attempt
from gradegap.transport.descriptors import DescriptorBudget
from gradegap.transport.dialer import Dialer
from gradegap.upstream.connection import UpstreamConnection
from gradegap.upstream.health_checks import HealthCheckConnection
from gradegap.upstream.interfaces import DownstreamSession


class TcpUpstream:
    """Connects to endpoints, for attempts and for health checks."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connect_timeout: float, descriptors: DescriptorBudget
    ) -> None:
        self.loop = loop
        self.dialer = Dialer(loop, descriptors)
        self.connect_timeout = connect_timeout
        """Time limit for a TCP connect, in s."""
        self.health_checks: dict[str, HealthCheckConnection] = {}
        """The connection for health checks of each endpoint, by endpoint id."""

    def connect(
        self, session: DownstreamSession, endpoint: Endpoint, timeout: float, attempt: Attempt
    ) -> UpstreamConnection:
        """Start the connection of an attempt, which may take `timeout` s."""
        connection = UpstreamConnection(session, attempt)
        connect_timeout = min(timeout, self.connect_timeout)
        connection.stop_dial = self.dialer.dial(
            endpoint.address, connect_timeout, connection, connection.connect_failed
        )
        return connection

    def check_health(self, endpoint: Endpoint, timeout: float, done: HealthCheckDone) -> None:
        """Request a load report within `timeout` s.

        Each endpoint has one connection for health checks, which is kept open. While a check is in progress,
        another one for the same endpoint ends at once with the result FULL.
        """
        connection = self.health_checks.get(endpoint.id)
        if connection is not None and connection.pending is not None:
            self.loop.call_soon(done, AttemptResult.FULL, None)
            return
        if connection is not None:
            connection.check(timeout, done)
            return
        connection = HealthCheckConnection(self.loop, lambda closed: self._forget(endpoint.id, closed))
        self.health_checks[endpoint.id] = connection
        connection.check(timeout, done)
        connect_timeout = min(timeout, self.connect_timeout)
        connection.stop_dial = self.dialer.dial(
            endpoint.address, connect_timeout, connection, connection.connect_failed
        )

    def _forget(self, endpoint_id: str, connection: HealthCheckConnection) -> None:
        if self.health_checks.get(endpoint_id) is connection:
            del self.health_checks[endpoint_id]

    def close_health_check(self, endpoint: Endpoint) -> None:
        """Close the connection for the health checks of an endpoint."""
        connection = self.health_checks.get(endpoint.id)
        if connection is not None:
            connection.cancel()

    def close_health_checks(self) -> None:
        """Close the health check connections of all endpoints."""
        for connection in list(self.health_checks.values()):
            connection.close()
