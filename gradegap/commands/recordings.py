"""Shared code of the commands on recordings: files, decision modules, and errors that end a command."""

from __future__ import annotations

from pathlib import Path
from types import ModuleType

import typer

from gradegap.capture import decision_module, frames, recording
from gradegap.capture.errors import BadModuleError, BadRecordingError
from gradegap.commands.base import ExitCode, failure

FILE = typer.Argument(..., help="a recording")
MODULE = typer.Option(
    None, "--module", help="file with another Balancer, or folder with a changed copy of gradegap/balancing"
)


def read_recording(path: str) -> bytes:
    """Read a file, and check that it is a recording."""
    try:
        data = recording.read_file(path)
        frames.check_magic(data)
    except BadRecordingError as error:
        raise failure(str(error), ExitCode.BAD_CALL) from None
    return data


def write_new(path: str, data: bytes) -> None:
    """Write a file that must not exist yet."""
    try:
        with Path(path).open("xb") as file:
            file.write(data)
    except OSError as error:
        raise failure(f"{path} can't be written: {error.strerror}", ExitCode.BAD_CALL) from None


def load_module(path: str | None) -> ModuleType:
    """Load the decision module at a path, or the program's own if the path is None."""
    try:
        return decision_module.load(path)
    except BadModuleError as error:
        raise failure(str(error), ExitCode.BAD_CALL) from None
