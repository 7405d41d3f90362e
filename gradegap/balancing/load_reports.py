"""What load reports say of the endpoint that sent them. It decides nothing."""

from __future__ import annotations

import math
from collections.abc import Mapping

from gradegap.balancing import connection_estimates
from gradegap.balancing.capacity import CERTAIN_CONNECTIONS
from gradegap.balancing.context import Context
from gradegap.balancing.model import Endpoint
from gradegap.balancing.report_statistics import ReportStatistics
from gradegap.balancing.settings import WeightMeaning

HUNG_LOAD = 3.0
"""Load over capacity from which an endpoint hangs, so that its load says nothing of its connections."""

LOAD_PER_CONNECTION_GAIN = 0.3
"""Weight of one report in an endpoint's `load_per_connection`."""


class LoadReports:
    """Takes the reports of all endpoints over into what is known of each."""

    __slots__ = ("context", "statistics")

    def __init__(self, context: Context, statistics: ReportStatistics) -> None:
        self.context = context
        self.statistics = statistics

    def read(self, endpoint: Endpoint, report: Mapping[str, float]) -> None:
        """Takes over one report.

        One whose compared field is missing, negative or no number is ignored.
        """
        now = self.context.now
        value = report.get(self.context.load_field)
        count = report.get("inflight")
        if value is None or not 0.0 <= value < math.inf:
            return
        gap = now - endpoint.last_report_at
        repeated = (value, count) == endpoint.last_report and value > 0
        self.statistics.observe(gap, repeated)
        endpoint.last_report_at = now
        if repeated:
            return  # the same report again: its load is older than the health check
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
    """Follows the load of a connection slowly.

    A few slow endpoints would otherwise make all the others look too full to take any.
    """
    least = CERTAIN_CONNECTIONS if endpoint.load_per_connection else 1.0
    if count is None or load >= HUNG_LOAD or count < least:
        return
    seen = min(1.0, load / count)
    if endpoint.load_per_connection:
        endpoint.load_per_connection += LOAD_PER_CONNECTION_GAIN * (seen - endpoint.load_per_connection)
    else:
        endpoint.load_per_connection = seen
