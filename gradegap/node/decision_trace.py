"""Writes each step of the balancer to standard error, one line per step: the event and the resulting actions.

The `[trace]` table of the operator's file enables the trace. It is meant for reproducing an incident with
logging: the lines of all nodes, merged by their clocks, follow one request through every node that handled
it. A step is written as `step t=CLOCK in=EVENT out=ACTION;ACTION`, with the fields of `gradegap.balancing`;
long lists are truncated. The trace costs a node some tens of microseconds per step, so it is off in normal
service.
"""

from __future__ import annotations

import sys
from enum import Enum
from typing import IO, Any, Protocol

import msgspec

from gradegap.balancing.actions import Action
from gradegap.balancing.events import Event
from gradegap.balancing.settings import Settings

MAX_ITEMS = 64  # limit of items of a list that are written; the remaining items are only counted


class DecisionModule(Protocol):
    """The interface of `gradegap.balancing.balancer.Balancer` that the proxy uses."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Return the actions for an event at the time `now`, in seconds."""

    def adopt(self, settings: Settings) -> None:
        """Use other settings for all later decisions."""


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, Enum):
        return value.name
    if hasattr(value, "_fields"):  # an event, an action or an endpoint list entry
        return _format_fields(value)
    if isinstance(value, tuple):
        omitted = f",+{len(value) - MAX_ITEMS}" if len(value) > MAX_ITEMS else ""
        return "(" + ",".join(map(_format_value, value[:MAX_ITEMS])) + omitted + ")"
    return str(value)


def _format_fields(item: Any) -> str:
    """Format an event or action as its type and the fields that differ from their defaults."""
    item_type = type(item)
    defaults = getattr(item_type, "_field_defaults", {})
    fields = []
    for name in item._fields:
        value = getattr(item, name)
        if name in defaults and value == defaults[name]:
            continue
        fields.append(f"{name}={_format_value(value)}")
    return f"{item_type.__name__}[{' '.join(fields)}]"


class DecisionTrace:
    """Wraps a balancer, provides the same interface, and writes each step of the balancer."""

    def __init__(self, balancer: DecisionModule, out: IO[str] | None = None) -> None:
        """Write the trace to `out`, by default to standard error."""
        self._balancer = balancer
        self._out = out or sys.stderr

    def handle(self, now: float, event: Event) -> list[Action]:
        """Let the balancer handle an event, and write the step as one line."""
        actions = self._balancer.handle(now, event)
        formatted = ";".join(_format_fields(action) for action in actions)
        self._out.write(f"step t={now:.4f} in={_format_fields(event)} out={formatted}\n")
        return actions

    def adopt(self, settings: Settings) -> None:
        """Pass other settings to the balancer, and write them."""
        self._balancer.adopt(settings)
        self.write_settings(settings)

    def write_settings(self, settings: Settings) -> None:
        """Write the settings in force as JSON: called once at the start, and at every change."""
        self._out.write(f"settings {msgspec.json.encode(settings).decode()}\n")
