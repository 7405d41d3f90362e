"""The state that a balancer keeps per endpoint and per request. Data only, no decision logic.

All times are in seconds. Fields that end in `_at`, `_since`, `_until` or `_by` are points on the balancer's
clock. "Load" is relative to the endpoint's capacity (1: fully used) unless stated otherwise.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from gradegap.balancing.events import EndpointPhase
from gradegap.balancing.settings import ClassSettings

NEVER = -1e9
"""A point in time before any reading of the balancer's clock, in seconds."""


@dataclass(slots=True, eq=False)
class Endpoint:
    """A save server as known from the endpoint list, its load reports, and this proxy's attempts."""

    name: str
    zone: str = ""
    is_local: bool = True
    """Whether the endpoint is in this proxy's zone; true if either zone is unknown."""
    cell: int = 0
    phase: EndpointPhase = EndpointPhase.REMOVED
    weight: float = 1.0
    started_at: float = 0.0
    ready_index: int = -1
    """Position in the list of ready endpoints; -1 if the endpoint is not ready."""
    load: float | None = None
    """The last reported load; None before the first report. An unknown load equals any in comparisons."""
    last_report: tuple[float | None, float | None] = (None, None)
    """Value of the compared field and the number of connections in the last changed report."""
    report_changed_at: float = NEVER
    """When a report with the values of `last_report` first arrived."""
    last_report_at: float = NEVER
    """When the last report arrived, changed or not."""
    health_check_sent_at: float = NEVER
    """When the pending health check was sent; `NEVER` if none is pending."""
    recent_placements: float = 0.0
    """Number of attempts that this proxy recently sent to the endpoint, decaying exponentially."""
    recent_placements_at: float = 0.0
    """When `recent_placements` was last updated."""
    load_per_connection: float = 0.0
    """Load that one connection adds, learned from the endpoint's reports; 0 while unknown."""
    unanswered_health_checks: int = 0
    """Number of consecutive health checks without an answer."""
    consecutive_failures: int = 0
    """Number of consecutive failed attempts."""
    ejected_until: float = 0.0
    """Before this time the endpoint is selected only if no other one is available."""
    migration_paused_until: float = 0.0
    """Time before which no migration off the endpoint for overload starts."""
    migration_unconfirmed_until: float = 0.0
    """Time before which a migration for overload starts only if a report confirms the last round.

    A report confirms the round if it has at most `migration_confirmed_count` connections.
    """
    migration_confirmed_count: float = 0.0
    stops_within: float = 0.0
    """Seconds between the start of draining and the stop, from the endpoint list; 0 if unknown."""
    draining_since: float = 0.0
    """When this proxy learned that the endpoint is draining or removed; 0 if neither."""
    drained_by: float = 0.0
    """Deadline for migrating all connections of this proxy off the endpoint."""
    size: float = 0.0
    """Weight of the endpoint without connections: the largest weight seen in the endpoint list."""
    cores: float = 0.0
    """CPU cores, inferred from load reports and live weights; 0 while unknown."""
    estimated_connections: float = 0.0
    """Number of connections of all proxies to the endpoint, inferred from its live weight."""
    estimated_at: float = NEVER
    """When `estimated_connections` was inferred."""
    connections: dict[int, Request] = field(default_factory=dict)
    """This proxy's established connections to the endpoint, by request id."""
    connections_by_group: dict[str, int] = field(default_factory=dict)
    """Number of `connections` per hash key; requests without a key are counted under the empty key."""
    waiting_requests: list[Request] = field(default_factory=list)
    """Requests that wait for the pending health check of this endpoint."""


@dataclass(slots=True, eq=False)
class Request:
    """A client's request for a connection, from its arrival until the connection has ended."""

    id: int
    class_settings: ClassSettings
    arrived_at: float
    deadline_at: float
    max_attempts: int = 1
    """Maximum number of attempts, from the settings that were in force when the request arrived."""
    is_reconnect: bool = False
    """Whether the client had an established connection before, through this proxy or another."""
    tenant: str = ""
    priority: float = 1.0
    """Priority weight relative to the largest of any request, 0 to 1."""
    hash_key: str = ""
    """Key on the hash ring; empty if the request may go to any ready endpoint."""
    ring_candidates: list[Endpoint] | None = None
    """Candidate endpoints for `hash_key`, in order of preference; None before the first selection."""
    next_ring_candidate: int = 0
    """Index of the next entry of `ring_candidates` to try."""
    attempts: int = 0
    attempt_in_flight: bool = False
    """Whether an attempt is in flight; there is at most one at a time."""
    established: bool = False
    finished: bool = False
    """Whether the request is finished: nothing more may be sent or answered for it."""
    may_have_run: bool = False
    """Whether an attempt ended with a result after which the endpoint may have executed the request."""
    deduplication_group: object = None
    """Identity of the set of endpoints that drop duplicates of a keyed request that may have run.

    Retries must be sent to these endpoints only.
    """
    retry_until: float = math.inf
    """No attempt is sent after this time, since endpoints no longer drop duplicates of the request then."""
    last_attempt_at: float = 0.0
    attempted_endpoints: list[Endpoint] = field(default_factory=list)
    endpoint: Endpoint | None = None
    """Endpoint of the last attempt."""
    candidates: tuple[Endpoint, Endpoint] | None = None
    """Pair of endpoints to compare once their health checks have ended."""
    pending_health_checks: int = 0
    """Number of pending health checks of the candidates."""
    fallback_endpoint: Endpoint | None = None
    """The least loaded of the endpoints that were drawn and found full."""
    redraws: int = 0
    """Number of further pairs that were drawn for this request because earlier pairs were full."""
