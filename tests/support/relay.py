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


class Pipe:
    """One connection: who dialed, whom, and the bytes on their way."""

    def __init__(self, front: socket.socket, back: socket.socket, to: str) -> None:
        self.front, self.back, self.to = front, back, to
        self.dialer = ""  # once its hello has passed; "client" for a command line
        self.head = b""
        self.held: list[tuple[float, socket.socket, bytes]] = []


class Relay:
    """All relays of a cluster, in one thread. `cut` holds pairs (from, to): nothing that the first says
    reaches the second, and the connection stays open, as on a network that drops."""

    def __init__(self) -> None:
        self.cut: set[tuple[str, str]] = set()
        self.garble: set[tuple[str, str]] = set()  # one byte of the next piece, then no more
        self.delay = 0.0
        self.rng = random.Random(1)
        self.chooser = selectors.DefaultSelector()
        self.pipes: list[Pipe] = []
        self.ended = False
        self.lock = threading.Lock()
        self.addresses: dict[str, str] = {}
        self.thread = threading.Thread(target=self._run, daemon=True)

    def before(self, name: str, address: str) -> str:
        """An address that leads to `address`."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.chooser.register(listener, selectors.EVENT_READ, ("accept", name, address))
        self.addresses[name] = f"127.0.0.1:{listener.getsockname()[1]}"
        return self.addresses[name]

    def start(self) -> None:
        self.thread.start()

    def part(self, side: set[str], others: set[str]) -> None:
        self.cut |= {(a, b) for a in side for b in others} | {(b, a) for a in side for b in others}

    def heal(self) -> None:
        """What was cut is reset, so that both sides dial anew at once."""
        cut, self.cut = self.cut, set()
        with self.lock:
            for p in self.pipes:
                if (p.dialer, p.to) in cut or (p.to, p.dialer) in cut:
                    for sock in (p.front, p.back):
                        with contextlib.suppress(OSError, ValueError):
                            sock.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        while not self.ended:
            for key, _ in self.chooser.select(0.005):
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
        p = Pipe(front, back, name)
        with self.lock:
            self.pipes.append(p)
        self.chooser.register(front, selectors.EVENT_READ, ("pass", p, True))
        self.chooser.register(back, selectors.EVENT_READ, ("pass", p, False))

    def _pass(self, p: Pipe, forth: bool) -> None:
        source, sink = (p.front, p.back) if forth else (p.back, p.front)
        try:
            data = source.recv(65536)
        except OSError:
            data = b""
        if not data:
            self._end(p)
            return
        if forth and not p.dialer:
            p.head += data
            size = int.from_bytes(p.head[:4], "big")
            if len(p.head) >= 4 + size:
                hello = msgspec.msgpack.decode(p.head[4 : 4 + size])
                p.dialer = hello.get("name") or "client"
        pair = (p.dialer, p.to) if forth else (p.to, p.dialer)
        if pair in self.cut:
            return
        if pair in self.garble and len(data) > 30:
            self.garble.discard(pair)
            at = self.rng.randrange(24, len(data))
            data = data[:at] + bytes([data[at] ^ 0x5A]) + data[at + 1 :]
        with self.lock:
            p.held.append((time.monotonic() + self.delay, sink, data))

    def _release(self) -> None:
        now = time.monotonic()
        for p in list(self.pipes):
            while p.held and p.held[0][0] <= now:
                _, sink, data = p.held.pop(0)
                try:
                    sink.sendall(data)
                except OSError:
                    self._end(p, locked=True)
                    break

    def _end(self, p: Pipe, locked: bool = False) -> None:
        for sock in (p.front, p.back):
            with contextlib.suppress(KeyError, ValueError):
                self.chooser.unregister(sock)
            sock.close()
        with contextlib.nullcontext() if locked else self.lock:
            if p in self.pipes:
                self.pipes.remove(p)

    def stop(self) -> None:
        self.ended = True
        self.thread.join()
