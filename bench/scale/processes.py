"""Child processes of a run: started, watched and ended. Whatever ends the run, none is left behind."""

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
TERMINATION_TIMEOUT_S = 3.0  # from SIGTERM to SIGKILL
MAX_MESSAGE_LENGTH = 1 << 20  # bytes of a line
PR_SET_PDEATHSIG = 1
Answer = TypeVar("Answer", bound=msgspec.Struct)
_libc = ctypes.CDLL(None, use_errno=True)


class ChildFailedError(RuntimeError):
    """A child ended, or said nothing, where it had to go on."""


def die_with_parent() -> None:
    """Runs in a new child: the system kills it when this process ends, even by SIGKILL."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def write_json(path: Path, value: Any) -> None:
    """All of the file or nothing of it: written beside it, and renamed."""
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
    """A process that takes JSON lines on its standard input, and may write some to its output."""

    name: str
    process: asyncio.subprocess.Process
    log: Path
    expected_to_end: bool = False

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.process.pid

    def alive(self) -> bool:
        """Whether it runs."""
        return self.process.returncode is None

    def send(self, message: msgspec.Struct) -> None:
        """Send it a message; nothing where it has ended."""
        if self.process.stdin is not None and self.alive():
            self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def receive(self, answer: type[Answer], within: float) -> Answer:
        """Its next message; `ChildFailedError` where none comes within so many seconds, or it has ended."""
        assert self.process.stdout is not None
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), within)
        except TimeoutError:
            raise ChildFailedError(f"{self.name} said nothing for {within:.0f} s{self.log_tail()}") from None
        if not line:
            raise ChildFailedError(f"{self.name} ended{self.log_tail()}")
        return msgspec.json.decode(line, type=answer)

    def log_tail(self) -> str:
        """The last line of its log, as the end of an error's text; empty where it has none."""
        with contextlib.suppress(OSError):
            if text := self.log.read_text(errors="replace").strip():
                return ": " + text.splitlines()[-1][-300:]
        return ""

    def kill(self) -> None:
        """Kill it at once, as a machine that loses power."""
        self.expected_to_end = True
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()


class Children:
    """All children of a run."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.children: list[Child] = []

    async def start(self, name: str, arguments: Sequence[str], env: Mapping[str, str] | None = None) -> Child:
        """Run `python -m ARGUMENTS`, its log in the run's folder."""
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
                limit=MAX_MESSAGE_LENGTH,
            )
        child = Child(name, process, log)
        self.children.append(child)
        return child

    def unexpected_ends(self) -> list[str]:
        """The names of those that ended by themselves."""
        return [c.name for c in self.children if not c.alive() and not c.expected_to_end]

    async def end_all(self) -> None:
        """SIGTERM, then SIGKILL; returns once all have been waited for."""
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
    """Those that ended within the time, and the others."""
    if children:
        await asyncio.wait([asyncio.ensure_future(c.process.wait()) for c in children], timeout=within)
    return [c for c in children if not c.alive()], [c for c in children if c.alive()]


@contextlib.asynccontextmanager
async def children(folder: Path) -> AsyncIterator[Children]:
    """Children that all are ended when the block is left, by whatever way."""
    started = Children(folder)
    try:
        yield started
    finally:
        await asyncio.shield(started.end_all())
