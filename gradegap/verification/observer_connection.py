"""A simulated connection between a node and a machine of the observer model. Its node may read slowly."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable

from gradegap.observer.messages import FromPublisher, FromSubscriber
from gradegap.verification.observer_process import Process, World

HIGH_WATER_MESSAGES = 3  # in flight to a node: the publisher pauses writing
LOW_WATER_MESSAGES = 1  # in flight to a node: the publisher resumes writing
MAX_QUEUED_MESSAGES = 12  # in flight to a node; more violate an invariant


class NodeSide(Process):
    """The interface of a node that its connection uses."""

    connection: Connection | None
    subscribed_at: float

    @abstractmethod
    def receive(self, message: FromPublisher) -> None:
        """Handle a message."""

    @abstractmethod
    def receive_duplicate(self, connection: Connection, message: FromPublisher) -> None:
        """Handle a duplicate of a message."""

    @abstractmethod
    def connection_lost(self, connection: Connection) -> None:
        """Handle the end of a connection."""


class MachineSide(Process):
    """The interface of a control machine that its connections use."""

    @abstractmethod
    def receive(self, connection: Connection, message: FromSubscriber) -> None:
        """Handle a message."""

    @abstractmethod
    def pause_writing(self, connection: Connection) -> None:
        """Stop sending: too many messages are in flight to the node."""

    @abstractmethod
    def resume_writing(self, connection: Connection) -> None:
        """Continue sending: the node has read messages."""

    @abstractmethod
    def connection_lost(self, connection: Connection) -> None:
        """Handle the end of a connection."""


class Connection:
    """A connection that keeps the order of messages. The two sides learn of its end at different times."""

    def __init__(self, world: World, number: int, node: NodeSide, machine: MachineSide) -> None:
        self.world, self.number, self.node, self.machine = world, number, node, machine
        self.incarnations: dict[Process, int] = {node: node.incarnation, machine: machine.incarnation}
        self.is_open = True
        self.is_slow = world.rng.random() < world.faults.slow
        self.in_flight_count = 0  # messages to the node
        self.is_congested = False
        self.last_arrivals: dict[Process, float] = {}  # arrival time of the last message to each side

    def to_node(self, message: FromPublisher) -> None:
        """Send a message to the node. At the high-water mark the publisher pauses writing."""
        self.in_flight_count += 1
        self.world.invariants.check_bound("messages to one node", self.in_flight_count, MAX_QUEUED_MESSAGES)
        if self.in_flight_count >= HIGH_WATER_MESSAGES and not self.is_congested:
            self.is_congested = True
            self.machine.pause_writing(self)
        self._transmit(self.node, self._arrive_at_node, message)

    def to_machine(self, message: FromSubscriber) -> None:
        """Send a message to the machine."""
        self._transmit(self.machine, self.machine.receive, self, message)

    def _transmit(self, receiver: Process, action: Callable[..., None], *arguments: object) -> None:
        rng, world = self.world.rng, self.world
        delay_s = rng.uniform(0.001, 0.03)
        if receiver is self.node and self.is_slow and world.faults.slow:
            delay_s += rng.uniform(0.05, 0.4)
        # An absolute time keeps the order: a delay could be rounded to a time just before the last arrival.
        arrival = max(self.last_arrivals.get(receiver, 0.0), world.now + delay_s)
        self.last_arrivals[receiver] = arrival
        world.at(arrival, self._arrive, receiver, action, arguments)

    def _arrive(self, receiver: Process, action: Callable[..., None], arguments: tuple[object, ...]) -> None:
        if self.is_open:
            receiver.perform(self.incarnations[receiver], action, *arguments)

    def _arrive_at_node(self, message: FromPublisher) -> None:
        self.in_flight_count -= 1
        if self.node.connection is self:
            self.node.receive(message)
            if self.world.rng.random() < self.world.faults.duplicate:
                self.world.after(self.world.rng.choice([0.0, 0.1]), self._deliver_duplicate, message)
        if self.is_congested and self.in_flight_count <= LOW_WATER_MESSAGES:
            self.is_congested = False
            self.machine.perform(self.incarnations[self.machine], self.machine.resume_writing, self)

    def _deliver_duplicate(self, message: FromPublisher) -> None:
        if self.is_open and self.node.connection is self:
            self.node.perform(self.incarnations[self.node], self.node.receive_duplicate, self, message)

    def close(self) -> None:
        """Close the connection. Messages in flight are lost; each side is notified after a random delay."""
        if not self.is_open:
            return
        self.is_open = False
        self.world.forget_connection(self.number)
        for side in (self.node, self.machine):
            self.world.after(self.world.rng.choice([0.0, 0.05, 0.5]), self._notify, side)

    def _notify(self, side: NodeSide | MachineSide) -> None:
        side.perform(self.incarnations[side], side.connection_lost, self)
