"""Runs a node as a process on loopback, with stand-ins for save servers, discovery and clients."""

from __future__ import annotations

import json
import os
import random
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count
from pathlib import Path
from typing import IO, Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
REQUEST_NUMBERS = count(1)
# Delay in seconds that scheduling on a shared machine may add to a duration that a test measures.
SCHEDULING_SLACK_S = 0.25
SETTINGS: dict[str, Any] = {
    "Bounds": {"ConnectTimeoutNs": 200_000_000, "MaxAttempts": 4, "MaxRetryAfterNs": 1_000_000_000}
    | {"Probes": True, "RetryAfter": True},
    "FamilyInfo": {"MessageAimNs": [50_000_000], "Mode": "proxy", "TenantQuotaConnections": []},
    "Lanes": [{"Name": "live", "AimNs": 300_000_000, "HardLimitNs": 1_800_000_000, "Points": 5.0}],
    "MembershipMode": "pushed",
    "ReplicasOfMe": 3,
    "Rules": {"DrainGraceNs": 2_000_000_000, "AnswerSlackNs": 20_000_000, "ColdShare": 0.13}
    | {"ColdNs": 24_000_000_000, "FallNs": 3_000_000_000, "FallMultiple": 2.5},
    "Telemetry": {"Source": "on_probe", "Fields": ["x0", "concurrent"]},
    "Tenants": None,
    "Weights": "live",
}


def wait_for(condition: Callable[[], Any], within: float = 5.0) -> Any:
    """Polls `condition` until its result is true and returns that result; fails after `within` seconds."""
    end = time.monotonic() + within
    while not (result := condition()):
        assert time.monotonic() < end, f"condition not met within {within} s"
        time.sleep(0.005)
    return result


def new_request_id() -> str:
    return f"{next(REQUEST_NUMBERS):016x}"


# Each test worker has 2000 ports, from 10000 on: below the range from which the system picks the local ports
# of connections.
PORT_RANGE_START, PORTS_PER_WORKER = 10_000, 2_000
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % 11
_port_offsets = count(random.Random(os.getpid()).randrange(PORTS_PER_WORKER))


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Returns a port that stays free until a process listens on it.

    The system assigns it to no connection, and no other test worker uses it. A port that the system picks
    from its ephemeral range was sometimes in use by the time the process bound it.
    """
    for _ in range(PORTS_PER_WORKER):
        port = PORT_RANGE_START + WORKER * PORTS_PER_WORKER + next(_port_offsets) % PORTS_PER_WORKER
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("no free port")


def hard_reset(sock: socket.socket) -> None:
    """Closes a connection with a TCP reset instead of a FIN."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    os.close(sock.detach())


def reset_from_other_thread(sock: socket.socket) -> None:
    """Resets a connection that another thread reads.

    A close here would wait until that thread's read returns. Shutting down the receiving side wakes the
    thread, and its own close then sends the reset.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.shutdown(socket.SHUT_RD)


class EndpointServer:
    """A save server that records every line, answers OPEN with `answer` and then echoes.

    An `answer` of "reset" resets the connection instead, and "silence" sends no answer.
    """

    def __init__(self, name: str, answer: str = "UP {name}", load: str = "x0=0.05,inflight=40") -> None:
        self.name, self.answer, self.load = name, answer, load
        self.lines: list[tuple[float, str]] = []
        self.established: list[socket.socket] = []
        self.connection_ends: list[str] = []
        self.ignores_health_checks = threading.Event()  # once set, health checks get no answer
        self.open_answers_allowed = threading.Event()  # answers to OPEN wait for this event
        self.open_answers_allowed.set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.entry = {"id": f"s-{name}", "addr": self.address, "zone": "z", "state": "Ready"}
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def open_lines(self) -> list[str]:
        return [line for _, line in self.lines if line.startswith("OPEN")]

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            # With Nagle's algorithm every other answer waits 40 ms for the node's delayed acknowledgement.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            for raw in sock.makefile("rb"):
                line = raw.decode().rstrip("\r\n")
                self.lines.append((time.time(), line))
                if line == "STATS" and self.ignores_health_checks.is_set():
                    continue
                if line == "STATS":
                    sock.sendall(f"PONG {self.load}\r\n".encode())
                elif sock in self.established and line == "reset":
                    hard_reset(sock)
                    return
                elif sock in self.established:
                    sock.sendall(raw)
                elif line.startswith("OPEN") and self.answer == "reset":
                    hard_reset(sock)
                    return
                elif line.startswith("OPEN") and (answer := self.answer) != "silence":
                    self.open_answers_allowed.wait(10)
                    # Recorded before the answer is sent: once a client has read UP, its test may look up the
                    # connection here at once.
                    established = answer.startswith("UP")
                    if established:
                        self.established.append(sock)
                    sock.sendall(answer.format(name=self.name).encode() + b"\r\n")
                    if not established:
                        break
            self.connection_ends.append("end")
        except OSError:
            self.connection_ends.append("reset")
        sock.close()

    def stop(self) -> None:
        """Stops listening, so that new connections are refused."""
        with socket.create_connection(self.listener.getsockname()):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class DiscoveryServer:
    """Discovery over HTTP, which answers with `entries`; a watch waits until `announce` changes them."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.changed = threading.Condition()
        self.entries = {e["id"]: e for e in entries}
        self.version = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.calls: list[tuple[float, str]] = []
        self.answered_at: list[float] = []
        self.raw_answers: list[bytes] = []  # sent verbatim in place of the next answers
        self.answers_allowed: threading.Event | None = None  # if given, answers wait for this event
        discovery = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                discovery.calls.append((time.time(), self.path))
                if discovery.answers_allowed is not None:
                    discovery.answers_allowed.wait(10)
                if discovery.raw_answers:
                    self.wfile.write(discovery.raw_answers.pop(0))
                    self.close_connection = True
                    return
                body = json.dumps(discovery.answer(parse_qs(urlsplit(self.path).query))).encode()
                # Recorded before the answer is sent: the node's next call may arrive before a later statement
                # of this handler runs.
                discovery.answered_at.append(time.time())
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args: Any) -> None:
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.server.handle_error = lambda *args: None  # type: ignore[method-assign]
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def answer(self, query: dict[str, list[str]]) -> dict[str, Any]:
        with self.changed:
            if "index" not in query:
                return {"version": self.version, "full": True, "servers": list(self.entries.values())}
            index = int(query["index"][0])
            self.changed.wait_for(lambda: self.version > index, int(query["wait"][0]) / 1000)
            changed = {e["id"]: e for version, e in self.changes if version > index}
            return {"version": self.version, "full": False, "servers": list(changed.values())}

    def announce(self, server: EndpointServer, **changes: Any) -> float:
        with self.changed:
            self.version += 1
            self.entries[server.entry["id"]] = entry = {**server.entry, **changes}
            self.changes.append((self.version, entry))
            self.changed.notify_all()
        wait_for(lambda: any(f"index={self.version}&" in path for _, path in list(self.calls)))
        return time.time()


