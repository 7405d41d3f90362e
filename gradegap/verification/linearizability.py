"""Whether a history of reads and writes of one key could have come from one copy of it.

Wing and Gong's search with Lowe's memory of states already tried: operations overlap in time, and some order
of them, that keeps those apart which were, must explain every answer. A write whose outcome nobody knows may
have happened at any time after it began, or never.

Sources: Wing and Gong, "Testing and Verifying Concurrent Objects" (1993); Lowe, "Testing for
Linearizability" (2017).
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from gradegap.verification.errors import SearchLimitError

NEVER_ENDED = float("inf")  # of an operation whose outcome is unknown


class OperationKind(enum.Enum):
    """What an operation does to the key."""

    READ = "read"
    WRITE = "write"
    COMPARE_AND_SET = "cas"


@dataclass(slots=True, frozen=True)
class Operation:
    """A write of `value`, a read that gave it, or a compare-and-set from `expected` to it."""

    kind: OperationKind
    value: object
    started: float
    ended: float = NEVER_ENDED
    expected: object = None
    applied: bool | None = True  # of a compare-and-set: whether it was; None: unknown

    @classmethod
    def read(cls, value: object, started: float, ended: float) -> Operation:
        """A read that gave `value`."""
        return cls(OperationKind.READ, value, started, ended)

    @classmethod
    def write(cls, value: object, started: float, ended: float = NEVER_ENDED) -> Operation:
        """A write, whose outcome may be unknown."""
        return cls(OperationKind.WRITE, value, started, ended)

    @classmethod
    def compare_and_set(
        cls, value: object, started: float, ended: float, expected: object, applied: bool | None
    ) -> Operation:
        """A write of `value` where the key had `expected`."""
        return cls(OperationKind.COMPARE_AND_SET, value, started, ended, expected, applied)


def apply(state: object, operation: Operation) -> tuple[bool, object]:
    """Whether the operation's answer fits this state, and the state after."""
    if operation.kind is OperationKind.READ:
        return state == operation.value, state
    if operation.kind is OperationKind.WRITE:
        return True, operation.value
    holds = state == operation.expected
    if operation.applied is None:
        return True, operation.value if holds else state
    return holds == operation.applied, operation.value if holds else state


def find_linearization(
    history: Iterable[Operation], initial: object = None, max_steps: int = 2_000_000
) -> list[Operation] | None:
    """An order that explains the history, or None where there is none.

    Raises:
        SearchLimitError: No answer was found within `max_steps`.
    """
    operations = sorted(history, key=lambda operation: operation.started)
    required = sum(1 for operation in operations if operation.ended != NEVER_ENDED)
    taken: set[int] = set()
    order: list[int] = []
    tried: set[tuple[frozenset[int], object]] = set()
    # What to try next at each depth, with the state there.
    stack: list[tuple[list[int], object]] = [(candidates(operations, taken, 0), initial)]
    lows = [0]  # at each depth: all operations before this one are taken
    explained = steps = 0
    while stack:
        if explained == required:
            return [operations[k] for k in order]
        steps += 1
        if steps > max_steps:
            raise SearchLimitError("the history is too large to be searched")
        untried, state = stack[-1]
        if not untried:
            stack.pop()
            lows.pop()
            if order:
                k = order.pop()
                taken.discard(k)
                explained -= operations[k].ended != NEVER_ENDED
            continue
        k = untried.pop()
        fits, after = apply(state, operations[k])
        if not fits:
            continue
        taken.add(k)
        low = lows[-1]
        while low < len(operations) and low in taken:
            low += 1
        configuration = (frozenset(x for x in taken if x >= low) | {-1 - low}, after)
        if configuration in tried:
            taken.discard(k)
            continue
        tried.add(configuration)
        order.append(k)
        explained += operations[k].ended != NEVER_ENDED
        lows.append(low)
        stack.append((candidates(operations, taken, low), after))
    return None if required else []


def candidates(operations: list[Operation], taken: set[int], low: int) -> list[int]:
    """Which operations may come next: those that began before any other that is not taken yet had ended."""
    possible: list[int] = []
    earliest_end = NEVER_ENDED
    for k in range(low, len(operations)):
        if operations[k].started > earliest_end:
            break
        if k not in taken:
            possible.append(k)
            earliest_end = min(earliest_end, operations[k].ended)
    possible = [k for k in possible if operations[k].started <= earliest_end]
    # Tried last: what may never have happened.
    return sorted(possible, key=lambda k: (operations[k].ended != NEVER_ENDED, -operations[k].started))
