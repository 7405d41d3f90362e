"""What a leader knows of the other members, and what a majority of members has reached."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

NEVER = -1e18  # a time before every other


@dataclass(slots=True)
class Progress:
    """What a leader knows of one other member."""

    next_index: int  # index of the first entry to send
    match_index: int = 0  # last index at which its log is known to be the leader's
    streaming: bool = False  # its log is known to fit: entries are sent ahead of its answers
    awaiting_response: bool = False  # not streaming: one message is out, and the next waits for its answer
    inflight: deque[int] = field(default_factory=deque)  # last indexes of the messages sent ahead
    heartbeat_round: int = 0  # the latest round of heartbeats that it answered
    last_response_at: float = NEVER
    snapshot_index: int = 0  # index of the snapshot that it is being sent; 0: none
    snapshot_offset: int = 0  # where the next chunk of that snapshot begins

    def stop_streaming(self) -> None:
        """Forget what was sent ahead: its log must be probed again, or it gets a snapshot."""
        self.streaming = False
        self.inflight.clear()

    def stream_after(self, match_index: int) -> None:
        """Its log fits up to `match_index`, and takes all entries after it."""
        self.match_index = match_index
        self.next_index = match_index + 1
        self.streaming = True

    def end_snapshot(self) -> None:
        """No snapshot is being sent to it any more."""
        self.snapshot_index = 0
        self.snapshot_offset = 0


def majority_value(values: Iterable[int]) -> int:
    """The largest value that a majority has reached, of one value for each voter; 0 without voters."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2] if ordered else 0
