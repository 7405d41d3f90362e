"""Compares two recordings of the same events step by step. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from gradegap.capture.recording import Gap, Item, Step
from gradegap.capture.replay import encoded


@dataclass(slots=True)
class Comparison:
    """The result of comparing two recordings."""

    steps: int = 0
    gaps: list[str] = field(default_factory=list)
    first: tuple[Step, Step] | None = None  # the first pair of steps that differ, one of each recording
    events_differ: bool = False  # whether the events of that pair differ, rather than only the actions


def compare(left_items: Iterable[Item], right_items: Iterable[Item]) -> Comparison:
    """Compare the steps that have the same number; steps that only one of the recordings has are skipped."""
    comparison = Comparison()

    def steps(source: Iterable[Item]) -> Iterator[Step]:
        for item in source:
            if isinstance(item, Gap):
                comparison.gaps.append(item.reason)
            elif isinstance(item, Step):
                yield item

    left_steps, right_steps = steps(left_items), steps(right_items)
    left_step, right_step = next(left_steps, None), next(right_steps, None)
    while left_step is not None and right_step is not None:
        if left_step.number < right_step.number:
            left_step = next(left_steps, None)
            continue
        if right_step.number < left_step.number:
            right_step = next(right_steps, None)
            continue
        comparison.steps += 1
        comparison.events_differ = left_step.at != right_step.at or encoded([left_step.event]) != encoded(
            [right_step.event]
        )
        if comparison.events_differ or encoded(left_step.actions) != encoded(right_step.actions):
            comparison.first = left_step, right_step
            break
        left_step, right_step = next(left_steps, None), next(right_steps, None)
    return comparison
