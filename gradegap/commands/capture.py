"""`gradegap capture ...`: summarise, cut, filter, convert and merge recordings."""

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
SHIFT = typer.Option([], "--shift", help="seconds by which a file's clock is behind; once for each file")
KEY = typer.Option(..., "--key", help="file with the key of the hash")
KINDS = typer.Option([], "--kind", help="kinds of events: Request, Outcome, ...")
OUT = typer.Option(..., "--out", help="file to write; must not exist")
ABSOLUTE_TIME_MIN_S = 1e6  # a smaller time is relative to the beginning of the recording


@capture.command()
def info(file: str = FILE, json: bool = typer.Option(False, "--json")) -> None:
    """Print a summary of a recording, including damaged and missing parts."""
    summary = _summary(read_recording(file))
    if json:
        typer.echo(to_json(summary))
    else:
        for name, value in summary.items():
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
    since: float = typer.Option(
        -1e18, "--from", help="clock time, or seconds from the beginning if below 1e6"
    ),
    until: float = typer.Option(1e18, "--to", help="end, in the form of --from"),
) -> None:
    """Write a part of a recording that can be replayed alone: from the state before `--from` up to `--to`."""
    data = read_recording(file)
    base = next((frame.first_at for frame in _undamaged_frames(data)), 0.0)
    since = since + base if abs(since) < ABSOLUTE_TIME_MIN_S else since
    until = until + base if abs(until) < ABSOLUTE_TIME_MIN_S else until
    part = index.seek(data, since, until)
    if not part:
        raise failure(f"{file} has no recorded state before --from", ExitCode.BAD_CALL)
    packed = b"".join(_pack_until(frame, until) for frame in _undamaged_frames(part))
    write_new(out, index.sealed(frames.MAGIC + packed))


def _undamaged_frames(data: bytes) -> Iterator[Frame]:
    return (frame for frame in frames.read(data) if not isinstance(frame, Damage))


def _pack_until(frame: Frame, until: float) -> bytes:
    """Pack a frame without the steps after `until`; returns no bytes if no step is left."""
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
    """Print steps as JSON lines, by kind, server or request. The output cannot be replayed."""
    if unknown_kinds := set(kind) - records.EVENTS.keys():
        raise failure(
            f"there is no kind {sorted(unknown_kinds)[0]}; there are {', '.join(sorted(records.EVENTS))}",
            ExitCode.BAD_CALL,
        )

    def is_wanted(step: recording.Step) -> bool:
        subjects = {name for value in (step.event, *step.actions) for name in records.names(value)}
        return (
            (not kind or records.stored_name(step.event) in kind)
            and (not server or server in subjects)
            and (request_id < 0 or request_id in subjects)
        )

    _print_steps(file, is_wanted)


@capture.command()
def plot(
    file: str = FILE, out: str = typer.Option(..., "--out", help="image file to write: .png, .svg, .pdf")
) -> None:
    """Plot requests, attempts, answers, connections and loads over time (needs gradegap[plot])."""
    from gradegap.capture.plot import draw

    data = read_recording(file)
    if Path(out).exists():
        raise failure(f"{out} already exists", ExitCode.BAD_CALL)
    try:
        draw(recording.read(data), out, Path(file).name)
    except ModuleNotFoundError:
        raise failure("plot requires matplotlib: pip install gradegap[plot]", ExitCode.BAD_CALL) from None
    except (OSError, ValueError) as error:
        raise failure(f"{out} can't be written: {error}", ExitCode.BAD_CALL) from None


@capture.command()
def export(file: str = FILE) -> None:
    """Print all steps as JSON lines."""
    _print_steps(file, lambda step: True)


def _print_steps(file: str, is_wanted: Callable[[recording.Step], bool]) -> None:
    for item in recording.read(read_recording(file)):
        if isinstance(item, recording.Gap):
            typer.echo(msgspec.json.encode({"gap": item.reason}))
        elif isinstance(item, recording.Step) and is_wanted(item):
            typer.echo(_step_json(item, item.at))


def _step_json(step: recording.Step, at: float, **extra_fields: str) -> bytes:
    """Encode a step as a line of JSON with the time `at` and further fields."""
    actions = [records.plain(action) for action in step.actions]
    row = {"seq": step.number, "at": at, "event": records.plain(step.event), "actions": actions}
    return msgspec.json.encode(extra_fields | row)


@capture.command("redact")
def redact_command(file: str = FILE, out: str = OUT, key: str = KEY) -> None:
    """Write a copy with a keyed hash for each id that names a player; reports if it no longer replays."""
    from gradegap.capture.redaction import IdHasher, redact

    try:
        hasher = IdHasher(Path(key).read_bytes().strip())
    except OSError as error:
        raise failure(f"{key} can't be read: {error.strerror}", ExitCode.BAD_CALL) from None
    try:
        data = redact(read_recording(file), hasher.hashed)
    except (BadRecordError, KeyError, TypeError, ValueError) as error:
        raise failure(f"{file} cannot be redacted: {error}", ExitCode.BAD_CALL) from None
    write_new(out, index.sealed(data))
    report = replay.replay(recording.read(data), load_module(None))
    if report.difference is not None or report.state_differs:
        typer.echo("it explains, and replays no more: this node placed groups by their names")


@capture.command()
def merge(files: list[str] = FILES, shift: list[float] = SHIFT) -> None:
    """Print the steps of several nodes as JSON lines in the order of their clocks.

    `--shift` S, given once for each file, adds S seconds to a clock that is known to be behind.
    """
    if shift and len(shift) != len(files):
        raise failure(
            f"--shift must be given once for each of {len(files)} files, got {len(shift)}", ExitCode.BAD_CALL
        )
    rows: list[tuple[float, int, int, str, recording.Step]] = []
    for file_index, path in enumerate(files):
        data, node = read_recording(path), path
        for frame in _undamaged_frames(data):
            if frame.kind is FrameKind.START:
                node = frame.body.get("node", path)
        shift_s = shift[file_index] if shift else 0.0
        steps = (item for item in recording.read(data) if isinstance(item, recording.Step))
        rows += [(step.at + shift_s, file_index, step.number, node, step) for step in steps]
    for at, _, _, node, step in sorted(rows, key=lambda row: row[:3]):
        typer.echo(_step_json(step, at, node=node))
