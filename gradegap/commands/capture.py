"""`gradegap capture ...`, `gradegap replay` and `gradegap explain`."""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import typer

from gradegap.capture import comparison, decision_module, frames, index, recording, records, replay
from gradegap.capture.description import all_in_one_line, in_one_line
from gradegap.capture.errors import (
    BadModuleError,
    BadRecordError,
    BadRecordingError,
    BadStateError,
    BadWhatIfError,
    LaterStateError,
)
from gradegap.capture.explain import explain
from gradegap.capture.frames import Damage, FrameKind

capture = typer.Typer(help="Files of what the module was told and did.", no_args_is_help=True)

FILE = typer.Argument(..., help="a capture")
FILES = typer.Argument(..., help="captures of several nodes")
SHIFT = typer.Option([], "--shift", help="seconds that a file's clock is behind, one for each file")
KEY = typer.Option(..., "--key", help="a file with the key of the hash")
KINDS = typer.Option([], "--kind", help="kinds of events: Request, Outcome, ...")
MODULE = typer.Option(
    None, "--module", help="a file with another Balancer, or a folder: a changed copy of gradegap/balancing"
)
OUT = typer.Option(..., "--out", help="the file to write; it must not be there")


def stop(error: Exception | str, code: int = 2) -> typer.Exit:
    sys.stderr.write(f"gradegap: {' '.join(str(error).split())}\n")
    return typer.Exit(code)


def whole(path: str) -> bytes:
    try:
        data = recording.read_file(path)
        next(iter(frames.read(data)), None)
    except BadRecordingError as error:
        raise stop(error) from None
    return data


def write(path: str, data: bytes) -> None:
    try:
        with Path(path).open("xb") as file:
            file.write(data)
    except OSError as error:
        raise stop(f"{path} can't be written: {error.strerror}") from None


@capture.command()
def info(file: str = FILE, json: bool = typer.Option(False, "--json")) -> None:
    """What a capture holds, and what of it is damaged or missing."""
    kinds: Counter[str] = Counter()
    events: Counter[str] = Counter()
    start: dict[str, Any] = {}
    first = last = 0.0
    bad = []
    data = whole(file)
    for frame in frames.read(data):
        if isinstance(frame, Damage):
            bad.append(f"{frame.length} bytes at {frame.offset}: {frame.reason}")
            continue
        kinds[frame.kind.name.lower()] += 1
        if frame.kind is FrameKind.START and isinstance(frame.body, dict):
            start = start or frame.body
        if frame.kind is FrameKind.STEPS:
            first, last = first or frame.first_at, frame.last_at
            events.update(str(row[3][0]) for row in frame.body if row[0] == "s")
        if frame.kind is FrameKind.GAP:
            bad.append(f"{frame.record_count} steps were dropped, from {frame.first_number} on")
    said = {
        "node": start.get("node"),
        "version": start.get("version"),
        "policy": str(start.get("policy"))[:12],
        "seed": start.get("seed"),
        "from": first,
        "seconds": round(last - first, 3),
        "steps": sum(events.values()),
        "bytes a step": round(len(data) / max(1, sum(events.values())), 1),
        "frames": dict(kinds),
        "indexed": index.indexed(data),
        "events": dict(events.most_common()),
        "gaps": bad,
    }
    if json:
        typer.echo(msgspec.json.encode(said).decode())
    else:
        for name, value in said.items():
            typer.echo(f"{name}: {value}")


@capture.command()
def cut(
    file: str = FILE,
    out: str = OUT,
    since: float = typer.Option(-1e18, "--from", help="clock, or seconds from the beginning where below 1e6"),
    until: float = typer.Option(1e18, "--to", help="the same"),
) -> None:
    """A part of a capture that can be replayed by itself: from the state before `--from` to `--to`."""
    data = whole(file)
    base = next((f.first_at for f in frames.read(data) if not isinstance(f, Damage)), 0.0)
    since = since + base if abs(since) < 1e6 else since
    until = until + base if abs(until) < 1e6 else until
    part = index.seek(data, since, until)
    if not part:
        raise stop("there is no state to begin at")
    made = [frames.MAGIC]
    for f in frames.read(part):
        if isinstance(f, Damage):
            continue
        body, last, count = f.body, f.last_at, f.record_count
        if f.kind is FrameKind.STEPS:
            body = [row for row in f.body if row[2] <= until]
            if not body:
                continue
            last, count = body[-1][2], len(body)
        made.append(frames.pack(f.kind, body, count, f.first_number, f.first_at, last))
    write(out, index.sealed(b"".join(made)))


