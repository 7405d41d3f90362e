"""Every step of the balancer written to standard error, one line each: the event, and the actions for it.

On with `[trace]` in the operator's file. Meant for a day that went badly and is played again with logs: the
lines of all nodes, merged by their clocks, follow one request through every node that handled it. A step is
`step t=CLOCK in=EVENT out=ACTION;ACTION`, in the fields of `gradegap.balancing`, with long lists cut short.
It costs a node some tens of microseconds a step, so it is no part of ordinary service.
"""

from __future__ import annotations

import sys
from enum import Enum
from typing import IO, Any, Protocol

import msgspec

from gradegap.balancing.actions import Action
from gradegap.balancing.events import Event
from gradegap.balancing.settings import Settings

MAX_ITEMS = 64  # of a list that are written; the rest are counted


class DecisionModule(Protocol):
    """What decides: `gradegap.balancing.balancer.Balancer`, or what stands in for it."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """The actions for an event at `now`, in s."""

    def adopt(self, settings: Settings) -> None:
        """Decide by other settings from now on."""


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, Enum):
        return value.name
    if hasattr(value, "_fields"):  # an event, an action or an entry of a list
        return _format_fields(value)
    if isinstance(value, tuple):
        more = f",+{len(value) - MAX_ITEMS}" if len(value) > MAX_ITEMS else ""
        return "(" + ",".join(map(_format_value, value[:MAX_ITEMS])) + more + ")"
    return str(value)


def _format_fields(item: Any) -> str:
    """One event or action: its kind and the fields that differ from their defaults."""
    kind = type(item)
    defaults = getattr(kind, "_field_defaults", {})
    parts = []
    for name in item._fields:
        value = getattr(item, name)
        if name in defaults and value == defaults[name]:
            continue
        parts.append(f"{name}={_format_value(value)}")
    return f"{kind.__name__}[{' '.join(parts)}]"


class DecisionTrace:
    """Stands in for a balancer, and writes out each of its steps; the proxy knows no difference."""

    def __init__(self, balancer: DecisionModule, out: IO[str] | None = None) -> None:
        """Write to `out`, or else to standard error."""
        self._balancer = balancer
        self._out = out or sys.stderr

    def handle(self, now: float, event: Event) -> list[Action]:
        """Have the balancer decide, and write one line."""
        actions = self._balancer.handle(now, event)
        formatted = ";".join(_format_fields(action) for action in actions)
        self._out.write(f"step t={now:.4f} in={_format_fields(event)} out={formatted}\n")
        return actions

    def adopt(self, settings: Settings) -> None:
        """Have the balancer decide by other settings, and write these."""
        self._balancer.adopt(settings)
        self.write_settings(settings)

    def write_settings(self, settings: Settings) -> None:
        """The settings decided by, once at the start and at every change, as JSON."""
        self._out.write(f"settings {msgspec.json.encode(settings).decode()}\n")
