"""Affinity of groups: connections of one group share work when they are on the same endpoint.

Candidates for a group's request are first the endpoints on which this proxy already has connections of the
group, then the first endpoints after the group's key on the consistent hash ring (Karger et al., STOC 1997).
All proxies compute the same ring, so that they choose the same endpoints for a group without coordination.
"""

from __future__ import annotations

from gradegap.balancing import hash_ring
from gradegap.balancing.capacity import Capacity, is_warming_up
from gradegap.balancing.context import Context
from gradegap.balancing.endpoint_registry import EndpointRegistry
from gradegap.balancing.events import RequestArrived
from gradegap.balancing.model import Endpoint, Request

RING_CANDIDATE_COUNT = 8
"""Number of endpoints after a group's key on the ring that are tried before a draw from all ready ones."""

GROUP_SETUP_CONNECTIONS = 8.0
"""Cost of a group on an endpoint that does not have it yet, as a number of connections.

It covers the group's setup and the connections of the group that will follow to the same endpoint.
"""


def hash_key(event: RequestArrived, context: Context) -> str:
    """Returns the key of a request on the hash ring; empty if the request does not use the ring."""
    if not context.uses_hash_ring:
        return ""
    return event.group or (event.key if context.settings.passthrough else "")


def is_home(endpoint: Endpoint, request: Request) -> bool:
    """Returns whether the request's group is assumed to be on the endpoint already.

    This is the case if this proxy has a connection of the group there, or if the endpoint is the group's
    first candidate, which by the hash ring is the same for all proxies. The proxy's own connections do
    not tell this reliably if many proxies have few connections each. True for a request without a hash key.
    """
    return (
        not request.hash_key
        or request.hash_key in endpoint.connections_by_group
        or endpoint in (request.ring_candidates or ())[:1]
    )


class Grouping:
    """Computes the order in which endpoints are offered to a group's requests."""

    __slots__ = ("capacity", "context", "registry")

    def __init__(self, context: Context, registry: EndpointRegistry, capacity: Capacity) -> None:
        self.context = context
        self.registry = registry
        self.capacity = capacity

    def next_candidate(self, request: Request) -> Endpoint | None:
        """Returns the next candidate of the request; None: draw from all ready endpoints.

        A large group that starts on a warming endpoint would overload it. While the capacity is unknown
        for lack of reports, the ring therefore offers no warming endpoint, and a uniform draw that hits a
        warming endpoint is returned as it is.
        """
        context = self.context
        ready = self.registry.ready
        is_capacity_known = self.capacity.load_per_size > 0
        drawn = ready[int(context.random() * len(ready))]
        if not is_capacity_known and is_warming_up(drawn, context.now, context.settings):
            return drawn
        if request.ring_candidates is None:
            request.ring_candidates = self._candidates(request.hash_key)
        candidates = request.ring_candidates
        for position in range(request.next_ring_candidate, len(candidates)):
            request.next_ring_candidate = position + 1
            endpoint = candidates[position]
            if endpoint.ready_index >= 0 and (
                is_capacity_known or not is_warming_up(endpoint, context.now, context.settings)
            ):
                return endpoint
        return None

    def size(self, key: str) -> int:
        """Returns the number of this proxy's connections of a group over all ready endpoints."""
        return sum(endpoint.connections_by_group.get(key, 0) for endpoint in self.registry.ready)

    def _candidates(self, key: str) -> list[Endpoint]:
        """Returns the endpoints that have the group, most connections first, then the next on the ring."""
        registry = self.registry
        with_group = [endpoint for endpoint in registry.ready if key in endpoint.connections_by_group]
        with_group.sort(key=lambda endpoint: -endpoint.connections_by_group[key])
        on_ring = [
            registry.endpoints[name]
            for name in hash_ring.order(registry.hash_ring, key, RING_CANDIDATE_COUNT)
        ]
        return with_group + [endpoint for endpoint in on_ring if endpoint not in with_group]