class Client:
    """A game client that speaks the line protocol over TCP."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=8)
        self.file = self.sock.makefile("rb")

    def send(self, line: str | bytes) -> None:
        self.sock.sendall(line if isinstance(line, bytes) else line.encode() + b"\r\n")

    def read_line(self) -> str:
        """Returns the next line, or an empty string at the end of the connection."""
        return self.file.readline().decode().rstrip("\r\n")

    def open_request(self, fields: str = "c=live,d=1500,g=1", ident: str = "") -> str:
        self.send(f"OPEN {ident or new_request_id()} 7f3a {fields}")
        return self.read_line()

    def receives_nothing(self, for_s: float) -> bool:
        return not select.select([self.sock], [], [], for_s)[0]


def is_node_ready(address: str) -> bool:
    """Returns whether a node at `address` answers PING with PONG, which it does once it is ready."""
    try:
        client = Client(address)
    except OSError:
        return False
    client.send("PING")
    return client.read_line() == "PONG"


def start_process(
    config: Path, log: IO[bytes], extra: dict[str, str], launcher: list[str]
) -> subprocess.Popen[bytes]:
    """Starts the program with this configuration and without other `NODE_` variables of the environment."""
    env = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
    env |= {"NODE_CONFIG": str(config), "PYTHONUNBUFFERED": "1"} | extra
    return subprocess.Popen([sys.executable, *launcher], env=env, cwd=ROOT, stdout=log, stderr=log)


def read_counters(process: subprocess.Popen[bytes], log: Path) -> dict[str, str]:
    """Makes the program log its counters (SIGUSR1) and returns them by name."""
    before = log.read_text().count("event=counters")
    process.send_signal(signal.SIGUSR1)
    wait_for(lambda: log.read_text().count("event=counters") > before)
    last = [line for line in log.read_text().splitlines() if "event=counters" in line][-1]
    return dict(part.split("=", 1) for part in last.split() if "=" in part)


class NodeEnvironment:
    """A node as a process, with its endpoint servers and its discovery."""

    def __init__(
        self,
        folder: Path,
        endpoint_servers: list[EndpointServer],
        operator: str | None = None,
        env: dict[str, str] | None = None,
        *,
        launcher: list[str] | None = None,
        **config: Any,
    ) -> None:
        self.endpoint_servers = endpoint_servers
        self.discovery = DiscoveryServer([b.entry for b in endpoint_servers])
        self.discovery_servers = [self.discovery]
        self.address = str(config.get("listen") or f"127.0.0.1:{free_port()}")
        self.config = path = folder / "config.json"
        base_config = {
            "name": "n0",
            "listen": self.address,
            "discovery": self.discovery.address,
            "seed": "8c1f",
        }
        path.write_text(json.dumps(base_config | {"settings": SETTINGS} | config))
        extra = {name: value or self.discovery.address for name, value in (env or {}).items()}
        if operator is not None:
            (folder / "operator.toml").write_text(operator)
            extra["GRADEGAP_OPERATOR"] = str(folder / "operator.toml")
        self.log = folder / "node.log"
        with self.log.open("wb") as log:
            self.process = start_process(path, log, extra, launcher or ["-m", "gradegap"])

    def client(self) -> Client:
        return Client(self.address)

    def is_ready(self) -> bool:
        assert self.process.poll() is None, self.log.read_text()
        return is_node_ready(self.address)

    def counters(self) -> dict[str, str]:
        return read_counters(self.process, self.log)


@contextmanager
def running_node(
    folder: Path,
    endpoint_servers: list[EndpointServer],
    operator: str | None = None,
    env: dict[str, str] | None = None,
    *,
    launcher: list[str] | None = None,
    **config: Any,
) -> Iterator[NodeEnvironment]:
    environment = NodeEnvironment(folder, endpoint_servers, operator, env, launcher=launcher, **config)
    try:
        wait_for(environment.is_ready, 15.0)
        yield environment
        assert environment.process.poll() in (None, 0), environment.log.read_text()
        assert "Traceback" not in environment.log.read_text()
    finally:
        environment.process.kill()
        environment.process.wait()
        for discovery in environment.discovery_servers:
            discovery.server.shutdown()
