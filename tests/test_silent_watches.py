"""All watches of a fleet fall silent at once, at a discovery that works through calls in turn."""

from __future__ import annotations

import copy
import re
import threading
import time
from pathlib import Path
from typing import Any

from gradegap.discovery.watch_schedule import SILENCE_NOTIFIED_S, WAIT_NOTIFIED_S
from tests.support.deployments import ON_REQUEST, LoadReportingServer, NodeProcess
from tests.support.node_environment import SCHEDULING_SLACK_S, Client, wait_for
from tests.support.silent_discovery import SerializedDiscovery

NODES = 6
CALL_TAKES = 0.29  # s of the discovery's time that each call takes, also one that its caller gave up
PATIENCE = 1.8  # s that a call waits for its turn before it is refused
GRACE = 0.25 + 0.05  # s, with the rules' slack
ASK_PAUSE = 0.02  # s between two requests of a client


class Asker(threading.Thread):
    """A client that asks one node again and again; notes when it last reached the server named."""

    def __init__(self, node: NodeProcess, server: str) -> None:
        super().__init__(daemon=True)
        self.node, self.server = node, server
        self.last = 0.0
        self.over = threading.Event()

    def run(self) -> None:
        while not self.over.wait(ASK_PAUSE):
            asked = time.time()
            client = Client(self.node.address)
            if client.open_request("c=album-edit,d=2000,g=1,t=large") == f"UP {self.server}":
                self.last = asked
            client.sock.close()

    def end(self) -> None:
        """Ask no more; the node still answers what is under way."""
        self.over.set()
        if self.is_alive():
            self.join(PATIENCE)


def notified_at(discovery: SerializedDiscovery, address: str, silent_at: float, drained_at: float) -> float:
    """When the rules hold a node for told of a drain that its silent watch hid."""
    watches = [
        (at, path) for at, path, dialled in discovery.called_at if dialled == address and at < silent_at
    ]
    began, path = watches[-1]
    found = re.search(r"wait=(\d+)", path)
    assert found is not None
    ended = began + int(found[1]) / 1000
    return max(silent_at + SILENCE_NOTIFIED_S, ended + WAIT_NOTIFIED_S, drained_at)


def test_a_drain_is_kept_by_all_nodes_whose_watches_fell_silent_at_once(tmp_path: Path) -> None:
    """The watches of nodes that were started together ended together, so that all called discovery in the
    same moment after a common silence. Calls that waited for their turn were given up after 0.6 s and made
    anew. Each took its turn all the same, and the last nodes sent to a server that drained up to 2.4 s after
    the rules held them for told."""
    settings: dict[str, Any] = copy.deepcopy(ON_REQUEST) | {"ReplicasOfMe": NODES}
    a, b = LoadReportingServer("a"), LoadReportingServer("b")
    for server in (a, b):
        server.report()
    discovery = SerializedDiscovery([a.entry, b.entry], service_time_s=CALL_TAKES, max_wait_s=PATIENCE)
    addresses = [f"127.0.7.{k + 1}" for k in range(NODES)]
    nodes = [
        NodeProcess(tmp_path, k, settings, discovery, wait=False, discovery=discovery.listen_on(address))
        for k, address in enumerate(addresses)
    ]
    askers = [Asker(node, a.name) for node in nodes]
    try:
        for node in nodes:
            wait_for(node.is_ready, 15.0)
        wait_for(lambda: discovery.open_watches == NODES, 10.0)
        # The second watch of each is open.
        wait_for(lambda: len(discovery.calls) >= 2 * NODES, 15.0)
        for asker in askers:
            asker.start()
        wait_for(lambda: all(asker.last for asker in askers))
        discovery.fall_silent("unread", NODES)
        silent_at = time.time()
        drained_at = discovery.announce(a.entry, state="Terminating")
        told = [notified_at(discovery, address, silent_at, drained_at) for address in addresses]
        wait_for(lambda: time.time() > max(told) + 2.5, 15.0)
    finally:
        for asker in askers:
            asker.end()
        for node in nodes:
            node.process.kill()
            node.process.wait()
    late = [round(asker.last - at, 2) for asker, at in zip(askers, told, strict=True)]
    spread = max(told) - min(told)
    print(f"last sent {late} s after each was held for told, {GRACE} allowed; told over {spread:.2f} s")
    print(*[(round(at - silent_at, 2), dialled, path) for at, path, dialled in discovery.called_at], sep="\n")
    assert discovery.silent_calls_left == 0
    assert max(late) <= GRACE + SCHEDULING_SLACK_S


def test_a_call_that_waits_for_its_turn_is_not_made_anew_in_vain(tmp_path: Path) -> None:
    """Discovery takes 1 s for a call. The one after a silent watch was given up after 0.6 s, and the list
    came with the next, which waited for the call that nobody waited for any more."""
    each = 1.0
    a, b = LoadReportingServer("a"), LoadReportingServer("b")
    for server in (a, b):
        server.report()
    discovery = SerializedDiscovery([a.entry, b.entry], service_time_s=each, max_wait_s=PATIENCE)
    node = NodeProcess(tmp_path, 0, copy.deepcopy(ON_REQUEST) | {"ReplicasOfMe": 1}, discovery)
    asker = Asker(node, a.name)
    try:
        wait_for(lambda: discovery.open_watches == 1, 10.0)
        asker.start()
        wait_for(lambda: asker.last > 0.0)
        discovery.fall_silent("unread", 1)
        silent_at = time.time()
        drained_at = discovery.announce(a.entry, state="Terminating")
        told = notified_at(discovery, "127.0.0.1", silent_at, drained_at)
        wait_for(lambda: len([path for _, path in discovery.calls if "wait=0" in path]) == 1, 10.0)
        asked_again = time.time()
        wait_for(lambda: time.time() > max(told, asked_again + each) + 1.5, 15.0)
        counters = node.counters()
    finally:
        asker.end()
        node.process.kill()
        node.process.wait()
    print(
        f"last sent {asker.last - asked_again:.2f} s after the call; told {told - asked_again:.2f} s after it"
    )
    assert asker.last <= asked_again + each + SCHEDULING_SLACK_S
    assert counters["lists_delta"] and "lists_full" not in counters
