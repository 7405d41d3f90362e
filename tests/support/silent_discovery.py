"""A discovery stand-in that stops answering at a chosen phase of a call."""

from __future__ import annotations

import contextlib
import json
import re
import socket
import threading
import time
from typing import Any

from tests.support.node_environment import hard_reset

PHASES = ("unread", "before_head", "in_head", "in_body")


class SilentDiscovery:
    """Answers list requests and watches, until `fall_silent` makes it stop.

    The given number of calls from then on, including a watch that is open, are processed up to the given
    phase and then get no more bytes, while their connections stay open. Later calls are answered.
    """

    def __init__(self, entries: list[dict[str, Any]], indent: int | None = None) -> None:
        self.changed = threading.Condition()
        self.entries = {e["id"]: e for e in entries}
        self.version, self.indent = 5, indent
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.phase, self.silent_calls_left = "", 0
        self.calls: list[tuple[float, str]] = []
        self.called_at: list[tuple[float, str, str]] = []  # the same calls, with the address that was dialed
        self.duplicate_answers = 0  # number of answers to send a second time, 5 ms later
        self.open_watches = 0  # number of watches that are open now
        self.stale_answers = 0  # number of watch answers to send with an older version
        self.open_connections: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def listen_on(self, host: str) -> str:
        """Listens on another loopback address too, with the same port, and returns it as `host:port`.

        `called_at` tells the calls at different addresses apart.
        """
        listener = socket.create_server((host, self.port), backlog=64)
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        return f"{host}:{self.port}"

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _falls(self) -> str:
        with self.changed:
            if self.silent_calls_left > 0:
                self.silent_calls_left -= 1
                return self.phase
            return ""

    def _serve(self, sock: socket.socket) -> None:
        self.open_connections.append(sock)
        with contextlib.suppress(OSError):
            file = sock.makefile("rb")
            while line := file.readline():
                while file.readline().strip():
                    pass
                path = line.split()[1].decode()
                self.calls.append((time.time(), path))
                self.called_at.append((time.time(), path, sock.getsockname()[0]))
                try:
                    data = self._answer(path)
                except ConnectionResetError:
                    hard_reset(sock)
                    return
                phase = self._falls()
                if phase:
                    end = data.index(b"\r\n\r\n") + 4
                    sent = {"in_head": end // 2, "in_body": end + (len(data) - end) // 2}
                    sock.sendall(data[: sent.get(phase, 0)])
                    return  # the connection stays open without further bytes
                sock.sendall(data)
                if self.duplicate_answers:
                    self.duplicate_answers -= 1
                    time.sleep(0.005)
                    sock.sendall(data)

    def _answer(self, path: str, waited: float = 0.0) -> bytes:
        """Returns the answer to a call; `waited` seconds of its wait have already passed."""
        watch = re.search(r"index=(\d+)&wait=(\d+)", path)
        with self.changed:
            if watch is None:
                body = {"version": self.version, "full": True, "servers": list(self.entries.values())}
            else:
                index = int(watch[1])
                self.open_watches += 1
                self.changed.wait_for(
                    lambda: self.version > index or self.stale_answers, int(watch[2]) / 1000 - waited
                )
                self.open_watches -= 1
                changed_entries = [e for version, e in self.changes if version > index]
                body = {"version": self.version, "full": False, "servers": changed_entries}
                if self.stale_answers:
                    self.stale_answers -= 1
                    stale_entry = {**next(iter(self.entries.values())), "state": "Ready"}
                    body = {"version": index - 1, "full": False, "servers": [stale_entry]}
        text = json.dumps(body, indent=self.indent).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Pad: %b\r\n\r\n%b" % (len(text), b"p" * 64, text)

    def fall_silent(self, phase: str, calls: int) -> None:
        with self.changed:
            self.phase, self.silent_calls_left = phase, calls

    def announce(self, entry: dict[str, Any], **changes: Any) -> float:
        with self.changed:
            self.version += 1
            self.entries[entry["id"]] = changed_entry = {**entry, **changes}
            self.changes.append((self.version, changed_entry))
            self.changed.notify_all()
            return time.time()


class SerializedDiscovery(SilentDiscovery):
    """A discovery that serves the calls of all nodes one after another, `service_time_s` each.

    A call that has waited `max_wait_s` fails, alternately with 503 and with a reset. A call that its client
    has abandoned is served all the same. The wait of a watch counts from its arrival.
    """

    def __init__(self, entries: list[dict[str, Any]], service_time_s: float, max_wait_s: float = 2.0) -> None:
        self.turn = threading.Lock()
        self.service_time_s, self.max_wait_s = service_time_s, max_wait_s
        self.failures = 0
        super().__init__(entries)

    def _answer(self, path: str, waited: float = 0.0) -> bytes:
        arrived = time.monotonic()
        if not self.turn.acquire(timeout=self.max_wait_s):
            self.failures += 1
            if self.failures % 2:
                raise ConnectionResetError
            return b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        try:
            time.sleep(self.service_time_s)
        finally:
            self.turn.release()
        return super()._answer(path, waited + time.monotonic() - arrived)
