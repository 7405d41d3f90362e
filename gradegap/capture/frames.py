"""The file of a capture: frames, each checked and compressed on its own. No I/O; docs/design/capture.md.

    file   = MAGIC frame*
    frame  = mark kind packed-length plain-length records first-seq first-at last-at crc body

A cut or damaged frame costs itself alone: a reader that meets one looks for the next mark, and says what it
passed over. Lengths are bounded before anything is allocated; a body is unpacked into no more than it says.
"""

from __future__ import annotations

import enum
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from gradegap.capture.errors import BadRecordingError

VERSION = 1
MAGIC = b"gradegap capture %d\n" % VERSION
MARK = b"\xf5ggF"
_HEAD = struct.Struct("<4sBIIIQddI")  # mark, kind, packed, plain, records, first seq, first and last at, crc
MOST = 32 * 1024 * 1024  # bytes of a frame's body, packed or not: the state of some 100,000 connections
LEVEL = 3


class Kind(enum.IntEnum):
    """What a frame holds."""

    START = 1  # seed, settings, versions: what a replay begins with
    STEPS = 2
    STATE = 3  # the module's state, after the record before
    GAP = 4  # records were dropped here; a replay goes on at the next state
    INDEX = 5  # of all frames before it; `gradegap.capture.index`
    TAIL = 6  # the last frame of a file that was ended in order: where its index is


@dataclass(slots=True, frozen=True)
class Frame:
    """A sound frame."""

    kind: Kind
    records: int
    first: int  # the number of its first record
    at: float  # clock of its first record, and of its last, s
    until: float
    body: Any


@dataclass(slots=True, frozen=True)
class Damage:
    """Bytes that hold no sound frame."""

    offset: int
    length: int
    why: str


def pack(
    kind: Kind, body: Any, records: int = 0, first: int = 0, at: float = 0.0, until: float = 0.0
) -> bytes:
    """A frame as it stands in a file."""
    import zstandard

    raw = msgspec.msgpack.encode(body)
    if len(raw) > MOST:
        raise ValueError(f"a frame of {len(raw)} bytes")
    packed = zstandard.ZstdCompressor(level=LEVEL).compress(raw)
    head = _HEAD.pack(MARK, kind, len(packed), len(raw), records, first, at, until, 0)
    crc = zlib.crc32(packed, zlib.crc32(head))
    return head[:-4] + struct.pack("<I", crc) + packed


def check(data: bytes) -> None:
    """`BadRecordingError` for another kind of file, or a version that this one can't read."""
    if not data.startswith(b"gradegap capture "):
        raise BadRecordingError("this is no capture")
    if not data.startswith(MAGIC):
        said = data[17:27].split(b"\n")[0].decode("ascii", "replace")
        raise BadRecordingError(f"a capture of version {said}; this program reads version {VERSION}")


def read(data: bytes) -> Iterator[Frame | Damage]:
    """All that is sound in a file, in order, and where something was not, without its index.

    `BadRecordingError` for what is no capture.
    """
    for _, found in located(data):
        if isinstance(found, Damage) or found.kind not in (Kind.INDEX, Kind.TAIL):
            yield found


def located(data: bytes) -> Iterator[tuple[int, Frame | Damage]]:
    """The same with the offset of each, and with the index."""
    check(data)
    at, bad_from, why = len(MAGIC), -1, ""
    while at < len(data):
        found = _frame(data, at)
        if isinstance(found, str):
            if bad_from < 0:
                bad_from, why = at, found
            following = data.find(MARK, at + 1)
            at = following if following >= 0 else len(data)
            continue
        if bad_from >= 0:
            yield bad_from, Damage(bad_from, at - bad_from, why)
            bad_from = -1
        frame, end = found
        yield at, frame
        at = end
    if bad_from >= 0:
        yield bad_from, Damage(bad_from, len(data) - bad_from, why)


def frame_at(data: bytes, offset: int) -> Frame | None:
    """The frame that begins there; None where none does that is sound."""
    if not len(MAGIC) <= offset < len(data):
        return None
    found = _frame(data, offset)
    return None if isinstance(found, str) else found[0]


def _frame(data: bytes, at: int) -> tuple[Frame, int] | str:
    """The frame there and where it ends; or what is wrong with it."""
    import zstandard

    if at + _HEAD.size > len(data) and MARK.startswith(data[at : at + len(MARK)]):
        return "cut off"
    if not data.startswith(MARK, at):
        return "no frame begins here"
    _, kind, packed, size, records, first, began, until, crc = _HEAD.unpack_from(data, at)
    body = at + _HEAD.size
    # Guards against declared sizes that nothing stands behind: nothing is allocated for them.
    if packed > MOST or size > MOST:
        return "a size that no frame has"
    if body + packed > len(data):
        return "cut off"
    held = data[body : body + packed]
    if zlib.crc32(held, zlib.crc32(data[at : body - 4] + b"\0\0\0\0")) != crc:
        return "its sum is wrong"
    try:
        kind = Kind(kind)
        raw = zstandard.ZstdDecompressor().decompress(held, max_output_size=size)
        if len(raw) != size or zstandard.frame_content_size(held) != size:
            return "a size that it does not have"
        value = msgspec.msgpack.decode(raw)
    except (ValueError, zstandard.ZstdError, RecursionError) as error:
        return f"can't be unpacked: {str(error)[:60]}"
    return Frame(kind, records, first, began, until, value), body + packed
