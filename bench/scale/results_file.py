"""File format of the committed results: measurements with their points and fits, as JSON."""

from __future__ import annotations

import os
import platform
import subprocess
from pathlib import Path
from typing import Literal

import msgspec

from bench.scale.fit import Fit, Point, linear, power

RESULTS = Path(__file__).with_name("results")


class Measurement(msgspec.Struct, frozen=True):
    """One quantity at several sizes, and the fit through them."""

    name: str
    unit: str
    size: str  # the quantity that the sizes count
    how: str  # description of the measurement in one line
    points: list[Point]
    fit: Fit


class ControlFigures(msgspec.Struct):
    """The first fields of a control run's JSON, a format on which other tools rely."""

    nodes: int
    servers: int
    in_force_s: dict[str, float]
    missing: int
    control_bytes_per_node_s: dict[str, float]
    node_core_share: dict[str, float]
    node_control_bytes: dict[str, float]
    control_machines: int


class SlopeRun(msgspec.Struct, frozen=True):
    """One run of a part of the microbenchmarks."""

    part: str
    program: str  # revision of the measured program
    seed: int
    python: str
    cores: int
    measurements: list[Measurement]
    note: str = ""  # remark on the run


def measured(
    name: str,
    unit: str,
    size: str,
    how: str,
    points: list[Point],
    form: Literal["linear", "power"] = "linear",
) -> Measurement:
    """Returns a measurement with its fit."""
    return Measurement(name, unit, size, how, points, linear(points) if form == "linear" else power(points))


def program() -> str:
    """Returns the last revision of the measured program, with `+` if files differ from it."""
    last = _git("log", "-1", "--format=%h", "--", "gradegap")
    changed = _git("status", "--porcelain", "--", "gradegap")
    return last + ("+" if changed else "")


def _git(*arguments: str) -> str:
    root = RESULTS.parents[2]
    done = subprocess.run(["git", *arguments], capture_output=True, text=True, check=False, cwd=root)
    return done.stdout.strip()


def write(path: Path, part: str, seed: int, measurements: list[Measurement], note: str = "") -> None:
    """Writes a run atomically, through a temporary file that is renamed."""
    run = SlopeRun(part, program(), seed, platform.python_version(), os.cpu_count() or 0, measurements, note)
    temporary = path.with_suffix(f".{os.getpid()}")
    temporary.write_bytes(msgspec.json.format(msgspec.json.encode(run), indent=1) + b"\n")
    os.replace(temporary, path)


def read(path: Path) -> SlopeRun:
    """Reads a run.

    Raises:
        msgspec.ValidationError: the file does not contain a run.
    """
    return msgspec.json.decode(path.read_bytes(), type=SlopeRun)
