"""Nodes that decide by the store: leases, disabled endpoints, configuration, gossip, hot restart."""

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


def test_a_disabled_endpoint_is_disabled_at_every_node_once_confirmed(nodes: StoreNodes) -> None:
    nodes.start_all()
    for turn, name in enumerate(nodes.names):
        assert call(nodes.consoles[name], "save-servers/s-a/offline") == 200
        # At once, at each node: whoever has not applied it had no lease when the yes came.
        for n in nodes.names:
            assert nodes.open_answers(n, 5) == {"UP b"}, (turn, n)
        other = nodes.names[(turn + 1) % 3]
        assert call(nodes.consoles[other], "save-servers/s-a/online") == 200
        wait_for(lambda n=name: "UP a" in nodes.open_answers(n))  # type: ignore[misc]
    assert call(nodes.consoles["n1"], "save-servers/s-nobody/offline") == 404
    # A node that starts anew knows it before it serves.
    assert call(nodes.consoles["n1"], "save-servers/s-b/offline") == 200
    victim = nodes.names[2]
    nodes.environments[victim].process.kill()
    nodes.environments[victim].process.wait()
    nodes.start(victim, listen=nodes.environments[victim].address)
    wait_for(nodes.environments[victim].is_ready, 15.0)
    assert nodes.open_answers(victim) == {"UP a"}


def test_a_node_without_a_lease_rejects_at_once_and_keeps_connections(nodes: StoreNodes) -> None:
    nodes.start_all()
    away = nodes.others(nodes.leader())[0]
    node = nodes.environments[away]
    standing = node.client()
    assert standing.open_request().startswith("UP")
    nodes.isolate(away)
    wait_for(lambda: not node.is_ready(), 5.0)
    began = time.monotonic()
    said = node.client().open_request("c=live,d=1500,g=1")
    assert re.fullmatch(r"BUSY \d+", said) and time.monotonic() - began < 0.3 + SCHEDULING_SLACK_S
    # The yes does not wait for a node that can't decide.
    began = time.monotonic()
    assert call(nodes.consoles[nodes.others(away)[0]], "save-servers/s-a/offline") == 200
    assert time.monotonic() - began < 2.5
    assert call(nodes.consoles[away], "save-servers/s-b/offline") == 503
    standing.send("still here")
    assert standing.read_line() == "still here"
    opens = sum(len(b.open_lines) for b in nodes.endpoint_servers)
    for _ in range(5):
        assert node.client().open_request().startswith("BUSY")
    assert sum(len(b.open_lines) for b in nodes.endpoint_servers) == opens
    counters = node.counters()
    assert int(counters["refused_stale"]) >= 6 and counters["store_fresh"] == "0"
    nodes.relay.heal()
    wait_for(node.is_ready, 15.0)
    assert nodes.open_answers(away) == {"UP b"}


def test_a_paused_node_decides_nothing_by_stale_state(nodes: StoreNodes) -> None:
    nodes.start_all()
    away = nodes.others(nodes.leader())[0]
    node = nodes.environments[away]
    late = node.client()
    assert nodes.open_answers(away, 12) == {"UP a", "UP b"}
    node.process.send_signal(signal.SIGSTOP)
    late.send("OPEN late1 k c=live,d=9000")  # waits in its socket
    crowd = [socket.create_connection(("127.0.0.1", int(node.address.split(":")[1]))) for _ in range(10)]
    for k, sock in enumerate(crowd):
        sock.sendall(f"OPEN crowd{k} k c=live,d=9000,g={k}\r\n".encode())
    alive = nodes.others(away)[0]
    opens = len(nodes.endpoint_servers[0].open_lines)
    assert call(nodes.consoles[alive], "save-servers/s-a/offline") == 200
    node.process.send_signal(signal.SIGCONT)
    answers = [late.read_line(), *(sock.makefile("rb").readline().decode().strip() for sock in crowd)]
    assert set(answers) <= {"UP b"} | {a for a in answers if a.startswith("BUSY")}
    assert len(nodes.endpoint_servers[0].open_lines) == opens
    wait_for(node.is_ready, 15.0)


