"""What came of a stretch of decisions: the rules that were kept, and how clients were served. No I/O.

Told of each event with the actions that answered it, be they recorded or played, it holds the same yardstick
against both.
"""

from __future__ import annotations

import statistics
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from gradegap.balancing.actions import CheckHealth, Fail, Forward, Migrate, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    RequestArrived,
)
from gradegap.balancing.settings import Settings

MOST_VIOLATIONS = 50  # told of; all are counted
FEW = 4  # connections a server that must stand before shares are compared
LATE = 0.05  # s that an answer may come behind its deadline in a record: the loop's own lateness


@dataclass(slots=True)
class _Way:
    """One req's."""

    cls: str
    arrived: float
    deadline: float
    sent_to: str = ""  # the attempt out, if any
    sent_at: float = 0.0
    late_by: float = 0.0  # s behind the grace of the server that it went to
    attempts: int = 0
    standing: str = ""
    moved: bool = False
    answered: bool = False


@dataclass(slots=True)
class Figures:
    """How clients were served; times in s."""

    taken: int = 0
    stood: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0  # clients that went before their answer
    attempts: int = 0
    probes: int = 0
    moved: int = 0
    broke: int = 0  # standing connections that ended by a reset
    wait_p50: float = 0.0
    wait_p99: float = 0.0
    most_share: float = 0.0  # connections of the fullest ready server over their mean, at worst
    violations: int = 0

    @property
    def served(self) -> float:
        """Part of those that wanted an answer which got their connection."""
        asked = self.stood + self.refused + self.failed
        return self.stood / asked if asked else 1.0


