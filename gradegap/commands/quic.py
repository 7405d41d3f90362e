"""`gradegap conformance quic`: the QUIC conformance suite, run against any address."""

from __future__ import annotations

import typer

from gradegap.commands.base import ExitCode, failure, to_json

conformance = typer.Typer(help="Checks that a running server conforms to its protocol.", no_args_is_help=True)


@conformance.callback()
def suites() -> None:
    """Run a conformance suite."""


@conformance.command()
def quic(
    address: str = typer.Argument(..., help="host:port of the server"),
    alpn: str = typer.Option("gradegap/1", help="ALPN name of the server's protocol"),
    section: str = typer.Option("", help="only cases whose section has this prefix, for example '9000 19'"),
    json: bool = typer.Option(False, "--json"),
) -> None:
    """Run the cases for RFC 9000 and related RFCs. Exits with 1 if a case fails."""
    try:
        from conformance.quic.case import Target
        from conformance.quic.cases import CASES
        from conformance.quic.suite import Outcome, ignore_result, result_line, run, summary_line
    except ModuleNotFoundError as error:
        raise failure(f"the suite is not installed: {error}", ExitCode.BAD_CALL) from None
    host, _, port = address.rpartition(":")
    chosen = [case for case in CASES if case.section.startswith(section)]
    if not host or not port.isdecimal() or not chosen:
        problem = (
            f"address must be host:port, got {address!r}" if chosen else f"no case in section {section!r}"
        )
        raise failure(problem, ExitCode.BAD_CALL)
    on_result = ignore_result if json else lambda result: typer.echo(result_line(result))
    results = run(Target((host, int(port)), alpn), chosen, on_result)
    typer.echo(to_json(results) if json else summary_line(results))
    if any(result.outcome is Outcome.FAIL for result in results):
        raise typer.Exit(ExitCode.NO)
