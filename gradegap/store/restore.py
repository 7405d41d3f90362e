"""Creates a new data folder from a backup."""

from __future__ import annotations

import os

import msgspec

from gradegap.raft import ClusterConfiguration, HardState, Member, SnapshotMetadata
from gradegap.store.bootstrap import CLUSTER_NAME_BYTES
from gradegap.store.errors import FolderError
from gradegap.store.leader_requests import INVITED_PREFIX
from gradegap.store.records import Item
from gradegap.store.settings import StoreSettings
from gradegap.store.state_snapshot import decode_snapshot
from gradegap.store.storage import AppliedPosition, Identity, MemberStorage, WriteBatch, data_folder


def restore(data: bytes, settings: StoreSettings) -> SnapshotMetadata:
    """Creates a new folder from a backup: a new cluster of this member alone, which the other peers may join.

    Raises:
        ValueError: if `data` is not a backup.
        FolderError: if the folder is not empty or can't be written.
    """
    state = decode_snapshot(data)
    folder = data_folder(settings)
    if folder.exists() and any(folder.iterdir()):
        raise FolderError(f"{folder} is not empty; a backup can only be restored to an empty or new folder")
    storage = MemberStorage(folder)
    try:
        member_id = storage.start().identity.id
        member = Member(member_id, settings.name, settings.advertise or settings.listen)
        base = SnapshotMetadata(state.index, 1, ClusterConfiguration((member,)))
        items = [item for item in state.items if not item.key.startswith(INVITED_PREFIX)]
        items += _invitations(settings, state.revision)
        state = msgspec.structs.replace(state, items=items, sessions=[])
        identity = Identity(member_id, os.urandom(CLUSTER_NAME_BYTES).hex())
        applied = AppliedPosition(state.index, state.revision, state.clock_ms)
        storage.write(WriteBatch(HardState(1, ""), identity, base, state, applied=applied))
    finally:
        storage.close()
    return base


def _invitations(settings: StoreSettings, revision: int) -> list[Item]:
    """The keys that allow the other peers in the operator's file to join."""
    return [
        Item(INVITED_PREFIX + peer.name, {"address": peer.address}, revision, revision, author="restore")
        for peer in settings.peers
        if peer.name != settings.name
    ]
