"""Counters of what the node takes in, sends and answers; printed on request and at exit."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable


class Metrics:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, Callable[[], object]] = {}

    def count(self, name: str, by: int = 1) -> None:
        self.counts[name] += by

    def gauge(self, name: str, read: Callable[[], object]) -> None:
        """A figure that is read when the counters are printed."""
        self.gauges[name] = read

    def snapshot(self) -> dict[str, object]:
        return dict(sorted(self.counts.items())) | {name: read() for name, read in self.gauges.items()}
