"""A publisher and its subscribers, connected without sockets and driven by a simulated clock."""

from __future__ import annotations

import random

from gradegap.observer import publisher as publisher_module
from gradegap.observer import subscriber as subscriber_module
from gradegap.observer.changes import is_subscribed
from gradegap.observer.limits import Limits
from gradegap.observer.messages import (
    VERSION,
    CloseCode,
    FromPublisher,
    FromSubscriber,
    Renew,
    Subscribe,
)
from gradegap.observer.publisher import Publisher
from gradegap.observer.selection import MachineAddress
from gradegap.observer.source import MachineSource
from gradegap.observer.subscriber import Apply, Connect, Disconnect, Subscriber
from gradegap.store import records
from gradegap.store.machine import StateMachine

LIMITS = Limits()
MACHINES = [
    MachineAddress(f"m{number}", f"127.0.0.1:{7500 + number}", f"r{number % 3}") for number in range(6)
]


class ReplicatedState:
    """A member's state machine, to which a test writes directly."""

    def __init__(self) -> None:
        self.machine = StateMachine()
        self.source = MachineSource(self.machine)
        self.seq = 0

    def put(self, key: str, value: object, delete: bool = False) -> int:
        """Commits one change and returns its revision."""
        return self.transact(records.KeyUpdate(key, value, delete))

    def transact(self, *ops: records.KeyUpdate) -> int:
        self.seq += 1
        command = records.Command(f"c{self.seq}", 1, 10**12, "test", (), ops)
        log_record = records.LogRecord(0, 0, command)
        self.machine.apply(self.machine.index + 1, records.encode(log_record))
        return self.machine.revision


class PublisherHarness:
    """One publisher and nodes that are connected to it over lossless links."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        self.state = ReplicatedState()
        self.now = 100.0
        self.limits = limits
        self.publisher = Publisher("cluster", "m0", self.state.source, limits, self.now, random.Random(1))
        self.nodes: dict[int, Subscriber] = {}
        self.states: dict[int, dict[str, object]] = {}
        self.received: dict[int, list[FromPublisher]] = {}
        self.sent: dict[int, list[FromSubscriber]] = {}
        self.closed: dict[int, CloseCode] = {}
        self.blocked: set[int] = set()

    def add_node(self, name: str, instance: str = "") -> int:
        """Adds a node and returns the number of its connection."""
        number = len(self.nodes) + 1
        node = Subscriber(
            name, instance or f"i{number}", "r0", MACHINES[:1], self.limits, self.now, random.Random(number)
        )
        self.nodes[number] = node
        self.states[number] = {}
        self.received[number] = []
        self.sent[number] = []
        return number

    def run(self, seconds: float, lease: bool = True) -> None:
        """Advances the clock in steps of 10 ms."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.01
            if lease:
                self.publisher.renew_lease(self.now, self.now + 0.9)
            self.publisher.tick(self.now)
            for node in self.nodes.values():
                if self.now >= node.deadline():
                    node.tick(self.now)
            self.settle()

    def settle(self) -> None:
        busy = True
        while busy:
            busy = self._from_publisher()
            for number in list(self.nodes):
                busy |= self._from_node(number)

    def _from_publisher(self) -> bool:
        outputs = self.publisher.take()
        for output in outputs:
            node = self.nodes[output.connection_id]
            if isinstance(output, publisher_module.Send):
                self.received[output.connection_id].append(output.message)
                node.receive(self.now, output.message)
            else:
                self.closed[output.connection_id] = output.code
                node.disconnected(self.now, output.code)
        return bool(outputs)

    def _from_node(self, number: int) -> bool:
        node = self.nodes[number]
        outputs = node.take()
        for output in outputs:
            match output:
                case Connect():
                    node.connected(self.now)
                case Disconnect():
                    self.publisher.disconnected(self.now, number)
                case subscriber_module.Send():
                    self.sent[number].append(output.message)
                    if isinstance(output.message, Subscribe):
                        self.publisher.subscribe(self.now, number, output.message)
                    else:
                        self.publisher.receive(self.now, number, output.message)
                case Apply():
                    self._apply(number, output)
        return bool(outputs)

    def _apply(self, number: int, apply: Apply) -> None:
        if apply.is_snapshot:
            self.states[number] = {}
        for change in apply.changes:
            if change.deleted:
                self.states[number].pop(change.key, None)
            else:
                self.states[number][change.key] = change.value

    def message_types(self, number: int) -> list[str]:
        return [type(message).__name__ for message in self.received[number]]

    def expected_state(self) -> dict[str, object]:
        return {key: item.value for key, item in self.state.machine.items.items() if is_subscribed(key)}


def send_renew(
    publisher: Publisher, now: float, number: int, revision: int, serial: int = 1
) -> list[FromPublisher]:
    """Sends a Renew and returns the messages that answer it."""
    publisher.receive(now, number, Renew(serial, revision))
    return [
        output.message for output in take_all_outputs(publisher) if isinstance(output, publisher_module.Send)
    ]


def take_all_outputs(publisher: Publisher) -> list[publisher_module.Output]:
    outputs: list[publisher_module.Output] = []
    while more := publisher.take():
        outputs += more
    return outputs


def send_subscribe(publisher: Publisher, now: float, number: int, revision: int, node: str = "") -> list[str]:
    """Subscribes and returns the types of the answering messages."""
    message = Subscribe(VERSION, node or f"n{number}", f"i{number}", "r0", "", revision)
    publisher.subscribe(now, number, message)
    return [
        type(output.message).__name__
        for output in take_all_outputs(publisher)
        if isinstance(output, publisher_module.Send)
    ]
