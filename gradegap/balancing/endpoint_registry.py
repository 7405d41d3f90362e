"""The registry of endpoints from discovery: the ready endpoints and the hash ring over them.

The registry also schedules calls to discovery, with backoff after failures.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from gradegap.balancing import connection_estimates, hash_ring
from gradegap.balancing.actions import SetTimer
from gradegap.balancing.context import Context
from gradegap.balancing.events import EndpointEntry, EndpointList, EndpointListKind, EndpointPhase
from gradegap.balancing.model import NEVER, Endpoint
from gradegap.balancing.timers import ENDPOINT_LIST_TOKEN

FIRST_POLL_SPREAD = 0.5
"""Fraction of `Settings.poll_within` over which proxies spread their first call to discovery.

The random spread keeps proxies that start together from calling discovery at the same moment.
"""


class EndpointRegistry:
    """All known endpoints, and the ready ones among them.

    Invariants: `ready[endpoint.ready_index] is endpoint` for each ready endpoint, `ready_index` is -1 for all
    other endpoints, and the hash ring contains exactly the ready endpoints. All ready endpoints, and all to
    which this proxy has connections, are registered under their names.

    An attempt in flight does not keep its endpoint registered. If the endpoint is removed from the list
    meanwhile, the request refers to a forgotten object. If it is listed again, another object has its name.
    `rejoin` replaces such a reference, and `forget_unused` leaves the other object alone.
    """

    __slots__ = (
        "context",
        "endpoints",
        "hash_ring",
        "is_poll_scheduled",
        "list_failures",
        "n_log_n",
        "on_endpoint_leaving",
        "ready",
    )

    def __init__(self, context: Context) -> None:
        self.context = context
        self.on_endpoint_leaving: Callable[[Endpoint], None] = _ignore
        """Called for an endpoint that is draining or removed while this proxy has connections to it."""
        self.endpoints: dict[str, Endpoint] = {}
        self.ready: list[Endpoint] = []
        self.hash_ring: hash_ring.Ring = []
        # n * ln(n) for n ready endpoints. If all proxies have established more connections than this since
        # a load report, the probability of comparing endpoints by such reports may fall below 1.
        self.n_log_n = 0.0
        self.list_failures = 0  # number of consecutive failed calls to discovery
        self.is_poll_scheduled = False

    def update(self, event: EndpointList) -> None:
        """Applies an endpoint list or a change to it."""
        if event.kind is EndpointListKind.FAILED:
            self._back_off()
            return
        if event.kind is not EndpointListKind.DELTA:
            named = {entry.name for entry in event.entries}
            for endpoint in list(self.endpoints.values()):
                if endpoint.name not in named:
                    self._set_phase(endpoint, EndpointPhase.REMOVED)
        for entry in event.entries:
            self._update_endpoint(entry, event.kind is EndpointListKind.DELTA)
        self.n_log_n = len(self.ready) * math.log(max(1, len(self.ready)))
        if event.kind is not EndpointListKind.CACHED:
            self.is_poll_scheduled, self.list_failures = False, 0
        elif self.context.settings.polls_endpoints:
            spread_factor = min(1.0, self.context.settings.proxy_count / 10)  # full for 10 proxies or more
            self._schedule_poll(FIRST_POLL_SPREAD * self.context.random() * spread_factor)

    def get_or_add(self, name: str) -> Endpoint:
        """Returns the endpoint with this name, creating it if it is unknown."""
        return self.endpoints.setdefault(name, Endpoint(name))

    def rejoin(self, endpoint: Endpoint) -> Endpoint:
        """Returns the endpoint that is registered under this one's name; registers this one if there is none.

        To be called before a connection is added to an endpoint that may have been forgotten meanwhile.
        """
        return self.endpoints.setdefault(endpoint.name, endpoint)

    def forget_unused(self, endpoint: Endpoint) -> None:
        """Deletes an endpoint that was removed from the endpoint list and has no connections left.

        Another endpoint that was registered under the same name since then is kept.
        """
        is_unused = endpoint.phase is EndpointPhase.REMOVED and not endpoint.connections
        if is_unused and self.endpoints.get(endpoint.name) is endpoint:
            del self.endpoints[endpoint.name]

    def _back_off(self) -> None:
        """Schedules the next call to discovery after a failure.

        The delay grows exponentially with consecutive failures and is randomized, so that the proxies
        together do not overload discovery.
        """
        self.is_poll_scheduled = False
        self.list_failures += 1
        self._schedule_poll(min(1.0, 0.1 * 2.0**self.list_failures) * (0.5 + self.context.random()))

    def _schedule_poll(self, share: float) -> None:
        """Schedules the next call to discovery after a fraction of `Settings.poll_within`."""
        settings = self.context.settings
        if settings.polls_endpoints and not self.is_poll_scheduled:
            self.is_poll_scheduled = True
            self.context.actions.append(SetTimer(share * settings.poll_within, ENDPOINT_LIST_TOKEN))

    def _update_endpoint(self, entry: EndpointEntry, is_change: bool) -> None:
        settings = self.context.settings
        endpoint = self.get_or_add(entry.name)
        endpoint.size = max(endpoint.size, entry.weight)
        if entry.started_at > endpoint.started_at:
            _reset(endpoint, entry.started_at)
        elif (
            endpoint.cores and is_change and endpoint.ready_index >= 0 and entry.phase is EndpointPhase.READY
        ):
            # In complete lists and after a change of phase, the weight is the nominal one and does not
            # reflect connections.
            endpoint.estimated_connections = connection_estimates.connections(
                endpoint.size, entry.weight, endpoint.cores
            )
            endpoint.estimated_at = self.context.now
        endpoint.zone, endpoint.cell, endpoint.weight = entry.zone, entry.cell, entry.weight
        endpoint.stops_within = entry.stops_within
        endpoint.is_local = not entry.zone or not settings.zone or entry.zone == settings.zone
        self._set_phase(endpoint, entry.phase)

    def _set_phase(self, endpoint: Endpoint, phase: EndpointPhase) -> None:
        endpoint.phase = phase
        if phase is EndpointPhase.READY and endpoint.ready_index < 0:
            endpoint.ready_index = len(self.ready)
            self.ready.append(endpoint)
            hash_ring.add(self.hash_ring, endpoint.name)
        elif phase is not EndpointPhase.READY and endpoint.ready_index >= 0:
            self._remove_from_ready(endpoint)
        if phase is EndpointPhase.READY:
            endpoint.draining_since = 0.0
        elif endpoint.connections:
            self.on_endpoint_leaving(endpoint)
        else:
            self.forget_unused(endpoint)

    def _remove_from_ready(self, endpoint: Endpoint) -> None:
        """Removes an endpoint from `ready` in O(1) by moving the last one to its position."""
        last = self.ready.pop()
        if last is not endpoint:
            self.ready[endpoint.ready_index] = last
            last.ready_index = endpoint.ready_index
        endpoint.ready_index = -1
        hash_ring.remove(self.hash_ring, endpoint.name)


def _reset(endpoint: Endpoint, started_at: float) -> None:
    """Resets the observed state of an endpoint whose process has restarted."""
    endpoint.started_at = started_at
    endpoint.load, endpoint.load_per_connection, endpoint.last_report = None, 0.0, (None, None)
    endpoint.unanswered_health_checks, endpoint.consecutive_failures, endpoint.ejected_until = 0, 0, 0.0
    endpoint.report_changed_at = endpoint.last_report_at = endpoint.estimated_at = NEVER


def _ignore(endpoint: Endpoint) -> None:
    """Default of `on_endpoint_leaving` until the balancer sets it."""
