"""Tests that commands, options, settings, tables, variables, paths and counters keep their names."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tests.compatibility import source_scan, surface
from tests.compatibility.fixtures import FILES, exact, load

NAMES: dict[str, Any] = load("names.json")
RENAMED_COUNTERS: dict[str, str] = json.loads((FILES.parent / "renamed_counters.json").read_text())


def as_json(value: Any) -> Any:
    """Returns a value as it is after a round trip through JSON."""
    return json.loads(json.dumps(value))


@pytest.mark.parametrize("command", NAMES["commands"])
def test_command_keeps_its_options_and_arguments(command: str) -> None:
    now, before = surface.commands()[command], NAMES["commands"][command]
    for option, described in before["options"].items():
        assert now["options"][option] == described
    assert now["arguments"] == before["arguments"]


def test_nested_settings_flatten_to_the_same_pairs() -> None:
    assert surface.flat_settings(NAMES["settings"]["nested"]) == NAMES["settings"]["flat"]


def test_flat_settings_are_read_to_the_same_values() -> None:
    assert exact(surface.settings(NAMES["settings"]["flat"])) == exact(NAMES["settings"]["read"])


@pytest.mark.parametrize("other", NAMES["settings"]["others"], ids=lambda o: f"{o['key']}={o['value']}")
def test_enumerated_setting_value_keeps_its_meaning(other: dict[str, Any]) -> None:
    now = as_json(surface.settings(NAMES["settings"]["flat"] | {other["key"]: other["value"]}))
    before = NAMES["settings"]["read"]
    assert {name: value for name, value in now.items() if value != before[name]} == other["changed"]


@pytest.mark.parametrize("missing", NAMES["settings"]["missing"], ids=lambda m: ".".join(map(str, m["path"])))
def test_missing_setting_is_reported_by_name(missing: dict[str, Any]) -> None:
    nested: Any = json.loads(json.dumps(NAMES["settings"]["nested"]))
    table = nested
    for part in missing["path"][:-1]:
        table = table[part]
    del table[missing["path"][-1]]
    assert surface.missing_setting(nested) == missing["named"]


def test_load_reports_are_read_to_the_same_values() -> None:
    for text, report in NAMES["settings"]["reports"].items():
        assert exact(surface.load_report(text)) == exact(report)
    for text, report in NAMES["line_reports"].items():
        assert exact(surface.report_of_line(text)) == exact(report)


@pytest.fixture
def clean_environment(monkeypatch: pytest.MonkeyPatch) -> pytest.MonkeyPatch:
    """Removes the program's variables from the environment."""
    for name in NAMES["environment_variables"]:
        monkeypatch.delenv(name, raising=False)
    return monkeypatch


def without_settings(configuration: dict[str, Any]) -> dict[str, Any]:
    """Returns a node's configuration without its settings, which have their own tests."""
    assert configuration["fields"]["settings"] == {"map": plain_map(NAMES["settings"]["nested"])["map"]}
    return configuration | {"fields": configuration["fields"] | {"settings": "as in the file"}}


def plain_map(value: Any) -> Any:
    """Returns plain JSON in the form of `present.plain`."""
    if isinstance(value, dict):
        return {"map": {name: plain_map(each) for name, each in value.items()}}
    return [plain_map(each) for each in value] if isinstance(value, list) else value


def test_node_configuration_file_is_read_to_the_same_values(clean_environment: pytest.MonkeyPatch) -> None:
    now = surface.node_configuration(str(FILES / "config.json"))
    assert exact(without_settings(now)) == exact(NAMES["node"]["file"])


def test_environment_variables_override_the_node_configuration_file(
    clean_environment: pytest.MonkeyPatch,
) -> None:
    clean_environment.setenv("NODE_CONFIG", str(FILES / "config.json"))
    for name, value in NAMES["node"]["environment"].items():
        clean_environment.setenv(name, value)
    assert exact(without_settings(surface.node_configuration(None))) == exact(
        NAMES["node"]["with_environment"]
    )


def test_private_files_of_a_node_keep_their_paths(clean_environment: pytest.MonkeyPatch) -> None:
    clean_environment.setenv("TMPDIR", "/somewhere")
    assert surface.private_files(str(FILES / "config.json")) == NAMES["node"]["private_files"]


@pytest.mark.parametrize("name", NAMES["operator"]["files"])
def test_operator_file_is_read_to_the_same_values(name: str) -> None:
    path = Path(FILES / f"operator-{name}.toml")
    assert as_json(surface.operator_settings(path)) == NAMES["operator"]["files"][name]


def test_tables_of_the_operator_file_keep_their_keys() -> None:
    now = surface.operator_tables()
    for table, keys in NAMES["operator"]["tables"].items():
        assert set(keys) <= set(now[table])


def test_environment_variables_are_still_read() -> None:
    assert set(NAMES["environment_variables"]) <= source_scan.environment_variables()


@pytest.mark.parametrize(("method", "target", "answer"), NAMES["admin"])
def test_admin_call_keeps_its_operation(method: str, target: str, answer: list[Any]) -> None:
    assert surface.admin_call(method, target) == answer


def test_store_schema_is_unchanged() -> None:
    assert surface.store_schema() == NAMES["store"]["schema"]


@pytest.mark.parametrize(("key", "value", "read"), NAMES["store"]["values"])
def test_store_value_is_read_to_the_same_value(key: str, value: Any, read: Any) -> None:
    assert exact(surface.store_value(key, value)) == exact(read)


@pytest.mark.parametrize(("line", "request_", "forwarded"), NAMES["lines"])
def test_first_line_of_a_client_is_read_and_forwarded_as_before(
    line: str, request_: Any, forwarded: str
) -> None:
    assert exact(surface.opening_line(line.encode())) == exact([request_, forwarded])


@pytest.mark.parametrize("counter", NAMES["counters"])
def test_counter_exists_under_its_name_or_its_listed_new_name(counter: str) -> None:
    assert RENAMED_COUNTERS.get(counter, counter) in source_scan.counters()


def test_renamed_counters_lists_only_renamed_counters() -> None:
    now = source_scan.counters()
    assert RENAMED_COUNTERS.keys() <= set(NAMES["counters"])
    assert not RENAMED_COUNTERS.keys() & now
    assert len(set(RENAMED_COUNTERS.values())) == len(RENAMED_COUNTERS)
