"""A node of the observer model: a process that makes decisions based on committed state."""

from __future__ import annotations

from abc import abstractmethod

from gradegap.observer import subscriber as subscribing
from gradegap.observer.messages import FromPublisher
from gradegap.observer.selection import MachineAddress
from gradegap.observer.subscriber import Subscriber
from gradegap.verification.observer_connection import Connection, NodeSide
from gradegap.verification.observer_faults import LIMITS, NEVER
from gradegap.verification.observer_process import World


class NodeWorld(World):
    """The interface of the world that a node uses."""

    subscriber_class: type[Subscriber]

    @abstractmethod
    def machine_addresses(self) -> list[MachineAddress]:
        """Returns the addresses of the machines that serve subscriptions."""

    @abstractmethod
    def connect(self, node: Node, machine_name: str) -> Connection | None:
        """Returns an established connection to a machine, or None if the machine is unreachable."""


class Node(NodeSide):
    """Drives a subscriber in the way the node process does."""

    world: NodeWorld

    def __init__(self, world: NodeWorld, name: str, region: str) -> None:
        super().__init__(world, name)
        self.region = region
        self.connection: Connection | None = None
        self.subscribed_at = NEVER  # last time at which a machine had a subscription of this incarnation
        self.values: dict[str, object] = {}
        self.subscriber: Subscriber

    def start(self) -> None:
        """Start a new incarnation without any state."""
        super().start()
        self.values = {}
        self.connection = None
        self.subscribed_at = NEVER
        instance = f"{self.name}-{self.world.rng.getrandbits(32):08x}"
        addresses = self.world.machine_addresses()
        self.subscriber = self.world.subscriber_class(
            self.name, instance, self.region, addresses, LIMITS, self.now, self.world.fork_random()
        )
        self.world.invariants.record_started(self)

    def step(self) -> None:
        """Tick the subscriber and process its outputs, as the driver does."""
        self.subscriber.tick(self.now)
        self.process_outputs()

    def receive(self, message: FromPublisher) -> None:
        """Handle a message."""
        self.subscriber.receive(self.now, message)
        self.process_outputs()

    def receive_duplicate(self, connection: Connection, message: FromPublisher) -> None:
        """Handle a duplicate of a message."""
        if self.connection is connection:
            self.world.counts["twice"] += 1
            self.receive(message)

    def connection_lost(self, connection: Connection) -> None:
        """Handle the end of a connection."""
        if self.connection is connection:
            self.connection = None
            self.subscriber.disconnected(self.now, "reset")
            self.process_outputs()

    def leave(self) -> None:
        """Announce a planned stop."""
        self.subscriber.leave(self.now)
        self.process_outputs()
        self.subscribed_at = NEVER

    def process_outputs(self) -> None:
        """Process the subscriber's outputs in order."""
        for output in self.subscriber.take():
            match output:
                case subscribing.Connect():
                    self.world.after(
                        self.world.rng.uniform(0.001, 0.1), self._connect, self.incarnation, output.machine
                    )
                case subscribing.Disconnect():
                    self._disconnect()
                case subscribing.Send():
                    self.world.invariants.check_sent(self, output.message)
                    if self.connection is not None:
                        self.connection.to_machine(output.message)
                case subscribing.Apply():
                    self._apply(output)
                case subscribing.LeaseChanged():
                    self.world.counts["lease_changes"] += 1
        self.world.invariants.check_stepped(self)

    def _connect(self, incarnation: int, address: MachineAddress) -> None:
        self.perform(incarnation, self._complete_connect, address)

    def _complete_connect(self, address: MachineAddress) -> None:
        if self.connection is not None or self.subscriber.phase is not subscribing.Phase.CONNECTING:
            return
        self.connection = self.world.connect(self, address.name)
        if self.connection is None:
            self.subscriber.disconnected(self.now, "refused")
        else:
            self.subscriber.connected(self.now)
        self.process_outputs()

    def _disconnect(self) -> None:
        if self.connection is not None:
            # The delay lets messages that were sent before arrive, such as a Leave.
            self.world.after(0.05, self.connection.close)
            self.connection = None

    def _apply(self, apply: subscribing.Apply) -> None:
        self.world.counts["snapshots" if apply.is_snapshot else "deltas"] += 1
        if apply.is_snapshot:
            self.values = {}
        for change in apply.changes:
            if change.deleted:
                self.values.pop(change.key, None)
            else:
                self.values[change.key] = change.value
        self.world.invariants.check_applied(self, apply)
