"""A new folder made from a backup."""

from __future__ import annotations

import os

import msgspec

from gradegap.raft import ClusterConfiguration, HardState, Member, SnapshotMetadata
from gradegap.store.errors import FolderError
from gradegap.store.leader_requests import INVITED_PREFIX
from gradegap.store.records import Item
from gradegap.store.settings import StoreSettings
from gradegap.store.state_snapshot import decode_snapshot
from gradegap.store.storage import Identity, MemberStorage, WriteBatch, data_folder


def restore(data: bytes, settings: StoreSettings) -> SnapshotMetadata:
    """Make a new folder from a backup: a cluster of this member alone, which the other peers may join.

    `ValueError` where it is no backup, `FolderError` where the folder is not empty.
    """
    state = decode_snapshot(data)
    place = data_folder(settings)
    if place.exists() and any(place.iterdir()):
        raise FolderError(f"{place} is not empty; a backup makes a new folder, and replaces none")
    disk = MemberStorage(place)
    try:
        found = disk.start()
        me = Member(found.identity.id, settings.name, settings.advertise or settings.listen)
        base = SnapshotMetadata(state.index, 1, ClusterConfiguration((me,)))
        invited = [
            Item(
                INVITED_PREFIX + p.name,
                {"address": p.address},
                state.revision,
                state.revision,
                author="restore",
            )
            for p in settings.peers
            if p.name != settings.name
        ]
        names = {i.key for i in invited}
        kept = [i for i in state.items if i.key not in names and not i.key.startswith(INVITED_PREFIX)]
        state = msgspec.structs.replace(state, items=kept + invited, sessions=[])
        identity = Identity(found.identity.id, os.urandom(8).hex())
        applied = (state.index, state.revision, state.clock_ms)
        disk.write(WriteBatch(HardState(1, ""), identity, base, state, applied=applied))
    finally:
        disk.close()
    return base
