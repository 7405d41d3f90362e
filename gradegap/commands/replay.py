"""`gradegap replay`, `gradegap explain` and `gradegap whatif`."""

from __future__ import annotations

import time
from collections.abc import Iterator

import msgspec
import typer

from gradegap.capture import comparison, index, recording, replay
from gradegap.capture.description import all_in_one_line, in_one_line
from gradegap.capture.errors import (
    BadRecordError,
    BadRecordingError,
    BadStateError,
    BadWhatIfError,
    LaterStateError,
)
from gradegap.capture.explain import explain
from gradegap.capture.simulation import WhatIfResult
from gradegap.commands.base import ExitCode, failure, to_json
from gradegap.commands.recordings import FILE, MODULE, load_module, read_recording

REQUEST = typer.Argument(..., metavar="REQ", help="id of a request")
SET = typer.Option([], "--set", help="setting that replaces the recorded one: name=value")


def replay_command(
    file: str = FILE,
    module: str | None = MODULE,
    against: str | None = typer.Option(None, "--against", help="another recording of the same events"),
    since: float = typer.Option(
        -1e18, "--from", help="clock time; replay starts at the last state before it"
    ),
    until_differs: bool = typer.Option(True, help="stop at the first different decision"),
    pace: float = typer.Option(
        0.0, min=0.0, help="1: at the recorded speed, 2: twice as fast; 0: without delays"
    ),
    json: bool = typer.Option(False, "--json"),
) -> None:
    """Replay a recording. Exits with 0 if all decisions equal the recorded ones, with 1 if one differs."""
    if against is not None:
        _compare(file, against)
        return
    candidate = load_module(module)
    data = read_recording(file)
    if since > -1e18:
        data = index.seek(data, since) or data
    source = recording.read(data)
    try:
        report = replay.replay(_paced(source, pace) if pace else source, candidate, since, until_differs)
    except (BadRecordingError, LaterStateError) as error:
        raise failure(str(error), ExitCode.BAD_CALL) from None
    if json:
        typer.echo(_report_json(report))
    else:
        for line in _report_lines(report):
            typer.echo(line)
    if report.difference is not None or report.state_differs:
        raise typer.Exit(ExitCode.NO)
    if not report.steps:
        raise failure("nothing could be replayed", ExitCode.NO)


def _paced(source: Iterator[recording.Item], pace: float) -> Iterator[recording.Item]:
    """Yield items at the recorded intervals divided by `pace`."""
    began, first_at = time.monotonic(), None
    for item in source:
        if isinstance(item, recording.Step):
            first_at = item.at if first_at is None else first_at
            time.sleep(max(0.0, began + (item.at - first_at) / pace - time.monotonic()))
        yield item


def _report_json(report: replay.Report) -> str:
    fields = {
        "steps": report.steps,
        "states": report.states,
        "digest": report.digest,
        "gaps": report.gaps,
        "differs_at": report.difference.step.number if report.difference else None,
        "state_differs": report.state_differs,
    }
    return to_json(fields)


def _report_lines(report: replay.Report) -> Iterator[str]:
    yield f"{report.steps} steps, {report.states} states compared with the recorded ones, {report.digest}"
    for gap in report.gaps:
        yield f"gap: {gap}"
    if report.state_differs:
        yield report.state_differs
    if (difference := report.difference) is not None:
        step = difference.step
        yield f"step {step.number} at {step.at:.6f} differs: {in_one_line(step.event)}"
        yield f"  recorded: {all_in_one_line(step.actions)}"
        yield f"  replayed: {all_in_one_line(difference.actions)}"
        yield from (f"  {line}" for line in difference.state)
        for preceding in difference.preceding:
            yield f"  before: {preceding.at:.6f} {in_one_line(preceding.event)}"
        yield "  what follows in the recording proves nothing for this module: its outcomes are another's"


def _compare(file: str, other: str) -> None:
    one, two = (recording.read(read_recording(path)) for path in (file, other))
    found = comparison.compare(one, two)
    typer.echo(f"{found.steps} steps compared")
    for gap in found.gaps:
        typer.echo(f"gap: {gap}")
    if found.first is not None:
        first = found.first[0]
        difference = "has another event" if found.events_differ else "decides otherwise"
        typer.echo(f"step {first.number} at {first.at:.6f} {difference}")
        for path, step in zip((file, other), found.first, strict=True):
            typer.echo(f"  {path}: {in_one_line(step.event)} -> {all_in_one_line(step.actions)}")
    if found.first is not None or not found.steps:
        raise typer.Exit(ExitCode.NO)


def explain_command(file: str = FILE, request_id: int = REQUEST) -> None:
    """Explain why a request was placed on its endpoint."""
    part = index.seek(read_recording(file), request_id=request_id)
    try:
        lines = list(explain(recording.read(part), load_module(None), request_id)) if part else []
    except (BadRecordingError, BadStateError, BadRecordError) as error:
        raise failure(str(error), ExitCode.BAD_CALL) from None
    if not lines:
        raise failure(f"request {request_id} not found in {file}", ExitCode.NO)
    typer.echo("\n".join(lines))


def whatif_command(
    file: str = FILE,
    module: str | None = MODULE,
    assignments: list[str] = SET,
    json: bool = typer.Option(False, "--json"),
) -> None:
    """Simulate a recording with another decision module or other settings.

    Prints the expected outcome as far as the recording is evidence for it. Exits with 1 if a rule is broken.
    """
    from gradegap.capture.whatif import whatif

    try:
        result = whatif(recording.read(read_recording(file)), load_module(module), assignments)
    except (BadRecordingError, BadWhatIfError, BadRecordError) as error:
        raise failure(str(error), ExitCode.BAD_CALL) from None
    if json:
        typer.echo(to_json(result))
    else:
        for line in _result_lines(result):
            typer.echo(line)
    if result.violations:
        raise typer.Exit(ExitCode.NO)


def _result_lines(result: WhatIfResult) -> Iterator[str]:
    for field in msgspec.structs.fields(result.recorded):
        recorded, played = getattr(result.recorded, field.name), getattr(result.played, field.name)
        yield f"{field.encode_name:12} {round(recorded, 4):>10} recorded {round(played, 4):>10} played"
    answers = ", ".join(f"{result.answers[k]} {k}" for k in ("near", "far", "modelled"))
    yield f"answers of endpoints: {answers}"
    if (other := result.first_other) is not None:
        placement = f"{other.request_id} at {other.at:.3f}, {other.recorded} and now {other.played}"
        yield f"the first request that is placed otherwise: {placement}"
    if result.observed_until is not None:
        yield f"from {result.observed_until:.3f} on the recording alone is no proof of what follows"
    yield from (f"gap, at which it ends: {gap}" for gap in result.gaps)
    yield from (f"a rule is broken at {violation}" for violation in result.violations)
