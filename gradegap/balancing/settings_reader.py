"""The one reader of settings: flat `path=value` pairs on the simulator's wire, nested JSON at a node."""

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

NS = 1e-9
SOURCES = {"inline": ReportSource.ANSWERS, "on_probe": ReportSource.PROBE, "off": ReportSource.NONE}
FIELDS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
WEIGHTS = {"off": WeightMeaning.NONE} | {w.value: w for w in WeightMeaning}

Fields = dict[str, str]


def report(text: str | None) -> dict[str, float] | None:
    """A load report, `name:value` pairs set apart by commas, under the names of `Settings.report_fields`."""
    if not text or text == "-":
        return None
    out = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        out[FIELDS.get(name, name)] = float(value)
    return out


def read(fields: Fields) -> dict[str, Any]:
    """The settings of an instance, from the pairs of its first message; ready for `interface.Settings`."""
    f = {key: value for key, value in fields.items() if value != "null"}

    def seconds(name: str, default: float = 0.0) -> float:
        return float(f[name]) * NS if f.get(name) else default

    def number(name: str, default: float = 0.0) -> float:
        return float(f[name]) if f.get(name) else default

    def yes(name: str, default: bool = False) -> bool:
        return f[name] in ("true", "1") if name in f else default

    def texts(name: str) -> list[str]:
        return [t for t in f.get(name, "").split(",") if t]

    aims = texts("FamilyInfo.MessageAimNs")
    classes = {}
    for k in range(int(f.get("Lanes.count", 0))):
        p = f"Lanes.{k}."
        name = f[p + "Name"]
        classes[name] = ClassSettings(
            name,
            seconds(p + "AimNs"),
            seconds(p + "HardLimitNs"),
            number(p + "Points", 1.0),
            Idempotency(f.get(p + "Idempotency", "safe")),
            DeduplicationScope(f.get(p + "Group", "all")),
            seconds(p + "DedupWindowNs"),
            float(aims[k]) * NS if k < len(aims) and aims[k] != "null" else 0.0,
        )
    tenants = {}
    quotas = texts("FamilyInfo.TenantQuotaConnections")
    for k in range(int(f.get("Tenants.count", 0) or 0)):
        p = f"Tenants.{k}."
        name = f[p + "Name"]
        quota = number(p + "QuotaPerS")
        if k < len(quotas) and quotas[k] != "null":
            quota = float(quotas[k])
        tenants[name] = TenantSettings(name, quota, number(p + "Fraction"))
    return {
        "classes": classes,
        "proxy_count": int(number("ReplicasOfMe", 1)),
        "zone": f.get("Locality", ""),
        "polls_endpoints": f.get("MembershipMode") == "on_request",
        "poll_within": seconds("Rules.AskWithinNs", 10.0),
        "drain_grace": seconds("Rules.DrainGraceNs"),
        "response_slack": seconds("Rules.AnswerSlackNs"),
        "connect_timeout": seconds("Bounds.ConnectTimeoutNs", 0.2),
        "max_attempts": int(number("Bounds.MaxAttempts", 1)),
        "max_retry_after": seconds("Bounds.MaxRetryAfterNs") if yes("Bounds.RetryAfter") else 0.0,
        "health_checks": yes("Bounds.Probes"),
        "report_source": SOURCES.get(f.get("Telemetry.Source", "off"), ReportSource.NONE),
        "report_fields": tuple(FIELDS.get(t, t) for t in texts("Telemetry.Fields")),
        "weight_meaning": WEIGHTS.get(f.get("Weights", "off"), WeightMeaning.NONE),
        "connection_groups": yes("FamilyInfo.Groups"),
        "passthrough": f.get("FamilyInfo.Mode") == "pass",
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


def check(nested: dict[str, Any]) -> None:
    """Guards against settings whose gaps `read` would fill: a node with a class that has no deadline, with
    one attempt for four, or that takes itself for the only one, looks healthy and serves badly. A KeyError
    names what is missing."""
    lanes, bounds = nested["Lanes"], nested["Bounds"]
    if not isinstance(lanes, list) or not isinstance(bounds, dict):
        raise ValueError("Lanes or Bounds of the wrong kind")
    _above_0("MaxAttempts", bounds["MaxAttempts"])
    _above_0("ReplicasOfMe", nested["ReplicasOfMe"])
    names = set()
    for lane in lanes:
        if not isinstance(lane, dict) or not isinstance(lane["Name"], str) or lane["Name"] in names:
            raise ValueError("a class without a name of its own")
        names.add(lane["Name"])
        _above_0(f"HardLimitNs of {lane['Name']}", lane["HardLimitNs"])


def _above_0(name: str, value: Any) -> None:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or value <= 0:
        raise ValueError(f"{name} is no number above 0: {value!r}")


def lacking(old: Any, new: Any, path: str = "") -> str:
    """The first name that `old` has a value for and `new` lacks; empty: none. Each entry of a list is held
    against the first of the old one."""
    if isinstance(old, dict):
        if not isinstance(new, dict):
            return path
        for name, value in old.items():
            here = f"{path}.{name}" if path else name
            if value is not None and new.get(name) is None:
                return here
            if found := lacking(value, new.get(name), here):
                return found
    elif isinstance(old, list) and old and isinstance(old[0], dict):
        if not isinstance(new, list):
            return path
        missing = (lacking(old[0], each, f"{path}.{k}") for k, each in enumerate(new))
        return next((name for name in missing if name), "")
    return ""


def flatten(value: Any, path: str = "", into: Fields | None = None) -> Fields:
    """The nested object of config.json as the pairs that `read` takes."""
    out: Fields = {} if into is None else into
    if isinstance(value, dict):
        for name, each in value.items():
            flatten(each, f"{path}.{name}" if path else name, out)
    elif isinstance(value, list) and any(isinstance(each, dict) for each in value):
        out[f"{path}.count"] = str(len(value))
        for k, each in enumerate(value):
            flatten(each, f"{path}.{k}", out)
    elif isinstance(value, list):
        out[path] = ",".join("null" if each is None else _text(each) for each in value)
    elif value is not None:
        out[path] = _text(value)
    return out


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)
