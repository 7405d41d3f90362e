"""The table of one proxy's requests and of the endpoints that hold their connections. No decision logic."""

from __future__ import annotations

from gradegap.balancing.model import Endpoint, Request
from gradegap.balancing.priority import PriorityWeights


class RequestTable:
    """All requests that have not ended, and connection counts by endpoint, group and tenant.

    Invariant: an endpoint's `connections_by_group` counts exactly its `connections` and has no zero counts.
    """

    __slots__ = ("priority_weights", "requests")

    def __init__(self, priority_weights: PriorityWeights) -> None:
        self.priority_weights = priority_weights
        self.requests: dict[int, Request] = {}

    def hold(self, endpoint: Endpoint, request: Request) -> None:
        """Adds a request's connection to an endpoint."""
        endpoint.connections[request.id] = request
        self.priority_weights.count_connections(request.tenant, 1)
        groups = endpoint.connections_by_group
        groups[request.hash_key] = groups.get(request.hash_key, 0) + 1

    def release(self, endpoint: Endpoint, request: Request) -> bool:
        """Removes a connection from an endpoint; returns whether the endpoint had it."""
        if endpoint.connections.pop(request.id, None) is None:
            return False
        self.priority_weights.count_connections(request.tenant, -1)
        groups = endpoint.connections_by_group
        groups[request.hash_key] -= 1
        if not groups[request.hash_key]:
            del groups[request.hash_key]
        return True
