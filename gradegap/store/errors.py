"""Exceptions of the store: a common base class, and one class for each part of the store.

The text of each exception is a single line for operators. A word before a colon at its beginning is the
reason under which metrics count it.
"""

from __future__ import annotations


class StoreError(Exception):
    """Base class of the store's exceptions."""


class CommandError(StoreError, ValueError):
    """A command was rejected and nothing was changed; the text begins with the reason.

    The text names what the caller has to correct: the key, the value, or the size of the transaction.
    """


class FolderError(StoreError):
    """A member can't start from its data folder, or can't write to it.

    A damaged folder is never repaired: the operator moves it away, and the member rejoins under a new
    identity. A folder that is full or was written by a later version can be used again once the cause is
    removed.
    """


class LinkError(StoreError, ValueError):
    """A link between members, or of a client to a member, is closed; the text begins with the counted reason.

    Operators correct the reasons `secret`, `cluster`, `lease` and `version` in the operator's files of the
    members. All other reasons are faults of the network or of the other side; the link is then set up again.
    """


class RequestFailedError(StoreError):
    """A request failed, or its outcome is unknown.

    `kind` is "unreachable" (try another member), "no" (rejected, nothing was changed), "unknown" (the request
    may have been carried out: read the state before sending it again) or "no_quorum" (nothing was changed
    because too few members are available).
    """

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind
