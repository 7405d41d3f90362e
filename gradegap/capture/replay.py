"""The same decisions again: a capture's events, under its clock, fed to a module. No I/O but reading files.

A replay begins at a state, goes through every later one and holds its own against it, and stops being
evidence where the record has a gap, until the next state.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

from gradegap import VERSION
from gradegap.capture import decision_module, frames, records, state
from gradegap.capture.errors import BadStateError, DecisionVersion, LaterStateError, OtherAlgorithmError
from gradegap.capture.frames import BadCaptureError, Damage, Frame, Kind
from gradegap.capture.schema import BALANCER, ENDPOINT, REQUEST

LAST = 8  # events told of in front of a difference
RECENT = 2000  # events among which these are looked for


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

    why: str


Item = Step | SettingsChange | State | Gap


def items(data: bytes) -> Iterator[Item]:
    """All that a file says, in order. `BadCaptureError` where it is none."""
    reader = _Reader()
    for frame in frames.read(data):
        if isinstance(frame, Damage):
            yield reader.gap(f"{frame.length} bytes at {frame.offset}: {frame.why}")
            continue
        try:
            yield from reader.read(frame)
        except records.BadRecordError as error:
            yield reader.gap(str(error))


class _Reader:
    """Goes through a file's frames, and sees where one is missing."""

    def __init__(self) -> None:
        self.start: dict[str, Any] | None = None
        self.following = -1  # number of the step that comes next; -1: unknown, until the next state

    def gap(self, why: str) -> Gap:
        self.following = -1
        return Gap(why)

    def read(self, frame: Frame) -> Iterator[Item]:
        match frame.kind:
            case Kind.START:
                self._begin(frame.body)
            case Kind.STATE:
                if self.start is None:
                    raise records.BadRecordError("a state without a start")
                self.following = frame.first
                yield State(frame.first, frame.at, frame.body, self.start)
            case Kind.GAP:
                yield self.gap(f"{frame.records} steps were dropped, from {frame.first} on")
            case Kind.STEPS:
                yield from self._steps(frame)

    def _begin(self, body: Any) -> None:
        if not isinstance(body, dict) or not isinstance(body.get("settings"), dict):
            raise records.BadRecordError("a start without settings")
        self.start = body
        records.settings(body["settings"])

    def _steps(self, frame: Frame) -> Iterator[Item]:
        if self.following >= 0 and frame.first != self.following:
            yield Gap(f"steps {self.following} to {frame.first - 1} are not there")
        for step in _steps(frame):
            if isinstance(step, SettingsChange) and self.start is not None:
                self.start = self.start | {"settings": records.plain_settings(step.settings)}
            yield step
        self.following = frame.first + frame.records


def _steps(frame: Frame) -> Iterator[Step | SettingsChange]:
    if not isinstance(frame.body, list):
        raise records.BadRecordError("steps that are no list")
    for row in frame.body:
        match row:
            case ["s", int(seq), float(at), list(event), list(actions)]:
                yield Step(seq, at, records.event(event), [records.action(a) for a in actions])
            case ["a", int(seq), float(at), dict(raw)]:
                yield SettingsChange(seq, at, records.settings(raw))
            case _:
                raise records.BadRecordError("a step of no kind")


def begin(module: ModuleType, recorded: State) -> Any:
    """A `Balancer` of the module in a recorded state.

    Raises `BadStateError` where they don't fit; its subclasses say which versions are at odds.
    """
    settings = records.settings(recorded.start["settings"])
    try:
        return state.load(module, recorded.held, settings)
    except OtherAlgorithmError as error:
        recorder = DecisionVersion(
            str(recorded.start.get("version", "unknown")), str(recorded.start.get("policy", "unknown"))
        )
        present = DecisionVersion(VERSION, decision_module.digest_of(module))
        raise OtherAlgorithmError(error.kind, error.fields, recorder, present) from None


@dataclass(slots=True)
class Difference:
    """The first decision that is not the recorded one."""

    step: Step
    did: list[Any]
    before: list[Step]  # the last events that touched what it is about
    about: list[str]  # the state behind it, in words


@dataclass(slots=True)
class Report:
    """What came of a replay."""

    steps: int = 0
    states: int = 0  # that the replay's own was held against
    gaps: list[str] = field(default_factory=list)
    digest: str = ""  # of all actions
    difference: Difference | None = None
    state_differs: str = ""


def encoded(actions: Iterable[Any]) -> bytes:
    """Exact, so that floats and what is no number compare."""
    return msgspec.msgpack.encode([records.plain(a) for a in actions])


def about(balancer: Any, now: float, actions: Iterable[Any]) -> list[str]:
    """The state behind decisions, in words: the endpoints and requests that they name."""
    lines = []
    endpoints, requests = BALANCER.get(balancer, "endpoints"), BALANCER.get(balancer, "requests")
    for name in sorted({n for a in actions for n in records.names(a)}, key=str):
        if name in endpoints:
            lines.append(_endpoint_line(endpoints[name], now))
        if name in requests:
            lines.append(_request_line(requests[name], now))
    ready = len(BALANCER.get(balancer, "ready_endpoints"))
    rate = BALANCER.owner(balancer, "established_rate.slow").get(now)
    lines.append(f"{ready} ready, {rate:.2f} connections a second stood up here")
    return lines


