"""Transfer of established connections from one process of a node to its successor in a hot restart.

Invariant: a connection belongs to exactly one of the two processes at a time. To the balancer of the
releasing process the connection ends; to the balancer of the adopting process it is an inherited connection.
"""

from __future__ import annotations

from gradegap.balancing.events import AttemptEnded, AttemptResult, ConnectionInherited, EndpointPhase
from gradegap.proxy.context import ProxyContext
from gradegap.proxy.endpoints import Endpoints
from gradegap.proxy.request import (
    Attempt,
    ConnectionRequest,
    Request,
    RequestHandlers,
    RequestState,
    SessionPort,
)
from gradegap.proxy.requests import RequestTable


class Adoption:
    """Adopts established connections of another process, and releases this process's own to another."""

    def __init__(self, context: ProxyContext, endpoints: Endpoints, requests: RequestTable) -> None:
        self.context = context
        self.endpoints = endpoints
        self.requests = requests

    def adopt(
        self,
        handlers: RequestHandlers,
        session: SessionPort,
        connection_request: ConnectionRequest,
        endpoint_name: str,
        last_response_at: float,
        unanswered_since: float | None,
    ) -> Request | None:
        """Create the request of a connection that another process established.

        Returns None if the endpoint is unknown or removed, or if the connection id belongs to an open
        request.
        """
        endpoint = self.endpoints.by_id.get(endpoint_name)
        if (
            endpoint is None
            or endpoint.phase is EndpointPhase.REMOVED
            or self.requests.is_open(connection_request)
        ):
            return None
        now = self.context.now()
        request = Request(
            handlers, self.requests.next_id, connection_request, session, now, state=RequestState.ESTABLISHED
        )
        request.last_response_at = min(last_response_at, now)
        request.unanswered_since = unanswered_since
        request.attempt = Attempt(request, endpoint, 0, now, 0.0)
        self.requests.enter(request)
        self.context.metrics.count("adopted")
        self.context.feed(ConnectionInherited(request.arrival(), endpoint.id))
        return request

    def release(self, request: Request) -> None:
        """Release an established connection to another process."""
        attempt = request.attempt
        if attempt is None:
            return
        attempt.active = False
        request.attempt = None
        request.transition(RequestState.ENDED)
        self.requests.drop(request)
        elapsed = self.context.now() - attempt.started_at
        self.context.feed(
            AttemptEnded(
                request.id, attempt.number, attempt.endpoint.id, AttemptResult.CANCELLED, elapsed, True
            )
        )
