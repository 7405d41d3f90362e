"""Where the connections of one group meet. Connections of a group share work on an endpoint.

A group's requests are selected from the endpoints at which this proxy holds the group already, then from the
first endpoints of the group's walk on the consistent hash ring (Karger et al., STOC 1997), which all proxies
compute alike, so that the connections of a group meet without any talk between proxies.
"""

from __future__ import annotations

from gradegap.balancing import hash_ring
from gradegap.balancing.capacity import Capacity, is_warming_up
from gradegap.balancing.context import Context
from gradegap.balancing.endpoint_registry import EndpointRegistry
from gradegap.balancing.events import RequestArrived
from gradegap.balancing.model import Endpoint, Request

RING_CANDIDATE_COUNT = 8
"""Endpoints of the hash ring that a group's request draws from before it draws from all that are ready."""

GROUP_SETUP_CONNECTIONS = 8.0
"""What a group costs an endpoint that it is new to, in connections: its setup, and what follows it there."""


def hash_key(event: RequestArrived, context: Context) -> str:
    """Returns the key by which a request is placed on the hash ring; empty: it is not."""
    if not context.uses_hash_ring:
        return ""
    return event.group or (event.key if context.settings.passthrough else "")


def is_home(endpoint: Endpoint, request: Request) -> bool:
    """Returns whether the request's group is taken to be at an endpoint already.

    That is where this proxy holds it, or where its ring begins, as do the rings of all proxies. What each
    holds alone says too little where many proxies hold few connections each.
    """
    return (
        not request.hash_key
        or request.hash_key in endpoint.connections_by_group
        or endpoint in (request.ring_candidates or ())[:1]
    )


class Grouping:
    """The order in which endpoints are offered to a group's requests."""

    __slots__ = ("capacity", "context", "registry")

    def __init__(self, context: Context, registry: EndpointRegistry, capacity: Capacity) -> None:
        self.context = context
        self.registry = registry
        self.capacity = capacity

    def next_candidate(self, request: Request) -> Endpoint | None:
        """Returns the next endpoint of the request's ring; None: any ready one.

        A large group that began at a warming endpoint would overrun it, so as long as no reports say what
        endpoints bear, a draw that comes upon a warming one is taken as it is, and the ring offers none.
        """
        context = self.context
        ready = self.registry.ready
        capacity_known = self.capacity.load_per_size > 0
        drawn = ready[int(context.random() * len(ready))]
        if not capacity_known and is_warming_up(drawn, context.now, context.settings):
            return drawn
        if request.ring_candidates is None:
            request.ring_candidates = self._candidates(request.hash_key)
        candidates = request.ring_candidates
        for position in range(request.next_ring_candidate, len(candidates)):
            request.next_ring_candidate = position + 1
            endpoint = candidates[position]
            if endpoint.ready_index >= 0 and (
                capacity_known or not is_warming_up(endpoint, context.now, context.settings)
            ):
                return endpoint
        return None

    def size(self, key: str) -> int:
        """Returns how many connections this proxy holds of a group, at all ready endpoints."""
        return sum(endpoint.connections_by_group.get(key, 0) for endpoint in self.registry.ready)

    def _candidates(self, key: str) -> list[Endpoint]:
        """Returns the endpoints that hold the group, the fullest of it first, then those of its ring."""
        registry = self.registry
        homes = [endpoint for endpoint in registry.ready if key in endpoint.connections_by_group]
        homes.sort(key=lambda endpoint: -endpoint.connections_by_group[key])
        near = [
            registry.endpoints[name]
            for name in hash_ring.order(registry.hash_ring, key, RING_CANDIDATE_COUNT)
        ]
        return homes + [endpoint for endpoint in near if endpoint not in homes]
