"""Commands, options, settings, tables, variables, paths and counters are called as they were."""

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
    """A value as a JSON file has it."""
    return json.loads(json.dumps(value))


@pytest.mark.parametrize("command", NAMES["commands"])
def test_a_command_has_its_options_and_arguments(command: str) -> None:
    now, before = surface.commands()[command], NAMES["commands"][command]
    for option, described in before["options"].items():
        assert now["options"][option] == described
    assert now["arguments"] == before["arguments"]


def test_settings_are_flattened_to_the_same_pairs() -> None:
    assert surface.flat_settings(NAMES["settings"]["nested"]) == NAMES["settings"]["flat"]


def test_settings_are_read_by_all_of_their_keys() -> None:
    assert exact(surface.settings(NAMES["settings"]["flat"])) == exact(NAMES["settings"]["read"])


@pytest.mark.parametrize("other", NAMES["settings"]["others"], ids=lambda o: f"{o['key']}={o['value']}")
def test_a_word_of_a_setting_means_what_it_did(other: dict[str, Any]) -> None:
    now = as_json(surface.settings(NAMES["settings"]["flat"] | {other["key"]: other["value"]}))
    before = NAMES["settings"]["read"]
    assert {name: value for name, value in now.items() if value != before[name]} == other["changed"]


@pytest.mark.parametrize("missing", NAMES["settings"]["missing"], ids=lambda m: ".".join(map(str, m["path"])))
def test_a_setting_that_is_missing_is_named(missing: dict[str, Any]) -> None:
    nested: Any = json.loads(json.dumps(NAMES["settings"]["nested"]))
    place = nested
    for part in missing["path"][:-1]:
        place = place[part]
    del place[missing["path"][-1]]
    assert surface.missing_setting(nested) == missing["named"]


def test_load_reports_are_read() -> None:
    for text, report in NAMES["settings"]["reports"].items():
        assert exact(surface.load_report(text)) == exact(report)
    for text, report in NAMES["line_reports"].items():
        assert exact(surface.report_of_line(text)) == exact(report)


@pytest.fixture
def clean_environment(monkeypatch: pytest.MonkeyPatch) -> pytest.MonkeyPatch:
    """No variable of the program is set."""
    for name in NAMES["environment_variables"]:
        monkeypatch.delenv(name, raising=False)
    return monkeypatch


def without_settings(configuration: dict[str, Any]) -> dict[str, Any]:
    """A node's configuration but for its settings, which have their own tests."""
    assert configuration["fields"]["settings"] == {"map": plain_map(NAMES["settings"]["nested"])["map"]}
    return configuration | {"fields": configuration["fields"] | {"settings": "as in the file"}}


def plain_map(value: Any) -> Any:
    """Plain JSON as `present.plain` gives it."""
    if isinstance(value, dict):
        return {"map": {name: plain_map(each) for name, each in value.items()}}
    return [plain_map(each) for each in value] if isinstance(value, list) else value


def test_a_node_s_file_is_read(clean_environment: pytest.MonkeyPatch) -> None:
    now = surface.node_configuration(str(FILES / "config.json"))
    assert exact(without_settings(now)) == exact(NAMES["node"]["file"])


def test_the_environment_goes_over_a_node_s_file(clean_environment: pytest.MonkeyPatch) -> None:
    clean_environment.setenv("NODE_CONFIG", str(FILES / "config.json"))
    for name, value in NAMES["node"]["environment"].items():
        clean_environment.setenv(name, value)
    assert exact(without_settings(surface.node_configuration(None))) == exact(
        NAMES["node"]["with_environment"]
    )


def test_a_node_finds_the_files_of_the_process_before_it(clean_environment: pytest.MonkeyPatch) -> None:
    clean_environment.setenv("TMPDIR", "/somewhere")
    assert surface.private_files(str(FILES / "config.json")) == NAMES["node"]["private_files"]


@pytest.mark.parametrize("name", NAMES["operator"]["files"])
def test_an_operator_s_file_is_read(name: str) -> None:
    path = Path(FILES / f"operator-{name}.toml")
    assert as_json(surface.operator_settings(path)) == NAMES["operator"]["files"][name]


def test_tables_of_an_operator_s_file_have_their_keys() -> None:
    now = surface.operator_tables()
    for table, keys in NAMES["operator"]["tables"].items():
        assert set(keys) <= set(now[table])


def test_environment_variables_are_still_read() -> None:
    assert set(NAMES["environment_variables"]) <= source_scan.environment_variables()


@pytest.mark.parametrize(("method", "target", "answer"), NAMES["admin"])
def test_a_call_at_the_admin_api_is_for_the_same(method: str, target: str, answer: list[Any]) -> None:
    assert surface.admin_call(method, target) == answer


def test_the_store_s_keys_have_their_schema() -> None:
    assert surface.store_schema() == NAMES["store"]["schema"]


@pytest.mark.parametrize(("key", "value", "read"), NAMES["store"]["values"])
def test_a_value_of_the_store_takes_effect_as_it_did(key: str, value: Any, read: Any) -> None:
    assert exact(surface.store_value(key, value)) == exact(read)


@pytest.mark.parametrize(("line", "request_", "forwarded"), NAMES["lines"])
def test_a_client_s_first_line_is_read_and_forwarded(line: str, request_: Any, forwarded: str) -> None:
    assert exact(surface.opening_line(line.encode())) == exact([request_, forwarded])


@pytest.mark.parametrize("counter", NAMES["counters"])
def test_a_counter_is_there_under_its_name_or_the_one_that_the_table_gives(counter: str) -> None:
    assert RENAMED_COUNTERS.get(counter, counter) in source_scan.counters()


def test_renamed_counters_are_entered_only_where_they_were_renamed() -> None:
    now = source_scan.counters()
    assert RENAMED_COUNTERS.keys() <= set(NAMES["counters"])
    assert not RENAMED_COUNTERS.keys() & now
    assert len(set(RENAMED_COUNTERS.values())) == len(RENAMED_COUNTERS)
