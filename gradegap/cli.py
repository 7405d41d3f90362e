"""The command line."""

from __future__ import annotations

import typer

from gradegap.commands import capture as capture_commands
from gradegap.commands import quic as quic_commands
from gradegap.commands import replay as replay_commands
from gradegap.commands import resume as resume_commands
from gradegap.commands import store as store_commands
from gradegap.node.process import configure_logging, load_all
from gradegap.node.process import serve as run_serve

app = typer.Typer(add_completion=False, help="gradegap places player connections on save servers.")


app.add_typer(store_commands.store, name="store")
app.add_typer(store_commands.config, name="config")
app.add_typer(resume_commands.keys, name="keys")
app.add_typer(resume_commands.token, name="token")
app.add_typer(capture_commands.capture, name="capture")
app.add_typer(quic_commands.conformance, name="conformance")
app.command("replay")(replay_commands.replay_command)
app.command("whatif")(replay_commands.whatif_command)
app.command("explain")(replay_commands.explain_command)

CONFIG = typer.Option(None, help="configuration file, instead of NODE_CONFIG")
OPERATOR = typer.Option(None, help="operator's file, instead of GRADEGAP_OPERATOR; see deploy/operator.toml")


@app.callback(invoke_without_command=True)
def main(context: typer.Context) -> None:
    """Serve, where no sub-command is named."""
    configure_logging()
    if context.invoked_subcommand is None:
        run_serve()


@app.command()
def serve(config: str | None = CONFIG, operator: str | None = OPERATOR) -> None:
    """Run one node until SIGTERM; SIGHUP has it read its configuration again."""
    run_serve(config, operator)


@app.command()
def check(config: str | None = CONFIG, operator: str | None = OPERATOR) -> None:
    """Read a configuration, and say what a node would start with."""
    loaded, extra = load_all(config, operator)
    s = loaded.settings
    typer.echo(f"name {loaded.node.name}, listen {loaded.node.listen}, discovery {loaded.node.discovery}")
    typer.echo(f"classes {', '.join(s.classes)}; zone {s.zone or '-'}; {s.proxy_count} nodes")
    typer.echo(f"QUIC front {extra.quic.listen if extra.quic else 'off'}")
    if extra.observer is not None:
        typer.echo(f"subscribes at {', '.join(machine.name for machine in extra.observer.machines)}")
    else:
        typer.echo(f"store {extra.store.listen if extra.store else 'in memory, no peers'}")
    typer.echo(f"director {'DNS-SD ' + extra.dnssd.service if extra.dnssd else 'HTTP'}")
    typer.echo(f"{len(loaded.node.known_endpoints.servers)} backends known")


@app.command()
def version() -> None:
    """Print the version."""
    from gradegap import VERSION

    typer.echo(f"gradegap {VERSION}")
