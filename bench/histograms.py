"""Latency histograms in microseconds, and the percentiles that benchmarks print."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Returns the percentiles, in milliseconds, of a histogram of microseconds."""
    return {f"p{p:g}_ms": round(histogram.get_value_at_percentile(p) / 1000, 2) for p in (50, 99, 99.9)}


def new_histogram() -> HdrHistogram:
    """Returns a histogram of microseconds with a largest value of one minute."""
    return HdrHistogram(1, 60_000_000, 3)
