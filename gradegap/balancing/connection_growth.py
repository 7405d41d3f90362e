"""Recent growth of this proxy's connections relative to their moving average. No decision logic."""

from __future__ import annotations

from gradegap.balancing.context import Context
from gradegap.balancing.rates import MovingAverage
from gradegap.balancing.request_table import RequestTable

REPORT_DELAY_S = 5.0
"""Longest delay in seconds until load reports reflect a new connection.

Growth of this proxy's connections over this time may be missing from load reports.
"""


class ConnectionGrowth:
    """Estimates growth that load reports may not reflect yet: request count divided by its moving average."""

    __slots__ = ("baseline", "context", "inherited_count", "table")

    def __init__(self, context: Context, table: RequestTable) -> None:
        self.context = context
        self.table = table
        self.baseline = MovingAverage()
        self.inherited_count = 0  # number of connections taken over from this proxy's predecessor

    def factor(self) -> float:
        """Returns the current number of requests divided by its moving average, at least 1."""
        context = self.context
        count = len(self.table.requests)
        self.baseline.observe(context.now, count, REPORT_DELAY_S)
        if context.now - context.started_at < REPORT_DELAY_S and not self.inherited_count:
            return 1.0
        return max(1.0, (count + 1.0) / (self.baseline.value + 1.0))

    def add_known(self) -> None:
        """Counts a client that reconnects from another proxy in the average at once.

        Otherwise it would be mistaken for growth, although load reports already included it.
        """
        self.baseline.value += 1.0

    def add_inherited(self) -> None:
        """Counts a connection taken over from the predecessor in the average at once.

        Otherwise it would be mistaken for growth, although load reports already include it.
        """
        self.inherited_count += 1
        self.baseline.value += 1.0
