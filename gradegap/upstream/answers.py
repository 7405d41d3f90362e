"""Parser of endpoints' answers: `UP`, the lines that announce the end of a connection, and load reports."""

from __future__ import annotations

import contextlib
import re
from dataclasses import dataclass

from gradegap.balancing.events import AttemptResult
from gradegap.balancing.settings_reader import REPORT_FIELD_NAMES
from gradegap.transport.lines import InvalidLineError, parse_number

_CONFIRMATION = re.compile(rb"UP [!-~][ -~]*")

LOAD_PREFIX = b"LOAD "
"""Prefix of a line in which an endpoint reports the load of its connection."""

LOAD_PREFIX_BYTES = len(LOAD_PREFIX)

LOAD_UNIT = 1e-6
"""Unit of loads on the wire, as a fraction of the balancer's unit."""

RESULT_BY_WORD = {
    "BYE": AttemptResult.OK,
    "ERR": AttemptResult.ERROR,
    "BUSY": AttemptResult.FULL,
    "MOVE": AttemptResult.CANCELLED,
}
"""Results by the first word of the line that announces the end of a connection."""


@dataclass(slots=True, frozen=True)
class EndAnnouncement:
    """The content of a line with which an endpoint announces the end of a connection."""

    result: AttemptResult
    report: dict[str, float] | None


def confirms(line: bytes) -> bool:
    """Return whether an answer, given without its line end, confirms the connection."""
    return _CONFIRMATION.fullmatch(line) is not None


def parse_announcement(line: bytes) -> EndAnnouncement | None:
    """Return the announcement in a line, or None if the line is of another kind."""
    word, _, rest = line.decode("utf-8", "replace").partition(" ")
    result = RESULT_BY_WORD.get(word)
    return None if result is None else EndAnnouncement(result, parse_load_report(rest))


def parse_load_report(text: str) -> dict[str, float] | None:
    """Parse the optional load report at the end of an answer, such as `inflight=7,x0=0.61`.

    Values that are not numbers are skipped. Returns None if there are no values.
    """
    report: dict[str, float] = {}
    for pair in text.strip().split(","):
        name, separator, value = pair.partition("=")
        if separator:
            with contextlib.suppress(InvalidLineError):
                report[REPORT_FIELD_NAMES.get(name, name)] = parse_number(value)
    return report or None
