"""The checker of histories finds what one copy could not have given, and nothing else."""

from __future__ import annotations

import random

from gradegap.verification.linearizability import NEVER_ENDED, Operation, OperationKind, find_linearization


def test_histories_that_one_copy_could_give_are_explained() -> None:
    w1, w2 = Operation.write(1, 0, 3), Operation.write(2, 1, 4)
    assert (
        find_linearization([Operation.write(1, 0, 1.5), w2, Operation.read(2, 2, 5), Operation.read(1, 6, 7)])
        is None
    )
    assert find_linearization([w1, w2, Operation.read(1, 2, 5), Operation.read(2, 6, 7)])
    assert find_linearization([w1, w2, Operation.read(2, 1.5, 2), Operation.read(1, 2.5, 9)])
    lost = Operation.write(3, 0, NEVER_ENDED)  # nobody knows
    assert find_linearization([lost, Operation.read(None, 1, 2), Operation.read(3, 3, 4)])
    assert find_linearization([lost, Operation.read(3, 1, 2), Operation.read(None, 3, 4)]) is None
    assert (
        find_linearization(
            [Operation.compare_and_set(5, 0, 1, None, True), Operation.compare_and_set(6, 2, 3, None, True)]
        )
        is None
    )
    assert find_linearization(
        [Operation.compare_and_set(5, 0, 1, None, True), Operation.compare_and_set(6, 2, 3, None, False)]
    )


def test_planted_stale_reads_and_lost_writes_are_found() -> None:
    rng = random.Random(3)
    state, at, history = None, 0.0, []
    for k in range(300):
        began, point, ended = at, at + 0.5, at + 1.0 + rng.random() * 3
        at += rng.random()
        if rng.random() < 0.5:
            history.append((point, Operation.write(k, began, ended)))
        else:
            history.append((point, Operation.read("?", began, ended)))
    history.sort(key=lambda x: x[0])
    true = []
    for _, operation in history:
        if operation.kind is OperationKind.WRITE:
            state = operation.value
            true.append(operation)
        else:
            true.append(Operation.read(state, operation.started, operation.ended))
    assert find_linearization(true) is not None
    late = next(k for k, d in enumerate(true) if d.kind is OperationKind.READ and k > 100)
    old = next(d.value for d in true[:20] if d.kind is OperationKind.WRITE)
    stale = [*true[:late], Operation.read(old, true[late].started, true[late].ended), *true[late + 1 :]]
    assert find_linearization(stale) is None
