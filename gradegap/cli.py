"""The command line."""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
import structlog
import typer

from gradegap.app import BadConfig, Setup, hold_signals, load
from gradegap.app import run as run_node
from gradegap.operator_file import BadOperatorFile, OperatorSettings, load_operator
from gradegap.store.sync import RemoteStore

app = typer.Typer(add_completion=False, help="gradegap places player connections on save servers.")


CONFIG = typer.Option(None, help="configuration file, instead of NODE_CONFIG")
OPERATOR = typer.Option(None, help="operator's file, instead of GRADEGAP_OPERATOR; see deploy/operator.toml")


def _load(config: str | None, operator: str | None) -> tuple[Setup, OperatorSettings]:
    try:
        return load(config), load_operator(operator or os.environ.get("GRADEGAP_OPERATOR"))
    except (BadConfig, BadOperatorFile) as error:
        raise _stop(error) from None


def _stop(error: Exception) -> typer.Exit:
    """One plain line, and an exit that is not zero."""
    sys.stderr.write(f"gradegap: {' '.join(str(error).split())}\n")
    return typer.Exit(2)


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
        serve(None, None)


@app.command()
def serve(config: str | None = CONFIG, operator: str | None = OPERATOR) -> None:
    """Run one node until SIGTERM; SIGHUP has it read its configuration again."""
    hold_signals()
    setup, settings = _load(config, operator)
    try:
        run_node(setup, settings)
    except BadConfig as error:
        raise _stop(error) from None


@app.command()
def check(config: str | None = CONFIG, operator: str | None = OPERATOR) -> None:
    """Read a configuration, and say what a node would start with."""
    setup, extra = _load(config, operator)
    s = setup.settings
    typer.echo(f"name {setup.config.name}, listen {setup.config.listen}, discovery {setup.config.discovery}")
    typer.echo(f"classes {', '.join(s.classes)}; zone {s.zone or '-'}; {s.balancers} nodes")
    typer.echo(f"QUIC front {extra.quic.listen if extra.quic else 'off'}")
    typer.echo(f"store {extra.store.listen if extra.store else 'in memory, no peers'}")
    typer.echo(f"director {'DNS-SD ' + extra.dnssd.service if extra.dnssd else 'HTTP'}")
    typer.echo(f"{len(setup.config.known.servers)} backends known")


store_app = typer.Typer(help="Read and write the replicated store of a running node.")
app.add_typer(store_app, name="store")
NODE = typer.Option(..., "--node", help="address of a node's store, as its operator's file lists it")


@contextmanager
def _remote(node: str) -> Iterator[RemoteStore]:
    try:
        remote = RemoteStore(node)
        try:
            yield remote
        finally:
            remote.close()
    except (OSError, ValueError) as error:
        raise _stop(ValueError(f"the store at {node}: {error}")) from None


@store_app.command("list")
def store_list(prefix: str = typer.Argument(""), node: str = NODE) -> None:
    """Print the keys that begin so, with their values."""
    with _remote(node) as remote:
        for key, value in remote.store.items(prefix).items():
            typer.echo(f"{key} {msgspec.json.encode(value).decode()}")


@store_app.command("set")
def store_set(key: str, value: str, node: str = NODE) -> None:
    """Write a key; the value is JSON, or text where it is none."""
    try:
        read = msgspec.json.decode(value)
    except msgspec.DecodeError:
        read = value
    with _remote(node) as remote:
        remote.store.set(key, read)
        remote.write()


@store_app.command("delete")
def store_delete(key: str, node: str = NODE) -> None:
    """Remove a key."""
    with _remote(node) as remote:
        remote.store.delete(key)
        remote.write()


@app.command()
def version() -> None:
    """Print the version."""
    from gradegap import VERSION

    typer.echo(f"gradegap {VERSION}")
