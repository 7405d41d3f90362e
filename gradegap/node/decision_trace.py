"""Every step of the decision module written to the log, one line each: what it was told, what it did.

On with `[trace]` in the operator's file. Meant for a day that went badly and is played again with logs: the
lines of all nodes, merged by their clocks, follow one req through every node that handled it. A step is
`step t=CLOCK in=EVENT out=ACTION;ACTION`, in the fields of `gradegap.balancing`, with long lists cut short.
It costs a node some tens of microseconds a step, so it is no part of ordinary service.
"""

from __future__ import annotations

import sys
from enum import Enum
from typing import IO, Any

import msgspec

from gradegap.balancing.actions import Action
from gradegap.balancing.events import Event
from gradegap.balancing.settings import Settings

LIST_MOST = 64  # entries of a list written out; the rest are counted


def _short(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, Enum):
        return value.name
    if hasattr(value, "_fields"):  # an event, an action or an entry of a list
        return _form(value)
    if isinstance(value, tuple):
        more = f",+{len(value) - LIST_MOST}" if len(value) > LIST_MOST else ""
        return "(" + ",".join(map(_short, value[:LIST_MOST])) + more + ")"
    return str(value)


def _form(item: Any) -> str:
    """One event or action: its kind and the fields that differ from their defaults."""
    kind = type(item)
    defaults = getattr(kind, "_field_defaults", {})
    parts = []
    for name in item._fields:
        value = getattr(item, name)
        if name in defaults and value == defaults[name]:
            continue
        parts.append(f"{name}={_short(value)}")
    return f"{kind.__name__}[{' '.join(parts)}]"


class DecisionTrace:
    """A module whose every step is written out; the core knows no difference."""

    def __init__(self, balancer: Any, out: IO[str] | None = None) -> None:
        self.balancer = balancer
        self.out = out or sys.stderr

    def handle(self, now: float, event: Event) -> list[Action]:
        actions: list[Action] = self.balancer.handle(now, event)
        told = ";".join(_form(a) for a in actions)
        self.out.write(f"step t={now:.4f} in={_form(event)} out={told}\n")
        return actions

    def adopt(self, settings: Settings) -> None:
        self.balancer.adopt(settings)
        self.settings(settings)

    def settings(self, settings: Settings) -> None:
        """The settings decided by, once at the start and at every change, as JSON."""
        self.out.write(f"settings {msgspec.json.encode(settings).decode()}\n")
