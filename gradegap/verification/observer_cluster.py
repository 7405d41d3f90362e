"""The world of the observer model: a log, control machines, nodes, and what connects them."""

from __future__ import annotations

from collections.abc import Callable

from gradegap.observer.publisher import Publisher
from gradegap.observer.selection import MachineAddress
from gradegap.observer.subscriber import Subscriber
from gradegap.store.in_force import InForceTally, InForceVerdict
from gradegap.store.machine import StateMachine
from gradegap.store.records import Command, KeyUpdate, LogRecord, encode
from gradegap.verification.observer_connection import Connection
from gradegap.verification.observer_control import ControlMachine, ControlWorld, Leader
from gradegap.verification.observer_faults import Faults
from gradegap.verification.observer_invariants import subscribed_values
from gradegap.verification.observer_node import Node, NodeWorld
from gradegap.verification.observer_process import Process

KEYS_PER_PREFIX = 6
KEYS = [f"{prefix}{k}" for prefix in ("config/", "out/", "notes/") for k in range(KEYS_PER_PREFIX)]


class Cluster(NodeWorld, ControlWorld):
    """All processes of a run. A mutation is another class of publisher or subscriber, or of holder names."""

    def __init__(
        self,
        seed: int,
        machines: int,
        nodes: int,
        faults: Faults,
        publisher_class: type[Publisher],
        subscriber_class: type[Subscriber],
        same_holder_name: bool,
    ) -> None:
        super().__init__(seed, faults)
        self.publisher_class, self.subscriber_class = publisher_class, subscriber_class
        self.same_holder_name = same_holder_name
        self.log: list[bytes] = []
        self.reference = StateMachine()
        self.invariants.committed(0, {})
        self.connections: dict[int, Connection] = {}
        self.connection_count = 0
        self.unreachable: set[tuple[Node, ControlMachine]] = set()
        self.term = 1
        self.leader: Leader | None = Leader(self, 1)
        self.machines = [ControlMachine(self, f"m{k}", f"r{k % 2}") for k in range(machines)]
        self.nodes = [Node(self, f"n{k}", f"r{k % 2}") for k in range(nodes)]
        for process in (*self.machines, *self.nodes):
            process.start()

    # Connections

    def machine_addresses(self) -> list[MachineAddress]:
        """The machines that serve subscriptions."""
        return [MachineAddress(machine.name, "", machine.region) for machine in self.machines]

    def connect(self, node: Node, machine_name: str) -> Connection | None:
        """An established connection to a machine; None where it can't be reached."""
        machine = next(machine for machine in self.machines if machine.name == machine_name)
        if not machine.running or (node, machine) in self.unreachable:
            return None
        self.connection_count += 1
        connection = Connection(self, self.connection_count, node, machine)
        self.connections[self.connection_count] = connection
        return connection

    def connection(self, number: int) -> Connection | None:
        """The connection of this number, while it is open."""
        return self.connections.get(number)

    def forget_connection(self, number: int) -> None:
        """A connection has ended."""
        self.connections.pop(number, None)

    def connections_of(self, process: Process) -> list[Connection]:
        """All connections that this process is a side of."""
        return [c for c in self.connections.values() if process in (c.node, c.machine)]

    def close_connections_of(self, process: Process) -> None:
        """End all connections that this process is a side of."""
        for connection in self.connections_of(process):
            connection.close()

    # The leader and the log

    def new_leader(self) -> None:
        """A leader of the next term, who knows of no leases."""
        self.term += 1
        self.leader = Leader(self, self.term)

    def holder_name(self, machine: ControlMachine) -> str:
        """A name under which no earlier incarnation of the machine held a lease."""
        return machine.name if self.same_holder_name else f"{machine.name}.{machine.incarnation}"

    def most_advanced_state(self) -> StateMachine:
        """The replicated state of the machine that has applied most."""
        return max(self.machines, key=lambda machine: machine.machine.index).machine

    def to_leader(self, machine: ControlMachine, action: Callable[[Leader], None]) -> None:
        """A message from a machine to whoever leads: lost, late or duplicated."""
        self._carry(machine, self._at_leader, action)

    def _at_leader(self, action: Callable[[Leader], None]) -> None:
        leader = self.leader
        if leader is not None:
            leader.perform(leader.incarnation, action, leader)

    def from_leader(self, machine: ControlMachine, action: Callable[[], None]) -> None:
        """A message from the leader to a machine: lost, late or duplicated."""
        self._carry(machine, action)

    def _carry(self, machine: ControlMachine, action: Callable[..., None], *arguments: object) -> None:
        if machine.partitioned or self.rng.random() < self.faults.drop:
            return
        for _ in range(2 if self.rng.random() < self.faults.duplicate else 1):
            self.after(self.rng.uniform(0.001, 0.05), action, *arguments)

    def commit(self) -> int:
        """Put a random change into the log; its index."""
        keys = self.rng.sample(KEYS, 2)
        number = len(self.log) + 1
        operations = tuple(
            KeyUpdate(key, delete=True)
            if self.rng.random() < 0.2
            else KeyUpdate(key, f"{number}" * self.rng.randint(1, 20))
            for key in keys[: self.rng.choice([1, 1, 2])]
        )
        entry = encode(LogRecord(0, 0, Command(f"c{number}", 1, 10**12, "model", (), operations)))
        self.log.append(entry)
        self.reference.apply(number, entry)
        self.invariants.committed(self.reference.revision, subscribed_values(self.reference))
        return number

    # Whether a revision is in force

    def in_force(self, revision: int) -> InForceVerdict:
        """Poll all machines that can be reached, at one moment."""
        tally = InForceTally(revision, [machine.name for machine in self.machines])
        for machine in self.machines:
            if machine.running and not machine.paused and not machine.partitioned:
                tally.add_report(machine.publisher.report(machine.now, revision))
        return tally.verdict()
