"""Events that come between two lines of the node, each forced: by a stand-in that holds its word until then,
or by what is put into a socket before the loop may read it. Nothing here waits for luck."""

from __future__ import annotations

import socket
import threading
from pathlib import Path

import pytest

from tests.world import Backend, hard_reset, wait_for, world

# Closing


class Deaf(Backend):
    """A save server that says UP and reads nothing after it."""

    def _serve(self, sock: socket.socket) -> None:
        file = sock.makefile("rb", buffering=0)
        for raw in file:
            if raw.startswith(b"STATS"):
                sock.sendall(f"PONG {self.load}\r\n".encode())
            else:
                self.standing.append(sock)
                sock.sendall(b"UP a\r\n")
                threading.Event().wait()


def test_a_server_that_reads_no_more_does_not_keep_the_descriptor_of_a_client_that_left(
    tmp_path: Path,
) -> None:
    """What the client had sent could not go out, so the close that waited for it never came."""
    with world(tmp_path, [Deaf("a")]) as w:
        c = w.client()
        assert c.ask() == "UP a"
        c.sock.settimeout(0.5)
        with pytest.raises(TimeoutError):
            while True:
                c.sock.sendall(b"x" * 1000 + b"\r\n")
        hard_reset(c.sock)
        wait_for(lambda: w.counters()["open_sessions"] == "0", 8.0)  # silent, and so moved
        # What is left: the call to discovery, and the connection that carries probes.
        wait_for(lambda: w.counters()["sockets"].startswith("2/"), 5.0)
