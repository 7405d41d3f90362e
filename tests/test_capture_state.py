"""The stored form of a module's state: declared whole, read in every version, refused where it is later."""

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
# As files of version 2 have them. These lists are the format.
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


def plain(raw: Any) -> Any:
    """A state as a file gives it back."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(raw))


def recorded_states(name: str) -> Iterator[tuple[Mapping[str, Any], dict[str, Any]]]:
    """The states of a file of `tests/captures`, each with its start."""
    start: dict[str, Any] = {}
    for frame in frames.read((CAPTURES / f"{name}.ggc").read_bytes()):
        assert not isinstance(frame, Damage)
        if frame.kind is FrameKind.START:
            start = frame.body
        elif frame.kind is FrameKind.STATE:
            yield frame.body, start


# What is stored


def test_stored_names_are_those_of_version_2() -> None:
    stored = {form.name: list(form.fields) for form in schema.FORMS.values()}
    assert stored == {"Balancer": BALANCER_FIELDS, "Endpoint": ENDPOINT_FIELDS, "Request": REQUEST_FIELDS}
    assert schema.VERSION == 2 and list(schema.ENUMS) == ["Phase"]


def declared(form: schema.Form) -> set[str]:
    return {*form.fields.values(), *form.derived}


def attribute_paths(obj: Any, form: schema.Form, prefix: str = "") -> Iterator[str]:
    """All attributes of an object, and of the program's objects that it is made of, by path."""
    if dataclasses.is_dataclass(obj):
        names = [f.name for f in dataclasses.fields(obj)]
    else:
        names = [n for cls in type(obj).__mro__ for n in getattr(cls, "__slots__", ())]
        names += vars(obj) if hasattr(obj, "__dict__") else []
    for name in names:
        path = f"{prefix}{name}"
        held = getattr(obj, name)
        if path not in declared(form) and is_component(held):
            yield from attribute_paths(held, form, f"{path}.")
        else:
            yield path


STORED_CLASSES = tuple(form.cls for form in schema.FORMS.values())


def is_component(value: Any) -> bool:
    """Whether it is an object of the program's that holds state for another, and is not stored itself."""
    ours = type(value).__module__.partition(".")[0] == "gradegap"
    return ours and not isinstance(value, (*STORED_CLASSES, Settings, ClassSettings, EndpointPhase))


def lived() -> RandomWorkload:
    """A day after which a module holds objects of every kind."""
    day = RandomWorkload(71).run_steps(900)
    for k in range(40):
        request = RequestArrived(10**6 + k, "live", day.now + 2.0, "", f"k{k}", f"g{k % 5}")
        day.feed(request if k % 2 else ConnectionInherited(request, f"s{k % 8}"))
    return day


def every_object(day: RandomWorkload) -> list[tuple[schema.Form, Any]]:
    balancer = day.balancer
    found: list[tuple[schema.Form, Any]] = [(BALANCER, balancer)]
    found += [(ENDPOINT, each) for each in BALANCER.get(balancer, "endpoints").values()]
    found += [(REQUEST, each) for each in BALANCER.get(balancer, "requests").values()]
    assert len(found) > 30
    return found


def test_every_attribute_is_stored_or_declared_as_derived() -> None:
    for form, obj in every_object(lived()):
        found, known = set(attribute_paths(obj, form)), declared(form)
        assert not found - known, f"{form.name}: neither stored nor derived: {sorted(found - known)}"
        assert not known - found, f"{form.name}: declared, and not there: {sorted(known - found)}"


def test_no_path_is_stored_twice_or_also_derived() -> None:
    for form in schema.FORMS.values():
        paths = [*form.fields.values(), *form.derived]
        assert len(paths) == len(set(paths)), form.name


