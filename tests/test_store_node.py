"""Nodes with an embedded store: leases, disabled endpoints, configuration, gossip, hot restart."""

from __future__ import annotations

import asyncio
import re
import signal
import socket
import time
from pathlib import Path

from gradegap.balancing.actions import Action
from gradegap.balancing.events import EndpointEntry, EndpointListKind, EndpointPhase, Event, HealthCheckEnded
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.store.gossip import GossipExchange
from gradegap.store.member_client import MemberClient
from gradegap.store.wire import Gossip, GossipReport
from tests.support.balancer_driver import settings
from tests.support.node_environment import (
    SCHEDULING_SLACK_S,
    EndpointServer,
    NodeEnvironment,
    free_port,
    running_node,
    wait_for,
)
from tests.support.store_nodes import StoreNodes, call, nodes

__all__ = ["nodes"]


def test_disabled_endpoint_is_unused_at_every_node_once_confirmed(nodes: StoreNodes) -> None:
    nodes.start_all()
    for round_number, name in enumerate(nodes.names):
        assert call(nodes.consoles[name], "save-servers/s-a/offline") == 200
        # In force at once at each node: a node that has not applied the write had no lease at the response.
        for node_name in nodes.names:
            assert nodes.open_answers(node_name, 5) == {"UP b"}, (round_number, node_name)
        other = nodes.names[(round_number + 1) % 3]
        assert call(nodes.consoles[other], "save-servers/s-a/online") == 200
        wait_for(lambda node_name=name: "UP a" in nodes.open_answers(node_name))  # type: ignore[misc]
    assert call(nodes.consoles["n1"], "save-servers/s-nobody/offline") == 404
    # A restarted node applies the change before it serves.
    assert call(nodes.consoles["n1"], "save-servers/s-b/offline") == 200
    victim = nodes.names[2]
    nodes.environments[victim].process.kill()
    nodes.environments[victim].process.wait()
    nodes.start(victim, listen=nodes.environments[victim].address)
    wait_for(nodes.environments[victim].is_ready, 15.0)
    assert nodes.open_answers(victim) == {"UP a"}


def test_node_without_lease_rejects_at_once_and_keeps_connections(nodes: StoreNodes) -> None:
    nodes.start_all()
    isolated = nodes.others(nodes.leader())[0]
    node = nodes.environments[isolated]
    established = node.client()
    assert established.open_request().startswith("UP")
    nodes.isolate(isolated)
    wait_for(lambda: not node.is_ready(), 5.0)
    started_at = time.monotonic()
    answer = node.client().open_request("c=live,d=1500,g=1")
    assert re.fullmatch(r"BUSY \d+", answer) and time.monotonic() - started_at < 0.3 + SCHEDULING_SLACK_S
    # The response doesn't wait for a node without a lease.
    started_at = time.monotonic()
    assert call(nodes.consoles[nodes.others(isolated)[0]], "save-servers/s-a/offline") == 200
    assert time.monotonic() - started_at < 2.5
    assert call(nodes.consoles[isolated], "save-servers/s-b/offline") == 503
    established.send("still here")
    assert established.read_line() == "still here"
    open_count = sum(len(server.open_lines) for server in nodes.endpoint_servers)
    for _ in range(5):
        assert node.client().open_request().startswith("BUSY")
    assert sum(len(server.open_lines) for server in nodes.endpoint_servers) == open_count
    counters = node.counters()
    assert int(counters["refused_stale"]) >= 6 and counters["store_fresh"] == "0"
    nodes.relay.heal()
    wait_for(node.is_ready, 15.0)
    assert nodes.open_answers(isolated) == {"UP b"}


def test_resumed_node_decides_nothing_by_stale_state(nodes: StoreNodes) -> None:
    nodes.start_all()
    paused = nodes.others(nodes.leader())[0]
    node = nodes.environments[paused]
    late_client = node.client()
    assert nodes.open_answers(paused, 12) == {"UP a", "UP b"}
    node.process.send_signal(signal.SIGSTOP)
    late_client.send("OPEN late1 k c=live,d=9000")  # stays in the socket buffer
    sockets = [socket.create_connection(("127.0.0.1", int(node.address.split(":")[1]))) for _ in range(10)]
    for k, sock in enumerate(sockets):
        sock.sendall(f"OPEN crowd{k} k c=live,d=9000,g={k}\r\n".encode())
    other = nodes.others(paused)[0]
    open_count = len(nodes.endpoint_servers[0].open_lines)
    assert call(nodes.consoles[other], "save-servers/s-a/offline") == 200
    node.process.send_signal(signal.SIGCONT)
    answers = [
        late_client.read_line(),
        *(sock.makefile("rb").readline().decode().strip() for sock in sockets),
    ]
    assert set(answers) <= {"UP b"} | {answer for answer in answers if answer.startswith("BUSY")}
    assert len(nodes.endpoint_servers[0].open_lines) == open_count
    wait_for(node.is_ready, 15.0)


