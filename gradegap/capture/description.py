"""Describes events, actions and a balancer's state as text. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Any

from gradegap.balancing.actions import Action
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import Event
from gradegap.balancing.model import Endpoint, Request
from gradegap.capture import records
from gradegap.capture.schema import BALANCER, ENDPOINT, REQUEST

MAX_LINE_LENGTH = 400  # characters of the description of one event or action


def in_one_line(value: Event | Action) -> str:
    """Describes an event or action by its stored name and the fields that are neither empty nor false."""

    def shown(field: Any) -> Any:
        return (
            field.name.lower()
            if isinstance(field, Enum)
            else round(field, 4)
            if isinstance(field, float)
            else field
        )

    fields = zip(value._fields, value, strict=True)
    parts = [f"{name}={shown(field)}" for name, field in fields if field not in (None, "", False)]
    return f"{records.stored_name(value)} {' '.join(parts)}"[:MAX_LINE_LENGTH]


def all_in_one_line(actions: Iterable[Action]) -> str:
    """Describes actions in their order; `nothing` for an empty sequence."""
    return "; ".join(in_one_line(action) for action in actions) or "nothing"


def state_behind(balancer: Balancer, now: float, actions: Iterable[Action]) -> list[str]:
    """Returns a line for each endpoint and request that the actions name, and a line with the totals."""
    lines = []
    endpoints, requests = BALANCER.get(balancer, "endpoints"), BALANCER.get(balancer, "requests")
    for name in sorted({name for action in actions for name in records.names(action)}, key=str):
        if name in endpoints:
            lines.append(_endpoint_line(endpoints[name], now))
        if name in requests:
            lines.append(_request_line(requests[name], now))
    ready = len(BALANCER.get(balancer, "ready_endpoints"))
    rate = BALANCER.owner(balancer, "established_rate.slow").rate(now)
    lines.append(f"{ready} ready, {rate:.2f} connections a second established here")
    return lines


def _endpoint_line(endpoint: Endpoint, now: float) -> str:
    values = {field: ENDPOINT.get(endpoint, field) for field in ENDPOINT.fields}
    load = "unknown" if values["load"] is None else round(values["load"], 4)
    changed_at = values["report_changed_at"]
    age = f", seen {now - changed_at:.3f} s ago" if changed_at > 0 else ""
    return (
        f"{values['name']}: {values['phase'].name.lower()}, load {load}{age}"
        f", {len(values['connections'])} held, {values['consecutive_failures']} failed in a row, "
        f"{values['unanswered_probes']} health checks unanswered"
    )


def _request_line(request: Request, now: float) -> str:
    values = {field: REQUEST.get(request, field) for field in REQUEST.fields}
    candidates = " and ".join(ENDPOINT.get(each, "name") for each in values["candidates"] or ()) or "none"
    remaining = values["deadline_at"] - now
    return (
        f"request {values['id']}: {values['class'].name}, {values['attempts']} attempts"
        f", {remaining:.3f} s left, pair {candidates}, {values['redraws']} redraws"
    )
