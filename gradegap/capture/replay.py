"""The same decisions again: a capture's events, under its clock, fed to a module. No I/O but reading files.

A replay begins at a state, goes through every later one and holds its own against it, and stops being
evidence where the record has a gap, until the next state.
"""

from __future__ import annotations

import hashlib
import importlib.util
import sys
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

from gradegap.capture import frames, records, state
from gradegap.capture.frames import BadCapture, Damage, Frame, Kind

LAST = 8  # events told of in front of a difference


class BadModule(ValueError):
    """A policy file that can't be loaded."""


@dataclass(slots=True, frozen=True)
class Step:
    """One event with what was done, as recorded."""

    seq: int
    at: float
    event: Any
    actions: list[Any]


@dataclass(slots=True, frozen=True)
class Settings:
    seq: int
    at: float
    settings: Any


@dataclass(slots=True, frozen=True)
class State:
    seq: int
    at: float
    held: Any
    start: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Gap:
    """From here to the next state nothing can be replayed."""

    why: str


Item = Step | Settings | State | Gap


def items(data: bytes) -> Iterator[Item]:
    """All that a file says, in order. `BadCapture` where it is none."""
    start: dict[str, Any] | None = None
    following = -1
    for frame in frames.read(data):
        if isinstance(frame, Damage):
            yield Gap(f"{frame.length} bytes at {frame.offset}: {frame.why}")
            following = -1
            continue
        try:
            match frame.kind:
                case Kind.START:
                    if not isinstance(frame.body, dict) or not isinstance(frame.body.get("settings"), dict):
                        raise records.BadRecord("a start without settings")
                    start = frame.body
                    records.settings(start["settings"])
                case Kind.STATE:
                    if start is None:
                        raise records.BadRecord("a state without a start")
                    following = frame.first
                    yield State(frame.first, frame.at, frame.body, start)
                case Kind.GAP:
                    yield Gap(f"{frame.records} steps were dropped, from {frame.first} on")
                    following = -1
                case Kind.STEPS:
                    if following >= 0 and frame.first != following:
                        yield Gap(f"steps {following} to {frame.first - 1} are not there")
                    for each in _steps(frame):
                        if isinstance(each, Settings) and start is not None:
                            start = start | {"settings": records.plain_settings(each.settings)}
                        yield each
                    following = frame.first + frame.records
        except records.BadRecord as error:
            yield Gap(str(error))
            following = -1


def _steps(frame: Frame) -> Iterator[Step | Settings]:
    if not isinstance(frame.body, list):
        raise records.BadRecord("steps that are no list")
    for row in frame.body:
        match row:
            case ["s", int(seq), float(at), list(event), list(actions)]:
                yield Step(seq, at, records.event(event), [records.action(a) for a in actions])
            case ["a", int(seq), float(at), dict(raw)]:
                yield Settings(seq, at, records.settings(raw))
            case _:
                raise records.BadRecord("a step of no kind")


def module_at(path: str | None) -> ModuleType:
    """The module in force, or another version of it from a file."""
    if path is None:
        import gradegap.choice

        return gradegap.choice
    spec = importlib.util.spec_from_file_location("gradegap_other_choice", path)
    if spec is None or spec.loader is None:
        raise BadModule(f"{path} is no policy file")
    made = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = made  # dataclasses look it up
    try:
        spec.loader.exec_module(made)
    except Exception as error:  # whatever that file does
        raise BadModule(f"{path} can't be loaded: {error}") from None
    if not hasattr(made, "Balancer"):
        raise BadModule(f"{path} has no Balancer")
    return made


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
    """The state behind decisions, in words: the servers and reqs that they name."""
    said = []
    wanted = sorted({n for a in actions for n in records.names(a)}, key=str)
    for name in wanted:
        server = getattr(balancer, "servers", {}).get(name)
        if server is not None:
            age = now - server.seen_at if server.seen_at > 0 else None
            said.append(
                f"{name}: {server.phase.name.lower()}, load "
                f"{'unknown' if server.load is None else round(server.load, 4)}"
                f"{'' if age is None else f', seen {age:.3f} s ago'}, {len(server.held)} held, "
                f"{server.failed} failed in a row, {server.silent} silent"
            )
        req = getattr(balancer, "reqs", {}).get(name)
        if req is not None:
            pair = " and ".join(s.name for s in req.pair) if req.pair else "none"
            said.append(
                f"req {name}: {req.cls.name}, {req.attempts} attempts, {req.deadline - now:.3f} s left, "
                f"pair {pair}, {req.redraws} redraws"
            )
    stood = getattr(balancer, "stood", None)
    if stood is not None:
        said.append(f"{len(balancer.ready)} ready, {stood.get(now):.2f} connections a second stood up here")
    return said


def replay(
    source: Iterable[Item], module: ModuleType, since: float = -1e18, until_differs: bool = True
) -> Report:
    """Feed what is recorded to `module`, from the last state before clock `since` on."""
    report = Report()
    digest = hashlib.blake2b(digest_size=16)
    balancer: Any = None
    last: deque[Step] = deque(maxlen=2000)
    for item in source:
        match item:
            case State():
                settings = records.settings(item.start["settings"])
                if balancer is None or item.at <= since:
                    try:
                        balancer = state.load(module, item.held, settings)
                    except state.BadState as error:
                        report.gaps.append(str(error))
                        continue
                else:
                    report.states += 1
                    held = msgspec.msgpack.encode(state.dump(balancer))
                    if held != msgspec.msgpack.encode(item.held) and not report.state_differs:
                        report.state_differs = f"at step {item.seq} the state is not the recorded one"
                        if until_differs:
                            break
            case Gap(why):
                balancer = None
                report.gaps.append(why)
            case Settings():
                if balancer is not None:
                    balancer.adopt(item.settings)
            case Step():
                if balancer is None:
                    continue
                try:
                    did = balancer.handle(item.at, item.event)
                except Exception as error:  # a module that breaks is what is looked for
                    report.difference = Difference(item, [], [], [f"the module raised {error!r}"])
                    break
                report.steps += 1
                raw = encoded(did)
                digest.update(raw)
                if raw != encoded(item.actions) and report.difference is None:
                    known = {n for a in (item.event, *did, *item.actions) for n in records.names(a)}
                    before = [s for s in last if known & records.names(s.event)][-LAST:]
                    words = about(balancer, item.at, (*did, *item.actions))
                    report.difference = Difference(item, did, before, words)
                    if until_differs:
                        break
                last.append(item)
    report.digest = digest.hexdigest()
    return report


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
    """A file's bytes; `BadCapture` where they can't be had."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise BadCapture(f"{path} can't be read: {error.strerror}") from None
