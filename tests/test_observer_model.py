"""Observer subscriptions in virtual time under faults; and the same under planted mistakes."""

from __future__ import annotations

import random

import pytest

from gradegap.verification.invariants import Breach
from gradegap.verification.observer_model import Faults, Model
from gradegap.verification.observer_mutations import BORNE, LOSSES, PLANTED, REPEATS, RESTARTS, find

RUNS = 24  # seeds in one run of the tests
SECONDS = 15.0
SEED = random.SystemRandom().randrange(1 << 30)  # printed with a failure: replay by setting it here
MIXES = [
    Faults(),
    LOSSES,
    RESTARTS,
    REPEATS,
    Faults(slow=0.6, load=25.0),
    Faults(leader=0.6, cut=1.5, pause=2.0),
]
SIZES = [(3, 8), (2, 4), (5, 12)]  # machines and nodes


@pytest.mark.parametrize("batch", range(4))
def test_no_run_breaks_a_rule_and_all_are_level_after_it(batch: int) -> None:
    for run in range(batch * RUNS // 4, (batch + 1) * RUNS // 4):
        seed = run if run % 2 else SEED + run  # half of them known, half new
        machines, nodes = SIZES[run % len(SIZES)]
        model = Model(seed, machines, nodes, MIXES[run // 2 % len(MIXES)])
        try:
            model.run(SECONDS)
            model.calm()
        except Breach as breach:
            raise AssertionError(f"seed {seed}, run {run}: {breach}") from breach
        print(f"seed {seed}, run {run}: {model.rules.acknowledgements} writes acknowledged")
        assert model.rules.acknowledgements > 20 and model.rules.fresh_looks > 1000
        assert model.counts["snapshots"] > 0 and model.counts["deltas"] > 20 and model.counts["in force"] > 0


def test_the_same_seed_gives_the_same_run() -> None:
    def run() -> tuple[dict[str, int], list[int]]:
        model = Model(7)
        model.run(10.0)
        return dict(model.counts), [node.subscriber.revision for node in model.nodes]

    assert run() == run()


@pytest.mark.parametrize("name", PLANTED)
def test_the_model_finds_what_is_planted(name: str) -> None:
    planted = PLANTED[name]
    found = find(planted, range(40))
    assert found is not None, "no seed shows it"
    print(name, found)
    seed, breach = found
    assert breach.startswith(planted.rule), f"seed {seed} breaks another rule: {breach}"


@pytest.mark.parametrize("name", BORNE)
def test_a_mistake_of_one_side_that_the_other_bears_breaks_no_rule(name: str) -> None:
    assert find(BORNE[name], range(4)) is None
