"""The verdict on one requirement, and the texts that several verdicts share."""

from __future__ import annotations

from dataclasses import dataclass

from bench.scale.slope_book import figure

FULL_SIZE = "run at full size"
BY_SLOPE = "holds by slope"
NOT_HELD = "does not hold"
NOT_RUN = "not run at full size"
NOT_OURS = "not a node's matter"


@dataclass(frozen=True)
class Verdict:
    """The verdict on one requirement, with the figures that support it."""

    requirement: str
    verdict: str
    figure: str


def held(value: float, limit: float, said: str) -> str:
    """Returns `said` if `value` is within `limit`, else the factor by which it exceeds the limit."""
    return said if value <= limit else f"{NOT_HELD}, by {figure(value / limit)} times"
