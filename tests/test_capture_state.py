"""The stored form of a balancer's state: complete, readable in every version, rejected if later."""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec
import pytest

import gradegap.balancing.balancer
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import ConnectionInherited, EndpointPhase, RequestArrived
from gradegap.balancing.settings import ClassSettings, Settings
from gradegap.capture import frames, records, schema, state, state_v1
from gradegap.capture.errors import BadStateError, LaterStateError, OtherAlgorithmError
from gradegap.capture.frames import Damage, FrameKind
from gradegap.capture.schema import BALANCER, ENDPOINT, REQUEST
from tests.support.balancer_driver import settings
from tests.support.recorded_workload import RandomWorkload

CAPTURES = Path(__file__).parent / "captures"
# The field names in files of version 2. These lists define the format.
BALANCER_FIELDS = [
    "random_generator", "endpoints", "ready_endpoints", "hash_ring", "n_log_n", "requests", "started_at",
    "now", "inherited_count", "baseline.number", "baseline.at", "established_rate.slow",
    "established_rate.fast", "established_rate.at", "sent_rate.slow", "sent_rate.fast", "sent_rate.at",
    "failed_rate.slow", "failed_rate.fast", "failed_rate.at", "priority.connections_by_tenant",
    "priority.load_by_class", "report_statistics.observed_time", "report_statistics.changes",
    "report_statistics.noise", "capacity.updated_at", "capacity.load_per_size", "capacity.mean_size",
    "capacity.warming_count", "slow_start.started_at", "slow_start.budget", "slow_start.refilled_at",
    "slow_start.settled_at", "slow_start.settled_rate", "probe_budget", "probes_answered_share",
    "health_check_scheduled", "list_poll_scheduled", "list_failures", "drain_scheduled", "process_ending",
    "drained_by", "expected_returns", "learned_drain_time",
]  # fmt: skip
ENDPOINT_FIELDS = [
    "name", "zone", "is_local", "cell", "phase", "weight", "started_at", "ready_index", "load", "last_report",
    "report_changed_at", "last_report_at", "probe_sent_at", "recent_placements", "recent_placements_at",
    "load_per_connection", "unanswered_probes", "consecutive_failures", "ejected_until",
    "migration_paused_until", "migration_shown_by", "migration_shown_at", "drain_notice", "draining_since",
    "drained_by", "nominal_size", "cores", "estimated_connections", "estimated_at", "connections",
    "connections_by_group", "waiting_requests",
]  # fmt: skip
REQUEST_FIELDS = [
    "id", "class", "arrived_at", "deadline_at", "max_attempts", "is_reconnect", "tenant", "priority",
    "hash_key", "ring_candidates", "next_ring_candidate", "attempts", "attempt_in_flight", "established",
    "finished", "may_have_run", "repeat_group", "repeat_until", "last_attempt_at", "attempted_endpoints",
    "endpoint", "candidates", "pending_probes", "fallback_endpoint", "redraws",
]  # fmt: skip