def test_a_planted_attribute_that_nobody_declared_is_found() -> None:
    day = lived()
    day.balancer.planted = 1.0  # type: ignore[attr-defined]
    found = set(attribute_paths(day.balancer, BALANCER)) - declared(BALANCER)
    assert found == {"planted"}
    day.balancer.planted = BALANCER.owner(day.balancer, "baseline.at")  # type: ignore[attr-defined]
    found = set(attribute_paths(day.balancer, BALANCER)) - declared(BALANCER)
    assert len(found) == 2 and all(path.startswith("planted.") for path in found)


# What comes back


def twin_of(form: schema.Form, obj: Any, balancer: Any) -> Any:
    """The object of another balancer that stands for this one."""
    if form is BALANCER:
        return balancer
    key, kind = ("name", "endpoints") if form is ENDPOINT else ("id", "requests")
    return BALANCER.get(balancer, kind)[form.get(obj, key)]


def test_a_state_that_was_loaded_is_the_stored_one() -> None:
    day = lived()
    raw = plain(state.dump(day.balancer))
    made = state.load(gradegap.balancing.balancer, raw, day.settings)
    assert plain(state.dump(made)) == raw
    assert raw["version"] == 2 and list(raw) == ["version", "fields", "objects"]
    for form, obj in every_object(day):
        twin = twin_of(form, obj, made)
        simple = {path for path in form.fields.values() if "." not in path}
        assert [getattr(obj, p) for p in simple if type(getattr(obj, p)) in state.PLAIN] == [
            getattr(twin, p) for p in simple if type(getattr(obj, p)) in state.PLAIN
        ]


def test_parts_of_a_module_that_share_something_share_it_after_a_load() -> None:
    day = lived()
    made = state.load(gradegap.balancing.balancer, plain(state.dump(day.balancer)), day.settings)
    assert made.slow_start.capacity is BALANCER.owner(made, "capacity.mean_size")
    generator = BALANCER.get(made, "random_generator")
    assert made.context.random == generator.random
    ready, requests = BALANCER.get(made, "ready_endpoints"), BALANCER.get(made, "requests")
    endpoints = BALANCER.get(made, "endpoints").values()
    for endpoint in endpoints:
        index = ENDPOINT.get(endpoint, "ready_index")
        assert index < 0 or ready[index] is endpoint
        for ident, request in ENDPOINT.get(endpoint, "connections").items():
            assert request is requests.get(ident, request)
    assert generator.random() == BALANCER.get(day.balancer, "random_generator").random()


# Older and later versions


def test_a_state_of_version_1_is_read_as_one_of_this_version() -> None:
    states = list(recorded_states("rolling_deploy"))
    assert states
    for raw, start in states:
        assert "version" not in raw
        given = records.settings(start["settings"])
        made = state.load(gradegap.balancing.balancer, raw, given)
        again = state.load(gradegap.balancing.balancer, plain(state.dump(made)), given)
        assert plain(state.dump(again)) == plain(state.dump(made))
        assert state.same(gradegap.balancing.balancer, made, raw, given)
        state._put(made, BALANCER.fields["expected_returns"], 7.0)
        assert not state.same(gradegap.balancing.balancer, made, raw, given)
        old = dict(zip(raw["names"]["Balancer"], raw["objects"][0][1], strict=True))
        for stored, name in (("probe_budget", "tokens"), ("learned_drain_time", "lead"), ("now", "now")):
            assert BALANCER.get(made, stored) == old[name]
        rate = dict(zip(raw["names"]["Rate"], raw["objects"][old["came"][1]][1], strict=True))
        assert {name: BALANCER.get(made, f"sent_rate.{name}") for name in rate} == rate
        assert len(BALANCER.get(made, "endpoints")) == sum(name == "_Server" for name, _ in raw["objects"])


