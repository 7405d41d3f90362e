"""A small deployment for the cases: nodes with store members as processes, and stand-ins for all others.

Nodes are started with the command of `deploy/balancer.toml`, with the settings that the tests have for
prairie-saves. Save servers, discovery and clients are those of `tests/support/node_environment.py`.
Everything is on loopback and in a temporary folder, and every process started here is killed at the end.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Protocol, TypeVar

from tests.support.deployments import PUSHED
from tests.support.node_environment import Client, DiscoveryServer, EndpointServer, free_port
from tests.support.relay import Relay

ROOT = Path(__file__).resolve().parents[1]
RUN_COMMAND: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
LONGEST_RUN_S = 110
STOP_SIGNALS = (signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseNotRunError(Exception):
    """The case could not be brought to the point at which the rule is checked."""


class Record:
    """What was sent, answered and run, one line each, with the time since the start in s."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
            self._file.flush()


def wait_until(condition: Callable[[], bool], within_s: float, what: str) -> None:
    """Poll a condition; the case can't run if it is not met in time."""
    end = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > end:
            raise CaseNotRunError(f"{what}: not within {within_s} s")
        time.sleep(0.02)


def call_console(address: str, method: str, path: str, timeout_s: float = 5.0) -> int:
    """Make one call at a node's admin API; returns the status, or 0 without an answer."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
            sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
            line = sock.makefile("rb").readline().decode()
    except OSError:
        return 0
    return int(line.split()[1]) if line.startswith("HTTP/") else 0


class Node:
    """One process of a node with a member of the store."""

    def __init__(self, deployment: Deployment, name: str, console: str, log: Path) -> None:
        self.deployment, self.name, self.console, self.log = deployment, name, console, log
        folder = deployment.folder / name
        base = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        env = base | {
            "NODE_CONFIG": str(folder / "config.json"),
            "NODE_CONSOLE": console,
            "GRADEGAP_OPERATOR": str(folder / "operator.toml"),
            "TMPDIR": str(folder / "tmp"),
            "PYTHONUNBUFFERED": "1",
        }
        with log.open("ab") as output:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", RUN_COMMAND], cwd=ROOT, env=env, stdout=output, stderr=output
            )
        deployment.processes.append(self.process)
        deployment.record.write(
            f"run {name}: {RUN_COMMAND}, console {console}, process {len(deployment.processes)}"
        )

    def ping(self) -> str:
        """Send `PING` as the front does; returns the answer, or an empty text without one."""
        return self._ask("PING")

    def open(self, ident: str, wait_ms: int = 1500) -> str:
        """Send a client's first line; returns the node's answer, and ends the connection."""
        answer = self._ask(f"OPEN {ident} 7f3a c=inventory,d={wait_ms},g={ident}")
        self.deployment.record.write(f"client at {self.name}: OPEN {ident} -> {answer or 'no answer'}")
        return answer

    def _ask(self, line: str) -> str:
        try:
            client = Client(self.deployment.addresses[self.name])
        except OSError:
            return ""
        with contextlib.closing(client.sock):
            try:
                client.send(line)
                return client.read_line()
            except OSError:
                return ""

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.deployment.record.write(f"{number.name} to {self.name}")
        self.process.send_signal(number)


class Deployment:
    """Three nodes, each a member of one store, two save servers, and an agent of discovery for each node."""

    def __init__(self, record: Record, member_delay_s: float = 0.0) -> None:
        """`member_delay_s` is the one-way delay between two members, by a relay in front of each."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.save_servers = [EndpointServer("a"), EndpointServer("b")]
        self.names = ["n1", "n2", "n3"]
        self.addresses = {name: f"127.0.0.1:{free_port()}" for name in self.names}
        self.members = {name: f"127.0.0.1:{free_port()}" for name in self.names}
        self.consoles = {name: f"127.0.0.1:{free_port()}" for name in self.names}
        self.discovery = {
            name: DiscoveryServer([server.entry for server in self.save_servers]) for name in self.names
        }
        self.nodes: dict[str, Node] = {}
        self.relay = Relay()
        self.relay.delay_s = member_delay_s
        self.advertised = dict(self.members)
        if member_delay_s:
            for name, address in self.members.items():
                self.advertised[name] = self.relay.add_route(name, address)
            self.relay.start()
        for name in self.names:
            self._write_files(name)

    def _write_files(self, name: str) -> None:
        folder = self.folder / name
        (folder / "tmp").mkdir(parents=True)
        config = {
            "name": name,
            "listen": self.addresses[name],
            "discovery": self.discovery[name].address,
            "seed": f"8c1f{name[1:]}",
            "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 1024},
            "known": {"version": 1, "full": True, "servers": [s.entry for s in self.save_servers]},
            "settings": PUSHED,
        }
        (folder / "config.json").write_text(json.dumps(config))
        peers = ", ".join(
            f'{{name = "{peer}", address = "{self.advertised[peer]}"}}' for peer in self.names if peer != name
        )
        (folder / "operator.toml").write_text(
            f'[store]\nname = "{name}"\nlisten = "{self.members[name]}"\n'
            f'advertise = "{self.advertised[name]}"\ndata = "{folder / "data"}"\npeers = [{peers}]\n'
        )

    def start(self, name: str) -> Node:
        """Start a node's process; the node can be started again after its process has ended."""
        node = self.nodes[name] = Node(self, name, self.consoles[name], self.folder / f"{name}.log")
        return node

    def start_all(self) -> None:
        """Start all nodes, and wait until each answers `PONG`."""
        for name in self.names:
            self.start(name)
        for node in self.nodes.values():
            wait_until(lambda node=node: node.ping() == "PONG", 30.0, f"{node.name} is ready")  # type: ignore[misc]
            self.record.write(f"{node.name} answers PONG")

    def start_successor(self, name: str) -> Node:
        """Start a second process of a node beside the first, as for a hot restart, with its own console."""
        return Node(self, name, f"127.0.0.1:{free_port()}", self.folder / f"{name}-successor.log")

    def store(self, name: str, *words: str) -> subprocess.CompletedProcess[str]:
        """Run `gradegap store ...` at the member of a node."""
        command = [
            str(ROOT / ".venv/bin/python"),
            "-m",
            "gradegap",
            "store",
            *words,
            "--node",
            self.members[name],
        ]
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        self.processes.append(process)
        out, err = process.communicate()
        result = subprocess.CompletedProcess(command, process.returncode, out.decode(), err.decode())
        shown = " ".join(word if len(word) < 60 else f"({len(word)} bytes)" for word in words)
        output = (result.stdout or result.stderr).strip().replace("\n", "; ")
        self.record.write(f"store {shown} at {name}: exit {result.returncode}, {output[:160]!r}")
        return result

    def all_serve(self, within_s: float) -> bool:
        """Return whether all nodes answer `PONG` at one moment within the given time."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if all(node.ping() == "PONG" for node in self.nodes.values()):
                return True
            time.sleep(0.1)
        return False

    def count_served(self, duration_s: float) -> dict[str, int]:
        """Open a request at each node twice a second; returns how many of them each node served."""
        served, asked = dict.fromkeys(self.names, 0), 0
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            asked += 1
            for name, node in self.nodes.items():
                served[name] += node.open(f"bbbb{name[1:]}{asked:011x}").startswith("UP ")
                self.record.write(f"front at {name}: PING -> {node.ping()}")
            time.sleep(0.5)
        self.record.write(f"of {asked} requests at each node were served: {served}")
        for name, node in self.nodes.items():
            self.record.write(f"process of {name} runs: {node.process.poll() is None}")
            self.store(name, "status")
        return served

    def leader(self) -> str:
        """Return the node whose member leads; empty if there is none."""
        for name in self.names:
            result = self.store(name, "status", "--json", "--timeout", "1")
            if result.returncode == 0 and json.loads(result.stdout)["role"] == "leader":
                return name
        return ""

    def close(self) -> None:
        """Kill every process that was started here, and remove the temporary folder."""
        for server in self.save_servers:
            for line in server.open_lines:
                self.record.write(f"save server {server.name} got: {line}")
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for agent in self.discovery.values():
            agent.server.shutdown()
        shutil.rmtree(self.folder, ignore_errors=True)


def _stop_run(number: int, frame: FrameType | None) -> None:
    raise CaseNotRunError(f"ended by {signal.Signals(number).name}; SIGALRM comes after {LONGEST_RUN_S} s")


class Closable(Protocol):
    """What a case runs on."""

    def close(self) -> None:
        """End all processes that were started."""


Setup = TypeVar("Setup", bound=Closable)


def run_case(record_path: Path, case: Callable[[Setup], bool], set_up: Callable[[Record], Setup]) -> None:
    """Run a case, which returns whether the rule held; exits with 0, 1 (broken) or 2 (could not run)."""
    for number in STOP_SIGNALS:
        signal.signal(number, _stop_run)
    signal.alarm(LONGEST_RUN_S)
    record = Record(record_path)
    record.write(f"TROUBLE={int(TROUBLE)}")
    status, deployment = NOT_RUN, None
    try:
        deployment = set_up(record)
        status = HELD if case(deployment) else BROKEN
    except Exception:
        record.write("could not run: " + traceback.format_exc())
    finally:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)  # nothing may interrupt the end of the processes
        if deployment is not None:
            deployment.close()
    result = {HELD: "the rule held", BROKEN: "the rule was BROKEN", NOT_RUN: "the case could not run"}[status]
    record.write(f"{result}; exit {status}")
    sys.stdout.write(f"{record_path.parent.name}: {result}\n")
    sys.stdout.flush()
    os._exit(status)  # the stand-ins' threads need not end
