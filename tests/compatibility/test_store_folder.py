"""Tests that a member's folder and a snapshot of an earlier version are read to the same state."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Any

import lmdb
import pytest

from tests.compatibility import readers
from tests.compatibility.fixtures import FILES, exact, load

EXPECTED: dict[str, Any] = load("store.json")
DATABASES = (b"meta", b"log", b"keys", b"history", b"sessions")


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Returns a copy of the committed folder, which a reader may write to."""
    return Path(shutil.copytree(FILES / "store", tmp_path / "store"))


@pytest.mark.parametrize("part", ["identity", "hard", "base", "entries", "state"])
def test_folder_part_is_read_to_the_same_value(folder: Path, part: str) -> None:
    read = readers.read_store_folder(folder)
    assert exact(read.contents[part]) == exact(EXPECTED[part])


def test_folder_contains_each_kind_of_data() -> None:
    state = EXPECTED["state"]["fields"]
    assert state["items"] and state["events"] and state["sessions"]
    assert EXPECTED["base"]["fields"]["index"] > 0  # the beginning of the log was compacted
    assert EXPECTED["entries"][-1]["fields"]["index"] > state["index"]  # and some entries are not applied yet
    assert any("config" in entry for entry in EXPECTED["entries"])


def test_unapplied_entries_lead_to_the_same_state(folder: Path) -> None:
    read, expected = readers.read_store_folder(folder), EXPECTED["applied"]
    assert exact(read.apply_the_rest()) == exact(expected["results"])
    assert read.digest() == expected["digest"]
    assert exact(read.state()) == exact(expected["state"])
    for revision, values in expected["at"].items():
        assert exact(read.at(int(revision))) == exact(values)
    assert read.revisions_of_the_last(4) == expected["since"]


def test_copied_folder_has_the_same_records(folder: Path, tmp_path: Path) -> None:
    readers.copy_store_folder(folder, tmp_path / "copy")
    assert records(tmp_path / "copy") == records(FILES / "store")


def records(folder: Path) -> dict[bytes, dict[bytes, bytes]]:
    """Returns all records of a folder, by database."""
    with lmdb.open(str(folder), max_dbs=8, readonly=True, lock=False) as environment:
        found = {}
        for name in DATABASES:
            database = environment.open_db(name, create=False)
            with environment.begin() as transaction:
                rows = transaction.cursor(database)
                found[name] = {bytes(key): bytes(value) for key, value in rows}
    return found


def test_snapshot_is_read_and_round_trips() -> None:
    data = (FILES / "snapshot.bin").read_bytes()
    state = readers.unpack_snapshot(data)
    assert by_key(state) == by_key(EXPECTED["applied"]["state"])
    # The state is compared instead of the bytes: releases of zstandard may compress differently.
    assert exact(readers.unpack_snapshot(readers.repack_snapshot(data))) == exact(state)


def by_key(state: dict[str, Any]) -> dict[str, Any]:
    """Returns a state with sorted lists, as their order may be that of the writes or that of the database."""
    fields = state["fields"]
    return {
        name: sorted(map(exact, field)) if isinstance(field, list) else field
        for name, field in fields.items()
    }
