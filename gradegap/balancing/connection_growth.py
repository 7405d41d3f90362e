"""How far this proxy's connections have outgrown their usual number. It decides nothing."""

from __future__ import annotations

from gradegap.balancing.context import Context
from gradegap.balancing.rates import MovingAverage
from gradegap.balancing.request_table import RequestTable

REPORT_DELAY_S = 5.0
"""Growth of our own connections within this many seconds may be missing from load reports."""


class ConnectionGrowth:
    """The number of requests over its moving average: what load reports may not show yet."""

    __slots__ = ("baseline", "context", "inherited_count", "table")

    def __init__(self, context: Context, table: RequestTable) -> None:
        self.context = context
        self.table = table
        self.baseline = MovingAverage()
        self.inherited_count = 0  # connections that this proxy took over from its predecessor

    def factor(self) -> float:
        """Returns the present number of requests over the usual one, at least 1."""
        context = self.context
        count = len(self.table.requests)
        self.baseline.observe(context.now, count, REPORT_DELAY_S)
        if context.now - context.started_at < REPORT_DELAY_S and not self.inherited_count:
            return 1.0
        return max(1.0, (count + 1.0) / (self.baseline.value + 1.0))

    def add_known(self) -> None:
        """Counts a connection as usual that was established elsewhere: reports had it all along."""
        self.baseline.value += 1.0

    def add_inherited(self) -> None:
        """Counts a connection that this proxy took over; reports have it already."""
        self.inherited_count += 1
        self.baseline.value += 1.0