def _endpoint_line(endpoint: Any, now: float) -> str:
    held = {stored: ENDPOINT.get(endpoint, stored) for stored in ENDPOINT.fields}
    load = "unknown" if held["load"] is None else round(held["load"], 4)
    seen_at = held["report_changed_at"]
    age = f", seen {now - seen_at:.3f} s ago" if seen_at > 0 else ""
    return (
        f"{held['name']}: {held['phase'].name.lower()}, load {load}{age}, {len(held['connections'])} held, "
        f"{held['consecutive_failures']} failed in a row, {held['unanswered_probes']} silent"
    )


def _request_line(request: Any, now: float) -> str:
    held = {stored: REQUEST.get(request, stored) for stored in REQUEST.fields}
    pair = " and ".join(ENDPOINT.get(each, "name") for each in held["candidates"] or ()) or "none"
    left = held["deadline_at"] - now
    return (
        f"req {held['id']}: {held['class'].name}, {held['attempts']} attempts, {left:.3f} s left, "
        f"pair {pair}, {held['redraws']} redraws"
    )


def replay(
    source: Iterable[Item], module: ModuleType, since: float = -1e18, until_differs: bool = True
) -> Report:
    """Feed what is recorded to `module`, from the last state before clock `since` on."""
    run = _Replay(module, since, until_differs)
    for item in source:
        run.see(item)
        if run.over:
            break
    run.report.digest = run.digest.hexdigest()
    return run.report


class _Replay:
    """A module that is fed a record, and the report of it."""

    def __init__(self, module: ModuleType, since: float, until_differs: bool) -> None:
        self.module = module
        self.since = since
        self.until_differs = until_differs
        self.report = Report()
        self.digest = hashlib.blake2b(digest_size=16)
        self.balancer: Any = None  # None until a state was loaded, and behind a gap
        self.recent: deque[Step] = deque(maxlen=RECENT)
        self.over = False

    def see(self, item: Item) -> None:
        match item:
            case State():
                if self.balancer is None or item.at <= self.since:
                    self._load(item)
                else:
                    self._hold_against(item)
            case Gap(why):
                self.balancer = None
                self.report.gaps.append(why)
            case SettingsChange():
                if self.balancer is not None:
                    self.balancer.adopt(item.settings)
            case Step():
                if self.balancer is not None:
                    self._step(item)

    def _load(self, recorded: State) -> None:
        try:
            self.balancer = begin(self.module, recorded)
        except LaterStateError:
            raise
        except BadStateError as error:
            if str(error) not in self.report.gaps:  # each state of a file may say the same
                self.report.gaps.append(str(error))

    def _hold_against(self, recorded: State) -> None:
        """The module's own state against the recorded one."""
        self.report.states += 1
        settings = records.settings(recorded.start["settings"])
        try:
            same = state.same(self.module, self.balancer, recorded.held, settings)
        except LaterStateError:
            raise
        except BadStateError:
            same = False
        if not same and not self.report.state_differs:
            self.report.state_differs = f"at step {recorded.seq} the state is not the recorded one"
            self.over = self.until_differs

    def _step(self, step: Step) -> None:
        try:
            did = self.balancer.handle(step.at, step.event)
        except Exception as error:  # a module that breaks is what is looked for
            self.report.difference = Difference(step, [], [], [f"the module raised {error!r}"])
            self.over = True
            return
        self.report.steps += 1
        raw = encoded(did)
        self.digest.update(raw)
        if raw != encoded(step.actions) and self.report.difference is None:
            self.report.difference = self._difference(step, did)
            self.over = self.until_differs
        self.recent.append(step)

    def _difference(self, step: Step, did: list[Any]) -> Difference:
        known = {n for a in (step.event, *did, *step.actions) for n in records.names(a)}
        before = [s for s in self.recent if known & records.names(s.event)][-LAST:]
        words = about(self.balancer, step.at, (*did, *step.actions))
        return Difference(step, did, before, words)


@dataclass(slots=True)
class Comparison:
    """Two captures of the same events, step by step."""

    steps: int = 0
    gaps: list[str] = field(default_factory=list)
    first: tuple[Step, Step] | None = None  # the first two that differ
    event: bool = False  # what was told differs already, and not only what was done


def compare(one: Iterable[Item], other: Iterable[Item]) -> Comparison:
    """Steps of both that bear one number; what only one has is passed over."""
    found = Comparison()

    def steps(source: Iterable[Item]) -> Iterator[Step]:
        for item in source:
            if isinstance(item, Gap):
                found.gaps.append(item.why)
            elif isinstance(item, Step):
                yield item

    left, right = steps(one), steps(other)
    a, b = next(left, None), next(right, None)
    while a is not None and b is not None:
        if a.seq < b.seq:
            a = next(left, None)
            continue
        if b.seq < a.seq:
            b = next(right, None)
            continue
        found.steps += 1
        found.event = a.at != b.at or encoded([a.event]) != encoded([b.event])
        if found.event or encoded(a.actions) != encoded(b.actions):
            found.first = a, b
            break
        a, b = next(left, None), next(right, None)
    return found


def load(path: str) -> bytes:
    """A file's bytes; `BadCaptureError` where they can't be had."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise BadCaptureError(f"{path} can't be read: {error.strerror}") from None
