"""An index of a recording's frames by clock, endpoint and request, written at the end of the file. No I/O.

    INDEX body = {"servers": [name, ...], "frames": [row, ...]}
    row        = [offset, kind, first number, records, first at, last at, settings change, servers, requests]

A row's servers are positions in the list of names. Its requests are request ids in ascending order, each
stored as the difference from the previous one. The last frame of a file is a TAIL of fixed length, whose
first number is the offset of the INDEX. A truncated file has neither frame; its index is built by reading the
whole file.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from gradegap.capture import frames, records
from gradegap.capture.errors import BadRecordError, FrameTooLargeError
from gradegap.capture.frames import Damage, Frame, FrameKind


@dataclass(slots=True, frozen=True)
class Entry:
    """One frame: its offset, and the records, endpoints and requests that it covers."""

    offset: int
    kind: FrameKind
    first_number: int  # the number of its first record
    record_count: int
    first_at: float  # clock of its first record, s
    last_at: float
    changes_settings: bool
    endpoints: frozenset[str]
    request_ids: frozenset[int]

    def is_about(self, request_id: int | None, endpoint: str | None) -> bool:
        """Whether the frame holds steps about this request and this endpoint; None matches any."""
        return (
            self.kind is FrameKind.STEPS
            and (request_id is None or request_id in self.request_ids)
            and (endpoint is None or endpoint in self.endpoints)
        )


class Builder:
    """Builds the index while a file is written: call `add` for each frame and `sealed` after the last."""

    def __init__(self) -> None:
        self._endpoint_numbers: dict[str, int] = {}
        self._rows: list[list[Any]] = []

    @property
    def body(self) -> dict[str, Any]:
        """The body of the INDEX frame."""
        return {"servers": list(self._endpoint_numbers), "frames": self._rows}

    def add(
        self,
        offset: int,
        kind: FrameKind,
        first_number: int = 0,
        record_count: int = 0,
        first_at: float = 0.0,
        last_at: float = 0.0,
        changes_settings: bool = False,
        about: Iterable[Any] = (),
    ) -> None:
        """Adds a frame; `about` has the endpoint names and request ids returned by `records.names`."""
        endpoints, request_ids = set(), set()
        for name_or_id in about:
            if isinstance(name_or_id, str):
                endpoints.add(self._endpoint_numbers.setdefault(name_or_id, len(self._endpoint_numbers)))
            else:
                request_ids.add(name_or_id)
        distances, previous = [], 0
        for request_id in sorted(request_ids):
            distances.append(request_id - previous)
            previous = request_id
        columns = [offset, int(kind), first_number, record_count, first_at, last_at, changes_settings]
        self._rows.append([*columns, sorted(endpoints), distances])

    def add_frame(self, offset: int, frame: Frame) -> None:
        """Adds a frame that was read from a file; ignores index frames."""
        if frame.kind in (FrameKind.INDEX, FrameKind.TAIL):
            return
        about: Iterable[Any] = ()
        changes_settings = False
        if frame.kind is FrameKind.STEPS and isinstance(frame.body, list):
            try:
                about = list(_about(frame.body))
                changes_settings = any(row[0] == "a" for row in frame.body)
            except (BadRecordError, LookupError, TypeError):
                about = ()  # the error is reported when the frame is read
        self.add(
            offset,
            frame.kind,
            frame.first_number,
            frame.record_count,
            frame.first_at,
            frame.last_at,
            changes_settings,
            about,
        )

    def sealed(self, offset: int) -> bytes:
        """Returns the index frames to append to a file whose other frames end at `offset`."""
        try:
            index_frame = frames.pack(FrameKind.INDEX, self.body, len(self._rows))
        except FrameTooLargeError:
            # The index of that many steps exceeds one frame: readers read the whole file instead.
            return b""
        return index_frame + tail(offset)


def tail(offset: int) -> bytes:
    """Returns the last frame of a file; `offset` is that of the index frame."""
    return frames.pack(FrameKind.TAIL, None, 0, offset)


TAIL_BYTES = len(tail(0))


def _about(rows: Iterable[Any]) -> Iterator[Any]:
    """Yields the endpoint names and request ids in the stored rows of a STEPS frame."""
    for row in rows:
        if row[0] == "s":
            for raw in (row[3], *row[4]):
                value = records.event(raw) if raw[0] in records.EVENTS else records.action(raw)
                yield from records.names(value)


def build(data: bytes) -> list[Entry]:
    """Builds the index by reading the whole file; a damaged range becomes a GAP entry."""
    builder = Builder()
    for offset, frame in frames.read_located(data):
        if isinstance(frame, Damage):
            builder.add(offset, FrameKind.GAP, first_at=-1.0)
        else:
            builder.add_frame(offset, frame)
    return _entries(builder.body, len(data)) or []


def sealed(data: bytes) -> bytes:
    """Builds the index of a file that has none, and returns the file with the index appended."""
    builder = Builder()
    for offset, frame in frames.read_located(data):
        if isinstance(frame, Frame):
            builder.add_frame(offset, frame)
    return data + builder.sealed(len(data))


def _entries(raw: Any, size: int) -> list[Entry] | None:
    """Decodes the body of an INDEX frame; None if it can't be the index of frames in `size` bytes."""
    try:
        names, entries, previous_offset = raw["servers"], [], -1
        for (
            offset,
            kind,
            first_number,
            record_count,
            first_at,
            last_at,
            changes_settings,
            endpoints,
            distances,
        ) in raw["frames"]:
            if not previous_offset < offset < size:
                return None
            previous_offset = offset
            request_ids, request_id = set(), 0
            for distance in distances:
                request_id += distance
                request_ids.add(request_id)
            endpoints_and_requests = frozenset(names[number] for number in endpoints), frozenset(request_ids)
            entry = Entry(
                offset,
                FrameKind(kind),
                first_number,
                record_count,
                first_at,
                last_at,
                bool(changes_settings),
                *endpoints_and_requests,
            )
            entries.append(entry)
    except (KeyError, IndexError, TypeError, ValueError):
        return None
    return entries


