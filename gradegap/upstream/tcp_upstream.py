"""The proxy's upstream port over TCP."""

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
    """Dials endpoints, for attempts and for health checks."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connect_timeout: float, descriptors: DescriptorBudget
    ) -> None:
        self.loop = loop
        self.dialer = Dialer(loop, descriptors)
        self.connect_timeout = connect_timeout
        """Seconds that a TCP connection may take."""
        self.health_checks: dict[str, HealthCheckConnection] = {}
        """By endpoint, the connection for its health checks."""

    def connect(
        self, session: DownstreamSession, endpoint: Endpoint, timeout: float, attempt: Attempt
    ) -> UpstreamConnection:
        """Start an attempt; the endpoint has `timeout` seconds for its answer."""
        connection = UpstreamConnection(session, attempt)
        connect_timeout = min(timeout, self.connect_timeout)
        connection.stop_dial = self.dialer.dial(
            endpoint.address, connect_timeout, connection, connection.connect_failed
        )
        return connection

    def check_health(self, endpoint: Endpoint, timeout: float, done: HealthCheckDone) -> None:
        """Ask for a load report, by the connection that is kept; one at a time for each endpoint."""
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
        """Close the connection for an endpoint's health checks."""
        connection = self.health_checks.get(endpoint.id)
        if connection is not None:
            connection.cancel()

    def close_health_checks(self) -> None:
        """Close the connections for all health checks."""
        for connection in list(self.health_checks.values()):
            connection.close()
