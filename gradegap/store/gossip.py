"""Exchange of endpoint observations between nodes. It is size-limited and bypasses the replicated log.

A node that has just started has no load reports, and its endpoint list may be out of date. Observations of
other nodes are passed to its balancer as local events. Load reports keep their original time, so that they
are weighted by age. Draining and restarted endpoints are passed on as changes of the endpoint list, until
discovery has provided a list. Unresponsive endpoints are passed on as health checks that timed out.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from gradegap.balancing.events import (
    AttemptResult,
    EndpointEntry,
    EndpointListKind,
    EndpointPhase,
    HealthCheckEnded,
)
from gradegap.metrics import Metrics
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.health_checks import HEALTH_CHECK_TIMEOUT_S
from gradegap.proxy.proxy import Proxy
from gradegap.store.wire import Gossip, GossipReport

GOSSIP_PERIOD_S = 1.0
MAX_REPORT_AGE_S = 5.0  # observations of a greater age are outdated: they are neither sent nor used
MIN_REPORT_ADVANCE_S = 0.25  # an observation is used only if this much newer than this node's latest one
MAX_REPORT_COUNT = 2000  # limit on the reports in one message
MAX_REPORT_FIELD_COUNT = 16
MAX_VALID_AGE_S = 3600.0  # a report with a greater age is invalid
MAX_VALID_UNIX_TIME_S = 1e11  # a report with a later start time is invalid
KNOWN_PHASES = {int(phase) for phase in EndpointPhase}
NEVER = -1e9  # a time (s) earlier than any reading of the monotonic clock


class GossipExchange:
    """Creates a node's gossip messages, and passes those of other nodes to its balancer."""

    def __init__(
        self, node: str, proxy: Proxy, metrics: Metrics, has_endpoint_list: Callable[[], bool]
    ) -> None:
        """`has_endpoint_list` returns whether discovery has provided an endpoint list to this node."""
        self.node, self.proxy, self.metrics = node, proxy, metrics
        self.has_endpoint_list = has_endpoint_list
        # Steady time (s) of the last unanswered health check of other nodes, by endpoint id.
        self._unresponsive_at: dict[str, float] = {}

    # Outgoing

    def message(self, state: dict[str, object]) -> Gossip:
        """Create a message of this node's own observations only, so that each is passed on just once."""
        reports = self._load_reports() + self._unresponsive_reports()
        if self.has_endpoint_list():
            reports += self._list_reports()
        return Gossip(self.node, state, reports[:MAX_REPORT_COUNT])

    def _load_reports(self) -> list[GossipReport]:
        now = self.proxy.now()
        return [
            GossipReport(endpoint.id, "report", now - endpoint.report_at, dict(endpoint.report))
            for endpoint in self.proxy.endpoints.values()
            if endpoint.report is not None
            and not endpoint.report_from_peer
            and now - endpoint.report_at < MAX_REPORT_AGE_S
        ]

    def _unresponsive_reports(self) -> list[GossipReport]:
        now = self.proxy.now()
        return [
            GossipReport(endpoint.id, "silent", now - endpoint.unanswered_at)
            for endpoint in self.proxy.endpoints.values()
            if now - endpoint.unanswered_at < MAX_REPORT_AGE_S
        ]

    def _list_reports(self) -> list[GossipReport]:
        return [
            GossipReport(endpoint.id, "listed", 0.0, None, int(entry.phase), entry.started_at)
            for endpoint in self.proxy.endpoints.values()
            if (entry := endpoint.entry) is not None
        ]

    # Incoming

    def receive(self, gossip: Gossip) -> None:
        """Pass another node's observations to the balancer, unless this node has newer ones."""
        if gossip.node == self.node:
            return
        self.metrics.count("gossip_heard")
        changes: list[tuple[EndpointEntry, str]] = []
        for report in gossip.reports[:MAX_REPORT_COUNT]:
            if not _is_valid(report):
                self.metrics.count("gossip_unfit")
                continue
            endpoint = self.proxy.endpoints.get(report.endpoint_id)
            if endpoint is None or endpoint.entry is None:
                self.metrics.count("gossip_unknown_server")
            elif report.kind == "silent":
                self._receive_unresponsive(report, endpoint)
            elif report.kind == "listed":
                changes += self._changes(report, endpoint.entry)
            else:
                self._receive_load_report(report, endpoint)
        if changes:
            self.metrics.count("gossip_listed", len(changes))
            self.proxy.update_endpoints(EndpointListKind.DELTA, changes)

    def _changes(self, report: GossipReport, entry: EndpointEntry) -> list[tuple[EndpointEntry, str]]:
        known = (entry.phase, entry.started_at)
        if self.has_endpoint_list() or (report.phase, report.started_at) == known:
            return []
        changed = entry._replace(phase=EndpointPhase(report.phase), started_at=report.started_at)
        return [(changed, "")]

    def _receive_load_report(self, report: GossipReport, endpoint: Endpoint) -> None:
        reported_at = self.proxy.now() - report.age_s
        if report.age_s > MAX_REPORT_AGE_S or reported_at < endpoint.report_at + MIN_REPORT_ADVANCE_S:
            self.metrics.count("gossip_old")
            return
        self.metrics.count("gossip_taken")
        endpoint.report_from_peer = True
        assert report.report is not None  # guaranteed by `_is_valid`
        self.proxy.record_report(reported_at, endpoint.id, report.report)

    def _receive_unresponsive(self, report: GossipReport, endpoint: Endpoint) -> None:
        """Handle another node's unanswered health check.

        Unless this node received a later report from the endpoint, it is passed to the balancer as if a
        health check of this node had timed out, at most once per `MIN_REPORT_ADVANCE_S`.
        """
        unanswered_at = self.proxy.now() - report.age_s
        known = (
            max(endpoint.unanswered_at, self._unresponsive_at.get(endpoint.id, NEVER)) + MIN_REPORT_ADVANCE_S
        )
        if unanswered_at <= max(endpoint.report_at, known) or report.age_s > MAX_REPORT_AGE_S:
            self.metrics.count("gossip_old")
            return
        # Stored separately from this node's own observations, as only its own are sent to other nodes.
        self._unresponsive_at[endpoint.id] = unanswered_at
        self.metrics.count("gossip_silent")
        timed_out = HealthCheckEnded(endpoint.id, AttemptResult.TIMEOUT, HEALTH_CHECK_TIMEOUT_S, None)
        self.proxy.feed(timed_out)


def _is_valid(report: GossipReport) -> bool:
    """Whether a report has values that a health check or endpoint list can contain."""
    fields = report.report
    if report.kind == "listed":
        known_phase = report.phase in KNOWN_PHASES
        return fields is None and known_phase and 0 <= report.started_at < MAX_VALID_UNIX_TIME_S
    if not 0.0 <= report.age_s < MAX_VALID_AGE_S:
        return False
    if report.kind == "silent":
        return fields is None
    if report.kind != "report" or fields is None or len(fields) > MAX_REPORT_FIELD_COUNT:
        return False
    return all(math.isfinite(value) and value >= 0.0 for value in fields.values())
