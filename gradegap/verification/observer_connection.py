"""A connection between a node and a machine of the observer model, with a transport that may be slow."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable

from gradegap.observer.messages import FromPublisher, FromSubscriber
from gradegap.verification.observer_process import Process, World

HIGH_WATER_MESSAGES = 3  # on their way to a node, from which on its publisher pauses writing
LOW_WATER_MESSAGES = 1  # at which it resumes
MAX_QUEUED_MESSAGES = 12  # on their way to a node, ever


class NodeSide(Process):
    """A node, as its connection uses it."""

    connection: Connection | None
    subscribed_at: float

    @abstractmethod
    def receive(self, message: FromPublisher) -> None:
        """A message arrived."""

    @abstractmethod
    def receive_duplicate(self, connection: Connection, message: FromPublisher) -> None:
        """A message arrived for the second time."""

    @abstractmethod
    def connection_lost(self, connection: Connection) -> None:
        """The connection ended."""


class MachineSide(Process):
    """A control machine, as its connections use it."""

    @abstractmethod
    def receive(self, connection: Connection, message: FromSubscriber) -> None:
        """A message arrived."""

    @abstractmethod
    def pause_writing(self, connection: Connection) -> None:
        """Too much is on its way to the node."""

    @abstractmethod
    def resume_writing(self, connection: Connection) -> None:
        """The node has read."""

    @abstractmethod
    def connection_lost(self, connection: Connection) -> None:
        """The connection ended."""


class Connection:
    """In order, until it ends; each side learns of the end at its own time."""

    def __init__(self, world: World, number: int, node: NodeSide, machine: MachineSide) -> None:
        self.world, self.number, self.node, self.machine = world, number, node, machine
        self.incarnations: dict[Process, int] = {node: node.incarnation, machine: machine.incarnation}
        self.open = True
        self.slow = world.rng.random() < world.faults.slow
        self.queued = 0  # messages to the node
        self.congested = False
        self.arrivals: dict[Process, float] = {}  # of the last message to each side

    def to_node(self, message: FromPublisher) -> None:
        """Send; the publisher pauses when too much is on its way."""
        self.queued += 1
        self.world.invariants.bounded("messages to one node", self.queued, MAX_QUEUED_MESSAGES)
        if self.queued >= HIGH_WATER_MESSAGES and not self.congested:
            self.congested = True
            self.machine.pause_writing(self)
        self._carry(self.node, self._at_node, message)

    def to_machine(self, message: FromSubscriber) -> None:
        """Send."""
        self._carry(self.machine, self.machine.receive, self, message)

    def _carry(self, receiver: Process, action: Callable[..., None], *arguments: object) -> None:
        rng, world = self.world.rng, self.world
        delay_s = rng.uniform(0.001, 0.03)
        if receiver is self.node and self.slow and world.faults.slow:
            delay_s += rng.uniform(0.05, 0.4)
        # The very same moment, not one that rounding puts a little before the message ahead of it.
        arrival = max(self.arrivals.get(receiver, 0.0), world.now + delay_s)
        self.arrivals[receiver] = arrival
        world.at(arrival, self._arrive, receiver, action, arguments)

    def _arrive(self, receiver: Process, action: Callable[..., None], arguments: tuple[object, ...]) -> None:
        if self.open:
            receiver.perform(self.incarnations[receiver], action, *arguments)

    def _at_node(self, message: FromPublisher) -> None:
        self.queued -= 1
        if self.node.connection is self:
            self.node.receive(message)
            if self.world.rng.random() < self.world.faults.duplicate:
                self.world.after(self.world.rng.choice([0.0, 0.1]), self._duplicate, message)
        if self.congested and self.queued <= LOW_WATER_MESSAGES:
            self.congested = False
            self.machine.perform(self.incarnations[self.machine], self.machine.resume_writing, self)

    def _duplicate(self, message: FromPublisher) -> None:
        if self.open and self.node.connection is self:
            self.node.perform(self.incarnations[self.node], self.node.receive_duplicate, self, message)

    def close(self) -> None:
        """End it: what is on its way is lost, and each side learns of it at its own time."""
        if not self.open:
            return
        self.open = False
        self.world.forget_connection(self.number)
        for side in (self.node, self.machine):
            self.world.after(self.world.rng.choice([0.0, 0.05, 0.5]), self._notify, side)

    def _notify(self, side: NodeSide | MachineSide) -> None:
        side.perform(self.incarnations[side], side.connection_lost, self)
