"""Tests that messages of an earlier version decode to the same values and encode to the same bytes."""

from __future__ import annotations

import importlib
import pkgutil
from typing import Any

import msgspec
import pytest

import gradegap
from tests.compatibility import present
from tests.compatibility.fixtures import exact, messages

MESSAGES = messages()
CODECS: dict[str, Any] = {"msgpack": msgspec.msgpack, "json": msgspec.json}


@pytest.mark.parametrize("entry", MESSAGES, ids=[f"{e['label']}-{e['variant']}" for e in MESSAGES])
def test_message_of_an_earlier_version_round_trips_to_the_same_bytes(
    entry: dict[str, Any],
) -> None:
    form, codec = present.FORMS[entry["label"]], CODECS[entry["form"]]
    message = codec.decode(bytes.fromhex(entry["read"]), type=form.reader)
    assert type(message) is form.kind
    assert exact(present.plain(message)) == exact(entry["value"])
    assert codec.encode(message).hex() == entry["written"]


def test_forms_and_fixtures_have_the_same_labels() -> None:
    assert {entry["label"] for entry in MESSAGES} == present.FORMS.keys()
    assert len(present.LABELS) == len(present.FORMS)


def structs() -> set[type]:
    """Returns all structs that the program's modules define."""
    found: set[type] = set()
    for module in pkgutil.walk_packages(gradegap.__path__, "gradegap."):
        if module.name.endswith("__main__"):
            continue
        for value in vars(importlib.import_module(module.name)).values():
            if isinstance(value, type) and issubclass(value, msgspec.Struct):
                found.add(value)
    return {kind for kind in found if kind.__module__.split(".")[0] == "gradegap"}


def test_every_struct_has_a_fixture_or_is_listed_as_not_stored() -> None:
    unknown = structs() - present.LABELS.keys() - present.NOT_STORED
    assert not unknown, f"structs without a fixture: {sorted(map(str, unknown))}"


def test_stored_names_refer_to_existing_attributes() -> None:
    for label, names in present.STORED_NAMES.items():
        attributes = msgspec.structs.fields(present.FORMS[label].kind)
        assert names.keys() <= {field.name for field in attributes}, label
