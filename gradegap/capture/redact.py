"""A capture without the ids that name players: keys, groups and tenants as a keyed hash, everywhere. No I/O.

Groups are placed by a hash of their names, so a capture of a node that places groups decides otherwise once
it is redacted; one that was recorded with `hide` needs no redaction.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any

from gradegap.capture import frames, records, state
from gradegap.capture.frames import Damage, Frame, FrameKind


def redact(data: bytes, word: Callable[[str], str]) -> bytes:
    """The same file with `word(id)` in the place of each id; damaged bytes are left out."""
    sound = [frame for frame in frames.read(data) if not isinstance(frame, Damage)]
    known: dict[str, str] = {}
    for frame in sound:
        for text in _ids(frame):
            if isinstance(text, str) and text and text not in known:
                known[text] = word(text)
    return frames.MAGIC + b"".join(
        frames.pack(f.kind, _redacted(f, known), f.record_count, f.first_number, f.first_at, f.last_at)
        for f in sound
    )


def _ids(frame: Frame) -> Iterator[Any]:
    """What a frame holds where ids stand."""
    if frame.kind is FrameKind.STEPS:
        for row in frame.body:
            if row[0] == "s" and row[3][0] in ("Request", "Inherited"):
                event = records.event(row[3])
                request = getattr(event, "request", event)
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