def stored_and_read(raw: Any) -> Any:
    """Encodes and decodes a state, as writing it to a file and reading it does."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(raw))


def recorded_states(name: str) -> Iterator[tuple[Mapping[str, Any], dict[str, Any]]]:
    """Yields the states in a file of `tests/captures`, each with its START frame."""
    start: dict[str, Any] = {}
    for frame in frames.read((CAPTURES / f"{name}.ggc").read_bytes()):
        assert not isinstance(frame, Damage)
        if frame.kind is FrameKind.START:
            start = frame.body
        elif frame.kind is FrameKind.STATE:
            yield frame.body, start


# Declared fields


def test_stored_names_equal_names_of_version_2() -> None:
    stored = {form.name: list(form.fields) for form in schema.FORMS.values()}
    assert stored == {"Balancer": BALANCER_FIELDS, "Endpoint": ENDPOINT_FIELDS, "Request": REQUEST_FIELDS}
    assert schema.VERSION == 2 and list(schema.ENUMS) == ["Phase"]


def declared_paths(form: schema.Form) -> set[str]:
    return {*form.fields.values(), *form.derived}


def attribute_paths(obj: Any, form: schema.Form, prefix: str = "") -> Iterator[str]:
    """Yields the attribute paths of an object and of its components."""
    if dataclasses.is_dataclass(obj):
        names = [f.name for f in dataclasses.fields(obj)]
    else:
        names = [n for cls in type(obj).__mro__ for n in getattr(cls, "__slots__", ())]
        names += vars(obj) if hasattr(obj, "__dict__") else []
    for name in names:
        path = f"{prefix}{name}"
        held = getattr(obj, name)
        if path not in declared_paths(form) and is_component(held):
            yield from attribute_paths(held, form, f"{path}.")
        else:
            yield path


STORED_CLASSES = tuple(form.cls for form in schema.FORMS.values())


def is_component(value: Any) -> bool:
    """Whether a value is an object of the program that is stored as a part of another object."""
    ours = type(value).__module__.partition(".")[0] == "gradegap"
    return ours and not isinstance(value, (*STORED_CLASSES, Settings, ClassSettings, EndpointPhase))


def workload_with_all_objects() -> RandomWorkload:
    """Returns a workload after which the balancer holds objects of every kind."""
    workload = RandomWorkload(71).run_steps(900)
    for number in range(40):
        request = RequestArrived(
            10**6 + number, "live", workload.now + 2.0, "", f"k{number}", f"g{number % 5}"
        )
        workload.feed(request if number % 2 else ConnectionInherited(request, f"s{number % 8}"))
    return workload


def every_object(workload: RandomWorkload) -> list[tuple[schema.Form, Any]]:
    balancer = workload.balancer
    objects: list[tuple[schema.Form, Any]] = [(BALANCER, balancer)]
    objects += [(ENDPOINT, obj) for obj in BALANCER.get(balancer, "endpoints").values()]
    objects += [(REQUEST, obj) for obj in BALANCER.get(balancer, "requests").values()]
    assert len(objects) > 30
    return objects


def test_every_attribute_is_stored_or_declared_derived() -> None:
    for form, obj in every_object(workload_with_all_objects()):
        present, declared = set(attribute_paths(obj, form)), declared_paths(form)
        assert not present - declared, (
            f"{form.name}: neither stored nor derived: {sorted(present - declared)}"
        )
        assert not declared - present, f"{form.name}: declared, but missing: {sorted(declared - present)}"


def test_no_path_is_declared_twice() -> None:
    for form in schema.FORMS.values():
        paths = [*form.fields.values(), *form.derived]
        assert len(paths) == len(set(paths)), form.name


def test_undeclared_attribute_is_detected() -> None:
    workload = workload_with_all_objects()
    workload.balancer.planted = 1.0  # type: ignore[attr-defined]
    undeclared = set(attribute_paths(workload.balancer, BALANCER)) - declared_paths(BALANCER)
    assert undeclared == {"planted"}
    workload.balancer.planted = BALANCER.owner(workload.balancer, "baseline.at")  # type: ignore[attr-defined]
    undeclared = set(attribute_paths(workload.balancer, BALANCER)) - declared_paths(BALANCER)
    assert len(undeclared) == 2 and all(path.startswith("planted.") for path in undeclared)


# Loaded states


def corresponding_object(form: schema.Form, obj: Any, balancer: Any) -> Any:
    """Returns the object of another balancer that corresponds to `obj`."""
    if form is BALANCER:
        return balancer
    key, kind = ("name", "endpoints") if form is ENDPOINT else ("id", "requests")
    return BALANCER.get(balancer, kind)[form.get(obj, key)]


def test_loaded_state_equals_stored_state() -> None:
    workload = workload_with_all_objects()
    raw = stored_and_read(state.dump(workload.balancer))
    loaded = state.load(gradegap.balancing.balancer, raw, workload.settings)
    assert stored_and_read(state.dump(loaded)) == raw
    assert raw["version"] == 2 and list(raw) == ["version", "fields", "objects"]
    for form, obj in every_object(workload):
        loaded_obj = corresponding_object(form, obj, loaded)
        direct_attributes = {path for path in form.fields.values() if "." not in path}
        assert [
            getattr(obj, attribute)
            for attribute in direct_attributes
            if type(getattr(obj, attribute)) in state.PLAIN
        ] == [
            getattr(loaded_obj, attribute)
            for attribute in direct_attributes
            if type(getattr(obj, attribute)) in state.PLAIN
        ]


def test_shared_references_are_shared_after_loading() -> None:
    workload = workload_with_all_objects()
    loaded = state.load(
        gradegap.balancing.balancer, stored_and_read(state.dump(workload.balancer)), workload.settings
    )
    assert loaded.slow_start.capacity is BALANCER.owner(loaded, "capacity.mean_size")
    generator = BALANCER.get(loaded, "random_generator")
    assert loaded.context.random == generator.random
    ready, requests = BALANCER.get(loaded, "ready_endpoints"), BALANCER.get(loaded, "requests")
    endpoints = BALANCER.get(loaded, "endpoints").values()
    for endpoint in endpoints:
        index = ENDPOINT.get(endpoint, "ready_index")
        assert index < 0 or ready[index] is endpoint
        for request_id, request in ENDPOINT.get(endpoint, "connections").items():
            assert request is requests.get(request_id, request)
    assert generator.random() == BALANCER.get(workload.balancer, "random_generator").random()


# Older and later versions


def test_state_of_version_1_is_loaded_as_version_2() -> None:
    states = list(recorded_states("rolling_deploy"))
    assert states
    for raw, start in states:
        assert "version" not in raw
        stored_settings = records.settings(start["settings"])
        loaded = state.load(gradegap.balancing.balancer, raw, stored_settings)
        reloaded = state.load(
            gradegap.balancing.balancer, stored_and_read(state.dump(loaded)), stored_settings
        )
        assert stored_and_read(state.dump(reloaded)) == stored_and_read(state.dump(loaded))
        assert state.same(gradegap.balancing.balancer, loaded, raw, stored_settings)
        state._put(loaded, BALANCER.fields["expected_returns"], 7.0)
        assert not state.same(gradegap.balancing.balancer, loaded, raw, stored_settings)
        version_1_fields = dict(zip(raw["names"]["Balancer"], raw["objects"][0][1], strict=True))
        for stored, name in (("probe_budget", "tokens"), ("learned_drain_time", "lead"), ("now", "now")):
            assert BALANCER.get(loaded, stored) == version_1_fields[name]
        version_1_rate = dict(
            zip(raw["names"]["Rate"], raw["objects"][version_1_fields["came"][1]][1], strict=True)
        )
        assert {name: BALANCER.get(loaded, f"sent_rate.{name}") for name in version_1_rate} == version_1_rate
        assert len(BALANCER.get(loaded, "endpoints")) == sum(name == "_Server" for name, _ in raw["objects"])


def test_state_of_version_2_is_loaded_and_dumped_to_same_bytes() -> None:
    """The file is never regenerated: a change after which it can't be read needs a new version."""
    ((raw, start),) = recorded_states("format_2")
    assert raw["version"] == 2
    object_counts = Counter(name for name, _ in raw["objects"])
    assert object_counts["Endpoint"] == 8 and object_counts["Request"] > 20
    loaded = state.load(gradegap.balancing.balancer, raw, records.settings(start["settings"]))
    assert msgspec.msgpack.encode(state.dump(loaded)) == msgspec.msgpack.encode(raw)


