"""Endpoint capacity in connections, learned from the load reports of all endpoints. No decision logic."""

from __future__ import annotations

import math
from collections.abc import Sequence
from statistics import median_low
from typing import Protocol

from gradegap.balancing.settings import Settings

UPDATE_INTERVAL_S = 0.25
"""Shortest time in seconds between two updates of the fleet-wide figures, which limits their CPU cost."""

MIN_RELIABLE_CONNECTION_COUNT = 3.0
"""Number of connections that a report must cover to yield a reliable load per connection.

With fewer, the setup cost of a group dominates the reported load.
"""

MIN_DIVISOR = 1e-9
"""Lower bound of a size or a load used as a divisor, since lists and reports may contain 0."""


class ReportingEndpoint(Protocol):
    """The fields of an endpoint that this module reads."""

    size: float
    started_at: float
    load_per_connection: float  # load added by one connection, relative to present capacity; 0: unknown
    last_report: tuple[float | None, float | None]  # load and number of connections; None: not reported


class Capacity:
    """The load that one connection adds to an endpoint of a given size.

    It is the lower median of the values that endpoints report. A mean over few endpoints would follow an
    unresponsive endpoint, which reports many times its load, and an endpoint with few connections, which
    reports too much load for each.
    """

    __slots__ = ("load_per_size", "mean_size", "updated_at", "warming_count")

    def __init__(self) -> None:
        self.updated_at = -math.inf
        self.load_per_size = 0.0  # load per connection of an endpoint of size 1; 0: unknown
        self.mean_size = 0.0  # mean size of the ready endpoints
        self.warming_count = 0  # number of ready endpoints that are warming up

    def update(self, now: float, ready: Sequence[ReportingEndpoint], settings: Settings) -> None:
        """Updates the figures, unless the last update is less than `UPDATE_INTERVAL_S` ago.

        Warm endpoints with at least `MIN_RELIABLE_CONNECTION_COUNT` connections are preferred, then any warm
        endpoints. If none of these reports a load and nothing is known yet, warming endpoints are used too,
        which overestimates the load per connection.
        """
        if now - self.updated_at < UPDATE_INTERVAL_S or not ready:
            return
        self.updated_at = now
        self.mean_size = sum(endpoint.size for endpoint in ready) / len(ready)
        warm = [endpoint for endpoint in ready if not is_warming_up(endpoint, now, settings)]
        self.warming_count = len(ready) - len(warm)
        reliable = [
            endpoint for endpoint in warm if (endpoint.last_report[1] or 0.0) >= MIN_RELIABLE_CONNECTION_COUNT
        ]
        loads = _loads_per_size(reliable) or _loads_per_size(warm)
        if not loads and not self.load_per_size:
            loads = _loads_per_size(ready)
        if loads:
            self.load_per_size = median_low(loads)

    def load_per_connection(self, size: float) -> float:
        """Returns the load that one connection adds to a warm endpoint of this size; 0: unknown."""
        return self.load_per_size / max(size, MIN_DIVISOR)

    def connections_when_full(self) -> float:
        """Returns the number of connections that fill a warm endpoint of mean size; 0: unknown."""
        return self.mean_size / self.load_per_size if self.load_per_size > MIN_DIVISOR else 0.0

    def warming_capacity_share(self, endpoint: ReportingEndpoint, now: float, settings: Settings) -> float:
        """Returns the least capacity of a warming endpoint, relative to a warm endpoint of mean size.

        The capacity follows the slowest ramp that the settings allow, which is linear. An endpoint smaller
        than the mean gets proportionally less; a larger one gets no more, since sizes may be approximate.
        """
        elapsed_share = max(0.0, now - endpoint.started_at) / settings.slow_start_time
        capacity = settings.slow_start_share + (1.0 - settings.slow_start_share) * elapsed_share
        return capacity * min(1.0, endpoint.size / self.mean_size) if self.mean_size > 0.0 else capacity


def _loads_per_size(endpoints: Sequence[ReportingEndpoint]) -> list[float]:
    return [
        endpoint.load_per_connection * endpoint.size
        for endpoint in endpoints
        if endpoint.load_per_connection > 0.0
    ]


def is_warming_up(endpoint: ReportingEndpoint, now: float, settings: Settings) -> bool:
    """Returns whether an endpoint may still be warming up.

    A start in the future, caused by clock skew, counts as a start just now.
    """
    return endpoint.started_at > 0.0 and now - endpoint.started_at < settings.slow_start_time
