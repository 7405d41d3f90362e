"""What a balancer knows of one endpoint, and of one request. Data only.

All times are seconds by the clock that events are handled with; fields that end in `_at`, `_until` or `_by`
are points on it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from gradegap.balancing.events import EndpointPhase
from gradegap.balancing.settings import ClassSettings

NEVER = -1e9
"""A clock time before all others, in seconds."""


@dataclass(slots=True, eq=False)
class Endpoint:
    """A save server as this proxy knows it: from the endpoint list, from load reports, and from attempts."""

    name: str
    zone: str = ""
    is_local: bool = True
    """Whether it is in this proxy's zone, or zones are not known."""
    cell: int = 0
    phase: EndpointPhase = EndpointPhase.REMOVED
    weight: float = 1.0
    started_at: float = 0.0
    ready_index: int = -1
    """Its place in the list of ready endpoints; -1 where it is not in it."""
    load: float | None = None
    """The last reported load; None before the first report, which ties with any other."""
    last_report: tuple[float | None, float | None] = (None, None)
    """The compared field and the number of connections of that report."""
    report_changed_at: float = NEVER
    """When that report came for the first time."""
    last_report_at: float = NEVER
    """When a report last came, changed or not."""
    health_check_sent_at: float = NEVER
    """When the health check under way was sent."""
    recent_placements: float = 0.0
    """Attempts that this proxy sent there of late; decays."""
    recent_placements_at: float = 0.0
    """When `recent_placements` was last brought up to date."""
    load_per_connection: float = 0.0
    """What one connection adds to its load, learned from its reports; 0 while unknown."""
    unanswered_health_checks: int = 0
    """Health checks in a row that it left unanswered."""
    consecutive_failures: int = 0
    """Attempts in a row that failed there."""
    ejected_until: float = 0.0
    """Not selected before this time, where another endpoint can be."""
    migration_paused_until: float = 0.0
    """No connections are migrated off it before this time."""
    migration_unconfirmed_until: float = 0.0
    """Nor before this time, unless it reports at most `migration_confirmed_count` connections."""
    migration_confirmed_count: float = 0.0
    stops_within: float = 0.0
    """Seconds that it stays once it is draining, as the endpoint list says; 0 where the list does not."""
    draining_since: float = 0.0
    """When this proxy learned that it is draining or removed; 0 where it is neither."""
    drained_by: float = 0.0
    """When all connections of this proxy must have been migrated off it."""
    size: float = 0.0
    """Its weight when it holds no connections: the largest that the endpoint list gave."""
    cores: float = 0.0
    """Its cores, learned from its reports beside its weights; 0 while unknown."""
    estimated_connections: float = 0.0
    """Connections of all proxies there, by its weight."""
    estimated_at: float = NEVER
    """When the endpoint list gave that weight."""
    connections: dict[int, Request] = field(default_factory=dict)
    """This proxy's established connections, by request id."""
    connections_by_group: dict[str, int] = field(default_factory=dict)
    """How many of them each group has."""
    waiting_requests: list[Request] = field(default_factory=list)
    """Requests that wait for its health check."""


@dataclass(slots=True, eq=False)
class Request:
    """A client's request for a connection, from its arrival to the end of the connection."""

    id: int
    class_settings: ClassSettings
    arrived_at: float
    deadline_at: float
    max_attempts: int = 1
    """By the settings under which it arrived."""
    is_reconnect: bool = False
    """Its connection was established before, here or through another proxy."""
    tenant: str = ""
    priority: float = 1.0
    """Its priority weight over the largest that any request may have."""
    hash_key: str = ""
    """Its key on the hash ring; empty where it is selected from all ready endpoints."""
    ring_candidates: list[Endpoint] | None = None
    """What is selected from for its key, in order; None before the first selection."""
    next_ring_candidate: int = 0
    attempts: int = 0
    attempt_in_flight: bool = False
    """An attempt is under way; never two at once."""
    established: bool = False
    finished: bool = False
    """Nothing more may be sent or answered for it."""
    may_have_run: bool = False
    """An attempt ended so that the endpoint may have acted on it."""
    deduplication_group: object = None
    """Keyed, and may have run: the group of endpoints that drops its repeats, to which retries are bound."""
    retry_until: float = math.inf
    """No repeat is sent after this time."""
    last_attempt_at: float = 0.0
    attempted_endpoints: list[Endpoint] = field(default_factory=list)
    endpoint: Endpoint | None = None
    """Of the last attempt."""
    candidates: tuple[Endpoint, Endpoint] | None = None
    """The pair that it waits to compare."""
    pending_health_checks: int = 0
    """Health checks of the candidates that are under way."""
    fallback_endpoint: Endpoint | None = None
    """The least loaded of those that were drawn and found full."""
    redraws: int = 0
