"""Counters and gauges of one process; printed at an operator's request and at the end."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable


class Metrics:
    """All counters and gauges, by name. Their names are an interface: operators and dashboards use them."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, Callable[[], object]] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter, which begins at 0."""
        self.counts[name] += by

    def gauge(self, name: str, read: Callable[[], object]) -> None:
        """Show what `read` returns, at the time when the metrics are printed."""
        self.gauges[name] = read

    def snapshot(self) -> dict[str, object]:
        """The counters by name, followed by the gauges in the order in which they were set."""
        return dict(sorted(self.counts.items())) | {name: read() for name, read in self.gauges.items()}
