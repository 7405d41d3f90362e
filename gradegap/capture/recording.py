"""What a recording says, in order: steps, changes of settings, states, and gaps. No I/O but reading a file.

An item is yielded as soon as its frame is read. Where a frame is missing or damaged there is a `Gap`, from
which nothing is known up to the next `State`.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gradegap.capture import frames, records
from gradegap.capture.errors import BadRecordError, BadRecordingError
from gradegap.capture.frames import Damage, Frame, FrameKind


@dataclass(slots=True, frozen=True)
class Step:
    """One event with what was done, as recorded."""

    seq: int
    at: float
    event: Any
    actions: list[Any]


@dataclass(slots=True, frozen=True)
class SettingsChange:
    """New settings that the module was given."""

    seq: int
    at: float
    settings: Any


@dataclass(slots=True, frozen=True)
class State:
    """The module's state, and the start that it belongs to."""

    seq: int
    at: float
    held: Any
    start: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Gap:
    """From here to the next state nothing can be replayed."""

    reason: str


Item = Step | SettingsChange | State | Gap


def read(data: bytes) -> Iterator[Item]:
    """All that a file says, in order. `BadRecordingError` where it is none."""
    reader = _Reader()
    for frame in frames.read(data):
        if isinstance(frame, Damage):
            yield reader.gap(f"{frame.length} bytes at {frame.offset}: {frame.reason}")
            continue
        try:
            yield from reader.read(frame)
        except BadRecordError as error:
            yield reader.gap(str(error))


class _Reader:
    """Goes through a file's frames, and sees where one is missing."""

    def __init__(self) -> None:
        self.start: dict[str, Any] | None = None
        self.following = -1  # number of the step that comes next; -1: unknown, until the next state

    def gap(self, reason: str) -> Gap:
        self.following = -1
        return Gap(reason)

    def read(self, frame: Frame) -> Iterator[Item]:
        match frame.kind:
            case FrameKind.START:
                self._begin(frame.body)
            case FrameKind.STATE:
                if self.start is None:
                    raise BadRecordError("a state without a start")
                self.following = frame.first_number
                yield State(frame.first_number, frame.first_at, frame.body, self.start)
            case FrameKind.GAP:
                yield self.gap(f"{frame.record_count} steps were dropped, from {frame.first_number} on")
            case FrameKind.STEPS:
                yield from self._steps(frame)

    def _begin(self, body: Any) -> None:
        if not isinstance(body, dict) or not isinstance(body.get("settings"), dict):
            raise BadRecordError("a start without settings")
        self.start = body
        records.settings(body["settings"])

    def _steps(self, frame: Frame) -> Iterator[Item]:
        if self.following >= 0 and frame.first_number != self.following:
            yield Gap(f"steps {self.following} to {frame.first_number - 1} are not there")
        for step in _steps(frame):
            if isinstance(step, SettingsChange) and self.start is not None:
                self.start = self.start | {"settings": records.plain_settings(step.settings)}
            yield step
        self.following = frame.first_number + frame.record_count


def _steps(frame: Frame) -> Iterator[Step | SettingsChange]:
    if not isinstance(frame.body, list):
        raise BadRecordError("steps that are no list")
    for row in frame.body:
        match row:
            case ["s", int(seq), float(at), list(event), list(actions)]:
                yield Step(seq, at, records.event(event), [records.action(a) for a in actions])
            case ["a", int(seq), float(at), dict(raw)]:
                yield SettingsChange(seq, at, records.settings(raw))
            case _:
                raise BadRecordError("a step of no kind")


def read_file(path: str) -> bytes:
    """A file's bytes; `BadRecordingError` where they can't be had."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise BadRecordingError(f"{path} can't be read: {error.strerror}") from None
