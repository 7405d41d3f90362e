"""The same decisions again: a recording's events, under its clock, fed to a module. No I/O.

A replay begins at a state, compares its own with every later one, and proves nothing from a gap of the
recording up to the next state.
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

PRECEDING_SHOWN = 8  # steps in front of a difference that touched the same endpoints and requests
STEPS_KEPT = 2000  # among which these are looked for
DIGEST_BYTES = 16


@dataclass(slots=True)
class Difference:
    """The first decision that is not the recorded one."""

    step: Step
    actions: list[Action]  # the module's, in place of the step's
    preceding: list[Step]  # the last steps about the same endpoints and requests
    state: list[str]  # that is behind the decision, in words


@dataclass(slots=True)
class Report:
    """What came of a replay."""

    steps: int = 0
    states: int = 0  # that the replay's own was compared with
    gaps: list[str] = field(default_factory=list)
    digest: str = ""  # of all actions, in hexadecimal
    difference: Difference | None = None
    state_differs: str = ""


def begin(module: ModuleType, recorded: State) -> Balancer:
    """A `Balancer` of the module in a recorded state.

    Raises `BadStateError` where they don't fit; its subclasses say which versions are at odds.
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
    """Exact, so that floats and what is no number compare."""
    return msgspec.msgpack.encode([records.plain(value) for value in values])


def replay(
    source: Iterable[Item], module: ModuleType, since: float = -1e18, until_differs: bool = True
) -> Report:
    """Feed what is recorded to `module`, from the last state before clock `since` on.

    Raises `LaterStateError` for a state that a later version of this program has written; any other that
    can't be loaded is a gap of the report.
    """
    run = _Replay(module, since, until_differs)
    for item in source:
        run.take(item)
        if run.over:
            break
    run.report.digest = run.digest.hexdigest()
    return run.report


class _Replay:
    """A module that is fed a recording, and the report of it."""

    def __init__(self, module: ModuleType, since: float, until_differs: bool) -> None:
        self.module = module
        self.since = since
        self.until_differs = until_differs
        self.report = Report()
        self.digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.balancer: Balancer | None = None  # None until a state was loaded, and behind a gap
        self.recent: deque[Step] = deque(maxlen=STEPS_KEPT)
        self.over = False

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
            if str(error) not in self.report.gaps:  # each state of a file may say the same
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
            self.report.state_differs = f"at step {recorded.number} the state is not the recorded one"
            self.over = self.until_differs

    def _step(self, balancer: Balancer, step: Step) -> None:
        try:
            actions = balancer.handle(step.at, step.event)
        except Exception as error:  # a module that breaks is what is looked for
            self.report.difference = Difference(step, [], [], [f"the module raised {error!r}"])
            self.over = True
            return
        self.report.steps += 1
        raw = encoded(actions)
        self.digest.update(raw)
        if raw != encoded(step.actions) and self.report.difference is None:
            self.report.difference = self._difference(balancer, step, actions)
            self.over = self.until_differs
        self.recent.append(step)

    def _difference(self, balancer: Balancer, step: Step, actions: list[Action]) -> Difference:
        about = {name for each in (step.event, *actions, *step.actions) for name in records.names(each)}
        preceding = [each for each in self.recent if about & records.names(each.event)][-PRECEDING_SHOWN:]
        lines = state_behind(balancer, step.at, (*actions, *step.actions))
        return Difference(step, actions, preceding, lines)
