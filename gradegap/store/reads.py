"""Answers read requests from the state of a member."""

from __future__ import annotations

from gradegap.store import wire
from gradegap.store.errors import CommandError
from gradegap.store.machine import StateMachine


def read(machine: StateMachine, body: wire.RequestBody) -> wire.Response:
    """The response to a read request, from the state that this member has applied."""
    revision = machine.revision
    try:
        match body:
            case wire.Get():
                item = machine.get(body.key)
                return wire.Response(0, revision=revision, items=[item] if item is not None else [])
            case wire.List():
                return wire.Response(0, revision=revision, items=machine.list(body.prefix))
            case wire.History():
                first = max(body.first_revision, machine.first_retained_revision)
                events = list(machine.events_since(first, body.prefix))
                return wire.Response(0, revision=revision, events=events)
            case wire.ValuesAt():
                values = machine.values_at(body.revision, body.prefix)
                return wire.Response(0, revision=revision, status=values)
            case _:
                return wire.Response(0, "no", "bad_wish: the request is not a read")
    except CommandError as error:
        return wire.Response(0, "no", str(error))
