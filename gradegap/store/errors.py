"""What goes wrong in the store: one base, and a type for each of its parts.

The text of each is one line for operators. Where it begins with a name and a colon, that is the reason
by which it is counted.
"""

from __future__ import annotations


class StoreError(Exception):
    """Base of the store's errors."""


class CommandError(StoreError, ValueError):
    """A command that no member applies; its text begins with the reason.

    Nothing was done. What to change is in the text: the key, the value, or the size of the transaction.
    """


class FolderError(StoreError):
    """A folder that a member can't start with, or can't write to.

    A damaged folder is never repaired: it is moved away, and the member comes back under a new identity. One
    that is full or of a later version is used again once that is mended.
    """


class LinkError(StoreError, ValueError):
    """Why a link ends; its text begins with the reason that is counted.

    Operators can mend `secret`, `cluster`, `lease` and `version` by the members' files; others are faults of
    the network or of the other side, and the link is made anew.
    """


class RequestFailedError(StoreError):
    """Why a request was not done.

    `kind` is "unreachable" (try another member), "no" (nothing was done), "unknown" (it may be done by now:
    look before it is sent again) or "no_quorum" (nothing was done; too few members are up).
    """

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind
