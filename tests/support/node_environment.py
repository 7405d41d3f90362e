"""Stand-ins on loopback for all that a node meets: save servers, discovery and clients."""

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
IDS = count(1)
SCHEDULING_SLACK_S = 0.25  # s that a machine shared with others may add to what a test times
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


def wait_for(true: Callable[[], Any], within: float = 5.0) -> Any:
    """What `true` gives, once it gives something."""
    end = time.monotonic() + within
    while not (seen := true()):
        assert time.monotonic() < end, "it never came about"
        time.sleep(0.005)
    return seen


def new_request_id() -> str:
    return f"{next(IDS):016x}"


PORTS_FROM, PORTS_EACH = 10_000, 2_000  # below what the system gives to connections; for each test worker
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % 11
_ports = count(random.Random(os.getpid()).randrange(PORTS_EACH))


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that stays free until it is listened on: no connection is given it meanwhile, and no other
    worker asks for it. One that the system chose was now and then taken by the time a process came to it."""
    for _ in range(PORTS_EACH):
        port = PORTS_FROM + WORKER * PORTS_EACH + next(_ports) % PORTS_EACH
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("no free port")


def hard_reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    os.close(sock.detach())


def reset_from_other_thread(sock: socket.socket) -> None:
    """A reset of a connection that another thread reads. A close would wait for that thread's read to end:
    it is woken, and its own close is the reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.shutdown(socket.SHUT_RD)


class EndpointServer:
    """A save server: logs every line it receives, answers OPEN with `answer`, then echoes."""

    def __init__(self, name: str, answer: str = "UP {name}", load: str = "x0=0.05,inflight=40") -> None:
        self.name, self.answer, self.load = name, answer, load
        self.lines: list[tuple[float, str]] = []
        self.established: list[socket.socket] = []
        self.connection_ends: list[str] = []
        self.ignores_health_checks = threading.Event()  # once set, probes are left unanswered
        self.open_answers_allowed = threading.Event()  # no answer to OPEN until it is set
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
            # Without it every other answer waits 40 ms for the node's acknowledgement.
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
                    # Noted first: a client that was told UP may ask for its connection at once.
                    stands = answer.startswith("UP")
                    if stands:
                        self.established.append(sock)
                    sock.sendall(answer.format(name=self.name).encode() + b"\r\n")
                    if not stands:
                        break
            self.connection_ends.append("end")
        except OSError:
            self.connection_ends.append("reset")
        sock.close()

    def stop(self) -> None:
        """No longer listening: new connections are refused."""
        with socket.create_connection(self.listener.getsockname()):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class DiscoveryServer:
    """Discovery: answers with what `entries` holds, and holds a watch until `announce` changes it."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.changed = threading.Condition()
        self.entries = {e["id"]: e for e in entries}
        self.version = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.calls: list[tuple[float, str]] = []
        self.answered_at: list[float] = []
        self.raw_answers: list[bytes] = []  # what the next answers are instead
        self.answers_allowed: threading.Event | None = None  # no answer until it is set
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
                # Noted first: the node's next call may come before a later line runs.
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
            news = {e["id"]: e for version, e in self.changes if version > index}
            return {"version": self.version, "full": False, "servers": list(news.values())}

    def announce(self, backend: EndpointServer, **changes: Any) -> float:
        with self.changed:
            self.version += 1
            self.entries[backend.entry["id"]] = entry = {**backend.entry, **changes}
            self.changes.append((self.version, entry))
            self.changed.notify_all()
        wait_for(lambda: any(f"index={self.version}&" in path for _, path in list(self.calls)))
        return time.time()


class Client:
    """A game client on the line front."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=8)
        self.file = self.sock.makefile("rb")

    def send(self, line: str | bytes) -> None:
        self.sock.sendall(line if isinstance(line, bytes) else line.encode() + b"\r\n")

    def read_line(self) -> str:
        """The next line; empty at the end of the connection."""
        return self.file.readline().decode().rstrip("\r\n")

    def open_request(self, fields: str = "c=live,d=1500,g=1", ident: str = "") -> str:
        self.send(f"OPEN {ident or new_request_id()} 7f3a {fields}")
        return self.read_line()

    def receives_nothing(self, for_s: float) -> bool:
        return not select.select([self.sock], [], [], for_s)[0]


def is_node_ready(address: str) -> bool:
    """Whether a node answers there and is ready."""
    try:
        client = Client(address)
    except OSError:
        return False
    client.send("PING")
    return client.read_line() == "PONG"


def start_process(
    config: Path, log: IO[bytes], extra: dict[str, str], launcher: list[str]
) -> subprocess.Popen[bytes]:
    """The program as a process, under that configuration and no other `NODE_` variable."""
    env = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
    env |= {"NODE_CONFIG": str(config), "PYTHONUNBUFFERED": "1"} | extra
    return subprocess.Popen([sys.executable, *launcher], env=env, cwd=ROOT, stdout=log, stderr=log)


def read_counters(process: subprocess.Popen[bytes], log: Path) -> dict[str, str]:
    """The counters as the program prints them."""
    before = log.read_text().count("event=counters")
    process.send_signal(signal.SIGUSR1)
    wait_for(lambda: log.read_text().count("event=counters") > before)
    last = [line for line in log.read_text().splitlines() if "event=counters" in line][-1]
    return dict(part.split("=", 1) for part in last.split() if "=" in part)


class NodeEnvironment:
    """A node as a process, with its endpoints and its discovery."""

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
        full = {"name": "n0", "listen": self.address, "discovery": self.discovery.address, "seed": "8c1f"}
        path.write_text(json.dumps(full | {"settings": SETTINGS} | config))
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
    made = NodeEnvironment(folder, endpoint_servers, operator, env, launcher=launcher, **config)
    try:
        wait_for(made.is_ready, 15.0)
        yield made
        assert made.process.poll() in (None, 0), made.log.read_text()
        assert "Traceback" not in made.log.read_text()
    finally:
        made.process.kill()
        made.process.wait()
        for discovery in made.discovery_servers:
            discovery.server.shutdown()
