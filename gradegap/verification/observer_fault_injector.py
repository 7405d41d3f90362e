"""The faults of a run of the observer model, drawn every tenth of a second."""

from __future__ import annotations

from gradegap.verification.observer_cluster import Cluster
from gradegap.verification.observer_control import ControlMachine
from gradegap.verification.observer_faults import LIMITS
from gradegap.verification.observer_node import Node
from gradegap.verification.observer_process import Process

INTERVAL_S = 0.1


class FaultInjector:
    """Crashes, pauses and partitions the processes of a cluster, each by its own probability."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.twins: list[Node] = []
        self.twinned_until: dict[str, float] = {}

    def inject(self) -> None:
        """Draw each kind of fault once, and again after the interval."""
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
            (faults.twin, "twin", self._start_twin),
            (faults.leave, "leave", self._leave),
        ):
            if cluster.rng.random() < probability * INTERVAL_S:
                cluster.counts[name] += 1
                action()
        cluster.after(INTERVAL_S, self.inject)

    def twinned_names(self) -> set[str]:
        """Names that two processes have, or had so lately that a machine may still remember both."""
        recent = {name for name, until in self.twinned_until.items() if until > self.cluster.now}
        return {twin.name for twin in self.twins} | recent

    # Crashes and pauses

    def _restart(self, process: Process, incarnation: int) -> None:
        if process.incarnation == incarnation and not process.running:
            process.start()

    def _crash(self, process: Process) -> None:
        cluster = self.cluster
        if process.running:
            process.crash()
            away_s = cluster.rng.choice([0.0, 0.05, 0.5, 2.0])
            cluster.after(away_s, self._restart, process, process.incarnation)

    def _crash_node(self) -> None:
        self._crash(self.cluster.rng.choice(self.cluster.nodes))

    def _crash_machine(self) -> None:
        self._crash(self.cluster.rng.choice(self.cluster.machines))

    def _pause(self) -> None:
        cluster = self.cluster
        process = cluster.rng.choice([*cluster.machines, *cluster.machines, *cluster.nodes])
        if process.running and not process.paused:
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
            machine.partitioned = True
        else:
            lost = [node for node in cluster.nodes if cluster.rng.random() < 0.7]
            cluster.unreachable |= {(node, machine) for node in lost}
            for connection in cluster.connections_of(machine):
                if connection.node in lost:
                    connection.close()
        cluster.after(cluster.rng.choice([0.3, 1.5, 4.0]), self._heal, machine)

    def _heal(self, machine: ControlMachine) -> None:
        machine.partitioned = False
        self.cluster.unreachable = {pair for pair in self.cluster.unreachable if pair[1] is not machine}

    # The leader and the log

    def _change_leader(self) -> None:
        cluster = self.cluster
        if cluster.leader is not None:
            cluster.leader.crash()
            cluster.leader = None
            cluster.after(cluster.rng.choice([0.1, 0.5, 1.5]), cluster.new_leader)

    def _compact(self) -> None:
        """A machine drops the older part of its history, whole revisions at a time."""
        rng = self.cluster.rng
        events = rng.choice(self.cluster.machines).machine.events
        for _ in range(rng.randint(0, len(events))):
            events.popleft()
        while events and events[0].position:
            events.popleft()

    def _install(self) -> None:
        machine = self.cluster.rng.choice(self.cluster.machines)
        if machine.running and not machine.paused:
            machine.install()

    # Nodes that share a name, or leave

    def _start_twin(self) -> None:
        cluster = self.cluster
        original = cluster.rng.choice(cluster.nodes)
        twin = Node(cluster, original.name, original.region)
        self.twins.append(twin)
        twin.start()
        cluster.after(cluster.rng.uniform(0.5, 3.0), self._end_twin, twin)

    def _end_twin(self, twin: Node) -> None:
        if twin.running:
            twin.crash()
        if twin in self.twins:
            self.twins.remove(twin)
            self.cluster.invariants.ended(twin)
            # Two processes under one name count as one, as long as machines remember either.
            remembered_s = 2 * LIMITS.disconnected_node_retention_s
            self.twinned_until[twin.name] = self.cluster.now + remembered_s

    def end_twins(self) -> None:
        """End all second processes."""
        for twin in list(self.twins):
            self._end_twin(twin)

    def _leave(self) -> None:
        node = self.cluster.rng.choice(self.cluster.nodes)
        if node.running and not node.paused:
            node.leave()
            self.cluster.after(0.1, self._stop, node, node.incarnation)

    def _stop(self, node: Node, incarnation: int) -> None:
        if node.incarnation == incarnation:
            self._crash(node)
