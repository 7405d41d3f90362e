"""Small cases of the consensus core in every order, and random walks; and each mutation that these find."""

from __future__ import annotations

import random

import pytest

from gradegap.raft import Raft
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
from gradegap.verification.raft_mutations import FOUND_BY_WALKS, CommitsEarlierTerms

SEED = random.SystemRandom().randrange(1 << 30)  # printed with a failure: replay by setting it here


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
