"""Unit tests of the consensus core without a driver or simulator."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from gradegap.raft import (
    AppendEntries,
    ChangePendingError,
    ClusterConfiguration,
    Entry,
    EntryKind,
    LastVoterError,
    LeaderNotReadyError,
    Member,
    Raft,
    RaftSettings,
    RequestRejectedError,
    SnapshotMetadata,
    TimeoutNow,
    TooMuchUncommittedError,
    UnknownMemberError,
    initial_snapshot,
)
from gradegap.raft.entries import encode_configuration
from gradegap.raft.log import Log


def single_member_raft(**settings: float) -> Raft:
    raft = Raft("a", 0.0, 1, initial_snapshot((Member("a", "a", "x"),)), settings=RaftSettings(**settings))  # type: ignore[arg-type]
    raft.tick(10.0)
    return raft


def test_single_member_leads_and_commits_after_persisting() -> None:
    raft = single_member_raft()
    ready = raft.take_ready()
    assert raft.is_leader and ready.hard_state is not None and not ready.committed_entries
    raft.persisted(10.0, ready.entries[-1].index, ready.entries[-1].term)
    assert [entry.kind for entry in raft.take_ready().committed_entries] == [EntryKind.NO_OP]


def test_proposals_beyond_the_uncommitted_limit_are_rejected() -> None:
    raft = single_member_raft(max_uncommitted_bytes=1000)
    with pytest.raises(TooMuchUncommittedError, match=r"^busy"):
        for _ in range(100):
            raft.propose(10.0, b"x" * 100)
    assert raft.log.last_index < 12


def test_rejected_requests_start_with_their_error_code() -> None:
    raft = single_member_raft()
    requests: tuple[tuple[Callable[[], object], type[RequestRejectedError], str], ...] = (
        (lambda: raft.add_member(10.0, Member("b", "b", "y", voter=False)), LeaderNotReadyError, "not_ready"),
        (lambda: raft.transfer_leadership(10.0, "z"), UnknownMemberError, "no such"),
        (lambda: raft.read_index(10.0, 1), LeaderNotReadyError, "not_ready"),
    )
    for request, error, reason in requests:
        with pytest.raises(error, match=f"^{reason}"):
            request()
    ready = raft.take_ready()
    raft.persisted(10.0, ready.entries[-1].index, ready.entries[-1].term)
    with pytest.raises(LastVoterError, match=r"^last"):
        raft.remove_member(10.0, "a")
    raft.add_member(10.0, Member("b", "b", "y", voter=False))
    raft.take_ready()
    with pytest.raises(ChangePendingError, match=r"^change_pending"):
        raft.add_member(10.0, Member("c", "c", "z", voter=False))


def test_timeout_now_of_an_earlier_term_is_ignored() -> None:
    members = tuple(Member(name, name, name) for name in "abc")
    raft = Raft("a", 0.0, 1, initial_snapshot(members))
    raft.step(1.0, "b", AppendEntries(5, 0, 0, 0, 1))
    raft.step(1.0, "b", TimeoutNow(4))
    assert raft.term == 5 and not raft.is_leader and raft.leader_id == "b"


def test_log_conflict_hint_skips_a_whole_term() -> None:
    base = initial_snapshot(())
    log = Log(base, [Entry(index, term, EntryKind.COMMAND) for index, term in enumerate([1, 1, 4, 4, 4], 1)])
    assert log.find_conflict_hint(9) == (5, 4)
    assert log.find_conflict_hint(4) == (2, 1)
    assert log.last_index_up_to_term(5, 3) == 2
    log.compact(3)
    assert (log.base.index, log.base.term, log.term_at(2), log.last_index) == (3, 4, None, 5)


def test_member_replaying_configurations_from_before_it_was_added_is_not_removed() -> None:
    """A new member starts with the configuration that includes it, then receives the log from the beginning.

    Older configurations in that log don't include it. The member must not take them for its own removal.
    """
    first, second, new = (Member(name, name, f"{name}:1") for name in ("a", "b", "new"))
    joined = ClusterConfiguration((first, second, replace(new, voter=False)))
    raft = Raft("new", 0.0, 1, SnapshotMetadata(0, 0, joined))
    one_member = Entry(1, 1, EntryKind.CONFIGURATION, encode_configuration(ClusterConfiguration((first,))))
    two_members = Entry(
        2, 1, EntryKind.CONFIGURATION, encode_configuration(ClusterConfiguration((first, second)))
    )
    new_added = Entry(3, 1, EntryKind.CONFIGURATION, encode_configuration(joined))

    def removed_after(previous: int, commit: int, *entries: Entry) -> bool:
        term = 1 if previous else 0
        raft.step(0.1, "a", AppendEntries(1, previous, term, commit, 1, entries))
        raft.persisted(0.1, raft.log.last_index, 1)
        raft.take_ready()
        return raft.was_removed()

    assert not removed_after(0, 3, one_member), "the leader has committed entries that are not received yet"
    assert not removed_after(1, 3, two_members)
    assert not removed_after(2, 3, new_added)
    new_removed = Entry(
        4, 1, EntryKind.CONFIGURATION, encode_configuration(ClusterConfiguration((first, second)))
    )
    assert not removed_after(3, 3, new_removed), "the removal is not committed"
    assert removed_after(4, 4)
