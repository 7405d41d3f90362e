"""Draining: connections are migrated off an endpoint, or this proxy, before it stops, in paced rounds."""

from __future__ import annotations

import math

from gradegap.balancing.actions import SetTimer
from gradegap.balancing.attempts import PROXY_DRAIN_DELAY_S, Attempts
from gradegap.balancing.context import Context
from gradegap.balancing.endpoint_registry import EndpointRegistry
from gradegap.balancing.events import EndpointPhase, ProxyDraining
from gradegap.balancing.migration import Migration
from gradegap.balancing.model import Endpoint, Request
from gradegap.balancing.request_table import RequestTable
from gradegap.balancing.timers import PROXY_DRAIN_TOKEN, endpoint_drain_token

DRAIN_ROUND_S = 0.1
"""Seconds between two rounds of migration off an endpoint or a proxy that is draining."""

DEFAULT_DRAIN_TIME_S = 3.6
"""Seconds that a draining endpoint is assumed to stay, until one was seen to stop sooner."""

SHORTEST_DRAIN_TIME_S = 0.3
"""Seconds that a draining endpoint is assumed to stay at least, whatever was seen."""

DRAIN_START_SHARE = 0.75
"""Share of the assumed drain time after which the first connections are migrated."""

DRAIN_END_SHARE = 1.0
"""Share of the assumed drain time by which all connections are migrated."""

ANNOUNCED_DRAIN_START_SHARE = 0.05
"""As `DRAIN_START_SHARE`, where the endpoint list says how soon the endpoint may stop."""

ANNOUNCED_DRAIN_END_SHARE = 0.8
"""As `DRAIN_END_SHARE`, where the endpoint list says how soon the endpoint may stop."""

REMOVED_DRAIN_S = 0.5
"""Seconds over which connections are migrated off an endpoint that the list has removed."""


class Draining:
    """Paces the migration off endpoints and off this proxy, and learns how long draining endpoints stay."""

    __slots__ = (
        "attempts",
        "context",
        "drained_by",
        "is_round_scheduled",
        "learned_drain_time",
        "migration",
        "registry",
        "table",
    )

    def __init__(
        self,
        context: Context,
        registry: EndpointRegistry,
        table: RequestTable,
        attempts: Attempts,
        migration: Migration,
    ) -> None:
        self.context = context
        self.registry = registry
        self.table = table
        self.attempts = attempts
        self.migration = migration
        self.learned_drain_time = DEFAULT_DRAIN_TIME_S  # s
        self.drained_by = 0.0  # when this proxy must have migrated all its connections; 0: it stays
        self.is_round_scheduled = False  # whether the timer of this proxy's next round is set

    def drain_endpoint(self, endpoint: Endpoint) -> None:
        """Schedules the migration off an endpoint that is draining or removed, once."""
        if endpoint.draining_since > 0.0:
            return
        endpoint.draining_since = self.context.now
        first = DRAIN_START_SHARE * self.learned_drain_time
        last = DRAIN_END_SHARE * self.learned_drain_time
        if endpoint.stops_within:
            first = ANNOUNCED_DRAIN_START_SHARE * endpoint.stops_within
            last = ANNOUNCED_DRAIN_END_SHARE * endpoint.stops_within
        if endpoint.phase is EndpointPhase.REMOVED:
            first, last = 0.0, REMOVED_DRAIN_S
        endpoint.drained_by = self.context.now + last
        delay = first + DRAIN_ROUND_S * self.context.random()
        self.context.actions.append(SetTimer(delay, endpoint_drain_token(endpoint.name)))

    def connection_broke(self, endpoint: Endpoint) -> None:
        """Learns a shorter drain time where an endpoint broke the last of our connections before that."""
        if endpoint.connections or endpoint.phase is not EndpointPhase.DRAINING or endpoint.stops_within:
            return
        stayed = self.context.now - endpoint.draining_since
        self.learned_drain_time = max(SHORTEST_DRAIN_TIME_S, min(self.learned_drain_time, stayed))

    def run_endpoint_round(self, name: str, token: str) -> None:
        """Migrates the next connections off a draining endpoint."""
        endpoint = self.registry.endpoints.get(name)
        if endpoint is not None and endpoint.draining_since > 0.0 and endpoint.connections:
            self._migrate_share(list(endpoint.connections.values()), endpoint.drained_by, token)

    def drain_proxy(self, event: ProxyDraining) -> None:
        """Schedules the migration of all connections of this proxy, which is about to stop.

        Where its process ends, waiting requests are answered at once: a connection established now would only
        be migrated.
        """
        attempts = self.attempts
        self.drained_by = min(self.drained_by or event.deadline_at, event.deadline_at)
        attempts.is_process_ending = attempts.is_process_ending or event.process_ends
        if attempts.is_process_ending:
            requests = self.table.requests.values()
            for request in [r for r in requests if not r.attempt_in_flight and not r.finished]:
                attempts.give_up(request)
        if not self.is_round_scheduled:
            self.is_round_scheduled = True
            delay = min(PROXY_DRAIN_DELAY_S, max(0.0, event.deadline_at - self.context.now))
            self.context.actions.append(SetTimer(delay, PROXY_DRAIN_TOKEN))

    def resume_proxy(self) -> None:
        """Keeps what this proxy still holds: it stays after all."""
        self.drained_by = self.migration.expected_returns = 0.0

    def run_proxy_round(self) -> None:
        """Migrates the next connections off this proxy, unless it stays after all."""
        self.is_round_scheduled = self.drained_by > 0.0
        if self.is_round_scheduled:
            endpoints = self.registry.endpoints.values()
            held = [request for endpoint in endpoints for request in endpoint.connections.values()]
            self._migrate_share(held, self.drained_by, PROXY_DRAIN_TOKEN)

    def _migrate_share(self, held: list[Request], drained_by: float, token: str) -> None:
        """Migrates a share of what is left, highest priority first, so that none is left by `drained_by`."""
        random = self.context.random
        rounds = max(1, int((drained_by - self.context.now) / DRAIN_ROUND_S))
        held.sort(key=lambda request: request.class_settings.priority_weight * (0.5 + random()), reverse=True)
        self.migration.migrate(held[: math.ceil(len(held) / rounds)])
        self.context.actions.append(SetTimer(DRAIN_ROUND_S, token))
