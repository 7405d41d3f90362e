"""`gradegap conformance quic`: the suite, against any address."""

from __future__ import annotations

import typer

from gradegap.commands.base import ExitCode, failure, to_json

conformance = typer.Typer(help="Holds a running server to its protocol.", no_args_is_help=True)


@conformance.callback()
def suites() -> None:
    """Which suite."""


@conformance.command()
def quic(
    address: str = typer.Argument(..., help="host:port of the server"),
    alpn: str = typer.Option("gradegap/1", help="the protocol that it speaks over QUIC"),
    section: str = typer.Option("", help="only cases whose section begins so, as '9000 19'"),
    json: bool = typer.Option(False, "--json"),
) -> None:
    """RFC 9000 and the like, case by case. Exits 1 where one fails."""
    try:
        from conformance.quic.case import Target
        from conformance.quic.cases import CASES
        from conformance.quic.suite import counted, line, run
    except ModuleNotFoundError as error:
        raise failure(f"the suite is not installed: {error}", ExitCode.BAD_CALL) from None
    host, _, port = address.rpartition(":")
    chosen = [c for c in CASES if c.section.startswith(section)]
    if not host or not port.isdecimal() or not chosen:
        what = f"{address!r} is no address" if chosen else f"there is no section {section!r}"
        raise failure(what, ExitCode.BAD_CALL)
    found = run(Target((host, int(port)), alpn), chosen, lambda r: None if json else typer.echo(line(r)))
    typer.echo(to_json(found) if json else counted(found))
    if any(r.outcome == "fail" for r in found):
        raise typer.Exit(ExitCode.NO)
