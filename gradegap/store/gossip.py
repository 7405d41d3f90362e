"""What nodes see of endpoints, passed between them: bounded, with its age, never through the log.

A node that has just started knows no loads, and an endpoint list that may be out of date. What its siblings
report reaches the balancer as its own events: load reports at the time they were made, so that they are
weighed by their age; draining and restarted endpoints as changes of the list, until discovery itself has
named one; unresponsive endpoints as health checks that timed out.
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
MAX_REPORT_AGE_S = 5.0  # older reports say nothing any more
MIN_NEWER_S = 0.25  # by which a report must be newer than this node's own to be taken
MAX_REPORTS = 2000  # of one message
MAX_REPORT_FIELDS = 16
MAX_SANE_AGE_S = 3600.0
MAX_SANE_TIME_S = 1e11  # Unix time
KNOWN_PHASES = {int(phase) for phase in EndpointPhase}
NEVER = -1e9  # steady time, s


class GossipExchange:
    """One node's part: what it reports to its siblings, and what it takes of their reports."""

    def __init__(
        self, node: str, proxy: Proxy, metrics: Metrics, has_endpoint_list: Callable[[], bool]
    ) -> None:
        """`has_endpoint_list`: whether discovery has given this node a list."""
        self.node, self.proxy, self.metrics = node, proxy, metrics
        self.has_endpoint_list = has_endpoint_list
        self._unresponsive_at: dict[str, float] = {}  # by endpoint, as siblings saw it; steady time, s

    # Outgoing

    def message(self, state: dict[str, object]) -> Gossip:
        """Only what this node saw itself: reports of siblings are not passed on, so nothing circulates."""
        reports = self._load_reports() + self._unanswered()
        if self.has_endpoint_list():
            reports += self._listed()
        return Gossip(self.node, state, reports[:MAX_REPORTS])

    def _load_reports(self) -> list[GossipReport]:
        now = self.proxy.now()
        return [
            GossipReport(endpoint.id, "report", now - endpoint.report_at, dict(endpoint.report))
            for endpoint in self.proxy.endpoints.values()
            if endpoint.report is not None
            and not endpoint.report_from_peer
            and now - endpoint.report_at < MAX_REPORT_AGE_S
        ]

    def _unanswered(self) -> list[GossipReport]:
        now = self.proxy.now()
        return [
            GossipReport(endpoint.id, "silent", now - endpoint.unanswered_at)
            for endpoint in self.proxy.endpoints.values()
            if now - endpoint.unanswered_at < MAX_REPORT_AGE_S
        ]

    def _listed(self) -> list[GossipReport]:
        return [
            GossipReport(endpoint.id, "listed", 0.0, None, int(entry.phase), entry.started_at)
            for endpoint in self.proxy.endpoints.values()
            if (entry := endpoint.entry) is not None
        ]

    # Incoming

    def receive(self, gossip: Gossip) -> None:
        """Pass what a sibling has seen to the balancer, where this node knows nothing newer."""
        if gossip.node == self.node:
            return
        self.metrics.count("gossip_heard")
        changes: list[tuple[EndpointEntry, str]] = []
        for report in gossip.reports[:MAX_REPORTS]:
            if not _is_sane(report):
                self.metrics.count("gossip_unfit")
                continue
            endpoint = self.proxy.endpoints.get(report.endpoint_id)
            if endpoint is None or endpoint.entry is None:
                self.metrics.count("gossip_unknown_server")
            elif report.kind == "silent":
                self._receive_unanswered(report, endpoint)
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
        if report.age_s > MAX_REPORT_AGE_S or reported_at < endpoint.report_at + MIN_NEWER_S:
            self.metrics.count("gossip_old")
            return
        self.metrics.count("gossip_taken")
        endpoint.report_from_peer = True
        assert report.report is not None  # of this kind; see `_is_sane`
        self.proxy.record_report(reported_at, endpoint.id, report.report)

    def _receive_unanswered(self, report: GossipReport, endpoint: Endpoint) -> None:
        """A sibling's health check was left unanswered.

        The balancer gets it as one of this node's own, and no more often than of these, where this
        node has no later answer.
        """
        unanswered_at = self.proxy.now() - report.age_s
        known = max(endpoint.unanswered_at, self._unresponsive_at.get(endpoint.id, NEVER)) + MIN_NEWER_S
        if unanswered_at <= max(endpoint.report_at, known) or report.age_s > MAX_REPORT_AGE_S:
            self.metrics.count("gossip_old")
            return
        # Kept apart from what this node saw itself, which alone it passes on.
        self._unresponsive_at[endpoint.id] = unanswered_at
        self.metrics.count("gossip_silent")
        timed_out = HealthCheckEnded(endpoint.id, AttemptResult.TIMEOUT, HEALTH_CHECK_TIMEOUT_S, None)
        self.proxy.feed(timed_out)


def _is_sane(report: GossipReport) -> bool:
    """Guards the balancer against figures that no health check could have brought."""
    fields = report.report
    if report.kind == "listed":
        known_phase = report.phase in KNOWN_PHASES
        return fields is None and known_phase and 0 <= report.started_at < MAX_SANE_TIME_S
    if not 0.0 <= report.age_s < MAX_SANE_AGE_S:
        return False
    if report.kind == "silent":
        return fields is None
    if report.kind != "report" or fields is None or len(fields) > MAX_REPORT_FIELDS:
        return False
    return all(math.isfinite(value) and value >= 0.0 for value in fields.values())
