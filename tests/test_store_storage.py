"""A member's folder: what is read back, damage, versions and a full disk."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from gradegap.raft import ClusterConfiguration, Entry, EntryKind, HardState, SnapshotMetadata
from gradegap.store.errors import FolderError
from gradegap.store.records import KeyUpdate
from gradegap.store.storage import AppliedPosition, MemberStorage, WriteBatch
from tests.support.state_machine_driver import StateMachineDriver


def write_some(disk: MemberStorage) -> None:
    log = StateMachineDriver()
    log.write(KeyUpdate("a", 1))
    log.write(KeyUpdate("b", [1, None, "x"]))
    entries = [Entry(k, 1, EntryKind.COMMAND, d) for k, d in enumerate(log.entries, 1)]
    m = log.machine
    applied = AppliedPosition(m.index, m.revision, m.clock_ms)
    disk.write(WriteBatch(HardState(1, "x"), entries=entries, unsaved=m.take_unsaved(), applied=applied))


def test_a_folder_is_read_back_as_written(tmp_path: Path) -> None:
    disk = MemberStorage(tmp_path / "d")
    first = disk.start()
    write_some(disk)
    disk.write(
        WriteBatch(
            entries=[Entry(2, 3, EntryKind.NO_OP), Entry(3, 3, EntryKind.NO_OP)],
            raft_hard_state=HardState(3, ""),
        )
    )
    disk.close()
    disk = MemberStorage(tmp_path / "d")
    found = disk.start()
    assert found.identity == first.identity and found.raft_hard_state == HardState(3, "")
    assert [(e.index, e.term) for e in found.entries] == [(1, 1), (2, 3), (3, 3)]
    assert {i.key: i.value for i in found.state.items} == {"a": 1, "b": [1, None, "x"]}
    disk.write(WriteBatch(base=SnapshotMetadata(2, 3, ClusterConfiguration())))
    disk.close()
    disk = MemberStorage(tmp_path / "d")
    assert [e.index for e in disk.start().entries] == [3]
    disk.close()


def test_a_second_process_is_rejected(tmp_path: Path) -> None:
    disk = MemberStorage(tmp_path)
    with pytest.raises(FolderError, match="another process"):
        MemberStorage(tmp_path)
    disk.close()


def damage(path: Path, change: Callable[[bytearray], None]) -> None:
    raw = bytearray(path.read_bytes())
    change(raw)
    path.write_bytes(bytes(raw))


def flip_state(raw: bytearray) -> None:
    at = raw.index(b"\xa1b\x93\x01\xc0\xa1x")  # the value of "b"
    while at >= 0:
        raw[at + 3] ^= 0x01
        at = raw.find(b"\xa1b\x93\x01\xc0\xa1x", at + 1)


@pytest.mark.parametrize(
    "change",
    [
        lambda raw: raw.__delitem__(slice(3 * 4096, None)),
        lambda raw: raw.__delitem__(slice(100, None)),
        lambda raw: raw.__setitem__(slice(0, 8192), b"\0" * 8192),
        flip_state,
    ],
    ids=["cut", "cut to nothing", "no head", "one bit"],
)
def test_a_damaged_folder_is_one_error_that_says_how_to_rejoin(
    tmp_path: Path, change: Callable[[bytearray], None]
) -> None:
    disk = MemberStorage(tmp_path)
    disk.start()
    write_some(disk)
    disk.close()
    damage(tmp_path / "data.mdb", change)
    with pytest.raises(FolderError, match=r"damaged.*to rejoin"):
        MemberStorage(tmp_path).start()


def test_a_folder_of_a_newer_version_is_left_alone(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gradegap.store.storage.FORMAT_VERSION", 9)
    disk = MemberStorage(tmp_path)
    disk.start()
    disk.close()
    monkeypatch.undo()
    with pytest.raises(FolderError, match="format 9"):
        MemberStorage(tmp_path).start()


def test_a_full_folder_fails_the_batch_whole(tmp_path: Path) -> None:
    disk = MemberStorage(tmp_path, map_size=256 * 1024)
    disk.start()
    write_some(disk)
    big = [Entry(3 + k, 1, EntryKind.COMMAND, b"x" * 50_000) for k in range(20)]
    with pytest.raises(FolderError, match="is full"):
        disk.write(WriteBatch(HardState(9, "z"), entries=big))
    disk.close()
    disk = MemberStorage(tmp_path, map_size=256 * 1024)
    found = disk.start()
    assert found.raft_hard_state == HardState(1, "x") and len(found.entries) == 2
    disk.close()
