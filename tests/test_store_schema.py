"""Checks of the `[store]` table in the operator's file, and of the values of the store's keys."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from gradegap.errors import OperatorFileError
from gradegap.node.operator_file import load_operator
from gradegap.store import schema
from gradegap.store.errors import CommandError
from gradegap.store.records import KeyUpdate


@pytest.mark.parametrize(
    ("text", "message_part"),
    [
        ('listen = "127.0.0.1:1"\npeers = ["127.0.0.1:2"]', "peers = [{ name ="),
        ('listen = "127.0.0.1:1"', "store has no name"),
        ('name = "a b"\nlisten = "127.0.0.1:1"', "store.name is not a name of 1 to 64 letters"),
        ('name = "a"\nlisten = "10.0.0.1:1"', "store.listen must be a loopback address"),
        (
            'name = "a"\nlisten = "127.0.0.1:1"\npeers = [{name = "a", address = "127.0.0.1:2"}]',
            "must match this member in both name and address",
        ),
        ('name = "a"\nlisten = "127.0.0.1:1"\nwhen_stale = "maybe"', "when_stale"),
        ('name = "a"\nlisten = "127.0.0.1:1"\nfoo = 1', "foo"),
    ],
)
def test_invalid_store_table_is_reported_in_one_line(tmp_path: Path, text: str, message_part: str) -> None:
    path = tmp_path / "o.toml"
    path.write_text(f"[store]\n{text}\n")
    with pytest.raises(OperatorFileError) as error:
        load_operator(str(path))
    assert message_part in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("key", "value", "is_valid"),
    [
        ("config/log_level", "debug", True),
        ("config/log_level", "loud", False),
        ("config/quic_max_sessions", -1, False),
        ("config/quic_max_sessions", True, False),
        ("config/nothing", 1, False),
        ("out/s-1", {"at_ms": 5}, True),
        ("out/s-1", {"when": 5}, False),
        ("cluster/invited/n9", {"address": "nowhere"}, False),
        ("anything/else", [1], True),
        ("keys/resume", {"keys": []}, True),
        ("keys/resume", {"keys": [{"id": "0", "secret": "x"}]}, False),
    ],
)
def test_value_is_checked_against_the_schema_of_its_key(key: str, value: Any, is_valid: bool) -> None:
    if is_valid:
        schema.validate_update(KeyUpdate(key, value))
    else:
        with pytest.raises(CommandError, match=r"^invalid: "):
            schema.validate_update(KeyUpdate(key, value))


def test_json_schema_has_enums_and_bounds_of_settings() -> None:
    document = schema.json_schema()
    config = document["$defs"]["Settings"]["properties"]
    assert config["log_level"]["enum"] == ["debug", "error", "info", "warning"]
    assert config["quic_max_sessions"]["maximum"] == 1_000_000
