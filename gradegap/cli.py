"""The command line."""

from __future__ import annotations

import logging
import sys

import structlog
import typer

from gradegap.app import BadConfig, Setup, load
from gradegap.app import run as run_node

app = typer.Typer(add_completion=False, help="gradegap places player connections on save servers.")


def _load(path: str | None) -> Setup:
    try:
        return load(path)
    except BadConfig as error:
        sys.stderr.write(f"gradegap: {error}\n")
        raise typer.Exit(2) from None


@app.callback(invoke_without_command=True)
def main(context: typer.Context) -> None:
    """Serve, where no sub-command is named."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    if context.invoked_subcommand is None:
        serve(None)


@app.command()
def serve(config: str | None = typer.Option(None, help="configuration file, instead of NODE_CONFIG")) -> None:
    """Run one node until SIGTERM."""
    setup = _load(config)
    try:
        run_node(setup)
    except BadConfig as error:
        sys.stderr.write(f"gradegap: {error}\n")
        raise typer.Exit(2) from None


@app.command()
def check(config: str | None = typer.Option(None, help="configuration file, instead of NODE_CONFIG")) -> None:
    """Read a configuration, and say what a node would start with."""
    setup = _load(config)
    s = setup.settings
    typer.echo(f"name {setup.config.name}, listen {setup.config.listen}, discovery {setup.config.discovery}")
    typer.echo(f"classes {', '.join(s.classes)}; zone {s.zone or '-'}; {s.balancers} nodes")
    typer.echo(f"{len(setup.config.known.servers)} backends known")


@app.command()
def version() -> None:
    """Print the version."""
    from gradegap import VERSION

    typer.echo(f"gradegap {VERSION}")
