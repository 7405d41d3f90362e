"""The requests of one proxy, and which endpoint holds which established connection. It decides nothing."""

from __future__ import annotations

from gradegap.balancing.model import Endpoint, Request
from gradegap.balancing.priority import PriorityWeights


class RequestTable:
    """All requests that are not ended, and the counts of connections by endpoint, group and tenant.

    Invariant: an endpoint's `connections_by_group` counts exactly its `connections`, without zeros.
    """

    __slots__ = ("priority_weights", "requests")

    def __init__(self, priority_weights: PriorityWeights) -> None:
        self.priority_weights = priority_weights
        self.requests: dict[int, Request] = {}

    def hold(self, endpoint: Endpoint, request: Request) -> None:
        """Records a request's connection at an endpoint."""
        endpoint.connections[request.id] = request
        self.priority_weights.count_connections(request.tenant, 1)
        groups = endpoint.connections_by_group
        groups[request.hash_key] = groups.get(request.hash_key, 0) + 1

    def release(self, endpoint: Endpoint, request: Request) -> bool:
        """Drops a connection; returns whether the endpoint held it."""
        if endpoint.connections.pop(request.id, None) is None:
            return False
        self.priority_weights.count_connections(request.tenant, -1)
        groups = endpoint.connections_by_group
        groups[request.hash_key] -= 1
        if not groups[request.hash_key]:
            del groups[request.hash_key]
        return True
