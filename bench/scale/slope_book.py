"""The committed slopes, looked up by name and carried out to a size, with the words that say how."""

from __future__ import annotations

import math
from dataclasses import dataclass
from pathlib import Path

from bench.scale.fit import Linear
from bench.scale.results_file import RESULTS, Measurement, SlopeRun, read

FLAT_ERRORS = 2.0  # a slope within so many of its standard errors counts as none


class MissingResultError(Exception):
    """A figure of the page has no run that gives it."""


@dataclass(frozen=True)
class Estimate:
    """A value with how it was worked out."""

    value: float
    derivation: str


def figure(value: float) -> str:
    """Three digits, with thousands set apart."""
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
    """With the unit that fits."""
    for factor, unit in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
        if abs(value) >= factor:
            return f"{figure(value / factor)} {unit}"
    return f"{figure(value)} B"


def share(value: float) -> str:
    """A share of a core, or of a limit, in per cent."""
    if math.isinf(value):
        return "never"
    return f"{figure(value * 100)}%"


def is_flat(each: Measurement) -> bool:
    """Whether no growth is shown beyond the error of the slope; what seems to fall with the size is noise."""
    return isinstance(each.fit, Linear) and each.fit.slope <= FLAT_ERRORS * each.fit.slope_error


class SlopeBook:
    """All measurements of the committed runs."""

    def __init__(self, folder: Path = RESULTS) -> None:
        self.runs: dict[str, SlopeRun] = {}
        self.measurements: dict[str, Measurement] = {}
        for path in sorted(folder.glob("slopes-*.json")):
            run = read(path)
            self.runs[run.part] = run
            self.measurements |= {each.name: each for each in run.measurements}

    def get(self, name: str) -> Measurement:
        """A measurement by its name."""
        if name not in self.measurements:
            raise MissingResultError(f"no run has measured {name}: see `python -m bench.scale.slopes parts`")
        return self.measurements[name]

    def at(self, name: str, size: float) -> Estimate:
        """The value at a size: as measured there, else by the fit, or the largest median where none grows."""
        each = self.get(name)
        if measured := next((p for p in each.points if p.size == size), None):
            return Estimate(measured.median, f"{name}: {figure(measured.median)} {each.unit}, measured")
        if is_flat(each):
            largest = max(p.median for p in each.points)
            return Estimate(largest, f"{name}: {figure(largest)} {each.unit}, flat within its error")
        value = each.fit.at(size)
        if isinstance(each.fit, Linear):
            line = f"{figure(each.fit.offset)} + {each.fit.slope:.4g} × {figure(size)}"
        else:
            line = f"{each.fit.factor:.3g} × {figure(size)}^{each.fit.exponent:.2f}"
        return Estimate(value, f"{name}: {line} = {figure(value)} {each.unit}{self._carried(each, size)}")

    def _carried(self, each: Measurement, size: float) -> str:
        last = max(p.size for p in each.points)
        return (
            f", carried {figure(size / last)} times beyond the largest measured" if size > last * 1.05 else ""
        )

    def size_at(self, name: str, value: float) -> float:
        """The size at which the fit reaches a value; infinite where no growth is shown."""
        each = self.get(name)
        fit = each.fit
        if is_flat(each):
            return math.inf
        if isinstance(fit, Linear):
            return (value - fit.offset) / fit.slope if fit.slope > 0 else math.inf
        return float((value / fit.factor) ** (1.0 / fit.exponent))

    def largest(self, name: str) -> float:
        """The largest single value that any repeat gave."""
        return max(p.high for p in self.get(name).points)
