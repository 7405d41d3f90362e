"""The keys that nodes subscribe to, and lists of changes of them: coalesced, and their size. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from gradegap.observer.messages import Change
from gradegap.store.leases import DECISION_PREFIXES

SUBSCRIBED = DECISION_PREFIXES  # prefixes of the keys that nodes are sent: all that they decide by
CHANGE_OVERHEAD_BYTES = 16  # of a change beside its key and value, at the most but for rounding

_encode = msgspec.msgpack.Encoder().encode


def is_subscribed(key: str) -> bool:
    """Whether nodes are sent this key."""
    return key.startswith(SUBSCRIBED)


def coalesce(changes: Iterable[Change]) -> tuple[Change, ...]:
    """The last change of each key, in the order of revisions."""
    last: dict[str, Change] = {}
    for change in changes:
        last.pop(change.key, None)
        last[change.key] = change
    return tuple(last.values())


def encoded_size(changes: Iterable[Change]) -> int:
    """The bytes of these changes on the wire, rounded up."""
    return sum(len(change.key) + len(_encode(change.value)) + CHANGE_OVERHEAD_BYTES for change in changes)
