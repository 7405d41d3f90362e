"""Errors of a hot restart. No error ends a process: it starts without a predecessor, or continues."""

from __future__ import annotations


class HotRestartError(Exception):
    """Base class of this package's errors."""


class MalformedMessageError(HotRestartError):
    """This version can't decode a message of the other process, which keeps the sessions in the message."""


class SessionNotAdoptedError(HotRestartError):
    """This process can't serve a session that the predecessor sent; the predecessor continues it."""
