"""One row of a role's table."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Row:
    """One figure of a role: its moment, quantity and value, its derivation, and the module that bears it."""

    moment: str
    quantity: str
    value: str
    derivation: str
    module: str