def test_node_with_when_stale_serve_keeps_serving_counted_and_logged(nodes: StoreNodes) -> None:
    nodes.start_all('when_stale = "serve"\n')
    isolated = nodes.others(nodes.leader())[0]
    node = nodes.environments[isolated]
    nodes.isolate(isolated)
    wait_for(lambda: node.counters()["store_fresh"] == "0", 5.0)
    assert node.is_ready() and nodes.open_answers(isolated) <= {"UP a", "UP b"}
    assert int(node.counters()["decided_stale"]) >= 8
    assert "lease expired" in node.log.read_text()


class NoPort:
    """A backend port that ignores all calls."""

    def connect(self, *args: object) -> None: ...
    def check_health(self, *args: object) -> None: ...
    def close_health_check(self, *args: object) -> None: ...


def test_gossip_reports_reach_balancer_with_their_age() -> None:
    loop = asyncio.new_event_loop()
    proxy = Proxy(settings(), 1, NoPort(), Metrics(), loop)  # type: ignore[arg-type]
    entries = [(EndpointEntry(f"s{k}"), f"127.0.0.1:{k}") for k in (1, 2)]
    proxy.update_endpoints(EndpointListKind.CACHED, entries)
    events: list[tuple[float, str]] = []
    original_handle = proxy.balancer.handle

    def handle(now: float, event: Event) -> list[Action]:
        if isinstance(event, HealthCheckEnded):
            events.append((proxy.now() - now, event.endpoint))
        return original_handle(now, event)

    proxy.balancer.handle = handle  # type: ignore[method-assign]
    has_list = False
    gossip = GossipExchange("me", proxy, proxy.metrics, lambda: has_list)
    valid = GossipReport("s1", "report", 2.0, {"x0": 0.5})
    invalid = [
        GossipReport("s2", "report", 1.0, {"x0": float("nan")}),
        GossipReport("s2", "report", -1.0, {"x0": 0.5}),
        GossipReport("s2", "report", 1.0, {f"f{k}": 1.0 for k in range(50)}),
        GossipReport("s2", "rumour", 1.0, {"x0": 0.5}),
    ]
    old, unknown_endpoint = (
        GossipReport("s2", "report", 60.0, {"x0": 0.5}),
        GossipReport("s9", "report", 1.0, {"x0": 0.5}),
    )
    gossip.receive(Gossip("other", {}, [valid, *invalid, old, unknown_endpoint]))
    assert [server for _, server in events] == ["s1"] and 1.9 < events[0][0] < 2.1
    assert proxy.metrics.counts["gossip_unfit"] == len(invalid)
    # Newer than the known report by less than MIN_REPORT_ADVANCE_S.
    gossip.receive(Gossip("other", {}, [GossipReport("s1", "report", 1.95, {"x0": 0.4})]))
    assert len(events) == 1
    # The node sends its own observations only, not those of other nodes.
    assert gossip.message({}).reports == []
    proxy.endpoints["s2"].report, proxy.endpoints["s2"].report_at = {"x0": 0.1}, proxy.now()
    assert [report.endpoint_id for report in gossip.message({}).reports] == ["s2"]
    # Another node's unanswered health check reaches the balancer as a timed-out one, only once.
    del events[:]
    gossip.receive(Gossip("other", {}, [GossipReport("s1", "silent", 3.0)]))  # s1 has sent a report since
    assert not events
    proxy.endpoints["s1"].report_at = proxy.now() - 9.0
    gossip.receive(Gossip("other", {}, [GossipReport("s1", "silent", 1.0)]))
    gossip.receive(Gossip("third", {}, [GossipReport("s1", "silent", 1.0)]))
    assert [server for _, server in events] == ["s1"] and proxy.metrics.counts["gossip_silent"] == 1
    # Gossip updates the cached endpoint list until discovery has provided one.
    drains = GossipReport("s1", "listed", 0.0, None, int(EndpointPhase.DRAINING), 77.0)
    gossip.receive(Gossip("other", {}, [drains]))
    s1 = proxy.endpoints["s1"]
    assert s1.phase is EndpointPhase.DRAINING and s1.drain_notified_at > 0 and s1.started_at == 77.0
    has_list = True
    gossip.receive(
        Gossip("other", {}, [GossipReport("s2", "listed", 0.0, None, int(EndpointPhase.REMOVED), 0.0)])
    )
    assert proxy.endpoints["s2"].phase is EndpointPhase.READY
    assert {report.endpoint_id for report in gossip.message({}).reports if report.kind == "listed"} == {
        "s1",
        "s2",
    }
    loop.close()


