"""Whether a history of reads and writes of one key could have come from one copy of it.

Wing and Gong's search with Lowe's memory of states already tried: operations overlap in time, and some order
of them, that keeps those apart which were, must explain every answer. A write whose outcome nobody knows may
have happened at any time after it began, or never.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

FOREVER = float("inf")


@dataclass(slots=True, frozen=True)
class Did:
    """One operation: a write of `value`, a read that gave it, or a compare-and-set from `expected`."""

    kind: str  # "write", "read" or "cas"
    value: object
    began: float
    ended: float = FOREVER  # for ever, where the outcome is unknown
    expected: object = None
    done: bool | None = True  # of a cas: whether it was; None: unknown


def legal(state: object, did: Did) -> tuple[bool, object]:
    """Whether the answer fits this state, and the state after."""
    if did.kind == "read":
        return state == did.value, state
    if did.kind == "write":
        return True, did.value
    holds = state == did.expected
    if did.done is None:
        return True, did.value if holds else state
    return holds == did.done, did.value if holds else state


def explain(history: Iterable[Did], first: object = None, most: int = 2_000_000) -> list[Did] | None:
    """An order that explains the history, or None where there is none."""
    ops = sorted(history, key=lambda d: d.began)
    n = len(ops)
    must = sum(1 for d in ops if d.ended != FOREVER)
    taken: set[int] = set()
    order: list[int] = []
    seen: set[tuple[frozenset[int], object]] = set()
    # A stack of what to try next at each depth, with the state there.
    stack: list[tuple[list[int], object]] = [(candidates(ops, taken, 0), first)]
    low, steps = 0, 0
    lows = [0]
    done = 0
    while stack:
        if done == must:
            return [ops[k] for k in order]
        steps += 1
        if steps > most:
            raise RuntimeError("the history is too large to be searched")
        todo, state = stack[-1]
        if not todo:
            stack.pop()
            lows.pop()
            low = lows[-1] if lows else 0
            if order:
                k = order.pop()
                taken.discard(k)
                done -= ops[k].ended != FOREVER
            continue
        k = todo.pop()
        fits, after = legal(state, ops[k])
        if not fits:
            continue
        taken.add(k)
        new_low = low
        while new_low < n and new_low in taken:
            new_low += 1
        mark = (frozenset(x for x in taken if x >= new_low) | {-1 - new_low}, after)
        if mark in seen:
            taken.discard(k)
            continue
        seen.add(mark)
        order.append(k)
        done += ops[k].ended != FOREVER
        low = new_low
        lows.append(low)
        stack.append((candidates(ops, taken, low), after))
    return None if must else []


def candidates(ops: list[Did], taken: set[int], low: int) -> list[int]:
    """Which operations may come next: none that began after another, not taken yet, had ended."""
    found: list[int] = []
    end = FOREVER
    for k in range(low, len(ops)):
        if ops[k].began > end:
            break
        if k not in taken:
            found.append(k)
            end = min(end, ops[k].ended)
    found = [k for k in found if ops[k].began <= end]
    # Tried last: what may never have happened.
    return sorted(found, key=lambda k: (ops[k].ended != FOREVER, -ops[k].began))
