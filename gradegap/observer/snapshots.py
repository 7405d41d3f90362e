"""Snapshots of subscribed keys in parts, made once per revision and shared by all that need it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from gradegap.observer.changes import encoded_size
from gradegap.observer.messages import Change, SnapshotPart


class Snapshot:
    """An immutable copy of all subscribed keys at one revision, cut into parts."""

    def __init__(self, revision: int, items: Iterable[Change], part_bytes: int) -> None:
        self.revision = revision
        self.size = 0  # bytes of keys and values, as encoded
        chunks: list[list[Change]] = [[]]
        space_left = part_bytes
        for item in items:
            bytes_of_item = encoded_size((item,))
            if bytes_of_item > space_left and chunks[-1]:
                chunks.append([])
                space_left = part_bytes
            chunks[-1].append(item)
            space_left -= bytes_of_item
            self.size += bytes_of_item
        last = len(chunks) - 1
        self.parts = tuple(
            SnapshotPart(revision, number, number == last, tuple(chunk))
            for number, chunk in enumerate(chunks)
        )


class SnapshotTransfer:
    """A snapshot on its way to one subscriber."""

    __slots__ = ("next_part", "snapshot")

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.next_part = 0

    def take_part(self) -> SnapshotPart:
        """The part to send now."""
        part = self.snapshot.parts[self.next_part]
        self.next_part += 1
        return part
