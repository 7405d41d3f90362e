"""What the core hands its driver after a call."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from gradegap.raft.entries import Entry, HardState, SnapshotMetadata
from gradegap.raft.messages import Message


class OutgoingMessage(NamedTuple):
    """A message and the identity of the member that it is for."""

    recipient: str
    message: Message


class Snapshot(NamedTuple):
    """A state that came from the leader, in the place of the log up to it."""

    metadata: SnapshotMetadata
    data: bytes


class ReadState(NamedTuple):
    """A confirmed read: linearizable at any state that is applied up to `commit_index` at the least."""

    request_id: int
    commit_index: int


@dataclass(slots=True, frozen=True)
class RaftStatus:
    """What an operator is shown of a member; `store status` has these names."""

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
    """What the driver is to do, in this order.

    Install `snapshot`; write `hard_state` and `entries` (an entry replaces all from its index on) and
    sync; then send `messages`. `immediate_messages` may go before.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    immediate_messages: list[OutgoingMessage] = field(default_factory=list)
    messages: list[OutgoingMessage] = field(default_factory=list)
    committed_entries: list[Entry] = field(default_factory=list)
    read_states: list[ReadState] = field(default_factory=list)
    aborted_reads: list[int] = field(default_factory=list)  # request ids that this member can't confirm
    snapshot_wanted: bool = False  # a member is behind the log: `offer_snapshot` is awaited

    @property
    def must_sync(self) -> bool:
        """Whether anything must be on disk before `messages` go."""
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)
