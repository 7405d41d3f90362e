"""Observer model: subscriptions keep the invariants under faults, and each mutation is detected."""

from __future__ import annotations

import random

import pytest

from gradegap.verification.errors import InvariantError
from gradegap.verification.observer_faults import Faults
from gradegap.verification.observer_model import Model
from gradegap.verification.observer_mutations import (
    CONNECTION_LOSSES,
    DUPLICATED_MESSAGES,
    MACHINE_RESTARTS,
    MUTATIONS,
    TOLERATED,
    find_violation,
)

RUN_COUNT = 24
RUN_S = 15.0  # virtual time
SEED = random.SystemRandom().randrange(1 << 30)  # a failure prints it; set it here to repeat the run
FAULT_MIXES = [
    Faults(),
    CONNECTION_LOSSES,
    MACHINE_RESTARTS,
    DUPLICATED_MESSAGES,
    Faults(slow=0.6, writes_per_s=25.0),
    Faults(leader_change=0.6, partition=1.5, pause=2.0),
]
CLUSTER_SIZES = [(3, 8), (2, 4), (5, 12)]  # machines and nodes


@pytest.mark.parametrize("batch", range(4))
def test_model_under_faults_keeps_invariants_and_converges(batch: int) -> None:
    for run in range(batch * RUN_COUNT // 4, (batch + 1) * RUN_COUNT // 4):
        seed = run if run % 2 else SEED + run  # half of the seeds are fixed, half are new
        machines, nodes = CLUSTER_SIZES[run % len(CLUSTER_SIZES)]
        model = Model(seed, machines, nodes, FAULT_MIXES[run // 2 % len(FAULT_MIXES)])
        try:
            model.run(RUN_S)
            model.check_convergence()
        except InvariantError as violation:
            raise AssertionError(f"seed {seed}, run {run}: {violation}") from violation
        print(f"seed {seed}, run {run}: {model.invariants.acknowledgements} writes acknowledged")
        assert model.invariants.acknowledgements > 20 and model.invariants.lease_checks > 1000
        assert model.counts["snapshots"] > 0 and model.counts["deltas"] > 20 and model.counts["in force"] > 0


def test_model_with_same_seed_repeats_the_run() -> None:
    def run_summary() -> tuple[dict[str, int], list[int]]:
        model = Model(7)
        model.run(10.0)
        return dict(model.counts), [node.subscriber.revision for node in model.nodes]

    assert run_summary() == run_summary()


@pytest.mark.parametrize("name", MUTATIONS)
def test_model_of_mutation_violates_its_invariant(name: str) -> None:
    mutation = MUTATIONS[name]
    found = find_violation(mutation, range(40))
    assert found is not None, "no seed detects the mutation"
    print(name, found)
    seed, violation = found
    assert violation.startswith(mutation.invariant), f"seed {seed} violates another invariant: {violation}"


@pytest.mark.parametrize("name", TOLERATED)
def test_model_of_tolerated_mutation_keeps_invariants(name: str) -> None:
    assert find_violation(TOLERATED[name], range(4)) is None
