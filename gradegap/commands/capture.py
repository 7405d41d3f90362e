"""`gradegap capture ...`: what a recording holds, parts of it, and other forms of it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import typer

from gradegap.capture import frames, index, recording, records, replay
from gradegap.capture.errors import BadRecordError
from gradegap.capture.frames import Damage, Frame, FrameKind
from gradegap.commands.base import ExitCode, failure, to_json
from gradegap.commands.recordings import FILE, load_module, read_recording, write_new

capture = typer.Typer(help="Recordings of events and actions of the balancer.", no_args_is_help=True)

FILES = typer.Argument(..., help="recordings of several nodes")
SHIFT = typer.Option([], "--shift", help="seconds that a file's clock is behind, one for each file")
KEY = typer.Option(..., "--key", help="a file with the key of the hash")
KINDS = typer.Option([], "--kind", help="kinds of events: Request, Outcome, ...")
OUT = typer.Option(..., "--out", help="the file to write; it must not be there")
CLOCKS_FROM = 1e6  # a time below this counts from the recording's beginning


@capture.command()
def info(file: str = FILE, json: bool = typer.Option(False, "--json")) -> None:
    """What a recording holds, and what of it is damaged or missing."""
    found = _summary(read_recording(file))
    if json:
        typer.echo(to_json(found))
    else:
        for name, value in found.items():
            typer.echo(f"{name}: {value}")


def _summary(data: bytes) -> dict[str, Any]:
    kinds: Counter[str] = Counter()
    events: Counter[str] = Counter()
    start: dict[str, Any] = {}
    first_at = last_at = 0.0
    gaps = []
    for frame in frames.read(data):
        if isinstance(frame, Damage):
            gaps.append(f"{frame.length} bytes at {frame.offset}: {frame.reason}")
            continue
        kinds[frame.kind.name.lower()] += 1
        if frame.kind is FrameKind.START and isinstance(frame.body, dict):
            start = start or frame.body
        elif frame.kind is FrameKind.STEPS:
            first_at, last_at = first_at or frame.first_at, frame.last_at
            events.update(str(row[3][0]) for row in frame.body if row[0] == "s")
        elif frame.kind is FrameKind.GAP:
            gaps.append(f"{frame.record_count} steps were dropped, from {frame.first_number} on")
    steps = sum(events.values())
    return {
        "node": start.get("node"),
        "version": start.get("version"),
        "policy": str(start.get("policy"))[:12],
        "seed": start.get("seed"),
        "from": first_at,
        "seconds": round(last_at - first_at, 3),
        "steps": steps,
        "bytes a step": round(len(data) / max(1, steps), 1),
        "frames": dict(kinds),
        "indexed": index.indexed(data),
        "events": dict(events.most_common()),
        "gaps": gaps,
    }


@capture.command()
def cut(
    file: str = FILE,
    out: str = OUT,
    since: float = typer.Option(-1e18, "--from", help="clock, or seconds from the beginning where below 1e6"),
    until: float = typer.Option(1e18, "--to", help="the same"),
) -> None:
    """A part of a recording that can be replayed by itself: from the state before `--from` to `--to`."""
    data = read_recording(file)
    base = next((frame.first_at for frame in _sound(data)), 0.0)
    since = since + base if abs(since) < CLOCKS_FROM else since
    until = until + base if abs(until) < CLOCKS_FROM else until
    part = index.seek(data, since, until)
    if not part:
        raise failure("there is no state to begin at", ExitCode.BAD_CALL)
    packed = b"".join(_packed_until(frame, until) for frame in _sound(part))
    write_new(out, index.sealed(frames.MAGIC + packed))


def _sound(data: bytes) -> Iterator[Frame]:
    return (frame for frame in frames.read(data) if not isinstance(frame, Damage))


def _packed_until(frame: Frame, until: float) -> bytes:
    """A frame without the steps that come later; nothing where none is left."""
    body, last_at, count = frame.body, frame.last_at, frame.record_count
    if frame.kind is FrameKind.STEPS:
        body = [row for row in frame.body if row[2] <= until]
        if not body:
            return b""
        last_at, count = body[-1][2], len(body)
    return frames.pack(frame.kind, body, count, frame.first_number, frame.first_at, last_at)


@capture.command()
def filter(
    file: str = FILE,
    kind: list[str] = KINDS,
    server: str = typer.Option("", "--server"),
    request_id: int = typer.Option(-1, "--req"),
) -> None:
    """Steps as JSON lines: of some kinds, about one server or request. They can't be replayed."""
    if unknown := set(kind) - records.EVENTS.keys():
        raise failure(
            f"there is no kind {sorted(unknown)[0]}; there are {', '.join(sorted(records.EVENTS))}",
            ExitCode.BAD_CALL,
        )

    def wanted(step: recording.Step) -> bool:
        about = {name for value in (step.event, *step.actions) for name in records.names(value)}
        return (
            (not kind or records.stored_name(step.event) in kind)
            and (not server or server in about)
            and (request_id < 0 or request_id in about)
        )

    _print_steps(file, wanted)