@dataclass(slots=True)
class Judge:
    """Holds each event and its actions to the rules, and counts how clients were served."""

    settings: Settings
    figures: Figures = field(default_factory=Figures)
    violations: list[str] = field(default_factory=list)
    reqs: dict[int, _Way] = field(default_factory=dict)
    held: Counter[str] = field(default_factory=Counter)
    phase: dict[str, EndpointPhase] = field(default_factory=dict)
    told_at: dict[str, float] = field(default_factory=dict)  # when a server was told to drain, or is gone
    waits: list[float] = field(default_factory=list)
    now: float = 0.0

    def see(self, now: float, event: Any, actions: list[Any]) -> None:
        """An event, and the actions that answered it."""
        self.now = now
        self._see_event(now, event)
        for action in actions:
            self._see_action(action)

    def _see_event(self, now: float, event: Any) -> None:
        match event:
            case EndpointList():
                self._list(event)
            case RequestArrived():
                self.figures.taken += 1
                self.reqs[event.request_id] = _Way(event.class_name, now, event.deadline_at)
            case ConnectionInherited():
                r = event.request
                way = self.reqs[r.request_id] = _Way(r.class_name, now, r.deadline_at, answered=True)
                way.standing = event.endpoint
                self.held[event.endpoint] += 1
            case ConnectionEstablished():
                self._stands(event)
            case AttemptEnded():
                self._outcome(event)
            case ClientDisconnected():
                self._client_gone(event)
            case _:
                pass

    def _see_action(self, action: Any) -> None:
        match action:
            case Forward():
                self._send(action)
            case Reject() | Fail():
                self._answer(action)
            case Migrate():
                self._move(action)
            case CheckHealth():
                self.figures.probes += 1
            case _:
                pass

    def _client_gone(self, event: ClientDisconnected) -> None:
        way = self.reqs.get(event.request_id)
        if way is not None and not way.answered:
            way.answered = True
            self.figures.left += 1

    def _move(self, action: Migrate) -> None:
        way = self.reqs.get(action.request_id)
        if way is not None and way.standing and not way.moved:
            way.moved = True
            self.figures.moved += 1

    def _break(self, what: str) -> None:
        self.figures.violations += 1
        if len(self.violations) < MOST_VIOLATIONS:
            self.violations.append(f"{self.now:.3f}: {what}")

    def _list(self, e: EndpointList) -> None:
        if e.kind is not EndpointListKind.DELTA and e.kind is not EndpointListKind.FAILED:
            for name in self.phase.keys() - {entry.name for entry in e.entries}:
                self._phase(name, EndpointPhase.REMOVED)
        for entry in e.entries:
            self._phase(entry.name, entry.phase)

    def _phase(self, name: str, phase: EndpointPhase) -> None:
        if phase is EndpointPhase.READY:
            self.told_at.pop(name, None)
        else:
            self.told_at.setdefault(name, self.now)
        self.phase[name] = phase

    def _send(self, a: Forward) -> None:
        way = self.reqs.get(a.request_id)
        if way is None:
            return  # from before the record
        if way.sent_to:
            self._break(f"req {a.request_id} has an attempt out and is sent again")
        if way.answered:
            self._break(f"req {a.request_id} is sent after its answer")
        way.sent_to, way.sent_at = a.endpoint, self.now
        way.attempts += 1
        told = self.told_at.get(a.endpoint)
        way.late_by = self.now - told - self.settings.drain_grace if told is not None else -1.0
        self.figures.attempts += 1

    def _went(self, ident: int, way: _Way) -> None:
        """An attempt that the core let go out. Later than a drain's grace it lets none."""
        if way.late_by > 0:
            self._break(f"req {ident} went to {way.sent_to} {way.late_by:.3f} s after its grace")

    def _stands(self, e: ConnectionEstablished) -> None:
        way = self.reqs.get(e.request_id)
        if way is None:
            return
        self._went(e.request_id, way)
        if way.answered:
            self._break(f"req {e.request_id} stands after its answer")
        if self.now > way.deadline + LATE:
            self._break(f"req {e.request_id} stands {self.now - way.deadline:.3f} s after its client gave up")
        way.answered, way.standing, way.sent_to = True, e.endpoint, ""
        self.figures.stood += 1
        self.waits.append(self.now - way.arrived)
        self.held[e.endpoint] += 1
        ready = [n for n, p in self.phase.items() if p is EndpointPhase.READY]
        mean = sum(self.held[n] for n in ready) / len(ready) if ready else 0.0
        if mean >= FEW:
            most = max(self.held[n] for n in ready) / mean
            self.figures.most_share = max(self.figures.most_share, most)

    def _outcome(self, e: AttemptEnded) -> None:
        way = self.reqs.get(e.request_id)
        if way is None:
            return
        if way.standing:
            self.held[way.standing] -= 1
            if e.result is AttemptResult.RESET and not way.moved:
                self.figures.broke += 1
            way.standing = ""
            del self.reqs[e.request_id]
            return
        if e.result is not AttemptResult.NOT_SENT and way.sent_to:
            self._went(e.request_id, way)
        way.sent_to = ""
        if way.answered:
            self.reqs.pop(e.request_id, None)

    def _answer(self, a: Reject | Fail) -> None:
        way = self.reqs.get(a.request_id)
        if way is None:
            return
        if way.answered:
            self._break(f"req {a.request_id} has two answers")
            return
        if self.now > way.deadline + LATE:
            self._break(
                f"req {a.request_id} is answered {self.now - way.deadline:.3f} s after its client gave up"
            )
        way.answered = True
        if isinstance(a, Reject):
            self.figures.refused += 1
        else:
            self.figures.failed += 1

    def end(self) -> Figures:
        """The figures, once nothing more comes."""
        for ident, way in self.reqs.items():
            if not way.answered and way.deadline + LATE < self.now:
                self._break(f"req {ident} has no answer, and its client gave up at {way.deadline:.3f}")
        f = self.figures
        if len(self.waits) > 1:
            cuts = statistics.quantiles(self.waits, n=100, method="inclusive")
            f.wait_p50, f.wait_p99 = cuts[49], cuts[98]
        return f
