"""The lines of the extension `resume/1`; docs/design/resume.md has them in full."""

from __future__ import annotations

import re
from dataclasses import dataclass

from gradegap.resume.errors import LineError

MAX_LINE_BYTES = 4096  # with CRLF, as for all lines of the protocol
NUMBER_LIMIT = 2**53  # numbers are below
_LINE = re.compile(rb"([QAK]) (0|[1-9][0-9]{0,15})(?: ([^\r\n]*))?")
_WORD = re.compile(rb"([TX]) ([!-~]{1,400})")


@dataclass(slots=True, frozen=True)
class Request:
    """`Q N text`: from the client."""

    number: int
    text: bytes


@dataclass(slots=True, frozen=True)
class Answer:
    """`A N text`: the one final answer to request N."""

    number: int
    text: bytes


@dataclass(slots=True, frozen=True)
class Seen:
    """`K N`: the client has seen the answers up to N."""

    number: int


@dataclass(slots=True, frozen=True)
class NewToken:
    """`T token`: in place of the one before."""

    token: str


@dataclass(slots=True, frozen=True)
class Over:
    """`X reason`: the session is over, and can't be resumed."""

    reason: str


Line = Request | Answer | Seen | NewToken | Over


def encode(line: Line) -> bytes:
    """The line with its CRLF; `LineError` where it would be too long."""
    match line:
        case Request(n, text):
            made = b"Q %d %b\r\n" % (n, text)
        case Answer(n, text):
            made = b"A %d %b\r\n" % (n, text)
        case Seen(n):
            made = b"K %d\r\n" % n
        case NewToken(token):
            made = b"T %b\r\n" % token.encode()
        case Over(reason):
            made = b"X %b\r\n" % reason.encode()
    if len(made) > MAX_LINE_BYTES:
        raise LineError(f"long: a line of {len(made)} bytes")
    return made


def decode(raw: bytes) -> Line | None:
    """A line without its CRLF; None for one that is no part of the extension, as `LOAD X`."""
    if len(raw) > MAX_LINE_BYTES - 2:
        raise LineError(f"long: a line of {len(raw) + 2} bytes")
    if raw[:2] not in (b"Q ", b"A ", b"K ", b"T ", b"X "):
        return None
    if (found := _WORD.fullmatch(raw)) is not None:
        word = found[2].decode()
        return NewToken(word) if found[1] == b"T" else Over(word)
    found = _LINE.fullmatch(raw)
    number = int(found[2]) if found is not None else NUMBER_LIMIT
    if found is None or number >= NUMBER_LIMIT or (found[1] == b"K") == (found[3] is not None):
        raise LineError(f"malformed: {raw[:40]!r}")
    if found[1] == b"K":
        return Seen(number)
    if number == 0:
        raise LineError("malformed: numbers begin with 1")
    return Request(number, found[3]) if found[1] == b"Q" else Answer(number, found[3])
