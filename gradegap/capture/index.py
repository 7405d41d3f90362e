"""An index of a file's frames by clock, endpoint and request, written at its end. No I/O.

    INDEX body = {"servers": [name, ...], "frames": [row, ...]}
    row        = [offset, kind, first number, records, first at, last at, settings change, servers, requests]

A row's servers are places in the list of names; its requests are their ids in rising order, each as its
distance to the one before. The last frame of a file is a TAIL, of one length always, whose first number is
the offset of the INDEX. A file that was cut off has neither: it is indexed by reading it.
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
    """One frame: where it is and what it is about."""

    offset: int
    kind: FrameKind
    first_number: int  # of its first record
    record_count: int
    first_at: float  # clock of its first record, s
    last_at: float
    changes_settings: bool
    endpoints: frozenset[str]
    request_ids: frozenset[int]

    def is_about(self, request_id: int | None, endpoint: str | None) -> bool:
        """Whether it holds steps of that request and that endpoint; None stands for any."""
        return (
            self.kind is FrameKind.STEPS
            and (request_id is None or request_id in self.request_ids)
            and (endpoint is None or endpoint in self.endpoints)
        )


class Builder:
    """Makes the index of a file that is being written: `add` for each frame, `sealed` at the end."""

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
        """Add a frame; `about` has names of endpoints and ids of requests, as `records.names` gives them."""
        endpoints, request_ids = set(), set()
        for each in about:
            if isinstance(each, str):
                endpoints.add(self._endpoint_numbers.setdefault(each, len(self._endpoint_numbers)))
            else:
                request_ids.add(each)
        distances, previous = [], 0
        for request_id in sorted(request_ids):
            distances.append(request_id - previous)
            previous = request_id
        place = [offset, int(kind), first_number, record_count, first_at, last_at, changes_settings]
        self._rows.append([*place, sorted(endpoints), distances])

    def add_frame(self, offset: int, frame: Frame) -> None:
        """Add a frame that was read, unless it is part of an index."""
        if frame.kind in (FrameKind.INDEX, FrameKind.TAIL):
            return
        about: Iterable[Any] = ()
        changes_settings = False
        if frame.kind is FrameKind.STEPS and isinstance(frame.body, list):
            try:
                about = list(_about(frame.body))
                changes_settings = any(row[0] == "a" for row in frame.body)
            except (BadRecordError, LookupError, TypeError):
                about = ()  # whoever reads that frame gets the error
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
        """The frames that end a file of that many bytes."""
        try:
            made = frames.pack(FrameKind.INDEX, self.body, len(self._rows))
        except FrameTooLargeError:  # a file of more steps than an index holds: it is read through instead
            return b""
        return made + tail(offset)


def tail(offset: int) -> bytes:
    """The last frame of a file: where its index begins."""
    return frames.pack(FrameKind.TAIL, None, 0, offset)


TAIL_BYTES = len(tail(0))


def _about(rows: Iterable[Any]) -> Iterator[Any]:
    """The endpoints and requests of a STEPS frame's rows, as they are in a file."""
    for row in rows:
        if row[0] == "s":
            for raw in (row[3], *row[4]):
                value = records.event(raw) if raw[0] in records.EVENTS else records.action(raw)
                yield from records.names(value)


def build(data: bytes) -> list[Entry]:
    """The index of a file that has none, by reading all of it; damage is a gap in it."""
    builder = Builder()
    for offset, frame in frames.read_located(data):
        if isinstance(frame, Damage):
            builder.add(offset, FrameKind.GAP, first_at=-1.0)
        else:
            builder.add_frame(offset, frame)
    return _entries(builder.body, len(data)) or []


def sealed(data: bytes) -> bytes:
    """A file's frames, whole and in order, with an index at their end."""
    builder = Builder()
    for offset, frame in frames.read_located(data):
        if isinstance(frame, Frame):
            builder.add_frame(offset, frame)
    return data + builder.sealed(len(data))


def _entries(raw: Any, size: int) -> list[Entry] | None:
    """The entries of an INDEX body; None for what is no index of a file of that size."""
    try:
        names, entries, last = raw["servers"], [], -1
        for offset, kind, first, count, first_at, last_at, changes, endpoints, distances in raw["frames"]:
            if not last < offset < size:
                return None
            last = offset
            request_ids, request_id = set(), 0
            for distance in distances:
                request_id += distance
                request_ids.add(request_id)
            about = frozenset(names[k] for k in endpoints), frozenset(request_ids)
            entry = Entry(offset, FrameKind(kind), first, count, first_at, last_at, bool(changes), *about)
            entries.append(entry)
    except (KeyError, IndexError, TypeError, ValueError):
        return None
    return entries


def load(data: bytes) -> list[Entry]:
    """The index of a file, from its end where it has one that fits.

    Raises `BadRecordingError` for what is no recording.
    """
    frames.check_magic(data)
    last = frames.frame_at(data, len(data) - TAIL_BYTES)
    if last is not None and last.kind is FrameKind.TAIL:
        found = frames.frame_at(data, last.first_number)
        # Guards against an index that was carried over from another file: each entry must be at its offset.
        if found is not None and found.kind is FrameKind.INDEX:
            entries = _entries(found.body, last.first_number)
            if entries is not None and all(data.startswith(frames.MARK, e.offset) for e in entries):
                return entries
    return build(data)


def indexed(data: bytes) -> bool:
    """Whether the file ended in order, with an index."""
    last = frames.frame_at(data, len(data) - TAIL_BYTES)
    return last is not None and last.kind is FrameKind.TAIL


def seek(
    data: bytes,
    since: float = -1e18,
    until: float = 1e18,
    request_id: int | None = None,
    endpoint: str | None = None,
) -> bytes:
    """The part of a file that can be replayed by itself; only what is asked for is unpacked.

    From the last state at or before `since` (or before the first frame that is about the request and the
    endpoint) to the last frame that begins by `until` (or that is about them). Empty where none is.
    """
    entries = load(data)
    if request_id is None and endpoint is None:
        last = max((k for k, e in enumerate(entries) if e.first_at <= until), default=-1)
        states = [k for k, e in enumerate(entries) if e.kind is FrameKind.STATE and e.first_at <= since]
    else:
        about = [
            k
            for k, e in enumerate(entries)
            if e.first_at <= until and e.last_at >= since and e.is_about(request_id, endpoint)
        ]
        last = about[-1] if about else -1
        # By place and not by clock: a state may bear the clock of the steps before it.
        states = [k for k in range(about[0] if about else 0) if entries[k].kind is FrameKind.STATE]
    first_state = next((k for k, e in enumerate(entries) if e.kind is FrameKind.STATE), len(entries))
    begin = states[-1] if states else first_state
    return _part(data, entries, begin, last) if begin <= last else b""


def _part(data: bytes, entries: list[Entry], begin: int, last: int) -> bytes:
    """The frames from a state to another frame, as a file of their own; empty without a start."""
    start = _start_before(data, entries[:begin])
    if start is None:
        return b""
    state = entries[begin]
    head = frames.pack(FrameKind.START, start, 0, state.first_number, state.first_at, state.first_at)
    end = entries[last + 1].offset if last + 1 < len(entries) else _end(data)
    return frames.MAGIC + head + data[state.offset : end]


def _start_before(data: bytes, entries: list[Entry]) -> Any:
    """The last start among these frames, with the settings that were adopted after it."""
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


def _end(data: bytes) -> int:
    """Where the frames that are no index end."""
    last = frames.frame_at(data, len(data) - TAIL_BYTES)
    return last.first_number if last is not None and last.kind is FrameKind.TAIL else len(data)
