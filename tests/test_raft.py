"""The consensus core under the simulator and the explorer; and these under mutations."""

from __future__ import annotations

import dataclasses
import random

import pytest
from msgspec.structs import replace

from gradegap.raft import (
    AppendEntries,
    ClusterConfiguration,
    Entry,
    EntryKind,
    Member,
    Raft,
    RaftSettings,
    RequestRejectedError,
    SnapshotMetadata,
    TimeoutNow,
    initial_snapshot,
)
from gradegap.raft.entries import encode_configuration
from gradegap.raft.log import Log
from gradegap.verification.errors import InvariantError
from gradegap.verification.model_explorer import (
    ELECTIONS,
    Bounds,
    ClusterState,
    Crash,
    Deliver,
    Heartbeat,
    Timeout,
    explore,
    find_by_walks,
    walk,
)
from gradegap.verification.raft_faults import NO_FAULTS, Faults
from gradegap.verification.raft_mutations import (
    FOUND_BY_WALKS,
    MUTATIONS,
    CommitsEarlierTerms,
    ForgetsPromiseAtRestart,
    find,
)
from gradegap.verification.simulator import Simulation

RUNS = 40  # seeds of the simulator in one run of the tests
SECONDS = 15.0
SEED = random.SystemRandom().randrange(1 << 30)  # printed with a failure: replay by setting it here
MIXES = [
    Faults(),
    Faults(membership_change=3.0),
    Faults(crash=2.5, restart_delays_s=(0.0, 0.3)),
    Faults(partition=3.0, delay=0.2),
]


