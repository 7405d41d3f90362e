"""Two recordings of the same events, compared step by step. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from gradegap.capture.recording import Gap, Item, Step
from gradegap.capture.replay import encoded


@dataclass(slots=True)
class Comparison:
    """What came of it."""

    steps: int = 0
    gaps: list[str] = field(default_factory=list)
    first: tuple[Step, Step] | None = None  # the first two that differ
    events_differ: bool = False  # not only the actions of these two


def compare(one: Iterable[Item], other: Iterable[Item]) -> Comparison:
    """Compare steps of both that bear one number; what only one has is passed over."""
    found = Comparison()

    def steps(source: Iterable[Item]) -> Iterator[Step]:
        for item in source:
            if isinstance(item, Gap):
                found.gaps.append(item.reason)
            elif isinstance(item, Step):
                yield item

    left, right = steps(one), steps(other)
    a, b = next(left, None), next(right, None)
    while a is not None and b is not None:
        if a.number < b.number:
            a = next(left, None)
            continue
        if b.number < a.number:
            b = next(right, None)
            continue
        found.steps += 1
        found.events_differ = a.at != b.at or encoded([a.event]) != encoded([b.event])
        if found.events_differ or encoded(a.actions) != encoded(b.actions):
            found.first = a, b
            break
        a, b = next(left, None), next(right, None)
    return found
