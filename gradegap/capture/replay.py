"""The same decisions again: a recording's events, under its clock, fed to a module. No I/O.

A replay begins at a state, goes through every later one and holds its own against it, and stops being
evidence where the record has a gap, until the next state.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from types import ModuleType
from typing import Any

import msgspec

from gradegap import VERSION
from gradegap.capture import decision_module, records, state
from gradegap.capture.errors import BadStateError, DecisionVersion, LaterStateError, OtherAlgorithmError
from gradegap.capture.recording import Gap, Item, SettingsChange, State, Step
from gradegap.capture.schema import BALANCER, ENDPOINT, REQUEST

LAST = 8  # events told of in front of a difference
RECENT = 2000  # events among which these are looked for


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
            case Gap(reason):
                self.balancer = None
                self.report.gaps.append(reason)
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
