"""Length limit and number format of the lines of the platform's protocol, for clients and endpoints."""

from __future__ import annotations

import math
import re

LINE_MAX_BYTES = 4096
"""Maximum length of a line, including its line end."""

_QUOTED_MAX_CHARS = 40  # limit on the received data quoted in an error message

# Plain decimal, without the signs, nan, inf and underscores that float() would accept.
_NUMBER = re.compile(r"[0-9]{1,16}(?:\.[0-9]{1,18})?(?:[eE][+-]?[0-9]{1,2})?")


class InvalidLineError(ValueError):
    """A line, or a part of one, is invalid. Base class of the errors of the protocol's lines."""


class InvalidNumberError(InvalidLineError):
    """A number is malformed or out of range."""


def parse_number(text: str, maximum: float = math.inf) -> float:
    """Parse a number of the protocol: plain decimal, not negative and at most `maximum`.

    Raises:
        InvalidNumberError: The text has another form, or the number exceeds `maximum`.
    """
    if _NUMBER.fullmatch(text) is None:
        raise InvalidNumberError(f"expected a plain decimal number, got {text[:_QUOTED_MAX_CHARS]!r}")
    value = float(text)
    if value > maximum:
        raise InvalidNumberError(f"number must be at most {maximum}, got {text[:_QUOTED_MAX_CHARS]}")
    return value
