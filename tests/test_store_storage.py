"""The data folder of a member: reading back, damage, format versions and a full folder."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from gradegap.raft import ClusterConfiguration, Entry, EntryKind, HardState, SnapshotMetadata
from gradegap.store.errors import FolderError
from gradegap.store.records import KeyUpdate
from gradegap.store.storage import AppliedPosition, MemberStorage, WriteBatch
from tests.support.state_machine_driver import StateMachineDriver


def write_two_entries(storage: MemberStorage) -> None:
    driver = StateMachineDriver()
    driver.write(KeyUpdate("a", 1))
    driver.write(KeyUpdate("b", [1, None, "x"]))
    entries = [Entry(number, 1, EntryKind.COMMAND, data) for number, data in enumerate(driver.entries, 1)]
    state_machine = driver.machine
    applied = AppliedPosition(state_machine.index, state_machine.revision, state_machine.clock_ms)
    storage.write(
        WriteBatch(HardState(1, "x"), entries=entries, unsaved=state_machine.take_unsaved(), applied=applied)
    )


def test_written_folder_is_read_back_unchanged(tmp_path: Path) -> None:
    storage = MemberStorage(tmp_path / "d")
    first = storage.start()
    write_two_entries(storage)
    storage.write(
        WriteBatch(
            entries=[Entry(2, 3, EntryKind.NO_OP), Entry(3, 3, EntryKind.NO_OP)],
            raft_hard_state=HardState(3, ""),
        )
    )
    storage.close()
    storage = MemberStorage(tmp_path / "d")
    stored = storage.start()
    assert stored.identity == first.identity and stored.raft_hard_state == HardState(3, "")
    assert [(entry.index, entry.term) for entry in stored.entries] == [(1, 1), (2, 3), (3, 3)]
    assert {item.key: item.value for item in stored.state.items} == {"a": 1, "b": [1, None, "x"]}
    storage.write(WriteBatch(base=SnapshotMetadata(2, 3, ClusterConfiguration())))
    storage.close()
    storage = MemberStorage(tmp_path / "d")
    assert [entry.index for entry in storage.start().entries] == [3]
    storage.close()


def test_folder_in_use_is_rejected(tmp_path: Path) -> None:
    storage = MemberStorage(tmp_path)
    with pytest.raises(FolderError, match="another process"):
        MemberStorage(tmp_path)
    storage.close()


def damage_file(path: Path, change: Callable[[bytearray], None]) -> None:
    raw = bytearray(path.read_bytes())
    change(raw)
    path.write_bytes(bytes(raw))


def flip_bit_of_value(raw: bytearray) -> None:
    offset = raw.index(b"\xa1b\x93\x01\xc0\xa1x")  # the encoded key "b" and its value
    while offset >= 0:
        raw[offset + 3] ^= 0x01
        offset = raw.find(b"\xa1b\x93\x01\xc0\xa1x", offset + 1)


@pytest.mark.parametrize(
    "change",
    [
        lambda raw: raw.__delitem__(slice(3 * 4096, None)),
        lambda raw: raw.__delitem__(slice(100, None)),
        lambda raw: raw.__setitem__(slice(0, 8192), b"\0" * 8192),
        flip_bit_of_value,
    ],
    ids=["truncated", "truncated to 100 bytes", "metadata overwritten", "bit flipped"],
)
def test_damaged_folder_is_rejected_with_how_to_rejoin(
    tmp_path: Path, change: Callable[[bytearray], None]
) -> None:
    storage = MemberStorage(tmp_path)
    storage.start()
    write_two_entries(storage)
    storage.close()
    damage_file(tmp_path / "data.mdb", change)
    with pytest.raises(FolderError, match=r"damaged.*to rejoin"):
        MemberStorage(tmp_path).start()


def test_folder_of_newer_format_is_rejected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gradegap.store.storage.FORMAT_VERSION", 9)
    storage = MemberStorage(tmp_path)
    storage.start()
    storage.close()
    monkeypatch.undo()
    with pytest.raises(FolderError, match="format 9"):
        MemberStorage(tmp_path).start()


def test_write_to_full_folder_stores_nothing_of_the_batch(tmp_path: Path) -> None:
    storage = MemberStorage(tmp_path, map_size=256 * 1024)
    storage.start()
    write_two_entries(storage)
    large_entries = [Entry(3 + number, 1, EntryKind.COMMAND, b"x" * 50_000) for number in range(20)]
    with pytest.raises(FolderError, match="is full"):
        storage.write(WriteBatch(HardState(9, "z"), entries=large_entries))
    storage.close()
    storage = MemberStorage(tmp_path, map_size=256 * 1024)
    stored = storage.start()
    assert stored.raft_hard_state == HardState(1, "x") and len(stored.entries) == 2
    storage.close()