@capture.command()
def filter(
    file: str = FILE,
    kind: list[str] = KINDS,
    server: str = typer.Option("", "--server"),
    req: int = typer.Option(-1, "--req"),
) -> None:
    """Steps as JSON lines: of some kinds, about one server or req. They explain; they can't be replayed."""
    if unknown := set(kind) - records.EVENTS.keys():
        raise stop(f"there is no kind {sorted(unknown)[0]}; there are {', '.join(sorted(records.EVENTS))}")
    _lines(
        file,
        lambda s: (
            (not kind or records.stored_name(s.event) in kind)
            and (not server or any(server in records.names(x) for x in (s.event, *s.actions)))
            and (req < 0 or any(req in records.names(x) for x in (s.event, *s.actions)))
        ),
    )


@capture.command()
def plot(
    file: str = FILE, out: str = typer.Option(..., "--out", help="the picture to write: .png, .svg, .pdf")
) -> None:
    """Reqs, draws, answers, connections and loads over time, as a picture (`pip install gradegap[plot]`)."""
    from gradegap.capture.plot import draw

    data = whole(file)
    if Path(out).exists():
        raise stop(f"{out} is there already")
    try:
        draw(recording.read(data), out, Path(file).name)
    except ModuleNotFoundError:
        raise stop("a plot needs matplotlib: pip install gradegap[plot]") from None
    except (OSError, ValueError) as error:
        raise stop(f"{out} can't be written: {error}") from None


@capture.command()
def export(file: str = FILE) -> None:
    """All steps as JSON lines."""
    _lines(file, lambda step: True)


def _line(step: recording.Step, at: float, **more: str) -> bytes:
    """A step as a line of JSON, with its clock as told."""
    actions = [records.plain(a) for a in step.actions]
    row = {"seq": step.number, "at": at, "event": records.plain(step.event), "actions": actions}
    return msgspec.json.encode(more | row)


def _lines(file: str, wanted: Callable[[recording.Step], bool]) -> None:
    for item in recording.read(whole(file)):
        if isinstance(item, recording.Gap):
            typer.echo(msgspec.json.encode({"gap": item.reason}))
        elif isinstance(item, recording.Step) and wanted(item):
            typer.echo(_line(item, item.at))


@capture.command()
def redact(file: str = FILE, out: str = OUT, key: str = KEY) -> None:
    """The same capture with a keyed hash for each id that names a player; says whether it still replays."""
    from gradegap.capture.redaction import IdHasher
    from gradegap.capture.redaction import redact as redacted

    try:
        hasher = IdHasher(Path(key).read_bytes().strip())
    except OSError as error:
        raise stop(f"{key} can't be read: {error.strerror}") from None
    try:
        data = redacted(whole(file), hasher.hashed)
    except (BadRecordError, KeyError, TypeError, ValueError) as error:
        raise stop(f"it can't be redacted: {error}") from None
    write(out, index.sealed(data))
    found = replay.replay(recording.read(data), _module(None))
    if found.difference is not None or found.state_differs:
        typer.echo("it explains, and replays no more: this node placed groups by their names")


@capture.command()
def merge(files: list[str] = FILES, shift: list[float] = SHIFT) -> None:
    """Steps of several nodes as JSON lines in the order of their clocks.

    `--shift` S for each file adds S seconds to its clock, where it is known to be behind.
    """
    if shift and len(shift) != len(files):
        raise stop(f"{len(files)} files and {len(shift)} shifts")
    rows = []
    for k, path in enumerate(files):
        data, name = whole(path), path
        for frame in frames.read(data):
            if not isinstance(frame, Damage) and frame.kind is FrameKind.START:
                name = frame.body.get("node", path)
        plus = shift[k] if shift else 0.0
        rows += [
            (i.at + plus, k, i.number, name, i) for i in recording.read(data) if isinstance(i, recording.Step)
        ]
    for at, _, _, name, item in sorted(rows, key=lambda row: row[:3]):
        typer.echo(_line(item, at, node=name))


def _module(path: str | None) -> Any:
    try:
        return decision_module.load(path)
    except BadModuleError as error:
        raise stop(error) from None


def paced(source: Iterator[recording.Item], pace: float) -> Iterator[recording.Item]:
    """Each item when its clock, run at that pace from the first on, comes to it."""
    began, first = time.monotonic(), None
    for item in source:
        if isinstance(item, recording.Step):
            first = item.at if first is None else first
            time.sleep(max(0.0, began + (item.at - first) / pace - time.monotonic()))
        yield item


