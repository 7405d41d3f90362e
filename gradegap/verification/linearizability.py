"""Checker of the linearizability of a history of reads and writes of one key.

A history is linearizable if its operations have a total order that explains every result and keeps the order
of operations that do not overlap in time. The search is that of Wing and Gong, with Lowe's cache of visited
configurations. A write with an unknown outcome may have taken effect at any time after it started, or never.

Sources: Wing and Gong, "Testing and Verifying Concurrent Objects" (1993); Lowe, "Testing for
Linearizability" (2017).
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from gradegap.verification.errors import SearchLimitError

NEVER_ENDED = float("inf")  # end time of an operation whose outcome is unknown


class OperationKind(enum.Enum):
    """The effect of an operation on the key."""

    READ = "read"
    WRITE = "write"
    COMPARE_AND_SET = "cas"


@dataclass(slots=True, frozen=True)
class Operation:
    """A write of `value`, a read that returned `value`, or a compare-and-set from `expected` to `value`.

    `started` and `ended` are in seconds of any clock that is common to the history.
    """

    kind: OperationKind
    value: object
    started: float
    ended: float = NEVER_ENDED
    expected: object = None
    applied: bool | None = True  # whether a compare-and-set took effect; None if unknown

    @classmethod
    def read(cls, value: object, started: float, ended: float) -> Operation:
        """A read that returned `value`."""
        return cls(OperationKind.READ, value, started, ended)

    @classmethod
    def write(cls, value: object, started: float, ended: float = NEVER_ENDED) -> Operation:
        """A write of `value`. Without `ended` its outcome is unknown."""
        return cls(OperationKind.WRITE, value, started, ended)

    @classmethod
    def compare_and_set(
        cls, value: object, started: float, ended: float, expected: object, applied: bool | None
    ) -> Operation:
        """A write of `value` on the condition that the key holds `expected`."""
        return cls(OperationKind.COMPARE_AND_SET, value, started, ended, expected, applied)


def apply(state: object, operation: Operation) -> tuple[bool, object]:
    """Returns whether the operation's result is possible in this state, and the state after the operation."""
    if operation.kind is OperationKind.READ:
        return state == operation.value, state
    if operation.kind is OperationKind.WRITE:
        return True, operation.value
    matches_expected = state == operation.expected
    if operation.applied is None:
        return True, operation.value if matches_expected else state
    return matches_expected == operation.applied, operation.value if matches_expected else state


def find_linearization(
    history: Iterable[Operation], initial: object = None, max_steps: int = 2_000_000
) -> list[Operation] | None:
    """Returns an order of operations that explains the history, or None if there is none.

    Raises:
        SearchLimitError: The search did not end within `max_steps` steps.
    """
    operations = sorted(history, key=lambda operation: operation.started)
    required_count = sum(1 for operation in operations if operation.ended != NEVER_ENDED)
    taken: set[int] = set()
    order: list[int] = []
    visited: set[tuple[frozenset[int], object]] = set()
    # For each depth of the search: the positions still to try, and the state before them.
    stack: list[tuple[list[int], object]] = [(candidates(operations, taken, 0), initial)]
    first_untaken_positions = [0]  # for each depth: the first position that is not in the order yet
    completed_count = steps = 0
    while stack:
        if completed_count == required_count:
            return [operations[position] for position in order]
        steps += 1
        if steps > max_steps:
            raise SearchLimitError(
                f"history of {len(operations)} operations: no result within {max_steps} search steps"
            )
        untried, state = stack[-1]
        if not untried:
            stack.pop()
            first_untaken_positions.pop()
            if order:
                position = order.pop()
                taken.discard(position)
                completed_count -= operations[position].ended != NEVER_ENDED
            continue
        position = untried.pop()
        is_possible, next_state = apply(state, operations[position])
        if not is_possible:
            continue
        taken.add(position)
        first_untaken = first_untaken_positions[-1]
        while first_untaken < len(operations) and first_untaken in taken:
            first_untaken += 1
        configuration = (
            frozenset(other for other in taken if other >= first_untaken) | {-1 - first_untaken},
            next_state,
        )
        if configuration in visited:
            taken.discard(position)
            continue
        visited.add(configuration)
        order.append(position)
        completed_count += operations[position].ended != NEVER_ENDED
        first_untaken_positions.append(first_untaken)
        stack.append((candidates(operations, taken, first_untaken), next_state))
    return None if required_count else []


def candidates(operations: list[Operation], taken: set[int], first_untaken: int) -> list[int]:
    """Returns the positions of the operations that may be next in the order, the preferred one last.

    An operation may be next if it started before any other operation that is not in `taken` ended. All
    operations before `first_untaken` are in `taken`.
    """
    possible: list[int] = []
    earliest_end = NEVER_ENDED
    for position in range(first_untaken, len(operations)):
        if operations[position].started > earliest_end:
            break
        if position not in taken:
            possible.append(position)
            earliest_end = min(earliest_end, operations[position].ended)
    possible = [position for position in possible if operations[position].started <= earliest_end]
    # The last position is tried first: operations that may never have taken effect are tried last.
    return sorted(
        possible,
        key=lambda position: (operations[position].ended != NEVER_ENDED, -operations[position].started),
    )
