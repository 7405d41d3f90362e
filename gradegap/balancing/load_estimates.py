"""Estimates of the current load of endpoints, from all that this proxy knows. No decision logic."""

from __future__ import annotations

import math

from gradegap.balancing.capacity import MIN_RELIABLE_CONNECTION_COUNT, UPDATE_INTERVAL_S, Capacity
from gradegap.balancing.context import Context
from gradegap.balancing.grouping import GROUP_SETUP_CONNECTIONS, is_home
from gradegap.balancing.model import Endpoint, Request

RECENT_PLACEMENT_MEMORY_S = 1.0
"""Time constant in seconds of the decay of this proxy's recent placements.

After about this time, load reports reflect a placement, and it need not be counted separately.
"""


def recent_placements(endpoint: Endpoint, now: float) -> float:
    """Returns the decayed count of attempts that this proxy recently sent to an endpoint."""
    return endpoint.recent_placements * math.exp(
        (endpoint.recent_placements_at - now) / RECENT_PLACEMENT_MEMORY_S
    )


class LoadEstimates:
    """Loads relative to capacity, from reports, live weights, and placements not reflected in reports yet."""

    __slots__ = ("capacity", "context", "ready")

    def __init__(self, context: Context, ready: list[Endpoint], capacity: Capacity) -> None:
        self.context = context
        self.ready = ready
        self.capacity = capacity

    def load(self, endpoint: Endpoint) -> float | None:
        """Returns the last reported load, corrected for connections opened and closed since.

        The correction uses the connection count that was inferred from a newer live weight, if there is one.
        The result is None if neither a report nor a live weight is available.
        """
        if endpoint.estimated_at <= endpoint.report_changed_at:
            return endpoint.load
        per_connection = self.load_per_connection(endpoint)
        if per_connection <= 0:
            return endpoint.load
        if endpoint.load is None:
            return endpoint.estimated_connections * per_connection
        count = endpoint.last_report[1]
        if count is None:
            return endpoint.load
        return max(0.0, endpoint.load + per_connection * (endpoint.estimated_connections - count))

    def comparable_load(self, endpoint: Endpoint, request: Request) -> float | None:
        """Returns the load by which candidates for a request are compared; None if it is unknown.

        It includes this proxy's recent placements, the setup cost of the request's group plus one following
        connection if the group is new on the endpoint, and the cost of crossing zones.
        """
        load = self.load(endpoint)
        if load is None:
            return None
        added = recent_placements(endpoint, self.context.now)
        if request.hash_key and not is_home(endpoint, request):
            added += GROUP_SETUP_CONNECTIONS + 1.0
        load += self.load_per_connection(endpoint) * added
        return load if endpoint.is_local else load + self.context.cross_zone_load

    def load_per_connection(self, endpoint: Endpoint) -> float:
        """Returns the load that one connection adds to an endpoint; 0 if it is unknown.

        An endpoint with few connections does not report it reliably. The value for endpoints of its size is
        used then; without that value, all proxies together would overfill an empty endpoint at once.
        """
        context, capacity = self.context, self.capacity
        # `update` has the same check; it is repeated here to save most calls.
        if context.now - capacity.updated_at >= UPDATE_INTERVAL_S:
            capacity.update(context.now, self.ready, context.settings)
        if endpoint.load_per_connection and (endpoint.last_report[1] or 0) >= MIN_RELIABLE_CONNECTION_COUNT:
            return endpoint.load_per_connection
        return capacity.load_per_connection(endpoint.size) or endpoint.load_per_connection
