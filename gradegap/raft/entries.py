"""What a member keeps on disk: entries, the hard state, and where in the log its snapshot is.

The types are arrays on disk and on links: the order of fields is the format.
"""

from __future__ import annotations

import enum

import msgspec

from gradegap.raft.cluster import ClusterConfiguration, Member

ENTRY_OVERHEAD_BYTES = 16  # of an entry beside its data


class EntryKind(enum.IntEnum):
    """What an entry of the log is for."""

    NO_OP = 0  # a leader's first entry: what came before it in the log is committed with it
    COMMAND = 1  # for the state machine
    CONFIGURATION = 2  # the members from this entry on


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log, as the leader of `term` appended it."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Bytes, with those of its index, term and kind."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What must be on disk before a message that rests on it is sent (Raft paper, figure 2)."""

    term: int = 0
    voted_for: str = msgspec.field(default="", name="vote")


class SnapshotMetadata(msgspec.Struct, frozen=True, array_like=True):
    """Where in the log a snapshot of the state was taken, and who were the members there."""

    index: int
    term: int
    configuration: ClusterConfiguration


def initial_snapshot(members: tuple[Member, ...]) -> SnapshotMetadata:
    """What a new cluster begins with: no entry, and its first members."""
    return SnapshotMetadata(0, 0, ClusterConfiguration(members))


_decoder: msgspec.msgpack.Decoder[ClusterConfiguration] = msgspec.msgpack.Decoder(ClusterConfiguration)


def encode_configuration(configuration: ClusterConfiguration) -> bytes:
    """A configuration as the data of its entry."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(entry: Entry) -> ClusterConfiguration:
    """The configuration that an entry carries."""
    return _decoder.decode(entry.data)