def test_when_stale_serve_continues_counted_and_logged(nodes: StoreNodes) -> None:
    nodes.start_all('when_stale = "serve"\n')
    away = nodes.others(nodes.leader())[0]
    node = nodes.environments[away]
    nodes.isolate(away)
    wait_for(lambda: node.counters()["store_fresh"] == "0", 5.0)
    assert node.is_ready() and nodes.open_answers(away) <= {"UP a", "UP b"}
    assert int(node.counters()["decided_stale"]) >= 8
    assert "lease expired" in node.log.read_text()


class NoPort:
    """A backend port that reaches nobody."""

    def connect(self, *args: object) -> None: ...
    def check_health(self, *args: object) -> None: ...
    def close_health_check(self, *args: object) -> None: ...


def test_reports_of_siblings_reach_the_balancer_with_their_age() -> None:
    loop = asyncio.new_event_loop()
    proxy = Proxy(settings(), 1, NoPort(), Metrics(), loop)  # type: ignore[arg-type]
    entries = [(EndpointEntry(f"s{k}"), f"127.0.0.1:{k}") for k in (1, 2)]
    proxy.update_endpoints(EndpointListKind.CACHED, entries)
    heard: list[tuple[float, str]] = []
    plain = proxy.balancer.handle

    def handle(now: float, event: Event) -> list[Action]:
        if isinstance(event, HealthCheckEnded):
            heard.append((proxy.now() - now, event.endpoint))
        return plain(now, event)

    proxy.balancer.handle = handle  # type: ignore[method-assign]
    told = False
    gossip = GossipExchange("me", proxy, proxy.metrics, lambda: told)
    good = GossipReport("s1", "report", 2.0, {"x0": 0.5})
    unfit = [
        GossipReport("s2", "report", 1.0, {"x0": float("nan")}),
        GossipReport("s2", "report", -1.0, {"x0": 0.5}),
        GossipReport("s2", "report", 1.0, {f"f{k}": 1.0 for k in range(50)}),
        GossipReport("s2", "rumour", 1.0, {"x0": 0.5}),
    ]
    old, strange = (
        GossipReport("s2", "report", 60.0, {"x0": 0.5}),
        GossipReport("s9", "report", 1.0, {"x0": 0.5}),
    )
    gossip.receive(Gossip("other", {}, [good, *unfit, old, strange]))
    assert [server for _, server in heard] == ["s1"] and 1.9 < heard[0][0] < 2.1
    assert proxy.metrics.counts["gossip_unfit"] == len(unfit)
    gossip.receive(
        Gossip("other", {}, [GossipReport("s1", "report", 1.95, {"x0": 0.4})])
    )  # no newer to speak of
    assert len(heard) == 1
    # What it was told is not told on; what it saw itself is.
    assert gossip.message({}).reports == []
    proxy.endpoints["s2"].report, proxy.endpoints["s2"].report_at = {"x0": 0.1}, proxy.now()
    assert [x.endpoint_id for x in gossip.message({}).reports] == ["s2"]
    # Who is silent at a sibling is heard of as a probe without an answer, once, and not told on twice.
    del heard[:]
    gossip.receive(Gossip("other", {}, [GossipReport("s1", "silent", 3.0)]))  # s1 has answered since
    assert not heard
    proxy.endpoints["s1"].report_at = proxy.now() - 9.0
    gossip.receive(Gossip("other", {}, [GossipReport("s1", "silent", 1.0)]))
    gossip.receive(Gossip("third", {}, [GossipReport("s1", "silent", 1.0)]))
    assert [server for _, server in heard] == ["s1"] and proxy.metrics.counts["gossip_silent"] == 1
    # A list that may be out of date is mended by what siblings were told, until discovery has told one.
    drains = GossipReport("s1", "listed", 0.0, None, int(EndpointPhase.DRAINING), 77.0)
    gossip.receive(Gossip("other", {}, [drains]))
    s1 = proxy.endpoints["s1"]
    assert s1.phase is EndpointPhase.DRAINING and s1.drain_notified_at > 0 and s1.started_at == 77.0
    told = True
    gossip.receive(
        Gossip("other", {}, [GossipReport("s2", "listed", 0.0, None, int(EndpointPhase.REMOVED), 0.0)])
    )
    assert proxy.endpoints["s2"].phase is EndpointPhase.READY
    assert {x.endpoint_id for x in gossip.message({}).reports if x.kind == "listed"} == {"s1", "s2"}
    loop.close()