def test_configuration_change_takes_effect_at_every_node(nodes: StoreNodes) -> None:
    nodes.start_all()
    with nodes.member_client("n1") as client:
        client.set("config/log_level", "error")
    for node_name in nodes.names:
        nodes.environments[node_name].process.send_signal(signal.SIGHUP)  # would be logged below level error
        nodes.environments[node_name].process.terminate()
    for node_name in nodes.names:
        assert nodes.environments[node_name].process.wait(6) == 0
        assert 'event="shutdown started"' not in nodes.environments[node_name].log.read_text()


def test_gossip_carries_node_state_and_reports(nodes: StoreNodes) -> None:
    nodes.start_all()
    for node_name in nodes.names:
        nodes.open_answers(node_name)
    wait_for(lambda: int(nodes.environments["n1"].counters().get("gossip_heard", 0)) > 2, 10.0)
    with nodes.member_client("n1") as client:
        node_states = client.status()["nodes"]
    assert (
        node_states["n2"]["state"] == "ready"
        and node_states["n2"]["listen"] == nodes.environments["n2"].address
    )


def test_hot_restart_of_leader_keeps_clients(nodes: StoreNodes) -> None:
    nodes.start_all()
    leader = nodes.leader()
    first = nodes.environments[leader]
    assert call(nodes.consoles[leader], "save-servers/s-a/offline") == 200
    client = first.client()
    assert client.open_request() == "UP b"
    console = f"127.0.0.1:{free_port()}"
    second = nodes.start(leader, place="second", listen=first.address, console=console)
    wait_for(lambda: " following" in second.log.read_text(), 15.0)
    wait_for(lambda: second.counters().get("established_sessions_adopted") == "1", 15.0)
    # New clients are served by b or get BUSY at once during the whole restart; none is served by a.
    answers = set()
    end_at = time.monotonic() + 1.5
    while time.monotonic() < end_at:
        answers.add(re.sub(r"\d+", "N", first.client().open_request("c=live,d=900")))
    assert answers <= {"UP b", "BUSY N"}, answers
    first.process.terminate()
    assert first.process.wait(6) == 0
    wait_for(lambda: second.counters().get("store_fresh") == "1", 15.0)
    wait_for(second.is_ready, 5.0)
    client.send("still here")
    assert client.read_line() == "still here"
    nodes.environments[leader] = second
    # A single server may answer BUSY to several requests at once.
    wait_for(lambda: "UP b" in nodes.open_answers(leader))
    assert "UP a" not in nodes.open_answers(leader)
    assert call(console, "save-servers/s-a/online") == 200
    wait_for(lambda: "UP a" in nodes.open_answers(leader))


def test_single_node_store_keeps_disabled_endpoints_across_restart(tmp_path: Path) -> None:
    endpoint_a, endpoint_b = EndpointServer("a"), EndpointServer("b")
    store, console = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
    operator = f'[store]\nname = "n0"\nlisten = "{store}"\ndata = "{tmp_path / "data"}"\n'
    with running_node(tmp_path, [endpoint_a, endpoint_b], operator, console=console) as node:
        assert call(console, "save-servers/s-a/offline") == 200
        assert {node.client().open_request() for _ in range(6)} == {"UP b"}
    with running_node(tmp_path, [endpoint_a, endpoint_b], operator, console=console) as node:
        assert {node.client().open_request() for _ in range(6)} == {"UP b"}
        with MemberClient(store) as client:
            assert client.value("out/s-a")["by"] == "n0"
            client.delete("out/s-a")
        wait_for(lambda: "UP a" in {node.client().open_request() for _ in range(6)})


def test_unusable_data_folder_exits_with_one_error_line(tmp_path: Path) -> None:
    (tmp_path / "data").write_text("a file where a folder should be")
    operator = f'[store]\nname = "n0"\nlisten = "127.0.0.1:{free_port()}"\ndata = "{tmp_path / "data"}"\n'
    node = NodeEnvironment(tmp_path, [], operator)
    assert node.process.wait(10) == 2
    assert node.log.read_text().splitlines()[-1].startswith("gradegap: the store's folder")
    node.discovery.server.shutdown()
