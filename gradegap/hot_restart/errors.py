"""Errors of a hot restart. No error ends a process: it starts without a predecessor, or continues."""

from __future__ import annotations


class HotRestartError(Exception):
    """Base class of this package's errors."""


class MalformedMessageError(HotRestartError):
    """A message that this version can't decode; the sender keeps the sessions that the message contains."""


class SessionNotAdoptedError(HotRestartError):
    """This process can't serve a session that the predecessor sent; the predecessor continues it."""
