"""Control machines and nodes that subscribe, as processes, with faults between them."""

from __future__ import annotations

import re
import signal
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gradegap.resume.token import KEY_RING_KEY, KeyRing
from gradegap.store import wire
from gradegap.store.records import KeyUpdate
from tests.support.cluster import Cluster
from tests.support.node_environment import (
    SCHEDULING_SLACK_S,
    EndpointServer,
    NodeEnvironment,
    free_port,
    wait_for,
)
from tests.support.resume_servers import ResumableEndpointServer, SaveStore
from tests.test_admin_api import answer
from tests.test_admin_api import call as plain_call
from tests.test_resume import ON as RESUME
from tests.test_resume import opened, returned, token_of

LEVEL_WITHIN = 10.0  # s after a fault, within which nodes have to be level again


def call(console: str, path: str) -> int:
    """A call whose yes waits for every node that holds a lease."""
    return plain_call(console, path, most=3.0)


class Machines(Cluster):
    """Three control machines: n1 to n3. A relay stands before each publish port, too, as `nK-publish`."""

    def add_member(self, name: str) -> None:
        super().add_member(name)
        self.listen_addresses[f"{name}-publish"] = f"127.0.0.1:{free_port()}"
        self.relay.add_route(f"{name}-publish", self.listen_addresses[f"{name}-publish"])

    def write_config(self, name: str, names: list[str] | None = None, more: str = "") -> Path:
        return super().write_config(
            name, names, f'{more}publish = "{self.listen_addresses[f"{name}-publish"]}"\n'
        )


