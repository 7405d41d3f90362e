"""Virtual time: actions in the order of their times, the same in each run of the same calls."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable


class Schedule:
    """A heap of actions and the time that it has come to; the base of each simulated cluster."""

    def __init__(self) -> None:
        self.now = 0.0
        self.counts: Counter[str] = Counter()
        self.heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.serial = 0  # of actions: those of one moment run in the order in which they were scheduled

    def after(self, delay_s: float, action: Callable[..., None], *arguments: object) -> None:
        """Schedule an action after `delay_s` of virtual time."""
        self.at(self.now + delay_s, action, *arguments)

    def at(self, moment: float, action: Callable[..., None], *arguments: object) -> None:
        """Schedule an action at a moment, after all that are scheduled for the very same already."""
        self.serial += 1
        heapq.heappush(self.heap, (moment, self.serial, action, arguments))

    def run(self, duration_s: float) -> None:
        """Let `duration_s` of virtual time pass."""
        end = self.now + duration_s
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.heap)
            action(*arguments)
            self.counts["steps"] += 1
        self.now = end
