"""What the commands on recordings share: files, modules, and how an error ends a command."""

from __future__ import annotations

from pathlib import Path
from types import ModuleType

import typer

from gradegap.capture import decision_module, frames, recording
from gradegap.capture.errors import BadModuleError, BadRecordingError
from gradegap.commands.base import ExitCode, failure

FILE = typer.Argument(..., help="a recording")
MODULE = typer.Option(
    None, "--module", help="a file with another Balancer, or a folder: a changed copy of gradegap/balancing"
)


def read_recording(path: str) -> bytes:
    """A file's bytes, known to be a recording."""
    try:
        data = recording.read_file(path)
        frames.check_magic(data)
    except BadRecordingError as error:
        raise failure(str(error), ExitCode.BAD_CALL) from None
    return data


def write_new(path: str, data: bytes) -> None:
    """Write a file that is not there yet."""
    try:
        with Path(path).open("xb") as file:
            file.write(data)
    except OSError as error:
        raise failure(f"{path} can't be written: {error.strerror}", ExitCode.BAD_CALL) from None


def load_module(path: str | None) -> ModuleType:
    """The decision module at a path; the program's own where none is given."""
    try:
        return decision_module.load(path)
    except BadModuleError as error:
        raise failure(str(error), ExitCode.BAD_CALL) from None
