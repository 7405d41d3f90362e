"""A line of a role's table."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Row:
    """One figure of a role."""

    moment: str
    quantity: str
    value: str
    derivation: str
    module: str
