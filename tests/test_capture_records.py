"""Stored names of events, actions and settings: declared, complete and unchanged."""

from __future__ import annotations

import dataclasses
from typing import Any, NamedTuple, get_args

import msgspec
import pytest

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
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    ConnectionObserved,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    Event,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.settings import ClassSettings, DeduplicationScope, Idempotency, TenantSettings
from gradegap.capture import records
from gradegap.capture.errors import BadRecordError
from tests.support.balancer_driver import settings

# The names in files of version 1. These lists define the format: names may be added, never changed.
EVENT_NAMES = {
    "ServerList", "Request", "Inherited", "Established", "Note", "Outcome", "ClientGone", "Timer",
    "ProbeResult", "Leaving", "Returned",
}  # fmt: skip
ACTION_NAMES = {"Send", "Refuse", "Fail", "Move", "SetTimer", "Probe", "WatchList", "Log"}
SETTINGS_FIELDS = [
    "classes", "balancers", "zone", "ask_for_list", "ask_within", "drain_grace", "answer_slack",
    "connect_timeout", "max_attempts", "max_retry_after", "probes", "reports", "report_fields", "weights",
    "groups", "passes", "cold_share", "cold_time", "fall_multiple", "fall_time", "cross_zone_price",
    "move_price", "probe_price", "cpu_per_request", "tenants", "over_share_worth",
]  # fmt: skip
CLASS_FIELDS = ["name", "aim", "limit", "worth", "repeat", "group", "repeat_window", "message_aim"]
TENANT_FIELDS = ["name", "quota", "share"]


def test_stored_names_equal_names_in_existing_files() -> None:
    assert set(records.EVENTS) == EVENT_NAMES
    assert set(records.ACTIONS) == ACTION_NAMES
    assert list(records.SETTINGS.attributes) == SETTINGS_FIELDS
    assert list(records.CLASS_SETTINGS.attributes) == CLASS_FIELDS
    assert list(records.TENANT_SETTINGS.attributes) == TENANT_FIELDS


def test_every_event_and_action_has_exactly_one_stored_name() -> None:
    for kinds, union in ((records.EVENTS, Event), (records.ACTIONS, Action)):
        assert sorted(kinds.values(), key=str) == sorted(get_args(union), key=str)


@pytest.mark.parametrize("form", [records.SETTINGS, records.CLASS_SETTINGS, records.TENANT_SETTINGS])
def test_every_settings_field_has_exactly_one_stored_name(form: records.StoredFields) -> None:
    assert sorted(form.attributes.values()) == sorted(f.name for f in dataclasses.fields(form.cls))


class RenamedForward(NamedTuple):
    """An action with the class name that a later version may give it."""

    request_id: int
    endpoint: str


def test_renamed_class_keeps_stored_name(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(records.ACTIONS, "Send", RenamedForward)
    monkeypatch.setitem(records._STORED_NAMES, RenamedForward, "Send")
    raw = msgspec.msgpack.encode(records.plain(RenamedForward(7, "s1")))
    assert raw == msgspec.msgpack.encode(("Send", (7, "s1")))
    assert records.action(msgspec.msgpack.decode(raw)) == RenamedForward(7, "s1")
    assert records.stored_name(RenamedForward(7, "s1")) == "Send"


def test_renamed_setting_keeps_stored_name() -> None:
    @dataclasses.dataclass(frozen=True)
    class LaterTenant:
        name: str
        connection_quota: float = 0.0

    form = records.StoredFields(LaterTenant, {"name": "name", "quota": "connection_quota"})
    assert form.to_plain(LaterTenant("t", 3.0)) == {"name": "t", "quota": 3.0}
    assert form.from_plain({"name": "t", "quota": 3.0}) == LaterTenant("t", 3.0)


def test_settings_with_classes_and_tenants_are_decoded_unchanged() -> None:
    given_settings = settings(
        tenants={"t": TenantSettings("t", 5.0, 0.5)},
        classes={
            "live": ClassSettings("live", 0.3, 2.0, 0.9, Idempotency.KEYED, DeduplicationScope.CELL, 4.0)
        },
    )
    raw = records.plain_settings(given_settings)
    assert list(raw) == SETTINGS_FIELDS
    assert list(raw["classes"]["live"]) == CLASS_FIELDS and list(raw["tenants"]["t"]) == TENANT_FIELDS
    assert records.settings(msgspec.msgpack.decode(msgspec.msgpack.encode(raw))) == given_settings


@pytest.mark.parametrize(
    "raw",
    [
        {"classes": 3},
        {"classes": {"live": 3}},
        {"classes": {"live": {"name": "live"}}, "tenants": {"t": []}},
        {"classes": {"live": {"name": "live"}}, "no_such_setting": 1},
        {"classes": {}},
    ],
)
def test_invalid_settings_are_rejected(raw: dict[str, Any]) -> None:
    with pytest.raises(BadRecordError, match="settings"):
        records.settings(raw)


def test_names_of_each_record_are_its_endpoints_and_requests() -> None:
    request = RequestArrived(1, "live", 2.0)
    entries = (EndpointEntry("a"), EndpointEntry("b"))
    expected_names: list[tuple[Any, set[Any]]] = [
        (EndpointList(EndpointListKind.FULL, entries), {"a", "b"}),
        (request, {1}),
        (ConnectionInherited(request, "a"), {1, "a"}),
        (ConnectionEstablished(1, 0, "a", 0.1), {1, "a"}),
        (ConnectionObserved(1, "a"), {1, "a"}),
        (AttemptEnded(1, 0, "a", AttemptResult.OK, 0.1, True), {1, "a"}),
        (ClientDisconnected(1), {1}),
        (TimerFired("look"), set()),
        (HealthCheckEnded("a", AttemptResult.OK, 0.1), {"a"}),
        (ProxyDraining(1.0), set()),
        (ProxyResumed(), set()),
        (Forward(1, "a", 0.5), {1, "a"}),
        (Reject(1), {1}),
        (Fail(1), {1}),
        (Migrate(1), {1}),
        (SetTimer(0.1, "look"), set()),
        (CheckHealth("a"), {"a"}),
        (WatchEndpoints(), set()),
        (LogMessage("text"), set()),
    ]
    assert {type(value) for value, _ in expected_names} == {
        *records.EVENTS.values(),
        *records.ACTIONS.values(),
    }
    for value, expected in expected_names:
        assert records.names(value) == expected, value
