"""Observer subscriptions in virtual time under faults; and the same under mutations."""

from __future__ import annotations

import random

import pytest

from gradegap.verification.errors import InvariantError
from gradegap.verification.observer_faults import Faults
from gradegap.verification.observer_model import Model
from gradegap.verification.observer_mutations import LOSSES, MUTATIONS, REPEATS, RESTARTS, TOLERATED, find

RUNS = 24  # seeds in one run of the tests
SECONDS = 15.0
SEED = random.SystemRandom().randrange(1 << 30)  # printed with a failure: replay by setting it here
MIXES = [
    Faults(),
    LOSSES,
    RESTARTS,
    REPEATS,
    Faults(slow=0.6, writes_per_s=25.0),
    Faults(leader_change=0.6, partition=1.5, pause=2.0),
]
SIZES = [(3, 8), (2, 4), (5, 12)]  # machines and nodes


@pytest.mark.parametrize("batch", range(4))
def test_no_run_breaks_an_invariant_and_all_are_level_after_it(batch: int) -> None:
    for run in range(batch * RUNS // 4, (batch + 1) * RUNS // 4):
        seed = run if run % 2 else SEED + run  # half of them known, half new
        machines, nodes = SIZES[run % len(SIZES)]
        model = Model(seed, machines, nodes, MIXES[run // 2 % len(MIXES)])
        try:
            model.run(SECONDS)
            model.calm()
        except InvariantError as violation:
            raise AssertionError(f"seed {seed}, run {run}: {violation}") from violation
        print(f"seed {seed}, run {run}: {model.invariants.acknowledgements} writes acknowledged")
        assert model.invariants.acknowledgements > 20 and model.invariants.fresh_looks > 1000
        assert model.counts["snapshots"] > 0 and model.counts["deltas"] > 20 and model.counts["in force"] > 0


def test_the_same_seed_gives_the_same_run() -> None:
    def run() -> tuple[dict[str, int], list[int]]:
        model = Model(7)
        model.run(10.0)
        return dict(model.counts), [node.subscriber.revision for node in model.nodes]

    assert run() == run()


@pytest.mark.parametrize("name", MUTATIONS)
def test_the_model_finds_each_mutation(name: str) -> None:
    mutation = MUTATIONS[name]
    found = find(mutation, range(40))
    assert found is not None, "no seed shows it"
    print(name, found)
    seed, violation = found
    assert violation.startswith(mutation.rule), f"seed {seed} breaks another invariant: {violation}"


@pytest.mark.parametrize("name", TOLERATED)
def test_a_mistake_of_one_side_that_the_other_bears_breaks_no_invariant(name: str) -> None:
    assert find(TOLERATED[name], range(4)) is None
