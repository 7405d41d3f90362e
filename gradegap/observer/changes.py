"""The keys that nodes subscribe to, and the coalescing and encoded size of changes to them. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from gradegap.observer.messages import Change
from gradegap.store.leases import DECISION_PREFIXES

SUBSCRIBED_PREFIXES = DECISION_PREFIXES  # key prefixes sent to nodes: all keys that their decisions depend on
CHANGE_OVERHEAD_BYTES = 16  # upper bound on the encoded size of a change without its key and value

_encode = msgspec.msgpack.Encoder().encode


def is_subscribed(key: str) -> bool:
    """Whether this key is sent to nodes."""
    return key.startswith(SUBSCRIBED_PREFIXES)


def coalesce(changes: Iterable[Change]) -> tuple[Change, ...]:
    """Returns the last change of each key, in the order of revisions."""
    last_by_key: dict[str, Change] = {}
    for change in changes:
        last_by_key.pop(change.key, None)
        last_by_key[change.key] = change
    return tuple(last_by_key.values())


def encoded_size(changes: Iterable[Change]) -> int:
    """Returns the size (bytes) of these changes on the wire, rounded up."""
    return sum(len(change.key) + len(_encode(change.value)) + CHANGE_OVERHEAD_BYTES for change in changes)