def test_version_1_table_covers_every_stored_field() -> None:
    assert sorted(state_v1.BALANCER.values()) == sorted(BALANCER_FIELDS)
    assert sorted(state_v1.ENDPOINT.values()) == sorted(ENDPOINT_FIELDS)
    assert sorted(state_v1.REQUEST.values()) == sorted(REQUEST_FIELDS)


def test_state_of_later_version_is_rejected_with_both_versions() -> None:
    raw = state.dump(workload_with_all_objects().balancer) | {"version": 9}
    with pytest.raises(
        LaterStateError, match=r"state has format 9; this program reads formats up to 2"
    ) as caught:
        state.load(gradegap.balancing.balancer, raw, settings())
    assert (caught.value.found, caught.value.known) == (9, schema.VERSION)


@pytest.mark.parametrize("kind", list(schema.FORMS))
@pytest.mark.parametrize("how", ["one more", "one fewer"])
def test_state_with_other_fields_is_rejected_as_other_algorithm(kind: str, how: str) -> None:
    workload = workload_with_all_objects()
    raw = stored_and_read(state.dump(workload.balancer))
    names = raw["fields"][kind]
    names.append("unheard_of") if how == "one more" else names.pop()
    for name, values in raw["objects"]:
        if name == kind:
            values.append(0) if how == "one more" else values.pop()
    with pytest.raises(OtherAlgorithmError, match=f"its {kind} differs in"):
        state.load(gradegap.balancing.balancer, raw, workload.settings)


