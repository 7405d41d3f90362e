"""Where in a file is what: an index of frames by clock, server and req, written at a file's end. No I/O.

    INDEX body = {"servers": [name, ...], "frames": [row, ...]}
    row        = [offset, kind, first, records, at, until, adopts, servers, reqs]

`adopts`: settings change in it. `servers` are places in the list of names, `reqs` the numbers of reqs in
rising order, each as its distance to the one before. The last frame of a file is a TAIL, of one length
always, whose first number is the offset of the INDEX. A file that was cut off has neither: it is indexed by
reading it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from gradegap.capture import frames, records
from gradegap.capture.errors import BadRecordError
from gradegap.capture.frames import Damage, Frame, Kind


@dataclass(slots=True, frozen=True)
class Entry:
    """One frame: where it is and what it is about."""

    offset: int
    kind: Kind
    first: int
    records: int
    at: float
    until: float
    adopts: bool  # settings change in it
    servers: frozenset[str]
    reqs: frozenset[int]

    def is_about(self, req: int | None, server: str | None) -> bool:
        """Whether it holds steps of that req and that server; None stands for any."""
        return (
            self.kind is Kind.STEPS
            and (req is None or req in self.reqs)
            and (server is None or server in self.servers)
        )


class Builder:
    """Told of each frame as it is written."""

    def __init__(self) -> None:
        self.names: dict[str, int] = {}
        self.rows: list[list[Any]] = []

    def add(
        self,
        offset: int,
        kind: Kind,
        first: int = 0,
        count: int = 0,
        at: float = 0.0,
        until: float = 0.0,
        adopts: bool = False,
        about: Iterable[Any] = (),
    ) -> None:
        """`about`: names of servers and numbers of reqs, as `records.names` gives them."""
        servers, reqs = set(), set()
        for each in about:
            if isinstance(each, str):
                servers.add(self.names.setdefault(each, len(self.names)))
            else:
                reqs.add(each)
        steps, before = [], 0
        for req in sorted(reqs):
            steps.append(req - before)
            before = req
        self.rows.append([offset, int(kind), first, count, at, until, adopts, sorted(servers), steps])

    def sealed(self, offset: int) -> bytes:
        """The frames that end a file of that many bytes."""
        body = {"servers": list(self.names), "frames": self.rows}
        try:
            made = frames.pack(Kind.INDEX, body, len(self.rows))
        except ValueError:  # a file of more steps than an index holds: it is read through instead
            return b""
        return made + tail(offset)


def tail(offset: int) -> bytes:
    """The last frame of a file: where its index begins."""
    return frames.pack(Kind.TAIL, None, 0, offset)


TAIL_SIZE = len(tail(0))


def about(rows: Iterable[Any]) -> Iterator[Any]:
    """The servers and reqs of a STEPS frame's rows, as they are in a file."""
    for row in rows:
        if row[0] == "s":
            for raw in (row[3], *row[4]):
                made = records.event(raw) if raw[0] in records.EVENTS else records.action(raw)
                yield from records.names(made)


def build(data: bytes) -> list[Entry]:
    """The index of a file that has none, by reading all of it; what is damaged is not in it."""
    made = Builder()
    for offset, frame in frames.located(data):
        if isinstance(frame, Damage):
            made.add(offset, Kind.GAP, at=-1.0)
            continue
        _add(made, offset, frame)
    return _entries({"servers": list(made.names), "frames": made.rows}, len(data)) or []


def _add(made: Builder, offset: int, frame: Frame) -> None:
    if frame.kind in (Kind.INDEX, Kind.TAIL):
        return
    found: Iterable[Any] = ()
    adopts = False
    if frame.kind is Kind.STEPS and isinstance(frame.body, list):
        try:
            found = list(about(frame.body))
            adopts = any(row[0] == "a" for row in frame.body)
        except (BadRecordError, LookupError, TypeError):
            found = ()  # whoever reads that frame is told
    made.add(offset, frame.kind, frame.first, frame.records, frame.at, frame.until, adopts, found)


