"""The committed runs of hollow nodes (`control-*.json`), and each of their figures against its limit."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from bench.scale import target
from bench.scale.results_file import RESULTS, ControlFigures

NOT_RUN = "not run"


class ControlResult(ControlFigures):
    """What of a run's JSON the page reads; whatever else is in it is left alone."""

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
    """All committed runs by the name of their file, smallest first."""
    runs = {
        path.stem: msgspec.json.decode(path.read_bytes(), type=ControlResult)
        for path in sorted(folder.glob("control-*.json"))
    }
    return dict(sorted(runs.items(), key=lambda each: (each[1].nodes, each[0])))


def ordinary_day(runs: dict[str, ControlResult]) -> tuple[str, ControlResult] | None:
    """The run at full size without a fault, over subscriptions; the last by name where there are several."""
    whole = [
        (name, run)
        for name, run in runs.items()
        if run.nodes >= target.NODES and run.mechanism == "observer" and run.fault == "none"
    ]
    return whole[-1] if whole else None


def busiest_machine_share(run: ControlResult) -> float | None:
    """The share of a core of the busiest control machine."""
    return max((float(m["core_share"]) for m in run.machines if "core_share" in m), default=None)


def node_memory(run: ControlResult) -> float:
    """Bytes of the control side with its process where that was measured, else what a node adds."""
    return run.node_control_bytes.get("process_of_one", run.node_control_bytes["mean"])


def clock(run: ControlResult) -> str:
    """At what pace it ran."""
    return "at real time" if run.clock == 1.0 else f"clock slower {run.clock:g} times"
