"""Lookup of the committed measurements by name, with extrapolation to a size and its derivation."""

from __future__ import annotations

import math
from dataclasses import dataclass
from pathlib import Path

from bench.scale.fit import Linear
from bench.scale.results_file import RESULTS, Measurement, SlopeRun, read

# A slope of at most this many of its standard errors counts as no growth.
FLAT_SLOPE_ERROR_COUNT = 2.0


class MissingResultError(Exception):
    """No committed run provides a figure that the page needs."""


@dataclass(frozen=True)
class Estimate:
    """A value, and a text that describes how the value was derived."""

    value: float
    derivation: str


def figure(value: float) -> str:
    """Formats a number with three significant digits and thousands separators."""
    if value == 0:
        return "0"
    if math.isinf(value):
        return "no bound shown"
    size = abs(value)
    if size >= 100:
        digits = 3 - len(str(int(size)))
        return f"{round(value, min(0, digits)):,.0f}"
    return f"{value:.3g}"


def in_bytes(value: float) -> str:
    """Formats a number of bytes in B, KB, MB or GB."""
    for factor, unit in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
        if abs(value) >= factor:
            return f"{figure(value / factor)} {unit}"
    return f"{figure(value)} B"


def share(value: float) -> str:
    """Formats a ratio, such as the used part of a core or of a limit, in per cent."""
    if math.isinf(value):
        return "never"
    return f"{figure(value * 100)}%"


def is_flat(measurement: Measurement) -> bool:
    """Returns whether the measurement shows no growth beyond the error of its slope.

    A negative slope counts as flat as well, because values that fall with the size are noise.
    """
    return (
        isinstance(measurement.fit, Linear)
        and measurement.fit.slope <= FLAT_SLOPE_ERROR_COUNT * measurement.fit.slope_error
    )


class SlopeBook:
    """All measurements of the committed runs, by name."""

    def __init__(self, folder: Path = RESULTS) -> None:
        self.runs: dict[str, SlopeRun] = {}
        self.measurements: dict[str, Measurement] = {}
        for path in sorted(folder.glob("slopes-*.json")):
            run = read(path)
            self.runs[run.part] = run
            self.measurements |= {measurement.name: measurement for measurement in run.measurements}

    def get(self, name: str) -> Measurement:
        """Returns a measurement by its name.

        Raises:
            MissingResultError: no committed run contains the measurement.
        """
        if name not in self.measurements:
            raise MissingResultError(
                f"no committed run contains the measurement {name}: see `python -m bench.scale.slopes parts`"
            )
        return self.measurements[name]

    def at(self, name: str, size: float) -> Estimate:
        """Returns the value at a size, with its derivation.

        The value is the median measured at that size, or else the largest median if the measurement shows no
        growth, or else the value of the fit.
        """
        measurement = self.get(name)
        if measured := next((p for p in measurement.points if p.size == size), None):
            return Estimate(
                measured.median, f"{name}: {figure(measured.median)} {measurement.unit}, measured"
            )
        if is_flat(measurement):
            largest = max(p.median for p in measurement.points)
            return Estimate(largest, f"{name}: {figure(largest)} {measurement.unit}, flat within its error")
        value = measurement.fit.at(size)
        if isinstance(measurement.fit, Linear):
            line = f"{figure(measurement.fit.offset)} + {measurement.fit.slope:.4g} × {figure(size)}"
        else:
            line = f"{measurement.fit.factor:.3g} × {figure(size)}^{measurement.fit.exponent:.2f}"
        return Estimate(
            value,
            f"{name}: {line} = {figure(value)} {measurement.unit}{self._extrapolation(measurement, size)}",
        )

    def _extrapolation(self, measurement: Measurement, size: float) -> str:
        largest_size = max(p.size for p in measurement.points)
        return (
            f", carried {figure(size / largest_size)} times beyond the largest measured"
            if size > largest_size * 1.05
            else ""
        )

    def size_at(self, name: str, value: float) -> float:
        """Returns the size at which the fit reaches a value, or infinity if no growth is measured."""
        measurement = self.get(name)
        fit = measurement.fit
        if is_flat(measurement):
            return math.inf
        if isinstance(fit, Linear):
            return (value - fit.offset) / fit.slope if fit.slope > 0 else math.inf
        return float((value / fit.factor) ** (1.0 / fit.exponent))

    def largest(self, name: str) -> float:
        """Returns the largest value of all repeats at all sizes."""
        return max(p.high for p in self.get(name).points)
