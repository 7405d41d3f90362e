"""Reads the committed runs of hollow nodes (`control-*.json`) and selects figures from them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from bench.scale import target
from bench.scale.results_file import RESULTS, ControlFigures

NOT_RUN = "not run"


class ControlResult(ControlFigures):
    """The fields of a run's JSON that the page reads; other fields are ignored."""

    mechanism: str = "observer"
    fault: str = "none"
    seconds: float = 0.0
    seed: int = 0
    clock: float = 1.0
    acceleration: float = 1.0
    changes: int = 0
    machines: list[dict[str, Any]] = msgspec.field(default_factory=list)
    leases_lost: int = 0
    level_again_s: dict[str, Any] | None = None


def control_runs(folder: Path = RESULTS) -> dict[str, ControlResult]:
    """Returns all committed runs by file name without suffix, in ascending order of nodes."""
    runs = {
        path.stem: msgspec.json.decode(path.read_bytes(), type=ControlResult)
        for path in sorted(folder.glob("control-*.json"))
    }
    return dict(sorted(runs.items(), key=lambda each: (each[1].nodes, each[0])))


def ordinary_day(runs: dict[str, ControlResult]) -> tuple[str, ControlResult] | None:
    """Returns the run at full size without a fault, over subscriptions; of several the last of `runs`."""
    full_size_runs = [
        (name, run)
        for name, run in runs.items()
        if run.nodes >= target.NODES and run.mechanism == "observer" and run.fault == "none"
    ]
    return full_size_runs[-1] if full_size_runs else None


def busiest_machine_share(run: ControlResult) -> float | None:
    """Returns the share of a core that the busiest control machine uses, `None` if none was measured."""
    return max(
        (float(machine["core_share"]) for machine in run.machines if "core_share" in machine), default=None
    )


def node_memory(run: ControlResult) -> float:
    """Returns the memory of a node's control side in bytes.

    The figure includes the process where a process with a single node was measured; otherwise it is the
    mean memory that one more node adds to a process.
    """
    return run.node_control_bytes.get("process_of_one", run.node_control_bytes["mean"])


def clock(run: ControlResult) -> str:
    """Describes the clock of a run: real time, or the factor by which it is slower."""
    return "at real time" if run.clock == 1.0 else f"clock slower {run.clock:g} times"
