"""What nodes see of save servers, passed between them: bounded, with its age, never through the log.

A node that starts anew knows no loads, and a list that may be out of date. What its siblings tell it reaches
the module as its own events: reports at the time they were made, so that they are weighed by their age, and
who drains or has started anew as changes of the list, until discovery itself has told one, who is silent as a
probe without an answer.
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

GOSSIP_PERIOD_S = 1.0  # s between two words
MAX_REPORT_AGE_S = 5.0  # s; older reports say nothing any more
KNOWN_PHASES = {int(p) for p in EndpointPhase}
MAX_REPORTS = 2000  # of what is told at once
MAX_REPORT_FIELDS = 16  # of a report
MIN_NEWER_S = 0.25  # s by which a report must be newer than one's own to be taken


class GossipExchange:
    """One node's part: what it tells, and what it takes of what it is told."""

    def __init__(self, node: str, proxy: Proxy, metrics: Metrics, told: Callable[[], bool]) -> None:
        self.node, self.proxy, self.metrics = node, proxy, metrics
        self.silent: dict[str, float] = {}  # by server, the latest word of a sibling
        self.told = told  # whether discovery has told this node a list

    def tell(self, state: dict[str, object]) -> Gossip:
        """Only what this node saw itself: what it was told is not told on, so nothing goes in circles."""
        now = self.proxy.now()
        seen = [
            GossipReport(b.id, "report", now - b.report_at, dict(b.report))
            for b in self.proxy.endpoints.values()
            if b.report is not None and not b.report_from_peer and now - b.report_at < MAX_REPORT_AGE_S
        ]
        seen += [
            GossipReport(b.id, "silent", now - b.unanswered_at)
            for b in self.proxy.endpoints.values()
            if now - b.unanswered_at < MAX_REPORT_AGE_S
        ]
        if self.told():
            seen += [
                GossipReport(b.id, "listed", 0.0, None, int(b.entry.phase), b.entry.started_at)
                for b in self.proxy.endpoints.values()
                if b.entry is not None
            ]
        return Gossip(self.node, state, seen[:MAX_REPORTS])

    def hear(self, gossip: Gossip) -> None:
        if gossip.node == self.node:
            return
        self.metrics.count("gossip_heard")
        now = self.proxy.now()
        changed: list[tuple[EndpointEntry, str]] = []
        for learned in gossip.reports[:MAX_REPORTS]:
            if not self._fit(learned):
                self.metrics.count("gossip_unfit")
                continue
            b = self.proxy.endpoints.get(learned.endpoint_id)
            if b is None or b.entry is None:
                self.metrics.count("gossip_unknown_server")
            elif learned.kind == "silent":
                self._silent(learned, b, now)
            elif learned.report is None:
                if not self.told() and (learned.phase, learned.started_at) != (
                    b.entry.phase,
                    b.entry.started_at,
                ):
                    entry = b.entry._replace(
                        phase=EndpointPhase(learned.phase), started_at=learned.started_at
                    )
                    changed.append((entry, ""))
            elif learned.age_s > MAX_REPORT_AGE_S or now - learned.age_s < b.report_at + MIN_NEWER_S:
                self.metrics.count("gossip_old")
            else:
                self.metrics.count("gossip_taken")
                b.report_from_peer = True
                self.proxy.record_report(now - learned.age_s, b.id, learned.report)
        if changed:
            self.metrics.count("gossip_listed", len(changed))
            self.proxy.update_endpoints(EndpointListKind.DELTA, changed)

    def _silent(self, learned: GossipReport, b: Endpoint, now: float) -> None:
        """A sibling's probe was left unanswered: the module hears of it as of one of its own, and no more
        often than of its own, where this node has no later answer."""
        at = now - learned.age_s
        known = max(b.unanswered_at, self.silent.get(b.id, -1e9)) + MIN_NEWER_S
        if at <= max(b.report_at, known) or learned.age_s > MAX_REPORT_AGE_S:
            self.metrics.count("gossip_old")
            return
        self.silent[b.id] = at  # apart from what this node saw itself, which alone it tells on
        self.metrics.count("gossip_silent")
        self.proxy.feed(HealthCheckEnded(b.id, AttemptResult.TIMEOUT, HEALTH_CHECK_TIMEOUT_S, None))

    def _fit(self, learned: GossipReport) -> bool:
        """Guards the module against figures that no probe could have brought."""
        report = learned.report or {}
        if learned.kind == "silent":
            return learned.report is None and 0.0 <= learned.age_s < 3600.0
        if learned.kind == "listed":
            return learned.report is None and learned.phase in KNOWN_PHASES and 0 <= learned.started_at < 1e11
        return (
            learned.kind == "report"
            and learned.report is not None
            and 0.0 <= learned.age_s < 3600.0
            and len(report) <= MAX_REPORT_FIELDS
            and all(math.isfinite(v) and v >= 0.0 for v in report.values())
        )
