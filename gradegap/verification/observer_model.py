"""Observer subscriptions in virtual time: one log, a leader, publishers and subscribers, under faults.

One seed gives one run. Publishers, subscribers, the leader's leases and the replicated state are the classes
that processes run, driven as the drivers do. The consensus core is left out (`simulator` has it): the log is
a list, and a leader that goes is followed by one that knows of no leases.
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
LEVEL_TIMEOUT_S = 10.0  # within which all nodes are level once all faults have ended


class Model(Cluster):
    """One run: a cluster under load and faults, polled for what is in force."""

    def __init__(
        self,
        seed: int,
        machines: int = 3,
        nodes: int = 8,
        faults: Faults | None = None,
        publisher_class: type[Publisher] = Publisher,
        subscriber_class: type[Subscriber] = Subscriber,
        same_holder_name: bool = False,
    ) -> None:
        super().__init__(
            seed, machines, nodes, faults or Faults(), publisher_class, subscriber_class, same_holder_name
        )
        self.writing = True
        self.injector = FaultInjector(self)
        self.after(0.0, self._write)
        self.after(0.0, self.injector.inject)
        self.after(0.0, self._poll_in_force)

    def _write(self) -> None:
        leader = self.leader
        if leader is not None and not leader.paused and self.writing:
            leader.write()
        self.after(self.rng.expovariate(self.faults.writes_per_s), self._write)

    def _poll_in_force(self) -> None:
        self._note_subscribers()
        revision = self.rng.randint(max(0, self.reference.revision - 3), self.reference.revision)
        if self.in_force(revision).in_force:
            self.counts["in force"] += 1
            since = self.now - LIMITS.disconnected_node_retention_s * (1.0 - MAX_CLOCK_DRIFT)
            twinned = self.injector.twinned_names()
            counted = [n for n in self.nodes if n.subscribed_at > since and n.name not in twinned]
            self.invariants.in_force(revision, counted)
        self.after(IN_FORCE_POLL_INTERVAL_S, self._poll_in_force)

    def _note_subscribers(self) -> None:
        """Note which nodes a machine counts among its own now."""
        for machine in self.machines:
            for number in machine.publisher.subscriptions if machine.running else ():
                connection = self.connections.get(number)
                if connection is None:
                    continue
                node = connection.node
                if connection.incarnations[node] == node.incarnation:
                    node.subscribed_at = self.now

    def calm(self) -> None:
        """End all faults; every node must come to the state of the log, and hold a lease.

        Raises:
            InvariantError: A node does not, or the machines don't say so.
        """
        self._end_faults()
        self.run(LEVEL_TIMEOUT_S)
        self.writing = False
        self.run(1.0)
        self.invariants.level(self.nodes, self.reference.revision)
        verdict = self.in_force(self.reference.revision)
        if not verdict.in_force:
            raise InvariantError(f"in-force: all is level, and the verdict is {verdict}")

    def _end_faults(self) -> None:
        self.faults = replace(NO_FAULTS, drift=self.faults.drift)
        self.unreachable.clear()
        self.injector.end_twins()
        for process in (*self.machines, *self.nodes):
            process.resume()
            if not process.running:
                process.start()
        for machine in self.machines:
            machine.partitioned = False
        for connection in self.connections.values():
            connection.slow = False
        if self.leader is None:
            self.new_leader()
        elif self.leader.paused:
            self.leader.resume()
