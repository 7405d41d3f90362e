"""One node with the settings of central-guate, and save servers that can be restarted at their address.

The node is started with the command of `deploy/balancer.toml`, with no operator's file, as on the platform.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from review.standins import ROOT, RUN_COMMAND, Record
from tests.support.deployments import ON_REQUEST
from tests.support.node_environment import Client, DiscoveryServer, free_port, hard_reset


class SaveServer:
    """A save server; `answer_after_s` is the time that it takes to set a new connection up."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.answer_after_s = 0.0
        self.opened: list[str] = []  # ids of the requests that it was sent
        self.first_line_read = threading.Event()
        self._connections: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.entry: dict[str, Any] = {"id": f"s-{name}", "addr": self.address, "zone": "z", "state": "Ready"}
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def die(self) -> None:
        """End the process: its connections are reset, and new ones are refused."""
        self.record.write(f"save server {self.name} dies")
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RD)

    def start_again(self) -> None:
        """Start a new process at the same address."""
        self._listener = socket.create_server(("127.0.0.1", int(self.address.rpartition(":")[2])), backlog=64)
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()
        self.record.write(f"save server {self.name} is back")

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection, listener), daemon=True).start()

    def _serve(self, connection: socket.socket, listener: socket.socket) -> None:
        self._connections.add(connection)
        is_up = False
        try:
            for raw in connection.makefile("rb"):
                line = raw.decode().rstrip("\r\n")
                if is_up:
                    connection.sendall(raw)
                elif line == "STATS":
                    connection.sendall(b"PONG x0=0.05,x1=0.0,inflight=4\r\n")
                elif line.startswith("OPEN "):
                    ident = line.split()[1]
                    self.opened.append(ident)
                    self.record.write(f"save server {self.name}: got OPEN {ident}")
                    self.first_line_read.set()
                    time.sleep(self.answer_after_s)
                    connection.sendall(f"UP {self.name}-{ident}\r\n".encode())
                    is_up = True
        except OSError:
            pass
        self._connections.discard(connection)
        with contextlib.suppress(OSError):
            hard_reset(connection) if listener.fileno() < 0 else connection.close()


class OneNode:
    """One node, three save servers, and discovery, which is asked."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self.save_servers = [SaveServer(name, record) for name in "abc"]
        self.discovery = DiscoveryServer([server.entry for server in self.save_servers])
        self.address = f"127.0.0.1:{free_port()}"
        config = {
            "name": "n1",
            "listen": self.address,
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 1024},
            "known": {"version": 1, "full": True, "servers": [s.entry for s in self.save_servers]},
            "settings": ON_REQUEST,
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        base = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        base.pop("GRADEGAP_OPERATOR", None)
        env = base | {"NODE_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder / "tmp")}
        with (self.folder / "node.log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", RUN_COMMAND], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        record.write(f"run n1: {RUN_COMMAND}")

    def announce(self, server: SaveServer, **changes: Any) -> None:
        """Tell the node a change of a save server's entry; returns once it asks for the next one."""
        self.record.write(f"discovery tells {server.entry['id']}: {changes}")
        self.discovery.announce(server, **changes)  # type: ignore[arg-type]

    def connect(self) -> Client | None:
        """Connect as a client; None if that is refused."""
        try:
            return Client(self.address)
        except OSError:
            return None

    def ping(self) -> str:
        """Send `PING` as the front does; returns the answer."""
        client = self.connect()
        if client is None:
            return ""
        with contextlib.closing(client.sock), contextlib.suppress(OSError):
            client.send("PING")
            return client.read_line()
        return ""

    def log(self) -> str:
        """Return what the node has written to its log."""
        return (self.folder / "node.log").read_text()

    def close(self) -> None:
        """Kill the node's process, and remove the temporary folder."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.discovery.server.shutdown()
        shutil.rmtree(self.folder, ignore_errors=True)
