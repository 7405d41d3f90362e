"""Errors of the consensus core."""

from __future__ import annotations


class RaftError(Exception):
    """Base of this package's errors."""


class RequestRejectedError(RaftError):
    """A request that this member rejects: the text says why, its first word is the code to count it by."""
