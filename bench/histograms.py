"""Latency histograms in microseconds, and what is printed of them."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Percentiles in milliseconds of a histogram of microseconds."""
    return {f"p{p:g}_ms": round(histogram.get_value_at_percentile(p) / 1000, 2) for p in (50, 99, 99.9)}


def new_histogram() -> HdrHistogram:
    """A histogram of microseconds, up to a minute."""
    return HdrHistogram(1, 60_000_000, 3)
