"""Whether an endpoint has accepted a resumable session: its `UP` line. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

_ACCEPTED = re.compile(rb"UP ([!-~]+) rs=(0|[1-9][0-9]{0,15})")


@dataclass(frozen=True, slots=True)
class Acceptance:
    """An endpoint's consent to the extension."""

    receipt: bytes  # the word of the UP line
    executed: int  # requests up to here have run there


def read_acceptance(line: bytes, seen: int) -> Acceptance | None:
    """What an `UP` line without its CRLF consents to.

    None without consent, or where the endpoint knows less than `seen`, the answers that the client has: it
    would begin anew.
    """
    found = _ACCEPTED.fullmatch(line)
    if found is None or int(found[2]) < seen:
        return None
    return Acceptance(found[1], int(found[2]))
