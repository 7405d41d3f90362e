"""Selects the established sessions that need a new token. No I/O.

A session needs a new token before its own expires, or when another key seals tokens. A session may last for
hours but a token only for minutes, so a client with only its first token could not return later. A key can
only be retired once no client holds a token sealed with it.
"""

from __future__ import annotations

from typing import Generic, TypeVar

RENEWAL_RATIO = 0.5  # a token is replaced after this fraction of its lifetime

S = TypeVar("S")


class TokenRenewals(Generic[S]):
    """Sessions ordered by the time at which their token was issued, the oldest first.

    Each session needs a new token once in half a token lifetime.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        # For each session: monotonic time in seconds when its token was issued, and the sealing key's id.
        self.issued: dict[S, tuple[float, str]] = {}

    def __len__(self) -> int:
        return len(self.issued)

    def record(self, session: S, now: float, key: str) -> None:
        """Record a token sealed with `key` at monotonic time `now`, and move the session to the end."""
        self.issued.pop(session, None)
        self.issued[session] = now, key

    def forget(self, session: S) -> None:
        """Remove a session that has ended."""
        self.issued.pop(session, None)

    def due(self, now: float, key: str, limit: int) -> list[S]:
        """Return at most `limit` sessions that need a new token at monotonic time `now`, in seconds.

        A session needs one if half the lifetime of its token has passed, or if its token was sealed with a
        key other than `key`, the current sealing key. A session that is not recorded again is returned by the
        next call too.
        """
        sessions: list[S] = []
        for session, (issued_at, sealing_key) in self.issued.items():
            # Sessions are in order of issue, so those whose tokens were sealed with an older key are first.
            if len(sessions) >= limit or (
                sealing_key == key and now < issued_at + RENEWAL_RATIO * self.lifetime_s
            ):
                break
            sessions.append(session)
        return sessions
