"""What the lines of the platform's protocol have in common on both sides: their length and their numbers."""

from __future__ import annotations

import math
import re

LINE_MAX_BYTES = 4096
"""Of a line, its end included."""

_QUOTED_MAX_CHARS = 40  # of what a client or an endpoint sent, in an error's text

# Plain decimal: no sign, nan, inf or underscore, as float() would take.
_NUMBER = re.compile(r"[0-9]{1,16}(?:\.[0-9]{1,18})?(?:[eE][+-]?[0-9]{1,2})?")


class InvalidLineError(ValueError):
    """A line, or a part of one, that can't be read; base of the errors of the protocol's lines."""


class InvalidNumberError(InvalidLineError):
    """A number that is none, or out of range."""


def parse_number(text: str, maximum: float = math.inf) -> float:
    """A number of the protocol: plain decimal, not negative and not beyond `maximum`.

    Raises `InvalidNumberError` for anything else.
    """
    if _NUMBER.fullmatch(text) is None:
        raise InvalidNumberError(f"{text[:_QUOTED_MAX_CHARS]!r} is no number")
    value = float(text)
    if value > maximum:
        raise InvalidNumberError(f"{text[:_QUOTED_MAX_CHARS]} is too large")
    return value
