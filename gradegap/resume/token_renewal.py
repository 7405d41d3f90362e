"""When a standing session is due a new token: before its own is over, or when another key seals. No I/O.

A session may stand for hours and a token lives for minutes, so a client that was given one at its start
would have nothing to come back with; and a key can only be retired once no client holds a token of its.
"""

from __future__ import annotations

from typing import Generic, TypeVar

AT = 0.5  # of a token's life after which it is replaced

S = TypeVar("S")


class TokenRenewals(Generic[S]):
    """Sessions by when they got their token, the oldest first. Each is looked at once in half a life."""

    def __init__(self, life: float) -> None:
        self.life = life  # s
        self.made: dict[S, tuple[float, str]] = {}  # when, and the id of the key that sealed it

    def __len__(self) -> int:
        return len(self.made)

    def given(self, session: S, now: float, key: str) -> None:
        """A session got a token: it is the last that is due another."""
        self.made.pop(session, None)
        self.made[session] = now, key

    def ended(self, session: S) -> None:
        self.made.pop(session, None)

    def due(self, now: float, key: str, most: int) -> list[S]:
        """At most `most` sessions whose token is past half its life, or of another key than `key`, which
        seals now. What is not given one meanwhile is named again at the next call.
        """
        found: list[S] = []
        for session, (at, sealed) in self.made.items():
            # Keys change one after the other, so tokens of an older one stand in front.
            if len(found) >= most or (sealed == key and now < at + AT * self.life):
                break
            found.append(session)
        return found
