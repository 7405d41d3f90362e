"""Parses load reports into the state of the endpoint that sent them. No decision logic."""

from __future__ import annotations

import math
from collections.abc import Mapping

from gradegap.balancing import connection_estimates
from gradegap.balancing.capacity import MIN_RELIABLE_CONNECTION_COUNT
from gradegap.balancing.context import Context
from gradegap.balancing.model import Endpoint
from gradegap.balancing.report_statistics import ReportStatistics
from gradegap.balancing.settings import WeightMeaning

HUNG_LOAD = 3.0
"""Load, relative to capacity, at which an endpoint counts as hung.

Its reported load then no longer depends on its number of connections.
"""

LOAD_PER_CONNECTION_GAIN = 0.3
"""Weight of one report in the moving average of an endpoint's `load_per_connection`."""


class LoadReports:
    """Applies load reports to the state of their endpoints and to the report statistics."""

    __slots__ = ("context", "statistics")

    def __init__(self, context: Context, statistics: ReportStatistics) -> None:
        self.context = context
        self.statistics = statistics

    def read(self, endpoint: Endpoint, report: Mapping[str, float]) -> None:
        """Applies one report.

        A report whose compared field is missing, negative or not finite is ignored.
        """
        now = self.context.now
        value = report.get(self.context.load_field)
        count = report.get("inflight")
        if value is None or not 0.0 <= value < math.inf:
            return
        gap = now - endpoint.last_report_at
        is_repeated = (value, count) == endpoint.last_report and value > 0
        self.statistics.observe(gap, is_repeated)
        endpoint.last_report_at = now
        if is_repeated:
            return  # the endpoint repeated its last report, so the load is older than this health check
        self.statistics.observe_change(gap, endpoint.last_report, (value, count))
        endpoint.last_report = (value, count)
        endpoint.report_changed_at = now
        if self.context.settings.weight_meaning is WeightMeaning.LIVE:
            endpoint.cores = connection_estimates.cores(endpoint.cores, endpoint.size, endpoint.weight, count)
        if self.context.load_field == "inflight":
            value /= max(endpoint.weight, 1e-9)
        else:
            _learn_load_per_connection(endpoint, value, count)
        queued = report.get("x1", 0.0)
        endpoint.load = value + (queued if 0.0 < queued < math.inf else 0.0)


def _learn_load_per_connection(endpoint: Endpoint, load: float, count: float | None) -> None:
    """Updates the moving average of the load per connection from one report.

    A small gain keeps a few slow endpoints from making all others look too full to accept connections.
    """
    min_count = MIN_RELIABLE_CONNECTION_COUNT if endpoint.load_per_connection else 1.0
    if count is None or load >= HUNG_LOAD or count < min_count:
        return
    sample = min(1.0, load / count)
    if endpoint.load_per_connection:
        endpoint.load_per_connection += LOAD_PER_CONNECTION_GAIN * (sample - endpoint.load_per_connection)
    else:
        endpoint.load_per_connection = sample
