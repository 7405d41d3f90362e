"""Messages that an earlier version sends or stores are read, and encoded again to the same bytes."""

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
def test_a_message_of_an_earlier_version_is_read_and_encoded_again_to_the_same_bytes(
    entry: dict[str, Any],
) -> None:
    form, codec = present.FORMS[entry["label"]], CODECS[entry["form"]]
    message = codec.decode(bytes.fromhex(entry["read"]), type=form.reader)
    assert type(message) is form.kind
    assert exact(present.plain(message)) == exact(entry["value"])
    assert codec.encode(message).hex() == entry["written"]


def test_every_form_has_a_fixture_and_every_fixture_a_form() -> None:
    assert {entry["label"] for entry in MESSAGES} == present.FORMS.keys()
    assert len(present.LABELS) == len(present.FORMS)


def structs() -> set[type]:
    """All structs that the program's modules define."""
    found: set[type] = set()
    for module in pkgutil.walk_packages(gradegap.__path__, "gradegap."):
        if module.name.endswith("__main__"):
            continue
        for value in vars(importlib.import_module(module.name)).values():
            if isinstance(value, type) and issubclass(value, msgspec.Struct):
                found.add(value)
    return {kind for kind in found if kind.__module__.split(".")[0] == "gradegap"}


def test_every_struct_of_the_program_has_a_fixture_or_is_named_as_one_that_is_not_stored() -> None:
    unknown = structs() - present.LABELS.keys() - present.NOT_STORED
    assert not unknown, f"without a fixture: {sorted(map(str, unknown))}"


def test_stored_names_are_given_only_for_attributes_that_are_there() -> None:
    for label, names in present.STORED_NAMES.items():
        attributes = msgspec.structs.fields(present.FORMS[label].kind)
        assert names.keys() <= {field.name for field in attributes}, label
