"""Errors of resumable sessions. The first word of each text is the reason that is sent and counted."""

from __future__ import annotations


class ResumeError(ValueError):
    """Why a session does not go on, or not yet."""

    @property
    def reason(self) -> str:
        """The one term for the client and the counter."""
        return str(self).partition(":")[0]


class LineError(ResumeError):
    """A line that ends its session."""


class TokenError(ResumeError):
    """A token that proves nothing."""


class SessionClaimedError(ResumeError):
    """Another has taken the session on: the token's one use is over."""


class WindowFullError(ResumeError):
    """Too many requests have no answer yet: wait for one."""
