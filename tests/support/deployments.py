"""Settings of two deployments, as their operators describe them, and a short scenario that runs with either.

Both have to be tested: a change that happened to work in one deployment has broken the other. Settings that
only determine how long the scenario takes (the waits for a polled endpoint list) are at the short end.
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

MS = 1_000_000  # nanoseconds


def lane(name: str, aim_ms: int, limit_ms: int, points: float) -> dict[str, Any]:
    """Returns the settings of one request class; latencies in milliseconds."""
    return {
        "Name": name,
        "AimNs": aim_ms * MS,
        "HardLimitNs": limit_ms * MS,
        "Points": points,
        "Stream": True,
    }


PUSHED: dict[str, Any] = {  # three data centres, no tenants, a drain grace of 2 s
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
# Four sites, six tenants with shares (two of them here), one discovery service, a drain grace of 0.25 s.
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
    """A save server that reports its connections as load and can migrate its clients when it drains."""

    capacity_connections = 60.0  # connections at full load

    def _serve(self, sock: Any) -> None:
        super()._serve(sock)
        if sock in self.established:
            self.established.remove(sock)
        self.report()

    def report(self) -> None:
        count = len(self.established)
        self.load = (
            f"x0={count / self.capacity_connections + 0.001 * random.random():.4f},x1=0,inflight={count}"
        )

    def migrate_clients(self) -> None:
        for sock in list(self.established):
            with contextlib.suppress(OSError):
                sock.sendall(b"MOVE\r\n")
                sock.shutdown(2)


class NodeProcess:
    """One node as a process, which restarts under its name with only its last endpoint list."""

    def __init__(
        self,
        folder: Path,
        index: int,
        settings: dict[str, Any],
        discovery_server: SilentDiscovery,
        wait: bool = True,
        discovery: str = "",  # address, if this node uses another discovery than `discovery_server`
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
        self.killed_pids: set[int] = set()  # process ids that were killed
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

    def stop(self, signal_number: signal.Signals) -> None:
        self.stopped_at = time.time()
        if signal_number is signal.SIGKILL:
            self.killed_pids.add(self.process.pid)
        self.process.send_signal(signal_number)
        self.process.wait(10)


@dataclass
class ClientObservations:
    """Observations of the clients, to check against the rules."""

    answer_counts: Counter[str] = field(default_factory=Counter)
    late_answers: list[str] = field(default_factory=list)
    lost_connections: list[tuple[float, str]] = field(default_factory=list)  # ended without MOVE
    established: set[int] = field(default_factory=set)


class ClientThread(threading.Thread):
    """A client that reconnects until the scenario ends."""

    def __init__(self, index: int, deployment: DeploymentRun) -> None:
        super().__init__(daemon=True)
        self.index, self.deployment, self.rng = index, deployment, random.Random(index)
        self.is_reconnect = False

    def run(self) -> None:
        deployment = self.deployment
        while not deployment.stopped.is_set():
            nodes = [node for node in deployment.nodes if not node.stopped_at]
            node = self.rng.choice(nodes)
            try:
                self.run_session(node)
            # A node that ends or was just killed; the next attempt picks a node again.
            except OSError as error:
                if not node.stopped_at and not deployment.stopped.is_set():
                    deployment.observations.lost_connections.append(
                        (time.time(), f"player {self.index} at n{node.index}: {error!r}")
                    )
            deployment.observations.established.discard(self.index)
            deployment.stopped.wait(self.rng.uniform(0.1, 0.3))

    def run_session(self, node: NodeProcess) -> None:
        deployment = self.deployment
        request_class = deployment.settings["Lanes"][self.index % len(deployment.settings["Lanes"])]
        limit = request_class["HardLimitNs"] / 1e9
        fields = f"c={request_class['Name']},d={round(limit * 1000)},g=group-{self.index % 4}"
        if deployment.settings["Tenants"]:
            fields += f",t={deployment.settings['Tenants'][self.index % 2]['Name']}"
        pid = node.process.pid
        client = Client(node.address)
        started_at = time.time()
        answer = client.open_request(fields + (",again=1" if self.is_reconnect else ""))
        elapsed_s = time.time() - started_at
        answer_word = answer.split(" ")[0] if answer else ("gone" if node.stopped_at else "none")
        deployment.observations.answer_counts[answer_word] += 1
        if elapsed_s > limit + 0.3 and not node.stopped_at:
            deployment.observations.late_answers.append(
                f"player {self.index}: {answer_word} after {elapsed_s:.2f} s of {limit}"
            )
        if answer_word != "UP":
            return
        deployment.observations.established.add(self.index)
        client.sock.settimeout(4.0)
        while not deployment.stopped.is_set():
            try:
                client.send("hello")
                line = client.read_line()
            except OSError:  # the reset of the endpoint server, forwarded by the node
                line = ""
            if line == "MOVE":
                self.is_reconnect = True
                return
            if not line:
                is_node_killed = pid in node.killed_pids
                is_server_killed = any(
                    server.name == answer.split(" ")[1] and server.name in deployment.killed_servers
                    for server in deployment.servers
                )
                if not is_node_killed and not is_server_killed:
                    deployment.observations.lost_connections.append(
                        (time.time(), f"player {self.index} at n{node.index} {answer}")
                    )
                self.is_reconnect = True
                return
            deployment.stopped.wait(0.15)


class DeploymentRun:
    """Three nodes, five save servers, one discovery and a number of clients."""

    def __init__(self, folder: Path, settings: dict[str, Any], players: int = 36) -> None:
        self.settings = settings
        self.servers = [LoadReportingServer(f"s{number}") for number in range(5)]
        for server in self.servers:
            server.report()
        self.discovery = SilentDiscovery([server.entry for server in self.servers])
        self.nodes = [NodeProcess(folder, number, settings, self.discovery) for number in range(3)]
        self.stopped = threading.Event()
        self.killed_servers: set[str] = set()
        self.observations = ClientObservations()
        self.drain_known_at: dict[str, float] = {}  # latest time at which nodes know of a drain
        self.clients = [ClientThread(number, self) for number in range(players)]
        for client in self.clients:
            client.start()

    @property
    def drain_grace_s(self) -> float:
        return float(self.settings["Rules"]["DrainGraceNs"]) / 1e9

    def late_forwards(self) -> list[str]:
        """Lists OPEN lines that reached a server after its drain grace.

        The rules tolerate 50 ms after the grace; another 100 ms allow for scheduling on this machine.
        """
        return [
            f"{server.name} {at - self.drain_known_at[server.name]:.2f} s after it was told: {line}"
            for server in self.servers
            if server.name in self.drain_known_at
            for at, line in server.lines
            if line.startswith("OPEN")
            and at > self.drain_known_at[server.name] + self.drain_grace_s + 0.05 + 0.1
        ]

    def stop(self) -> None:
        self.stopped.set()
        for client in self.clients:
            client.join(6.0)
        for node in self.nodes:
            if node.process.poll() is None:
                node.process.kill()
            node.process.wait()
