"""Writes recordings to a ring of files, each with a START frame, a state, and an index at its end.

All methods of `RecordingWriter` run on the recorder's thread and may block on the disk.
"""

from __future__ import annotations

import contextlib
import os
import time
from collections.abc import Sequence
from pathlib import Path
from typing import IO, Any

from gradegap.capture import frames, records
from gradegap.capture.frames import FrameKind
from gradegap.capture.index import Builder
from gradegap.capture.settings import CaptureSettings
from gradegap.metrics import Metrics

SUFFIX = ".ggc"
MEBIBYTE = 1024 * 1024

# (number, clock, event, actions), or (number, clock, None, adopted settings). A plain tuple, because
# the event loop creates one for each event.
StepRow = tuple[int, float, Any, Any]


class RecordingWriter:
    """The files of one recording.

    Each file starts with a state, so nothing is written before the first one. Methods raise `OSError` if the
    disk fails, and `FrameTooLargeError` for a frame larger than readers accept.
    """

    def __init__(self, settings: CaptureSettings, metrics: Metrics) -> None:
        self._settings, self._metrics = settings, metrics
        self._folder = Path(settings.folder)
        self._file: IO[bytes] | None = None
        self._size = 0  # size of the file in progress, in bytes
        self._parts = 0  # number of files started
        self._index = Builder()  # index of the open file
        self._settings_written: dict[str, Any] | None = (
            None  # settings in the last START frame of the open file
        )

    @property
    def is_open(self) -> bool:
        """Whether a file is being written."""
        return self._file is not None

    def write_steps(self, rows: Sequence[StepRow]) -> None:
        """Writes consecutive steps as one frame."""
        body: list[Any] = []
        about: set[Any] = set()
        changes_settings = False
        for number, at, event, actions in rows:
            if event is None:
                changes_settings = True
                body.append(["a", number, at, records.plain_settings(actions)])
                continue
            body.append(["s", number, at, records.plain(event), [records.plain(a) for a in actions]])
            for value in (event, *actions):
                about |= records.names(value)
        first, first_at, last_at = rows[0][0], rows[0][1], rows[-1][1]
        offset = self._write_frame(FrameKind.STEPS, body, len(body), first, first_at, last_at)
        if offset is not None:
            self._index.add(
                offset, FrameKind.STEPS, first, len(body), first_at, last_at, changes_settings, about
            )

    def write_gap(self, first: int, count: int) -> None:
        """Writes a GAP frame for `count` dropped steps; `first` is the number of the first one."""
        offset = self._write_frame(FrameKind.GAP, {"dropped": count}, count, first)
        if offset is not None:
            self._index.add(offset, FrameKind.GAP, first, count)

    def write_state(self, start: dict[str, Any], stored: dict[str, Any], number: int, at: float) -> None:
        """Writes the state as it was just before step `number`; first starts a new file if necessary."""
        if self._file is None or self._size >= self._settings.part_mb * MEBIBYTE:
            self.end_file()
            self._begin_file(start["made"])
        if start["settings"] != self._settings_written:
            # A dropped batch may contain a settings change, so the settings are written before a state.
            offset = self._write_frame(FrameKind.START, start, 0, number, at, at)
            if offset is not None:
                self._index.add(offset, FrameKind.START, number, 0, at, at)
            self._settings_written = start["settings"]
        offset = self._write_frame(FrameKind.STATE, stored, 0, number, at, at)
        if offset is not None:
            self._index.add(offset, FrameKind.STATE, number, 0, at, at)

    def end_file(self) -> None:
        """Appends the index and closes the file; disk errors are ignored."""
        if self._file is not None:
            with contextlib.suppress(OSError):
                self._write(self._index.sealed(self._size))
        file, self._file = self._file, None
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()

    def _begin_file(self, made: float) -> None:
        self._parts += 1
        path = self._folder / f"{round(made * 1000):014d}-{os.getpid()}-{self._parts}{SUFFIX}"
        self._file = path.open("xb", buffering=0)
        self._size, self._index = 0, Builder()
        self._write(frames.MAGIC)
        self._remove_old(path)
        self._settings_written = None

    def _write(self, data: bytes) -> None:
        if self._file is not None:
            self._file.write(data)
            self._size += len(data)
            self._metrics.count("capture_bytes", len(data))

    def _write_frame(
        self,
        kind: FrameKind,
        body: Any,
        record_count: int = 0,
        first_number: int = 0,
        first_at: float = 0.0,
        last_at: float = 0.0,
    ) -> int | None:
        """Appends a frame to the file and returns its offset; None if no file is open."""
        offset = self._size if self._file is not None else None
        self._write(frames.pack(kind, body, record_count, first_number, first_at, last_at))
        return offset

    def _remove_old(self, newest: Path) -> None:
        """Deletes files beyond the limits of total size and age, except the one in use."""
        limit, total_bytes = self._settings.total_mb * MEBIBYTE, 0
        for path in sorted(self._folder.glob(f"*{SUFFIX}"), reverse=True):
            with contextlib.suppress(OSError):
                status = path.stat()
                total_bytes += status.st_size
                expired = time.time() - status.st_mtime > self._settings.age_s
                if path != newest and (expired or total_bytes > limit):
                    path.unlink()
                    self._metrics.count("capture_files_removed")
