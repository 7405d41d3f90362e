"""The command line of the scale tests: `python -m bench.scale control --nodes N --json FILE`."""

from __future__ import annotations

import asyncio
import importlib
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import structlog
import typer

from bench.scale.processes import ChildFailedError, write_json
from bench.scale.settings import RunFileError, read_run

if TYPE_CHECKING:
    from bench.scale.run_result import Result

EXIT_FAILED = 1
EXIT_BAD_RUN = 2
EXIT_INTERRUPTED = 130

RUN = typer.Option(None, help="TOML file of the run; the options below go over it")
JSON = typer.Option(None, help="where the result is written; none: standard output alone")

app = typer.Typer(add_completion=False, help="Scale tests with hollow nodes.")


@app.callback()
def main() -> None:
    """Scale tests with hollow nodes."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


@app.command("control")
def control_command(
    run: Path | None = RUN,
    json: Path | None = JSON,
    nodes: int | None = typer.Option(None, help="hollow nodes"),
    servers: int | None = typer.Option(None, help="scripted save servers"),
    seconds: float | None = typer.Option(None, help="of the measured window"),
    seed: int | None = typer.Option(None, help="of all random choices of the run"),
    mechanism: str | None = typer.Option(None, help="members or observer"),
    control_machines: int | None = typer.Option(None, help="daemons of the store"),
    fault: str | None = typer.Option(None, help="what goes wrong, or none"),
    clock: float | None = typer.Option(None, help="by how much leases and loads are slowed"),
    processes: int | None = typer.Option(None, help="hollow processes, at most"),
) -> None:
    """Measure the control plane; exits 0 only when the run was whole."""
    options = {
        "nodes": nodes,
        "servers": servers,
        "seconds": seconds,
        "seed": seed,
        "mechanism": mechanism,
        "control_machines": control_machines,
        "fault": fault,
        "clock": clock,
        "processes": processes,
    }
    try:
        settings = read_run(run, options)
        check_writable(json)
    except RunFileError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_BAD_RUN) from None
    from bench.scale.control import control

    try:
        result = asyncio.run(control(settings))
    except ChildFailedError as error:
        typer.echo(f"the run was not whole: {error}", err=True)
        raise typer.Exit(EXIT_FAILED) from None
    except (asyncio.CancelledError, KeyboardInterrupt):
        typer.echo("the run was interrupted; nothing was written", err=True)
        raise typer.Exit(EXIT_INTERRUPTED) from None
    if json is not None:
        write_json(json, result)
    typer.echo(summary(result))


def check_writable(file: Path | None) -> None:
    """Guards against a run whose result could not be written."""
    if file is None:
        return
    try:
        file.parent.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise RunFileError(f"--json: {file} can't be written: {error.strerror}") from None
    if file.is_dir() or not os.access(file.parent, os.W_OK):
        raise RunFileError(f"--json: {file} can't be written")


def summary(result: Result) -> str:
    """The main figures, one line each."""
    figures = [
        f"{result.nodes} nodes, {result.servers} servers, {result.mechanism}, fault {result.fault}",
        f"in force {result.in_force_s} s, missing {result.missing}, of {result.changes} changes",
        f"bytes a second a node {result.control_bytes_per_node_s}",
        f"share of a core a node {result.node_core_share}",
        f"memory a node {result.node_control_bytes}",
        f"control machines' cores {[m.core_share for m in result.machines]}",
        f"leases lost {result.leases_lost}, level again {result.level_again_s}",
    ]
    return "\n".join(figures)


def add_parts(names: tuple[str, ...] = ("slopes", "page")) -> None:
    """Commands of the package's other modules, where these are there."""
    for name in names:
        try:
            part = importlib.import_module(f"bench.scale.{name}")
        except ModuleNotFoundError as error:
            if error.name != f"bench.scale.{name}":
                raise
            continue
        if isinstance(found := getattr(part, "app", None), typer.Typer):
            app.add_typer(found, name=name)


if __name__ == "__main__":
    add_parts()
    app(prog_name="bench.scale")
