"""Lines of the platform's protocol: the first line of a client, and where lines end in what passes by."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import dataclass

from gradegap.core import Ask
from gradegap.settings import FIELDS

LONGEST = 4096  # bytes of a line, its end included
LONGEST_WAIT = 10 * 24 * 3600.0  # s; timers take no more

_WAIT = re.compile(rb"(?<=[ ,])d=[0-9.]+")


class BadLine(ValueError):
    """A first line that cannot be read."""


@dataclass(slots=True, frozen=True)
class Opening:
    """A client's first line: what it asks for, and the bytes as they came."""

    ask: Ask
    line: bytes

    def with_wait(self, wait: float) -> bytes:
        """The line as it goes on to a backend: unchanged, but for how long the node will wait."""
        return _WAIT.sub(b"d=%d" % max(1, int(wait * 1000)), self.line, count=1)


def parse_opening(line: bytes) -> Opening:
    """`OPEN id key name=value,...` with its CRLF."""
    try:
        text = line.decode("utf-8")
    except UnicodeDecodeError:
        raise BadLine("not UTF-8") from None
    parts = text.rstrip("\r\n").split(" ")
    if len(parts) != 4 or parts[0] != "OPEN" or not parts[1] or not parts[2]:
        raise BadLine("not OPEN with an id, a key and a list of values")
    values: dict[str, str] = {}
    for pair in parts[3].split(","):
        name, sign, value = pair.partition("=")
        if not sign or not name:
            raise BadLine(f"{pair[:40]!r} is no name and value")
        values[name] = value
    if "c" not in values:
        raise BadLine("no class")
    try:
        wait = min(float(values["d"]) / 1000, LONGEST_WAIT) if "d" in values else None
        load = float(values.get("h", 0)) * 1e-6
    except ValueError:
        raise BadLine("a figure that is no number") from None
    # A connection from before the run waits for hours: only what is no time at all is bad.
    if wait is not None and not 0 <= wait < math.inf:
        raise BadLine("a wait out of range")
    ask = Ask(
        values["c"],
        wait,
        parts[2],
        values.get("g", ""),
        load,
        values.get("r") == "1",
        values.get("again") == "1",
        values.get("at", ""),
    )
    return Opening(ask, line)


def parse_report(text: str) -> dict[str, float] | None:
    """The load report that may end an answer: `inflight=7,x0=0.61`. What is no number is skipped."""
    report: dict[str, float] = {}
    for pair in text.strip().split(","):
        name, sign, value = pair.partition("=")
        try:
            if sign:
                report[FIELDS.get(name, name)] = float(value)
        except ValueError:
            continue
    return report or None


class LineWatch:
    """Sees the lines in bytes that pass by, without holding them back."""

    __slots__ = ("line", "part")

    def __init__(self, line: Callable[[bytes], None]) -> None:
        self.line = line
        self.part = b""

    @property
    def between(self) -> bool:
        """Whether all that passed ended with a whole line."""
        return not self.part

    def feed(self, data: bytes) -> None:
        lines = data.split(b"\n")
        lines[0] = self.part + lines[0]
        # Guards against a line without end filling memory: what is over-long is passed on, not kept.
        self.part = lines.pop()[-LONGEST:]
        for each in lines:
            self.line(each.rstrip(b"\r"))
