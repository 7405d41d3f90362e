"""The types of conformance cases and of the server under test, and a decorator that registers cases."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from conformance.quic.client import Address


class NotApplicableError(Exception):
    """The server lacks the optional feature that a case tests; the message names the feature."""


@dataclass(slots=True, frozen=True)
class Target:
    """The server under test and its application protocol (ALPN)."""

    address: Address
    alpn: str


CaseFunction = Callable[[Target], None]


@dataclass(slots=True, frozen=True)
class Case:
    """One requirement, its RFC and section, and the function that checks it.

    The function raises `AssertionError`, `OSError` or `ValueError` if the server violates the requirement.
    """

    section: str
    requirement: str
    run: CaseFunction


class CaseList(list[Case]):
    """The cases of one module, in the order of their definition."""

    def add(self, section: str, requirement: str) -> Callable[[CaseFunction], CaseFunction]:
        """Register the decorated function as the check of a requirement; `9000 19.7` is RFC 9000, 19.7."""

        def register(run: CaseFunction) -> CaseFunction:
            self.append(Case(section, requirement, run))
            return run

        return register
