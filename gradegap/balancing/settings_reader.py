"""The parser of settings: flat `path=value` pairs from the simulator, nested JSON at a node.

Keys are those of the operators' documentation; `settings.py` defines the fields that they are parsed into. A
missing key raises `KeyError` with its name; a value that is not a number or has the wrong type raises
`ValueError`.
"""

from __future__ import annotations

import math
from typing import Any

from gradegap.balancing.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    ReportSource,
    TenantSettings,
    WeightMeaning,
)

SECONDS_PER_NANOSECOND = 1e-9
"""Conversion factor for times in the input, which are in nanoseconds."""

REPORT_SOURCES = {"inline": ReportSource.ANSWERS, "on_probe": ReportSource.PROBE, "off": ReportSource.NONE}
REPORT_FIELD_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
"""Field names of a load report in the input, and the names used in `Settings.report_fields`."""

WEIGHT_MEANINGS = {"off": WeightMeaning.NONE} | {meaning.value: meaning for meaning in WeightMeaning}

Fields = dict[str, str]
"""Flat pairs of a path and a value; a missing value may be the text `null`."""


def parse_report(text: str | None) -> dict[str, float] | None:
    """Returns a load report from comma-separated `name:value` pairs, with names as in the settings."""
    if not text or text == "-":
        return None
    values = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        values[REPORT_FIELD_NAMES.get(name, name)] = float(value)
    return values


class _Pairs:
    """Typed access to flat pairs, with defaults for missing values."""

    def __init__(self, fields: Fields) -> None:
        self.values = {key: value for key, value in fields.items() if value != "null"}

    def text(self, name: str, default: str = "") -> str:
        return self.values.get(name, default)

    def number(self, name: str, default: float = 0.0) -> float:
        return float(self.values[name]) if self.values.get(name) else default

    def seconds(self, name: str, default: float = 0.0) -> float:
        return float(self.values[name]) * SECONDS_PER_NANOSECOND if self.values.get(name) else default

    def flag(self, name: str) -> bool:
        return self.values.get(name) in ("true", "1")

    def texts(self, name: str) -> list[str]:
        return [each for each in self.values.get(name, "").split(",") if each]


def read(fields: Fields) -> dict[str, Any]:
    """Returns the keyword arguments of `Settings`, parsed from flat pairs."""
    pairs = _Pairs(fields)
    classes, tenants = _classes(pairs), _tenants(pairs)
    seconds, number, flag = pairs.seconds, pairs.number, pairs.flag
    return {
        "classes": classes,
        "proxy_count": int(number("ReplicasOfMe", 1)),
        "zone": pairs.text("Locality"),
        "polls_endpoints": pairs.text("MembershipMode") == "on_request",
        "poll_within": seconds("Rules.AskWithinNs", 10.0),
        "drain_grace": seconds("Rules.DrainGraceNs"),
        "response_slack": seconds("Rules.AnswerSlackNs"),
        "connect_timeout": seconds("Bounds.ConnectTimeoutNs", 0.2),
        "max_attempts": int(number("Bounds.MaxAttempts", 1)),
        "max_retry_after": seconds("Bounds.MaxRetryAfterNs") if flag("Bounds.RetryAfter") else 0.0,
        "health_checks": flag("Bounds.Probes"),
        "report_source": REPORT_SOURCES.get(pairs.text("Telemetry.Source", "off"), ReportSource.NONE),
        "report_fields": tuple(
            REPORT_FIELD_NAMES.get(name, name) for name in pairs.texts("Telemetry.Fields")
        ),
        "weight_meaning": WEIGHT_MEANINGS.get(pairs.text("Weights", "off"), WeightMeaning.NONE),
        "connection_groups": flag("FamilyInfo.Groups"),
        "passthrough": pairs.text("FamilyInfo.Mode") == "pass",
        "slow_start_share": number("Rules.ColdShare", 1.0),
        "slow_start_time": seconds("Rules.ColdNs"),
        "overload_multiple": number("Rules.FallMultiple", 3.0),
        "overload_window": seconds("Rules.FallNs", 1.0),
        "cross_zone_cost": number("Charges.CrossZone"),
        "migration_cost": number("Charges.Moves"),
        "health_check_cost": number("Charges.Probe"),
        "cpu_per_request": number("Bounds.CpuUsPerRequest") * 1e-6,
        "tenants": tenants,
        "over_share_weight": min(1.0, max(0.0, number("OverShareWorth", 1.0))),
    }


