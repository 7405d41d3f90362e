"""The leader's view of the replication progress of other members, and the value reached by a majority."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

NEVER = -1e18  # a time (s) earlier than any reading of the caller's clock


class ProgressState(enum.Enum):
    """The state of replication to a member; the states are those of etcd's Progress."""

    PROBE = enum.auto()  # the index where the logs match is not known: one message is sent at a time
    REPLICATE = enum.auto()  # the logs match: entries are pipelined ahead of responses
    SNAPSHOT = enum.auto()  # the member needs compacted entries: a snapshot is sent in chunks


@dataclass(slots=True)
class Progress:
    """The leader's view of one other member."""

    next_index: int  # index of the first entry in the next message
    match_index: int = 0  # last index up to which the member's log is known to match the leader's
    state: ProgressState = ProgressState.PROBE
    # In PROBE and SNAPSHOT: a message is outstanding, and the next one waits for its response.
    awaiting_response: bool = False
    # In REPLICATE: the last index of each message that was sent and is not acknowledged.
    inflight: deque[int] = field(default_factory=deque)
    heartbeat_round: int = 0  # the latest heartbeat round that the member has acknowledged
    last_response_at: float = NEVER
    snapshot_index: int = 0  # index of the snapshot being sent; 0 in other states
    snapshot_offset: int = 0  # position (bytes) of the next chunk to send

    def become_probe(self) -> None:
        """Discard the pipeline and search for the index where the logs match."""
        self.state = ProgressState.PROBE
        self.inflight.clear()
        self.snapshot_index = self.snapshot_offset = 0

    def become_replicate(self, match_index: int) -> None:
        """Pipeline all entries after `match_index`, up to which the logs match."""
        self.state = ProgressState.REPLICATE
        self.match_index = match_index
        self.next_index = match_index + 1
        self.snapshot_index = self.snapshot_offset = 0

    def become_snapshot(self, index: int) -> None:
        """Start to send the snapshot at `index`."""
        self.state = ProgressState.SNAPSHOT
        self.inflight.clear()
        self.snapshot_index = index
        self.snapshot_offset = 0


def majority_value(values: Iterable[int]) -> int:
    """Returns the largest value that a majority has reached, given one value per voter; 0 without voters."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2] if ordered else 0
