"""Migration of established connections off an endpoint that is near its capacity or unresponsive.

All proxies see the same load, and each one migrates its own part of the excess.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from gradegap.balancing.actions import Migrate
from gradegap.balancing.admission import ADMISSION_LOAD_LIMIT
from gradegap.balancing.connection_growth import REPORT_DELAY_S
from gradegap.balancing.context import Context
from gradegap.balancing.load_estimates import LoadEstimates
from gradegap.balancing.model import Endpoint, Request
from gradegap.balancing.report_statistics import ReportStatistics
from gradegap.balancing.request_table import RequestTable

MIGRATION_START_LOAD = 0.9
"""Load, relative to capacity, at which migration of established connections off an endpoint starts."""

MIGRATION_TARGET_LOAD = 0.85
"""Load, relative to capacity, to which all proxies together reduce an overloaded endpoint."""

MIGRATION_PAUSE_REPORTS = 1.5
"""Mean pause between two rounds of migration off one endpoint, as a multiple of the report interval.

The report interval is the mean time between two changed load reports of an endpoint. Each pause is
randomized by up to 25%.
"""

MIGRATION_CONFIRMED_SHARE = 0.5
"""Fraction of a round's migrations by which the reported number of connections must fall.

Until then, but no longer than `REPORT_DELAY_S`, the next round does not start.
"""

UNRESPONSIVE_HEALTH_CHECKS = 3
"""Number of consecutive unanswered health checks at which connections are migrated off an endpoint."""

UNRESPONSIVE_LOAD = 2.0
"""Load, relative to capacity, assumed for an unresponsive endpoint, which serves no client."""


class Migration:
    """Migrates connections, and counts the reconnects that are expected in consequence."""

    __slots__ = ("context", "expected_returns", "load_estimates", "statistics", "table")

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        load_estimates: LoadEstimates,
        statistics: ReportStatistics,
    ) -> None:
        self.context = context
        self.table = table
        self.load_estimates = load_estimates
        self.statistics = statistics
        self.expected_returns = 0.0  # number of reconnects expected after migrations and resets here

    def migrate(self, requests: Iterable[Request]) -> None:
        """Migrates established connections and expects their clients to reconnect."""
        for request in requests:
            if request.endpoint is not None:
                self.table.release(request.endpoint, request)
            request.finished = True
            self.expected_returns += 1.0
            self.context.actions.append(Migrate(request.id))

    def consume_expected_return(self) -> bool:
        """Returns whether a reconnect replaces a connection that was lost here.

        If so, the number of expected reconnects is decremented.
        """
        if self.expected_returns >= 1.0:
            self.expected_returns -= 1.0
            return True
        return False

    def relieve(self, endpoint: Endpoint, is_majority_answered: bool) -> None:
        """Migrates connections off an endpoint if it is overloaded or unresponsive.

        Args:
            endpoint: An endpoint with connections of this proxy.
            is_majority_answered: Whether most health checks of all endpoints are answered. If they are not,
                an unanswered health check is not attributed to this endpoint.
        """
        now, random = self.context.now, self.context.random
        has_unanswered = endpoint.unanswered_health_checks > 0
        load = self._overload(endpoint, is_majority_answered)
        # Reports are noisy and delayed: without a tolerance, a single high value would start the migration
        # of connections off endpoints that have headroom.
        tolerance = 1.0 if has_unanswered else 1.0 + self.statistics.noise
        is_last_round_unconfirmed = (
            not has_unanswered
            and now < endpoint.migration_unconfirmed_until
            and (endpoint.last_report[1] or 0.0) > endpoint.migration_confirmed_count
        )
        if load is None or load < MIGRATION_START_LOAD * tolerance:
            return
        if now < endpoint.migration_paused_until or is_last_round_unconfirmed:
            return
        headroom = self._headroom_elsewhere(endpoint)
        headroom = math.inf if has_unanswered else headroom
        headroom /= self.context.settings.proxy_count
        excess = len(endpoint.connections) * (load - MIGRATION_TARGET_LOAD * tolerance) / load
        count = int(min(excess, headroom) + random())
        pause = MIGRATION_PAUSE_REPORTS * self.statistics.interval()
        endpoint.migration_paused_until = now + pause * (0.75 + 0.5 * random())
        if count:
            reported = endpoint.last_report[1]
            if reported:
                endpoint.migration_unconfirmed_until = now + REPORT_DELAY_S
                endpoint.migration_confirmed_count = reported - MIGRATION_CONFIRMED_SHARE * count
            self.migrate(self._cheapest(endpoint, count))

    def _overload(self, endpoint: Endpoint, is_majority_answered: bool) -> float | None:
        """Returns the load that decides on migration; None if it is unknown or unreliable."""
        # Always computed, since the estimate also refreshes the known capacity.
        load = self.load_estimates.load(endpoint) if self.context.load_field != "inflight" else None
        if endpoint.unanswered_health_checks:
            is_unresponsive = endpoint.unanswered_health_checks >= UNRESPONSIVE_HEALTH_CHECKS
            load = UNRESPONSIVE_LOAD if is_unresponsive and is_majority_answered else None
        return load

    def _headroom_elsewhere(self, endpoint: Endpoint) -> float:
        """Returns how many connections the other endpoints have headroom for; any more would be rejected."""
        estimates = self.load_estimates
        others = [
            (estimates.load(other) or 0.0, other.load_per_connection)
            for other in estimates.ready
            if other is not endpoint and other.load_per_connection > 0
        ]
        return sum(max(0.0, ADMISSION_LOAD_LIMIT - load) / per_connection for load, per_connection in others)

    def _cheapest(self, endpoint: Endpoint, count: int) -> list[Request]:
        """Returns the `count` connections whose migration costs least.

        Connections of low priority are chosen first, since they are rejected if no endpoint has headroom, and
        those of small groups, since an endpoint saves the cost of a group once its last connection ends.
        """
        groups, random = endpoint.connections_by_group, self.context.random
        by_cost = [
            (groups[request.hash_key] * request.priority * (0.5 + random()), request)
            for request in endpoint.connections.values()
        ]
        by_cost.sort(key=lambda each: each[0])
        return [request for _, request in by_cost[:count]]
