"""A node of the observer model: a process that decides by committed state."""

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
    """What a node needs of its world."""

    subscriber_class: type[Subscriber]

    @abstractmethod
    def machine_addresses(self) -> list[MachineAddress]:
        """The machines that serve subscriptions."""

    @abstractmethod
    def connect(self, node: Node, machine_name: str) -> Connection | None:
        """An established connection to a machine; None where it can't be reached."""


class Node(NodeSide):
    """Drives a subscriber as the process does."""

    world: NodeWorld

    def __init__(self, world: NodeWorld, name: str, region: str) -> None:
        super().__init__(world, name)
        self.region = region
        self.connection: Connection | None = None
        self.subscribed_at = NEVER  # when a machine last counted this incarnation as its subscriber
        self.values: dict[str, object] = {}
        self.subscriber: Subscriber

    def start(self) -> None:
        """A new incarnation knows nothing."""
        super().start()
        self.values = {}
        self.connection = None
        self.subscribed_at = NEVER
        instance = f"{self.name}-{self.world.rng.getrandbits(32):08x}"
        addresses = self.world.machine_addresses()
        self.subscriber = self.world.subscriber_class(
            self.name, instance, self.region, addresses, LIMITS, self.now, self.world.fork_random()
        )
        self.world.invariants.started(self)

    def step(self) -> None:
        """As the driver: tick, then carry out."""
        self.subscriber.tick(self.now)
        self.settle()

    def receive(self, message: FromPublisher) -> None:
        """A message arrived."""
        self.subscriber.receive(self.now, message)
        self.settle()

    def receive_duplicate(self, connection: Connection, message: FromPublisher) -> None:
        """A message arrived for the second time."""
        if self.connection is connection:
            self.world.counts["twice"] += 1
            self.receive(message)

    def connection_lost(self, connection: Connection) -> None:
        """The connection ended."""
        if self.connection is connection:
            self.connection = None
            self.subscriber.disconnected(self.now, "reset")
            self.settle()

    def leave(self) -> None:
        """Announce a planned stop."""
        self.subscriber.leave(self.now)
        self.settle()
        self.subscribed_at = NEVER

    def settle(self) -> None:
        """Carry out what the subscriber wants, in its order."""
        for output in self.subscriber.take():
            match output:
                case subscribing.Connect():
                    self.world.after(
                        self.world.rng.uniform(0.001, 0.1), self._dial, self.incarnation, output.machine
                    )
                case subscribing.Disconnect():
                    self._hang_up()
                case subscribing.Send():
                    self.world.invariants.sent(self, output.message)
                    if self.connection is not None:
                        self.connection.to_machine(output.message)
                case subscribing.Apply():
                    self._apply(output)
                case subscribing.LeaseChanged():
                    self.world.counts["lease_changes"] += 1
        self.world.invariants.stepped(self)

    def _dial(self, incarnation: int, address: MachineAddress) -> None:
        self.perform(incarnation, self._dialed, address)

    def _dialed(self, address: MachineAddress) -> None:
        if self.connection is not None or self.subscriber.phase is not subscribing.Phase.CONNECTING:
            return
        self.connection = self.world.connect(self, address.name)
        if self.connection is None:
            self.subscriber.disconnected(self.now, "refused")
        else:
            self.subscriber.connected(self.now)
        self.settle()

    def _hang_up(self) -> None:
        if self.connection is not None:
            # What was sent before, a Leave among it, still arrives.
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
        self.world.invariants.applied(self, apply)
