"""`gradegap capture ...`, `gradegap replay` and `gradegap explain`."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import typer

from gradegap.capture import explain as explaining
from gradegap.capture import frames, records, replay, state
from gradegap.capture.frames import BadCapture, Damage, Kind

capture = typer.Typer(help="Files of what the module was told and did.", no_args_is_help=True)

FILE = typer.Argument(..., help="a capture")
FILES = typer.Argument(..., help="captures of several nodes")
SHIFT = typer.Option([], "--shift", help="seconds that a file's clock is behind, one for each file")
KEY = typer.Option(..., "--key", help="a file with the key of the hash")
KINDS = typer.Option([], "--kind", help="kinds of events: Request, Outcome, ...")
OUT = typer.Option(..., "--out", help="the file to write; it must not be there")


def stop(error: Exception | str, code: int = 2) -> typer.Exit:
    sys.stderr.write(f"gradegap: {' '.join(str(error).split())}\n")
    return typer.Exit(code)


def whole(path: str) -> bytes:
    try:
        data = replay.load(path)
        next(iter(frames.read(data)), None)
    except BadCapture as error:
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
            bad.append(f"{frame.length} bytes at {frame.offset}: {frame.why}")
            continue
        kinds[frame.kind.name.lower()] += 1
        if frame.kind is Kind.START and isinstance(frame.body, dict):
            start = start or frame.body
        if frame.kind is Kind.STEPS:
            first, last = first or frame.at, frame.until
            events.update(str(row[3][0]) for row in frame.body if row[0] == "s")
        if frame.kind is Kind.GAP:
            bad.append(f"{frame.records} steps were dropped, from {frame.first} on")
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
    found = list(replay.items(data))
    clocks = [i.at for i in found if not isinstance(i, replay.Gap)]
    base = clocks[0] if clocks else 0.0
    since = since + base if abs(since) < 1e6 else since
    until = until + base if abs(until) < 1e6 else until
    kept = [f for f in frames.read(data) if not isinstance(f, Damage)]
    states = [f.first for f in kept if f.kind is Kind.STATE and f.at <= since]
    begins = max(states, default=min((f.first for f in kept if f.kind is Kind.STATE), default=0))
    made, started, start = [frames.MAGIC], False, None
    for f in kept:
        if f.kind is Kind.START:
            start = f.body
            continue
        if f.kind is Kind.STEPS and not started and start is not None:
            for row in f.body:  # settings that a state further on is under
                if row[0] == "a":
                    start = start | {"settings": row[3]}
        if f.kind is Kind.STATE and f.first >= begins and not started:
            made.append(frames.pack(Kind.START, start, 0, f.first, f.at, f.at))
            started = True
        if not started or f.at > until:
            continue
        body = [row for row in f.body if row[2] <= until] if f.kind is Kind.STEPS else f.body
        last = body[-1][2] if f.kind is Kind.STEPS and body else f.until
        if body:
            count = len(body) if f.kind is Kind.STEPS else f.records
            made.append(frames.pack(f.kind, body, count, f.first, f.at, last))
    if not started:
        raise stop("there is no state to begin at")
    write(out, b"".join(made))


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
            (not kind or type(s.event).__name__ in kind)
            and (not server or any(server in replay.names(x) for x in (s.event, *s.actions)))
            and (req < 0 or any(req in replay.names(x) for x in (s.event, *s.actions)))
        ),
    )


@capture.command()
def export(file: str = FILE) -> None:
    """All steps as JSON lines."""
    _lines(file, lambda step: True)


def _line(step: replay.Step, at: float, **more: str) -> bytes:
    """A step as a line of JSON, with its clock as told."""
    actions = [records.plain(a) for a in step.actions]
    row = {"seq": step.seq, "at": at, "event": records.plain(step.event), "actions": actions}
    return msgspec.json.encode(more | row)


def _lines(file: str, wanted: Callable[[replay.Step], bool]) -> None:
    for item in replay.items(whole(file)):
        if isinstance(item, replay.Gap):
            typer.echo(msgspec.json.encode({"gap": item.why}))
        elif isinstance(item, replay.Step) and wanted(item):
            typer.echo(_line(item, item.at))


@capture.command()
def redact(file: str = FILE, out: str = OUT, key: str = KEY) -> None:
    """The same capture with a keyed hash for each id that names a player; says whether it still replays."""
    from gradegap.capture.recorder import Hide
    from gradegap.capture.redact import redact as redacted

    try:
        hide = Hide(Path(key).read_bytes().strip())
    except OSError as error:
        raise stop(f"{key} can't be read: {error.strerror}") from None
    try:
        data = redacted(whole(file), hide.word)
    except (records.BadRecord, KeyError, TypeError, ValueError) as error:
        raise stop(f"it can't be redacted: {error}") from None
    write(out, data)
    found = replay.replay(replay.items(data), _module(None))
    if found.difference is not None or found.state_differs:
        typer.echo("it explains, and replays no more: this node placed groups by their names")


@capture.command()
def merge(files: list[str] = FILES, shift: list[float] = SHIFT) -> None:
    """Steps of several nodes as JSON lines in the order of their clocks; `--shift` S for each file adds S
    seconds to its clock, where it is known to be behind."""
    if shift and len(shift) != len(files):
        raise stop(f"{len(files)} files and {len(shift)} shifts")
    rows = []
    for k, path in enumerate(files):
        data, name = whole(path), path
        for frame in frames.read(data):
            if not isinstance(frame, Damage) and frame.kind is Kind.START:
                name = frame.body.get("node", path)
        plus = shift[k] if shift else 0.0
        rows += [(i.at + plus, k, i.seq, name, i) for i in replay.items(data) if isinstance(i, replay.Step)]
    for at, _, _, name, item in sorted(rows, key=lambda row: row[:3]):
        typer.echo(_line(item, at, node=name))


def _module(path: str | None) -> Any:
    try:
        return replay.module_at(path)
    except replay.BadModule as error:
        raise stop(error) from None


def replay_command(
    file: str = FILE,
    module: str | None = typer.Option(None, "--module", help="another version of the policy file"),
    against: str | None = typer.Option(None, "--against", help="another capture of the same events"),
    since: float = typer.Option(-1e18, "--from", help="clock of the state to begin at, at the latest"),
    until_differs: bool = typer.Option(True, help="stop at the first decision that differs"),
    json: bool = typer.Option(False, "--json"),
) -> None:
    """The same decisions again. Exits 0 where all are, 1 at one that differs."""
    if against is not None:
        _against(file, against)
        return
    made = _module(module)
    try:
        found = replay.replay(replay.items(whole(file)), made, since, until_differs)
    except BadCapture as error:
        raise stop(error) from None
    if json:
        typer.echo(
            msgspec.json.encode(
                {
                    "steps": found.steps,
                    "states": found.states,
                    "digest": found.digest,
                    "gaps": found.gaps,
                    "differs_at": found.difference.step.seq if found.difference else None,
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
            typer.echo(f"step {d.step.seq} at {d.step.at:.6f} differs: {explaining.told(d.step.event)}")
            typer.echo(f"  recorded: {'; '.join(explaining.told(a) for a in d.step.actions) or 'nothing'}")
            typer.echo(f"  replayed: {'; '.join(explaining.told(a) for a in d.did) or 'nothing'}")
            for line in d.about:
                typer.echo(f"  {line}")
            for before in d.before:
                typer.echo(f"  before: {before.at:.6f} {explaining.told(before.event)}")
            typer.echo(
                "  what follows in the record is no evidence for this module: its outcomes are another's"
            )
    if found.difference is not None or found.state_differs:
        raise typer.Exit(1)
    if not found.steps:
        raise stop("nothing could be replayed", 1)


def _against(file: str, other: str) -> None:
    found = replay.compare(replay.items(whole(file)), replay.items(whole(other)))
    typer.echo(f"{found.steps} steps compared")
    for gap in found.gaps:
        typer.echo(f"gap: {gap}")
    if found.first is not None:
        a, b = found.first
        what = "is told otherwise" if found.event else "decides otherwise"
        typer.echo(f"step {a.seq} at {a.at:.6f} {what}")
        for path, step in ((file, a), (other, b)):
            did = "; ".join(explaining.told(x) for x in step.actions) or "nothing"
            typer.echo(f"  {path}: {explaining.told(step.event)} -> {did}")
    if found.first is not None or not found.steps:
        raise typer.Exit(1)


def explain_command(file: str = FILE, req: int = typer.Argument(...)) -> None:
    """Why a req went where it went."""
    try:
        lines = list(explaining.explain(replay.items(whole(file)), _module(None), req))
    except (BadCapture, state.BadState, records.BadRecord) as error:
        raise stop(error) from None
    if not lines:
        raise stop(f"req {req} is not in this capture", 1)
    typer.echo("\n".join(lines))


__all__ = ["capture", "explain_command", "replay_command"]
