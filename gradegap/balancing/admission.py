"""Whether an endpoint has headroom for one more request, with all that other proxies may be about to send."""

from __future__ import annotations

from gradegap.balancing.connection_growth import REPORT_DELAY_S, ConnectionGrowth
from gradegap.balancing.context import Context
from gradegap.balancing.grouping import GROUP_SETUP_CONNECTIONS, is_home
from gradegap.balancing.load_estimates import LoadEstimates, recent_placements
from gradegap.balancing.model import Endpoint, Request
from gradegap.balancing.outcome_rates import OutcomeRates
from gradegap.balancing.report_statistics import ReportStatistics

ADMISSION_LOAD_LIMIT = 0.90
"""Load over capacity up to which all proxies together may fill an endpoint."""

LOW_PRIORITY_RESERVE = 0.15
"""Load over capacity that is kept from a request of priority 0, less of it from higher ones."""


class Admission:
    """Admits requests so that all proxies together fill an endpoint's headroom and not more."""

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

        Every proxy sees the same little headroom at once. Each takes it with the chance that makes them,
        together, fill it and not more.
        """
        context, estimates = self.context, self.load_estimates
        now = context.now
        age = now - max(endpoint.report_changed_at, endpoint.estimated_at)
        load = estimates.load(endpoint)
        per_connection = 0.0 if load is None else estimates.load_per_connection(endpoint)
        # A frozen report, older than any delay, says nothing of headroom: trust the draw.
        frozen = endpoint.last_report_at - endpoint.report_changed_at > 2 * REPORT_DELAY_S
        if load is None or per_connection <= 0 or frozen:
            return True
        # What the endpoint list said since the report has our own connections in it, and needs no guess.
        load *= 1.0 if endpoint.estimated_at > endpoint.report_changed_at else self.growth.factor()
        load += per_connection * recent_placements(endpoint, now)
        # The lowest priority is rejected first, and a group's first connection takes the headroom of several.
        limit = ADMISSION_LOAD_LIMIT - LOW_PRIORITY_RESERVE * (1.0 - request.priority)
        headroom = (limit - load) / per_connection
        if request.hash_key and not is_home(endpoint, request):
            headroom -= GROUP_SETUP_CONNECTIONS
        if headroom <= 0:
            return False
        interval = self.statistics.interval()
        lag = interval + min(age, interval)  # over longer, those who leave make room for those who come
        sent_by_all = 2.0 * self.rates.sent.rate(now) * context.settings.proxy_count * lag
        rivals = sent_by_all / max(1, len(estimates.ready))
        return rivals <= headroom or context.random() * rivals < headroom
