"""What of a `Balancer` is stored in a recording, by which names, and where it is in the objects. No I/O.

A `Form` describes one kind of stored object: its stored name, its class, and its fields. A field has a stored
name and the attribute path at which the object has it: `"owed"`, or `"retries.owed"` where it is an attribute
of a component. A rename or a split of the decision classes changes classes and paths here; it never changes a
stored name. When fields are added, dropped or change their meaning, `VERSION` goes up by one and the previous
version's table goes beside `gradegap.capture.state_v1`.

What is not stored is declared as derived: settings and what follows from them, wiring, and what is empty
between two events. `tests/test_capture_state.py` fails for an attribute that is neither stored nor derived.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Any

from gradegap.balancing import balancer
from gradegap.balancing.events import EndpointPhase

VERSION = 2  # of the stored form of a state; version 1 had no number


@dataclass(slots=True, frozen=True)
class Form:
    """How one kind of object is stored."""

    name: str  # the stored name
    cls: type
    fields: Mapping[str, str]  # stored name -> attribute path, in the order in which they are stored
    derived: frozenset[str] = frozenset()  # attribute paths that are not stored
    blank: Callable[[Any], Any] = object.__new__  # makes an object of the class, or of a copy, to be filled
    values: Callable[[Any], tuple[Any, ...]] = field(init=False)  # the fields of an object, in order

    def __post_init__(self) -> None:
        object.__setattr__(self, "values", attrgetter(*self.fields.values()))

    def get(self, obj: Any, stored: str) -> Any:
        """A field of an object, by its stored name."""
        return attrgetter(self.fields[stored])(obj)

    def owner(self, obj: Any, stored: str) -> Any:
        """The component that has a field: the object itself, or the one that the path leads to."""
        inner = self.fields[stored].rpartition(".")[0]
        return attrgetter(inner)(obj) if inner else obj


BALANCER = Form(
    "Balancer",
    balancer.Balancer,
    {
        "random_generator": "rng",
        "endpoints": "servers",
        "ready_endpoints": "ready",
        "hash_ring": "ring",
        "n_log_n": "n_log_n",
        "requests": "reqs",
        "started_at": "born",
        "now": "now",
        "inherited_count": "began_with",
        "baseline.number": "usual.number",
        "baseline.at": "usual.at",
        "established_rate.slow": "stood.slow",
        "established_rate.fast": "stood.fast",
        "established_rate.at": "stood.at",
        "sent_rate.slow": "came.slow",
        "sent_rate.fast": "came.fast",
        "sent_rate.at": "came.at",
        "failed_rate.slow": "lost.slow",
        "failed_rate.fast": "lost.fast",
        "failed_rate.at": "lost.at",
        "priority.connections_by_tenant": "worth.held",
        "priority.load_by_class": "worth.loads",
        "report_statistics.observed_time": "figures.gaps",
        "report_statistics.changes": "figures.changes",
        "report_statistics.noise": "figures.noise",
        "capacity.updated_at": "capacity.looked_at",
        "capacity.load_per_size": "capacity.per_size",
        "capacity.mean_size": "capacity.mean_size",
        "capacity.warming_count": "capacity.cold_count",
        "slow_start.started_at": "cold.born",
        "slow_start.budget": "cold.bucket",
        "slow_start.refilled_at": "cold.refilled_at",
        "slow_start.settled_at": "cold.settled_at",
        "slow_start.settled_rate": "cold.settled_slow",
        "probe_budget": "tokens",
        "probes_answered_share": "answering",
        "health_check_scheduled": "ticking",
        "list_poll_scheduled": "asking",
        "list_failures": "list_failures",
        "drain_scheduled": "leave_due",
        "process_ending": "ending",
        "drained_by": "empty_by",
        "expected_returns": "owed",
        "learned_drain_time": "lead",
    },
    # Settings, what `adopt` makes of them, wiring, and the actions of the event under way.
    derived=frozenset(
        ("set", "by_probe", "field", "use_ring", "cross", "worth.set", "cold.capacity", "random", "on", "out")
    ),
)

ENDPOINT = Form(
    "Endpoint",
    balancer._Server,
    {
        "name": "name",
        "zone": "zone",
        "is_local": "is_local",
        "cell": "cell",
        "phase": "phase",
        "weight": "weight",
        "started_at": "started_at",
        "ready_index": "index",
        "load": "load",
        "last_report": "raw",
        "report_changed_at": "seen_at",
        "last_report_at": "looked_at",
        "probe_sent_at": "probing",
        "recent_placements": "own",
        "recent_placements_at": "own_at",
        "load_per_connection": "unit",
        "unanswered_probes": "silent",
        "consecutive_failures": "failed",
        "ejected_until": "out_until",
        "migration_paused_until": "rest_until",
        "migration_shown_by": "shown_by",
        "migration_shown_at": "shown_at",
        "drain_notice": "leaves_in",
        "draining_since": "drains_at",
        "drained_by": "empty_by",
        "nominal_size": "size",
        "cores": "cores",
        "estimated_connections": "told",
        "estimated_at": "told_at",
        "connections": "held",
        "connections_by_group": "teams",
        "waiting_requests": "waiters",
    },
    blank=lambda cls: cls(""),
)

REQUEST = Form(
    "Request",
    balancer._Req,
    {
        "id": "id",
        "class": "cls",
        "arrived_at": "arrived",
        "deadline_at": "deadline",
        "max_attempts": "most",
        "is_reconnect": "again",
        "tenant": "tenant",
        "priority": "worth",
        "hash_key": "ring_key",
        "ring_candidates": "walk",
        "next_ring_candidate": "walk_at",
        "attempts": "attempts",
        "attempt_in_flight": "out",
        "established": "standing",
        "finished": "done",
        "may_have_run": "maybe_ran",
        "repeat_group": "bound",
        "repeat_until": "bound_until",
        "last_attempt_at": "sent_at",
        "attempted_endpoints": "tried",
        "endpoint": "server",
        "candidates": "pair",
        "pending_probes": "waiting",
        "fallback_endpoint": "best",
        "redraws": "redraws",
    },
    blank=lambda cls: cls(0, None, 0.0, 0.0),
)

FORMS: dict[str, Form] = {form.name: form for form in (BALANCER, ENDPOINT, REQUEST)}
CLASS_SETTINGS = "ClassSettings"  # the stored name of a value that is stored as settings are
ENUMS: dict[str, type[enum.Enum]] = {"Phase": EndpointPhase}
# The stored fields that hold an id of a player, or what was made of one.
PERSONAL_FIELDS = {"hash_key"}
