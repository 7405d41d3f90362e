"""Drains while all watches of a fleet are silent, with a discovery that answers calls one after another."""

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

NODE_COUNT = 6
SERVICE_TIME_S = 0.29  # time that discovery spends on each call, even if its caller has closed it
MAX_QUEUE_WAIT_S = 1.8  # time after which discovery rejects a queued call
DRAIN_GRACE_S = 0.25 + 0.05  # grace period of a drain plus the tolerance of the platform's rules
REQUEST_INTERVAL_S = 0.02  # interval between two requests of a client


class RequestThread(threading.Thread):
    """A client that sends requests to one node, and records when the last one reached the given server."""

    def __init__(self, node: NodeProcess, server: str) -> None:
        super().__init__(daemon=True)
        self.node, self.server = node, server
        self.last_request_at = 0.0
        self.stopped = threading.Event()

    def run(self) -> None:
        while not self.stopped.wait(REQUEST_INTERVAL_S):
            requested_at = time.time()
            client = Client(self.node.address)
            if client.open_request("c=album-edit,d=2000,g=1,t=large") == f"UP {self.server}":
                self.last_request_at = requested_at
            client.sock.close()

    def end(self) -> None:
        """Stop sending requests; the node still answers the open one."""
        self.stopped.set()
        if self.is_alive():
            self.join(MAX_QUEUE_WAIT_S)


def notification_time(
    discovery: SerializedDiscovery, address: str, silent_at: float, drained_at: float
) -> float:
    """Time at which a node counts as notified of a drain that its silent watch did not deliver."""
    watches = [
        (at, path) for at, path, dialled in discovery.called_at if dialled == address and at < silent_at
    ]
    began_at, path = watches[-1]
    found = re.search(r"wait=(\d+)", path)
    assert found is not None
    wait_ended_at = began_at + int(found[1]) / 1000
    return max(silent_at + SILENCE_NOTIFIED_S, wait_ended_at + WAIT_NOTIFIED_S, drained_at)


def test_all_nodes_with_silent_watches_stop_sending_to_draining_server_in_time(tmp_path: Path) -> None:
    """Guards against nodes that poll in the same moment after a common silence. Queued calls that are closed
    after 0.6 s and repeated still take discovery's time, so that the last nodes sent requests to a draining
    server up to 2.4 s after they counted as notified."""
    settings: dict[str, Any] = copy.deepcopy(ON_REQUEST) | {"ReplicasOfMe": NODE_COUNT}
    server_a, server_b = LoadReportingServer("a"), LoadReportingServer("b")
    for server in (server_a, server_b):
        server.report()
    discovery = SerializedDiscovery(
        [server_a.entry, server_b.entry], service_time_s=SERVICE_TIME_S, max_wait_s=MAX_QUEUE_WAIT_S
    )
    addresses = [f"127.0.7.{node_index + 1}" for node_index in range(NODE_COUNT)]
    nodes = [
        NodeProcess(
            tmp_path, node_index, settings, discovery, wait=False, discovery=discovery.listen_on(address)
        )
        for node_index, address in enumerate(addresses)
    ]
    request_threads = [RequestThread(node, server_a.name) for node in nodes]
    try:
        for node in nodes:
            wait_for(node.is_ready, 15.0)
        wait_for(lambda: discovery.open_watches == NODE_COUNT, 10.0)
        # The second watch of each node is open.
        wait_for(lambda: len(discovery.calls) >= 2 * NODE_COUNT, 15.0)
        for request_thread in request_threads:
            request_thread.start()
        wait_for(lambda: all(request_thread.last_request_at for request_thread in request_threads))
        discovery.fall_silent("unread", NODE_COUNT)
        silent_at = time.time()
        drained_at = discovery.announce(server_a.entry, state="Terminating")
        notified_times = [
            notification_time(discovery, address, silent_at, drained_at) for address in addresses
        ]
        wait_for(lambda: time.time() > max(notified_times) + 2.5, 15.0)
    finally:
        for request_thread in request_threads:
            request_thread.end()
        for node in nodes:
            node.process.kill()
            node.process.wait()
    lateness_s = [
        round(request_thread.last_request_at - at, 2)
        for request_thread, at in zip(request_threads, notified_times, strict=True)
    ]
    spread_s = max(notified_times) - min(notified_times)
    print(
        f"last sent {lateness_s} s after each notification, {DRAIN_GRACE_S} allowed; "
        f"notified over {spread_s:.2f} s"
    )
    print(*[(round(at - silent_at, 2), dialled, path) for at, path, dialled in discovery.called_at], sep="\n")
    assert discovery.silent_calls_left == 0
    assert max(lateness_s) <= DRAIN_GRACE_S + SCHEDULING_SLACK_S


def test_queued_call_after_silent_watch_is_not_repeated(tmp_path: Path) -> None:
    """Guards against a call that is closed after 0.6 s while discovery takes 1 s for each call: the next call
    then waits behind the closed one, and the list arrives late."""
    service_time_s = 1.0
    server_a, server_b = LoadReportingServer("a"), LoadReportingServer("b")
    for server in (server_a, server_b):
        server.report()
    discovery = SerializedDiscovery(
        [server_a.entry, server_b.entry], service_time_s=service_time_s, max_wait_s=MAX_QUEUE_WAIT_S
    )
    node = NodeProcess(tmp_path, 0, copy.deepcopy(ON_REQUEST) | {"ReplicasOfMe": 1}, discovery)
    request_thread = RequestThread(node, server_a.name)
    try:
        wait_for(lambda: discovery.open_watches == 1, 10.0)
        request_thread.start()
        wait_for(lambda: request_thread.last_request_at > 0.0)
        discovery.fall_silent("unread", 1)
        silent_at = time.time()
        drained_at = discovery.announce(server_a.entry, state="Terminating")
        drain_notified_at = notification_time(discovery, "127.0.0.1", silent_at, drained_at)
        wait_for(lambda: len([path for _, path in discovery.calls if "wait=0" in path]) == 1, 10.0)
        repeated_at = time.time()
        wait_for(lambda: time.time() > max(drain_notified_at, repeated_at + service_time_s) + 1.5, 15.0)
        counters = node.counters()
    finally:
        request_thread.end()
        node.process.kill()
        node.process.wait()
    print(
        f"last sent {request_thread.last_request_at - repeated_at:.2f} s after the call; "
        f"notified {drain_notified_at - repeated_at:.2f} s after it"
    )
    assert request_thread.last_request_at <= repeated_at + service_time_s + SCHEDULING_SLACK_S
    assert counters["lists_delta"] and "lists_full" not in counters
