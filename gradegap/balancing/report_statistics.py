"""What all endpoints' load reports together say of reports themselves: their pace, and how noisy they are.

It decides nothing. Both differ between deployments by several times and are given nowhere: one refreshes its
reports every 79 to 390 ms with a noise of 8% to 20%, another every 500 to 960 ms with next to none.
"""

from __future__ import annotations

DEFAULT_INTERVAL_S = 0.5
"""Seconds between two changed reports of an endpoint, until that is learned."""

LONGEST_INTERVAL_S = 4 * DEFAULT_INTERVAL_S
"""Seconds from which a gap says nothing of the pace of reports; also the longest interval."""

RETENTION = 0.98
"""Part of what was learned that stays with each further report."""

NOISE_WITHIN_S = 1.5
"""Seconds between two reports of an endpoint within which their difference is taken for noise."""

LEAST_LOAD = 0.2
"""Load under which a difference says little."""

DEVIATION_PER_DISTANCE = 0.886
"""Standard deviation over the mean distance of two draws of a normal distribution: sqrt(pi) / 2."""

Report = tuple[float | None, float | None]
"""A load and a number of connections, where reported."""


class ReportStatistics:
    """Pace and noise of reports, as one proxy has seen them."""

    __slots__ = ("changes", "noise", "observed_time")

    def __init__(self) -> None:
        # Seconds between reports, and the changed reports seen in them; both decay.
        self.observed_time, self.changes = DEFAULT_INTERVAL_S, 1.0
        self.noise = 0.0  # standard deviation of a load, as a part of it; its quick swings count as well

    def observe(self, gap: float, repeated: bool) -> None:
        """Counts a report that came `gap` seconds after the last of that endpoint, changed or repeated."""
        if gap < LONGEST_INTERVAL_S:
            self.observed_time = RETENTION * self.observed_time + gap
            self.changes = RETENTION * self.changes + (0.0 if repeated else 1.0)

    def observe_change(self, gap: float, old: Report, new: Report) -> None:
        """Takes over two different reports in a row of one endpoint, `gap` seconds apart."""
        (old_load, old_count), (new_load, new_count) = old, new
        if gap >= NOISE_WITHIN_S or not old_load or not new_load or not old_count or not new_count:
            return
        if old_load < LEAST_LOAD:
            return
        distance = abs(new_load - old_load * new_count / old_count) / max(new_load, old_load)
        gain = (1.0 - RETENTION) * DEVIATION_PER_DISTANCE
        self.noise = RETENTION * self.noise + gain * min(1.0, distance)

    def interval(self) -> float:
        """Returns the seconds between two changed reports of an endpoint, as health checks have seen them."""
        return min(self.observed_time / self.changes, LONGEST_INTERVAL_S)
