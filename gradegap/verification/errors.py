"""What the checkers raise and report."""

from __future__ import annotations

from typing import NamedTuple


class InvariantError(AssertionError):
    """An invariant that does not hold; the text begins with its name."""


class SearchLimitError(RuntimeError):
    """A history is too large to be searched for an order that explains it."""


class Violation(NamedTuple):
    """The seed of a run that broke an invariant, and the error's text."""

    seed: int
    text: str
