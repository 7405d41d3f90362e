"""Scheduler of actions in virtual time. The same calls always give the same order of actions."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable


class Schedule:
    """The virtual time in seconds and a heap of scheduled actions. Base class of simulated clusters."""

    def __init__(self) -> None:
        self.now = 0.0
        self.counts: Counter[str] = Counter()
        self.heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.serial = 0  # of the last action; actions of the same time run in the order of their serials

    def after(self, delay_s: float, action: Callable[..., None], *arguments: object) -> None:
        """Schedule an action after `delay_s` of virtual time."""
        self.at(self.now + delay_s, action, *arguments)

    def at(self, time_s: float, action: Callable[..., None], *arguments: object) -> None:
        """Schedule an action at a virtual time, after all actions already scheduled for the same time."""
        self.serial += 1
        heapq.heappush(self.heap, (time_s, self.serial, action, arguments))

    def run(self, duration_s: float) -> None:
        """Run all actions that are due within the next `duration_s` of virtual time."""
        end = self.now + duration_s
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.heap)
            action(*arguments)
            self.counts["steps"] += 1
        self.now = end
