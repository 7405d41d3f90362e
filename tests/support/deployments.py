"""Settings of two deployments, written by hand after what their operators say, and a short day for either.

Neither may be forgotten: what serves one by luck has broken the other. Figures that only a day's length
depends on (waits for a list that is asked for) are at the short end.
"""

from __future__ import annotations

import contextlib
import json
import random
import signal
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.support.node_environment import (
    Client,
    EndpointServer,
    free_port,
    is_node_ready,
    read_counters,
    start_process,
    wait_for,
)
from tests.support.silent_discovery import SilentDiscovery

MS = 1_000_000


def lane(name: str, aim: int, limit: int, points: float) -> dict[str, Any]:
    return {"Name": name, "AimNs": aim * MS, "HardLimitNs": limit * MS, "Points": points, "Stream": True}


PUSHED: dict[str, Any] = {  # three data centres, nobody shares, a grace of 2 s
    "Bounds": {"ConnectTimeoutNs": 200 * MS, "MaxAttempts": 4, "MaxRetryAfterNs": 1000 * MS}
    | {"Probes": True, "RetryAfter": True},
    "FamilyInfo": {"Groups": True, "MessageAimNs": [50 * MS, 100 * MS], "Mode": "proxy"},
    "Lanes": [lane("inventory", 300, 1800, 5.0), lane("save-slot", 500, 2000, 3.0)],
    "MembershipMode": "pushed",
    "ReplicasOfMe": 3,
    "Rules": {"DrainGraceNs": 2000 * MS, "AnswerSlackNs": 8 * MS, "AskWithinNs": 10_000 * MS}
    | {"ColdShare": 0.13, "ColdNs": 24_000 * MS, "FallNs": 3000 * MS, "FallMultiple": 2.5},
    "Telemetry": {"Source": "on_probe", "Fields": ["x0", "concurrent"]},
    "Tenants": None,
    "Weights": "live",
}
# Four sites, six tenants (two here) with shares, one list service, a grace of 0.25 s.
ON_REQUEST: dict[str, Any] = {
    "Bounds": {"ConnectTimeoutNs": 250 * MS, "MaxAttempts": 3, "MaxRetryAfterNs": 1500 * MS}
    | {"Probes": True, "RetryAfter": True},
    "FamilyInfo": {"Groups": True, "MessageAimNs": [250 * MS, 100 * MS, 50 * MS], "Mode": "proxy"}
    | {"TellsLoad": True, "TenantQuotaConnections": [12.0, 60.0]},
    "Lanes": [
        lane("album-feed", 500, 3000, 3.0),
        lane("album-edit", 500, 2000, 5.0),
        lane("seen-marks", 300, 1200, 1.0),
    ],
    "MembershipMode": "on_request",
    "OverShareWorth": 0.05,
    "ReplicasOfMe": 3,
    "Rules": {"DrainGraceNs": 250 * MS, "AnswerSlackNs": 8 * MS, "AskWithinNs": 5000 * MS}
    | {"ColdShare": 0.31, "ColdNs": 8600 * MS, "FallNs": 3000 * MS, "FallMultiple": 2.5},
    "Telemetry": {"Source": "on_probe", "Fields": ["x0", "x1", "concurrent"]},
    "Tenants": [{"Name": "small", "Fraction": 0.2}, {"Name": "large", "Fraction": 0.8}],
    "Weights": "rough",
}
DEPLOYMENTS = {"pushed": PUSHED, "asked": ON_REQUEST}


class LoadReportingServer(EndpointServer):
    """A save server whose load is what it holds, and which may send its clients away when it drains."""

    capacity_connections = 60.0  # connections that fill it

    def _serve(self, sock: Any) -> None:
        super()._serve(sock)
        if sock in self.established:
            self.established.remove(sock)
        self.report()

    def report(self) -> None:
        n = len(self.established)
        self.load = f"x0={n / self.capacity_connections + 0.001 * random.random():.4f},x1=0,inflight={n}"

    def migrate_clients(self) -> None:
        for sock in list(self.established):
            with contextlib.suppress(OSError):
                sock.sendall(b"MOVE\r\n")
                sock.shutdown(2)


class NodeProcess:
    """One node as a process, started again under its name with nothing but its last list."""

    def __init__(
        self,
        folder: Path,
        index: int,
        settings: dict[str, Any],
        discovery_server: SilentDiscovery,
        wait: bool = True,
        discovery: str = "",  # its address, where this node has one of its own
    ) -> None:
        self.folder, self.index, self.settings, self.discovery_server = (
            folder,
            index,
            settings,
            discovery_server,
        )
        self.discovery = discovery or discovery_server.address
        self.address = f"127.0.0.1:{free_port()}"
        self.log = folder / f"n{index}.log"
        self.stopped_at = 0.0
        self.killed_pids: set[int] = set()  # processes of it that were
        self.start(wait)

    def start(self, wait: bool = True) -> None:
        known = {
            "version": self.discovery_server.version,
            "full": True,
            "servers": list(self.discovery_server.entries.values()),
        }
        config = {
            "name": f"n{self.index}",
            "listen": self.address,
            "discovery": self.discovery,
            "seed": f"{self.index}f",
        }
        path = self.folder / f"n{self.index}.json"
        path.write_text(json.dumps(config | {"settings": self.settings, "known": known}))
        with self.log.open("ab") as log:
            self.process = start_process(path, log, {}, ["-m", "gradegap"])
        if wait:
            wait_for(self.is_ready, 15.0)
        self.stopped_at = 0.0

    def is_ready(self) -> bool:
        return is_node_ready(self.address)

    def counters(self) -> dict[str, str]:
        return read_counters(self.process, self.log)

    def stop(self, how: signal.Signals) -> None:
        self.stopped_at = time.time()
        if how is signal.SIGKILL:
            self.killed_pids.add(self.process.pid)
        self.process.send_signal(how)
        self.process.wait(10)


