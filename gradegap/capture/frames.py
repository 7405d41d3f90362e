"""The file format of a recording: frames, each with its own checksum and compression. No I/O.

    file   = MAGIC frame*
    frame  = mark kind packed-length plain-length records first-seq first-at last-at crc body

A truncated or damaged frame does not affect other frames: a reader searches for the next mark and reports the
bytes that it skipped. Lengths are checked against a limit before memory is allocated, and decompression stops
at the declared length. The format is described in docs/design/capture.md.
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
# Mark, kind, packed and plain size in bytes, record count, first number, first and last clock in s, CRC.
_HEADER = struct.Struct("<4sBIIIQddI")
# Limit of a frame's body, compressed or not: enough for the state of about 100,000 connections.
MAX_BODY_BYTES = 32 * 1024 * 1024
ZSTD_COMPRESSION_LEVEL = 3


class FrameKind(enum.IntEnum):
    """The kind of a frame's content."""

    START = 1  # the seed, settings and versions that a replay starts with
    STEPS = 2
    STATE = 3  # the decision module's state after the preceding record
    GAP = 4  # marks dropped records; a replay continues at the next state
    INDEX = 5  # the index of all preceding frames; see `gradegap.capture.index`
    TAIL = 6  # the last frame of a file that was closed properly: the offset of its index


@dataclass(slots=True, frozen=True)
class Frame:
    """A valid frame."""

    kind: FrameKind
    record_count: int
    first_number: int  # the number of its first record
    first_at: float  # clock of its first record, s
    last_at: float  # clock of its last record, s
    body: Any


@dataclass(slots=True, frozen=True)
class Damage:
    """A range of bytes that contains no valid frame."""

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
    """Encodes a frame; raises `FrameTooLargeError` for a body of more than `MAX_BODY_BYTES`."""
    import zstandard

    encoded = msgspec.msgpack.encode(body)
    if len(encoded) > MAX_BODY_BYTES:
        raise FrameTooLargeError(len(encoded))
    packed = zstandard.ZstdCompressor(level=ZSTD_COMPRESSION_LEVEL).compress(encoded)
    header = _HEADER.pack(
        MARK, kind, len(packed), len(encoded), record_count, first_number, first_at, last_at, 0
    )
    crc = zlib.crc32(packed, zlib.crc32(header))
    return header[:-4] + struct.pack("<I", crc) + packed


def check_magic(data: bytes) -> None:
    """Raises `BadRecordingError` for another kind of file, or an unsupported format version."""
    if not data.startswith(b"gradegap capture "):
        raise BadRecordingError("the file is not a recording")
    if not data.startswith(MAGIC):
        found_version = data[17:27].split(b"\n")[0].decode("ascii", "replace")
        raise OtherVersionError(found_version, VERSION)


def read(data: bytes) -> Iterator[Frame | Damage]:
    """Yields the valid frames of a file and its damaged ranges, in order; omits index frames.

    Raises `BadRecordingError` if the data is not a recording.
    """
    for _, item in read_located(data):
        if isinstance(item, Damage) or item.kind not in (FrameKind.INDEX, FrameKind.TAIL):
            yield item


def read_located(data: bytes) -> Iterator[tuple[int, Frame | Damage]]:
    """Like `read`, but yields index frames as well, and the offset of each item."""
    check_magic(data)
    offset, damaged_from, reason = len(MAGIC), -1, ""
    while offset < len(data):
        try:
            frame, end = _parse(data, offset)
        except _InvalidFrameError as error:
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
    """Returns the frame that starts at `offset`, or None if no valid frame starts there."""
    if not len(MAGIC) <= offset < len(data):
        return None
    try:
        return _parse(data, offset)[0]
    except _InvalidFrameError:
        return None


class _InvalidFrameError(ValueError):
    """The bytes at an offset are not a valid frame; the message is the reason."""


def _parse(data: bytes, offset: int) -> tuple[Frame, int]:
    """Returns the frame at an offset, and the offset of its end."""
    import zstandard

    if offset + _HEADER.size > len(data) and MARK.startswith(data[offset : offset + len(MARK)]):
        raise _InvalidFrameError("frame truncated")
    if not data.startswith(MARK, offset):
        raise _InvalidFrameError("no frame mark at this offset")
    header = _HEADER.unpack_from(data, offset)
    _, kind, packed_size, size, record_count, first_number, first_at, last_at, crc = header
    begin = offset + _HEADER.size
    # Rejects excessive declared sizes before any memory is allocated for them.
    if packed_size > MAX_BODY_BYTES or size > MAX_BODY_BYTES:
        raise _InvalidFrameError(f"declared size exceeds {MAX_BODY_BYTES} bytes")
    end = begin + packed_size
    if end > len(data):
        raise _InvalidFrameError("frame truncated")
    packed = data[begin:end]
    if zlib.crc32(packed, zlib.crc32(data[offset : begin - 4] + b"\0\0\0\0")) != crc:
        raise _InvalidFrameError("checksum mismatch")
    try:
        frame_kind = FrameKind(kind)
        encoded = zstandard.ZstdDecompressor().decompress(packed, max_output_size=size)
        if len(encoded) != size or zstandard.frame_content_size(packed) != size:
            raise _InvalidFrameError("declared size does not match the content")
        body = msgspec.msgpack.decode(encoded)
    except _InvalidFrameError:
        raise
    except (ValueError, zstandard.ZstdError, RecursionError) as error:
        raise _InvalidFrameError(f"can't be unpacked: {str(error)[:60]}") from None
    return Frame(frame_kind, record_count, first_number, first_at, last_at, body), end
