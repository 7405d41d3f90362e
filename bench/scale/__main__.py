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

RUN = typer.Option(None, help="TOML file of the run; the options below override it")
JSON = typer.Option(None, help="file for the result; without it only the summary is printed")

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
    nodes: int | None = typer.Option(None, help="number of hollow nodes"),
    servers: int | None = typer.Option(None, help="number of scripted save servers"),
    seconds: float | None = typer.Option(None, help="length of the measured window in seconds"),
    seed: int | None = typer.Option(None, help="seed of all random choices of the run"),
    mechanism: str | None = typer.Option(None, help="members or observer"),
    control_machines: int | None = typer.Option(None, help="number of store daemons"),
    fault: str | None = typer.Option(None, help="fault to inject, or none"),
    clock: float | None = typer.Option(None, help="factor by which leases and loads are slowed down"),
    processes: int | None = typer.Option(None, help="maximum number of hollow processes"),
) -> None:
    """Measure the control plane; exits with 0 only if the run was complete."""
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
        typer.echo(f"run failed: {error}", err=True)
        raise typer.Exit(EXIT_FAILED) from None
    except (asyncio.CancelledError, KeyboardInterrupt):
        typer.echo("the run was interrupted; nothing was written", err=True)
        raise typer.Exit(EXIT_INTERRUPTED) from None
    if json is not None:
        write_json(json, result)
    typer.echo(summary(result))


def check_writable(file: Path | None) -> None:
    """Checks before the run that its result can be written to `file`.

    Raises:
        RunFileError: `file` is a directory, or its directory can't be created or written to.
    """
    if file is None:
        return
    try:
        file.parent.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise RunFileError(f"--json: {file} can't be written: {error.strerror}") from None
    if file.is_dir() or not os.access(file.parent, os.W_OK):
        raise RunFileError(f"--json: {file} can't be written")


def summary(result: Result) -> str:
    """Returns the main figures of a result, one per line."""
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


def add_module_commands(names: tuple[str, ...] = ("slopes", "page")) -> None:
    """Adds the commands of the package's other modules; a module that does not exist is skipped."""
    for name in names:
        try:
            module = importlib.import_module(f"bench.scale.{name}")
        except ModuleNotFoundError as error:
            if error.name != f"bench.scale.{name}":
                raise
            continue
        if isinstance(found := getattr(module, "app", None), typer.Typer):
            app.add_typer(found, name=name)


if __name__ == "__main__":
    add_module_commands()
    app(prog_name="bench.scale")
