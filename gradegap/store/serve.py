"""A member of the store as a process of its own, and a new folder made from a backup."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path

import msgspec
import structlog

from gradegap.metrics import Metrics
from gradegap.node.operator_file import OperatorFileError, OperatorSettings, read_secret
from gradegap.raft import ClusterConfiguration, HardState, Member, RequestRejectedError, SnapshotMetadata
from gradegap.store.daemon import Daemon
from gradegap.store.disk import BadFolder, Batch, Disk, Identity
from gradegap.store.machine import Item, unpack
from gradegap.store.service import INVITED
from gradegap.store.settings import StoreSettings

log = structlog.get_logger()

HAND_OVER = 0.6  # s that a leader which ends waits for its successor


def folder(settings: StoreSettings) -> Path:
    """Where a member keeps what it must not forget; in `$TMPDIR` it comes back empty, as a new member."""
    if settings.data:
        return Path(settings.data)
    place = os.environ.get("TMPDIR")
    if not place:
        raise OperatorFileError("store.data names no folder, and there is no TMPDIR")
    return Path(place) / f"gradegap-store-{settings.name}"


def hand_over(daemon: Daemon) -> bool:
    """Guards against the time without a leader that a planned end would cost: another member takes over."""
    raft = daemon.raft
    if raft is None or not raft.is_leader:
        return False
    voters = [v for v in raft.configuration.voters if v != raft.member_id and v in raft.peers]
    if not voters:
        return False
    try:
        raft.transfer_leadership(time.monotonic(), max(voters, key=lambda v: raft.peers[v].match_index))
        daemon.settle()
    except RequestRejectedError:
        return False
    return True


def serve(operator: OperatorSettings) -> None:
    """Run one member until SIGTERM; `BadFolder` or `BadOperatorFile` where it can't go on."""
    import uvloop

    settings = operator.store
    if settings is None:
        raise OperatorFileError("the operator's file has no [store] table")
    secret = read_secret(settings)
    metrics = Metrics()

    async def main() -> None:
        loop = asyncio.get_running_loop()
        done: asyncio.Future[BadFolder | None] = loop.create_future()

        def end(error: BadFolder | None = None) -> None:
            if not done.done():
                done.set_result(error)

        daemon = Daemon(settings, secret, folder(settings), loop, metrics, end)

        def stop() -> None:
            loop.call_later(HAND_OVER if hand_over(daemon) else 0.0, end)

        def print_counters() -> None:
            log.info("counters", **metrics.snapshot())

        loop.add_signal_handler(signal.SIGTERM, stop)
        loop.add_signal_handler(signal.SIGINT, stop)
        loop.add_signal_handler(signal.SIGUSR1, print_counters)
        try:
            await daemon.start()
        except OSError as error:
            daemon.close()
            raise OperatorFileError(
                f"store.listen: can't listen on {settings.listen}: {error.strerror}"
            ) from None
        failed = await done
        daemon.close()
        print_counters()
        if failed is not None:
            raise failed

    uvloop.run(main())


def restore(data: bytes, settings: StoreSettings) -> SnapshotMetadata:
    """Make a new folder from a backup: a cluster of this member alone, which the other peers may join.
    `ValueError` where it is no backup, `BadFolder` where the folder is not empty."""
    state = unpack(data)
    place = folder(settings)
    if place.exists() and any(place.iterdir()):
        raise BadFolder(f"{place} is not empty; a backup makes a new folder, and replaces none")
    disk = Disk(place)
    try:
        found = disk.start()
        me = Member(found.identity.id, settings.name, settings.advertise or settings.listen)
        base = SnapshotMetadata(state.index, 1, ClusterConfiguration((me,)))
        invited = [
            Item(INVITED + p.name, {"address": p.address}, state.revision, state.revision, author="restore")
            for p in settings.peers
            if p.name != settings.name
        ]
        names = {i.key for i in invited}
        kept = [i for i in state.items if i.key not in names and not i.key.startswith(INVITED)]
        state = msgspec.structs.replace(state, items=kept + invited, sessions=[])
        identity = Identity(found.identity.id, os.urandom(8).hex())
        applied = (state.index, state.revision, state.clock)
        disk.write(Batch(HardState(1, ""), identity, base, state, applied=applied))
    finally:
        disk.close()
    return base
