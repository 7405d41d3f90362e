"""What the core hands its driver after a call."""

from __future__ import annotations

from dataclasses import dataclass, field

from gradegap.raft.entries import Entry, HardState, SnapshotMetadata
from gradegap.raft.messages import Message


@dataclass(slots=True)
class Ready:
    """What the driver is to do, in this order.

    Install `snapshot`; write `hard_state` and `entries` (an entry replaces what stands from its index on) and
    sync; then send `messages`. `immediate_messages` may go before.
    """

    hard_state: HardState | None = None
    snapshot: tuple[SnapshotMetadata, bytes] | None = None
    entries: list[Entry] = field(default_factory=list)
    immediate_messages: list[tuple[str, Message]] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    committed_entries: list[Entry] = field(default_factory=list)
    read_states: list[tuple[int, int]] = field(default_factory=list)  # a request's number, the index to see
    aborted_reads: list[int] = field(default_factory=list)  # this member can't confirm them any more
    snapshot_wanted: bool = False  # a member is behind the log: `offer_snapshot` is awaited

    @property
    def must_sync(self) -> bool:
        """Whether anything must be on disk before `messages` go."""
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)
