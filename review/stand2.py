"""What the cases of the second review share: the frame of a case, processes, calls and records."""

from __future__ import annotations

import http.client
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

from gradegap.commands.base import ExitCode
from tests.support.node_environment import (
    ROOT,
    EndpointServer,
    NodeEnvironment,
    free_port,
    wait_for,
)

END_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

RUN_LIMIT_S = 112
"""Longest run of a case; one that takes longer could not run."""


class RuleBrokenError(Exception):
    """The rule of the case was broken; the text says how."""


class RunEndedError(BaseException):
    """The run was told to end, or took too long; no `Exception`, so that no loop of a case handles it."""


class Case:
    """One run of a case: its temporary folder, its record, and the processes that it started."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.temporary = temporary
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self.record_file = (folder / "record.txt").open("w")
        self.nodes: list[NodeEnvironment] = []
        self.processes: list[subprocess.Popen[bytes]] = []

    def record(self, text: str) -> None:
        """Write one line with the time since the start, in s."""
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        self.record_file.write(line + "\n")
        self.record_file.flush()

    def folder(self, name: str) -> Path:
        """Return a new folder of this run."""
        folder = self.temporary / name
        folder.mkdir()
        return folder

    def start_node(
        self,
        place: str,
        servers: list[EndpointServer],
        operator: str | None = None,
        shared: Path | None = None,
        **config: Any,
    ) -> NodeEnvironment:
        """Start a node with the folder `place`; its `TMPDIR` is `shared`, or else that folder."""
        folder = self.folder(place)
        env = {"TMPDIR": str(shared or folder)}
        node = NodeEnvironment(folder, servers, operator, env, **config)
        self.nodes.append(node)
        self.record(f"started node {place} at {node.address}, pid {node.process.pid}")
        return node

    def start_store_member(self, name: str, table: str) -> subprocess.Popen[bytes]:
        """Start a store member without a node."""
        folder = self.folder(name)
        (folder / "store.toml").write_text(table)
        with (folder / "member.log").open("wb") as log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "gradegap",
                    "store",
                    "serve",
                    "--operator",
                    str(folder / "store.toml"),
                ],
                cwd=ROOT,
                env=os.environ | {"TMPDIR": str(folder)},
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        self.record(f"started store member {name}, pid {process.pid}")
        return process

    def command(self, *arguments: str) -> tuple[int, str]:
        """Run one call of the command line; returns its exit status and its output."""
        done = subprocess.run(
            [sys.executable, "-m", "gradegap", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
        )
        output = (done.stdout + done.stderr).strip()
        self.record(f"command {' '.join(arguments)}: status {done.returncode}, {output!r}")
        return done.returncode, output

    def command_until_done(self, *arguments: str, within: float = 20.0) -> str:
        """Repeat a call of the command line until its exit status is 0; returns its output."""
        end = time.monotonic() + within
        while True:
            status, output = self.command(*arguments)
            if status == ExitCode.DONE:
                return output
            assert time.monotonic() < end, f"{arguments} not done within {within} s: {output}"
            time.sleep(0.3)

    def admin(self, method: str, address: str, path: str) -> int:
        """Call a node's admin API; returns the status of its answer."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        try:
            connection.request(method, f"/control/{path}")
            answer = connection.getresponse()
            text = answer.read().decode().strip()
        finally:
            connection.close()
        self.record(f"admin {method} {path} at {address}: {answer.status} {text!r}")
        return answer.status

    def wait_until_ready(self, console: str, within: float = 20.0) -> None:
        """Wait until a node's admin API says that it is ready."""
        end = time.monotonic() + within
        while True:
            try:
                if self.admin("GET", console, "ready") == 200:
                    return
            except OSError:
                pass
            assert time.monotonic() < end, f"{console} not ready within {within} s"
            time.sleep(0.2)

    def close(self) -> None:
        """End all processes that this run started; a second signal can't keep it from that."""
        signal.alarm(0)
        for number in END_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        processes = [node.process for node in self.nodes] + self.processes
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        for node in self.nodes:
            node.discovery.server.shutdown()
            text = node.log.read_text().replace("\n", "\n    ")
            self.record(f"log of the node at {node.address}:\n    {text}")
        self.record_file.close()


def member_table(name: str, address: str, peers: dict[str, str], data: Path, more: str = "") -> str:
    """Return a `[store]` table; `peers` has the addresses of all members by name."""
    others = ", ".join(
        f'{{ name = "{peer}", address = "{each}" }}' for peer, each in peers.items() if peer != name
    )
    table = f'[store]\nname = "{name}"\nlisten = "{address}"\ndata = "{data}"\n'
    return table + (f"peers = [{others}]\n" if others else "") + more


def _end(number: int, frame: FrameType | None) -> None:
    raise RunEndedError(f"ended by {signal.Signals(number).name}; the limit of a run is {RUN_LIMIT_S} s")


def run(folder: Path, body: Callable[[Case], None]) -> int:
    """Run a case; returns 0 if the rule held, 1 if it was broken, 2 if the case couldn't run."""
    for number in (signal.SIGALRM, *END_SIGNALS):
        signal.signal(number, _end)
    signal.alarm(RUN_LIMIT_S)
    with tempfile.TemporaryDirectory(prefix="gg", ignore_cleanup_errors=True) as temporary:
        case = Case(folder, Path(temporary))
        status = 0
        try:
            body(case)
            case.record("the rule held")
        except RuleBrokenError as error:
            case.record(f"RULE BROKEN: {error}")
            status = 1
        except (
            Exception,
            RunEndedError,
        ) as error:  # whatever else goes wrong, the case says nothing about the rule
            case.record(f"could not run: {type(error).__name__}: {error}")
            status = 2
        finally:
            case.close()
    return status


__all__ = ["Case", "EndpointServer", "RuleBrokenError", "free_port", "member_table", "run", "wait_for"]
