"""What all servers' reports together say of reports themselves: their pace, and how noisy they are.

It decides nothing. Both differ between deployments by several times and are told nowhere: one refreshes its
reports every 79 to 390 ms with a noise of 8% to 20%, another every 500 to 960 ms with next to none.
"""

from __future__ import annotations

LAG = 0.5  # s: the pace until it is learned
KEEP = 0.98  # part of what was learned that stays with each further report
NEAR = 1.5  # s between two reports of a server of which the difference is held for noise
LEAST = 0.2  # figure under which a difference says little
SPREAD = 0.886  # standard deviation over the mean distance of two draws (normal: sqrt(pi) / 2)

Raw = tuple[float | None, float | None]


class ReportStatistics:
    """Pace and noise of reports, as one proxy has seen them."""

    __slots__ = ("changes", "gaps", "noise")

    def __init__(self) -> None:
        self.gaps, self.changes = LAG, 1.0  # probed time, and the changed reports seen in it
        self.noise = 0.0  # standard deviation of a figure, as a part of it; its quick swings count as well

    def saw(self, gap: float, same: bool) -> None:
        """A report `gap` seconds after the last of that server; whether it was the same one again."""
        if gap < 4 * LAG:
            self.gaps = KEEP * self.gaps + gap
            self.changes = KEEP * self.changes + (0.0 if same else 1.0)

    def changed(self, gap: float, old: Raw, new: Raw) -> None:
        """Two reports in a row of one server, each a figure and a count of connections."""
        (before, few), (now, many) = old, new
        if gap >= NEAR or not before or not now or not few or not many or before < LEAST:
            return
        apart = abs(now - before * many / few) / max(now, before)
        self.noise = KEEP * self.noise + (1.0 - KEEP) * SPREAD * min(1.0, apart)

    def pace(self) -> float:
        """The time between two reports of a server, as probes have seen it."""
        return min(self.gaps / self.changes, 4 * LAG)
