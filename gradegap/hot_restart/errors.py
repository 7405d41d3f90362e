"""Errors of a hot restart. None of them ends a process: it starts alone, or serves on."""

from __future__ import annotations


class HotRestartError(Exception):
    """Base of this package's errors."""


class MalformedMessageError(HotRestartError):
    """The other process sent what this version can't read; it keeps what it passed along."""


class SessionNotAdoptedError(HotRestartError):
    """A session that the predecessor passed on can't be served here; the predecessor goes on with it."""
