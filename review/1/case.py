"""After a save server's restart a node closes connections without an answer, one request after the other."""

from __future__ import annotations

import contextlib
import threading
import time
from itertools import count
from pathlib import Path

from review.one_node import OneNode, SaveServer
from review.standins import TROUBLE, CaseNotRunError, run_case, wait_until
from tests.support.node_environment import Client

DOWN_S = 5.0
TOLD_AFTER_S = 5.3  # the list is "2.2 to 9 s further behind"
LIST_GAP_S = 0.7  # from the list's `Gone` to its `Ready`
SET_UP_S = 0.3  # the class's aim is 500 ms
STAYS_S, LINE_INTERVAL_S = 4.0, 1.0
WAIT_MS = 3000  # the class's limit
LATE_ANSWER_S = 0.55  # an answer up to half a second late earns nothing, but counts; 50 ms more on sockets
OBSERVED_S, INTERVAL_S = 8.0, 0.2
IDS = count(1)


class Request:
    """A client's request: its first line, and the first line that it gets."""

    def __init__(self, node: OneNode, stays_s: float = 0.0) -> None:
        self.node, self.stays_s = node, stays_s
        number = next(IDS)
        self.id = f"{number:016x}"
        self.line = f"OPEN {self.id} 7f3a c=album-feed,t=large,d={WAIT_MS},g={number % 7:016x}"
        self.is_taken = False
        self.answer = ""
        self.took_s = 0.0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        client = self.node.connect()
        if client is None:
            self.node.record.write(f"client {self.id}: refused")
            return
        with contextlib.closing(client.sock), contextlib.suppress(OSError):
            client.sock.settimeout(WAIT_MS / 1000 + LATE_ANSWER_S)
            begun_at = time.monotonic()
            client.send(self.line)
            self.is_taken = True
            with contextlib.suppress(OSError):
                self.answer = client.read_line()
            self.took_s = time.monotonic() - begun_at
            text = f"client {self.id}: {self.answer or 'closed without an answer'} after {self.took_s:.3f} s"
            self.node.record.write(text)
            if self.answer.startswith("UP "):
                self._stay(client)

    def _stay(self, client: Client) -> None:
        end = time.monotonic() + self.stays_s
        while time.monotonic() < end:
            client.send("line")
            client.read_line()
            time.sleep(LINE_INTERVAL_S)

    @property
    def is_lost(self) -> bool:
        """Whether the node has taken the request and has not answered it in time."""
        return self.is_taken and not self.answer


def restart_behind_the_list(node: OneNode, server: SaveServer) -> None:
    """Restart a save server; the list tells it later, while a request is being set up at the new process."""
    if TROUBLE:
        server.die()
    time.sleep(DOWN_S)
    if TROUBLE:
        server.start_again()
    started_ms = time.time() * 1000
    time.sleep(TOLD_AFTER_S - DOWN_S)
    server.answer_after_s = SET_UP_S
    server.first_line_read.clear()
    for _ in range(8):
        Request(node, STAYS_S)
    if not server.first_line_read.wait(SET_UP_S):
        raise CaseNotRunError("the save server got no request before the list told of its restart")
    if TROUBLE:
        node.announce(server, state="Gone")
    time.sleep(LIST_GAP_S)
    if TROUBLE:
        node.announce(server, started_ms=started_ms)
    server.answer_after_s = 0.0
    time.sleep(STAYS_S + 1.0)  # the clients have left


def test_each_request_gets_an_answer(node: OneNode) -> bool:
    """Restart a save server, then count the requests that the node leaves without an answer."""
    wait_until(lambda: node.ping() == "PONG", 30.0, "the node is ready")
    before = [Request(node) for _ in range(20)]
    for request in before:
        request.thread.join()
    if not all(request.answer.startswith("UP ") for request in before):
        raise CaseNotRunError("the node did not serve before")
    restart_behind_the_list(node, node.save_servers[0])
    after = []
    end = time.monotonic() + OBSERVED_S
    while time.monotonic() < end:
        after.append(Request(node))
        time.sleep(INTERVAL_S)
    for request in after:
        request.thread.join()
    lost = [request for request in after if request.is_lost]
    node.record.write(f"lost: {len(lost)} of {len(after)} requests; node runs: {node.process.poll() is None}")
    node.record.write(f"the node's log has {node.log().count('Traceback')} tracebacks")
    return not lost


if __name__ == "__main__":
    run_case(Path(__file__).with_name("record.txt"), test_each_request_gets_an_answer, OneNode)
