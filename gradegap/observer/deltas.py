"""Deltas of committed changes, made once for all subscribers that need the same one. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from gradegap.observer.changes import coalesce, encoded_size
from gradegap.observer.limits import Limits
from gradegap.observer.messages import Delta
from gradegap.observer.source import StateSource

FRAME_BYTES = 20  # of length and checksum before each message


@dataclass(frozen=True, slots=True)
class SizedDelta:
    """A delta with what it costs a subscriber."""

    delta: Delta
    size: int  # bytes with the frame


class DeltaCache:
    """The deltas up to one revision, by the revision that they follow."""

    def __init__(self, source: StateSource, limits: Limits) -> None:
        self.source, self.limits = source, limits
        self.by_base_revision: dict[int, SizedDelta | None] = {}  # None: a snapshot has to go

    def __len__(self) -> int:
        return len(self.by_base_revision)

    def clear(self) -> None:
        """Something has changed: deltas up to an older revision are of no use."""
        self.by_base_revision = {}

    def get(self, after: int, revision: int) -> SizedDelta | None:
        """What changed after `after` up to `revision`, coalesced by key; None: a snapshot has to go."""
        cached = self.by_base_revision
        if after not in cached:
            if len(cached) >= self.limits.max_cached_deltas:
                del cached[next(iter(cached))]
            cached[after] = self._make(after, revision)
        return cached[after]

    def _make(self, after: int, revision: int) -> SizedDelta | None:
        changes = self.source.changes_since(after)
        if changes is None or after == 0:
            return None
        coalesced = coalesce(changes)
        bytes_of_changes = encoded_size(coalesced)
        if bytes_of_changes > self.limits.max_delta_bytes:
            return None
        return SizedDelta(Delta(after, revision, coalesced), bytes_of_changes + FRAME_BYTES)
