"""Converts states of version 1, which have no version number, to version 2. No I/O.

Version 1 stored objects under the names that the program's classes and attributes had at the time, and the
components of a `Balancer` as separate objects:
`{"names": {class: [attribute, ...]}, "objects": [[class, values], ...]}`. The tables of this module describe
existing files and never change.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from gradegap.capture.errors import BadStateError, OtherAlgorithmError

# Old attribute path -> stored name of version 2.
BALANCER = {
    "rng": "random_generator",
    "servers": "endpoints",
    "ready": "ready_endpoints",
    "ring": "hash_ring",
    "n_log_n": "n_log_n",
    "reqs": "requests",
    "born": "started_at",
    "now": "now",
    "began_with": "inherited_count",
    "usual.number": "baseline.number",
    "usual.at": "baseline.at",
    "stood.slow": "established_rate.slow",
    "stood.fast": "established_rate.fast",
    "stood.at": "established_rate.at",
    "came.slow": "sent_rate.slow",
    "came.fast": "sent_rate.fast",
    "came.at": "sent_rate.at",
    "lost.slow": "failed_rate.slow",
    "lost.fast": "failed_rate.fast",
    "lost.at": "failed_rate.at",
    "worth.held": "priority.connections_by_tenant",
    "worth.loads": "priority.load_by_class",
    "figures.gaps": "report_statistics.observed_time",
    "figures.changes": "report_statistics.changes",
    "figures.noise": "report_statistics.noise",
    "capacity.looked_at": "capacity.updated_at",
    "capacity.per_size": "capacity.load_per_size",
    "capacity.mean_size": "capacity.mean_size",
    "capacity.cold_count": "capacity.warming_count",
    "cold.born": "slow_start.started_at",
    "cold.bucket": "slow_start.budget",
    "cold.refilled_at": "slow_start.refilled_at",
    "cold.settled_at": "slow_start.settled_at",
    "cold.settled_slow": "slow_start.settled_rate",
    "tokens": "probe_budget",
    "answering": "probes_answered_share",
    "ticking": "health_check_scheduled",
    "asking": "list_poll_scheduled",
    "list_failures": "list_failures",
    "leave_due": "drain_scheduled",
    "ending": "process_ending",
    "empty_by": "drained_by",
    "owed": "expected_returns",
    "lead": "learned_drain_time",
}
# Attributes of version 1 that can be computed from the settings or from another field.
DROPPED = {"by_probe", "field", "use_ring", "cross", "cold.capacity"}
ENDPOINT = {
    "name": "name",
    "zone": "zone",
    "is_local": "is_local",
    "cell": "cell",
    "phase": "phase",
    "weight": "weight",
    "started_at": "started_at",
    "index": "ready_index",
    "load": "load",
    "raw": "last_report",
    "seen_at": "report_changed_at",
    "looked_at": "last_report_at",
    "probing": "probe_sent_at",
    "own": "recent_placements",
    "own_at": "recent_placements_at",
    "unit": "load_per_connection",
    "silent": "unanswered_probes",
    "failed": "consecutive_failures",
    "out_until": "ejected_until",
    "rest_until": "migration_paused_until",
    "shown_by": "migration_shown_by",
    "shown_at": "migration_shown_at",
    "leaves_in": "drain_notice",
    "drains_at": "draining_since",
    "empty_by": "drained_by",
    "size": "nominal_size",
    "cores": "cores",
    "told": "estimated_connections",
    "told_at": "estimated_at",
    "held": "connections",
    "teams": "connections_by_group",
    "waiters": "waiting_requests",
}
REQUEST = {
    "id": "id",
    "cls": "class",
    "arrived": "arrived_at",
    "deadline": "deadline_at",
    "most": "max_attempts",
    "again": "is_reconnect",
    "tenant": "tenant",
    "worth": "priority",
    "ring_key": "hash_key",
    "walk": "ring_candidates",
    "walk_at": "next_ring_candidate",
    "attempts": "attempts",
    "out": "attempt_in_flight",
    "standing": "established",
    "done": "finished",
    "maybe_ran": "may_have_run",
    "bound": "repeat_group",
    "bound_until": "repeat_until",
    "sent_at": "last_attempt_at",
    "tried": "attempted_endpoints",
    "server": "endpoint",
    "pair": "candidates",
    "waiting": "pending_probes",
    "best": "fallback_endpoint",
    "redraws": "redraws",
}
OBJECTS = {"_Server": ("Endpoint", ENDPOINT), "_Req": ("Request", REQUEST)}
VALUES = {"ClassSettings"}  # stored as settings in both versions
# Attributes of a version 1 `Balancer` that refer to its components, each stored as a separate object.
PARTS = {"worth", "usual", "stood", "came", "lost", "figures", "capacity", "cold"}
PERSONAL_FIELDS = {"ring_key"}


def upgraded(raw: Mapping[str, Any]) -> dict[str, Any]:
    """Returns a state of version 1 in the form of version 2.

    Raises `OtherAlgorithmError` if the objects of the state have other fields, and `BadStateError` if it is
    malformed.
    """
    return _Upgrade(raw).state()


class _Upgrade:
    """Converts one state, object by object."""

    def __init__(self, raw: Mapping[str, Any]) -> None:
        names, rows = raw.get("names"), raw.get("objects")
        if not isinstance(names, Mapping) or not isinstance(rows, list) or not rows:
            raise BadStateError("state must have a map `names` and a non-empty list `objects`")
        self.names: Mapping[str, Any] = names
        self.rows: list[Any] = rows
        for row in self.rows:
            if not isinstance(row, list) or len(row) != 2 or not isinstance(row[0], str):
                raise BadStateError("each object of the state must be a list of a name and its values")
        if self.rows[0][0] != "Balancer":
            raise BadStateError(f"first object of the state must be a Balancer, got {self.rows[0][0][:40]}")
        kept = [k for k, (name, _) in enumerate(self.rows) if k == 0 or name in OBJECTS or name in VALUES]
        self.numbers = {old: new for new, old in enumerate(kept)}

    def state(self) -> dict[str, Any]:
        values_by_path = dict(self._balancer())
        fields = {"Balancer": list(BALANCER.values())}
        objects: list[Any] = [["Balancer", [self._value(values_by_path[path]) for path in BALANCER]]]
        for old in self.numbers:
            if old == 0:
                continue
            name, values = self.rows[old]
            if name in VALUES:
                objects.append([name, values])
                continue
            kind, table = OBJECTS[name]
            values_by_attribute = self._fields(old)
            _compare(name, values_by_attribute.keys(), table.keys())
            fields[kind] = list(table.values())
            objects.append([kind, [self._value(values_by_attribute[attribute]) for attribute in table]])
        return {"version": 2, "fields": fields, "objects": objects}

    def _fields(self, number: int) -> dict[str, Any]:
        """Returns the attributes of an object with their stored values."""
        name, values = self.rows[number]
        names = self.names.get(name)
        if not isinstance(names, list) or not isinstance(values, list) or len(names) != len(values):
            raise BadStateError(f"stored {name[:40]} has no values, or another number of them than fields")
        return dict(zip(names, values, strict=True))

    def _balancer(self) -> Iterator[tuple[str, Any]]:
        """Yields the fields of the `Balancer` and of its components, by path."""
        own = self._fields(0)
        expected = {path.partition(".")[0] for path in (*BALANCER, *DROPPED)}
        _compare("Balancer", own.keys(), expected)
        paths: set[str] = set()
        for attribute, value in own.items():
            if attribute not in PARTS:
                paths.add(attribute)
                yield attribute, value
                continue
            match value:
                case ["o", int(number)] if 0 < number < len(self.rows):
                    for inner, held in self._fields(number).items():
                        paths.add(f"{attribute}.{inner}")
                        yield f"{attribute}.{inner}", held
                case _:
                    raise BadStateError(f"stored Balancer has no valid {attribute}")
        _compare("Balancer", paths, {*BALANCER, *DROPPED})

    def _value(self, value: Any) -> Any:
        """Returns a stored value, with references renumbered."""
        match value:
            case ["o", int(number)]:
                if number not in self.numbers:
                    raise BadStateError(f"reference to object {number}, which is not in the state")
                return ["o", self.numbers[number]]
            case ["l" | "t" | "d" as kind, list(elements)]:
                return [kind, [self._value(element) for element in elements]]
            case ["m", list(pairs)]:
                return ["m", [[self._value(element) for element in pair] for pair in pairs]]
            case _:
                return value


def _compare(name: str, found: Any, expected: Any) -> None:
    if differing := set(found) ^ set(expected):
        raise OtherAlgorithmError(name, map(str, differing))