def replay_command(
    file: str = FILE,
    module: str | None = MODULE,
    against: str | None = typer.Option(None, "--against", help="another capture of the same events"),
    since: float = typer.Option(-1e18, "--from", help="clock of the state to begin at, at the latest"),
    until_differs: bool = typer.Option(True, help="stop at the first decision that differs"),
    pace: float = typer.Option(0.0, min=0.0, help="1: as fast as it was, 2: twice so; 0: as fast as it goes"),
    json: bool = typer.Option(False, "--json"),
) -> None:
    """The same decisions again. Exits 0 where all are, 1 at one that differs."""
    if against is not None:
        _against(file, against)
        return
    made = _module(module)
    try:
        data = whole(file)
        if since > -1e18:
            data = index.seek(data, since) or data
        source = recording.read(data)
        found = replay.replay(paced(source, pace) if pace else source, made, since, until_differs)
    except (BadRecordingError, LaterStateError) as error:
        raise stop(error) from None
    if json:
        typer.echo(
            msgspec.json.encode(
                {
                    "steps": found.steps,
                    "states": found.states,
                    "digest": found.digest,
                    "gaps": found.gaps,
                    "differs_at": found.difference.step.number if found.difference else None,
                    "state_differs": found.state_differs,
                }
            ).decode()
        )
    else:
        typer.echo(f"{found.steps} steps, {found.states} states held against the record, {found.digest}")
        for gap in found.gaps:
            typer.echo(f"gap: {gap}")
        if found.state_differs:
            typer.echo(found.state_differs)
        if (d := found.difference) is not None:
            typer.echo(f"step {d.step.number} at {d.step.at:.6f} differs: {in_one_line(d.step.event)}")
            typer.echo(f"  recorded: {all_in_one_line(d.step.actions)}")
            typer.echo(f"  replayed: {all_in_one_line(d.actions)}")
            for line in d.state:
                typer.echo(f"  {line}")
            for before in d.preceding:
                typer.echo(f"  before: {before.at:.6f} {in_one_line(before.event)}")
            typer.echo(
                "  what follows in the record is no evidence for this module: its outcomes are another's"
            )
    if found.difference is not None or found.state_differs:
        raise typer.Exit(1)
    if not found.steps:
        raise stop("nothing could be replayed", 1)


def _against(file: str, other: str) -> None:
    found = comparison.compare(recording.read(whole(file)), recording.read(whole(other)))
    typer.echo(f"{found.steps} steps compared")
    for gap in found.gaps:
        typer.echo(f"gap: {gap}")
    if found.first is not None:
        a, b = found.first
        what = "is told otherwise" if found.events_differ else "decides otherwise"
        typer.echo(f"step {a.number} at {a.at:.6f} {what}")
        for path, step in ((file, a), (other, b)):
            typer.echo(f"  {path}: {in_one_line(step.event)} -> {all_in_one_line(step.actions)}")
    if found.first is not None or not found.steps:
        raise typer.Exit(1)


def explain_command(file: str = FILE, req: int = typer.Argument(...)) -> None:
    """Why a req went where it went."""
    part = index.seek(whole(file), request_id=req)
    try:
        lines = list(explain(recording.read(part), _module(None), req)) if part else []
    except (BadRecordingError, BadStateError, BadRecordError) as error:
        raise stop(error) from None
    if not lines:
        raise stop(f"req {req} is not in this capture", 1)
    typer.echo("\n".join(lines))


SET = typer.Option([], "--set", help="a setting in the place of the recorded one: name=value")


def whatif_command(
    file: str = FILE,
    module: str | None = MODULE,
    wishes: list[str] = SET,
    json: bool = typer.Option(False, "--json"),
) -> None:
    """The same day under another module or other settings.

    What would have come of it, as far as the record is evidence. Exits 1 where a rule is broken.
    """
    from gradegap.capture import whatif

    try:
        found = whatif.whatif(recording.read(whole(file)), _module(module), wishes)
    except (BadRecordingError, BadWhatIfError, BadRecordError) as error:
        raise stop(error) from None
    if json:
        typer.echo(msgspec.json.encode(found).decode())
    else:
        for field in msgspec.structs.fields(found.recorded):
            was, would = getattr(found.recorded, field.name), getattr(found.played, field.name)
            typer.echo(f"{field.encode_name:12} {round(was, 4):>10} recorded {round(would, 4):>10} played")
        answers = ", ".join(f"{found.answers[k]} {k}" for k in ("near", "far", "modelled"))
        typer.echo(f"what servers said: {answers}")
        if found.first_other is not None:
            at, request_id, was, now = found.first_other
            typer.echo(
                f"the first req that is placed otherwise: {request_id} at {at:.3f}, {was} and now {now}"
            )
        if found.observed_until is not None:
            typer.echo(f"from {found.observed_until:.3f} on the record alone is no evidence of what follows")
        for gap in found.gaps:
            typer.echo(f"gap, at which it ends: {gap}")
        for line in found.violations:
            typer.echo(f"a rule is broken at {line}")
    if found.violations:
        raise typer.Exit(1)


__all__ = ["capture", "explain_command", "replay_command", "whatif_command"]
