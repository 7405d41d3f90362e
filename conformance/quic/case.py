"""What a case is, and lists of cases that a decorator fills."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from conformance.quic.client import Address


class NotApplicableError(Exception):
    """The server lacks the optional feature that a case is about; the message names it."""


@dataclass(slots=True, frozen=True)
class Target:
    """The server under test, and the application protocol that it speaks."""

    address: Address
    alpn: str


CaseFunction = Callable[[Target], None]


@dataclass(slots=True, frozen=True)
class Case:
    """One requirement, the section of the RFCs that it is from, and the function that checks it.

    The function raises `AssertionError`, `OSError` or `ValueError` where the server does not meet it.
    """

    section: str
    requirement: str
    run: CaseFunction


class CaseList(list[Case]):
    """The cases of one module, in the order of their definition."""

    def add(self, section: str, requirement: str) -> Callable[[CaseFunction], CaseFunction]:
        """Decorate a function that checks a requirement of a section, as `9000 19.7` for RFC 9000, 19.7."""

        def register(run: CaseFunction) -> CaseFunction:
            self.append(Case(section, requirement, run))
            return run

        return register
