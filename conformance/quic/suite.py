"""Runs cases against a server and reports their results as lines or JSON."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable
from enum import StrEnum

import msgspec

from conformance.quic.case import Case, NotApplicableError, Target
from conformance.quic.cases import CASES


class Outcome(StrEnum):
    """The outcome of a case; the values are those of the JSON report."""

    PASS = "pass"
    FAIL = "fail"
    NOT_APPLICABLE = "not applicable"


class Result(msgspec.Struct, frozen=True):
    """The result of one case: an item of the JSON report, with the encoded names as its keys."""

    section: str
    requirement: str = msgspec.field(name="must")
    outcome: Outcome
    reason: str = msgspec.field(name="why")  # empty if the case passed
    seconds: float


def ignore_result(_: Result) -> None:
    """Report nothing while the suite runs."""


def run(
    target: Target, cases: Iterable[Case] = (), on_result: Callable[[Result], None] = ignore_result
) -> list[Result]:
    """Run the given cases, or all if none are given; a failed case does not stop the run.

    `on_result` is called with each result as soon as its case has ended.
    """
    results = []
    for case in list(cases) or CASES:
        result = run_case(target, case)
        on_result(result)
        results.append(result)
    return results


def run_case(target: Target, case: Case) -> Result:
    """Run one case and return its result."""
    began = time.monotonic()
    outcome, reason = Outcome.PASS, ""
    try:
        case.run(target)
    except NotApplicableError as error:
        outcome, reason = Outcome.NOT_APPLICABLE, str(error)
    except (AssertionError, OSError, ValueError) as error:
        outcome, reason = Outcome.FAIL, str(error) or type(error).__name__
    return Result(case.section, case.requirement, outcome, reason, round(time.monotonic() - began, 2))


def result_line(result: Result) -> str:
    """Return a result as a line of the plain report."""
    line = f"{result.outcome:14} {result.section:11} {result.requirement}"
    return f"{line} ({result.reason})" if result.reason else line


def summary_line(results: Iterable[Result]) -> str:
    """Return a line with the number of cases of each outcome."""
    counts = Counter(result.outcome for result in results)
    return ", ".join(f"{counts[outcome]} {outcome}" for outcome in Outcome)
