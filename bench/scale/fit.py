"""Least-squares fits of a measured quantity over a size: a straight line, and a power law."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec


class Point(msgspec.Struct, frozen=True):
    """Median and spread of the repeats at one size."""

    size: float
    median: float
    low: float
    high: float
    repeats: int


class Linear(msgspec.Struct, frozen=True, tag="linear"):
    """The straight line value = offset + slope x size."""

    offset: float
    slope: float
    slope_error: float  # standard error of the slope; 0 if all points lie on the line
    r2: float
    largest_residual: float  # largest distance of a median from the line, in the unit of the value

    def at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.offset + self.slope * size


class Power(msgspec.Struct, frozen=True, tag="power"):
    """The power law value = factor x size ** exponent."""

    factor: float
    exponent: float
    r2: float  # R2 of the line through the logarithms
    largest_residual: float  # largest distance of a median from the fit, as a ratio of the fitted value

    def at(self, size: float) -> float:
        """Returns the value of the power law at a size."""
        return float(self.factor * size**self.exponent)


Fit = Linear | Power


def point(size: float, values: Sequence[float]) -> Point:
    """Returns the median, the lowest and the highest value of several repeats at one size."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    median = ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2
    return Point(size, median, ordered[0], ordered[-1], len(ordered))


def _line(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float, float, float, list[float]]:
    """Fits a line by least squares.

    Returns:
        Offset, slope, standard error of the slope, R2 and residuals.

    Raises:
        ValueError: there are fewer than three points, or all points have the same size.
    """
    count = len(xs)
    if count < 3 or len(set(xs)) < 2:
        raise ValueError(f"a fit needs at least three points at two or more sizes, got {count} points")
    mean_x, mean_y = sum(xs) / count, sum(ys) / count
    squared_deviation = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / squared_deviation
    offset = mean_y - slope * mean_x
    residuals = [y - offset - slope * x for x, y in zip(xs, ys, strict=True)]
    unexplained = sum(r * r for r in residuals)
    total = sum((y - mean_y) ** 2 for y in ys)
    r2 = 1.0 - unexplained / total if total > 0 else 1.0
    return offset, slope, math.sqrt(unexplained / (count - 2) / squared_deviation), r2, residuals


def linear(points: Sequence[Point]) -> Linear:
    """Fits a straight line to the medians, each with the same weight."""
    offset, slope, error, r2, residuals = _line([p.size for p in points], [p.median for p in points])
    return Linear(offset, slope, error, r2, max(abs(r) for r in residuals))


def power(points: Sequence[Point]) -> Power:
    """Fits a power law to the medians, as a straight line through the logarithms."""
    xs, ys = [math.log(p.size) for p in points], [math.log(p.median) for p in points]
    offset, exponent, _, r2, residuals = _line(xs, ys)
    return Power(math.exp(offset), exponent, r2, max(abs(math.expm1(r)) for r in residuals))
