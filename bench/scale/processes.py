"""Starts, watches and ends the child processes of a run; no child outlives the run, however it ends."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec

ROOT = Path(__file__).resolve().parent.parent.parent
TERMINATION_TIMEOUT_S = 3.0  # time between SIGTERM and SIGKILL
MAX_MESSAGE_BYTES = 1 << 20  # largest line of a child
PR_SET_PDEATHSIG = 1
Answer = TypeVar("Answer", bound=msgspec.Struct)
_libc = ctypes.CDLL(None, use_errno=True)


class ChildFailedError(RuntimeError):
    """A child ended, or did not answer, while the run still needed it."""


def die_with_parent() -> None:
    """Makes the kernel kill the calling child when its parent ends, even by SIGKILL."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def write_json(path: Path, value: Any) -> None:
    """Writes a JSON file atomically, through a temporary file that is renamed."""
    path.parent.mkdir(parents=True, exist_ok=True)
    handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.", suffix=".part")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(value), indent=1) + b"\n")
            file.flush()
            os.fsync(file.fileno())
        os.chmod(name, 0o644)
        os.replace(name, path)
    except BaseException:
        with contextlib.suppress(OSError):
            os.unlink(name)
        raise


@dataclass(eq=False)
class Child:
    """A process that reads JSON lines from its standard input, and may write some to its output."""

    name: str
    process: asyncio.subprocess.Process
    log: Path
    expected_to_end: bool = False

    @property
    def pid(self) -> int:
        """Process id of the child."""
        return self.process.pid

    def alive(self) -> bool:
        """Returns whether the child runs."""
        return self.process.returncode is None

    def send(self, message: msgspec.Struct) -> None:
        """Sends a message; does nothing if the child has ended."""
        if self.process.stdin is not None and self.alive():
            self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def receive(self, answer: type[Answer], within: float) -> Answer:
        """Returns the next message of the child.

        Raises:
            ChildFailedError: the child has ended, or sends no message within `within` seconds.
        """
        assert self.process.stdout is not None
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), within)
        except TimeoutError:
            raise ChildFailedError(
                f"{self.name} sent no message within {within:.0f} s{self.log_tail()}"
            ) from None
        if not line:
            raise ChildFailedError(f"{self.name} ended{self.log_tail()}")
        return msgspec.json.decode(line, type=answer)

    def log_tail(self) -> str:
        """Returns the last line of the log to append to an error message, or an empty string."""
        with contextlib.suppress(OSError):
            if text := self.log.read_text(errors="replace").strip():
                return ": " + text.splitlines()[-1][-300:]
        return ""

    def kill(self) -> None:
        """Kills the child at once, as a loss of power would."""
        self.expected_to_end = True
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()


class Children:
    """All child processes of a run."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.children: list[Child] = []

    async def start(self, name: str, arguments: Sequence[str], env: Mapping[str, str] | None = None) -> Child:
        """Starts `python -m ARGUMENTS` with its log in the folder of the run."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=file,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1", **(env or {})},
                preexec_fn=die_with_parent,
                limit=MAX_MESSAGE_BYTES,
            )
        child = Child(name, process, log)
        self.children.append(child)
        return child

    def unexpected_ends(self) -> list[str]:
        """Returns the names of the children that ended unexpectedly."""
        return [c.name for c in self.children if not c.alive() and not c.expected_to_end]

    async def end_all(self) -> None:
        """Ends all children by SIGTERM, then by SIGKILL, and waits for them."""
        living = [c for c in self.children if c.alive()]
        for child in living:
            child.expected_to_end = True
            with contextlib.suppress(ProcessLookupError):
                child.process.terminate()
        _, slow = await _wait_all(living, TERMINATION_TIMEOUT_S)
        for child in slow:
            with contextlib.suppress(ProcessLookupError):
                child.process.kill()
        await _wait_all(slow, TERMINATION_TIMEOUT_S)


async def _wait_all(children: Sequence[Child], within: float) -> tuple[list[Child], list[Child]]:
    """Waits up to `within` seconds; returns the children that ended, and the others."""
    if children:
        await asyncio.wait([asyncio.ensure_future(c.process.wait()) for c in children], timeout=within)
    return [c for c in children if not c.alive()], [c for c in children if c.alive()]


@contextlib.asynccontextmanager
async def children(folder: Path) -> AsyncIterator[Children]:
    """Provides children that are all ended when the block ends, also after an error."""
    started = Children(folder)
    try:
        yield started
    finally:
        await asyncio.shield(started.end_all())
