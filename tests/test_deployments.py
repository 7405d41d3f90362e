"""One day's shape of each deployment through three nodes: drains, restarts, silence, a dead server."""

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


@pytest.mark.parametrize("site", DEPLOYMENTS)
def test_a_day_of_either_deployment(tmp_path: Path, site: str) -> None:
    day = DeploymentRun(tmp_path, DEPLOYMENTS[site])
    asked = site == "asked"
    try:
        wait_for(lambda: len(day.observations.established) >= 30, 10.0)
        # A server drains while all watches are open.
        first, second, third = day.servers[:3]
        day.drain_known_at[first.name] = day.discovery.announce(first.entry, state="Terminating")
        if asked:
            first.migrate_clients()
        wait_for(lambda: time.time() > day.drain_known_at[first.name] + day.drain_grace_s + 0.2)
        # One node after another is restarted, and has nothing but its last list; one is killed.
        for node, how in zip(day.nodes, (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL), strict=True):
            node.stop(how)
            assert how is signal.SIGKILL or node.process.returncode == 0
            node.start()
        wait_for(lambda: len(day.observations.established) >= 30, 10.0)
        # Discovery falls silent in the middle of all three watches, and another server drains meanwhile.
        day.discovery.fall_silent("in_body", 3)
        at = day.discovery.announce(second.entry, state="Terminating")
        # 2 s after the wait of a silent watch, or 6 s after its silence began, what it hid counts as told.
        waits = [(began, re.search(r"wait=(\d+)", path)) for began, path in day.discovery.calls if began < at]
        ends = [began + int(found[1]) / 1000 for began, found in waits if found is not None]
        day.drain_known_at[second.name] = max(at + 6.0, max(ends) + 2.0) if asked else at
        if asked:
            wait_for(lambda: day.discovery.silent_calls_left == 0, 10.0)
        # A server dies, and its clients with it.
        day.killed_servers.add(third.name)
        third.stop()
        for sock in list(third.established):
            hard_reset(sock)
        day.discovery.announce(third.entry, state="Gone")
        wait_for(lambda: time.time() > day.drain_known_at[second.name] + day.drain_grace_s + 0.5, 12.0)
        wait_for(lambda: len(day.observations.established) >= 30, 10.0)
    finally:
        day.stop()
    print(dict(day.observations.answer_counts), *day.observations.lost_connections, sep="\n")
    assert not day.late_forwards()
    assert not day.observations.late_answers
    assert day.observations.answer_counts["none"] == 0 and day.observations.answer_counts["ERR"] == 0
    assert not day.observations.lost_connections
    for s in day.servers:
        ids = Counter(line.split(" ")[1] for _, line in s.lines if line.startswith("OPEN"))
        assert max(ids.values(), default=0) <= 1, "sent to one server twice"
    for node in day.nodes:
        assert "Traceback" not in node.log.read_text()


@pytest.mark.parametrize(("limits", "killed"), [((1.8, 2.0), 2.7), ((3.0, 2.0, 1.2), 3.7), ((30.0,), 3.7)])
def test_sigkill_comes_by_the_longest_deadline(limits: tuple[float, ...], killed: float) -> None:
    classes = {str(k): ClassSettings(str(k), time_limit=limit) for k, limit in enumerate(limits)}
    assert kill_time(Settings(classes)) == pytest.approx(killed)


def test_a_node_whose_deadlines_are_short_has_moved_all_and_ended_before_it_may_be_killed(
    tmp_path: Path,
) -> None:
    """It took 3.5 s wherever it ran, where it may be killed after 2.7 s with all that it still holds."""
    a = EndpointServer("a")
    with running_node(tmp_path, [a], settings=PUSHED | {"Lanes": [lane("inventory", 300, 900, 5.0)]}) as w:
        clients = [w.client() for _ in range(20)]
        for client in clients:
            assert client.open_request("c=inventory,d=900,g=1").startswith("UP")
        began = time.time()
        w.process.send_signal(signal.SIGTERM)
        assert [client.read_line() for client in clients] == ["MOVE"] * 20
        assert w.process.wait(5) == 0
        assert time.time() - began < 0.9 + 0.7 + SCHEDULING_SLACK_S


def test_what_probes_take_is_learned_and_bounded() -> None:
    """Probes that wait like a request were held unanswered after 0.25 s, and their servers for silent."""
    usual = LatencyEstimate()
    assert usual.timeout(HEALTH_CHECK_TIMEOUT_S, HEALTH_CHECK_TIMEOUT_MAX_S) == 0.25
    for k in range(40):
        usual.observe(0.2 + 0.05 * (k % 2))
    assert 0.25 < usual.timeout(HEALTH_CHECK_TIMEOUT_S, HEALTH_CHECK_TIMEOUT_MAX_S) < 0.4
    for _ in range(40):
        usual.observe(2.0)
    assert usual.timeout(HEALTH_CHECK_TIMEOUT_S, HEALTH_CHECK_TIMEOUT_MAX_S) == 0.5
    for _ in range(80):
        usual.observe(0.002)
    assert usual.timeout(HEALTH_CHECK_TIMEOUT_S, HEALTH_CHECK_TIMEOUT_MAX_S) == 0.25


