"""Errors that the checkers raise, and the violations that they report."""

from __future__ import annotations

from typing import NamedTuple


class InvariantError(AssertionError):
    """An invariant does not hold. The message begins with the name of the invariant and a colon."""


class SearchLimitError(RuntimeError):
    """The search for a linearization of a history exceeded its limit of steps."""


class Violation(NamedTuple):
    """The seed of a run that violated an invariant, and the message of the error."""

    seed: int
    text: str
