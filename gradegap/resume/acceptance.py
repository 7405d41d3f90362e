"""Parses the `UP` line with which an endpoint accepts a resumable session. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

_ACCEPTED = re.compile(rb"UP ([!-~]+) rs=(0|[1-9][0-9]{0,15})")


@dataclass(frozen=True, slots=True)
class Acceptance:
    """An endpoint's acceptance of the resume extension."""

    receipt: bytes  # the first field of the UP line
    executed: int  # the endpoint has executed the requests up to this number


def read_acceptance(line: bytes, seen: int) -> Acceptance | None:
    """Parse an `UP` line, given without its CRLF.

    Returns None if the endpoint does not accept the extension. Also returns None if the endpoint has executed
    fewer requests than `seen`, the number of the last answer that the client has: such an endpoint would
    start the session from the beginning.
    """
    match = _ACCEPTED.fullmatch(line)
    if match is None or int(match[2]) < seen:
        return None
    return Acceptance(match[1], int(match[2]))
