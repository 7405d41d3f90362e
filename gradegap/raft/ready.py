"""The output of the consensus core: the work that its driver carries out after each call."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from gradegap.raft.entries import Entry, HardState, SnapshotMetadata
from gradegap.raft.messages import Message


class OutgoingMessage(NamedTuple):
    """A message and the member id of its recipient."""

    recipient: str
    message: Message


class Snapshot(NamedTuple):
    """A snapshot received from the leader. It replaces the log up to and including `metadata.index`."""

    metadata: SnapshotMetadata
    data: bytes


class ReadState(NamedTuple):
    """A confirmed read, linearizable on any state with an applied index of at least `commit_index`."""

    request_id: int
    commit_index: int


@dataclass(slots=True, frozen=True)
class RaftStatus:
    """The status of a member. `gradegap store status` prints it under these field names."""

    id: str
    role: str
    term: int
    leader: str
    commit: int
    applied: int
    last_index: int
    first_index: int
    lease_ms: int


@dataclass(slots=True)
class Ready:
    """A batch of work for the driver.

    The driver installs `snapshot`, writes `hard_state` and `entries` (an entry replaces all stored entries
    from its index on), syncs, and only then sends `messages`. It may send `immediate_messages` before the
    sync.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    immediate_messages: list[OutgoingMessage] = field(default_factory=list)
    messages: list[OutgoingMessage] = field(default_factory=list)
    committed_entries: list[Entry] = field(default_factory=list)
    read_states: list[ReadState] = field(default_factory=list)
    # ids of reads that were aborted because leadership was lost
    aborted_reads: list[int] = field(default_factory=list)
    # A follower needs entries that are compacted here: the driver has to call `Raft.offer_snapshot`.
    snapshot_wanted: bool = False

    @property
    def must_sync(self) -> bool:
        """Whether the driver must write and sync before it sends `messages`."""
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)
