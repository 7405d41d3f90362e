"""Lines of the platform's protocol: a client's first line, and where lines end in a stream of bytes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gradegap.proxy.request import ConnectionRequest
from gradegap.transport.lines import LINE_MAX_BYTES, InvalidLineError, parse_number

WAIT_MAX_S = 10 * 24 * 3600.0
"""Longest wait that is used; timers take no more."""

WAIT_MAX_MS = 2.0**32
"""Longest wait that a client may name."""

LOAD_MAX_MILLIONTHS = 1e15
"""Largest load that a client may name."""

LOAD_UNIT = 1e-6

_QUOTED_MAX_CHARS = 40  # of what a client sent, in an error's text


@dataclass(slots=True, frozen=True)
class Opening:
    """A client's first line: its request, and the bytes as they came, before and after its wait."""

    request: ConnectionRequest
    before_wait: bytes
    after_wait: bytes

    def with_wait(self, wait: float) -> bytes:
        """The line as it is forwarded: unchanged, but for the seconds that the node will wait."""
        return b"%b%d%b" % (self.before_wait, max(1, int(wait * 1000)), self.after_wait)


def parse_opening(line: bytes) -> Opening:
    """`OPEN id key name=value,...` with its CRLF; raises `InvalidLineError`.

    Guards against lines that an endpoint can't use, which it must never see: a wrong form, control
    characters, a name given twice, numbers that are none. Names that are not known here are forwarded as
    they are.
    """
    text = _decode(line)
    parts = text[:-2].split(" ")
    if len(parts) != 4 or parts[0] != "OPEN" or not parts[1] or not parts[2]:
        raise InvalidLineError("not OPEN with an id, a key and a list of values")
    values = _parse_values(parts[3])
    if "c" not in values or "d" not in values:
        raise InvalidLineError("no class or no wait")
    # A connection from before the run waits for hours, longer than a timer can.
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
        raise InvalidLineError("not UTF-8") from None
    if not text.endswith("\r\n") or not text[:-2].isprintable():
        raise InvalidLineError("no CRLF at its end, or control characters")
    return text


def _parse_values(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for pair in text.split(","):
        name, sign, value = pair.partition("=")
        if not sign or not name:
            raise InvalidLineError(f"{pair[:_QUOTED_MAX_CHARS]!r} is no name and value")
        if name in values:
            raise InvalidLineError(f"{name[:_QUOTED_MAX_CHARS]!r} twice")
        values[name] = value
    return values


class LineScanner:
    """Finds the lines in bytes that go by, without holding them back."""

    __slots__ = ("on_line", "partial")

    def __init__(self, on_line: Callable[[bytes], None]) -> None:
        self.on_line = on_line
        self.partial = b""
        """Of the line whose end has not come yet."""

    @property
    def at_line_end(self) -> bool:
        """Whether all that went by ended with a complete line."""
        return not self.partial

    def feed(self, data: bytes) -> None:
        """Pass each line that is complete now to `on_line`, without its line end."""
        lines = data.split(b"\n")
        lines[0] = self.partial + lines[0]
        # Guards against a line without end filling memory: what is over-long is passed on, not kept.
        self.partial = lines.pop()[-LINE_MAX_BYTES:]
        for line in lines:
            self.on_line(line.rstrip(b"\r"))
