"""Result of a control plane run as written to JSON, with the notes that explain its figures."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec

from bench.scale import analysis
from bench.scale.hollow import ProcessRecord
from bench.scale.machines import MachineFigures
from bench.scale.measure import NOT_COUNTED, Times
from bench.scale.results_file import ControlFigures
from bench.scale.settings import RunSettings
from bench.scale.storeclient import WriteRecord


class Result(ControlFigures, omit_defaults=False):
    """All figures of one run; `ControlFigures` declares those that other modules read."""

    mechanism: str
    fault: str
    seconds: float
    seed: int
    clock: float
    acceleration: float
    changes: int
    changes_not_acknowledged: int
    acknowledged_s: Times
    in_force_of_others_s: Times
    in_force_everywhere_s: Times
    pairs_left: int
    store_bytes_per_node_s: dict[str, float]
    bytes_per_node_s_by_kind: dict[str, dict[str, float]]
    machines: list[MachineFigures]
    start_s: float
    leases_lost: int
    fault_at: list[dict[str, Any]]
    level_again_s: analysis.LevelAgain | None
    lost_nodes: int = msgspec.field(name="gone_nodes")
    hollow_processes: int
    hollow_resident_bytes: dict[str, float]
    counters: dict[str, int]
    cores: int
    cores_used: dict[str, float]  # cores busy during the measured window: this run's processes, all others
    load_average: list[float]
    notes: list[str]


def summed_counters(records: list[ProcessRecord]) -> dict[str, int]:
    """Returns the sum of each counter over all processes."""
    totals: Counter[str] = Counter()
    for record in records:
        totals.update(record.counters)
    return dict(totals)


def notes(settings: RunSettings, writes: list[WriteRecord]) -> list[str]:
    """Returns the notes of a result: how its figures were measured and what they leave out."""
    lines = [
        NOT_COUNTED,
        "in_force_s runs from the moment the writer proposed a change until the node decides by it, "
        "on one machine's steady clock; of nodes that held a lease when it was proposed",
        f"changes and restarts come {settings.acceleration:g} times as fast as on an ordinary day",
        "processor time and memory are those of hollow processes, with what measures in them; nodes that "
        "share a process share its heap, which is frozen for the garbage collector when the window begins",
    ]
    if settings.clock > 1.0:
        lines.append(f"slower clock: leases and loads are {settings.clock:g} times as slow as in real time")
    failures = Counter(f"{write.outcome}: {write.text}" for write in writes if write.outcome != "ok")
    lines += [f"{count} changes came to {why!r}" for why, count in failures.most_common(5)]
    if any(write.attempts > 1 for write in writes):
        lines.append("of a change that was tried again the time counts from the try that came through")
    return lines
