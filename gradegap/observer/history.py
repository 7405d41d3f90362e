"""What a publisher reads from: the committed state of its machine, restricted to subscribed keys. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import msgspec

from gradegap.observer.messages import Change
from gradegap.store.leases import DECISION_PREFIXES

SUBSCRIBED = DECISION_PREFIXES  # prefixes of the keys that nodes are told of: all that they decide by
CHANGE_OVERHEAD = 16  # bytes of a change beside its key and value, at the most but for rounding

_encode = msgspec.msgpack.Encoder().encode


class Source(Protocol):
    """A replica of the log's state. `revision` and `index` never go back."""

    @property
    def revision(self) -> int:
        """The revision of the applied state."""

    @property
    def index(self) -> int:
        """The index of the last applied entry of the log."""

    def changes_since(self, revision: int) -> list[Change] | None:
        """All changes of subscribed keys after `revision`, in order; None where they are compacted."""

    def items(self) -> list[Change]:
        """All subscribed keys with their values."""


def is_subscribed(key: str) -> bool:
    """Whether nodes are told of this key."""
    return key.startswith(SUBSCRIBED)


def coalesce(changes: Iterable[Change]) -> tuple[Change, ...]:
    """The last change of each key, in the order of revisions."""
    last: dict[str, Change] = {}
    for change in changes:
        last.pop(change.key, None)
        last[change.key] = change
    return tuple(last.values())


def size(changes: Iterable[Change]) -> int:
    """The bytes of these changes on the wire, rounded up."""
    return sum(len(change.key) + len(_encode(change.value)) + CHANGE_OVERHEAD for change in changes)