def _classes(pairs: _Pairs) -> dict[str, ClassSettings]:
    """Returns the request classes by name."""
    message_objectives = pairs.texts("FamilyInfo.MessageAimNs")
    classes = {}
    for position in range(int(pairs.values.get("Lanes.count", 0))):
        prefix = f"Lanes.{position}."
        name = pairs.values[prefix + "Name"]
        classes[name] = ClassSettings(
            name,
            latency_objective=pairs.seconds(prefix + "AimNs"),
            time_limit=pairs.seconds(prefix + "HardLimitNs"),
            priority_weight=pairs.number(prefix + "Points", 1.0),
            idempotency=Idempotency(pairs.text(prefix + "Idempotency", "safe")),
            deduplication_scope=DeduplicationScope(pairs.text(prefix + "Group", "all")),
            deduplication_window=pairs.seconds(prefix + "DedupWindowNs"),
            message_latency_objective=(_number_at(message_objectives, position) or 0.0)
            * SECONDS_PER_NANOSECOND,
        )
    return classes


def _tenants(pairs: _Pairs) -> dict[str, TenantSettings]:
    """Returns the tenants by name; a quota of connections has precedence over one of requests per second."""
    quotas = pairs.texts("FamilyInfo.TenantQuotaConnections")
    tenants = {}
    for position in range(int(pairs.values.get("Tenants.count", 0) or 0)):
        prefix = f"Tenants.{position}."
        name = pairs.values[prefix + "Name"]
        quota = pairs.number(prefix + "QuotaPerS")
        connection_quota = _number_at(quotas, position)
        quota = quota if connection_quota is None else connection_quota
        tenants[name] = TenantSettings(name, quota, pairs.number(prefix + "Fraction"))
    return tenants


def _number_at(texts: list[str], position: int) -> float | None:
    """Returns the number at a position of a list; None if the list is shorter or has `null` there."""
    if position >= len(texts) or texts[position] == "null":
        return None
    return float(texts[position])


def check(nested: dict[str, Any]) -> None:
    """Checks for required settings that `read` would silently replace by defaults.

    A node whose classes have no time limit, that makes a single attempt per request, or that assumes that
    it is the only proxy appears healthy but serves badly.

    Raises:
        KeyError: A required key is missing.
        ValueError: A value has the wrong type, is not positive, or a class name is missing or duplicate.
    """
    lanes, bounds = nested["Lanes"], nested["Bounds"]
    if not isinstance(lanes, list) or not isinstance(bounds, dict):
        raise ValueError("Lanes must be a list and Bounds an object")
    _require_positive("MaxAttempts", bounds["MaxAttempts"])
    _require_positive("ReplicasOfMe", nested["ReplicasOfMe"])
    names = set()
    for lane in lanes:
        if not isinstance(lane, dict) or not isinstance(lane["Name"], str) or lane["Name"] in names:
            raise ValueError("each entry of Lanes must be an object with a unique Name")
        names.add(lane["Name"])
        _require_positive(f"HardLimitNs of {lane['Name']}", lane["HardLimitNs"])


def _require_positive(name: str, value: Any) -> None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value <= 0:
        raise ValueError(f"{name} must be a positive number, got {value!r}")


def first_missing(old: Any, new: Any, path: str = "") -> str:
    """Returns the path of the first value that `old` has and `new` lacks; empty if there is none.

    Every entry of a list in `new` is compared with the first entry of the list in `old`.
    """
    if isinstance(old, dict):
        if not isinstance(new, dict):
            return path
        for name, value in old.items():
            value_path = f"{path}.{name}" if path else name
            if value is not None and new.get(name) is None:
                return value_path
            if found := first_missing(value, new.get(name), value_path):
                return found
    elif isinstance(old, list) and old and isinstance(old[0], dict):
        if not isinstance(new, list):
            return path
        missing = (first_missing(old[0], each, f"{path}.{position}") for position, each in enumerate(new))
        return next((name for name in missing if name), "")
    return ""


def flatten(value: Any, path: str = "", into: Fields | None = None) -> Fields:
    """Returns the nested object of config.json as the flat pairs that `read` parses."""
    pairs: Fields = {} if into is None else into
    if isinstance(value, dict):
        for name, each in value.items():
            flatten(each, f"{path}.{name}" if path else name, pairs)
    elif isinstance(value, list) and any(isinstance(each, dict) for each in value):
        pairs[f"{path}.count"] = str(len(value))
        for position, each in enumerate(value):
            flatten(each, f"{path}.{position}", pairs)
    elif isinstance(value, list):
        pairs[path] = ",".join("null" if each is None else _text(each) for each in value)
    elif value is not None:
        pairs[path] = _text(value)
    return pairs


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)
