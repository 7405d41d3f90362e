"""Command line: `serve`, `check` and `version`, and the command groups of `gradegap.commands`."""

from __future__ import annotations

import typer

from gradegap import VERSION
from gradegap.commands import capture as capture_commands
from gradegap.commands import config as config_commands
from gradegap.commands import quic as quic_commands
from gradegap.commands import replay as replay_commands
from gradegap.commands import resume as resume_commands
from gradegap.commands import store as store_commands
from gradegap.node.configuration import Configuration
from gradegap.node.operator_file import OperatorSettings
from gradegap.node.process import configure_logging, load_all
from gradegap.node.process import serve as run_serve

app = typer.Typer(add_completion=False, help="gradegap places player connections on save servers.")

app.add_typer(store_commands.store, name="store")
app.add_typer(config_commands.config, name="config")
app.add_typer(resume_commands.keys, name="keys")
app.add_typer(resume_commands.token, name="token")
app.add_typer(capture_commands.capture, name="capture")
app.add_typer(quic_commands.conformance, name="conformance")
app.command("replay")(replay_commands.replay_command)
app.command("whatif")(replay_commands.whatif_command)
app.command("explain")(replay_commands.explain_command)

CONFIGURATION_FILE = typer.Option(None, help="configuration file; overrides NODE_CONFIG")
OPERATOR_FILE = typer.Option(
    None, help="operator's file; overrides GRADEGAP_OPERATOR; example: deploy/operator.toml"
)


@app.callback(invoke_without_command=True)
def main(context: typer.Context) -> None:
    """Run a node if no sub-command is given."""
    configure_logging()
    if context.invoked_subcommand is None:
        run_serve()


@app.command()
def serve(config: str | None = CONFIGURATION_FILE, operator: str | None = OPERATOR_FILE) -> None:
    """Run one node until SIGTERM; SIGHUP reloads its configuration."""
    run_serve(config, operator)


@app.command()
def check(config: str | None = CONFIGURATION_FILE, operator: str | None = OPERATOR_FILE) -> None:
    """Validate a configuration, and print a summary of the settings that a node would use."""
    for line in _summary(*load_all(config, operator)):
        typer.echo(line)


def _summary(configuration: Configuration, operator: OperatorSettings) -> list[str]:
    node, settings = configuration.node, configuration.settings
    quic = operator.quic.listen if operator.quic else "off"
    discovery = f"DNS-SD {operator.dnssd.service}" if operator.dnssd else "HTTP"
    if operator.observer is not None:
        store = f"subscribes at {', '.join(machine.name for machine in operator.observer.machines)}"
    else:
        store = f"store {operator.store.listen if operator.store else 'in memory, no peers'}"
    return [
        f"name {node.name}, listen {node.listen}, discovery {node.discovery}",
        f"classes {', '.join(settings.classes)}; zone {settings.zone or '-'}; {settings.proxy_count} nodes",
        f"QUIC front {quic}",
        store,
        f"director {discovery}",
        f"{len(node.known_endpoints.servers)} backends known",
    ]


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"gradegap {VERSION}")
