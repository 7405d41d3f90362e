"""The endpoint list in force: what discovery says, under what an operator has disabled.

Owns all `Endpoint` records of a proxy. Invariant: to the balancer an administratively disabled endpoint
drains, whatever discovery says of it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from gradegap.balancing.events import EndpointEntry, EndpointList, EndpointListKind, EndpointPhase
from gradegap.proxy.context import ProxyContext
from gradegap.proxy.endpoint import NEVER, Endpoint

DISABLED_STOPS_WITHIN_MIN_S = 2.0  # how long a disabled endpoint runs on at least: staff stop it by hand


class Endpoints:
    """All endpoints by id, with the ones that are administratively disabled."""

    def __init__(self, context: ProxyContext) -> None:
        self.context = context
        self.by_id: dict[str, Endpoint] = {}
        self.disabled: dict[str, float] = {}  # by id: since when
        self.on_disabled_changed: Callable[[], None] = lambda: None
        self.on_drain_notified: Callable[[Endpoint], None] = lambda endpoint: None

    def update(self, kind: EndpointListKind, entries: Iterable[tuple[EndpointEntry, str]]) -> None:
        """Take over a list from discovery: entries with the address of each endpoint; empty: as known."""
        listed = list(entries)
        if kind is not EndpointListKind.DELTA:
            listed += self._removed_by({entry.name for entry, _ in listed})
        for entry, address in listed:
            self._record(entry, address)
        self._apply(kind, [entry for entry, _ in listed])

    def _removed_by(self, names: set[str]) -> list[tuple[EndpointEntry, str]]:
        """Entries for known endpoints that a complete list no longer names."""
        return [
            (endpoint.entry._replace(phase=EndpointPhase.REMOVED), "")
            for endpoint in self.by_id.values()
            if endpoint.id not in names
            and endpoint.entry is not None
            and endpoint.entry.phase is not EndpointPhase.REMOVED
        ]

    def _record(self, entry: EndpointEntry, address: str) -> None:
        endpoint = self.by_id.setdefault(entry.name, Endpoint(entry.name))
        endpoint.entry = entry
        if (address and address != endpoint.address) or entry.started_at > endpoint.started_at:
            # Guards against a health check of the process that ran there before.
            self.context.upstream.close_health_check(endpoint)
            endpoint.forget_process()
        endpoint.address = address or endpoint.address
        endpoint.started_at = entry.started_at

    def _apply(self, kind: EndpointListKind, entries: list[EndpointEntry]) -> None:
        """Put entries in force, and feed them to the balancer."""
        now = self.context.now()
        in_force = []
        notified = []
        for discovered in entries:
            entry = discovered
            if entry.phase is EndpointPhase.READY and entry.name in self.disabled:
                entry = self._draining_entry(entry)
            in_force.append(entry)
            endpoint = self.by_id[entry.name]
            previous, endpoint.phase = endpoint.phase, entry.phase
            if entry.phase is EndpointPhase.READY:
                endpoint.drain_notified_at = NEVER
            elif previous is EndpointPhase.READY or not endpoint.draining:
                endpoint.drain_notified_at = self.disabled.get(entry.name, now)
                notified.append(endpoint)
            if entry.phase is EndpointPhase.REMOVED and previous is not EndpointPhase.REMOVED:
                self.context.upstream.close_health_check(endpoint)
        # The balancer first: what ends below it would otherwise send to the same endpoint again.
        self.context.feed(EndpointList(kind, tuple(in_force)))
        for endpoint in notified:
            self.on_drain_notified(endpoint)

    def _draining_entry(self, entry: EndpointEntry) -> EndpointEntry:
        """What holds for a ready endpoint that is administratively disabled."""
        # It may be stopped soon after nothing new goes to it. Guards against all its clients migrated at
        # once, where the grace is short.
        stops_within = max(DISABLED_STOPS_WITHIN_MIN_S, self.context.settings.drain_grace)
        return entry._replace(phase=EndpointPhase.DRAINING, stops_within=stops_within)

    def disable(self, name: str, at: float | None = None) -> bool:
        """Send nothing more to this endpoint until it is enabled; whether there is such an endpoint.

        `at` is when it was disabled, by a process before this one.
        """
        if at is not None and name not in self.by_id:
            # Guards against a disabled endpoint that is not in the list now: it must not come back enabled.
            self.by_id[name] = Endpoint(name, entry=EndpointEntry(name, phase=EndpointPhase.REMOVED))
        endpoint = self.by_id.get(name)
        if endpoint is None or endpoint.entry is None:
            return False
        if name not in self.disabled:
            self.disabled[name] = self.context.now() if at is None else at
            self.context.metrics.count("taken_out")
            self._apply(EndpointListKind.DELTA, [endpoint.entry])
            self.on_disabled_changed()
        return True

    def enable(self, name: str) -> bool:
        """Use the endpoint as discovery last described it; whether there is such an endpoint."""
        endpoint = self.by_id.get(name)
        if endpoint is None or endpoint.entry is None:
            return False
        if self.disabled.pop(name, None) is not None:
            self.context.metrics.count("called_back")
            self._apply(EndpointListKind.DELTA, [endpoint.entry])
            self.on_disabled_changed()
        return True

    def restore_drain_times(self, notified_at: Mapping[str, float]) -> None:
        """By id, when a process before this one learned that endpoints drain: a grace doesn't begin again."""
        for name, at in notified_at.items():
            endpoint = self.by_id[name]
            if endpoint.draining:
                endpoint.drain_notified_at = min(endpoint.drain_notified_at, at)

    def within_drain_grace(self, endpoint: Endpoint) -> bool:
        """Whether something that belongs to this endpoint may still begin there."""
        return endpoint.within_drain_grace(self.context.now(), self.context.settings)
