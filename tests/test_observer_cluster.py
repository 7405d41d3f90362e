"""Control machines and subscribed nodes as processes, with faults injected between them."""

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
from tests.test_resume import RESUME_TABLE, open_resumable, return_with_token, token_of

CONVERGENCE_TIMEOUT_S = 10.0  # limit for all nodes to have the latest revision and a lease after a fault


def call(console: str, path: str) -> int:
    """Call the admin API; a success waits for every node that holds a lease."""
    return plain_call(console, path, most=3.0)


class Machines(Cluster):
    """Three control machines, n1 to n3. Each publish port has a relay of its own, named `nK-publish`."""

    def add_member(self, name: str) -> None:
        super().add_member(name)
        self.listen_addresses[f"{name}-publish"] = f"127.0.0.1:{free_port()}"
        self.relay.add_route(f"{name}-publish", self.listen_addresses[f"{name}-publish"])

    def write_config(self, name: str, names: list[str] | None = None, more: str = "") -> Path:
        return super().write_config(
            name, names, f'{more}publish = "{self.listen_addresses[f"{name}-publish"]}"\n'
        )


class Fleet:
    """Control machines, and the nodes that subscribe to them."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.endpoint_servers = [EndpointServer("a"), EndpointServer("b")]
        self.machines = Machines(folder)
        self.consoles: dict[str, str] = {}
        self.nodes: dict[str, NodeEnvironment] = {}
        stack.callback(self.machines.stop)

    def observer_table(self, more: str = "") -> str:
        machine_list = ", ".join(
            f'{{name = "{name}", address = "{self.machines.relay.addresses[f"{name}-publish"]}"}}'
            for name in self.machines.names
        )
        return f'[observer]\nmachines = [{machine_list}]\nsecret = "{self.folder / "secret"}"\n{more}'

    def start(self, name: str, more: str = "", subfolder: str = "", **config: Any) -> NodeEnvironment:
        """Start a process of a node; a second process of the same node keeps its files in `subfolder`."""
        folder = self.folder / (subfolder or name)
        folder.mkdir(exist_ok=True)
        self.consoles.setdefault(name, f"127.0.0.1:{free_port()}")
        config = {"name": name, "console": self.consoles[name]} | config
        environment_variables = {"TMPDIR": str(self.folder / name)}
        node = NodeEnvironment(
            folder, self.endpoint_servers, self.observer_table(more), environment_variables, **config
        )
        self.stack.callback(self.end, node)
        self.nodes[name] = node
        return node

    def end(self, node: NodeEnvironment) -> None:
        node.process.kill()
        node.process.wait()
        node.discovery.server.shutdown()
        assert "Traceback" not in node.log.read_text(), node.log.read_text()

    def start_all(self, count: int = 3, more: str = "") -> None:
        self.machines.start_all()
        for k in range(1, count + 1):
            self.start(f"node{k}", more)
        for node in self.nodes.values():
            wait_for(node.is_ready, 20.0)

    def machine_of(self, name: str) -> str:
        """Returns the control machine that serves a node."""
        return self.nodes[name].counters()["observer_machine"]

    def open_responses(self, name: str, request_count: int = 8) -> set[str]:
        return {self.nodes[name].client().open_request(f"c=live,d=900,g={k}") for k in range(request_count)}

    def put(self, *ops: KeyUpdate, among: list[str] | None = None) -> int:
        """Write through the leader; returns the revision once every node with a lease has applied it."""
        leader = wait_for(lambda: self.machines.leader(among), 15.0)
        with self.machines.member_client(leader, 10.0) as client:
            return client.request(wire.Transaction(ops)).revision

    def has_converged(self, revision: int) -> bool:
        """Whether all nodes have applied `revision` and hold a lease."""
        all_counters = [node.counters() for node in self.nodes.values()]
        return all(
            int(counters["observer_revision"]) >= revision and counters["store_fresh"] == "1"
            for counters in all_counters
        )


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with ExitStack() as stack:
        yield Fleet(tmp_path, stack)


def test_committed_keys_are_in_force_at_all_nodes(fleet: Fleet) -> None:
    fleet.start_all()
    revision = fleet.put(
        KeyUpdate("config/log_level", "debug"), KeyUpdate("out/s-a", {"at_ms": 1, "by": "operator"})
    )
    wait_for(lambda: fleet.has_converged(revision), CONVERGENCE_TIMEOUT_S)
    for name in fleet.nodes:
        assert fleet.open_responses(name) == {"UP b"}
    # A node that starts later applies the revision before it serves.
    fleet.start("node4")
    wait_for(fleet.nodes["node4"].is_ready, 20.0)
    assert fleet.open_responses("node4") == {"UP b"}
    log = fleet.nodes["node4"].log.read_text()
    assert "lease obtained" in log and f"revision={revision}" in log
    counters = fleet.nodes["node4"].counters()
    assert 0 <= int(counters["observer_age_ms"]) < 3000
    assert int(counters["observer_bytes_sent"]) and int(counters["observer_bytes_received"])


def test_endpoint_disabled_at_one_node_is_disabled_at_all_when_acknowledged(fleet: Fleet) -> None:
    fleet.start_all()
    names = list(fleet.nodes)
    for turn, name in enumerate(names):
        assert call(fleet.consoles[name], "save-servers/s-a/offline") == 200
        # Checked at once at each node: a node that had not applied the write held no lease when it succeeded.
        for other in names:
            assert fleet.open_responses(other, 5) == {"UP b"}, (turn, other)
        assert call(fleet.consoles[names[(turn + 1) % 3]], "save-servers/s-a/online") == 200
        wait_for(lambda n=name: "UP a" in fleet.open_responses(n))  # type: ignore[misc]
    assert call(fleet.consoles[names[0]], "save-servers/s-nobody/offline") == 404


def test_resumed_node_does_not_decide_by_stale_state(fleet: Fleet) -> None:
    fleet.start_all()
    stopped, alive = fleet.nodes["node1"], "node2"
    late = stopped.client()
    wait_for(lambda: fleet.open_responses("node1", 12) == {"UP a", "UP b"})
    stopped.process.send_signal(signal.SIGSTOP)
    late.send("OPEN late1 k c=live,d=9000")  # stays in the socket's receive buffer
    began = time.monotonic()
    assert call(fleet.consoles[alive], "save-servers/s-a/offline") == 200
    print(f"the write was acknowledged {time.monotonic() - began:.2f} s after the node was suspended")
    opens = len(fleet.endpoint_servers[0].open_lines)
    stopped.process.send_signal(signal.SIGCONT)
    response = late.read_line()
    assert response == "UP b" or response.startswith("BUSY"), response
    assert len(fleet.endpoint_servers[0].open_lines) == opens
    wait_for(stopped.is_ready, 15.0)
    assert fleet.open_responses("node1") == {"UP b"}


def test_nodes_change_machine_when_theirs_is_killed(fleet: Fleet) -> None:
    fleet.start_all(4)
    victim = fleet.machine_of("node1")
    fleet.machines.kill(victim)
    began = time.monotonic()
    revision = fleet.put(KeyUpdate("config/motd", "after the death"))
    wait_for(lambda: fleet.has_converged(revision), CONVERGENCE_TIMEOUT_S)
    print(f"converged {time.monotonic() - began:.2f} s after a machine was killed, leader or not")
    assert all(fleet.machine_of(name) != victim for name in fleet.nodes)
    # The machine rejoins; leases that its earlier process granted have expired.
    fleet.machines.start(victim)
    revision = fleet.put(KeyUpdate("out/s-a", {"at_ms": 1}))
    wait_for(lambda: fleet.has_converged(revision), CONVERGENCE_TIMEOUT_S)


def partition_from_quorum(fleet: Fleet, name: str) -> tuple[str, list[str]]:
    """Partition the machine that serves a node from the other members, and the node from their ports.

    Until that machine's own lease expires it still grants leases, also to a node whose lease had briefly
    expired. Once this returns, the node can't obtain a lease until the partition heals.
    """
    machine = fleet.machine_of(name)
    others = fleet.machines.others(machine)
    fleet.machines.relay.partition({machine}, set(others))
    for other in others:
        fleet.machines.relay.partition({"client"}, {f"{other}-publish"})
    wait_for(lambda: fleet.machines.status(machine)["held_lease_ms"] == 0, CONVERGENCE_TIMEOUT_S)
    return machine, others


def test_partitioned_node_rejects_requests_and_converges_after_it_heals(fleet: Fleet) -> None:
    fleet.start_all(1)
    node = fleet.nodes["node1"]
    established_client = node.client()
    assert established_client.open_request().startswith("UP")
    _, others = partition_from_quorum(fleet, "node1")
    wait_for(lambda: not node.is_ready(), 6.0)
    began = time.monotonic()
    response = node.client().open_request("c=live,d=1500,g=1")
    assert re.fullmatch(r"BUSY \d+", response) and time.monotonic() - began < 0.3 + SCHEDULING_SLACK_S
    # A write in the majority does not wait for a node that can't decide.
    revision = fleet.put(KeyUpdate("out/s-a", {"at_ms": 1}), among=others)
    status, text = answer(
        fleet.consoles["node1"], b"PUT /control/save-servers/s-b/offline HTTP/1.1\r\nHost: x\r\n\r\n"
    )
    assert status == 503 and "use the console of a node that is ready" in text, text
    established_client.send("still here")
    assert established_client.read_line() == "still here"
    healed_at = time.monotonic()
    fleet.machines.relay.heal()
    wait_for(lambda: fleet.has_converged(revision), CONVERGENCE_TIMEOUT_S)
    print(f"converged {time.monotonic() - healed_at:.2f} s after the partition healed")
    assert fleet.open_responses("node1") == {"UP b"}


def test_partitioned_node_with_when_stale_serve_uses_its_last_revision(fleet: Fleet) -> None:
    fleet.start_all(1, 'when_stale = "serve"\n')
    node = fleet.nodes["node1"]
    revision = fleet.put(KeyUpdate("out/s-a", {"at_ms": 1}))
    wait_for(lambda: fleet.has_converged(revision), CONVERGENCE_TIMEOUT_S)
    partition_from_quorum(fleet, "node1")
    wait_for(lambda: node.counters()["store_fresh"] == "0", 6.0)
    assert node.is_ready() and fleet.open_responses("node1") == {"UP b"}
    counters = node.counters()
    assert int(counters["decided_stale"]) >= 8 and int(counters["observer_revision"]) == revision
    first_age_ms = int(counters["observer_age_ms"])
    wait_for(lambda: int(node.counters()["observer_age_ms"]) > first_age_ms + 500)  # the age keeps growing
    assert "new_requests=served" in node.log.read_text()


def test_nodes_recover_after_all_machines_are_suspended(fleet: Fleet) -> None:
    fleet.start_all(2)
    for name in fleet.machines.names:
        fleet.machines.suspend(name)
    for node in fleet.nodes.values():
        wait_for(lambda n=node: not n.is_ready(), 6.0)  # type: ignore[misc]
    for name in fleet.machines.names:
        fleet.machines.resume(name)
    wait_for(lambda: fleet.has_converged(0), 15.0)


def test_write_after_machine_restart_waits_for_leases_of_its_earlier_process(fleet: Fleet) -> None:
    """Guards against a write acknowledged while a node that lacks it still holds a lease.

    The restarted machine doesn't know the leases that its earlier process granted, so the write has to wait
    until they have expired.
    """
    fleet.start_all(1)
    node = fleet.nodes["node1"]
    machine = fleet.machine_of("node1")
    wait_for(lambda: "UP a" in fleet.open_responses("node1"))
    # The node is suspended, so that it can't acknowledge; its machine is then restarted.
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
        response = client.read_line()
        assert response == "UP b" or response.startswith("BUSY"), response
    assert len(fleet.endpoint_servers[0].open_lines) == opens
    wait_for(node.is_ready, 20.0)
    wait_for(lambda: fleet.open_responses("node1") == {"UP b"})


def test_in_force_write_waits_or_names_missing_nodes(fleet: Fleet) -> None:
    fleet.start_all(3)
    machines = fleet.machines
    # Machines that have just started don't know the nodes of their earlier process; the command retries.
    options = ["--node", machines.listen_addresses["n1"], "--in-force"]
    completed = machines.cli("store", "set", "config/motd", "hello", *options, "40", "--json", timeout=60)
    assert completed.returncode == 0, completed.stderr
    result = msgspec.json.decode(completed.stdout)
    assert result["subscribers"] == 3 and result["missing"] == []
    assert fleet.has_converged(result["revision"])
    status, text = answer(fleet.consoles["node2"], b"GET /control/in-force HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (status, text.strip()) == (200, f"revision {result['revision']} is in force at 3 nodes")
    status, text = answer(fleet.consoles["node2"], b"GET /control/configuration HTTP/1.1\r\nHost: x\r\n\r\n")
    assert status == 200 and re.fullmatch(
        rf"revision {result['revision']}, confirmed \d+\.\d s ago, from n[123]", text.strip()
    )
    # A suspended node is still subscribed, and has not acknowledged the revision.
    stopped = fleet.nodes["node3"]
    stopped.process.send_signal(signal.SIGSTOP)
    missing = machines.cli("store", "set", "config/motd", "again", *options, "2")
    assert missing.returncode == 5 and re.search(
        r"1 of 3 nodes have not acknowledged.*: node3\b", missing.stderr
    )
    assert re.match(r"gradegap: committed at revision \d+, and not known to be in force", missing.stderr)
    stopped.process.send_signal(signal.SIGCONT)
    wait_for(stopped.is_ready, 15.0)
    complete = machines.cli("store", "set", "config/motd", "whole", *options, "10")
    assert complete.returncode == 0, complete.stderr
    # The nodes of a member that doesn't respond are unknown.
    suspended = machines.others(machines.leader())[0]
    machines.suspend(suspended)
    leader = machines.leader(machines.others(suspended))
    options = ["--node", machines.listen_addresses[leader], "--in-force", "2"]
    unknown = machines.cli("store", "set", "config/motd", "more", *options)
    assert unknown.returncode == 5 and f"could not ask {suspended}, whose nodes are unknown" in unknown.stderr
    machines.resume(suspended)


def test_session_resumes_at_another_subscribed_node(fleet: Fleet) -> None:
    """The key ring reaches nodes as configuration does, and claims use the subscription's connection."""
    saves = SaveStore()
    fleet.endpoint_servers = [ResumableEndpointServer(name, saves) for name in "ab"]
    fleet.machines.start_all()
    fleet.put(KeyUpdate(KEY_RING_KEY, msgspec.to_builtins(KeyRing().rotated(1))))
    for name in ("node1", "node2"):
        fleet.start(name, RESUME_TABLE)
    for node in fleet.nodes.values():
        wait_for(node.is_ready, 20.0)
    client = fleet.nodes["node1"].client()
    token = token_of(open_resumable(client))
    client.send("Q 1 save")
    assert client.read_line() == "A 1 done save"
    client.sock.close()
    _, response = return_with_token(fleet.nodes["node2"], f",rh=1,rt={token},ra={'7' * 32}")
    assert response.startswith("UP"), response
    _, response = return_with_token(fleet.nodes["node1"], f",rh=1,rt={token},ra={'8' * 32}")
    assert not response.startswith("UP"), response  # a token has one use