@pytest.mark.parametrize("batch", range(4))
def test_no_run_breaks_an_invariant_and_all_come_to_one_state(batch: int) -> None:
    for k in range(batch * RUNS // 4, (batch + 1) * RUNS // 4):
        seed = k if k % 2 else SEED + k  # half of them known, half new
        sim = Simulation(seed, (3, 3, 5)[k % 3], faults=MIXES[k % len(MIXES)])
        try:
            sim.run(SECONDS)
            sim.calm()
        except AssertionError as violation:
            raise AssertionError(f"seed {seed}, run {k}: {violation}") from violation
        commands = set(sim.invariants.commands())
        assert commands and all(data in commands for data in sim.acknowledged())


def test_the_same_seed_gives_the_same_run() -> None:
    def run() -> str:
        sim = Simulation(7)
        sim.run(10.0)
        return sim.digest()

    assert run() == run()


@pytest.mark.parametrize("seed", [5001, 5129, 5481])
def test_a_leader_that_removes_itself_leaves_no_cluster_without_one(seed: int) -> None:
    """The one that was removed alone had the log to be elected with, and did not stand for it."""
    sim = Simulation(seed, (3, 3, 5)[seed % 3], faults=MIXES[seed % len(MIXES)])
    sim.run(SECONDS)
    sim.calm()


@pytest.mark.parametrize("mutation", list(MUTATIONS), ids=lambda b: b.__name__)
def test_the_simulator_finds_each_mutation(mutation: type[Raft]) -> None:
    found = find(mutation, range(120))
    assert found is not None, "no seed shows it"
    print(mutation.__name__, found)


@pytest.mark.parametrize("mutation", FOUND_BY_WALKS, ids=lambda b: b.__name__)
def test_random_walks_find_each_mutation(mutation: type[Raft]) -> None:
    assert find_by_walks(mutation, range(4000), ELECTIONS) is not None


def test_random_walks_find_nothing_in_the_core_itself() -> None:
    assert find_by_walks(Raft, range(600), ELECTIONS) is None
    for seed in range(SEED, SEED + 400):
        walk(seed)  # a violation names the seed by its traceback's values; SEED is printed by pytest


def test_every_order_of_a_small_case_is_safe() -> None:
    seen = explore(bounds=Bounds(term=1, commands=1, crashes=0, heartbeats=0, timeouts=1, messages=3))
    assert seen.complete and seen.states > 2000, seen
    more = explore(bounds=Bounds(term=2, commands=1, crashes=1, heartbeats=1, messages=5), max_states=2500)
    assert more.states == 2500


def elect(case: ClusterState, who: str, among: set[str]) -> None:
    """`who` comes to lead with the votes of `among`; nothing else of what was said arrives."""
    for _ in range(4):
        if case.members[who].is_leader:
            break
        case.act(Timeout(who))
        for _ in range(20):
            at = [k for k, (a, b, _) in enumerate(case.messages) if a in among and b in among]
            if not at or case.members[who].is_leader:
                break
            case.act(Deliver(at[0]))
    assert case.members[who].is_leader


@pytest.mark.parametrize("core", [Raft, CommitsEarlierTerms])
def test_an_entry_of_an_earlier_term_is_committed_by_a_later_one_only(core: type[Raft]) -> None:
    """Figure 8 of the Raft paper, with three members."""
    case = ClusterState(core, Bounds())
    elect(case, "m0", {"m0", "m2"})
    case.messages.clear()
    case.act(Crash("m0"))
    elect(case, "m1", {"m1", "m2"})
    case.messages.clear()
    case.act(Crash("m1"))
    elect(case, "m0", {"m0", "m2"})
    while case.members["m2"].log.last_index < 1 or case.members["m0"].peers["m2"].match_index < 1:
        at = [k for k, (a, b, _) in enumerate(case.messages) if {a, b} == {"m0", "m2"}]
        case.act(Deliver(at[0]) if at else Heartbeat("m0"))
    case.messages.clear()
    case.act(Crash("m0"))

    def takes_over() -> None:
        elect(case, "m1", {"m1", "m2"})

    if core is Raft:
        takes_over()
        assert case.members["m1"].log.term_at(1) == 2
    else:
        with pytest.raises(InvariantError, match="leader-completeness"):
            takes_over()


def restarted_within_a_promise(core: type[Raft], seed: int) -> None:
    """The leader is followed by one member; this starts anew, and hears a third, and the leader no more."""
    sim = Simulation(seed, 3, core, dataclasses.replace(NO_FAULTS, proposals_per_s=1e-9))
    sim.run(3.0)
    leader = sim.leader()
    assert leader is not None
    follower, third = (n for n in sim.members.values() if n is not leader)
    sim.broken_links = {(a, b) for a in sim.members for b in sim.members if third.name in (a, b)}
    sim.run(1.0)
    assert leader.raft is not None and leader.raft.is_leader
    follower.crash()
    follower.start()
    sim.broken_links = {(a, b) for a in sim.members for b in sim.members if leader.name in (a, b)}
    sim.run(2.0)
    assert any(n.raft is not None and n.raft.is_leader for n in (follower, third))


def test_a_member_that_starts_anew_keeps_what_its_earlier_life_promised() -> None:
    for seed in range(40):
        restarted_within_a_promise(Raft, seed)
    with pytest.raises(InvariantError, match="^lease"):
        for seed in range(40):
            restarted_within_a_promise(ForgetsPromiseAtRestart, seed)


def lone(**settings: float) -> Raft:
    raft = Raft("a", 0.0, 1, initial_snapshot((Member("a", "a", "x"),)), settings=RaftSettings(**settings))  # type: ignore[arg-type]
    raft.tick(10.0)
    return raft


def test_a_lone_member_leads_and_commits_once_its_disk_has_it() -> None:
    raft = lone()
    ready = raft.take_ready()
    assert raft.is_leader and ready.hard_state is not None and not ready.committed_entries
    raft.persisted(10.0, ready.entries[-1].index, ready.entries[-1].term)
    assert [e.kind for e in raft.take_ready().committed_entries] == [EntryKind.NO_OP]


def test_proposals_are_refused_when_too_much_is_not_committed() -> None:
    raft = lone(max_uncommitted_bytes=1000)
    with pytest.raises(RequestRejectedError, match="^busy"):
        for _ in range(100):
            raft.propose(10.0, b"x" * 100)
    assert raft.log.last_index < 12


def test_refusals_name_their_reason() -> None:
    raft = lone()
    for wish, reason in (
        (lambda: raft.add_member(10.0, Member("b", "b", "y", voter=False)), "not_ready"),
        (lambda: raft.transfer_leadership(10.0, "z"), "no such"),
        (lambda: raft.read_index(10.0, 1), "not_ready"),
    ):
        with pytest.raises(RequestRejectedError, match=f"^{reason}"):
            wish()
    ready = raft.take_ready()
    raft.persisted(10.0, ready.entries[-1].index, ready.entries[-1].term)
    with pytest.raises(RequestRejectedError, match="^last"):
        raft.remove_member(10.0, "a")
    raft.add_member(10.0, Member("b", "b", "y", voter=False))
    raft.take_ready()
    with pytest.raises(RequestRejectedError, match="^change_pending"):
        raft.add_member(10.0, Member("c", "c", "z", voter=False))


def test_a_late_wish_to_lead_is_void_in_a_later_term() -> None:
    members = tuple(Member(n, n, n) for n in "abc")
    raft = Raft("a", 0.0, 1, initial_snapshot(members))
    raft.step(1.0, "b", AppendEntries(5, 0, 0, 0, 1))
    raft.step(1.0, "b", TimeoutNow(4))
    assert raft.term == 5 and not raft.is_leader and raft.leader_id == "b"


def test_a_log_hints_past_a_whole_term() -> None:
    base = initial_snapshot(())
    log = Log(base, [Entry(i, t, EntryKind.COMMAND) for i, t in enumerate([1, 1, 4, 4, 4], 1)])
    assert log.find_conflict_hint(9) == (5, 4)
    assert log.find_conflict_hint(4) == (2, 1)
    assert log.last_index_up_to_term(5, 3) == 2
    log.compact(3)
    assert (log.base.index, log.base.term, log.term_at(2), log.last_index) == (3, 4, None, 5)


def test_a_member_that_replays_configurations_from_before_it_was_added_was_not_removed() -> None:
    """It is told the configuration that has it, then the log from the beginning."""
    a, b, new = (Member(name, name, f"{name}:1") for name in ("a", "b", "new"))
    joined = ClusterConfiguration((a, b, replace(new, voter=False)))
    raft = Raft("new", 0.0, 1, SnapshotMetadata(0, 0, joined))
    founded = Entry(1, 1, EntryKind.CONFIGURATION, encode_configuration(ClusterConfiguration((a,))))
    grown = Entry(2, 1, EntryKind.CONFIGURATION, encode_configuration(ClusterConfiguration((a, b))))
    added = Entry(3, 1, EntryKind.CONFIGURATION, encode_configuration(joined))

    def told(previous: int, commit: int, *entries: Entry) -> bool:
        term = 1 if previous else 0
        raft.step(0.1, "a", AppendEntries(1, previous, term, commit, 1, entries))
        raft.persisted(0.1, raft.log.last_index, 1)
        raft.take_ready()
        return raft.was_removed()

    assert not told(0, 3, founded), "the leader has committed more than this"
    assert not told(1, 3, grown)
    assert not told(2, 3, added)
    gone = Entry(4, 1, EntryKind.CONFIGURATION, encode_configuration(ClusterConfiguration((a, b))))
    assert not told(3, 3, gone), "it is not committed"
    assert told(4, 4)
