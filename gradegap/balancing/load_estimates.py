"""What an endpoint's load is now, as far as this proxy can know. It decides nothing."""

from __future__ import annotations

import math

from gradegap.balancing.capacity import CERTAIN_CONNECTIONS, UPDATE_INTERVAL_S, Capacity
from gradegap.balancing.context import Context
from gradegap.balancing.grouping import GROUP_SETUP_CONNECTIONS, is_home
from gradegap.balancing.model import Endpoint, Request

RECENT_PLACEMENT_MEMORY_S = 1.0
"""Time constant, in seconds, with which our own placements fade: until then reports may not show them."""


def recent_placements(endpoint: Endpoint, now: float) -> float:
    """Returns how many attempts this proxy sent to an endpoint of late."""
    return endpoint.recent_placements * math.exp(
        (endpoint.recent_placements_at - now) / RECENT_PLACEMENT_MEMORY_S
    )


class LoadEstimates:
    """Loads over capacity, from reports, live weights, and what reports can't show yet."""

    __slots__ = ("capacity", "context", "ready")

    def __init__(self, context: Context, ready: list[Endpoint], capacity: Capacity) -> None:
        self.context = context
        self.ready = ready
        self.capacity = capacity

    def load(self, endpoint: Endpoint) -> float | None:
        """Returns the last reported load, brought up to date by what the endpoint list said since.

        That is by the connections that came and went; None where neither says anything.
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
        """Returns the load by which candidates are compared; None where it is unknown.

        It has our own recent placements, what the request's group would add where it is new (with one
        connection to follow), and the cost of crossing zones.
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
        """Returns what one connection adds to an endpoint's load; 0 where nothing is known.

        The reports of an empty endpoint can't say it, and every proxy would fill it at once: what others of
        its size report is taken then.
        """
        context, capacity = self.context, self.capacity
        if context.now - capacity.updated_at >= UPDATE_INTERVAL_S:  # checked here: most calls come sooner
            capacity.update(context.now, self.ready, context.settings)
        if endpoint.load_per_connection and (endpoint.last_report[1] or 0) >= CERTAIN_CONNECTIONS:
            return endpoint.load_per_connection
        return capacity.load_per_connection(endpoint.size) or endpoint.load_per_connection
