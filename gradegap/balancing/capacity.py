"""How many connections fill an endpoint, learned from the load reports of all. It decides nothing."""

from __future__ import annotations

import math
from collections.abc import Sequence
from statistics import median_low
from typing import Protocol

from gradegap.balancing.settings import Settings

UPDATE_INTERVAL_S = 0.25
"""Seconds between two updates from what is known of the endpoints."""

CERTAIN_CONNECTIONS = 3.0
"""Connections from which a report says what one adds: the cost of a group hides it in fewer."""

SMALLEST = 1e-9
"""Floor of a size or a load, which lists and reports may give as 0."""


class ReportingEndpoint(Protocol):
    """What is read of an endpoint here."""

    size: float
    started_at: float
    load_per_connection: float  # what one connection adds to its load over its present capacity; 0: not known
    last_report: tuple[float | None, float | None]  # its last report: load, connections


class Capacity:
    """What one connection adds to the load of an endpoint, as far as it follows from the endpoints' sizes.

    The lower median of what endpoints report is taken. One that hangs reports many times its load, which the
    mean of few endpoints would follow, and one that holds few connections reports too much for each.
    """

    __slots__ = ("load_per_size", "mean_size", "updated_at", "warming_count")

    def __init__(self) -> None:
        self.updated_at = -math.inf
        self.load_per_size = 0.0  # what a connection adds to the load of an endpoint of size 1; 0: not known
        self.mean_size = 0.0  # of the ready endpoints
        self.warming_count = 0  # how many of them are warming up

    def update(self, now: float, ready: Sequence[ReportingEndpoint], settings: Settings) -> None:
        """Brings the capacity up to date, unless that was done within `UPDATE_INTERVAL_S`.

        Endpoints that hold a few connections are certain, then any that are warm. Where those say nothing,
        the others do: what a connection adds is overestimated then.
        """
        if now - self.updated_at < UPDATE_INTERVAL_S or not ready:
            return
        self.updated_at = now
        self.mean_size = sum(endpoint.size for endpoint in ready) / len(ready)
        warm = [endpoint for endpoint in ready if not is_warming_up(endpoint, now, settings)]
        self.warming_count = len(ready) - len(warm)
        certain = [endpoint for endpoint in warm if (endpoint.last_report[1] or 0.0) >= CERTAIN_CONNECTIONS]
        loads = _loads_per_size(certain) or _loads_per_size(warm)
        if not loads and not self.load_per_size:
            loads = _loads_per_size(ready)
        if loads:
            self.load_per_size = median_low(loads)

    def load_per_connection(self, size: float) -> float:
        """Returns what one connection adds to the load of a warm endpoint of this size; 0: not known."""
        return self.load_per_size / max(size, SMALLEST)

    def connections_when_full(self) -> float:
        """Returns how many connections fill a warm endpoint of the mean size; 0: not known."""
        return self.mean_size / self.load_per_size if self.load_per_size > SMALLEST else 0.0

    def present_share(self, endpoint: ReportingEndpoint, now: float, settings: Settings) -> float:
        """Returns what a warming endpoint certainly bears now, of an even share.

        That is its capacity by the slowest ramp that settings allow, and less where it is smaller than the
        others. A larger one gets no more for it: sizes may be rough.
        """
        grown = max(0.0, now - endpoint.started_at) / settings.slow_start_time
        capacity = settings.slow_start_share + (1.0 - settings.slow_start_share) * grown
        return capacity * min(1.0, endpoint.size / self.mean_size) if self.mean_size > 0.0 else capacity


def _loads_per_size(endpoints: Sequence[ReportingEndpoint]) -> list[float]:
    return [
        endpoint.load_per_connection * endpoint.size
        for endpoint in endpoints
        if endpoint.load_per_connection > 0.0
    ]


def is_warming_up(endpoint: ReportingEndpoint, now: float, settings: Settings) -> bool:
    """Returns whether an endpoint may still be warming up; a start ahead of our clock counts as just now."""
    return endpoint.started_at > 0.0 and now - endpoint.started_at < settings.slow_start_time