def test_configuration_takes_effect_at_every_node(nodes: StoreNodes) -> None:
    nodes.start_all()
    with nodes.member_client("n1") as r:
        r.set("config/log_level", "error")
    for n in nodes.names:
        nodes.environments[n].process.send_signal(signal.SIGHUP)  # logged, but for the level
        nodes.environments[n].process.terminate()
    for n in nodes.names:
        assert nodes.environments[n].process.wait(6) == 0
        assert "event=leaving" not in nodes.environments[n].log.read_text()


def test_nodes_gossip_their_state_and_reports(nodes: StoreNodes) -> None:
    nodes.start_all()
    for n in nodes.names:
        nodes.open_answers(n)
    wait_for(lambda: int(nodes.environments["n1"].counters().get("gossip_heard", 0)) > 2, 10.0)
    with nodes.member_client("n1") as r:
        said = r.status()["nodes"]
    assert said["n2"]["state"] == "ready" and said["n2"]["listen"] == nodes.environments["n2"].address


def test_a_hot_restart_of_the_leader_keeps_clients(nodes: StoreNodes) -> None:
    nodes.start_all()
    leader = nodes.leader()
    first = nodes.environments[leader]
    assert call(nodes.consoles[leader], "save-servers/s-a/offline") == 200
    c = first.client()
    assert c.open_request() == "UP b"
    console = f"127.0.0.1:{free_port()}"
    second = nodes.start(leader, place="second", listen=first.address, console=console)
    wait_for(lambda: " following" in second.log.read_text(), 15.0)
    wait_for(lambda: second.counters().get("established_sessions_adopted") == "1", 15.0)
    # Clients that come at any moment of it are served, or told at once when to come again; never by a.
    said = set()
    end = time.monotonic() + 1.5
    while time.monotonic() < end:
        said.add(re.sub(r"\d+", "N", first.client().open_request("c=live,d=900")))
    assert said <= {"UP b", "BUSY N"}, said
    first.process.terminate()
    assert first.process.wait(6) == 0
    wait_for(lambda: second.counters().get("store_fresh") == "1", 15.0)
    wait_for(second.is_ready, 5.0)
    c.send("still here")
    assert c.read_line() == "still here"
    nodes.environments[leader] = second
    wait_for(lambda: "UP b" in nodes.open_answers(leader))  # one server alone may say BUSY to a crowd
    assert "UP a" not in nodes.open_answers(leader)
    assert call(console, "save-servers/s-a/online") == 200
    wait_for(lambda: "UP a" in nodes.open_answers(leader))


def test_a_node_alone_with_a_store_serves_and_remembers(tmp_path: Path) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    store, console = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
    operator = f'[store]\nname = "n0"\nlisten = "{store}"\ndata = "{tmp_path / "data"}"\n'
    with running_node(tmp_path, [a, b], operator, console=console) as w:
        assert call(console, "save-servers/s-a/offline") == 200
        assert {w.client().open_request() for _ in range(6)} == {"UP b"}
    with running_node(tmp_path, [a, b], operator, console=console) as w:
        assert {w.client().open_request() for _ in range(6)} == {"UP b"}
        with MemberClient(store) as r:
            assert r.value("out/s-a")["by"] == "n0"
            r.delete("out/s-a")
        wait_for(lambda: "UP a" in {w.client().open_request() for _ in range(6)})


def test_a_store_that_can_t_start_is_one_plain_line(tmp_path: Path) -> None:
    (tmp_path / "data").write_text("a file where a folder should be")
    operator = f'[store]\nname = "n0"\nlisten = "127.0.0.1:{free_port()}"\ndata = "{tmp_path / "data"}"\n'
    made = NodeEnvironment(tmp_path, [], operator)
    assert made.process.wait(10) == 2
    assert made.log.read_text().splitlines()[-1].startswith("gradegap: the store's folder")
    made.discovery.server.shutdown()
