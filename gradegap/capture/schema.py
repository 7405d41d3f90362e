"""Declares which attributes of a `Balancer` a recording stores, and under which names. No I/O.

A `Form` describes one kind of stored object: its stored name, its class and its fields. A field has a stored
name and an attribute path: `"owed"`, or `"retries.owed"` if it is an attribute of a component. If the
decision classes are renamed or split, the classes and paths here change, but never a stored name. If fields
are added, removed or change their meaning, `VERSION` is incremented and the previous version's table is kept
in a module like `gradegap.capture.state_v1`.

Attributes that are not stored are declared as derived: settings and values computed from them, references
between components, and collections that are empty between two events. `tests/test_capture_state.py` fails
for an attribute that is neither stored nor derived.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Any

from gradegap.balancing import balancer, model
from gradegap.balancing.events import EndpointPhase

VERSION = 2  # version of the stored form of a state; states of version 1 have no version number


@dataclass(slots=True, frozen=True)
class Form:
    """The stored form of one kind of object."""

    name: str  # the stored name
    cls: type
    fields: Mapping[str, str]  # stored name -> attribute path, in the order in which they are stored
    derived: frozenset[str] = frozenset()  # attribute paths that are not stored
    blank: Callable[[Any], Any] = object.__new__  # creates an object of a class without setting its fields
    values: Callable[[Any], tuple[Any, ...]] = field(
        init=False
    )  # returns the field values of an object, in order

    def __post_init__(self) -> None:
        object.__setattr__(self, "values", attrgetter(*self.fields.values()))

    def get(self, obj: Any, stored: str) -> Any:
        """Returns the field of an object with this stored name."""
        return attrgetter(self.fields[stored])(obj)

    def owner(self, obj: Any, stored: str) -> Any:
        """Returns the object that has the field as an attribute: `obj` or one of its components."""
        inner = self.fields[stored].rpartition(".")[0]
        return attrgetter(inner)(obj) if inner else obj


# Derived attributes: settings, values computed from them, and the actions of the event in progress.
DERIVED = (
    "handlers",
    "context.actions",
    "context.cross_zone_load",
    "context.load_field",
    "context.random",
    "context.settings",
    "context.uses_hash_ring",
    "context.uses_health_checks",
    "priority_weights.settings",
)
# Derived attributes as well: the references of each component to other components, by component.
COMPONENT_REFERENCES = {
    "admission": ("context", "growth", "load_estimates", "rates", "statistics"),
    "attempts": ("context", "observer", "outliers", "rates", "table"),
    "draining": ("attempts", "context", "migration", "registry", "table"),
    "grouping": ("capacity", "context", "registry"),
    "growth": ("context", "table"),
    "health_checks": ("context", "outliers", "registry", "reports"),
    "lifecycle": (
        "attempts",
        "context",
        "draining",
        "growth",
        "health_checks",
        "migration",
        "outliers",
        "rates",
        "registry",
        "reports",
        "selection",
        "table",
    ),
    "load_estimates": ("capacity", "context", "ready"),
    "migration": ("context", "load_estimates", "statistics", "table"),
    "outliers": ("context", "rates"),
    "registry": ("context", "on_endpoint_leaving"),
    "reports": ("context", "statistics"),
    "selection": (
        "admission",
        "attempts",
        "context",
        "grouping",
        "health_checks",
        "load_estimates",
        "observer",
        "rates",
        "registry",
        "slow_start",
        "table",
    ),
    "slow_start": ("capacity",),
    "table": ("priority_weights",),
}

BALANCER = Form(
    "Balancer",
    balancer.Balancer,
    {
        "random_generator": "context.random_generator",
        "endpoints": "registry.endpoints",
        "ready_endpoints": "registry.ready",
        "hash_ring": "registry.hash_ring",
        "n_log_n": "registry.n_log_n",
        "requests": "table.requests",
        "started_at": "context.started_at",
        "now": "context.now",
        "inherited_count": "growth.inherited_count",
        "baseline.number": "growth.baseline.value",
        "baseline.at": "growth.baseline.updated_at",
        "established_rate.slow": "rates.established.slow_rate",
        "established_rate.fast": "rates.established.fast_rate",
        "established_rate.at": "rates.established.updated_at",
        "sent_rate.slow": "rates.sent.slow_rate",
        "sent_rate.fast": "rates.sent.fast_rate",
        "sent_rate.at": "rates.sent.updated_at",
        "failed_rate.slow": "rates.failed.slow_rate",
        "failed_rate.fast": "rates.failed.fast_rate",
        "failed_rate.at": "rates.failed.updated_at",
        "priority.connections_by_tenant": "priority_weights.connections_by_tenant",
        "priority.load_by_class": "priority_weights.load_by_class",
        "report_statistics.observed_time": "report_statistics.observed_time",
        "report_statistics.changes": "report_statistics.changes",
        "report_statistics.noise": "report_statistics.noise",
        "capacity.updated_at": "capacity.updated_at",
        "capacity.load_per_size": "capacity.load_per_size",
        "capacity.mean_size": "capacity.mean_size",
        "capacity.warming_count": "capacity.warming_count",
        "slow_start.started_at": "slow_start.started_at",
        "slow_start.budget": "slow_start.budget",
        "slow_start.refilled_at": "slow_start.refilled_at",
        "slow_start.settled_at": "slow_start.settled_at",
        "slow_start.settled_rate": "slow_start.settled_rate",
        "probe_budget": "health_checks.budget",
        "probes_answered_share": "health_checks.answered_share",
        "health_check_scheduled": "health_checks.is_scheduled",
        "list_poll_scheduled": "registry.is_poll_scheduled",
        "list_failures": "registry.list_failures",
        "drain_scheduled": "draining.is_round_scheduled",
        "process_ending": "attempts.is_process_ending",
        "drained_by": "draining.drained_by",
        "expected_returns": "migration.expected_returns",
        "learned_drain_time": "draining.learned_drain_time",
    },
    derived=frozenset(
        (*DERIVED, *(f"{part}.{name}" for part, names in COMPONENT_REFERENCES.items() for name in names))
    ),
)

ENDPOINT = Form(
    "Endpoint",
    model.Endpoint,
    {
        "name": "name",
        "zone": "zone",
        "is_local": "is_local",
        "cell": "cell",
        "phase": "phase",
        "weight": "weight",
        "started_at": "started_at",
        "ready_index": "ready_index",
        "load": "load",
        "last_report": "last_report",
        "report_changed_at": "report_changed_at",
        "last_report_at": "last_report_at",
        "probe_sent_at": "health_check_sent_at",
        "recent_placements": "recent_placements",
        "recent_placements_at": "recent_placements_at",
        "load_per_connection": "load_per_connection",
        "unanswered_probes": "unanswered_health_checks",
        "consecutive_failures": "consecutive_failures",
        "ejected_until": "ejected_until",
        "migration_paused_until": "migration_paused_until",
        "migration_shown_by": "migration_unconfirmed_until",
        "migration_shown_at": "migration_confirmed_count",
        "drain_notice": "stops_within",
        "draining_since": "draining_since",
        "drained_by": "drained_by",
        "nominal_size": "size",
        "cores": "cores",
        "estimated_connections": "estimated_connections",
        "estimated_at": "estimated_at",
        "connections": "connections",
        "connections_by_group": "connections_by_group",
        "waiting_requests": "waiting_requests",
    },
    blank=lambda cls: cls(""),
)

REQUEST = Form(
    "Request",
    model.Request,
    {
        "id": "id",
        "class": "class_settings",
        "arrived_at": "arrived_at",
        "deadline_at": "deadline_at",
        "max_attempts": "max_attempts",
        "is_reconnect": "is_reconnect",
        "tenant": "tenant",
        "priority": "priority",
        "hash_key": "hash_key",
        "ring_candidates": "ring_candidates",
        "next_ring_candidate": "next_ring_candidate",
        "attempts": "attempts",
        "attempt_in_flight": "attempt_in_flight",
        "established": "established",
        "finished": "finished",
        "may_have_run": "may_have_run",
        "repeat_group": "deduplication_group",
        "repeat_until": "retry_until",
        "last_attempt_at": "last_attempt_at",
        "attempted_endpoints": "attempted_endpoints",
        "endpoint": "endpoint",
        "candidates": "candidates",
        "pending_probes": "pending_health_checks",
        "fallback_endpoint": "fallback_endpoint",
        "redraws": "redraws",
    },
    blank=lambda cls: cls(0, None, 0.0, 0.0),
)

FORMS: dict[str, Form] = {form.name: form for form in (BALANCER, ENDPOINT, REQUEST)}
CLASS_SETTINGS = "ClassSettings"  # stored name of the settings of a request class
ENUMS: dict[str, type[enum.Enum]] = {"Phase": EndpointPhase}
# The stored fields that hold a player's id or a value derived from one.
PERSONAL_FIELDS = {"hash_key"}
