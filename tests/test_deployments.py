"""Short runs of each deployment with three nodes: drains, restarts, silent discovery, a dead server."""

from __future__ import annotations

import re
import signal
import time
from collections import Counter
from pathlib import Path

import pytest

from gradegap.balancing.rates import LatencyEstimate
from gradegap.balancing.settings import ClassSettings, Settings
from gradegap.node.shutdown import kill_time
from gradegap.proxy.health_checks import HEALTH_CHECK_TIMEOUT_MAX_S, HEALTH_CHECK_TIMEOUT_S
from tests.support.deployments import (
    DEPLOYMENTS,
    ON_REQUEST,
    PUSHED,
    DeploymentRun,
    LoadReportingServer,
    NodeProcess,
    lane,
)
from tests.support.node_environment import (
    SCHEDULING_SLACK_S,
    Client,
    EndpointServer,
    hard_reset,
    running_node,
    wait_for,
)
from tests.support.silent_discovery import SerializedDiscovery, SilentDiscovery


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_deployment_run_with_drains_restarts_and_failures(tmp_path: Path, deployment: str) -> None:
    run = DeploymentRun(tmp_path, DEPLOYMENTS[deployment])
    is_on_request = deployment == "asked"
    try:
        wait_for(lambda: len(run.observations.established) >= 30, 10.0)
        # One server drains while all watches are open.
        first, second, third = run.servers[:3]
        run.drain_known_at[first.name] = run.discovery.announce(first.entry, state="Terminating")
        if is_on_request:
            first.migrate_clients()
        wait_for(lambda: time.time() > run.drain_known_at[first.name] + run.drain_grace_s + 0.2)
        # All nodes are restarted one after another with only their last lists; the last one is stopped by
        # SIGKILL.
        for node, stop_signal in zip(
            run.nodes, (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL), strict=True
        ):
            node.stop(stop_signal)
            assert stop_signal is signal.SIGKILL or node.process.returncode == 0
            node.start()
        wait_for(lambda: len(run.observations.established) >= 30, 10.0)
        # Discovery stops sending in the body of all three watches' answers, and a second server drains
        # meanwhile.
        run.discovery.fall_silent("in_body", 3)
        drain_announced_at = run.discovery.announce(second.entry, state="Terminating")
        # The nodes must know of the drain 2 s after the wait of a silent watch, or 6 s after the silence
        # began.
        watch_waits = [
            (call_time, re.search(r"wait=(\d+)", path))
            for call_time, path in run.discovery.calls
            if call_time < drain_announced_at
        ]
        watch_ends = [
            call_time + int(wait_match[1]) / 1000
            for call_time, wait_match in watch_waits
            if wait_match is not None
        ]
        run.drain_known_at[second.name] = (
            max(drain_announced_at + 6.0, max(watch_ends) + 2.0) if is_on_request else drain_announced_at
        )
        if is_on_request:
            wait_for(lambda: run.discovery.silent_calls_left == 0, 10.0)
        # A third server dies, and its connections are reset.
        run.killed_servers.add(third.name)
        third.stop()
        for sock in list(third.established):
            hard_reset(sock)
        run.discovery.announce(third.entry, state="Gone")
        wait_for(lambda: time.time() > run.drain_known_at[second.name] + run.drain_grace_s + 0.5, 12.0)
        wait_for(lambda: len(run.observations.established) >= 30, 10.0)
    finally:
        run.stop()
    print(dict(run.observations.answer_counts), *run.observations.lost_connections, sep="\n")
    assert not run.late_forwards()
    assert not run.observations.late_answers
    assert run.observations.answer_counts["none"] == 0 and run.observations.answer_counts["ERR"] == 0
    assert not run.observations.lost_connections
    for server in run.servers:
        request_counts = Counter(line.split(" ")[1] for _, line in server.lines if line.startswith("OPEN"))
        assert max(request_counts.values(), default=0) <= 1, "sent to one server twice"
    for node in run.nodes:
        assert "Traceback" not in node.log.read_text()


@pytest.mark.parametrize(
    ("time_limits_s", "expected_kill_time_s"), [((1.8, 2.0), 2.7), ((3.0, 2.0, 1.2), 3.7), ((30.0,), 3.7)]
)
def test_kill_time_follows_longest_deadline(
    time_limits_s: tuple[float, ...], expected_kill_time_s: float
) -> None:
    classes = {
        str(index): ClassSettings(str(index), time_limit=limit) for index, limit in enumerate(time_limits_s)
    }
    assert kill_time(Settings(classes)) == pytest.approx(expected_kill_time_s)


def test_node_with_short_deadlines_exits_before_its_kill_time(
    tmp_path: Path,
) -> None:
    """Guards against a shutdown of fixed 3.5 s, as the platform may kill a node with short deadlines after
    2.7 s, while it still has connections."""
    server = EndpointServer("a")
    with running_node(
        tmp_path, [server], settings=PUSHED | {"Lanes": [lane("inventory", 300, 900, 5.0)]}
    ) as node:
        clients = [node.client() for _ in range(20)]
        for client in clients:
            assert client.open_request("c=inventory,d=900,g=1").startswith("UP")
        started_at = time.time()
        node.process.send_signal(signal.SIGTERM)
        assert [client.read_line() for client in clients] == ["MOVE"] * 20
        assert node.process.wait(5) == 0
        assert time.time() - started_at < 0.9 + 0.7 + SCHEDULING_SLACK_S


