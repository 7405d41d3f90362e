"""What a leader knows of the other members, and what a majority of members has reached."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

NEVER = -1e18  # a time before every other


class ProgressState(enum.Enum):
    """How a leader replicates to a member; the states of etcd's progress."""

    PROBE = enum.auto()  # where the logs agree is not known: one message at a time
    REPLICATE = enum.auto()  # the member's log fits: entries are sent ahead of its responses
    SNAPSHOT = enum.auto()  # it is behind the log: it is sent a snapshot, chunk by chunk


@dataclass(slots=True)
class Progress:
    """What a leader knows of one other member."""

    next_index: int  # index of the first entry to send
    match_index: int = 0  # last index at which its log is known to be the leader's
    state: ProgressState = ProgressState.PROBE
    awaiting_response: bool = False  # unless replicating: one message is out, the next waits for the response
    inflight: deque[int] = field(default_factory=deque)  # replicating: last indexes of messages sent ahead
    heartbeat_round: int = 0  # the latest round of heartbeats that it has responded to
    last_response_at: float = NEVER
    snapshot_index: int = 0  # of the snapshot that it is being sent; 0 in the other states
    snapshot_offset: int = 0  # in bytes: where the next chunk of that snapshot begins

    def become_probe(self) -> None:
        """Forget what was sent ahead: where the logs agree must be found again."""
        self.state = ProgressState.PROBE
        self.inflight.clear()
        self.snapshot_index = self.snapshot_offset = 0

    def become_replicate(self, match_index: int) -> None:
        """The log fits up to `match_index`, and takes all entries after it."""
        self.state = ProgressState.REPLICATE
        self.match_index = match_index
        self.next_index = match_index + 1
        self.snapshot_index = self.snapshot_offset = 0

    def become_snapshot(self, index: int) -> None:
        """Begin to send the snapshot at `index`."""
        self.state = ProgressState.SNAPSHOT
        self.inflight.clear()
        self.snapshot_index = index
        self.snapshot_offset = 0


def majority_value(values: Iterable[int]) -> int:
    """The largest value that a majority has reached, of one value for each voter; 0 without voters."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2] if ordered else 0