def sealed(data: bytes) -> bytes:
    """A file's frames, whole and in order, with an index at their end."""
    made = Builder()
    for offset, frame in frames.located(data):
        if isinstance(frame, Frame):
            _add(made, offset, frame)
    return data + made.sealed(len(data))


def _entries(raw: Any, size: int) -> list[Entry] | None:
    """None for what is no index of a file of that size."""
    try:
        names, found, last = raw["servers"], [], -1
        for offset, kind, first, count, at, until, adopts, servers, steps in raw["frames"]:
            if not last < offset < size:
                return None
            last = offset
            reqs, number = set(), 0
            for step in steps:
                number += step
                reqs.add(number)
            about = frozenset(names[k] for k in servers), frozenset(reqs)
            found.append(Entry(offset, Kind(kind), first, count, at, until, bool(adopts), *about))
    except (KeyError, IndexError, TypeError, ValueError):
        return None
    return found


def load(data: bytes) -> list[Entry]:
    """The index of a file, from its end where it has one that fits; `BadRecordingError` for no capture."""
    frames.check(data)
    last = frames.frame_at(data, len(data) - TAIL_SIZE)
    if last is not None and last.kind is Kind.TAIL:
        found = frames.frame_at(data, last.first)
        # Guards against an index that was carried over from another file: each entry must stand there.
        if found is not None and found.kind is Kind.INDEX:
            entries = _entries(found.body, last.first)
            if entries is not None and all(data.startswith(frames.MARK, e.offset) for e in entries):
                return entries
    return build(data)


def indexed(data: bytes) -> bool:
    """Whether the file ended in order, with an index."""
    last = frames.frame_at(data, len(data) - TAIL_SIZE)
    return last is not None and last.kind is Kind.TAIL


def seek(
    data: bytes, since: float = -1e18, until: float = 1e18, req: int | None = None, server: str | None = None
) -> bytes:
    """The part of a file that can be replayed by itself; only what is asked for is unpacked.

    From the last state at or before `since` (or before the first that `req` and `server` are in) to the last
    frame that begins by `until` (or that they are in). Empty where they are in none.
    """
    found = load(data)
    if req is None and server is None:
        last = max((k for k, e in enumerate(found) if e.at <= until), default=-1)
        states = [k for k, e in enumerate(found) if e.kind is Kind.STATE and e.at <= since]
    else:
        held = [
            k for k, e in enumerate(found) if e.at <= until and e.until >= since and e.is_about(req, server)
        ]
        last = held[-1] if held else -1
        # By place and not by clock: a state may bear the clock of the steps before it.
        states = [k for k in range(held[0] if held else 0) if found[k].kind is Kind.STATE]
    first_state = next((k for k, e in enumerate(found) if e.kind is Kind.STATE), len(found))
    begin = states[-1] if states else first_state
    return _part(data, found, begin, last) if begin <= last else b""


def _part(data: bytes, found: list[Entry], begin: int, last: int) -> bytes:
    """The frames from a state to another frame, as a file of their own; empty without a start."""
    start = _start_before(data, found[:begin])
    if start is None:
        return b""
    state = found[begin]
    head = frames.pack(Kind.START, start, 0, state.first, state.at, state.at)
    end = found[last + 1].offset if last + 1 < len(found) else _end(data)
    return frames.MAGIC + head + data[state.offset : end]


def _start_before(data: bytes, found: list[Entry]) -> Any:
    """The last start among these frames, with the settings that were adopted after it."""
    start: Any = None
    for entry in found:
        if entry.kind is not Kind.START and not entry.adopts:
            continue
        frame = frames.frame_at(data, entry.offset)
        if frame is None:
            continue
        if entry.kind is Kind.START:
            start = frame.body
        elif isinstance(start, dict):
            for row in frame.body:
                if row[0] == "a":
                    start = start | {"settings": row[3]}
    return start


def _end(data: bytes) -> int:
    """Where the frames that are no index end."""
    last = frames.frame_at(data, len(data) - TAIL_SIZE)
    return last.first if last is not None and last.kind is Kind.TAIL else len(data)