def test_eight_nodes_wait_in_turn_at_one_discovery_that_is_short_of_room(tmp_path: Path) -> None:
    """All restarted at once with their last list, on which a server is that is gone. Discovery serves four
    calls a second; calls that were given up early, or made again at once, would leave it nothing but such.
    Each node asked twice, for the whole list and for what follows it, and while discovery worked through
    these calls, news waited behind them: a drain that was told then was sent to for 0.7 s."""
    live, gone = LoadReportingServer("live"), LoadReportingServer("gone")
    gone.stop()
    for s in (live, gone):
        s.report()
    d = SerializedDiscovery([live.entry, gone.entry], service_time_s=0.25, max_wait_s=0.7)
    nodes = [NodeProcess(tmp_path, k, ON_REQUEST | {"ReplicasOfMe": 8}, d, wait=False) for k in range(8)]
    try:
        d.announce(gone.entry, state="Gone")
        for node in nodes:
            wait_for(node.is_ready, 15.0)
            assert Client(node.address).open_request("c=album-edit,d=2000,g=1,t=large").split(" ")[0] in (
                "UP",
                "BUSY",
            )
        wait_for(lambda: all("lists_delta" in n.counters() for n in nodes), 10.0)
        assert all("index=" in path for _, path in d.calls)  # what they knew was asked on from
        began, before = time.time(), len(d.calls)
        told = d.announce(live.entry, weight=2.0)
        news = f"'version': {d.version},"
        wait_for(lambda: all(n.counters() and news in n.log.read_text() for n in nodes), 8.0)
        took, made = time.time() - told, len(d.calls) - before
        print(f"{d.failures} calls found no room, {made} calls in {took:.1f} s after the news")
        assert took < 6.0 and made / max(1.0, time.time() - began) < 16.0
        # Once all watch again, each waits its time out: no more than a call a node in it, and none fails.
        wait_for(lambda: d.open_watches == 8, 6.0)
        quiet, failed, since = len(d.calls), d.failures, time.time()
        wait_for(lambda: time.time() > since + 4.0, 5.0)
        assert len(d.calls) - quiet <= 12 and d.failures - failed <= 4
    finally:
        for node in nodes:
            node.process.kill()
            node.process.wait()


def test_what_servers_tell_of_loads_reaches_the_module_and_its_choice_of_whom_to_refuse(
    tmp_path: Path,
) -> None:
    """LOAD lines were read and went nowhere. A class that asks three times as much for the same worth is
    refused where one that asks little still has room.

    Its servers report what the test says and nothing else: those of a day report what they hold whenever a
    connection ends, and so took the test's figures back in the midst of it. And what stands has stood since
    before the node's start: what has just grown is held for more than reports show, for some seconds."""
    s, t = EndpointServer("a"), EndpointServer("b")
    d = SilentDiscovery([s.entry, t.entry])
    lanes = [lane("light", 500, 2000, 3.0), lane("heavy", 500, 2000, 3.0)]
    node = NodeProcess(tmp_path, 0, ON_REQUEST | {"Lanes": lanes, "Tenants": None, "ReplicasOfMe": 1}, d)
    try:
        kept = []
        for k in range(40):
            for x in (s, t):
                x.load = f"x0={0.2 + 0.001 * k},x1=0,inflight=40"
            client = Client(node.address)
            name, server = ("light", "heavy")[k % 2], (s, t)[k // 2 % 2]
            answer = client.open_request(f"c={name},d=2000,g=g{k},at={server.entry['id']}")
            assert answer == f"UP {server.name}"
            server.established[-1].sendall(b"LOAD %d\r\n" % (10_000 if name == "light" else 60_000))
            assert client.read_line().startswith("LOAD ")
            kept.append(client)
        seen = {"light": Counter[str](), "heavy": Counter[str]()}
        for k in range(60):
            for x in (s, t):
                x.load = f"x0={0.81 + 0.0001 * k},x1=0,inflight=80"
            name = ("light", "heavy")[k % 2]
            client = Client(node.address)
            seen[name][client.open_request(f"c={name},d=2000,g=g{k % 40}").split(" ")[0]] += 1
            client.sock.close()
            time.sleep(0.1)
        print({name: dict(n) for name, n in seen.items()})
        assert seen["light"]["UP"] >= 20 and seen["heavy"]["UP"] <= 10
    finally:
        node.process.kill()
        node.process.wait()
