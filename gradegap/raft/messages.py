"""The messages between members (Raft paper, figures 2 and 13; thesis, 3.10 and 9.6).

Their tags and the names of their fields on the wire are those of every release.
"""

from __future__ import annotations

import msgspec

from gradegap.raft.entries import Entry, SnapshotMetadata


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
