"""Inherited connections: connections that predate the run and are re-established to the same endpoint.

The client names the endpoint, so the balancer makes no decision. Invariant: the balancer learns of an
inherited connection only once it is established.
"""

from __future__ import annotations

from gradegap.balancing.events import NEVER_RAN, AttemptResult
from gradegap.proxy.attempts import Attempts
from gradegap.proxy.context import ProxyContext
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.endpoints import Endpoints
from gradegap.proxy.request import Attempt, Request
from gradegap.proxy.requests import RequestTable

INHERIT_RETRY_PAUSE_S = 0.15
"""Pause after an attempt that failed to re-establish an inherited connection, before the next one."""


class InheritedConnections:
    """Re-establishes inherited connections, with retries until the request's deadline."""

    def __init__(
        self, context: ProxyContext, endpoints: Endpoints, requests: RequestTable, attempts: Attempts
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.requests = requests
        self.attempts = attempts

    def connect(self, request: Request) -> None:
        """Connect to the endpoint of the inherited connection, or fail the request if that is impossible."""
        endpoint = self.endpoints.by_id.get(request.connection_request.inherited_from)
        if not request.pending or request.id not in self.requests.by_id:
            return
        timeout = self.attempts.time_limit(request)
        if endpoint is None or not self._is_reachable(endpoint) or timeout <= 0:
            self._fail(request)
            return
        request.attempt = Attempt(request, endpoint, 0, self.context.now(), timeout)
        self.attempts.connect(request.attempt)

    def on_attempt_ended(self, request: Request, result: AttemptResult) -> None:
        """Handle a failed attempt: retry if it had no effect and there is time, else fail the request."""
        if not request.pending:
            self.requests.drop(request)
        elif result in NEVER_RAN and request.deadline - self.context.now() > 2 * INHERIT_RETRY_PAUSE_S:
            self.context.loop.call_later(INHERIT_RETRY_PAUSE_S, self.connect, request)
        else:
            self._fail(request)

    def _is_reachable(self, endpoint: Endpoint) -> bool:
        return endpoint.address != "" and self.endpoints.within_drain_grace(endpoint)

    def _fail(self, request: Request) -> None:
        self.requests.fail(request)
        self.requests.drop(request)
