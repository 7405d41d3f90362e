"""Events, actions and settings as plain values that a file can hold, and back. No I/O.

An event or an action is stored as `[name, [field, ...]]`, its fields in the order of its class; settings are
stored as a map by field name. The stored names are declared in the tables of this file and stay as they are
for ever, whatever the classes and their attributes are called: files are read by later versions, and the
digest of a replay is made of the stored names. Enums are stored by value.

A reader of this version takes what an older one wrote as long as fields were only added at the end, with a
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
    """How a class of settings is stored: its stored field names, and the attributes that they stand for."""

    cls: type
    attributes: Mapping[str, str]  # stored name -> attribute; the left column never changes

    def to_plain(self, value: Any) -> dict[str, Any]:
        """The stored form of one object."""
        return {stored: msgspec.to_builtins(getattr(value, name)) for stored, name in self.attributes.items()}

    def to_attributes(self, raw: Any) -> Any:
        """The stored form, keyed by attribute; what is no map is left for the conversion to refuse."""
        if not isinstance(raw, Mapping):
            return raw
        return {self.attributes[stored]: value for stored, value in raw.items() if stored in self.attributes}

    def from_plain(self, raw: Any) -> Any:
        """The object; `msgspec.ValidationError` or `ValueError` for what can't be one."""
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
# Stored fields of `SETTINGS` that hold a map of further settings by name.
_NESTED = {"classes": CLASS_SETTINGS, "tenants": TENANT_SETTINGS}


def stored_name(value: Any) -> str:
    """The name that an event or action is stored by."""
    return _STORED_NAMES[type(value)]


def plain(value: Any) -> tuple[str, Any]:
    """An event or an action; its encoder writes a named tuple as its fields."""
    return _STORED_NAMES[type(value)], value


def event(raw: Sequence[Any]) -> Any:
    """`BadRecordError` for what is no event of this version."""
    return _back(raw, EVENTS)


def action(raw: Sequence[Any]) -> Any:
    """`BadRecordError` for what is no action of this version."""
    return _back(raw, ACTIONS)


def _back(raw: Sequence[Any], kinds: Mapping[str, type]) -> Any:
    kind = kinds.get(raw[0]) if len(raw) == 2 and isinstance(raw[0], str) else None
    if kind is None:
        raise BadRecordError(f"{str(raw[:1])[:40]} is no kind that this version knows")
    try:
        return msgspec.convert(raw[1], kind)
    except (msgspec.ValidationError, RecursionError) as error:
        raise BadRecordError(f"a {raw[0]} that can't be read: {str(error)[:120]}") from None


def names(value: Event | Action) -> set[Any]:
    """The endpoints and requests that an event or action is about."""
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


# By class and not by matching one after the other: the recorder does this for each step.
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
    """Settings as plain values, by their stored names."""
    found = SETTINGS.to_plain(settings)
    for stored, form in _NESTED.items():
        held = getattr(settings, SETTINGS.attributes[stored])
        found[stored] = {name: form.to_plain(each) for name, each in held.items()}
    return found


def settings(raw: Mapping[str, Any]) -> Settings:
    """`BadRecordError` for what can't be settings of this version."""
    if extra := sorted(raw.keys() - SETTINGS.attributes.keys()):
        raise BadRecordError(f"settings of a later version: {', '.join(extra)[:80]}")
    held = dict(raw)
    for stored, form in _NESTED.items():
        if isinstance(each := held.get(stored), Mapping):
            held[stored] = {name: form.to_attributes(value) for name, value in each.items()}
    try:
        made: Settings = SETTINGS.from_plain(held)
    except (msgspec.ValidationError, ValueError) as error:
        raise BadRecordError(f"settings that can't be read: {str(error)[:120]}") from None
    return made
