"""Virtual time: actions in the order of their times, the same in each run of the same calls."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable


class Schedule:
    """A heap of actions and the time that it has come to. A simulation of one cluster derives from it."""

    def __init__(self) -> None:
        self.now = 0.0
        self.counts: Counter[str] = Counter()
        self.heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.serial = 0

    def after(self, wait: float, action: Callable[..., None], *args: object) -> None:
        """Do this in so many seconds."""
        self.at(self.now + wait, action, *args)

    def at(self, moment: float, action: Callable[..., None], *args: object) -> None:
        """Do this at that time, after all that is there already for the very same."""
        self.serial += 1
        heapq.heappush(self.heap, (moment, self.serial, action, args))

    def run(self, seconds: float) -> None:
        """Let so much time pass."""
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self.heap)
            action(*args)
            self.counts["steps"] += 1
        self.now = end
