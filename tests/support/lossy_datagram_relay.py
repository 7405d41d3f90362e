"""A datagram relay between QUIC clients and a node that drops, duplicates and reorders by a seed."""

from __future__ import annotations

import heapq
import random
import select
import socket
import threading
import time
from types import TracebackType


class LossyDatagramRelay:
    """Clients send to `port`; each client has its own socket towards the node."""

    def __init__(
        self, peer: tuple[str, int], seed: int, loss_ratio: float, duplicate_ratio: float, late_ratio: float
    ) -> None:
        """Sets the shares of datagrams, in both directions, that are dropped, duplicated and delayed.

        A delayed datagram is sent up to 30 ms later, so that others overtake it.
        """
        self.peer, self.rng = peer, random.Random(seed)
        self.loss_ratio, self.duplicate_ratio, self.late_ratio = loss_ratio, duplicate_ratio, late_ratio
        self.client_socket = self._socket()
        self.port: int = self.client_socket.getsockname()[1]
        self.socket_by_client: dict[tuple[str, int], socket.socket] = {}
        self.client_by_socket: dict[socket.socket, tuple[str, int]] = {}
        self.waiting: list[tuple[float, int, socket.socket, tuple[str, int], bytes]] = []
        self.count = self.dropped = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    @staticmethod
    def _socket() -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        return sock

    def __enter__(self) -> LossyDatagramRelay:
        self.thread.start()
        return self

    def __exit__(self, kind: type | None, error: BaseException | None, trace: TracebackType | None) -> None:
        self.stopped.set()
        self.thread.join(5.0)
        for sock in (self.client_socket, *self.client_by_socket):
            sock.close()

    def _pass(self, out: socket.socket, to: tuple[str, int], data: bytes) -> None:
        for _ in range(2 if self.rng.random() < self.duplicate_ratio else 1):
            if self.rng.random() < self.loss_ratio:
                self.dropped += 1
                continue
            wait = self.rng.uniform(0.0, 0.03) if self.rng.random() < self.late_ratio else 0.0
            self.count += 1
            heapq.heappush(self.waiting, (time.monotonic() + wait, self.count, out, to, data))

    def _run(self) -> None:
        while not self.stopped.is_set():
            now = time.monotonic()
            while self.waiting and self.waiting[0][0] <= now:
                _, _, out, to, data = heapq.heappop(self.waiting)
                out.sendto(data, to)
            left = self.waiting[0][0] - now if self.waiting else 0.05
            for sock in select.select(
                [self.client_socket, *self.client_by_socket], [], [], min(0.05, max(0.0, left))
            )[0]:
                data, address = sock.recvfrom(65536)
                if sock is not self.client_socket:
                    self._pass(self.client_socket, self.client_by_socket[sock], data)
                    continue
                if address not in self.socket_by_client:
                    self.socket_by_client[address] = node_socket = self._socket()
                    self.client_by_socket[node_socket] = address
                self._pass(self.socket_by_client[address], self.peer, data)
