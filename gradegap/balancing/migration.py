"""Migration of established connections off an endpoint that is near its capacity, or unresponsive.

Every proxy sees the same load, and each migrates its own part of the excess.
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
"""Load over capacity from which established connections are migrated off an endpoint."""

MIGRATION_TARGET_LOAD = 0.85
"""Load over capacity that the migrations of all proxies together aim at."""

MIGRATION_PAUSE_REPORTS = 1.5
"""The shortest pause between two rounds of migration off one endpoint, in intervals between its reports."""

MIGRATION_SHOWN_SHARE = 0.5
"""Share of a round by which the reported connections must have fallen before the next round."""

UNRESPONSIVE_HEALTH_CHECKS = 3
"""Health checks in a row without an answer from which connections are migrated off an endpoint."""

UNRESPONSIVE_LOAD = 2.0
"""Load over capacity that an unresponsive endpoint is taken to have: it serves nobody."""


class Migration:
    """Tells clients to come again, and counts how many of them are expected back."""

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
        self.expected_returns = 0.0  # reconnects that make up for what was migrated or broke here

    def migrate(self, requests: Iterable[Request]) -> None:
        """Migrates established connections."""
        for request in requests:
            if request.endpoint is not None:
                self.table.release(request.endpoint, request)
            request.finished = True
            self.expected_returns += 1.0
            self.context.actions.append(Migrate(request.id))

    def is_expected_return(self) -> bool:
        """Returns whether a reconnect makes up for a connection that this proxy lost, and counts it."""
        if self.expected_returns >= 1.0:
            self.expected_returns -= 1.0
            return True
        return False

    def relieve(self, endpoint: Endpoint, most_answer: bool) -> None:
        """Migrates connections off an endpoint that holds some, where it is overloaded or unresponsive.

        Args:
            endpoint: The endpoint.
            most_answer: Whether most health checks of all endpoints are answered; where they are not, the
                fault is not the endpoint's.
        """
        now, random = self.context.now, self.context.random
        unresponsive = endpoint.unanswered_health_checks > 0
        load = self._overload(endpoint, most_answer)
        # Reports are noisy and late: by one high figure, endpoints with headroom would be emptied.
        tolerance = 1.0 if unresponsive else 1.0 + self.statistics.noise
        last_round_unseen = (
            not unresponsive
            and now < endpoint.migration_unconfirmed_until
            and (endpoint.last_report[1] or 0.0) > endpoint.migration_confirmed_count
        )
        if load is None or load < MIGRATION_START_LOAD * tolerance:
            return
        if now < endpoint.migration_paused_until or last_round_unseen:
            return
        headroom = self._headroom_elsewhere(endpoint)
        headroom = math.inf if unresponsive else headroom
        headroom /= self.context.settings.proxy_count
        excess = len(endpoint.connections) * (load - MIGRATION_TARGET_LOAD * tolerance) / load
        count = int(min(excess, headroom) + random())
        pause = MIGRATION_PAUSE_REPORTS * self.statistics.interval()
        endpoint.migration_paused_until = now + pause * (0.75 + 0.5 * random())
        if count:
            reported = endpoint.last_report[1]
            if reported:
                endpoint.migration_unconfirmed_until = now + REPORT_DELAY_S
                endpoint.migration_confirmed_count = reported - MIGRATION_SHOWN_SHARE * count
            self.migrate(self._cheapest(endpoint, count))

    def _overload(self, endpoint: Endpoint, most_answer: bool) -> float | None:
        """Returns the load to relieve an endpoint of; None where it is not known, or not to be trusted."""
        # Read in any case: an estimate also refreshes what is known of the capacity.
        load = self.load_estimates.load(endpoint) if self.context.load_field != "inflight" else None
        if endpoint.unanswered_health_checks:
            unresponsive = endpoint.unanswered_health_checks >= UNRESPONSIVE_HEALTH_CHECKS
            load = UNRESPONSIVE_LOAD if unresponsive and most_answer else None
        return load

    def _headroom_elsewhere(self, endpoint: Endpoint) -> float:
        """Returns how many connections the other endpoints have headroom for; more would only be rejected."""
        estimates = self.load_estimates
        others = [
            (estimates.load(other) or 0.0, other.load_per_connection)
            for other in estimates.ready
            if other is not endpoint and other.load_per_connection > 0
        ]
        return sum(max(0.0, ADMISSION_LOAD_LIMIT - load) / per_connection for load, per_connection in others)

    def _cheapest(self, endpoint: Endpoint, count: int) -> list[Request]:
        """Returns the connections to migrate first.

        The lowest priority goes first, as where no endpoint has headroom it will be rejected, and the
        smallest group, as with its last connection goes what the endpoint pays for the group.
        """
        groups, random = endpoint.connections_by_group, self.context.random
        order = [
            (groups[request.hash_key] * request.priority * (0.5 + random()), request)
            for request in endpoint.connections.values()
        ]
        order.sort(key=lambda each: each[0])
        return [request for _, request in order[:count]]
