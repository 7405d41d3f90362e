"""Replays a recording: feeds its events, with their recorded clocks, to a decision module. No I/O.

A replay starts at a recorded state and compares the module's state with every later recorded one. Steps from
a gap of the recording to the next state are not replayed.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from types import ModuleType

import msgspec

from gradegap import VERSION
from gradegap.balancing.actions import Action
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import Event
from gradegap.capture import decision_module, records, state
from gradegap.capture.description import state_behind
from gradegap.capture.errors import BadStateError, DecisionVersion, LaterStateError, OtherAlgorithmError
from gradegap.capture.recording import Gap, Item, SettingsChange, State, Step

MAX_PRECEDING_STEPS = 8  # limit of steps before a difference that are reported with it
RECENT_STEPS_COUNT = 2000  # number of steps before a difference that are searched for the steps to report
DIGEST_BYTES = 16


@dataclass(slots=True)
class Difference:
    """The first decision that differs from the recorded one."""

    step: Step
    actions: list[Action]  # the actions of the replayed module
    preceding: list[Step]  # the last steps before it about the same endpoints and requests
    state: list[str]  # description of the state after the decision


@dataclass(slots=True)
class Report:
    """The result of a replay."""

    steps: int = 0
    states: int = 0  # number of recorded states that were compared with the module's state
    gaps: list[str] = field(default_factory=list)
    digest: str = ""  # hash of all replayed actions, in hexadecimal
    difference: Difference | None = None
    state_differs: str = ""


def begin(module: ModuleType, recorded: State) -> Balancer:
    """Returns a `Balancer` of the module that has the recorded state.

    Raises `BadStateError` if the state does not fit the module; subclasses name incompatible versions.
    """
    settings = records.settings(recorded.start["settings"])
    try:
        return state.load(module, recorded.stored, settings)
    except OtherAlgorithmError as error:
        recorder = DecisionVersion(
            str(recorded.start.get("version", "unknown")), str(recorded.start.get("policy", "unknown"))
        )
        present = DecisionVersion(VERSION, decision_module.digest_of(module))
        raise OtherAlgorithmError(error.kind, error.fields, recorder, present) from None


def encoded(values: Iterable[Event | Action]) -> bytes:
    """Encodes events or actions as bytes, so that they can be compared exactly, even floats and NaN."""
    return msgspec.msgpack.encode([records.plain(value) for value in values])


def replay(
    source: Iterable[Item], module: ModuleType, since: float = -1e18, until_differs: bool = True
) -> Report:
    """Replays a recording with `module`, from the last state at or before clock `since` (s).

    Raises `LaterStateError` for a state written by a later version of this program; any other state that
    can't be loaded is reported as a gap.
    """
    run = _Replay(module, since, until_differs)
    for item in source:
        run.take(item)
        if run.is_finished:
            break
    run.report.digest = run.digest.hexdigest()
    return run.report


class _Replay:
    """A replay in progress: the replayed balancer and the report."""

    def __init__(self, module: ModuleType, since: float, until_differs: bool) -> None:
        self.module = module
        self.since = since
        self.until_differs = until_differs
        self.report = Report()
        self.digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.balancer: Balancer | None = None  # None before the first state and after a gap
        self.recent: deque[Step] = deque(maxlen=RECENT_STEPS_COUNT)
        self.is_finished = False

    def take(self, item: Item) -> None:
        match item:
            case State():
                if self.balancer is None or item.at <= self.since:
                    self._load(item)
                else:
                    self._compare_state(self.balancer, item)
            case Gap(reason):
                self.balancer = None
                self.report.gaps.append(reason)
            case SettingsChange():
                if self.balancer is not None:
                    self.balancer.adopt(item.settings)
            case Step():
                if self.balancer is not None:
                    self._step(self.balancer, item)

    def _load(self, recorded: State) -> None:
        try:
            self.balancer = begin(self.module, recorded)
        except LaterStateError:
            raise
        except BadStateError as error:
            # Each reason is reported once, because all states of a file may fail for the same reason.
            if str(error) not in self.report.gaps:
                self.report.gaps.append(str(error))

    def _compare_state(self, balancer: Balancer, recorded: State) -> None:
        self.report.states += 1
        settings = records.settings(recorded.start["settings"])
        try:
            same = state.same(self.module, balancer, recorded.stored, settings)
        except LaterStateError:
            raise
        except BadStateError:
            same = False
        if not same and not self.report.state_differs:
            self.report.state_differs = f"state at step {recorded.number} differs from the recorded one"
            self.is_finished = self.until_differs

    def _step(self, balancer: Balancer, step: Step) -> None:
        try:
            actions = balancer.handle(step.at, step.event)
        except Exception as error:  # an exception raised by the module counts as a difference
            self.report.difference = Difference(step, [], [], [f"the module raised {error!r}"])
            self.is_finished = True
            return
        self.report.steps += 1
        encoded_actions = encoded(actions)
        self.digest.update(encoded_actions)
        if encoded_actions != encoded(step.actions) and self.report.difference is None:
            self.report.difference = self._difference(balancer, step, actions)
            self.is_finished = self.until_differs
        self.recent.append(step)

    def _difference(self, balancer: Balancer, step: Step, actions: list[Action]) -> Difference:
        about = {name for record in (step.event, *actions, *step.actions) for name in records.names(record)}
        preceding = [record for record in self.recent if about & records.names(record.event)][
            -MAX_PRECEDING_STEPS:
        ]
        lines = state_behind(balancer, step.at, (*actions, *step.actions))
        return Difference(step, actions, preceding, lines)
