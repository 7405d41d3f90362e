"""What nodes see of save servers, passed between them: bounded, with its age, never through the log.

A node that starts anew knows no loads. What its siblings tell it reaches the module as reports do, at the
time they were made, so the module weighs them by their age as it does its own.
"""

from __future__ import annotations

import math

from gradegap.core import Core
from gradegap.stats import Stats
from gradegap.store.wire import Gossip, Learned

PERIOD = 1.0  # s between two words
OLDEST = 5.0  # s; older reports say nothing any more
MOST = 2000  # of what is told at once
MOST_FIELDS = 16  # of a report
NEWER = 0.25  # s by which a report must be newer than one's own to be taken


class Learner:
    """One node's part: what it tells, and what it takes of what it is told."""

    def __init__(self, node: str, core: Core, stats: Stats) -> None:
        self.node, self.core, self.stats = node, core, stats

    def tell(self, state: dict[str, object]) -> Gossip:
        """Only what this node saw itself: what it was told is not told on, so nothing goes in circles."""
        now = self.core.now()
        seen = [
            Learned(b.id, "report", now - b.report_at, dict(b.report))
            for b in self.core.backends.values()
            if b.report is not None and not b.told_by_peer and now - b.report_at < OLDEST
        ]
        return Gossip(self.node, state, seen[:MOST])

    def hear(self, gossip: Gossip) -> None:
        if gossip.node == self.node:
            return
        self.stats.count("gossip_heard")
        now = self.core.now()
        for learned in gossip.learned[:MOST]:
            if not self._fit(learned) or learned.report is None:
                self.stats.count("gossip_unfit")
                continue
            b = self.core.backends.get(learned.server)
            if b is None or b.told is None:
                self.stats.count("gossip_unknown_server")
            elif learned.age > OLDEST or now - learned.age < b.report_at + NEWER:
                self.stats.count("gossip_old")
            else:
                self.stats.count("gossip_taken")
                b.told_by_peer = True
                self.core.recall(now - learned.age, b.id, learned.report)

    def _fit(self, learned: Learned) -> bool:
        """Guards the module against figures that no probe could have brought."""
        report = learned.report or {}
        return (
            learned.kind == "report"
            and 0.0 <= learned.age < 3600.0
            and len(report) <= MOST_FIELDS
            and all(math.isfinite(v) and v >= 0.0 for v in report.values())
        )
