"""Statistics of load reports over all endpoints: the interval between changes, and the noise.

No decision logic. Both figures differ several-fold between deployments and are not configured: in one,
reports change every 79 to 390 ms with a noise of 8% to 20%; in another, every 500 to 960 ms with almost none.
"""

from __future__ import annotations

DEFAULT_INTERVAL_S = 0.5
"""Assumed time in seconds between two changed reports of an endpoint, until the interval is learned."""

MAX_INTERVAL_S = 4 * DEFAULT_INTERVAL_S
"""Upper bound of the learned interval in seconds.

Longer gaps between two reports are ignored, since they say nothing about how often reports change.
"""

RETENTION = 0.98
"""Factor by which each further report decays the statistics learned so far."""

MAX_NOISE_GAP_S = 1.5
"""Longest gap, in seconds, between two reports of an endpoint whose difference counts as noise."""

MIN_NOISE_LOAD = 0.2
"""Load, relative to capacity, below which the relative difference of two reports is meaningless."""

DEVIATION_PER_DISTANCE = 0.886
"""Ratio of the standard deviation of a normal distribution to the mean distance of two samples.

Its value is sqrt(pi) / 2.
"""

Report = tuple[float | None, float | None]
"""A load and a number of connections; None: not reported."""


class ReportStatistics:
    """Interval and noise of load reports, as observed by one proxy."""

    __slots__ = ("changes", "noise", "observed_time")

    def __init__(self) -> None:
        # Observed time in seconds, and the number of changed reports in this time; both decay.
        self.observed_time, self.changes = DEFAULT_INTERVAL_S, 1.0
        self.noise = 0.0  # standard deviation divided by the load; includes real fast fluctuations

    def observe(self, gap: float, is_repeated: bool) -> None:
        """Records a report that arrived `gap` seconds after the previous one of its endpoint."""
        if gap < MAX_INTERVAL_S:
            self.observed_time = RETENTION * self.observed_time + gap
            self.changes = RETENTION * self.changes + (0.0 if is_repeated else 1.0)

    def observe_change(self, gap: float, old: Report, new: Report) -> None:
        """Records two different consecutive reports of one endpoint, `gap` seconds apart."""
        (old_load, old_count), (new_load, new_count) = old, new
        if gap >= MAX_NOISE_GAP_S or not old_load or not new_load or not old_count or not new_count:
            return
        if old_load < MIN_NOISE_LOAD:
            return
        distance = abs(new_load - old_load * new_count / old_count) / max(new_load, old_load)
        gain = (1.0 - RETENTION) * DEVIATION_PER_DISTANCE
        self.noise = RETENTION * self.noise + gain * min(1.0, distance)

    def interval(self) -> float:
        """Returns the mean seconds between two changed reports of an endpoint, as health checks see it."""
        return min(self.observed_time / self.changes, MAX_INTERVAL_S)
