"""Watches of clients: changes of keys with a prefix are sent over the client's link once committed."""

from __future__ import annotations

from dataclasses import dataclass

from gradegap.metrics import Metrics
from gradegap.store import wire
from gradegap.store.errors import CommandError
from gradegap.store.links import Link
from gradegap.store.machine import StateMachine
from gradegap.store.records import Event

MAX_WATCHES = 1000
MAX_WATCH_UNSENT_BYTES = 4 * 1024 * 1024  # the link of a slow watcher with more unsent data is closed
MAX_EVENTS_PER_RESPONSE = 200  # limit on the events in one response when the history is sent to a new watch


@dataclass(slots=True, eq=False)
class Watch:
    """One watch; `serial` is the number of its request, which all its responses contain."""

    link: Link
    serial: int
    prefix: str


class Watches:
    """All watches at one member."""

    def __init__(self, machine: StateMachine, metrics: Metrics) -> None:
        self.machine, self.metrics = machine, metrics
        self.open: set[Watch] = set()
        machine.listeners.append(self._changed)

    def add(self, link: Link, serial: int, request: wire.Watch) -> None:
        """Sends the requested part of the history, then each new change until the link is closed."""
        if len(self.open) >= MAX_WATCHES:
            self.metrics.count("store_busy")
            link.send(wire.Response(serial, "no", "busy: too many watches at this member"))
            return
        try:
            missed = self._events_since(request)
        except CommandError as error:
            link.send(wire.Response(serial, "no", str(error)))
            return
        revision = self.machine.revision
        for first in range(0, len(missed), MAX_EVENTS_PER_RESPONSE):
            events = missed[first : first + MAX_EVENTS_PER_RESPONSE]
            link.send(wire.Response(serial, revision=revision, events=events, more=True))
        watch = Watch(link, serial, request.prefix)
        self.open.add(watch)
        link.close_callbacks.append(lambda: self.open.discard(watch))
        link.send(wire.Response(serial, text="watching", revision=revision, more=True))

    def _events_since(self, request: wire.Watch) -> list[Event]:
        if not request.revision:
            return []
        return list(self.machine.events_since(request.revision, request.prefix))

    def _changed(self, events: list[Event]) -> None:
        for watch in list(self.open):
            matching = [event for event in events if event.key.startswith(watch.prefix)]
            if not matching:
                continue
            if watch.link.unsent_bytes() > MAX_WATCH_UNSENT_BYTES:
                # The client can watch again from the last revision that it received, and misses nothing.
                watch.link.end("slow_watcher")
                continue
            revision = max(event.revision for event in matching)
            watch.link.send(wire.Response(watch.serial, revision=revision, events=matching, more=True))
