"""Events, actions and a balancer's state in words. No I/O."""

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

LINE_LENGTH = 400  # characters of an event or action that are shown


def in_one_line(value: Event | Action) -> str:
    """An event or action by its stored name, with its fields as far as they say something."""

    def shown(v: Any) -> Any:
        return v.name.lower() if isinstance(v, Enum) else round(v, 4) if isinstance(v, float) else v

    fields = zip(value._fields, value, strict=True)
    parts = [f"{name}={shown(v)}" for name, v in fields if v not in (None, "", False)]
    return f"{records.stored_name(value)} {' '.join(parts)}"[:LINE_LENGTH]


def all_in_one_line(actions: Iterable[Action]) -> str:
    """Actions in their order, or that there is none."""
    return "; ".join(in_one_line(action) for action in actions) or "nothing"


def state_behind(balancer: Balancer, now: float, actions: Iterable[Action]) -> list[str]:
    """The state behind decisions: a line for each endpoint and request that the actions name."""
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
    held = {stored: ENDPOINT.get(endpoint, stored) for stored in ENDPOINT.fields}
    load = "unknown" if held["load"] is None else round(held["load"], 4)
    changed_at = held["report_changed_at"]
    age = f", seen {now - changed_at:.3f} s ago" if changed_at > 0 else ""
    return (
        f"{held['name']}: {held['phase'].name.lower()}, load {load}{age}, {len(held['connections'])} held, "
        f"{held['consecutive_failures']} failed in a row, "
        f"{held['unanswered_probes']} health checks unanswered"
    )


def _request_line(request: Request, now: float) -> str:
    held = {stored: REQUEST.get(request, stored) for stored in REQUEST.fields}
    pair = " and ".join(ENDPOINT.get(each, "name") for each in held["candidates"] or ()) or "none"
    left = held["deadline_at"] - now
    return (
        f"request {held['id']}: {held['class'].name}, {held['attempts']} attempts, {left:.3f} s left, "
        f"pair {pair}, {held['redraws']} redraws"
    )
