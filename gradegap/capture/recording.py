"""Reads a recording as a sequence of steps, settings changes, states and gaps. I/O: reads a file.

An item is yielded as soon as its frame is read. A missing or damaged frame yields a `Gap`; from the
gap to the next `State`, the balancer's state is unknown.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gradegap.balancing.actions import Action
from gradegap.balancing.events import Event
from gradegap.balancing.settings import Settings
from gradegap.capture import frames, records
from gradegap.capture.errors import BadRecordError, BadRecordingError
from gradegap.capture.frames import Damage, Frame, FrameKind


@dataclass(slots=True, frozen=True)
class Step:
    """One event with the actions that the balancer returned for it."""

    number: int
    at: float  # clock, s
    event: Event
    actions: list[Action]


@dataclass(slots=True, frozen=True)
class SettingsChange:
    """New settings that the balancer adopted."""

    number: int
    at: float  # clock, s
    settings: Settings


@dataclass(slots=True, frozen=True)
class State:
    """The state that the balancer had just before step `number`, and the START frame that applies to it."""

    number: int
    at: float  # clock, s
    stored: Any  # in the form of `gradegap.capture.state`
    start: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Gap:
    """Missing or damaged steps; a replay can continue only at the next state."""

    reason: str


Item = Step | SettingsChange | State | Gap


def read_file(path: str) -> bytes:
    """Returns the content of a file; raises `BadRecordingError` if it can't be read."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise BadRecordingError(f"{path} can't be read: {error.strerror}") from None


def read(data: bytes) -> Iterator[Item]:
    """Yields the items of a file in order; raises `BadRecordingError` if it is not a recording."""
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
    """Decodes the frames of a file and detects missing ones."""

    def __init__(self) -> None:
        self._start: dict[str, Any] | None = None
        self._next_number: int | None = None  # number that the next record should have; None after a gap

    def gap(self, reason: str) -> Gap:
        self._next_number = None
        return Gap(reason)

    def read(self, frame: Frame) -> Iterator[Item]:
        match frame.kind:
            case FrameKind.START:
                self._begin(frame.body)
            case FrameKind.STATE:
                if self._start is None:
                    raise BadRecordError("STATE frame without a preceding START frame")
                self._next_number = frame.first_number
                yield State(frame.first_number, frame.first_at, frame.body, self._start)
            case FrameKind.GAP:
                yield self.gap(f"{frame.record_count} steps were dropped, from {frame.first_number} on")
            case FrameKind.STEPS:
                yield from self._steps(frame)

    def _begin(self, body: Any) -> None:
        if not isinstance(body, dict) or not isinstance(body.get("settings"), dict):
            raise BadRecordError("START frame without a map `settings`")
        self._start = body
        records.settings(body["settings"])

    def _steps(self, frame: Frame) -> Iterator[Item]:
        if self._next_number is not None and frame.first_number != self._next_number:
            yield Gap(f"steps {self._next_number} to {frame.first_number - 1} are missing")
        for step in _rows(frame.body):
            if isinstance(step, SettingsChange) and self._start is not None:
                self._start = self._start | {"settings": records.plain_settings(step.settings)}
            yield step
        self._next_number = frame.first_number + frame.record_count


def _rows(body: Any) -> Iterator[Step | SettingsChange]:
    if not isinstance(body, list):
        raise BadRecordError(f"STEPS frame must hold a list, got {type(body).__name__}")
    for row in body:
        match row:
            case ["s", int(number), float(at), list(event), list(actions)]:
                yield Step(number, at, records.event(event), [records.action(a) for a in actions])
            case ["a", int(number), float(at), dict(raw)]:
                yield SettingsChange(number, at, records.settings(raw))
            case _:
                raise BadRecordError("STEPS row is neither a step nor a settings change")
