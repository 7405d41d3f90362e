"""The world of the observer model: a log, control machines, nodes and their connections."""

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
    """All processes of a run.

    A mutation substitutes the class of publishers or subscribers, or has machines reuse their holder names.
    """

    def __init__(
        self,
        seed: int,
        machines: int,
        nodes: int,
        faults: Faults,
        publisher_class: type[Publisher],
        subscriber_class: type[Subscriber],
        reuses_holder_name: bool,
    ) -> None:
        super().__init__(seed, faults)
        self.publisher_class, self.subscriber_class = publisher_class, subscriber_class
        self.reuses_holder_name = reuses_holder_name
        self.log: list[bytes] = []
        self.reference = StateMachine()
        self.invariants.record_committed(0, {})
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
        """Returns the addresses of the machines that serve subscriptions."""
        return [MachineAddress(machine.name, "", machine.region) for machine in self.machines]

    def connect(self, node: Node, machine_name: str) -> Connection | None:
        """Returns an established connection to a machine, or None if the machine is unreachable."""
        machine = next(machine for machine in self.machines if machine.name == machine_name)
        if not machine.is_running or (node, machine) in self.unreachable:
            return None
        self.connection_count += 1
        connection = Connection(self, self.connection_count, node, machine)
        self.connections[self.connection_count] = connection
        return connection

    def connection(self, number: int) -> Connection | None:
        """Returns the connection with this number, or None after its end."""
        return self.connections.get(number)

    def forget_connection(self, number: int) -> None:
        """Remove a connection that ended."""
        self.connections.pop(number, None)

    def connections_of(self, process: Process) -> list[Connection]:
        """Returns all connections of a process."""
        return [
            connection
            for connection in self.connections.values()
            if process in (connection.node, connection.machine)
        ]

    def close_connections_of(self, process: Process) -> None:
        """Close all connections of a process."""
        for connection in self.connections_of(process):
            connection.close()

    # The leader and the log

    def new_leader(self) -> None:
        """Start a leader of the next term, which does not know the leases granted before."""
        self.term += 1
        self.leader = Leader(self, self.term)

    def holder_name(self, machine: ControlMachine) -> str:
        """Returns a holder name that no earlier incarnation of the machine used, except under a mutation."""
        return machine.name if self.reuses_holder_name else f"{machine.name}.{machine.incarnation}"

    def most_advanced_state(self) -> StateMachine:
        """Returns the replicated state of the machine with the highest applied index."""
        return max(self.machines, key=lambda machine: machine.machine.index).machine

    def to_leader(self, machine: ControlMachine, action: Callable[[Leader], None]) -> None:
        """Transmit a message from a machine to the current leader: it may be lost, delayed or duplicated."""
        self._transmit(machine, self._arrive_at_leader, action)

    def _arrive_at_leader(self, action: Callable[[Leader], None]) -> None:
        leader = self.leader
        if leader is not None:
            leader.perform(leader.incarnation, action, leader)

    def from_leader(self, machine: ControlMachine, action: Callable[[], None]) -> None:
        """Transmit a message from the leader to a machine: it may be lost, delayed or duplicated."""
        self._transmit(machine, action)

    def _transmit(self, machine: ControlMachine, action: Callable[..., None], *arguments: object) -> None:
        if machine.is_partitioned or self.rng.random() < self.faults.drop:
            return
        for _ in range(2 if self.rng.random() < self.faults.duplicate else 1):
            self.after(self.rng.uniform(0.001, 0.05), action, *arguments)

    def commit(self) -> int:
        """Append a random change to the log and return its index."""
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
        self.invariants.record_committed(self.reference.revision, subscribed_values(self.reference))
        return number

    # Whether a revision is in force

    def in_force(self, revision: int) -> InForceVerdict:
        """Returns the verdict of all reachable machines at the current time."""
        tally = InForceTally(revision, [machine.name for machine in self.machines])
        for machine in self.machines:
            if machine.is_running and not machine.is_paused and not machine.is_partitioned:
                tally.add_report(machine.publisher.report(machine.now, revision))
        return tally.verdict()
