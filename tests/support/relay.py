"""A TCP relay in front of each store member, which can block, delay or corrupt traffic between members."""

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
    """One relayed connection: the dialing member, the dialed member, and bytes that wait for their delay."""

    def __init__(self, dialer_socket: socket.socket, member_socket: socket.socket, member: str) -> None:
        self.dialer_socket, self.member_socket, self.member = dialer_socket, member_socket, member
        self.dialer = ""  # known once its hello has been read; "client" for a command
        self.first_bytes = b""
        self.queued: list[tuple[float, socket.socket, bytes]] = []


class Relay:
    """All relays of a cluster, in one thread.

    `blocked_pairs` holds pairs (from, to): bytes from the first to the second are discarded, and the
    connection stays open, as on a network that drops packets.
    """

    def __init__(self) -> None:
        self.blocked_pairs: set[tuple[str, str]] = set()
        self.corrupted_pairs: set[tuple[str, str]] = set()  # corrupts one byte of the next read, once
        self.delay_s = 0.0
        self.rng = random.Random(1)
        self.selector = selectors.DefaultSelector()
        self.connections: list[RelayedConnection] = []
        self.stopped = False
        self.lock = threading.Lock()
        self.addresses: dict[str, str] = {}
        self.thread = threading.Thread(target=self._run, daemon=True)

    def add_route(self, name: str, address: str) -> str:
        """Returns a new address from which connections are relayed to `address`."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.selector.register(listener, selectors.EVENT_READ, ("accept", name, address))
        self.addresses[name] = f"127.0.0.1:{listener.getsockname()[1]}"
        return self.addresses[name]

    def start(self) -> None:
        self.thread.start()

    def partition(self, side: set[str], others: set[str]) -> None:
        """Blocks traffic between two sets of members, in both directions."""
        self.blocked_pairs |= {(a, b) for a in side for b in others} | {(b, a) for a in side for b in others}

    def heal(self) -> None:
        """Ends the partition; shuts down connections that were blocked, so that both sides redial at once."""
        blocked, self.blocked_pairs = self.blocked_pairs, set()
        with self.lock:
            for connection in self.connections:
                if (connection.dialer, connection.member) in blocked or (
                    connection.member,
                    connection.dialer,
                ) in blocked:
                    for sock in (connection.dialer_socket, connection.member_socket):
                        with contextlib.suppress(OSError, ValueError):
                            sock.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        while not self.stopped:
            for key, _ in self.selector.select(0.005):
                action, first, second = key.data
                if action == "accept":
                    self._accept(key.fileobj, first, second)  # type: ignore[arg-type]
                else:
                    self._pass(first, second)
            with self.lock:
                self._release()

    def _accept(self, listener: socket.socket, name: str, address: str) -> None:
        dialer_socket, _ = listener.accept()
        host, _, port = address.rpartition(":")
        try:
            member_socket = socket.create_connection((host, int(port)), timeout=1)
        except OSError:
            hard_reset(dialer_socket)
            return
        for sock in (dialer_socket, member_socket):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = RelayedConnection(dialer_socket, member_socket, name)
        with self.lock:
            self.connections.append(connection)
        self.selector.register(dialer_socket, selectors.EVENT_READ, ("pass", connection, True))
        self.selector.register(member_socket, selectors.EVENT_READ, ("pass", connection, False))

    def _pass(self, connection: RelayedConnection, from_dialer: bool) -> None:
        source, sink = (
            (connection.dialer_socket, connection.member_socket)
            if from_dialer
            else (connection.member_socket, connection.dialer_socket)
        )
        try:
            data = source.recv(65536)
        except OSError:
            data = b""
        if not data:
            self._end(connection)
            return
        if from_dialer and not connection.dialer:
            connection.first_bytes += data
            size = int.from_bytes(connection.first_bytes[:4], "big")
            if len(connection.first_bytes) >= 4 + size:
                hello = msgspec.msgpack.decode(connection.first_bytes[4 : 4 + size])
                connection.dialer = hello.get("name") or "client"
        pair = (
            (connection.dialer, connection.member) if from_dialer else (connection.member, connection.dialer)
        )
        if pair in self.blocked_pairs:
            return
        if pair in self.corrupted_pairs and len(data) > 30:
            self.corrupted_pairs.discard(pair)
            position = self.rng.randrange(24, len(data))
            data = data[:position] + bytes([data[position] ^ 0x5A]) + data[position + 1 :]
        with self.lock:
            connection.queued.append((time.monotonic() + self.delay_s, sink, data))

    def _release(self) -> None:
        now = time.monotonic()
        for connection in list(self.connections):
            while connection.queued and connection.queued[0][0] <= now:
                _, sink, data = connection.queued.pop(0)
                try:
                    sink.sendall(data)
                except OSError:
                    self._end(connection, locked=True)
                    break

    def _end(self, connection: RelayedConnection, locked: bool = False) -> None:
        for sock in (connection.dialer_socket, connection.member_socket):
            with contextlib.suppress(KeyError, ValueError):
                self.selector.unregister(sock)
            sock.close()
        with contextlib.nullcontext() if locked else self.lock:
            if connection in self.connections:
                self.connections.remove(connection)

    def stop(self) -> None:
        self.stopped = True
        self.thread.join()
