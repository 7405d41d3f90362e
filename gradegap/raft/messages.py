"""Raft messages between members (Raft paper, figures 2 and 13; thesis, 3.10 and 9.6).

Tags and wire names of fields (`msgspec.field(name=...)`) are the same in every release and must not change.
"""

from __future__ import annotations

import msgspec

from gradegap.raft.entries import Entry, SnapshotMetadata


class RequestVote(msgspec.Struct, frozen=True, tag="vote"):
    """Requests a vote for the sender. A pre-vote only asks if the vote would be granted (thesis, 9.6)."""

    term: int
    last_log_index: int = msgspec.field(name="last_index")
    last_log_term: int = msgspec.field(name="last_term")
    pre_vote: bool = msgspec.field(default=False, name="pre")
    # The current leader has asked the sender to take over, so voters skip their check for a live leader.
    leadership_transfer: bool = msgspec.field(default=False, name="forced")


class RequestVoteResponse(msgspec.Struct, frozen=True, tag="voted"):
    """The response to `RequestVote`."""

    term: int
    granted: bool
    pre_vote: bool = msgspec.field(default=False, name="pre")


class AppendEntries(msgspec.Struct, frozen=True, tag="append"):
    """Contains the log entries that follow `prev_log_index`. Without entries it is a heartbeat."""

    term: int
    prev_log_index: int = msgspec.field(name="prev_index")
    prev_log_term: int = msgspec.field(name="prev_term")
    leader_commit: int = msgspec.field(name="commit")
    # The response echoes this number, as proof that the follower accepted the leader after the round's start.
    heartbeat_round: int = msgspec.field(name="round")
    entries: tuple[Entry, ...] = ()


class AppendEntriesResponse(msgspec.Struct, frozen=True, tag="appended"):
    """The response to `AppendEntries`."""

    term: int
    success: bool = msgspec.field(name="ok")
    # On success, the last index up to which the follower's log matches the leader's. On failure, a hint: the
    # index that the leader should use as `prev_log_index` of its next message.
    match_index: int = msgspec.field(name="match")
    prev_log_index: int = msgspec.field(name="prev_index")
    heartbeat_round: int = msgspec.field(name="round")
    hint_term: int = 0  # on failure, the term of the entry at `match_index`


class InstallSnapshot(msgspec.Struct, frozen=True, tag="snap"):
    """Contains one chunk of a snapshot. `done` marks the last chunk; `checksum` covers the whole snapshot."""

    term: int
    metadata: SnapshotMetadata = msgspec.field(name="meta")
    offset: int  # position of this chunk in the snapshot, in bytes
    data: bytes
    done: bool
    checksum: int  # CRC-32 of the whole snapshot
    heartbeat_round: int = msgspec.field(name="round")


class InstallSnapshotResponse(msgspec.Struct, frozen=True, tag="snapped"):
    """The response to `InstallSnapshot`."""

    term: int
    snapshot_index: int = msgspec.field(name="index")
    offset: int  # position of the next chunk that the follower expects, in bytes
    heartbeat_round: int = msgspec.field(name="round")
    done: bool = False


class TimeoutNow(msgspec.Struct, frozen=True, tag="now"):
    """Tells the target of a leadership transfer to start an election at once (thesis, 3.10)."""

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
