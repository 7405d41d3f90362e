"""Ids that name players, as a keyed hash: while they are recorded, or in a file already written. No I/O.

Groups are placed by a hash of their names, so a recording of a node that places groups decides otherwise once
it is redacted; one whose ids were hashed when it was recorded needs no redaction.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from gradegap.balancing.events import ConnectionInherited, Event, RequestArrived
from gradegap.capture import frames, records, state
from gradegap.capture.frames import Damage, Frame, FrameKind

KEY_BYTES = 64  # of a key that are used, the most that BLAKE2b takes
HASH_BYTES = 8


class IdHasher:
    """Hashes ids that name players.

    A balancer that is given hashed ids decides by them, so a replay needs no others. Nodes that are to place
    groups alike need one key.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key[:KEY_BYTES]

    def hashed(self, text: str) -> str:
        """The hash of an id in hexadecimal; empty for an empty one."""
        if not text:
            return ""
        return hashlib.blake2b(text.encode(), key=self._key, digest_size=HASH_BYTES).hexdigest()

    def event(self, event: Event) -> Event:
        """The event with its ids hashed."""
        if isinstance(event, RequestArrived):
            return self._request(event)
        if isinstance(event, ConnectionInherited):
            return event._replace(request=self._request(event.request))
        return event

    def _request(self, request: RequestArrived) -> RequestArrived:
        return request._replace(key=self.hashed(request.key), group=self.hashed(request.group))


def redact(data: bytes, hashed: Callable[[str], str]) -> bytes:
    """The same file with `hashed(id)` in the place of each id; damaged bytes are left out."""
    sound = [frame for frame in frames.read(data) if not isinstance(frame, Damage)]
    known: dict[str, str] = {}
    for frame in sound:
        for text in _ids(frame):
            if isinstance(text, str) and text and text not in known:
                known[text] = hashed(text)
    return frames.MAGIC + b"".join(
        frames.pack(f.kind, _redacted(f, known), f.record_count, f.first_number, f.first_at, f.last_at)
        for f in sound
    )


def _ids(frame: Frame) -> Iterator[Any]:
    """The ids that a frame holds: keys, groups and tenants."""
    if frame.kind is FrameKind.STEPS:
        for row in frame.body:
            if row[0] == "s" and row[3][0] in ("Request", "Inherited"):
                event = records.event(row[3])
                request = event.request if isinstance(event, ConnectionInherited) else event
                yield from (request.key, request.group, request.tenant)
    elif frame.kind is FrameKind.STATE:
        yield from state.personal_ids(frame.body)


def _redacted(frame: Frame, known: Mapping[str, str]) -> Any:
    """A frame's body without ids."""
    if frame.kind is FrameKind.STEPS:
        # The kind of a step, its number and its event's name are no ids, even where an id reads the same.
        return [
            row if row[0] == "a" else [*row[:3], [row[3][0], _replaced(row[3][1], known)], row[4]]
            for row in frame.body
        ]
    if frame.kind is FrameKind.STATE:
        objects = [[name, _replaced(values, known)] for name, values in frame.body["objects"]]
        return frame.body | {"objects": objects}
    return frame.body


def _replaced(value: Any, known: Mapping[str, str]) -> Any:
    """A plain value with each id in it replaced."""
    if isinstance(value, str):
        return known.get(value, value)
    if isinstance(value, list):
        return [_replaced(each, known) for each in value]
    if isinstance(value, dict):
        return {key: _replaced(each, known) for key, each in value.items()}
    return value
