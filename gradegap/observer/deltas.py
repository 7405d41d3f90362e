"""Deltas of committed changes, created once for all subscribers that need the same one. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from gradegap.observer.changes import coalesce, encoded_size
from gradegap.observer.limits import Limits
from gradegap.observer.messages import Delta
from gradegap.observer.source import StateSource

FRAME_BYTES = 20  # size of the length and checksum that precede each message


@dataclass(frozen=True, slots=True)
class SizedDelta:
    """A delta with its size, which is charged to the byte budget of each subscriber."""

    delta: Delta
    size_bytes: int  # encoded size including the frame


class DeltaCache:
    """Caches deltas that end at the same revision, by the revision that they start from."""

    def __init__(self, source: StateSource, limits: Limits) -> None:
        self.source, self.limits = source, limits
        # the delta from each base revision; None: a snapshot is needed instead
        self.by_base_revision: dict[int, SizedDelta | None] = {}

    def __len__(self) -> int:
        return len(self.by_base_revision)

    def clear(self) -> None:
        """Drop all deltas. Called after a change, as deltas up to an older revision are useless."""
        self.by_base_revision = {}

    def get(self, after: int, revision: int) -> SizedDelta | None:
        """Returns the coalesced changes after `after` up to `revision`; None if a snapshot is needed."""
        cached = self.by_base_revision
        if after not in cached:
            if len(cached) >= self.limits.max_cached_deltas:
                del cached[next(iter(cached))]
            cached[after] = self._create(after, revision)
        return cached[after]

    def _create(self, after: int, revision: int) -> SizedDelta | None:
        changes = self.source.changes_since(after)
        if changes is None or after == 0:
            return None
        coalesced = coalesce(changes)
        changes_bytes = encoded_size(coalesced)
        if changes_bytes > self.limits.max_delta_bytes:
            return None
        return SizedDelta(Delta(after, revision, coalesced), changes_bytes + FRAME_BYTES)
