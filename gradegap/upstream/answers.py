"""What endpoints answer: `UP`, the lines that end a connection, and load reports."""

from __future__ import annotations

import contextlib
import re
from dataclasses import dataclass

from gradegap.balancing.events import AttemptResult
from gradegap.balancing.settings_reader import REPORT_FIELD_NAMES
from gradegap.transport.lines import InvalidLineError, parse_number

_ESTABLISHED = re.compile(rb"UP [!-~][ -~]*")

LOAD_PREFIX = b"LOAD "
"""Begins a line with the load that its connection is for its endpoint."""

LOAD_PREFIX_BYTES = len(LOAD_PREFIX)

LOAD_UNIT = 1e-6
"""Loads are written in millionths of what the balancer reckons in."""

RESULT_BY_WORD = {
    "BYE": AttemptResult.OK,
    "ERR": AttemptResult.ERROR,
    "BUSY": AttemptResult.FULL,
    "MOVE": AttemptResult.CANCELLED,
}
"""First words of the lines that announce how a connection ends."""


@dataclass(slots=True, frozen=True)
class EndAnnouncement:
    """A line by which an endpoint announces the end of a connection."""

    result: AttemptResult
    report: dict[str, float] | None


def confirms(line: bytes) -> bool:
    """Whether an answer, without its line end, confirms that the connection is established."""
    return _ESTABLISHED.fullmatch(line) is not None


def parse_announcement(line: bytes) -> EndAnnouncement | None:
    """The end that a line announces; None for all other lines."""
    word, _, rest = line.decode("utf-8", "replace").partition(" ")
    result = RESULT_BY_WORD.get(word)
    return None if result is None else EndAnnouncement(result, parse_load_report(rest))


def parse_load_report(text: str) -> dict[str, float] | None:
    """The load report that may end an answer, as in `inflight=7,x0=0.61`; None where there is none.

    Values that are no number are skipped.
    """
    report: dict[str, float] = {}
    for pair in text.strip().split(","):
        name, sign, value = pair.partition("=")
        if sign:
            with contextlib.suppress(InvalidLineError):
                report[REPORT_FIELD_NAMES.get(name, name)] = parse_number(value)
    return report or None
