"""The command line."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
import typer

from gradegap.app import configure_log, load_both, stop_line
from gradegap.app import serve as run_serve
from gradegap.store.sync import RemoteStore

app = typer.Typer(add_completion=False, help="gradegap places player connections on save servers.")


CONFIG = typer.Option(None, help="configuration file, instead of NODE_CONFIG")
OPERATOR = typer.Option(None, help="operator's file, instead of GRADEGAP_OPERATOR; see deploy/operator.toml")


@app.callback(invoke_without_command=True)
def main(context: typer.Context) -> None:
    """Serve, where no sub-command is named."""
    configure_log()
    if context.invoked_subcommand is None:
        run_serve()


@app.command()
def serve(config: str | None = CONFIG, operator: str | None = OPERATOR) -> None:
    """Run one node until SIGTERM; SIGHUP has it read its configuration again."""
    run_serve(config, operator)


@app.command()
def check(config: str | None = CONFIG, operator: str | None = OPERATOR) -> None:
    """Read a configuration, and say what a node would start with."""
    setup, extra = load_both(config, operator)
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
        raise stop_line(ValueError(f"the store at {node}: {error}")) from None


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
