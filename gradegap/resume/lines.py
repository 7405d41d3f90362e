"""Encodes and decodes the lines of the extension `resume/1`, which docs/design/resume.md specifies."""

from __future__ import annotations

import re
from dataclasses import dataclass

from gradegap.resume.errors import LineError

MAX_LINE_BYTES = 4096  # including CRLF; the limit of the base protocol
NUMBER_LIMIT = 2**53  # request and answer numbers must be below this limit
_NUMBERED_LINE = re.compile(rb"([QAK]) (0|[1-9][0-9]{0,15})(?: ([^\r\n]*))?")
_WORD_LINE = re.compile(rb"([TX]) ([!-~]{1,400})")


@dataclass(slots=True, frozen=True)
class Request:
    """`Q N text`: a request from the client."""

    number: int
    text: bytes


@dataclass(slots=True, frozen=True)
class Answer:
    """`A N text`: the only and final answer to request N."""

    number: int
    text: bytes


@dataclass(slots=True, frozen=True)
class Acknowledgement:
    """`K N`: the client has received the answers up to N."""

    number: int


@dataclass(slots=True, frozen=True)
class NewToken:
    """`T token`: a new token that replaces the client's previous one."""

    token: str


@dataclass(slots=True, frozen=True)
class SessionEnded:
    """`X reason`: the session has ended and can't be resumed."""

    reason: str


Line = Request | Answer | Acknowledgement | NewToken | SessionEnded


def encode(line: Line) -> bytes:
    """Return the line with its CRLF.

    Raises:
        LineError: if the line is longer than `MAX_LINE_BYTES`.
    """
    match line:
        case Request(n, text):
            line_bytes = b"Q %d %b\r\n" % (n, text)
        case Answer(n, text):
            line_bytes = b"A %d %b\r\n" % (n, text)
        case Acknowledgement(n):
            line_bytes = b"K %d\r\n" % n
        case NewToken(token):
            line_bytes = b"T %b\r\n" % token.encode()
        case SessionEnded(reason):
            line_bytes = b"X %b\r\n" % reason.encode()
    if len(line_bytes) > MAX_LINE_BYTES:
        raise LineError(f"long: line has {len(line_bytes)} bytes, at most {MAX_LINE_BYTES} are allowed")
    return line_bytes


def decode(raw: bytes) -> Line | None:
    """Parse a line, given without its CRLF; None if it does not belong to the extension, such as `LOAD X`.

    Raises:
        LineError: if the line is too long or is not a valid line of the extension.
    """
    if len(raw) > MAX_LINE_BYTES - 2:
        raise LineError(f"long: line has {len(raw) + 2} bytes, at most {MAX_LINE_BYTES} are allowed")
    if raw[:2] not in (b"Q ", b"A ", b"K ", b"T ", b"X "):
        return None
    if (match := _WORD_LINE.fullmatch(raw)) is not None:
        word = match[2].decode()
        return NewToken(word) if match[1] == b"T" else SessionEnded(word)
    match = _NUMBERED_LINE.fullmatch(raw)
    number = int(match[2]) if match is not None else NUMBER_LIMIT
    if match is None or number >= NUMBER_LIMIT or (match[1] == b"K") == (match[3] is not None):
        raise LineError(f"malformed: invalid line {raw[:40]!r}")
    if match[1] == b"K":
        return Acknowledgement(number)
    if number == 0:
        raise LineError("malformed: the number of a request or answer must be at least 1, got 0")
    return Request(number, match[3]) if match[1] == b"Q" else Answer(number, match[3])
