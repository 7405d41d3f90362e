"""Replaces ids that identify players by a keyed hash, during recording or in an existing file. No I/O.

Groups are placed by a hash of their names. If a node places groups and its recording is redacted afterwards,
a replay of the redacted file therefore takes other decisions than the node. A recording whose ids were hashed
during recording needs no redaction.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from gradegap.balancing.events import ConnectionInherited, Event, RequestArrived
from gradegap.capture import frames, records, state
from gradegap.capture.frames import Damage, Frame, FrameKind

MAX_KEY_BYTES = 64  # the longest key that BLAKE2b accepts; further bytes are ignored
HASH_BYTES = 8


class IdHasher:
    """Hashes ids that identify players.

    The balancer receives and uses the hashed ids, so a replay of the recording takes the same decisions.
    Nodes that must place groups in the same way need the same key.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key[:MAX_KEY_BYTES]

    def hashed(self, text: str) -> str:
        """Returns the hash of an id in hexadecimal; an empty id stays empty."""
        if not text:
            return ""
        return hashlib.blake2b(text.encode(), key=self._key, digest_size=HASH_BYTES).hexdigest()

    def event(self, event: Event) -> Event:
        """Returns the event with its ids hashed."""
        if isinstance(event, RequestArrived):
            return self._request(event)
        if isinstance(event, ConnectionInherited):
            return event._replace(request=self._request(event.request))
        return event

    def _request(self, request: RequestArrived) -> RequestArrived:
        return request._replace(key=self.hashed(request.key), group=self.hashed(request.group))


def redact(data: bytes, hashed: Callable[[str], str]) -> bytes:
    """Returns the file with each id replaced by `hashed(id)`; damaged ranges are omitted."""
    valid_frames = [frame for frame in frames.read(data) if not isinstance(frame, Damage)]
    hashes: dict[str, str] = {}
    for frame in valid_frames:
        for text in _ids(frame):
            if isinstance(text, str) and text and text not in hashes:
                hashes[text] = hashed(text)
    return frames.MAGIC + b"".join(
        frames.pack(
            valid_frame.kind,
            _redacted(valid_frame, hashes),
            valid_frame.record_count,
            valid_frame.first_number,
            valid_frame.first_at,
            valid_frame.last_at,
        )
        for valid_frame in valid_frames
    )


def _ids(frame: Frame) -> Iterator[Any]:
    """Yields the ids in a frame: keys, groups and tenants."""
    if frame.kind is FrameKind.STEPS:
        for row in frame.body:
            if row[0] == "s" and row[3][0] in ("Request", "Inherited"):
                event = records.event(row[3])
                request = event.request if isinstance(event, ConnectionInherited) else event
                yield from (request.key, request.group, request.tenant)
    elif frame.kind is FrameKind.STATE:
        yield from state.personal_ids(frame.body)


def _redacted(frame: Frame, hashes: Mapping[str, str]) -> Any:
    """Returns the body of a frame with its ids replaced."""
    if frame.kind is FrameKind.STEPS:
        # The kind and number of a row and the name of its event are kept even if an id has the same text.
        return [
            row if row[0] == "a" else [*row[:3], [row[3][0], _replaced(row[3][1], hashes)], row[4]]
            for row in frame.body
        ]
    if frame.kind is FrameKind.STATE:
        objects = [[name, _replaced(values, hashes)] for name, values in frame.body["objects"]]
        return frame.body | {"objects": objects}
    return frame.body


def _replaced(value: Any, hashes: Mapping[str, str]) -> Any:
    """Returns a plain value with each id in it replaced."""
    if isinstance(value, str):
        return hashes.get(value, value)
    if isinstance(value, list):
        return [_replaced(element, hashes) for element in value]
    if isinstance(value, dict):
        return {key: _replaced(element, hashes) for key, element in value.items()}
    return value
