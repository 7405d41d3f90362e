"""Counters and gauges of one process, printed when an operator asks for them and when the process ends."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable


class Metrics:
    """All counters and gauges by name. The names are an interface: operators and dashboards use them."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, Callable[[], object]] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter; a counter starts at 0."""
        self.counts[name] += amount

    def gauge(self, name: str, read_value: Callable[[], object]) -> None:
        """Register a gauge; `read_value` is called for its value whenever the metrics are printed."""
        self.gauges[name] = read_value

    def snapshot(self) -> dict[str, object]:
        """Return the counters sorted by name, followed by the gauges in the order of their registration."""
        return dict(sorted(self.counts.items())) | {
            name: read_value() for name, read_value in self.gauges.items()
        }