@dataclass
class ClientObservations:
    """What clients saw, for the rules."""

    answer_counts: Counter[str] = field(default_factory=Counter)
    late_answers: list[str] = field(default_factory=list)
    lost_connections: list[tuple[float, str]] = field(
        default_factory=list
    )  # connections that ended without MOVE
    established: set[int] = field(default_factory=set)


class ClientThread(threading.Thread):
    """A client that comes again until the day is over."""

    def __init__(self, index: int, day: DeploymentRun) -> None:
        super().__init__(daemon=True)
        self.index, self.deployment, self.rng = index, day, random.Random(index)
        self.is_reconnect = False

    def run(self) -> None:
        day = self.deployment
        while not day.stopped.is_set():
            nodes = [n for n in day.nodes if not n.stopped_at]
            node = self.rng.choice(nodes)
            try:
                self.run_session(node)
            except OSError as error:  # by one that was just killed, or ends: the next is another
                if not node.stopped_at and not day.stopped.is_set():
                    day.observations.lost_connections.append(
                        (time.time(), f"player {self.index} at n{node.index}: {error!r}")
                    )
            day.observations.established.discard(self.index)
            day.stopped.wait(self.rng.uniform(0.1, 0.3))

    def run_session(self, node: NodeProcess) -> None:
        day = self.deployment
        cls = day.settings["Lanes"][self.index % len(day.settings["Lanes"])]
        limit = cls["HardLimitNs"] / 1e9
        fields = f"c={cls['Name']},d={round(limit * 1000)},g=group-{self.index % 4}"
        if day.settings["Tenants"]:
            fields += f",t={day.settings['Tenants'][self.index % 2]['Name']}"
        pid = node.process.pid
        client = Client(node.address)
        began = time.time()
        answer = client.open_request(fields + (",again=1" if self.is_reconnect else ""))
        spent = time.time() - began
        word = answer.split(" ")[0] if answer else ("gone" if node.stopped_at else "none")
        day.observations.answer_counts[word] += 1
        if spent > limit + 0.3 and not node.stopped_at:
            day.observations.late_answers.append(
                f"player {self.index}: {word} after {spent:.2f} s of {limit}"
            )
        if word != "UP":
            return
        day.observations.established.add(self.index)
        client.sock.settimeout(4.0)
        while not day.stopped.is_set():
            try:
                client.send("hello")
                line = client.read_line()
            except OSError:  # the reset of its server, passed on
                line = ""
            if line == "MOVE":
                self.is_reconnect = True
                return
            if not line:
                killed = pid in node.killed_pids
                dead = any(
                    s.name == answer.split(" ")[1] and s.name in day.killed_servers for s in day.servers
                )
                if not killed and not dead:
                    day.observations.lost_connections.append(
                        (time.time(), f"player {self.index} at n{node.index} {answer}")
                    )
                self.is_reconnect = True
                return
            day.stopped.wait(0.15)


class DeploymentRun:
    """Three nodes, five save servers, one discovery and some players, and what is done to them."""

    def __init__(self, folder: Path, settings: dict[str, Any], players: int = 36) -> None:
        self.settings = settings
        self.servers = [LoadReportingServer(f"s{k}") for k in range(5)]
        for s in self.servers:
            s.report()
        self.discovery = SilentDiscovery([s.entry for s in self.servers])
        self.nodes = [NodeProcess(folder, k, settings, self.discovery) for k in range(3)]
        self.stopped = threading.Event()
        self.killed_servers: set[str] = set()
        self.observations = ClientObservations()
        self.drain_known_at: dict[str, float] = {}  # when a drain counts as told at the latest
        self.clients = [ClientThread(k, self) for k in range(players)]
        for p in self.clients:
            p.start()

    @property
    def drain_grace_s(self) -> float:
        return float(self.settings["Rules"]["DrainGraceNs"]) / 1e9

    def late_forwards(self) -> list[str]:
        """First lines that came to a server after its grace, the rules' 50 ms and this machine's 100 more."""
        return [
            f"{s.name} {at - self.drain_known_at[s.name]:.2f} s after it was told: {line}"
            for s in self.servers
            if s.name in self.drain_known_at
            for at, line in s.lines
            if line.startswith("OPEN") and at > self.drain_known_at[s.name] + self.drain_grace_s + 0.05 + 0.1
        ]

    def stop(self) -> None:
        self.stopped.set()
        for p in self.clients:
            p.join(6.0)
        for node in self.nodes:
            if node.process.poll() is None:
                node.process.kill()
            node.process.wait()