def test_hot_restart_passes_lease_on_without_missing_a_write(fleet: Fleet) -> None:
    fleet.start_all(2)
    first = fleet.nodes["node1"]
    assert call(fleet.consoles["node2"], "save-servers/s-a/offline") == 200
    established_client = first.client()
    assert established_client.open_request() == "UP b"
    console = f"127.0.0.1:{free_port()}"
    second = fleet.start("node1", subfolder="second", listen=first.address, console=console)
    wait_for(lambda: " following" in second.log.read_text(), 15.0)
    wait_for(lambda: second.counters().get("established_sessions_adopted") == "1", 15.0)
    # Clients that connect during the hot restart are served by b, or rejected with a retry time.
    responses = set()
    deadline = time.monotonic() + 1.5
    while time.monotonic() < deadline:
        responses.add(re.sub(r"\d+", "N", first.client().open_request("c=live,d=900")))
    assert responses <= {"UP b", "BUSY N"}, responses
    first.process.terminate()
    assert first.process.wait(6) == 0
    wait_for(lambda: second.counters().get("store_fresh") == "1", 15.0)
    wait_for(second.is_ready, 5.0)
    established_client.send("still here")
    assert established_client.read_line() == "still here"
    assert call(console, "save-servers/s-a/online") == 200
    wait_for(lambda: "UP a" in fleet.open_responses("node1"))
    assert call(fleet.consoles["node2"], "save-servers/s-a/offline") == 200
    assert "UP a" not in fleet.open_responses("node1")


