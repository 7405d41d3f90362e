"""Runs the cases, and says what came of each as a table or JSON."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from conformance.quic.case import Case, NotApplicableError, Target
from conformance.quic.cases import CASES


@dataclass(slots=True, frozen=True)
class Result:
    """What one case came to."""

    section: str
    must: str
    outcome: str  # pass, fail, not applicable
    why: str
    seconds: float


def run(
    target: Target, cases: Iterable[Case] = (), told: Callable[[Result], None] = lambda r: None
) -> list[Result]:
    """Each case on a connection of its own; one that fails costs no other."""
    found = []
    for each in list(cases) or CASES:
        began = time.monotonic()
        outcome, why = "pass", ""
        try:
            each.run(target)
        except NotApplicableError as error:
            outcome, why = "not applicable", str(error)
        except (AssertionError, OSError, ValueError) as error:
            outcome, why = "fail", str(error) or type(error).__name__
        made = Result(each.section, each.requirement, outcome, why, round(time.monotonic() - began, 2))
        told(made)
        found.append(made)
    return found


def line(result: Result) -> str:
    """One result as a line of the table."""
    said = f"{result.outcome:14} {result.section:11} {result.must}"
    return f"{said} ({result.why})" if result.why else said


def counted(results: Iterable[Result]) -> str:
    """How many cases had each outcome."""
    count = Counter(r.outcome for r in results)
    return ", ".join(f"{count[k]} {k}" for k in ("pass", "fail", "not applicable"))
