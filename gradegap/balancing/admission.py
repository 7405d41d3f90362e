"""Admission control: whether an endpoint has headroom for a request, given what other proxies may send."""

from __future__ import annotations

from gradegap.balancing.connection_growth import REPORT_DELAY_S, ConnectionGrowth
from gradegap.balancing.context import Context
from gradegap.balancing.grouping import GROUP_SETUP_CONNECTIONS, is_home
from gradegap.balancing.load_estimates import LoadEstimates, recent_placements
from gradegap.balancing.model import Endpoint, Request
from gradegap.balancing.outcome_rates import OutcomeRates
from gradegap.balancing.report_statistics import ReportStatistics

ADMISSION_LOAD_LIMIT = 0.90
"""Load, relative to capacity, up to which all proxies together may fill an endpoint."""

LOW_PRIORITY_RESERVE = 0.15
"""Load, relative to capacity, that a request of priority 0 must leave unused below the admission limit.

The reserve shrinks linearly to 0 for a request of priority 1.
"""


class Admission:
    """Admits requests so that all proxies together do not exceed an endpoint's headroom."""

    __slots__ = ("context", "growth", "load_estimates", "rates", "statistics")

    def __init__(
        self,
        context: Context,
        load_estimates: LoadEstimates,
        statistics: ReportStatistics,
        growth: ConnectionGrowth,
        rates: OutcomeRates,
    ) -> None:
        self.context = context
        self.load_estimates = load_estimates
        self.statistics = statistics
        self.growth = growth
        self.rates = rates

    def has_headroom(self, endpoint: Endpoint, request: Request) -> bool:
        """Returns whether a request may be sent to an endpoint.

        All proxies see the same headroom at the same time. Each one admits a request with a probability
        at which all of them together are expected to fill the headroom but not to exceed it.
        """
        context, estimates = self.context, self.load_estimates
        now = context.now
        age = now - max(endpoint.report_changed_at, endpoint.estimated_at)
        load = estimates.load(endpoint)
        per_connection = 0.0 if load is None else estimates.load_per_connection(endpoint)
        # A report that has not changed for longer than any report delay says nothing about headroom.
        is_frozen = endpoint.last_report_at - endpoint.report_changed_at > 2 * REPORT_DELAY_S
        if load is None or per_connection <= 0 or is_frozen:
            return True
        # An estimate from the endpoint list that is newer than the report already includes the connections
        # of this proxy, so it needs no correction for their growth.
        load *= 1.0 if endpoint.estimated_at > endpoint.report_changed_at else self.growth.factor()
        load += per_connection * recent_placements(endpoint, now)
        # The lowest priority is rejected first. A group's first connection on an endpoint needs headroom for
        # several connections.
        limit = ADMISSION_LOAD_LIMIT - LOW_PRIORITY_RESERVE * (1.0 - request.priority)
        headroom = (limit - load) / per_connection
        if request.hash_key and not is_home(endpoint, request):
            headroom -= GROUP_SETUP_CONNECTIONS
        if headroom <= 0:
            return False
        interval = self.statistics.interval()
        # At most two report intervals: over a longer time, connections that end compensate for new ones.
        lag = interval + min(age, interval)
        sent_by_all = 2.0 * self.rates.sent.rate(now) * context.settings.proxy_count * lag
        competing = sent_by_all / max(1, len(estimates.ready))  # attempts at this endpoint during `lag`
        return competing <= headroom or context.random() * competing < headroom
