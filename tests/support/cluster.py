"""Members of a store as processes, each behind a relay, with operations that inject faults."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from gradegap.store import wire
from gradegap.store.errors import RequestFailedError
from gradegap.store.member_client import MemberClient
from tests.support.node_environment import ROOT, free_port, wait_for
from tests.support.relay import Relay

SECRET = b"0123456789abcdef of a test"


class Cluster:
    """Members `n1` to `nN`; each can be killed, suspended, restarted and partitioned."""

    def __init__(
        self, folder: Path, size: int = 3, env: dict[str, str] | None = None, relayed: bool = True
    ) -> None:
        self.folder, self.relayed = folder, relayed
        self.env = os.environ | {"PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"} | (env or {})
        self.names = [f"n{number}" for number in range(1, size + 1)]
        self.relay = Relay()
        self.listen_addresses: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        (folder / "secret").write_bytes(SECRET)
        for name in self.names:
            self.add_member(name)
        self.relay.start()

    def add_member(self, name: str) -> None:
        self.listen_addresses[name] = f"127.0.0.1:{free_port()}"
        if self.relayed:
            self.relay.add_route(name, self.listen_addresses[name])
        else:
            self.relay.addresses[name] = self.listen_addresses[name]

    def write_config(self, name: str, names: list[str] | None = None, more: str = "") -> Path:
        peers = [member for member in names or self.names if member != name]
        peer_tables = ", ".join(
            f'{{name = "{peer}", address = "{self.relay.addresses[peer]}"}}' for peer in peers
        )
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'[store]\nname = "{name}"\nlisten = "{self.listen_addresses[name]}"\n'
            f'advertise = "{self.relay.addresses[name]}"\ndata = "{self.folder / name}"\n'
            f'secret = "{self.folder / "secret"}"\npeers = [{peer_tables}]\n{more}'
        )
        return path

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def start(self, name: str, env: dict[str, str] | None = None, names: list[str] | None = None) -> None:
        command = [sys.executable, "-m", "tests.support.store_process", "store", "serve"]
        command += ["--operator", str(self.write_config(name, names))]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, env=self.env | (env or {}), cwd=ROOT, stdout=log, stderr=log
            )

    def start_all(self) -> None:
        for name in self.names:
            self.start(name)
        wait_for(self.leader, 15.0)

    def member_client(self, name: str, wait: float = 5.0) -> MemberClient:
        return MemberClient(self.listen_addresses[name], SECRET, wait)

    def status(self, name: str) -> dict[str, Any]:
        with self.member_client(name, 1.0) as client:
            return client.status()

    def running(self) -> list[str]:
        return [member for member, process in self.processes.items() if process.poll() is None]

    def leader(self, among: list[str] | None = None) -> str:
        """Returns the name of a leader that holds its lease, or an empty string."""
        for name in among or self.running():
            with contextlib.suppress(RequestFailedError):
                status = self.status(name)
                if status["role"] == "leader" and status["lease_ms"] > 0:
                    return name
        return ""

    def others(self, name: str) -> list[str]:
        return [member for member in self.names if member != name]

    def kill(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()

    def suspend(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGCONT)

    def cli(self, *words: str, timeout: float = 30.0) -> subprocess.CompletedProcess[str]:
        command_line = [sys.executable, "-m", "gradegap", *words]
        env = self.env | {"GRADEGAP_STORE_SECRET": str(self.folder / "secret")}
        return subprocess.run(
            command_line, capture_output=True, text=True, cwd=ROOT, timeout=timeout, env=env
        )

    def counters(self, name: str) -> dict[str, str]:
        before = self.log(name).count("event=counters")
        self.processes[name].send_signal(signal.SIGUSR1)
        wait_for(lambda: self.log(name).count("event=counters") > before)
        last_event = [line for line in self.log(name).splitlines() if "event=counters" in line][-1]
        return dict(field.split("=", 1) for field in last_event.split() if "=" in field)

    def has_equal_states(self) -> bool:
        """Returns whether all running members hold the same keys at the same revision."""
        digests = set()
        for name in self.running():
            try:
                with self.member_client(name, 2.0) as client:
                    answer = client.request(wire.Digest())
            except RequestFailedError:
                return False
            digests.add((answer.revision, answer.text))
            if len(digests) > 1:
                return False
        return len(digests) == 1

    def stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.relay.stop()


@contextlib.contextmanager
def cluster(folder: Path, size: int = 3, started: bool = True, **env: str) -> Iterator[Cluster]:
    created = Cluster(folder, size, env)
    try:
        if started:
            created.start_all()
        yield created
        for name in created.names:
            if (created.folder / f"{name}.log").exists():
                assert "Traceback" not in created.log(name), created.log(name)
    finally:
        created.stop()


def put(members: Cluster, name: str, key: str, value: Any, wait: float = 5.0) -> int:
    with members.member_client(name, wait) as client:
        return client.set(key, value)


def value(members: Cluster, name: str, key: str) -> Any:
    with members.member_client(name) as client:
        return client.value(key)


def value_if_reachable(members: Cluster, name: str, key: str) -> Any:
    """Returns the value that a member has for a key, or None while the member is unreachable."""
    try:
        return value(members, name, key)
    except RequestFailedError:
        return None


def status_if_reachable(members: Cluster, name: str) -> dict[str, Any]:
    try:
        return members.status(name)
    except RequestFailedError:
        return {"role": "", "members": [], "removed": False}


def write_through_any(members: Cluster, name: str, key: str, among: list[str]) -> Any:
    """Tries to write through each of `among` in order; returns the first revision, or None if all fail."""
    for other in among:
        try:
            return put(members, other, key, name, 2.0)
        except RequestFailedError:
            pass
    return None