@pytest.mark.parametrize("name", ["drain_under_load", "jump", "parted_discovery", "quarter_dies", "silent"])
def test_state_of_older_algorithm_is_rejected_with_differing_fields(name: str) -> None:
    states = list(recorded_states(name))
    assert states
    for raw, start in states:
        with pytest.raises(OtherAlgorithmError, match=r"its Balancer differs in .* and 6 more") as caught:
            state.load(gradegap.balancing.balancer, raw, records.settings(start["settings"]))
        assert caught.value.kind == "Balancer"
        assert {"top_worth", "recent", "worth", "figures"} <= set(caught.value.fields)


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        {"version": 0, "objects": []},
        {"version": "2", "objects": []},
        {"version": 2},
        {"version": 2, "fields": {}, "objects": []},
        {"version": 2, "fields": {}, "objects": [["Endpoint", []]]},
        {"version": 2, "fields": {}, "objects": [["Balancer", []], ["Balancer", []]]},
        {"version": 2, "fields": {}, "objects": [["Balancer", []], ["Popen", []]]},
        {"version": 2, "fields": {}, "objects": [["Balancer", []], ["ClassSettings", {"aim": 3}]]},
        {"version": 2, "fields": {"Balancer": BALANCER_FIELDS}, "objects": [["Balancer", [0]]]},
        {"version": 2, "fields": {"Balancer": 5}, "objects": [["Balancer", []]]},
        {"names": {"Balancer": ["now"]}, "objects": [["Balancer", [1.0]]]},
    ],
)
def test_malformed_state_is_rejected(raw: Any) -> None:
    with pytest.raises(BadStateError):
        state.load(gradegap.balancing.balancer, raw, settings())


@pytest.mark.parametrize(
    "value", [["o", 10**6], ["o", -1], ["q"], ["e", "Popen", 1], ["e", "Phase", 77], ["r", 3, [1], None], {}]
)
def test_malformed_value_is_rejected(value: Any) -> None:
    workload = workload_with_all_objects()
    raw = stored_and_read(state.dump(workload.balancer))
    raw["objects"][0][1][BALANCER_FIELDS.index("endpoints")] = value
    with pytest.raises(BadStateError):
        state.load(gradegap.balancing.balancer, raw, workload.settings)


def test_module_without_stored_attribute_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    workload = workload_with_all_objects()
    raw = stored_and_read(state.dump(workload.balancer))

    class IncompleteBalancer(Balancer):
        def __init__(self, settings: Settings, seed: int) -> None:
            super().__init__(settings, seed)
            delattr(BALANCER.owner(self, "expected_returns"), name)

    name = BALANCER.fields["expected_returns"].rpartition(".")[2]
    monkeypatch.setattr(gradegap.balancing.balancer, "Balancer", IncompleteBalancer)
    with pytest.raises(BadStateError, match=name):
        state.load(gradegap.balancing.balancer, raw, workload.settings)


def test_player_ids_are_found_in_states_of_both_versions() -> None:
    version_2_state = stored_and_read(state.dump(workload_with_all_objects().balancer))
    assert any(str(player_id).startswith("g") for player_id in state.personal_ids(version_2_state))
    version_1_state, _ = next(recorded_states("rolling_deploy"))
    assert list(state.personal_ids(version_1_state)) == [
        dict(zip(version_1_state["names"][name], values, strict=True))["ring_key"]
        for name, values in version_1_state["objects"]
        if name == "_Req"
    ]
    with pytest.raises(LaterStateError):
        list(state.personal_ids(version_2_state | {"version": 3}))
