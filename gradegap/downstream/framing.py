"""Lines of the platform's protocol: the first line of a client, and where lines end in what passes by."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gradegap.proxy.request import ConnectionRequest
from gradegap.transport.lines import LINE_MAX_BYTES, InvalidLineError, parse_number

LONGEST_WAIT = 10 * 24 * 3600.0  # s; timers take no more

LARGEST_WAIT = 2.0**32  # ms that a client may say it waits
LARGEST_LOAD = 1e15


@dataclass(slots=True, frozen=True)
class Opening:
    """A client's first line: what it asks for, and the bytes as they came, before and after its wait."""

    request: ConnectionRequest
    before: bytes
    after: bytes

    def with_wait(self, wait: float) -> bytes:
        """The line as it goes on to a backend: unchanged, but for how long the node will wait."""
        return b"%b%d%b" % (self.before, max(1, int(wait * 1000)), self.after)


def parse_opening(line: bytes) -> Opening:
    """`OPEN id key name=value,...` with its CRLF.

    Guards against lines that a save server can't use, which it must never see: a wrong form, control
    characters, a name given twice, figures that are none. Names that are not known here go on as they are.
    """
    try:
        text = line.decode("utf-8")
    except UnicodeDecodeError:
        raise InvalidLineError("not UTF-8") from None
    if not text.endswith("\r\n") or not text[:-2].isprintable():
        raise InvalidLineError("no CRLF at its end, or control characters")
    parts = text[:-2].split(" ")
    if len(parts) != 4 or parts[0] != "OPEN" or not parts[1] or not parts[2]:
        raise InvalidLineError("not OPEN with an id, a key and a list of values")
    values: dict[str, str] = {}
    for pair in parts[3].split(","):
        name, sign, value = pair.partition("=")
        if not sign or not name:
            raise InvalidLineError(f"{pair[:40]!r} is no name and value")
        if name in values:
            raise InvalidLineError(f"{name[:40]!r} twice")
        values[name] = value
    if "c" not in values or "d" not in values:
        raise InvalidLineError("no class or no wait")
    # A connection from before the run waits for hours, longer than a timer can.
    wait = min(parse_number(values["d"], LARGEST_WAIT) / 1000, LONGEST_WAIT)
    load = parse_number(values.get("h", "0"), LARGEST_LOAD) * 1e-6
    ask = ConnectionRequest(
        values["c"],
        wait,
        parts[2],
        values.get("g", ""),
        load,
        values.get("r") == "1",
        values.get("again") == "1",
        values.get("at", ""),
        parts[1],
        values.get("t", ""),
    )
    fields = text.rfind(" ") + 1
    at = fields if parts[3].startswith("d=") else text.index(",d=", fields) + 1
    return Opening(ask, text[: at + 2].encode(), text[at + 2 + len(values["d"]) :].encode())


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
        self.part = lines.pop()[-LINE_MAX_BYTES:]
        for each in lines:
            self.line(each.rstrip(b"\r"))
