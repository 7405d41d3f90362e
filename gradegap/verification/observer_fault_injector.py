"""Fault injection for the observer model: faults are drawn every 0.1 s of virtual time."""

from __future__ import annotations

from gradegap.verification.observer_cluster import Cluster
from gradegap.verification.observer_control import ControlMachine
from gradegap.verification.observer_faults import LIMITS
from gradegap.verification.observer_node import Node
from gradegap.verification.observer_process import Process

DRAW_INTERVAL_S = 0.1


class FaultInjector:
    """Crashes, pauses and partitions processes of a cluster, with a probability for each kind of fault."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.duplicate_nodes: list[Node] = []
        self.duplicate_names_until: dict[str, float] = {}

    def inject(self) -> None:
        """Draw each kind of fault once, and schedule the next draw."""
        cluster, faults = self.cluster, self.cluster.faults
        for probability, name, action in (
            (faults.crash_node, "crash_node", self._crash_node),
            (faults.crash_machine, "crash_machine", self._crash_machine),
            (faults.pause, "pause", self._pause),
            (faults.reset, "reset", self._reset),
            (faults.partition, "partition", self._partition),
            (faults.leader_change, "change_leader", self._change_leader),
            (faults.compact, "compact", self._compact),
            (faults.install, "install", self._install),
            (faults.duplicate_node, "twin", self._start_duplicate_node),
            (faults.leave, "leave", self._leave),
        ):
            if cluster.rng.random() < probability * DRAW_INTERVAL_S:
                cluster.counts[name] += 1
                action()
        cluster.after(DRAW_INTERVAL_S, self.inject)

    def duplicate_names(self) -> set[str]:
        """Returns the names that two processes have, or had so recently that a machine may remember both."""
        recent = {name for name, until in self.duplicate_names_until.items() if until > self.cluster.now}
        return {duplicate.name for duplicate in self.duplicate_nodes} | recent

    # Crashes and pauses

    def _restart(self, process: Process, incarnation: int) -> None:
        if process.incarnation == incarnation and not process.is_running:
            process.start()

    def _crash(self, process: Process) -> None:
        cluster = self.cluster
        if process.is_running:
            process.crash()
            restart_delay_s = cluster.rng.choice([0.0, 0.05, 0.5, 2.0])
            cluster.after(restart_delay_s, self._restart, process, process.incarnation)

    def _crash_node(self) -> None:
        self._crash(self.cluster.rng.choice(self.cluster.nodes))

    def _crash_machine(self) -> None:
        self._crash(self.cluster.rng.choice(self.cluster.machines))

    def _pause(self) -> None:
        cluster = self.cluster
        process = cluster.rng.choice([*cluster.machines, *cluster.machines, *cluster.nodes])
        if process.is_running and not process.is_paused:
            process.pause()
            cluster.after(cluster.rng.choice([0.1, 0.5, 1.5, 4.0]), process.resume)

    # The network

    def _reset(self) -> None:
        connections = list(self.cluster.connections.values())
        if connections:
            self.cluster.rng.choice(connections).close()

    def _partition(self) -> None:
        cluster = self.cluster
        machine = cluster.rng.choice(cluster.machines)
        if cluster.rng.random() < 0.5:
            machine.is_partitioned = True
        else:
            disconnected = [node for node in cluster.nodes if cluster.rng.random() < 0.7]
            cluster.unreachable |= {(node, machine) for node in disconnected}
            for connection in cluster.connections_of(machine):
                if connection.node in disconnected:
                    connection.close()
        cluster.after(cluster.rng.choice([0.3, 1.5, 4.0]), self._heal, machine)

    def _heal(self, machine: ControlMachine) -> None:
        machine.is_partitioned = False
        self.cluster.unreachable = {pair for pair in self.cluster.unreachable if pair[1] is not machine}

    # The leader and the log

    def _change_leader(self) -> None:
        cluster = self.cluster
        if cluster.leader is not None:
            cluster.leader.crash()
            cluster.leader = None
            cluster.after(cluster.rng.choice([0.1, 0.5, 1.5]), cluster.new_leader)

    def _compact(self) -> None:
        """Drop a random number of the oldest events of a machine, rounded up to whole revisions."""
        rng = self.cluster.rng
        events = rng.choice(self.cluster.machines).machine.events
        for _ in range(rng.randint(0, len(events))):
            events.popleft()
        while events and events[0].position:
            events.popleft()

    def _install(self) -> None:
        machine = self.cluster.rng.choice(self.cluster.machines)
        if machine.is_running and not machine.is_paused:
            machine.install_snapshot()

    # Nodes with the same name, and planned stops

    def _start_duplicate_node(self) -> None:
        cluster = self.cluster
        original = cluster.rng.choice(cluster.nodes)
        duplicate = Node(cluster, original.name, original.region)
        self.duplicate_nodes.append(duplicate)
        duplicate.start()
        cluster.after(cluster.rng.uniform(0.5, 3.0), self._stop_duplicate_node, duplicate)

    def _stop_duplicate_node(self, duplicate: Node) -> None:
        if duplicate.is_running:
            duplicate.crash()
        if duplicate in self.duplicate_nodes:
            self.duplicate_nodes.remove(duplicate)
            self.cluster.invariants.remove_node(duplicate)
            # Machines do not distinguish two processes with the same name while they remember either.
            retention_s = 2 * LIMITS.disconnected_node_retention_s
            self.duplicate_names_until[duplicate.name] = self.cluster.now + retention_s

    def stop_duplicate_nodes(self) -> None:
        """Stop all duplicate processes."""
        for duplicate in list(self.duplicate_nodes):
            self._stop_duplicate_node(duplicate)

    def _leave(self) -> None:
        node = self.cluster.rng.choice(self.cluster.nodes)
        if node.is_running and not node.is_paused:
            node.leave()
            self.cluster.after(0.1, self._stop, node, node.incarnation)

    def _stop(self, node: Node, incarnation: int) -> None:
        if node.incarnation == incarnation:
            self._crash(node)