class Fleet:
    """Control machines, and nodes that subscribe there."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.endpoint_servers = [EndpointServer("a"), EndpointServer("b")]
        self.machines = Machines(folder)
        self.consoles: dict[str, str] = {}
        self.nodes: dict[str, NodeEnvironment] = {}
        stack.callback(self.machines.stop)

    def observer(self, more: str = "") -> str:
        listed = ", ".join(
            f'{{name = "{n}", address = "{self.machines.relay.addresses[f"{n}-publish"]}"}}'
            for n in self.machines.names
        )
        return f'[observer]\nmachines = [{listed}]\nsecret = "{self.folder / "secret"}"\n{more}'

    def start(self, name: str, more: str = "", place: str = "", **config: Any) -> NodeEnvironment:
        """A process of a node; another one of it has its files in `place`."""
        folder = self.folder / (place or name)
        folder.mkdir(exist_ok=True)
        self.consoles.setdefault(name, f"127.0.0.1:{free_port()}")
        config = {"name": name, "console": self.consoles[name]} | config
        temporary = {"TMPDIR": str(self.folder / name)}
        made = NodeEnvironment(folder, self.endpoint_servers, self.observer(more), temporary, **config)
        self.stack.callback(self.end, made)
        self.nodes[name] = made
        return made

    def end(self, made: NodeEnvironment) -> None:
        made.process.kill()
        made.process.wait()
        made.discovery.server.shutdown()
        assert "Traceback" not in made.log.read_text(), made.log.read_text()

    def start_all(self, count: int = 3, more: str = "") -> None:
        self.machines.start_all()
        for k in range(1, count + 1):
            self.start(f"node{k}", more)
        for made in self.nodes.values():
            wait_for(made.is_ready, 20.0)

    def machine_of(self, name: str) -> str:
        """Which control machine serves a node."""
        return self.nodes[name].counters()["observer_machine"]

    def served_by(self, name: str, times: int = 8) -> set[str]:
        return {self.nodes[name].client().open_request(f"c=live,d=900,g={k}") for k in range(times)}

    def put(self, *ops: KeyUpdate, among: list[str] | None = None) -> int:
        """Write through the leader; the revision, once no node decides without it."""
        leader = wait_for(lambda: self.machines.leader(among), 15.0)
        with self.machines.member_client(leader, 10.0) as r:
            return r.request(wire.Transaction(ops)).revision

    def level(self, revision: int) -> bool:
        """Whether all nodes have it, and hold a lease."""
        counters = [made.counters() for made in self.nodes.values()]
        return all(int(c["observer_revision"]) >= revision and c["store_fresh"] == "1" for c in counters)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with ExitStack() as stack:
        yield Fleet(tmp_path, stack)


def test_a_committed_key_is_in_force_at_all_nodes(fleet: Fleet) -> None:
    fleet.start_all()
    revision = fleet.put(
        KeyUpdate("config/log_level", "debug"), KeyUpdate("out/s-a", {"at_ms": 1, "by": "operator"})
    )
    wait_for(lambda: fleet.level(revision), LEVEL_WITHIN)
    for name in fleet.nodes:
        assert fleet.served_by(name) == {"UP b"}
    # A node that starts anew knows it before it serves.
    fleet.start("node4")
    wait_for(fleet.nodes["node4"].is_ready, 20.0)
    assert fleet.served_by("node4") == {"UP b"}
    log = fleet.nodes["node4"].log.read_text()
    assert "lease obtained" in log and f"revision={revision}" in log
    counters = fleet.nodes["node4"].counters()
    assert 0 <= int(counters["observer_age_ms"]) < 3000
    assert int(counters["observer_bytes_sent"]) and int(counters["observer_bytes_received"])


def test_a_server_out_at_one_console_is_out_at_every_node_when_the_yes_comes(fleet: Fleet) -> None:
    fleet.start_all()
    names = list(fleet.nodes)
    for turn, name in enumerate(names):
        assert call(fleet.consoles[name], "save-servers/s-a/offline") == 200
        # At once, at each node: whoever has not applied it had no lease when the yes came.
        for other in names:
            assert fleet.served_by(other, 5) == {"UP b"}, (turn, other)
        assert call(fleet.consoles[names[(turn + 1) % 3]], "save-servers/s-a/online") == 200
        wait_for(lambda n=name: "UP a" in fleet.served_by(n))  # type: ignore[misc]
    assert call(fleet.consoles[names[0]], "save-servers/s-nobody/offline") == 404


def test_a_node_that_was_stopped_while_a_write_binds_decides_nothing_by_what_it_knew(fleet: Fleet) -> None:
    fleet.start_all()
    stopped, alive = fleet.nodes["node1"], "node2"
    late = stopped.client()
    wait_for(lambda: fleet.served_by("node1", 12) == {"UP a", "UP b"})
    stopped.process.send_signal(signal.SIGSTOP)
    late.send("OPEN late1 k c=live,d=9000")  # waits in its socket
    began = time.monotonic()
    assert call(fleet.consoles[alive], "save-servers/s-a/offline") == 200
    print(f"the yes came {time.monotonic() - began:.2f} s after the node was stopped")
    opens = len(fleet.endpoint_servers[0].open_lines)
    stopped.process.send_signal(signal.SIGCONT)
    said = late.read_line()
    assert said == "UP b" or said.startswith("BUSY"), said
    assert len(fleet.endpoint_servers[0].open_lines) == opens
    wait_for(stopped.is_ready, 15.0)
    assert fleet.served_by("node1") == {"UP b"}


def test_nodes_move_on_when_the_machine_that_serves_them_dies(fleet: Fleet) -> None:
    fleet.start_all(4)
    victim = fleet.machine_of("node1")
    fleet.machines.kill(victim)
    began = time.monotonic()
    revision = fleet.put(KeyUpdate("config/motd", "after the death"))
    wait_for(lambda: fleet.level(revision), LEVEL_WITHIN)
    print(f"level {time.monotonic() - began:.2f} s after the death of a machine, with a new leader if it led")
    assert all(fleet.machine_of(name) != victim for name in fleet.nodes)
    # It comes back, and takes part: what nodes were granted under its earlier life is over.
    fleet.machines.start(victim)
    revision = fleet.put(KeyUpdate("out/s-a", {"at_ms": 1}))
    wait_for(lambda: fleet.level(revision), LEVEL_WITHIN)


def cut_from_quorum(fleet: Fleet, name: str) -> tuple[str, list[str]]:
    """Cut the machine that serves a node off from the other members, and the node off from their ports.

    Until that machine's own lease has ended it still grants leases, also to a node that had lost its own for
    a moment. When this returns, no lease can reach the node until the cut heals.
    """
    machine = fleet.machine_of(name)
    others = fleet.machines.others(machine)
    fleet.machines.relay.partition({machine}, set(others))
    for other in others:
        fleet.machines.relay.partition({"client"}, {f"{other}-publish"})
    wait_for(lambda: fleet.machines.status(machine)["held_lease_ms"] == 0, LEVEL_WITHIN)
    return machine, others


def test_a_node_in_a_region_that_is_cut_off_refuses_and_is_level_after_it_heals(fleet: Fleet) -> None:
    fleet.start_all(1)
    node = fleet.nodes["node1"]
    standing = node.client()
    assert standing.open_request().startswith("UP")
    _, others = cut_from_quorum(fleet, "node1")
    wait_for(lambda: not node.is_ready(), 6.0)
    began = time.monotonic()
    said = node.client().open_request("c=live,d=1500,g=1")
    assert re.fullmatch(r"BUSY \d+", said) and time.monotonic() - began < 0.3 + SCHEDULING_SLACK_S
    # A write on the larger side waits for nobody who can't decide.
    revision = fleet.put(KeyUpdate("out/s-a", {"at_ms": 1}), among=others)
    status, text = answer(
        fleet.consoles["node1"], b"PUT /control/save-servers/s-b/offline HTTP/1.1\r\nHost: x\r\n\r\n"
    )
    assert status == 503 and "use the console of a node that is ready" in text, text
    standing.send("still here")
    assert standing.read_line() == "still here"
    healed = time.monotonic()
    fleet.machines.relay.heal()
    wait_for(lambda: fleet.level(revision), LEVEL_WITHIN)
    print(f"level {time.monotonic() - healed:.2f} s after the cut healed")
    assert fleet.served_by("node1") == {"UP b"}


def test_with_when_stale_serve_a_node_that_is_cut_off_goes_on_by_its_last_revision(fleet: Fleet) -> None:
    fleet.start_all(1, 'when_stale = "serve"\n')
    node = fleet.nodes["node1"]
    revision = fleet.put(KeyUpdate("out/s-a", {"at_ms": 1}))
    wait_for(lambda: fleet.level(revision), LEVEL_WITHIN)
    cut_from_quorum(fleet, "node1")
    wait_for(lambda: node.counters()["store_fresh"] == "0", 6.0)
    assert node.is_ready() and fleet.served_by("node1") == {"UP b"}
    counters = node.counters()
    assert int(counters["decided_stale"]) >= 8 and int(counters["observer_revision"]) == revision
    first = int(counters["observer_age_ms"])
    wait_for(lambda: int(node.counters()["observer_age_ms"]) > first + 500)  # and it says how old that is
    assert "new_requests=served" in node.log.read_text()


def test_all_machines_stopped_and_gone_on_again(fleet: Fleet) -> None:
    fleet.start_all(2)
    for name in fleet.machines.names:
        fleet.machines.suspend(name)
    for node in fleet.nodes.values():
        wait_for(lambda n=node: not n.is_ready(), 6.0)  # type: ignore[misc]
    for name in fleet.machines.names:
        fleet.machines.resume(name)
    wait_for(lambda: fleet.level(0), 15.0)


def test_a_machine_restarted_while_its_nodes_hold_leases_acknowledges_nothing_too_early(fleet: Fleet) -> None:
    """The node can be told nothing, and may decide until its lease ends: the yes waits for that."""
    fleet.start_all(1)
    node = fleet.nodes["node1"]
    machine = fleet.machine_of("node1")
    wait_for(lambda: "UP a" in fleet.served_by("node1"))
    # Stopped, so that it can acknowledge nothing; its machine then comes back as another life.
    node.process.send_signal(signal.SIGSTOP)
    fleet.machines.kill(machine)
    fleet.machines.start(machine)
    fleet.put(KeyUpdate("out/s-a", {"at_ms": 1}), among=fleet.machines.others(machine))
    opens = len(fleet.endpoint_servers[0].open_lines)
    late = [node.client() for _ in range(3)]
    for client in late:
        client.send("OPEN late1 k c=live,d=9000")
    node.process.send_signal(signal.SIGCONT)
    for client in late:
        said = client.read_line()
        assert said == "UP b" or said.startswith("BUSY"), said
    assert len(fleet.endpoint_servers[0].open_lines) == opens
    wait_for(node.is_ready, 20.0)
    wait_for(lambda: fleet.served_by("node1") == {"UP b"})


def test_a_write_waits_until_it_is_in_force_or_tells_who_is_missing(fleet: Fleet) -> None:
    fleet.start_all(3)
    machines = fleet.machines
    # Machines that have just started can't vouch for the nodes of an earlier life; it asks until they can.
    words = ["--node", machines.listen_addresses["n1"], "--in-force"]
    done = machines.cli("store", "set", "config/motd", "hello", *words, "40", "--json", timeout=60)
    assert done.returncode == 0, done.stderr
    told = msgspec.json.decode(done.stdout)
    assert told["subscribers"] == 3 and told["missing"] == []
    assert fleet.level(told["revision"])
    status, text = answer(fleet.consoles["node2"], b"GET /control/in-force HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (status, text.strip()) == (200, f"revision {told['revision']} is in force at 3 nodes")
    status, text = answer(fleet.consoles["node2"], b"GET /control/configuration HTTP/1.1\r\nHost: x\r\n\r\n")
    assert status == 200 and re.fullmatch(
        rf"revision {told['revision']}, confirmed \d+\.\d s ago, from n[123]", text.strip()
    )
    # A node that is stopped lives, and has it not.
    stopped = fleet.nodes["node3"]
    stopped.process.send_signal(signal.SIGSTOP)
    late = machines.cli("store", "set", "config/motd", "again", *words, "2")
    assert late.returncode == 5 and re.search(r"1 of 3 nodes have not acknowledged.*: node3\b", late.stderr)
    assert re.match(r"gradegap: committed at revision \d+, and not known to be in force", late.stderr)
    stopped.process.send_signal(signal.SIGCONT)
    wait_for(stopped.is_ready, 15.0)
    again = machines.cli("store", "set", "config/motd", "whole", *words, "10")
    assert again.returncode == 0, again.stderr
    # A member that can't be asked leaves its nodes unknown.
    away = machines.others(machines.leader())[0]
    machines.suspend(away)
    asked = machines.leader(machines.others(away))
    words = ["--node", machines.listen_addresses[asked], "--in-force", "2"]
    unasked = machines.cli("store", "set", "config/motd", "more", *words)
    assert unasked.returncode == 5 and f"could not ask {away}, whose nodes are unknown" in unasked.stderr
    machines.resume(away)


def test_a_session_resumes_at_another_node_that_subscribes(fleet: Fleet) -> None:
    """The ring of keys reaches nodes as configuration does, and claims go over the same connection."""
    saves = SaveStore()
    fleet.endpoint_servers = [ResumableEndpointServer(name, saves) for name in "ab"]
    fleet.machines.start_all()
    fleet.put(KeyUpdate(KEY_RING_KEY, msgspec.to_builtins(KeyRing().rotated(1))))
    for name in ("node1", "node2"):
        fleet.start(name, RESUME)
    for made in fleet.nodes.values():
        wait_for(made.is_ready, 20.0)
    client = fleet.nodes["node1"].client()
    token = token_of(opened(client))
    client.send("Q 1 save")
    assert client.read_line() == "A 1 done save"
    client.sock.close()
    _, said = returned(fleet.nodes["node2"], f",rh=1,rt={token},ra={'7' * 32}")
    assert said.startswith("UP"), said
    _, said = returned(fleet.nodes["node1"], f",rh=1,rt={token},ra={'8' * 32}")
    assert not said.startswith("UP"), said  # a token has one use


def test_a_process_that_is_replaced_passes_its_lease_on_and_no_write_passes_it_by(fleet: Fleet) -> None:
    fleet.start_all(2)
    first = fleet.nodes["node1"]
    assert call(fleet.consoles["node2"], "save-servers/s-a/offline") == 200
    standing = first.client()
    assert standing.open_request() == "UP b"
    console = f"127.0.0.1:{free_port()}"
    second = fleet.start("node1", place="second", listen=first.address, console=console)
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
    standing.send("still here")
    assert standing.read_line() == "still here"
    assert call(console, "save-servers/s-a/online") == 200
    wait_for(lambda: "UP a" in fleet.served_by("node1"))
    assert call(fleet.consoles["node2"], "save-servers/s-a/offline") == 200
    assert "UP a" not in fleet.served_by("node1")


def test_the_first_process_subscribes_again_when_the_second_dies(fleet: Fleet) -> None:
    fleet.start_all(1)
    first = fleet.nodes["node1"]
    console = f"127.0.0.1:{free_port()}"
    second = fleet.start("node1", place="second", listen=first.address, console=console)
    wait_for(lambda: " following" in second.log.read_text(), 15.0)
    wait_for(lambda: first.counters()["store_fresh"] == "0", 10.0)  # its lease has run out
    second.process.kill()
    second.process.wait()
    fleet.nodes["node1"] = first
    revision = fleet.put(KeyUpdate("out/s-a", {"at_ms": 1}))
    wait_for(lambda: fleet.level(revision), LEVEL_WITHIN)
    wait_for(first.is_ready, 10.0)
    assert fleet.served_by("node1") == {"UP b"}


def test_a_machine_that_is_stopped_sends_its_nodes_on_at_once(fleet: Fleet) -> None:
    fleet.start_all(3)
    machine = fleet.machine_of("node1")
    mine = [name for name in fleet.nodes if fleet.machine_of(name) == machine]
    stopped = fleet.machines.processes[machine]
    stopped.terminate()
    assert stopped.wait(5) == 0
    for name in mine:
        counters = fleet.nodes[name].counters()
        assert counters["observer_ended_leaving"] == "1", counters
    revision = fleet.put(KeyUpdate("config/motd", "on"))
    wait_for(lambda: fleet.level(revision), LEVEL_WITHIN)
