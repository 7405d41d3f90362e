"""Model explorer of the consensus core: exhaustive orders, random walks, and the mutations they detect."""

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

SEED = random.SystemRandom().randrange(1 << 30)  # a failure prints it; set it here to repeat the run


@pytest.mark.parametrize("mutation", FOUND_BY_WALKS, ids=lambda raft_class: raft_class.__name__)
def test_random_walks_of_mutation_violate_an_invariant(mutation: type[Raft]) -> None:
    assert find_by_walks(mutation, range(4000), ELECTIONS) is not None


def test_random_walks_of_core_keep_invariants() -> None:
    assert find_by_walks(Raft, range(600), ELECTIONS) is None
    for seed in range(SEED, SEED + 400):
        walk(seed)  # the traceback of a violation shows the seed, and pytest prints SEED


def test_exploration_of_small_bounds_keeps_invariants() -> None:
    exploration = explore(bounds=Bounds(term=1, commands=1, crashes=0, heartbeats=0, timeouts=1, messages=3))
    assert exploration.is_complete and exploration.states > 2000, exploration
    bounded_exploration = explore(
        bounds=Bounds(term=2, commands=1, crashes=1, heartbeats=1, messages=5), max_states=2500
    )
    assert bounded_exploration.states == 2500


def elect(cluster: ClusterState, candidate: str, voters: set[str]) -> None:
    """Elect `candidate` with the votes of `voters`. Only messages between `voters` are delivered."""
    for _ in range(4):
        if cluster.members[candidate].is_leader:
            break
        cluster.act(Timeout(candidate))
        for _ in range(20):
            positions = [
                position
                for position, (sender, recipient, _) in enumerate(cluster.messages)
                if sender in voters and recipient in voters
            ]
            if not positions or cluster.members[candidate].is_leader:
                break
            cluster.act(Deliver(positions[0]))
    assert cluster.members[candidate].is_leader


@pytest.mark.parametrize("core", [Raft, CommitsEarlierTerms])
def test_entry_of_earlier_term_is_committed_only_by_an_entry_of_the_current_term(core: type[Raft]) -> None:
    """Figure 8 of the Raft paper with three members: a committed entry must not be overwritten."""
    cluster = ClusterState(core, Bounds())
    elect(cluster, "m0", {"m0", "m2"})
    cluster.messages.clear()
    cluster.act(Crash("m0"))
    elect(cluster, "m1", {"m1", "m2"})
    cluster.messages.clear()
    cluster.act(Crash("m1"))
    elect(cluster, "m0", {"m0", "m2"})
    while cluster.members["m2"].log.last_index < 1 or cluster.members["m0"].peers["m2"].match_index < 1:
        positions = [
            position
            for position, (sender, recipient, _) in enumerate(cluster.messages)
            if {sender, recipient} == {"m0", "m2"}
        ]
        cluster.act(Deliver(positions[0]) if positions else Heartbeat("m0"))
    cluster.messages.clear()
    cluster.act(Crash("m0"))

    def elect_m1() -> None:
        elect(cluster, "m1", {"m1", "m2"})

    if core is Raft:
        elect_m1()
        assert cluster.members["m1"].log.term_at(1) == 2
    else:
        with pytest.raises(InvariantError, match="leader-completeness"):
            elect_m1()
