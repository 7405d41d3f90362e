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

from gradegap.capture.errors import BadRecordingError, FrameTooLargeError, OtherVersionError

VERSION = 1
MAGIC = b"gradegap capture %d\n" % VERSION
MARK = b"\xf5ggF"
# Mark, kind, packed and plain size, number of records, first number, first and last clock, CRC.
_HEADER = struct.Struct("<4sBIIIQddI")
MAX_BODY_BYTES = 32 * 1024 * 1024  # of a frame, packed or not: the state of some 100,000 connections
COMPRESSION_LEVEL = 3  # of zstandard


class FrameKind(enum.IntEnum):
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

    kind: FrameKind
    record_count: int
    first_number: int  # of its first record
    first_at: float  # clock of its first record, s
    last_at: float  # clock of its last record, s
    body: Any


@dataclass(slots=True, frozen=True)
class Damage:
    """Bytes that hold no sound frame."""

    offset: int
    length: int
    reason: str


def pack(
    kind: FrameKind,
    body: Any,
    record_count: int = 0,
    first_number: int = 0,
    first_at: float = 0.0,
    last_at: float = 0.0,
) -> bytes:
    """A frame as it is in a file; `FrameTooLargeError` for a body of more than `MAX_BODY_BYTES`."""
    import zstandard

    raw = msgspec.msgpack.encode(body)
    if len(raw) > MAX_BODY_BYTES:
        raise FrameTooLargeError(len(raw))
    packed = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(raw)
    head = _HEADER.pack(MARK, kind, len(packed), len(raw), record_count, first_number, first_at, last_at, 0)
    crc = zlib.crc32(packed, zlib.crc32(head))
    return head[:-4] + struct.pack("<I", crc) + packed


def check_magic(data: bytes) -> None:
    """Raises `BadRecordingError` for another kind of file, or a version that this program does not read."""
    if not data.startswith(b"gradegap capture "):
        raise BadRecordingError("this is no capture")
    if not data.startswith(MAGIC):
        found = data[17:27].split(b"\n")[0].decode("ascii", "replace")
        raise OtherVersionError(found, VERSION)


def read(data: bytes) -> Iterator[Frame | Damage]:
    """All that is sound in a file, in order, and where something was not, without its index.

    Raises `BadRecordingError` for what is no recording.
    """
    for _, found in read_located(data):
        if isinstance(found, Damage) or found.kind not in (FrameKind.INDEX, FrameKind.TAIL):
            yield found


def read_located(data: bytes) -> Iterator[tuple[int, Frame | Damage]]:
    """The same with the offset of each, and with the index."""
    check_magic(data)
    offset, damaged_from, reason = len(MAGIC), -1, ""
    while offset < len(data):
        try:
            frame, end = _parse(data, offset)
        except _UnsoundFrameError as error:
            if damaged_from < 0:
                damaged_from, reason = offset, str(error)
            next_mark = data.find(MARK, offset + 1)
            offset = next_mark if next_mark >= 0 else len(data)
            continue
        if damaged_from >= 0:
            yield damaged_from, Damage(damaged_from, offset - damaged_from, reason)
            damaged_from = -1
        yield offset, frame
        offset = end
    if damaged_from >= 0:
        yield damaged_from, Damage(damaged_from, len(data) - damaged_from, reason)


def frame_at(data: bytes, offset: int) -> Frame | None:
    """The frame that begins there; None where none does that is sound."""
    if not len(MAGIC) <= offset < len(data):
        return None
    try:
        return _parse(data, offset)[0]
    except _UnsoundFrameError:
        return None


class _UnsoundFrameError(ValueError):
    """What is wrong with the bytes at an offset."""


def _parse(data: bytes, offset: int) -> tuple[Frame, int]:
    """The frame at an offset, and the offset of its end."""
    import zstandard

    if offset + _HEADER.size > len(data) and MARK.startswith(data[offset : offset + len(MARK)]):
        raise _UnsoundFrameError("cut off")
    if not data.startswith(MARK, offset):
        raise _UnsoundFrameError("no frame begins here")
    header = _HEADER.unpack_from(data, offset)
    _, kind, packed_size, size, record_count, first_number, first_at, last_at, crc = header
    begin = offset + _HEADER.size
    # Guards against declared sizes that nothing stands behind: nothing is allocated for them.
    if packed_size > MAX_BODY_BYTES or size > MAX_BODY_BYTES:
        raise _UnsoundFrameError("a size that no frame has")
    end = begin + packed_size
    if end > len(data):
        raise _UnsoundFrameError("cut off")
    packed = data[begin:end]
    if zlib.crc32(packed, zlib.crc32(data[offset : begin - 4] + b"\0\0\0\0")) != crc:
        raise _UnsoundFrameError("its sum is wrong")
    try:
        frame_kind = FrameKind(kind)
        raw = zstandard.ZstdDecompressor().decompress(packed, max_output_size=size)
        if len(raw) != size or zstandard.frame_content_size(packed) != size:
            raise _UnsoundFrameError("a size that it does not have")
        body = msgspec.msgpack.decode(raw)
    except _UnsoundFrameError:
        raise
    except (ValueError, zstandard.ZstdError, RecursionError) as error:
        raise _UnsoundFrameError(f"can't be unpacked: {str(error)[:60]}") from None
    return Frame(frame_kind, record_count, first_number, first_at, last_at, body), end
