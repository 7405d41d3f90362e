"""Raft simulator: the consensus core keeps the invariants under faults, and each mutation is detected."""

from __future__ import annotations

import dataclasses
import random

import pytest

from gradegap.raft import Raft
from gradegap.verification.errors import InvariantError
from gradegap.verification.raft_faults import NO_FAULTS, Faults
from gradegap.verification.raft_mutations import MUTATIONS, ForgetsPromiseAtRestart, find_violation
from gradegap.verification.simulator import Simulation

RUN_COUNT = 40
RUN_S = 15.0  # virtual time
SEED = random.SystemRandom().randrange(1 << 30)  # a failure prints it; set it here to repeat the run
FAULT_MIXES = [
    Faults(),
    Faults(membership_change=3.0),
    Faults(crash=2.5, restart_delays_s=(0.0, 0.3)),
    Faults(partition=3.0, delay=0.2),
]


@pytest.mark.parametrize("batch", range(4))
def test_simulation_under_faults_keeps_invariants_and_converges(batch: int) -> None:
    for index in range(batch * RUN_COUNT // 4, (batch + 1) * RUN_COUNT // 4):
        seed = index if index % 2 else SEED + index  # half of the seeds are fixed, half are new
        simulation = Simulation(seed, (3, 3, 5)[index % 3], faults=FAULT_MIXES[index % len(FAULT_MIXES)])
        try:
            simulation.run(RUN_S)
            simulation.check_convergence()
        except AssertionError as violation:
            raise AssertionError(f"seed {seed}, run {index}: {violation}") from violation
        commands = set(simulation.invariants.commands())
        assert commands and all(data in commands for data in simulation.acknowledged())


def test_simulation_with_same_seed_repeats_the_run() -> None:
    def run_digest() -> str:
        simulation = Simulation(7)
        simulation.run(10.0)
        return simulation.digest()

    assert run_digest() == run_digest()


@pytest.mark.parametrize("seed", [5001, 5129, 5481])
def test_leader_removing_itself_is_succeeded_by_another_leader(seed: int) -> None:
    """The removed leader may be the only member whose log is complete enough to win an election.

    The cluster stays without a leader if the removed member then does not call an election.
    """
    simulation = Simulation(seed, (3, 3, 5)[seed % 3], faults=FAULT_MIXES[seed % len(FAULT_MIXES)])
    simulation.run(RUN_S)
    simulation.check_convergence()


@pytest.mark.parametrize("mutation", list(MUTATIONS), ids=lambda raft_class: raft_class.__name__)
def test_simulation_of_mutation_violates_an_invariant(mutation: type[Raft]) -> None:
    found = find_violation(mutation, range(120))
    assert found is not None, "no seed detects the mutation"
    print(mutation.__name__, found)


def restart_follower_within_promise(core: type[Raft], seed: int) -> None:
    """Restart the leader's only follower while it can reach the third member but no longer the leader.

    The follower and the third member elect one of them. They must not while the leader holds its lease,
    to which the follower contributed before its restart.
    """
    simulation = Simulation(seed, 3, core, dataclasses.replace(NO_FAULTS, proposals_per_s=1e-9))
    simulation.run(3.0)
    leader = simulation.leader()
    assert leader is not None
    follower, third = (member for member in simulation.members.values() if member is not leader)
    simulation.broken_links = {
        (sender, recipient)
        for sender in simulation.members
        for recipient in simulation.members
        if third.name in (sender, recipient)
    }
    simulation.run(1.0)
    assert leader.raft is not None and leader.raft.is_leader
    follower.crash()
    follower.start()
    simulation.broken_links = {
        (sender, recipient)
        for sender in simulation.members
        for recipient in simulation.members
        if leader.name in (sender, recipient)
    }
    simulation.run(2.0)
    assert any(member.raft is not None and member.raft.is_leader for member in (follower, third))


def test_restarted_member_keeps_promise_not_to_vote() -> None:
    for seed in range(40):
        restart_follower_within_promise(Raft, seed)
    with pytest.raises(InvariantError, match=r"^lease"):
        for seed in range(40):
            restart_follower_within_promise(ForgetsPromiseAtRestart, seed)