def test_health_check_timeout_follows_latency_within_bounds() -> None:
    """Guards against a fixed timeout of 0.25 s: health checks that wait in a server's queue like requests
    would fail, and their servers be considered silent."""
    estimate = LatencyEstimate()
    assert estimate.timeout(HEALTH_CHECK_TIMEOUT_S, HEALTH_CHECK_TIMEOUT_MAX_S) == 0.25
    for index in range(40):
        estimate.observe(0.2 + 0.05 * (index % 2))
    assert 0.25 < estimate.timeout(HEALTH_CHECK_TIMEOUT_S, HEALTH_CHECK_TIMEOUT_MAX_S) < 0.4
    for _ in range(40):
        estimate.observe(2.0)
    assert estimate.timeout(HEALTH_CHECK_TIMEOUT_S, HEALTH_CHECK_TIMEOUT_MAX_S) == 0.5
    for _ in range(80):
        estimate.observe(0.002)
    assert estimate.timeout(HEALTH_CHECK_TIMEOUT_S, HEALTH_CHECK_TIMEOUT_MAX_S) == 0.25


def test_eight_restarted_nodes_do_not_overload_slow_discovery(tmp_path: Path) -> None:
    """Eight nodes restart at once with their last list, which has a server that is gone. Discovery serves
    four calls a second. Guards against calls that are given up early or repeated at once, which leave
    discovery busy with abandoned calls, and against two calls per node, for the full list and for its
    changes: updates wait behind them, so that a drain announced then still gets requests for 0.7 s."""
    live, gone = LoadReportingServer("live"), LoadReportingServer("gone")
    gone.stop()
    for server in (live, gone):
        server.report()
    discovery = SerializedDiscovery([live.entry, gone.entry], service_time_s=0.25, max_wait_s=0.7)
    nodes = [
        NodeProcess(tmp_path, index, ON_REQUEST | {"ReplicasOfMe": 8}, discovery, wait=False)
        for index in range(8)
    ]
    try:
        discovery.announce(gone.entry, state="Gone")
        for node in nodes:
            wait_for(node.is_ready, 15.0)
            assert Client(node.address).open_request("c=album-edit,d=2000,g=1,t=large").split(" ")[0] in (
                "UP",
                "BUSY",
            )
        wait_for(lambda: all("lists_delta" in node.counters() for node in nodes), 10.0)
        assert all("index=" in path for _, path in discovery.calls)  # each call continues from the known list
        started_at, calls_before = time.time(), len(discovery.calls)
        announced_at = discovery.announce(live.entry, weight=2.0)
        log_text = f"'version': {discovery.version},"
        wait_for(lambda: all(node.counters() and log_text in node.log.read_text() for node in nodes), 8.0)
        elapsed_s, call_count = time.time() - announced_at, len(discovery.calls) - calls_before
        print(f"{discovery.failures} calls failed, {call_count} calls in {elapsed_s:.1f} s after the update")
        assert elapsed_s < 6.0 and call_count / max(1.0, time.time() - started_at) < 16.0
        # Once all nodes watch again, each watch lasts its full wait: at most one call per node, without
        # failures.
        wait_for(lambda: discovery.open_watches == 8, 6.0)
        calls_at_start, failures_at_start, window_start = (
            len(discovery.calls),
            discovery.failures,
            time.time(),
        )
        wait_for(lambda: time.time() > window_start + 4.0, 5.0)
        assert len(discovery.calls) - calls_at_start <= 12 and discovery.failures - failures_at_start <= 4
    finally:
        for node in nodes:
            node.process.kill()
            node.process.wait()


def test_load_lines_affect_which_class_is_rejected(
    tmp_path: Path,
) -> None:
    """Guards against LOAD lines that are read but not used. A class that needs three times the load for the
    same points is rejected while a class with a low load still has capacity.

    The servers report only the load that the test sets: `LoadReportingServer` reports its number of
    connections at each end of a connection, and would overwrite the test's values. The established
    connections are declared as older than the node (`at=`), because for some seconds a new connection counts
    for more than reports show."""
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    discovery = SilentDiscovery([server_a.entry, server_b.entry])
    classes = [lane("light", 500, 2000, 3.0), lane("heavy", 500, 2000, 3.0)]
    node = NodeProcess(
        tmp_path, 0, ON_REQUEST | {"Lanes": classes, "Tenants": None, "ReplicasOfMe": 1}, discovery
    )
    try:
        clients = []
        for index in range(40):
            for each_server in (server_a, server_b):
                each_server.load = f"x0={0.2 + 0.001 * index},x1=0,inflight=40"
            client = Client(node.address)
            class_name, server = ("light", "heavy")[index % 2], (server_a, server_b)[index // 2 % 2]
            answer = client.open_request(f"c={class_name},d=2000,g=g{index},at={server.entry['id']}")
            assert answer == f"UP {server.name}"
            server.established[-1].sendall(b"LOAD %d\r\n" % (10_000 if class_name == "light" else 60_000))
            assert client.read_line().startswith("LOAD ")
            clients.append(client)
        answer_counts = {"light": Counter[str](), "heavy": Counter[str]()}
        for index in range(60):
            for each_server in (server_a, server_b):
                each_server.load = f"x0={0.81 + 0.0001 * index},x1=0,inflight=80"
            class_name = ("light", "heavy")[index % 2]
            client = Client(node.address)
            answer_counts[class_name][
                client.open_request(f"c={class_name},d=2000,g=g{index % 40}").split(" ")[0]
            ] += 1
            client.sock.close()
            time.sleep(0.1)
        print({class_name: dict(counts) for class_name, counts in answer_counts.items()})
        assert answer_counts["light"]["UP"] >= 20 and answer_counts["heavy"]["UP"] <= 10
    finally:
        node.process.kill()
        node.process.wait()
