"""Snapshots of subscribed keys in parts, created once per revision and shared by all transfers. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from gradegap.observer.changes import encoded_size
from gradegap.observer.messages import Change, SnapshotPart


class Snapshot:
    """An immutable copy of all subscribed keys at one revision, split into parts of about `part_bytes`."""

    def __init__(self, revision: int, items: Iterable[Change], part_bytes: int) -> None:
        self.revision = revision
        self.size_bytes = 0  # encoded size of all changes
        chunks: list[list[Change]] = [[]]
        remaining_bytes = part_bytes
        for item in items:
            item_bytes = encoded_size((item,))
            if item_bytes > remaining_bytes and chunks[-1]:
                chunks.append([])
                remaining_bytes = part_bytes
            chunks[-1].append(item)
            remaining_bytes -= item_bytes
            self.size_bytes += item_bytes
        last = len(chunks) - 1
        self.parts = tuple(
            SnapshotPart(revision, number, number == last, tuple(chunk))
            for number, chunk in enumerate(chunks)
        )


class SnapshotTransfer:
    """The transfer of a snapshot to one subscriber."""

    __slots__ = ("next_part", "snapshot")

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.next_part = 0

    def take_part(self) -> SnapshotPart:
        """Returns the next part to send."""
        part = self.snapshot.parts[self.next_part]
        self.next_part += 1
        return part
