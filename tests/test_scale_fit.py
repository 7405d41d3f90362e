"""Tests of the least-squares fits that the capacity page is computed from."""

from __future__ import annotations

import pytest

from bench.scale.fit import linear, point, power


def test_linear_fit_returns_coefficients_and_standard_error() -> None:
    exact = linear([point(x, [7.0 + 0.5 * x]) for x in (10, 100, 1000)])
    assert exact.offset == pytest.approx(7.0)
    assert exact.slope == pytest.approx(0.5)
    assert exact.r2 == pytest.approx(1.0)
    assert exact.largest_residual == pytest.approx(0.0, abs=1e-9)
    # Calculated by hand: mean 2, slope 0.5, residuals 1/6, -1/3, 1/6, standard error sqrt(1/6 / 1 / 2).
    inexact = linear([point(1, [5.0 / 3]), point(2, [5.0 / 3]), point(3, [8.0 / 3])])
    assert inexact.slope == pytest.approx(0.5)
    assert inexact.largest_residual == pytest.approx(1 / 3)
    assert inexact.slope_error == pytest.approx((1 / 6 / 2) ** 0.5)


def test_power_fit_returns_coefficients() -> None:
    fitted = power([point(x, [0.02 * x**1.5]) for x in (60, 600, 6000)])
    assert fitted.factor == pytest.approx(0.02)
    assert fitted.exponent == pytest.approx(1.5)
    assert fitted.at(6000) == pytest.approx(0.02 * 6000**1.5)


def test_fit_of_two_points_raises_value_error() -> None:
    with pytest.raises(ValueError, match="at least three points"):
        linear([point(1, [1.0]), point(2, [2.0])])


def test_point_has_median_and_spread_of_repeats() -> None:
    repeats_point = point(5, [4.0, 1.0, 3.0, 2.0])
    assert (repeats_point.median, repeats_point.low, repeats_point.high, repeats_point.repeats) == (
        2.5,
        1.0,
        4.0,
        4,
    )
