"""The endpoint list in force: the list from discovery, overridden by the endpoints that operators disabled.

Owns all `Endpoint` records of a proxy. Invariant: the balancer never sees an administratively disabled
endpoint as ready; where discovery lists it as ready, the balancer is told that it drains.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from gradegap.balancing.events import EndpointEntry, EndpointList, EndpointListKind, EndpointPhase
from gradegap.proxy.context import ProxyContext
from gradegap.proxy.endpoint import NEVER, Endpoint

DISABLED_STOPS_WITHIN_MIN_S = 2.0
"""Shortest time that a disabled endpoint is assumed to keep running; operators stop it by hand."""


class Endpoints:
    """All endpoints by id, and the set of administratively disabled ones."""

    def __init__(self, context: ProxyContext) -> None:
        self.context = context
        self.by_id: dict[str, Endpoint] = {}
        self.disabled: dict[str, float] = {}  # by id: clock time in s at which it was disabled
        self.on_disabled_changed: Callable[[], None] = lambda: None
        self.on_drain_notified: Callable[[Endpoint], None] = lambda endpoint: None

    def update(self, kind: EndpointListKind, entries: Iterable[tuple[EndpointEntry, str]]) -> None:
        """Apply a list from discovery.

        Each entry is paired with the endpoint's address; an empty address leaves the known one unchanged.
        """
        listed = list(entries)
        if kind is not EndpointListKind.DELTA:
            listed += self._removal_entries({entry.name for entry, _ in listed})
        for entry, address in listed:
            self._update_record(entry, address)
        self._apply(kind, [entry for entry, _ in listed])

    def _removal_entries(self, listed_names: set[str]) -> list[tuple[EndpointEntry, str]]:
        """Return removal entries for known endpoints that are missing from a complete list."""
        return [
            (endpoint.entry._replace(phase=EndpointPhase.REMOVED), "")
            for endpoint in self.by_id.values()
            if endpoint.id not in listed_names
            and endpoint.entry is not None
            and endpoint.entry.phase is not EndpointPhase.REMOVED
        ]

    def _update_record(self, entry: EndpointEntry, address: str) -> None:
        endpoint = self.by_id.setdefault(entry.name, Endpoint(entry.name))
        endpoint.entry = entry
        if (address and address != endpoint.address) or entry.started_at > endpoint.started_at:
            # Guards against a health check over a connection to the process that previously ran here.
            self.context.upstream.close_health_check(endpoint)
            endpoint.forget_process()
        endpoint.address = address or endpoint.address
        endpoint.started_at = entry.started_at

    def _apply(self, kind: EndpointListKind, entries: list[EndpointEntry]) -> None:
        """Put entries in force: update the endpoints, and feed the entries to the balancer."""
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
        # The balancer is told first: otherwise it would choose the same endpoint again for the attempts that
        # the callback cancels.
        self.context.feed(EndpointList(kind, tuple(in_force)))
        for endpoint in notified:
            self.on_drain_notified(endpoint)

    def _draining_entry(self, entry: EndpointEntry) -> EndpointEntry:
        """Return the entry in force for a ready endpoint that is administratively disabled."""
        # The endpoint may be stopped soon after it gets no new connections. The minimum guards against the
        # migration of all its clients at once where the grace is short.
        stops_within = max(DISABLED_STOPS_WITHIN_MIN_S, self.context.settings.drain_grace)
        return entry._replace(phase=EndpointPhase.DRAINING, stops_within=stops_within)

    def disable(self, name: str, at: float | None = None) -> bool:
        """Stop sending to this endpoint until it is enabled; return whether the endpoint is known.

        `at` is the clock time at which a predecessor of this process disabled the endpoint; None: now.
        """
        if at is not None and name not in self.by_id:
            # Guards against a disabled endpoint that is absent from the list now: it must still be disabled
            # when discovery lists it again.
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
        """Put the last entry from discovery in force again; return whether the endpoint is known."""
        endpoint = self.by_id.get(name)
        if endpoint is None or endpoint.entry is None:
            return False
        if self.disabled.pop(name, None) is not None:
            self.context.metrics.count("called_back")
            self._apply(EndpointListKind.DELTA, [endpoint.entry])
            self.on_disabled_changed()
        return True

    def restore_drain_times(self, notified_at: Mapping[str, float]) -> None:
        """Restore when a predecessor process learned of drains, by endpoint id: no grace starts anew."""
        for name, at in notified_at.items():
            endpoint = self.by_id[name]
            if endpoint.draining:
                endpoint.drain_notified_at = min(endpoint.drain_notified_at, at)

    def within_drain_grace(self, endpoint: Endpoint) -> bool:
        """Return whether inherited connections and health checks may still be started at this endpoint."""
        return endpoint.within_drain_grace(self.context.now(), self.context.settings)
