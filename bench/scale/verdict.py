"""What a verdict is, and the words that several of them use."""

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
    """What is to be said of one line."""

    requirement: str
    verdict: str
    figure: str


def held(value: float, limit: float, said: str) -> str:
    """A verdict of `said` where the limit is kept, else by what factor it is passed."""
    return said if value <= limit else f"{NOT_HELD}, by {figure(value / limit)} times"
