"""The persistent types of a member: log entries, the hard state and snapshot metadata.

They are encoded as arrays on disk and on links, so the order of their fields is part of the format.
"""

from __future__ import annotations

import enum

import msgspec

from gradegap.raft.cluster import ClusterConfiguration, Member

# Size counted for the index, term and kind of each entry wherever the size of entries is limited.
ENTRY_OVERHEAD_BYTES = 16


class EntryKind(enum.IntEnum):
    """The kind of a log entry."""

    NO_OP = 0  # a leader's first entry of its term; committing it commits all earlier entries
    COMMAND = 1  # a command for the state machine
    CONFIGURATION = 2  # the cluster configuration that takes effect with this entry


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One log entry, appended by the leader of `term`."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Size of the entry, including an allowance for its index, term and kind."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Term and vote, synced to disk before any message that depends on them (Raft paper, figure 2)."""

    term: int = 0
    voted_for: str = msgspec.field(default="", name="vote")


class SnapshotMetadata(msgspec.Struct, frozen=True, array_like=True):
    """The last log entry that a snapshot covers, and the cluster configuration as of that entry."""

    index: int
    term: int
    configuration: ClusterConfiguration


def initial_snapshot(members: tuple[Member, ...]) -> SnapshotMetadata:
    """Returns the snapshot metadata of a new cluster: an empty log and the initial members."""
    return SnapshotMetadata(0, 0, ClusterConfiguration(members))


_decoder: msgspec.msgpack.Decoder[ClusterConfiguration] = msgspec.msgpack.Decoder(ClusterConfiguration)


def encode_configuration(configuration: ClusterConfiguration) -> bytes:
    """Encodes a configuration as the data of a `CONFIGURATION` entry."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(entry: Entry) -> ClusterConfiguration:
    """Decodes the configuration from a `CONFIGURATION` entry."""
    return _decoder.decode(entry.data)
