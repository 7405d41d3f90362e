"""Model of observer subscriptions in virtual time: a log, a leader, publishers and subscribers under faults.

A run is determined by its seed. Publishers, subscribers, the leader's leases and the replicated state are the
classes that processes run, driven in the way the drivers do. The consensus core is not part of the model (see
`simulator`): the log is a list, and the successor of a leader does not know the leases granted before.
"""

from __future__ import annotations

from dataclasses import replace

from gradegap.observer.publisher import Publisher
from gradegap.observer.subscriber import Subscriber
from gradegap.verification.errors import InvariantError
from gradegap.verification.observer_cluster import Cluster
from gradegap.verification.observer_fault_injector import FaultInjector
from gradegap.verification.observer_faults import LIMITS, MAX_CLOCK_DRIFT, NO_FAULTS, Faults

IN_FORCE_POLL_INTERVAL_S = 0.1
# Time within which all nodes must have caught up after all faults ended.
CONVERGENCE_TIMEOUT_S = 10.0


class Model(Cluster):
    """One run of a cluster under load and faults, with periodic polls of whether a revision is in force."""

    def __init__(
        self,
        seed: int,
        machines: int = 3,
        nodes: int = 8,
        faults: Faults | None = None,
        publisher_class: type[Publisher] = Publisher,
        subscriber_class: type[Subscriber] = Subscriber,
        reuses_holder_name: bool = False,
    ) -> None:
        super().__init__(
            seed, machines, nodes, faults or Faults(), publisher_class, subscriber_class, reuses_holder_name
        )
        self.is_writing = True
        self.injector = FaultInjector(self)
        self.after(0.0, self._write)
        self.after(0.0, self.injector.inject)
        self.after(0.0, self._poll_in_force)

    def _write(self) -> None:
        leader = self.leader
        if leader is not None and not leader.is_paused and self.is_writing:
            leader.write()
        self.after(self.rng.expovariate(self.faults.writes_per_s), self._write)

    def _poll_in_force(self) -> None:
        self._record_subscribers()
        revision = self.rng.randint(max(0, self.reference.revision - 3), self.reference.revision)
        if self.in_force(revision).in_force:
            self.counts["in force"] += 1
            since = self.now - LIMITS.disconnected_node_retention_s * (1.0 - MAX_CLOCK_DRIFT)
            excluded_names = self.injector.duplicate_names()
            subscribed_nodes = [
                node for node in self.nodes if node.subscribed_at > since and node.name not in excluded_names
            ]
            self.invariants.check_in_force(revision, subscribed_nodes)
        self.after(IN_FORCE_POLL_INTERVAL_S, self._poll_in_force)

    def _record_subscribers(self) -> None:
        """Update `subscribed_at` of the nodes whose current incarnation has a subscription at a machine."""
        for machine in self.machines:
            for number in machine.publisher.subscriptions if machine.is_running else ():
                connection = self.connections.get(number)
                if connection is None:
                    continue
                node = connection.node
                if connection.incarnations[node] == node.incarnation:
                    node.subscribed_at = self.now

    def check_convergence(self) -> None:
        """End all faults, and check that every node reaches the state of the log and holds a lease.

        Raises:
            InvariantError: A node does not, or the machines do not report the last revision as in force.
        """
        self._end_faults()
        self.run(CONVERGENCE_TIMEOUT_S)
        self.is_writing = False
        self.run(1.0)
        self.invariants.check_converged(self.nodes, self.reference.revision)
        verdict = self.in_force(self.reference.revision)
        if not verdict.in_force:
            raise InvariantError(
                f"in-force: all nodes are at the last revision, but the verdict is {verdict}"
            )

    def _end_faults(self) -> None:
        self.faults = replace(NO_FAULTS, has_clock_drift=self.faults.has_clock_drift)
        self.unreachable.clear()
        self.injector.stop_duplicate_nodes()
        for process in (*self.machines, *self.nodes):
            process.resume()
            if not process.is_running:
                process.start()
        for machine in self.machines:
            machine.is_partitioned = False
        for connection in self.connections.values():
            connection.is_slow = False
        if self.leader is None:
            self.new_leader()
        elif self.leader.is_paused:
            self.leader.resume()
