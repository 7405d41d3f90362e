"""Settings of a scale run: a TOML file, overridden by command line options, validated before the run."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

MAX_PROCESSES = 40  # largest number of hollow processes, as the requirements limit it
DAY_S = 86_400.0
FULL_SIZE_NODES = 1600  # nodes of the target size, to which `restarts_a_day` refers

Mechanism = Literal["members", "observer"]
Fault = Literal[
    "none",
    "machine-killed",
    "two-killed",
    "replaced",
    "rack",
    "region",
    "slow-reader",
    "burst",
    "restart-tenth",
]
FAULTS: tuple[str, ...] = Fault.__args__  # type: ignore[attr-defined]

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]


class RunFileError(ValueError):
    """Invalid settings of a run; the message is one line that names the key."""


class RunSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one run. All times are real seconds; `clock` is the factor that slows leases and loads."""

    nodes: Annotated[int, msgspec.Meta(ge=1, le=4000)] = 100
    servers: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 600
    seconds: Positive = 30.0  # length of the measured window
    seed: int = 1
    mechanism: Mechanism = "observer"
    control_machines: Annotated[int, msgspec.Meta(ge=1, le=9)] = 6
    processes: Annotated[int, msgspec.Meta(ge=1, le=MAX_PROCESSES)] = MAX_PROCESSES
    regions: Annotated[int, msgspec.Meta(ge=1, le=9)] = 3
    fault: Fault = "none"
    fault_at: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.3  # part of the window before the fault
    fault_s: Positive = 10.0  # time for which a region is cut off, or a reader is slow
    clock: Annotated[float, msgspec.Meta(ge=1.0)] = (
        1.0  # factor by which leases and loads are slowed, for machines with too few cores
    )
    changes_a_day: NotNegative = 1200.0
    acceleration: Positive = (
        50.0  # factor by which the events of a day come faster, for enough samples in a short run
    )
    burst: Annotated[int, msgspec.Meta(ge=1, le=1000)] = (
        50  # number of concurrent changes of the fault "burst"
    )
    restarts_a_day: NotNegative = 220.0  # restarts of 1,600 nodes together
    rack: Annotated[int, msgspec.Meta(ge=1)] = 40  # number of nodes that the fault "rack" stops at once
    probes_per_s: NotNegative = 0.1  # health checks of one node
    list_changes_per_s: NotNegative = 0.1  # rate at which servers of the endpoint list change
    warm_s: NotNegative = 5.0  # time between the start of the last node and the window
    settle_s: NotNegative = 10.0  # time after the window in which the last changes may arrive
    start_s: Positive = 240.0  # all nodes must be ready within this time
    lease_s: NotNegative = 0.0  # lease length of the cluster; 0: the default of the store

    def changes_per_s(self) -> float:
        """Returns the Poisson rate of changes in the run."""
        return self.changes_a_day / DAY_S * self.acceleration / self.clock

    def restarts_per_s(self) -> float:
        """Returns the Poisson rate of node restarts in the run, in proportion to its number of nodes."""
        size_ratio = self.nodes / FULL_SIZE_NODES
        return self.restarts_a_day / DAY_S * size_ratio * self.acceleration / self.clock


def read_run(path: Path | None, options: dict[str, Any]) -> RunSettings:
    """Reads the settings of a run.

    Args:
        path: TOML file; None for the defaults.
        options: values that override the file; None means not given.

    Raises:
        RunFileError: the file can't be read, or a setting is invalid.
    """
    source = str(path) if path is not None else "command line"
    values: dict[str, Any] = {}
    if path is not None:
        try:
            values = msgspec.toml.decode(path.read_bytes())
        except OSError as error:
            raise RunFileError(f"{source}: can't be read: {error.strerror}") from None
        except (msgspec.MsgspecError, ValueError) as error:
            raise RunFileError(f"{source}: is no TOML: {one_line(str(error))}") from None
    values |= {name: value for name, value in options.items() if value is not None}
    try:
        run = msgspec.convert(values, RunSettings)
    except msgspec.ValidationError as error:
        raise RunFileError(f"{source}: {name_the_key(str(error))}") from None
    check_together(source, run)
    return run


def check_together(source: str, run: RunSettings) -> None:
    """Checks settings that depend on each other.

    Raises:
        RunFileError: settings contradict each other.
    """
    if run.mechanism == "members" and run.nodes > 200:
        raise RunFileError(f"{source}: nodes: {run.nodes} members are more than 200, which leases allow")
    if run.control_machines < 3 and run.fault in ("machine-killed", "two-killed", "replaced"):
        raise RunFileError(f"{source}: control_machines: fault {run.fault!r} wants 3 at least")
    if run.fault == "two-killed" and run.control_machines < 5:
        raise RunFileError(f"{source}: control_machines: fault 'two-killed' wants 5 at least")
    if run.fault == "rack" and run.rack >= run.nodes:
        raise RunFileError(f"{source}: rack: {run.rack} nodes can't go of {run.nodes}")
    if run.fault == "region" and min(run.regions, run.control_machines) < 2:
        raise RunFileError(f"{source}: regions: fault 'region' wants 2 regions with machines at least")


def name_the_key(text: str) -> str:
    """Returns a validation error with its key in front: `nodes: Expected ...`."""
    text = one_line(text)
    if unknown := re.search(r"unknown field `([^`]*)`", text):
        return f"{unknown[1]}: there is no such key"
    found = re.match(r"(.*) - at `\$\.?([^`]*)`$", text)
    return f"{found[2]}: {found[1]}" if found else text


def one_line(text: str) -> str:
    """Returns the text without line breaks, limited to 300 characters."""
    return " ".join(text.split())[:300]
