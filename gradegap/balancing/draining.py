"""Draining: migrates all connections off an endpoint or this proxy in paced rounds before it stops."""

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
"""Seconds between two rounds of migration off a draining endpoint or proxy."""

DEFAULT_DRAIN_TIME_S = 3.6
"""Seconds that a draining endpoint is assumed to keep serving, until one was observed to stop sooner."""

MIN_DRAIN_TIME_S = 0.3
"""Lower bound in seconds of the learned drain time, however soon endpoints were observed to stop."""

DRAIN_START_SHARE = 0.75
"""Fraction of the assumed drain time after which migration starts."""

DRAIN_END_SHARE = 1.0
"""Fraction of the assumed drain time by which all connections have been migrated."""

ANNOUNCED_DRAIN_START_SHARE = 0.05
"""Fraction of the announced drain time after which migration starts.

It applies to endpoints for which the endpoint list announces how soon they may stop.
"""

ANNOUNCED_DRAIN_END_SHARE = 0.8
"""Fraction of the announced drain time by which all connections have been migrated.

The rest is a safety margin before the endpoint may stop.
"""

REMOVED_DRAIN_S = 0.5
"""Seconds over which connections are migrated off an endpoint that was removed from the endpoint list."""


class Draining:
    """Paces the migration off draining endpoints and this proxy, and learns endpoints' drain times."""

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
        self.learned_drain_time = DEFAULT_DRAIN_TIME_S  # seconds
        self.drained_by = 0.0  # deadline for migrating all connections off this proxy; 0: not draining
        self.is_round_scheduled = False  # whether the timer for this proxy's next migration round is set

    def drain_endpoint(self, endpoint: Endpoint) -> None:
        """Schedules the migration off a draining or removed endpoint, unless it is scheduled already."""
        if endpoint.draining_since > 0.0:
            return
        endpoint.draining_since = self.context.now
        start_after, end_after = self._window(endpoint)
        endpoint.drained_by = self.context.now + end_after
        self._schedule_round(endpoint, start_after)

    def connection_added(self, endpoint: Endpoint) -> None:
        """Schedules the migration of a connection that was added to a draining or removed endpoint.

        The rounds end with the endpoint's last connection, so the first one that follows starts them again.
        """
        if endpoint.draining_since > 0.0 and len(endpoint.connections) == 1:
            start_after, _ = self._window(endpoint)
            self._schedule_round(endpoint, max(0.0, endpoint.draining_since + start_after - self.context.now))
        else:
            self.drain_endpoint(endpoint)

    def _window(self, endpoint: Endpoint) -> tuple[float, float]:
        """Returns the seconds from the start of a drain to the first and to the last migration."""
        if endpoint.phase is EndpointPhase.REMOVED:
            return 0.0, REMOVED_DRAIN_S
        if endpoint.stops_within:
            return (
                ANNOUNCED_DRAIN_START_SHARE * endpoint.stops_within,
                ANNOUNCED_DRAIN_END_SHARE * endpoint.stops_within,
            )
        return DRAIN_START_SHARE * self.learned_drain_time, DRAIN_END_SHARE * self.learned_drain_time

    def _schedule_round(self, endpoint: Endpoint, after: float) -> None:
        """Sets the timer of a round in `after` seconds or up to `DRAIN_ROUND_S` later, at random."""
        delay = after + DRAIN_ROUND_S * self.context.random()
        self.context.actions.append(SetTimer(delay, endpoint_drain_token(endpoint.name)))

    def connection_broke(self, endpoint: Endpoint) -> None:
        """Learns a shorter drain time after a draining endpoint reset this proxy's last connection to it."""
        if endpoint.connections or endpoint.phase is not EndpointPhase.DRAINING or endpoint.stops_within:
            return
        drain_time = self.context.now - endpoint.draining_since
        self.learned_drain_time = max(MIN_DRAIN_TIME_S, min(self.learned_drain_time, drain_time))

    def run_endpoint_round(self, name: str, token: str) -> None:
        """Runs one round of migration off a draining endpoint."""
        endpoint = self.registry.endpoints.get(name)
        if endpoint is not None and endpoint.draining_since > 0.0 and endpoint.connections:
            self._migrate_share(list(endpoint.connections.values()), endpoint.drained_by, token)

    def drain_proxy(self, event: ProxyDraining) -> None:
        """Schedules the migration of all connections of this proxy, which is about to stop.

        If its process exits, waiting requests are answered immediately, since a connection established now
        would have to be migrated again.
        """
        attempts = self.attempts
        self.drained_by = min(self.drained_by or event.deadline_at, event.deadline_at)
        attempts.is_process_ending = attempts.is_process_ending or event.process_ends
        if attempts.is_process_ending:
            requests = self.table.requests.values()
            for request in [
                waiting for waiting in requests if not waiting.attempt_in_flight and not waiting.finished
            ]:
                attempts.give_up(request)
        if not self.is_round_scheduled:
            self.is_round_scheduled = True
            delay = min(PROXY_DRAIN_DELAY_S, max(0.0, event.deadline_at - self.context.now))
            self.context.actions.append(SetTimer(delay, PROXY_DRAIN_TOKEN))

    def resume_proxy(self) -> None:
        """Cancels the drain of this proxy; the remaining connections stay."""
        self.drained_by = self.migration.expected_returns = 0.0

    def run_proxy_round(self) -> None:
        """Runs one round of migration off this proxy, unless its drain was cancelled."""
        self.is_round_scheduled = self.drained_by > 0.0
        if self.is_round_scheduled:
            endpoints = self.registry.endpoints.values()
            requests = [request for endpoint in endpoints for request in endpoint.connections.values()]
            self._migrate_share(requests, self.drained_by, PROXY_DRAIN_TOKEN)

    def _migrate_share(self, connections: list[Request], drained_by: float, token: str) -> None:
        """Migrates the share of connections that is due, the highest priority weight first.

        The share is chosen so that equal rounds migrate all connections before `drained_by`. The order is
        randomized by a factor of 0.5 to 1.5 on the weight.
        """
        random = self.context.random
        rounds = max(1, int((drained_by - self.context.now) / DRAIN_ROUND_S))
        connections.sort(
            key=lambda request: request.class_settings.priority_weight * (0.5 + random()), reverse=True
        )
        self.migration.migrate(connections[: math.ceil(len(connections) / rounds)])
        self.context.actions.append(SetTimer(DRAIN_ROUND_S, token))
