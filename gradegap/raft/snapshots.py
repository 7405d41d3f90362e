"""Transfer of snapshots, in chunks with a checksum, to members that need compacted entries."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from gradegap.raft.context import RaftContext
from gradegap.raft.entries import SnapshotMetadata
from gradegap.raft.errors import SnapshotTooOldError
from gradegap.raft.messages import InstallSnapshot, InstallSnapshotResponse
from gradegap.raft.progress import Progress, ProgressState
from gradegap.raft.ready import Snapshot


@dataclass(slots=True, frozen=True)
class OutgoingSnapshot:
    """The snapshot that a leader sends, with its checksum."""

    metadata: SnapshotMetadata
    data: bytes
    checksum: int  # CRC-32 of `data`


@dataclass(slots=True)
class IncomingSnapshot:
    """The part of a snapshot received so far."""

    metadata: SnapshotMetadata
    data: bytearray = field(default_factory=bytearray)


class SnapshotSender:
    """The leader's side: sends one snapshot at a time to all members that need it."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        self.outgoing: OutgoingSnapshot | None = None

    def offer(self, metadata: SnapshotMetadata, data: bytes) -> None:
        """Offer a snapshot and start to send it to members that need compacted entries.

        Raises:
            SnapshotTooOldError: The log begins after the last entry that the snapshot covers.
        """
        raft = self.raft
        if not raft.is_leader:
            return
        if metadata.index < raft.log.base.index:
            raise SnapshotTooOldError
        self.outgoing = OutgoingSnapshot(metadata, data, zlib.crc32(data))
        for peer, progress in raft.replication.peers.items():
            if progress.next_index <= raft.log.base.index:
                raft.replication.send_to(peer, progress, at_least_one=True)

    def send_chunk(self, peer: str, progress: Progress, resend: bool) -> None:
        """Send the next chunk; with `resend`, send it again while its response is outstanding."""
        raft = self.raft
        snapshot = self.outgoing
        if snapshot is None or snapshot.metadata.index < raft.log.base.index:
            raft.pending.snapshot_wanted = True
            return
        if progress.snapshot_index != snapshot.metadata.index:
            progress.become_snapshot(snapshot.metadata.index)
        elif not resend and progress.awaiting_response:
            return
        progress.awaiting_response = True
        raft.send_immediately(peer, self._chunk(snapshot, progress.snapshot_offset))

    def _chunk(self, snapshot: OutgoingSnapshot, offset: int) -> InstallSnapshot:
        raft = self.raft
        data = snapshot.data[offset : offset + raft.settings.snapshot_chunk_bytes]
        done = offset + len(data) >= len(snapshot.data)
        return InstallSnapshot(
            raft.term, snapshot.metadata, offset, data, done, snapshot.checksum, raft.heartbeats.current_round
        )

    def on_install_snapshot_response(
        self, now: float, sender: str, progress: Progress, response: InstallSnapshotResponse
    ) -> None:
        """Handle a response: the offset of the next chunk, or the end of the transfer."""
        raft = self.raft
        if progress.state is not ProgressState.SNAPSHOT or response.snapshot_index != progress.snapshot_index:
            return
        progress.awaiting_response = False
        if response.done:
            progress.become_replicate(max(progress.match_index, response.snapshot_index))
            if not any(other.state is ProgressState.SNAPSHOT for other in raft.replication.peers.values()):
                self.outgoing = None
            raft.replication.advance_commit(now)
        else:
            progress.snapshot_offset = response.offset
        if raft.is_leader:
            raft.replication.send_to(sender, progress)


class SnapshotReceiver:
    """The follower's side: collects chunks and replaces the log by the snapshot once it is complete."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        self.incoming: IncomingSnapshot | None = None

    def on_install_snapshot(self, now: float, sender: str, chunk: InstallSnapshot) -> None:
        """Handle a chunk from the leader."""
        if chunk.metadata.index <= self.raft.commit_index:
            self.incoming = None
            self._respond(sender, chunk, 0, done=True)
            return
        if self.incoming is None or self.incoming.metadata != chunk.metadata:
            self.incoming = IncomingSnapshot(chunk.metadata)
        received = self.incoming.data
        if chunk.offset != len(received):
            # A duplicate or out-of-order chunk: ask for the next missing byte.
            self._respond(sender, chunk, len(received))
            return
        received += chunk.data
        if chunk.done:
            self._finish(sender, chunk, bytes(received))
        else:
            self._respond(sender, chunk, len(received))

    def _finish(self, sender: str, chunk: InstallSnapshot, data: bytes) -> None:
        self.incoming = None
        if zlib.crc32(data) != chunk.checksum:
            self._respond(sender, chunk, 0)
            return
        self._install(chunk.metadata, data)
        self._respond(sender, chunk, len(data), done=True)

    def _install(self, metadata: SnapshotMetadata, data: bytes) -> None:
        raft = self.raft
        raft.log.reset(metadata)
        raft.commit_index = raft.applied_index = raft.stable_index = metadata.index
        raft.pending.entries = []
        raft.pending.snapshot = Snapshot(metadata, data)
        raft.pending.committed_entries = []

    def _respond(self, sender: str, chunk: InstallSnapshot, offset: int, done: bool = False) -> None:
        raft = self.raft
        raft.send(
            sender,
            InstallSnapshotResponse(raft.term, chunk.metadata.index, offset, chunk.heartbeat_round, done),
        )