def test_a_state_that_was_written_in_version_2_is_loaded_and_dumped_to_the_same_bytes() -> None:
    """The file is never made anew: a change that can no longer read it needs a version of its own."""
    ((raw, start),) = recorded_states("format_2")
    assert raw["version"] == 2
    kinds = Counter(name for name, _ in raw["objects"])
    assert kinds["Endpoint"] == 8 and kinds["Request"] > 20
    made = state.load(gradegap.balancing.balancer, raw, records.settings(start["settings"]))
    assert msgspec.msgpack.encode(state.dump(made)) == msgspec.msgpack.encode(raw)


def test_the_table_of_version_1_names_every_stored_field() -> None:
    assert sorted(state_v1.BALANCER.values()) == sorted(BALANCER_FIELDS)
    assert sorted(state_v1.ENDPOINT.values()) == sorted(ENDPOINT_FIELDS)
    assert sorted(state_v1.REQUEST.values()) == sorted(REQUEST_FIELDS)


def test_a_state_of_a_later_version_is_refused_by_an_error_that_names_both() -> None:
    raw = state.dump(lived().balancer) | {"version": 9}
    with pytest.raises(
        LaterStateError, match=r"state has format 9; this program reads formats up to 2"
    ) as caught:
        state.load(gradegap.balancing.balancer, raw, settings())
    assert (caught.value.found, caught.value.known) == (9, schema.VERSION)


@pytest.mark.parametrize("kind", list(schema.FORMS))
@pytest.mark.parametrize("how", ["one more", "one fewer"])
def test_a_state_with_other_fields_is_of_another_algorithm(kind: str, how: str) -> None:
    day = lived()
    raw = plain(state.dump(day.balancer))
    names = raw["fields"][kind]
    names.append("unheard_of") if how == "one more" else names.pop()
    for name, values in raw["objects"]:
        if name == kind:
            values.append(0) if how == "one more" else values.pop()
    with pytest.raises(OtherAlgorithmError, match=f"its {kind} differs in"):
        state.load(gradegap.balancing.balancer, raw, day.settings)


@pytest.mark.parametrize("name", ["drain_under_load", "jump", "parted_discovery", "quarter_dies", "silent"])
def test_a_state_of_an_older_algorithm_says_what_differs(name: str) -> None:
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
def test_what_is_no_state_is_refused(raw: Any) -> None:
    with pytest.raises(BadStateError):
        state.load(gradegap.balancing.balancer, raw, settings())


@pytest.mark.parametrize(
    "value", [["o", 10**6], ["o", -1], ["q"], ["e", "Popen", 1], ["e", "Phase", 77], ["r", 3, [1], None], {}]
)
def test_a_value_of_no_kind_is_refused(value: Any) -> None:
    day = lived()
    raw = plain(state.dump(day.balancer))
    raw["objects"][0][1][BALANCER_FIELDS.index("endpoints")] = value
    with pytest.raises(BadStateError):
        state.load(gradegap.balancing.balancer, raw, day.settings)


def test_a_module_that_lacks_a_stored_attribute_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    day = lived()
    raw = plain(state.dump(day.balancer))

    class Lacking(Balancer):
        def __init__(self, settings: Settings, seed: int) -> None:
            super().__init__(settings, seed)
            delattr(BALANCER.owner(self, "expected_returns"), name)

    name = BALANCER.fields["expected_returns"].rpartition(".")[2]
    monkeypatch.setattr(gradegap.balancing.balancer, "Balancer", Lacking)
    with pytest.raises(BadStateError, match=name):
        state.load(gradegap.balancing.balancer, raw, day.settings)


def test_ids_of_players_are_found_in_states_of_both_versions() -> None:
    new = plain(state.dump(lived().balancer))
    assert any(str(each).startswith("g") for each in state.personal_ids(new))
    old, _ = next(recorded_states("rolling_deploy"))
    assert list(state.personal_ids(old)) == [
        dict(zip(old["names"][name], values, strict=True))["ring_key"]
        for name, values in old["objects"]
        if name == "_Req"
    ]
    with pytest.raises(LaterStateError):
        list(state.personal_ids(new | {"version": 3}))