def test_first_process_subscribes_again_when_second_dies(fleet: Fleet) -> None:
    fleet.start_all(1)
    first = fleet.nodes["node1"]
    console = f"127.0.0.1:{free_port()}"
    second = fleet.start("node1", subfolder="second", listen=first.address, console=console)
    wait_for(lambda: " following" in second.log.read_text(), 15.0)
    wait_for(lambda: first.counters()["store_fresh"] == "0", 10.0)  # its lease has expired
    second.process.kill()
    second.process.wait()
    fleet.nodes["node1"] = first
    revision = fleet.put(KeyUpdate("out/s-a", {"at_ms": 1}))
    wait_for(lambda: fleet.has_converged(revision), CONVERGENCE_TIMEOUT_S)
    wait_for(first.is_ready, 10.0)
    assert fleet.open_responses("node1") == {"UP b"}


def test_stopped_machine_sends_its_nodes_to_another_at_once(fleet: Fleet) -> None:
    fleet.start_all(3)
    machine = fleet.machine_of("node1")
    served_nodes = [name for name in fleet.nodes if fleet.machine_of(name) == machine]
    stopped = fleet.machines.processes[machine]
    stopped.terminate()
    assert stopped.wait(5) == 0
    for name in served_nodes:
        counters = fleet.nodes[name].counters()
        assert counters["observer_ended_leaving"] == "1", counters
    revision = fleet.put(KeyUpdate("config/motd", "on"))
    wait_for(lambda: fleet.has_converged(revision), CONVERGENCE_TIMEOUT_S)
