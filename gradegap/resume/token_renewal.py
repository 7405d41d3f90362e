"""When an established session is due a new token: before its own expires, or when another key seals. No I/O.

A session may last for hours and a token for minutes, so a client that got one at its start would have nothing
to return with; and a key can only be retired once no client holds a token of its.
"""

from __future__ import annotations

from typing import Generic, TypeVar

RENEWAL_SHARE = 0.5  # of a token's lifetime, after which it is replaced

S = TypeVar("S")


class TokenRenewals(Generic[S]):
    """Sessions by when they got their token, the oldest first. Each is due once in half a lifetime."""

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self.issued: dict[S, tuple[float, str]] = {}  # steady time, and the id of the sealing key

    def __len__(self) -> int:
        return len(self.issued)

    def record(self, session: S, now: float, key: str) -> None:
        """A session got a token: it is the last that is due another."""
        self.issued.pop(session, None)
        self.issued[session] = now, key

    def forget(self, session: S) -> None:
        """This session has ended."""
        self.issued.pop(session, None)

    def due(self, now: float, key: str, most: int) -> list[S]:
        """At most `most` sessions whose token is past half its lifetime, or of another key than `key`.

        `key` seals now. Who gets no token meanwhile is named again at the next call.
        """
        found: list[S] = []
        for session, (issued_at, sealing_key) in self.issued.items():
            # Keys change one after the other, so tokens of an older one come first.
            if len(found) >= most or (
                sealing_key == key and now < issued_at + RENEWAL_SHARE * self.lifetime_s
            ):
                break
            found.append(session)
        return found