@capture.command()
def plot(
    file: str = FILE, out: str = typer.Option(..., "--out", help="the picture to write: .png, .svg, .pdf")
) -> None:
    """Requests, attempts, answers, connections and loads over time, as a picture (gradegap[plot])."""
    from gradegap.capture.plot import draw

    data = read_recording(file)
    if Path(out).exists():
        raise failure(f"{out} is there already", ExitCode.BAD_CALL)
    try:
        draw(recording.read(data), out, Path(file).name)
    except ModuleNotFoundError:
        raise failure("a plot needs matplotlib: pip install gradegap[plot]", ExitCode.BAD_CALL) from None
    except (OSError, ValueError) as error:
        raise failure(f"{out} can't be written: {error}", ExitCode.BAD_CALL) from None


@capture.command()
def export(file: str = FILE) -> None:
    """All steps as JSON lines."""
    _print_steps(file, lambda step: True)


def _print_steps(file: str, wanted: Callable[[recording.Step], bool]) -> None:
    for item in recording.read(read_recording(file)):
        if isinstance(item, recording.Gap):
            typer.echo(msgspec.json.encode({"gap": item.reason}))
        elif isinstance(item, recording.Step) and wanted(item):
            typer.echo(_step_json(item, item.at))


def _step_json(step: recording.Step, at: float, **more: str) -> bytes:
    """A step as a line of JSON, with another clock."""
    actions = [records.plain(action) for action in step.actions]
    row = {"seq": step.number, "at": at, "event": records.plain(step.event), "actions": actions}
    return msgspec.json.encode(more | row)


@capture.command("redact")
def redact_command(file: str = FILE, out: str = OUT, key: str = KEY) -> None:
    """The same recording with a keyed hash for each id that names a player; says whether it still replays."""
    from gradegap.capture.redaction import IdHasher, redact

    try:
        hasher = IdHasher(Path(key).read_bytes().strip())
    except OSError as error:
        raise failure(f"{key} can't be read: {error.strerror}", ExitCode.BAD_CALL) from None
    try:
        data = redact(read_recording(file), hasher.hashed)
    except (BadRecordError, KeyError, TypeError, ValueError) as error:
        raise failure(f"it can't be redacted: {error}", ExitCode.BAD_CALL) from None
    write_new(out, index.sealed(data))
    report = replay.replay(recording.read(data), load_module(None))
    if report.difference is not None or report.state_differs:
        typer.echo("it explains, and replays no more: this node placed groups by their names")


@capture.command()
def merge(files: list[str] = FILES, shift: list[float] = SHIFT) -> None:
    """Steps of several nodes as JSON lines in the order of their clocks.

    `--shift` S for each file adds S seconds to its clock, where it is known to be behind.
    """
    if shift and len(shift) != len(files):
        raise failure(f"{len(files)} files and {len(shift)} shifts", ExitCode.BAD_CALL)
    rows: list[tuple[float, int, int, str, recording.Step]] = []
    for place, path in enumerate(files):
        data, node = read_recording(path), path
        for frame in _sound(data):
            if frame.kind is FrameKind.START:
                node = frame.body.get("node", path)
        behind = shift[place] if shift else 0.0
        steps = (item for item in recording.read(data) if isinstance(item, recording.Step))
        rows += [(step.at + behind, place, step.number, node, step) for step in steps]
    for at, _, _, node, step in sorted(rows, key=lambda row: row[:3]):
        typer.echo(_step_json(step, at, node=node))
