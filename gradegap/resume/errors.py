"""Errors of resumable sessions. The word before the colon is the reason that is sent and counted."""

from __future__ import annotations


class ResumeError(ValueError):
    """A session can't continue, either permanently or for now."""

    @property
    def reason(self) -> str:
        """The word that is sent to the client and that names the counter."""
        return str(self).partition(":")[0]


class LineError(ResumeError):
    """A line violates the protocol; the session ends."""


class TokenError(ResumeError):
    """A token is invalid, expired or not authentic."""


class SessionClaimedError(ResumeError):
    """The next generation of the session is already reserved, so the token has been used."""


class WindowFullError(ResumeError):
    """Too many requests have no answer yet; the caller must wait for an answer."""
