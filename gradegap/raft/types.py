"""What the consensus core speaks: entries, configurations, messages, and what it asks of its driver."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import msgspec

ENTRY_OVERHEAD = 16  # bytes of an entry beside its data


class EntryKind(enum.IntEnum):
    """What an entry of the log is for."""

    NO_OP = 0  # a leader's first entry: what came before it in the log is committed with it
    COMMAND = 1  # for the state machine
    CONFIGURATION = 2  # the members from this entry on


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One life of a member: a daemon that lost its disk comes back under another `id`."""

    id: str
    name: str
    address: str
    voter: bool = True


class ClusterConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """Who belongs to the cluster. A learner is sent the log, and counts for nothing."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[str, ...]:
        """The identities of the members that vote."""
        return tuple(m.id for m in self.members if m.voter)

    def get(self, member: str) -> Member | None:
        """The member of this identity."""
        return next((m for m in self.members if m.id == member), None)

    def find_by_name(self, name: str) -> Member | None:
        """The member of this name."""
        return next((m for m in self.members if m.name == name), None)

    def without_member(self, member: str) -> ClusterConfiguration:
        """This configuration without the member of this identity."""
        return ClusterConfiguration(tuple(m for m in self.members if m.id != member))

    def with_member(self, member: Member) -> ClusterConfiguration:
        """This configuration with a member that is new, or takes the place of itself."""
        return ClusterConfiguration((*self.without_member(member.id).members, member))


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log, as the leader of `term` appended it."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Bytes, with those of its index, term and kind."""
        return len(self.data) + ENTRY_OVERHEAD


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What must be on disk before anybody is told of it (Raft paper, figure 2)."""

    term: int = 0
    voted_for: str = msgspec.field(default="", name="vote")


class SnapshotMetadata(msgspec.Struct, frozen=True, array_like=True):
    """Where a snapshot of the state stands in the log, and who were the members there."""

    index: int
    term: int
    configuration: ClusterConfiguration


# Messages: the tags and the names of their fields on the wire are those of every release.


class RequestVote(msgspec.Struct, frozen=True, tag="vote"):
    """A candidate requests a vote; a pre-vote only asks whether it would be granted (thesis, 9.6)."""

    term: int
    last_log_index: int = msgspec.field(name="last_index")
    last_log_term: int = msgspec.field(name="last_term")
    pre_vote: bool = msgspec.field(default=False, name="pre")
    # The leader itself wants to be followed by this candidate: a live leader is no reason to reject it.
    leadership_transfer: bool = msgspec.field(default=False, name="forced")


class RequestVoteResponse(msgspec.Struct, frozen=True, tag="voted"):
    """Responds to a `RequestVote`."""

    term: int
    granted: bool
    pre_vote: bool = msgspec.field(default=False, name="pre")


class AppendEntries(msgspec.Struct, frozen=True, tag="append"):
    """Entries that follow the one at `prev_log_index`; without any, a heartbeat."""

    term: int
    prev_log_index: int = msgspec.field(name="prev_index")
    prev_log_term: int = msgspec.field(name="prev_term")
    leader_commit: int = msgspec.field(name="commit")
    # Echoed in the response, so that the leader knows since when it has been followed.
    heartbeat_round: int = msgspec.field(name="round")
    entries: tuple[Entry, ...] = ()


class AppendEntriesResponse(msgspec.Struct, frozen=True, tag="appended"):
    """Responds to an `AppendEntries`."""

    term: int
    success: bool = msgspec.field(name="ok")
    # On success the log is the leader's up to here; else this is where the leader should try next.
    match_index: int = msgspec.field(name="match")
    prev_log_index: int = msgspec.field(name="prev_index")
    heartbeat_round: int = msgspec.field(name="round")
    hint_term: int = 0  # without success: the term of the entry at `match_index`


class InstallSnapshot(msgspec.Struct, frozen=True, tag="snap"):
    """A chunk of a snapshot; the last one has `done`, and each the checksum of the whole."""

    term: int
    metadata: SnapshotMetadata = msgspec.field(name="meta")
    offset: int  # in bytes
    data: bytes
    done: bool
    checksum: int  # CRC-32
    heartbeat_round: int = msgspec.field(name="round")


class InstallSnapshotResponse(msgspec.Struct, frozen=True, tag="snapped"):
    """Responds to an `InstallSnapshot`."""

    term: int
    snapshot_index: int = msgspec.field(name="index")
    offset: int  # of the chunk that is wanted next
    heartbeat_round: int = msgspec.field(name="round")
    done: bool = False


class TimeoutNow(msgspec.Struct, frozen=True, tag="now"):
    """Call an election at once: the leader transfers its leadership (thesis, 3.10)."""

    term: int


Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
)


class Role(enum.Enum):
    """What a member does at present."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class RaftSettings:
    """Timeouts and limits of a member, the same for all members of a cluster."""

    heartbeat_interval_s: float = 0.08
    election_timeout_s: float = 0.4  # a follower waits for a leader this long, and up to twice
    # How much faster one member's clock may run than another's, as a fraction: leases are shortened by it,
    # promises not to vote are not.
    max_clock_drift: float = 0.1
    max_message_bytes: int = 256 * 1024  # of entries in one message
    max_inflight_messages: int = 16  # with entries, on their way to one member
    max_uncommitted_bytes: int = 4 * 1024 * 1024  # of entries: above, proposals are rejected
    snapshot_chunk_bytes: int = 256 * 1024


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
