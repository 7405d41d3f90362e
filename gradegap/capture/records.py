"""Converts events, actions and settings to plain values that a file can hold, and back. No I/O.

An event or an action is stored as `[name, [field, ...]]`, with its fields in the order of its class; settings
are stored as a map by field name. The stored names are declared in the tables of this module. They never
change, even if classes and attributes are renamed: later versions read the files, and the digest of a replay
is computed from the stored names. Enums are stored by value.

This version reads the records of an older version as long as fields were only added at the end, with a
default.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from gradegap.balancing.actions import (
    Action,
    CheckHealth,
    Fail,
    Forward,
    LogMessage,
    Migrate,
    Reject,
    SetTimer,
    WatchEndpoints,
)
from gradegap.balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    ConnectionObserved,
    EndpointList,
    Event,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.settings import ClassSettings, Settings, TenantSettings
from gradegap.capture.errors import BadRecordError

# Stored name -> class. The left column is the file format and never changes.
EVENTS: dict[str, type] = {
    "ServerList": EndpointList,
    "Request": RequestArrived,
    "Inherited": ConnectionInherited,
    "Established": ConnectionEstablished,
    "Note": ConnectionObserved,
    "Outcome": AttemptEnded,
    "ClientGone": ClientDisconnected,
    "Timer": TimerFired,
    "ProbeResult": HealthCheckEnded,
    "Leaving": ProxyDraining,
    "Returned": ProxyResumed,
}
ACTIONS: dict[str, type] = {
    "Send": Forward,
    "Refuse": Reject,
    "Fail": Fail,
    "Move": Migrate,
    "SetTimer": SetTimer,
    "Probe": CheckHealth,
    "WatchList": WatchEndpoints,
    "Log": LogMessage,
}
_STORED_NAMES: dict[type, str] = {kind: name for name, kind in (*EVENTS.items(), *ACTIONS.items())}


@dataclass(slots=True, frozen=True)
class StoredFields:
    """The stored form of a class of settings: its stored field names and the attributes they map to."""

    cls: type
    attributes: Mapping[str, str]  # stored name -> attribute; the left column never changes

    def to_plain(self, value: Any) -> dict[str, Any]:
        """Returns the stored form of an object."""
        return {stored: msgspec.to_builtins(getattr(value, name)) for stored, name in self.attributes.items()}

    def to_attributes(self, raw: Any) -> Any:
        """Replaces stored names by attribute names in a stored map; returns any other value unchanged."""
        if not isinstance(raw, Mapping):
            return raw
        return {self.attributes[stored]: value for stored, value in raw.items() if stored in self.attributes}

    def from_plain(self, raw: Any) -> Any:
        """Decodes an object; raises `msgspec.ValidationError` or `ValueError` if `raw` is invalid."""
        return msgspec.convert(self.to_attributes(raw), self.cls)


CLASS_SETTINGS = StoredFields(
    ClassSettings,
    {
        "name": "name",
        "aim": "latency_objective",
        "limit": "time_limit",
        "worth": "priority_weight",
        "repeat": "idempotency",
        "group": "deduplication_scope",
        "repeat_window": "deduplication_window",
        "message_aim": "message_latency_objective",
    },
)
TENANT_SETTINGS = StoredFields(TenantSettings, {"name": "name", "quota": "quota", "share": "share"})
SETTINGS = StoredFields(
    Settings,
    {
        "classes": "classes",
        "balancers": "proxy_count",
        "zone": "zone",
        "ask_for_list": "polls_endpoints",
        "ask_within": "poll_within",
        "drain_grace": "drain_grace",
        "answer_slack": "response_slack",
        "connect_timeout": "connect_timeout",
        "max_attempts": "max_attempts",
        "max_retry_after": "max_retry_after",
        "probes": "health_checks",
        "reports": "report_source",
        "report_fields": "report_fields",
        "weights": "weight_meaning",
        "groups": "connection_groups",
        "passes": "passthrough",
        "cold_share": "slow_start_share",
        "cold_time": "slow_start_time",
        "fall_multiple": "overload_multiple",
        "fall_time": "overload_window",
        "cross_zone_price": "cross_zone_cost",
        "move_price": "migration_cost",
        "probe_price": "health_check_cost",
        "cpu_per_request": "cpu_per_request",
        "tenants": "tenants",
        "over_share_worth": "over_share_weight",
    },
)
# Stored fields of `SETTINGS` that hold a map from names to nested settings.
_NESTED = {"classes": CLASS_SETTINGS, "tenants": TENANT_SETTINGS}


def stored_name(value: Any) -> str:
    """Returns the stored name of an event or action."""
    return _STORED_NAMES[type(value)]


def plain(value: Any) -> tuple[str, Any]:
    """Returns the stored form of an event or action; the encoder writes a named tuple as a list of fields."""
    return _STORED_NAMES[type(value)], value


def event(raw: Sequence[Any]) -> Any:
    """Decodes an event; raises `BadRecordError` if this version has no such event."""
    return _decode(raw, EVENTS)


def action(raw: Sequence[Any]) -> Any:
    """Decodes an action; raises `BadRecordError` if this version has no such action."""
    return _decode(raw, ACTIONS)


def _decode(raw: Sequence[Any], kinds: Mapping[str, type]) -> Any:
    kind = kinds.get(raw[0]) if len(raw) == 2 and isinstance(raw[0], str) else None
    if kind is None:
        raise BadRecordError(f"unknown kind of event or action: {str(raw[:1])[:40]}")
    try:
        return msgspec.convert(raw[1], kind)
    except (msgspec.ValidationError, RecursionError) as error:
        raise BadRecordError(f"a {raw[0]} that can't be read: {str(error)[:120]}") from None


def names(value: Event | Action) -> set[Any]:
    """Returns the names of endpoints and ids of requests that an event or action refers to."""
    return _NAMES[type(value)](value)


def _listed_endpoints(value: EndpointList) -> set[Any]:
    return {entry.name for entry in value.entries}


def _inherited(value: ConnectionInherited) -> set[Any]:
    return {value.request.request_id, value.endpoint}


def _request_and_endpoint(
    value: ConnectionEstablished | ConnectionObserved | AttemptEnded | Forward,
) -> set[Any]:
    return {value.request_id, value.endpoint}


def _request(value: RequestArrived | ClientDisconnected | Reject | Fail | Migrate) -> set[Any]:
    return {value.request_id}


def _endpoint(value: HealthCheckEnded | CheckHealth) -> set[Any]:
    return {value.endpoint}


def _nothing(value: Event | Action) -> set[Any]:
    return set()


# A lookup by class is faster than a sequence of match cases; the recorder calls `names` for each step.
_NAMES: dict[type, Callable[[Any], set[Any]]] = {
    EndpointList: _listed_endpoints,
    ConnectionInherited: _inherited,
    ConnectionEstablished: _request_and_endpoint,
    ConnectionObserved: _request_and_endpoint,
    AttemptEnded: _request_and_endpoint,
    Forward: _request_and_endpoint,
    RequestArrived: _request,
    ClientDisconnected: _request,
    Reject: _request,
    Fail: _request,
    Migrate: _request,
    HealthCheckEnded: _endpoint,
    CheckHealth: _endpoint,
    TimerFired: _nothing,
    ProxyDraining: _nothing,
    ProxyResumed: _nothing,
    SetTimer: _nothing,
    WatchEndpoints: _nothing,
    LogMessage: _nothing,
}


def plain_settings(settings: Settings) -> dict[str, Any]:
    """Returns settings as plain values, keyed by their stored names."""
    plain_values = SETTINGS.to_plain(settings)
    for stored, form in _NESTED.items():
        values = getattr(settings, SETTINGS.attributes[stored])
        plain_values[stored] = {name: form.to_plain(value) for name, value in values.items()}
    return plain_values


def settings(raw: Mapping[str, Any]) -> Settings:
    """Decodes settings; raises `BadRecordError` if this version can't read them."""
    if extra := sorted(raw.keys() - SETTINGS.attributes.keys()):
        raise BadRecordError(f"settings of a later version: {', '.join(extra)[:80]}")
    values = dict(raw)
    for stored, form in _NESTED.items():
        if isinstance(nested := values.get(stored), Mapping):
            values[stored] = {name: form.to_attributes(value) for name, value in nested.items()}
    try:
        decoded: Settings = SETTINGS.from_plain(values)
    except (msgspec.ValidationError, ValueError) as error:
        raise BadRecordError(f"settings that can't be read: {str(error)[:120]}") from None
    return decoded
