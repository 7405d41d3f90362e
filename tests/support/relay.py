"""A relay before each member of a store: cuts, holds, delays or garbles what one member says to another."""

from __future__ import annotations

import contextlib
import random
import selectors
import socket
import threading
import time

import msgspec

from tests.support.node_environment import hard_reset


class RelayedConnection:
    """One connection: who dialed, whom, and the bytes on their way."""

    def __init__(self, dialer_socket: socket.socket, member_socket: socket.socket, member: str) -> None:
        self.dialer_socket, self.member_socket, self.member = dialer_socket, member_socket, member
        self.dialer = ""  # once its hello has passed; "client" for a command line
        self.first_bytes = b""
        self.queued: list[tuple[float, socket.socket, bytes]] = []


class Relay:
    """All relays of a cluster, in one thread. `cut` holds pairs (from, to): nothing that the first says
    reaches the second, and the connection stays open, as on a network that drops."""

    def __init__(self) -> None:
        self.blocked_pairs: set[tuple[str, str]] = set()
        self.corrupted_pairs: set[tuple[str, str]] = set()  # one byte of the next piece, then no more
        self.delay_s = 0.0
        self.rng = random.Random(1)
        self.selector = selectors.DefaultSelector()
        self.connections: list[RelayedConnection] = []
        self.stopped = False
        self.lock = threading.Lock()
        self.addresses: dict[str, str] = {}
        self.thread = threading.Thread(target=self._run, daemon=True)

    def add_route(self, name: str, address: str) -> str:
        """An address that leads to `address`."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.selector.register(listener, selectors.EVENT_READ, ("accept", name, address))
        self.addresses[name] = f"127.0.0.1:{listener.getsockname()[1]}"
        return self.addresses[name]

    def start(self) -> None:
        self.thread.start()

    def partition(self, side: set[str], others: set[str]) -> None:
        self.blocked_pairs |= {(a, b) for a in side for b in others} | {(b, a) for a in side for b in others}

    def heal(self) -> None:
        """What was cut is reset, so that both sides dial anew at once."""
        cut, self.blocked_pairs = self.blocked_pairs, set()
        with self.lock:
            for p in self.connections:
                if (p.dialer, p.member) in cut or (p.member, p.dialer) in cut:
                    for sock in (p.dialer_socket, p.member_socket):
                        with contextlib.suppress(OSError, ValueError):
                            sock.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        while not self.stopped:
            for key, _ in self.selector.select(0.005):
                what, one, two = key.data
                if what == "accept":
                    self._accept(key.fileobj, one, two)  # type: ignore[arg-type]
                else:
                    self._pass(one, two)
            with self.lock:
                self._release()

    def _accept(self, listener: socket.socket, name: str, address: str) -> None:
        front, _ = listener.accept()
        host, _, port = address.rpartition(":")
        try:
            back = socket.create_connection((host, int(port)), timeout=1)
        except OSError:
            hard_reset(front)
            return
        for sock in (front, back):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        p = RelayedConnection(front, back, name)
        with self.lock:
            self.connections.append(p)
        self.selector.register(front, selectors.EVENT_READ, ("pass", p, True))
        self.selector.register(back, selectors.EVENT_READ, ("pass", p, False))

    def _pass(self, p: RelayedConnection, forth: bool) -> None:
        source, sink = (p.dialer_socket, p.member_socket) if forth else (p.member_socket, p.dialer_socket)
        try:
            data = source.recv(65536)
        except OSError:
            data = b""
        if not data:
            self._end(p)
            return
        if forth and not p.dialer:
            p.first_bytes += data
            size = int.from_bytes(p.first_bytes[:4], "big")
            if len(p.first_bytes) >= 4 + size:
                hello = msgspec.msgpack.decode(p.first_bytes[4 : 4 + size])
                p.dialer = hello.get("name") or "client"
        pair = (p.dialer, p.member) if forth else (p.member, p.dialer)
        if pair in self.blocked_pairs:
            return
        if pair in self.corrupted_pairs and len(data) > 30:
            self.corrupted_pairs.discard(pair)
            at = self.rng.randrange(24, len(data))
            data = data[:at] + bytes([data[at] ^ 0x5A]) + data[at + 1 :]
        with self.lock:
            p.queued.append((time.monotonic() + self.delay_s, sink, data))

    def _release(self) -> None:
        now = time.monotonic()
        for p in list(self.connections):
            while p.queued and p.queued[0][0] <= now:
                _, sink, data = p.queued.pop(0)
                try:
                    sink.sendall(data)
                except OSError:
                    self._end(p, locked=True)
                    break

    def _end(self, p: RelayedConnection, locked: bool = False) -> None:
        for sock in (p.dialer_socket, p.member_socket):
            with contextlib.suppress(KeyError, ValueError):
                self.selector.unregister(sock)
            sock.close()
        with contextlib.nullcontext() if locked else self.lock:
            if p in self.connections:
                self.connections.remove(p)

    def stop(self) -> None:
        self.stopped = True
        self.thread.join()