def load(data: bytes) -> list[Entry]:
    """Returns the index of a file: the stored one if it is valid, else one built from the frames.

    Raises `BadRecordingError` if the data is not a recording.
    """
    frames.check_magic(data)
    tail_frame = frames.frame_at(data, len(data) - TAIL_BYTES)
    if tail_frame is not None and tail_frame.kind is FrameKind.TAIL:
        index_frame = frames.frame_at(data, tail_frame.first_number)
        # Guards against the index of another file: a frame must start at the offset of each entry.
        if index_frame is not None and index_frame.kind is FrameKind.INDEX:
            entries = _entries(index_frame.body, tail_frame.first_number)
            if entries is not None and all(data.startswith(frames.MARK, entry.offset) for entry in entries):
                return entries
    return build(data)


def indexed(data: bytes) -> bool:
    """Whether the file was closed properly, with an index."""
    last = frames.frame_at(data, len(data) - TAIL_BYTES)
    return last is not None and last.kind is FrameKind.TAIL


def seek(
    data: bytes,
    since: float = -1e18,
    until: float = 1e18,
    request_id: int | None = None,
    endpoint: str | None = None,
) -> bytes:
    """Returns a part of a file that can be replayed on its own; frames outside the part are not decompressed.

    Without a request or endpoint, the part starts at the last state at or before clock `since` (s), and ends
    with the last frame that starts by clock `until` (s). Otherwise only the frames between these clocks that
    match the request and the endpoint count: the part starts at the last state before the first of them, and
    ends with the last of them. If no state precedes, it starts at the first state of the file. Returns empty
    bytes if there is no such part.
    """
    entries = load(data)
    if request_id is None and endpoint is None:
        last = max(
            (position for position, entry in enumerate(entries) if entry.first_at <= until), default=-1
        )
        states = [
            position
            for position, entry in enumerate(entries)
            if entry.kind is FrameKind.STATE and entry.first_at <= since
        ]
    else:
        matching = [
            position
            for position, entry in enumerate(entries)
            if entry.first_at <= until and entry.last_at >= since and entry.is_about(request_id, endpoint)
        ]
        last = matching[-1] if matching else -1
        # Compares positions instead of clocks: a state may have the same clock as the steps before it.
        states = [
            position
            for position in range(matching[0] if matching else 0)
            if entries[position].kind is FrameKind.STATE
        ]
    first_state = next(
        (position for position, entry in enumerate(entries) if entry.kind is FrameKind.STATE), len(entries)
    )
    begin = states[-1] if states else first_state
    return _part(data, entries, begin, last) if begin <= last else b""


def _part(data: bytes, entries: list[Entry], begin: int, last: int) -> bytes:
    """Returns entries `begin` (a state) to `last` as a file; empty if no START frame precedes them."""
    start = _start_before(data, entries[:begin])
    if start is None:
        return b""
    state = entries[begin]
    head = frames.pack(FrameKind.START, start, 0, state.first_number, state.first_at, state.first_at)
    end = entries[last + 1].offset if last + 1 < len(entries) else _frames_end(data)
    return frames.MAGIC + head + data[state.offset : end]


def _start_before(data: bytes, entries: list[Entry]) -> Any:
    """Returns the body of the last START frame, updated with the settings that were adopted after it."""
    start: Any = None
    for entry in entries:
        if entry.kind is not FrameKind.START and not entry.changes_settings:
            continue
        frame = frames.frame_at(data, entry.offset)
        if frame is None:
            continue
        if entry.kind is FrameKind.START:
            start = frame.body
        elif isinstance(start, dict):
            for row in frame.body:
                if row[0] == "a":
                    start = start | {"settings": row[3]}
    return start


def _frames_end(data: bytes) -> int:
    """Returns the offset at which the frames before the index end."""
    last = frames.frame_at(data, len(data) - TAIL_BYTES)
    return last.first_number if last is not None and last.kind is FrameKind.TAIL else len(data)
