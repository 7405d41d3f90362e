"""Linearizability checker: linearizable histories are accepted, and all others are rejected."""

from __future__ import annotations

import random

from gradegap.verification.linearizability import NEVER_ENDED, Operation, OperationKind, find_linearization


def test_linearizable_histories_are_accepted_and_others_rejected() -> None:
    write_1, write_2 = Operation.write(1, 0, 3), Operation.write(2, 1, 4)
    assert (
        find_linearization(
            [Operation.write(1, 0, 1.5), write_2, Operation.read(2, 2, 5), Operation.read(1, 6, 7)]
        )
        is None
    )
    assert find_linearization([write_1, write_2, Operation.read(1, 2, 5), Operation.read(2, 6, 7)])
    assert find_linearization([write_1, write_2, Operation.read(2, 1.5, 2), Operation.read(1, 2.5, 9)])
    unknown_write = Operation.write(3, 0, NEVER_ENDED)  # outcome unknown
    assert find_linearization([unknown_write, Operation.read(None, 1, 2), Operation.read(3, 3, 4)])
    assert find_linearization([unknown_write, Operation.read(3, 1, 2), Operation.read(None, 3, 4)]) is None
    assert (
        find_linearization(
            [Operation.compare_and_set(5, 0, 1, None, True), Operation.compare_and_set(6, 2, 3, None, True)]
        )
        is None
    )
    assert find_linearization(
        [Operation.compare_and_set(5, 0, 1, None, True), Operation.compare_and_set(6, 2, 3, None, False)]
    )


def test_stale_read_in_long_history_is_rejected() -> None:
    rng = random.Random(3)
    state, clock, history = None, 0.0, []
    for value in range(300):
        start, point, end = clock, clock + 0.5, clock + 1.0 + rng.random() * 3
        clock += rng.random()
        if rng.random() < 0.5:
            history.append((point, Operation.write(value, start, end)))
        else:
            history.append((point, Operation.read("?", start, end)))
    history.sort(key=lambda item: item[0])
    linearizable = []
    for _, operation in history:
        if operation.kind is OperationKind.WRITE:
            state = operation.value
            linearizable.append(operation)
        else:
            linearizable.append(Operation.read(state, operation.started, operation.ended))
    assert find_linearization(linearizable) is not None
    read_position = next(
        position
        for position, operation in enumerate(linearizable)
        if operation.kind is OperationKind.READ and position > 100
    )
    old_value = next(
        operation.value for operation in linearizable[:20] if operation.kind is OperationKind.WRITE
    )
    stale = [
        *linearizable[:read_position],
        Operation.read(old_value, linearizable[read_position].started, linearizable[read_position].ended),
        *linearizable[read_position + 1 :],
    ]
    assert find_linearization(stale) is None
