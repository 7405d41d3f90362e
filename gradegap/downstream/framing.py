"""Lines of the platform's protocol: the parser of a client's first line, and a scanner for line ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gradegap.proxy.request import ConnectionRequest
from gradegap.transport.lines import LINE_MAX_BYTES, InvalidLineError, parse_number

WAIT_MAX_S = 10 * 24 * 3600.0
"""Upper bound of the wait that is used; event loop timers do not support longer ones."""

WAIT_MAX_MS = 2.0**32
"""Longest wait that a client may request."""

LOAD_MAX_MILLIONTHS = 1e15
"""Largest expected load that a client may send."""

LOAD_UNIT = 1e-6
"""Unit of loads in first lines, as a fraction of the balancer's unit."""

_QUOTED_MAX_CHARS = 40  # limit on the client data quoted in an error message


@dataclass(slots=True, frozen=True)
class Opening:
    """A client's first line: the parsed request, and the bytes before and after the value of its wait."""

    request: ConnectionRequest
    before_wait: bytes
    after_wait: bytes

    def with_wait(self, wait: float) -> bytes:
        """Return the line to forward: unchanged except for the wait, which is `wait` s."""
        return b"%b%d%b" % (self.before_wait, max(1, int(wait * 1000)), self.after_wait)


def parse_opening(line: bytes) -> Opening:
    """Parse `OPEN id key name=value,...` with its CRLF.

    Invalid lines must never reach an endpoint: lines of another form, with control characters, with a name
    given twice or with invalid numbers. Values under unknown names are forwarded unchanged.

    Raises:
        InvalidLineError: The line is invalid.
    """
    text = _decode(line)
    parts = text[:-2].split(" ")
    if len(parts) != 4 or parts[0] != "OPEN" or not parts[1] or not parts[2]:
        raise InvalidLineError("first line must be OPEN with an id, a key and a list of values")
    values = _parse_values(parts[3])
    if "c" not in values or "d" not in values:
        raise InvalidLineError("first line must have a class (c=) and a wait (d=)")
    # The wait of an inherited connection may be hours, which is longer than timers support.
    wait_s = min(parse_number(values["d"], WAIT_MAX_MS) / 1000, WAIT_MAX_S)
    load = parse_number(values.get("h", "0"), LOAD_MAX_MILLIONTHS) * LOAD_UNIT
    request = ConnectionRequest(
        values["c"],
        wait_s,
        parts[2],
        values.get("g", ""),
        load,
        values.get("r") == "1",
        values.get("again") == "1",
        values.get("at", ""),
        parts[1],
        values.get("t", ""),
    )
    values_at = text.rfind(" ") + 1
    wait_at = values_at if parts[3].startswith("d=") else text.index(",d=", values_at) + 1
    return Opening(request, text[: wait_at + 2].encode(), text[wait_at + 2 + len(values["d"]) :].encode())


def _decode(line: bytes) -> str:
    try:
        text = line.decode("utf-8")
    except UnicodeDecodeError:
        raise InvalidLineError("first line is not valid UTF-8") from None
    if not text.endswith("\r\n") or not text[:-2].isprintable():
        raise InvalidLineError("first line must end with CRLF and contain no control characters")
    return text


def _parse_values(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for pair in text.split(","):
        name, separator, value = pair.partition("=")
        if not separator or not name:
            raise InvalidLineError(f"first line: expected name=value, got {pair[:_QUOTED_MAX_CHARS]!r}")
        if name in values:
            raise InvalidLineError(f"first line: duplicate name {name[:_QUOTED_MAX_CHARS]!r}")
        values[name] = value
    return values


class LineScanner:
    """Finds the lines in a stream of bytes that is relayed without buffering."""

    __slots__ = ("on_line", "partial")

    def __init__(self, on_line: Callable[[bytes], None]) -> None:
        self.on_line = on_line
        self.partial = b""
        """The bytes so far of a line whose end has not arrived, without its start if it is over-long."""

    @property
    def at_line_end(self) -> bool:
        """Whether the bytes so far end with a complete line."""
        return not self.partial

    def feed(self, data: bytes) -> None:
        """Pass each line that `data` completes to `on_line`, without its line end."""
        lines = data.split(b"\n")
        lines[0] = self.partial + lines[0]
        # Guards against an endless line filling the memory: only the last part of an over-long line is kept.
        self.partial = lines.pop()[-LINE_MAX_BYTES:]
        for line in lines:
            self.on_line(line.rstrip(b"\r"))
