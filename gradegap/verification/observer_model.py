"""Observer subscriptions in virtual time: one log, a leader, publishers and subscribers, under faults.

One seed gives one run. Publishers, subscribers, the leader's book of leases and the replicated state are the
classes that processes run, driven as the drivers do. The consensus core is left out (`simulator` has it): the
log is a list, and a leader that goes is followed by one that knows of no leases.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from gradegap.observer import publisher as publishing
from gradegap.observer import subscriber as subscribing
from gradegap.observer.limits import Limits
from gradegap.observer.messages import FromPublisher, FromSubscriber, Subscribe
from gradegap.observer.publisher import Publisher
from gradegap.observer.selection import MachineAddress
from gradegap.observer.source import MachineSource
from gradegap.observer.subscriber import Subscriber
from gradegap.store.in_force import InForceTally, InForceVerdict
from gradegap.store.leases import Granter, Holder
from gradegap.store.machine import Command, KeyUpdate, LogRecord, StateMachine, encode
from gradegap.verification.invariants import Breach
from gradegap.verification.observer_invariants import ObserverRules, subscribed_values
from gradegap.verification.schedule import Schedule

TICK = 0.02  # s of virtual time between two looks of a process at its clock
LEASE = 1.0  # s, of a machine from the leader
DRIFT = 0.1
HIGH_WATER = 3  # messages on their way to a node, from which on its publisher is told that it is blocked
MOST_QUEUED = 12  # messages on their way to a node, ever
LEVEL_S = 10.0  # s within which all are level once all faults have ended
NEVER = -1e18
KEYS = 6  # of each prefix

# Small, so that everything is cut in pieces, refused and waited for.
LIMITS = Limits(
    renew_interval_s=0.3 * LEASE,
    max_clock_drift=DRIFT,
    max_snapshot_transfers=2,
    subscribe_rate=20.0,
    subscribe_burst=3,
    max_retry_after_s=1.0,
    subscriber_timeout_s=2.0,
    write_stall_timeout_s=1.5,
    disconnected_node_retention_s=3.0,
    snapshot_part_bytes=120,
    max_delta_bytes=250,
    max_pending_changes=4,
    max_cached_deltas=2,
    subscriber_bytes_per_s=600.0,
    subscriber_burst_bytes=300,
    max_delta_delay_s=1.0,
    connect_timeout_s=0.5,
    publisher_timeout_s=1.0,
    stale_timeout_s=1.5,
    backoff_cap_s=1.0,
    machine_avoidance_s=2.0,
)


@dataclass(frozen=True, slots=True)
class Faults:
    """What may go wrong in a run, as chances a second for the whole, or for each message."""

    crash_node: float = 0.6
    crash_machine: float = 0.3
    pause: float = 0.8
    reset: float = 1.0  # one connection ends
    cut: float = 0.4  # a machine from the leader and the log
    leader: float = 0.15  # is followed by another
    compact: float = 0.5
    install: float = 0.2  # of a snapshot, at a machine that is behind
    twin: float = 0.1  # a second process under a node's name
    leave: float = 0.2  # a planned stop of a node
    twice: float = 0.02  # a message comes again, at once or later
    drop: float = 0.02  # between machine and leader
    slow: float = 0.2  # of connections, whose node reads slowly
    load: float = 12.0  # writes a second
    drift: bool = True


NONE = Faults(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 2.0)


class Process:
    """Something with a clock of its own, which may crash, pause and go on."""

    def __init__(self, model: Model, name: str) -> None:
        self.model, self.name = model, name
        # Clocks at the edge of the bound: one runs as much faster than another as is allowed.
        self.rate = model.rng.choice([1.0, 1.0 / (1.0 - DRIFT)]) if model.faults.drift else 1.0
        self.offset = model.rng.uniform(0, 1e6)
        self.life = 0
        self.runs = False
        self.paused = False
        self.backlog: deque[tuple[int, Callable[..., None], tuple[object, ...]]] = deque()

    @property
    def now(self) -> float:
        """What its steady clock says."""
        return self.offset + self.rate * self.model.now

    def start(self) -> None:
        """Begin a new life."""
        self.life += 1
        self.runs, self.paused = True, False
        self.backlog.clear()
        self.model.after(0.0, self._tick, self.life)

    def crash(self) -> None:
        """End at once; connections end with it."""
        self.runs = self.paused = False
        self.life += 1
        for connection in self.model.connections_of(self):
            connection.break_off()

    def pause(self) -> None:
        """Stand still: nothing is done until `go_on`, and nothing that comes is lost."""
        self.paused = True

    def go_on(self) -> None:
        """Do what has gathered, in order or after a look at the clock."""
        if not self.paused:
            return
        self.paused = False
        if self.model.rng.random() < 0.5:
            self.step()
        while self.backlog and not self.paused:
            life, action, arguments = self.backlog.popleft()
            self.perform(life, action, *arguments)

    def perform(self, life: int, action: Callable[..., None], *arguments: object) -> None:
        """Do this now, or when the process goes on; never in another life."""
        if life != self.life or not self.runs:
            return
        if self.paused:
            self.backlog.append((life, action, arguments))
            return
        action(*arguments)

    def step(self) -> None:
        """Look at the clock."""
        raise NotImplementedError

    def _tick(self, life: int) -> None:
        if life != self.life:
            return
        if not self.paused:
            self.step()
        self.model.after(TICK * self.model.rng.uniform(0.5, 1.0), self._tick, life)


class Connection:
    """A link between a node and a machine: in order, until it ends; the sides learn of the end apart."""

    def __init__(self, model: Model, number: int, node: Node, machine: ControlMachine) -> None:
        self.model, self.number, self.node, self.machine = model, number, node, machine
        self.lives = {node: node.life, machine: machine.life}
        self.open = True
        self.slow = model.rng.random() < model.faults.slow
        self.queued = 0  # to the node
        self.blocked = False
        self.arrivals: dict[Process, float] = {}

    def to_node(self, message: FromPublisher) -> None:
        """Send; the publisher is told when too much is on its way."""
        self.queued += 1
        self.model.rules.bounded("messages to one node", self.queued, MOST_QUEUED)
        if self.queued >= HIGH_WATER and not self.blocked:
            self.blocked = True
            self.machine.publisher.pause_writing(self.machine.now, self.number)
        self._carry(self.node, self._at_node, message)

    def to_machine(self, message: FromSubscriber) -> None:
        """Send."""
        self._carry(self.machine, self.machine.hear, self, message)

    def _carry(self, receiver: Process, action: Callable[..., None], *arguments: object) -> None:
        rng, model = self.model.rng, self.model
        takes = rng.uniform(0.001, 0.03)
        if receiver is self.node and self.slow and model.faults.slow:
            takes += rng.uniform(0.05, 0.4)
        # The very same moment, not one that rounding puts a little before the message ahead of it.
        arrival = max(self.arrivals.get(receiver, 0.0), model.now + takes)
        self.arrivals[receiver] = arrival
        model.at(arrival, self._arrive, receiver, action, arguments)

    def _arrive(self, receiver: Process, action: Callable[..., None], arguments: tuple[object, ...]) -> None:
        if self.open:
            receiver.perform(self.lives[receiver], action, *arguments)

    def _at_node(self, message: FromPublisher) -> None:
        self.queued -= 1
        if self.node.connection is self:
            self.node.hear(message)
            if self.model.rng.random() < self.model.faults.twice:
                self.model.after(self.model.rng.choice([0.0, 0.1]), self._again, message)
        if self.blocked and self.queued <= 1:
            self.blocked = False
            self.machine.perform(self.lives[self.machine], self.machine.writable, self)

    def _again(self, message: FromPublisher) -> None:
        if self.open and self.node.connection is self:
            self.node.perform(self.lives[self.node], self.node.hear_again, self, message)

    def break_off(self) -> None:
        """End it: what is on its way is lost, and each side hears of it at its own time."""
        if not self.open:
            return
        self.open = False
        self.model.connections.pop(self.number, None)
        for side in (self.node, self.machine):
            self.model.after(self.model.rng.choice([0.0, 0.05, 0.5]), self._tell, side)

    def _tell(self, side: Node | ControlMachine) -> None:
        side.perform(self.lives[side], side.connection_lost, self)


class Node(Process):
    """A process that decides by committed state."""

    def __init__(self, model: Model, name: str, region: str) -> None:
        super().__init__(model, name)
        self.region = region
        self.connection: Connection | None = None
        self.subscribed_at = NEVER  # when a machine was last seen to count this life as its subscriber
        self.values: dict[str, object] = {}
        self.subscriber: Subscriber

    def start(self) -> None:
        """A new life knows nothing."""
        super().start()
        self.values = {}
        self.connection = None
        self.subscribed_at = NEVER
        instance = f"{self.name}-{self.model.rng.getrandbits(32):08x}"
        addresses = [MachineAddress(machine.name, "", machine.region) for machine in self.model.machines]
        self.subscriber = self.model.subscriber_class(
            self.name, instance, self.region, addresses, LIMITS, self.now, self.model.fork()
        )
        self.model.rules.started(self)

    def step(self) -> None:
        """As the driver: tick, then carry out."""
        self.subscriber.tick(self.now)
        self.settle()

    def hear(self, message: FromPublisher) -> None:
        """A message came."""
        self.subscriber.receive(self.now, message)
        self.settle()

    def hear_again(self, connection: Connection, message: FromPublisher) -> None:
        """A message came for the second time."""
        if self.connection is connection:
            self.model.counts["twice"] += 1
            self.hear(message)

    def connection_lost(self, connection: Connection) -> None:
        """The connection ended."""
        if self.connection is connection:
            self.connection = None
            self.subscriber.disconnected(self.now, "reset")
            self.settle()

    def settle(self) -> None:
        """Carry out what the subscriber wants, in its order."""
        for output in self.subscriber.take():
            match output:
                case subscribing.Connect():
                    self.model.after(
                        self.model.rng.uniform(0.001, 0.1), self._dial, self.life, output.machine
                    )
                case subscribing.Disconnect():
                    self._hang_up()
                case subscribing.Send():
                    self.model.rules.sent(self, output.message)
                    if self.connection is not None:
                        self.connection.to_machine(output.message)
                case subscribing.Apply():
                    self._apply(output)
                case subscribing.LeaseChanged():
                    self.model.counts["lease_changes"] += 1
        self.model.rules.look(self)

    def _dial(self, life: int, address: MachineAddress) -> None:
        self.perform(life, self._dialed, address)

    def _dialed(self, address: MachineAddress) -> None:
        machine = self.model.machine(address.name)
        if self.connection is not None or self.subscriber.phase is not subscribing.Phase.CONNECTING:
            return
        if not machine.runs or (self, machine) in self.model.unreachable:
            self.subscriber.disconnected(self.now, "refused")
        else:
            self.connection = self.model.connect(self, machine)
            self.subscriber.connected(self.now)
        self.settle()

    def _hang_up(self) -> None:
        if self.connection is not None:
            # What was sent before, a Leave among it, still arrives.
            self.model.after(0.05, self.connection.break_off)
            self.connection = None

    def _apply(self, apply: subscribing.Apply) -> None:
        self.model.counts["snapshots" if apply.is_snapshot else "deltas"] += 1
        if apply.is_snapshot:
            self.values = {}
        for change in apply.changes:
            if change.deleted:
                self.values.pop(change.key, None)
            else:
                self.values[change.key] = change.value
        self.model.rules.applied(self, apply)


class ControlMachine(Process):
    """A member of the store that serves subscriptions; its share of the consensus is told by the model."""

    def __init__(self, model: Model, name: str, region: str) -> None:
        super().__init__(model, name)
        self.region = region
        self.cut_off = False
        self.applied = 0  # entries, as the disk has them
        self.told_safe = 0
        self.machine: StateMachine
        self.holder: Holder
        self.publisher: Publisher

    def start(self) -> None:
        """Begin from what the disk has, which may be less than was applied."""
        super().start()
        self.machine = StateMachine()
        self.applied = max(0, self.applied - self.model.rng.choice([0, 0, 1, 5, 20]))
        for index in range(self.applied):
            self.machine.apply(index + 1, self.model.log[index])
        self.holder = Holder(self.model.holder_name(self), DRIFT)
        self.publisher = self.model.publisher_class(
            "cluster", self.name, MachineSource(self.machine), LIMITS, self.now, self.model.fork()
        )
        self.told_safe = 0

    def step(self) -> None:
        """As the driver: apply what came, renew the lease, report what is safe."""
        self._take_log()
        now = self.now
        if self.holder.wants(now, LEASE) and self.model.rng.random() < 0.3:
            self._ask_for_lease(now)
        self.publisher.tick(now)
        self.settle()
        self._report(now)

    def _take_log(self) -> None:
        """A lag of its own: now and then some of what is committed arrives."""
        missing = len(self.model.log) - self.machine.index
        if self.cut_off or not missing or self.model.rng.random() < 0.5:
            return
        for index in range(self.machine.index, self.machine.index + self.model.rng.randint(1, missing)):
            self.machine.apply(index + 1, self.model.log[index])
        self._has_applied()

    def _has_applied(self) -> None:
        self.applied = self.machine.index
        self.holder.applied(self.machine.index)
        self.publisher.source_advanced(self.now)
        self.publisher.renew_lease(self.now, self.holder.until)
        self.settle()

    def install(self) -> None:
        """Take a snapshot of another machine in place of the log between."""
        donor = max(self.model.machines, key=lambda other: other.machine.index)
        if donor.machine.index > self.machine.index:
            self.model.counts["installs"] += 1
            self.machine.load_state(donor.machine.export_state())
            self._has_applied()

    def _ask_for_lease(self, now: float) -> None:
        serial, holder = self.holder.ask(now), self.holder
        safe = self.publisher.safe_index(now)
        self.told_safe = max(self.told_safe, safe)
        life = self.life
        self.model.to_leader(self, lambda leader: leader.grant(self, life, holder.name, serial, safe))

    def granted(self, serial: int, term: int, index: int, duration: float) -> None:
        """The leader's answer."""
        self.holder.granted(self.now, serial, term, index, duration, self.machine.index)
        self.publisher.renew_lease(self.now, self.holder.until)
        self.settle()

    def _report(self, now: float) -> None:
        safe = self.publisher.safe_index(now)
        if safe > self.told_safe and self.holder.fresh(now):
            self.told_safe = safe
            name = self.holder.name
            self.model.to_leader(self, lambda leader: leader.applied(name, safe))

    def hear(self, connection: Connection, message: FromSubscriber) -> None:
        """A message of a node."""
        if isinstance(message, Subscribe):
            self.publisher.subscribe(self.now, connection.number, message)
        else:
            self.publisher.receive(self.now, connection.number, message)
        self.settle()
        self._report(self.now)

    def writable(self, connection: Connection) -> None:
        """A node has read."""
        self.publisher.resume_writing(self.now, connection.number)
        self.settle()

    def connection_lost(self, connection: Connection) -> None:
        """A connection ended."""
        self.publisher.disconnected(self.now, connection.number)
        self.settle()

    def settle(self) -> None:
        """Carry out what the publisher wants, in its order."""
        while outputs := self.publisher.take():
            for output in outputs:
                connection = self.model.connections.get(output.connection_id)
                if connection is None:
                    continue
                if isinstance(output, publishing.Send):
                    connection.to_node(output.message)
                else:
                    self.model.counts[f"closed {output.code.value}"] += 1
                    self.model.after(0.05, connection.break_off)
        publisher = self.publisher
        self.model.rules.bounded(
            "snapshots at once", len(publisher.snapshot_transfers), LIMITS.max_snapshot_transfers
        )
        self.model.rules.bounded(
            "marks", len(publisher.lease_grants.pending_changes), LIMITS.max_pending_changes
        )


class Leader(Process):
    """The leader of a term, with its book of leases."""

    def __init__(self, model: Model, term: int) -> None:
        super().__init__(model, f"leader{term}")
        self.term = term
        self.granter = Granter(self.now, DRIFT, LEASE)
        self.start()

    def step(self) -> None:
        """Look whether writes need wait no more."""
        self.granter.look(self.now)

    def write(self) -> None:
        """Commit a change and acknowledge it once all that decide have it."""
        index = self.model.commit()
        revision = self.model.reference.revision
        self.granter.when_seen(self.now, index, lambda: self.model.rules.acknowledged(revision))

    def grant(self, machine: ControlMachine, life: int, holder: str, serial: int, applied: int) -> None:
        """Answer a machine that asks for a lease."""
        duration = self.granter.grant(self.now, holder, applied, self.now + 1.0)
        index = len(self.model.log)
        self.model.from_leader(
            machine, lambda: machine.perform(life, machine.granted, serial, self.term, index, duration)
        )

    def applied(self, holder: str, index: int) -> None:
        """A machine says what its nodes have."""
        self.granter.applied(holder, index)
        self.granter.look(self.now)


class Model(Schedule):
    """One run. A planted bug is another class of publisher or subscriber, or another way to name holders."""

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
        super().__init__()
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.publisher_class, self.subscriber_class = publisher_class, subscriber_class
        self.same_holder_name = same_holder_name
        self.log: list[bytes] = []
        self.reference = StateMachine()
        self.rules = ObserverRules()
        self.rules.committed(0, {})
        self.connections: dict[int, Connection] = {}
        self.unreachable: set[tuple[Node, ControlMachine]] = set()
        self.connected = 0
        self.writes = True
        self.term = 1
        self.leader: Leader | None = Leader(self, 1)
        self.machines = [ControlMachine(self, f"m{k}", f"r{k % 2}") for k in range(machines)]
        self.nodes = [Node(self, f"n{k}", f"r{k % 2}") for k in range(nodes)]
        self.twins: list[Node] = []
        self.twinned_until: dict[str, float] = {}
        for process in (*self.machines, *self.nodes):
            process.start()
        self.after(0.0, self._load)
        self.after(0.0, self._trouble)
        self.after(0.0, self._ask_in_force)

    # What processes need of the world

    def fork(self) -> random.Random:
        """A source of chance of its own for a process."""
        return random.Random(self.rng.getrandbits(32))

    def machine(self, name: str) -> ControlMachine:
        """The machine of this name."""
        return next(machine for machine in self.machines if machine.name == name)

    def holder_name(self, machine: ControlMachine) -> str:
        """A name under which no earlier life of the machine held a lease."""
        return machine.name if self.same_holder_name else f"{machine.name}.{machine.life}"

    def connect(self, node: Node, machine: ControlMachine) -> Connection:
        """A connection that stands."""
        self.connected += 1
        connection = self.connections[self.connected] = Connection(self, self.connected, node, machine)
        return connection

    def connections_of(self, process: Process) -> list[Connection]:
        """All connections that this process is a side of."""
        return [c for c in self.connections.values() if process in (c.node, c.machine)]

    def to_leader(self, machine: ControlMachine, say: Callable[[Leader], None]) -> None:
        """A word from a machine to whoever leads: lost, late or twice."""
        self._unordered(machine, self._at_leader, say)

    def _at_leader(self, say: Callable[[Leader], None]) -> None:
        leader = self.leader
        if leader is not None:
            leader.perform(leader.life, say, leader)

    def from_leader(self, machine: ControlMachine, say: Callable[[], None]) -> None:
        """A word from the leader to a machine: lost, late or twice."""
        self._unordered(machine, say)

    def _unordered(self, machine: ControlMachine, action: Callable[..., None], *arguments: object) -> None:
        if machine.cut_off or self.rng.random() < self.faults.drop:
            return
        for _ in range(2 if self.rng.random() < self.faults.twice else 1):
            self.after(self.rng.uniform(0.001, 0.05), action, *arguments)

    # What is written

    def _load(self) -> None:
        leader = self.leader
        if leader is not None and not leader.paused and self.writes:
            leader.write()
        self.after(self.rng.expovariate(self.faults.load), self._load)

    def commit(self) -> int:
        """Put a random change into the log; its index."""
        keys = self.rng.sample(
            [f"{prefix}{k}" for prefix in ("config/", "out/", "notes/") for k in range(KEYS)], 2
        )
        number = len(self.log) + 1
        ops = tuple(
            KeyUpdate(key, delete=True)
            if self.rng.random() < 0.2
            else KeyUpdate(key, f"{number}" * self.rng.randint(1, 20))
            for key in keys[: self.rng.choice([1, 1, 2])]
        )
        entry = encode(LogRecord(0, 0, Command(f"c{number}", 1, 10**12, "model", (), ops)))
        self.log.append(entry)
        self.reference.apply(number, entry)
        self.rules.committed(self.reference.revision, subscribed_values(self.reference))
        return number

    # Whether it is in force

    def in_force(self, revision: int) -> InForceVerdict:
        """Ask all machines that can be asked, at one moment."""
        gathering = InForceTally(revision, [machine.name for machine in self.machines])
        for machine in self.machines:
            if machine.runs and not machine.paused and not machine.cut_off:
                gathering.reported(machine.publisher.report(machine.now, revision))
        return gathering.verdict()

    def _ask_in_force(self) -> None:
        for machine in self.machines:
            for number in machine.publisher.subscriptions if machine.runs else ():
                connection = self.connections.get(number)
                if connection is not None and connection.lives[connection.node] == connection.node.life:
                    connection.node.subscribed_at = self.now
        revision = self.rng.randint(max(0, self.reference.revision - 3), self.reference.revision)
        verdict = self.in_force(revision)
        if verdict.in_force:
            self.counts["in force"] += 1
            since = self.now - LIMITS.disconnected_node_retention_s * (1.0 - DRIFT)
            twinned = {twin.name for twin in self.twins}
            twinned |= {name for name, until in self.twinned_until.items() if until > self.now}
            asked = [n for n in self.nodes if n.subscribed_at > since and n.name not in twinned]
            self.rules.in_force(revision, asked)
        self.after(0.1, self._ask_in_force)

    # Trouble

    def _trouble(self) -> None:
        faults, step = self.faults, 0.1
        for chance, action in (
            (faults.crash_node, self._crash_node),
            (faults.crash_machine, self._crash_machine),
            (faults.pause, self._pause),
            (faults.reset, self._reset),
            (faults.cut, self._cut),
            (faults.leader, self._change_leader),
            (faults.compact, self._compact),
            (faults.install, self._install),
            (faults.twin, self._twin),
            (faults.leave, self._leave),
        ):
            if self.rng.random() < chance * step:
                self.counts[action.__name__.strip("_")] += 1
                action()
        self.after(step, self._trouble)

    def _restart(self, process: Process, life: int) -> None:
        if process.life == life and not process.runs:
            process.start()

    def _crash(self, process: Process) -> None:
        if process.runs:
            process.crash()
            self.after(self.rng.choice([0.0, 0.05, 0.5, 2.0]), self._restart, process, process.life)

    def _crash_node(self) -> None:
        self._crash(self.rng.choice(self.nodes))

    def _crash_machine(self) -> None:
        self._crash(self.rng.choice(self.machines))

    def _pause(self) -> None:
        process = self.rng.choice([*self.machines, *self.machines, *self.nodes])
        if process.runs and not process.paused:
            process.pause()
            self.after(self.rng.choice([0.1, 0.5, 1.5, 4.0]), process.go_on)

    def _reset(self) -> None:
        if self.connections:
            self.rng.choice(list(self.connections.values())).break_off()

    def _cut(self) -> None:
        machine = self.rng.choice(self.machines)
        if self.rng.random() < 0.5:
            machine.cut_off = True
        else:
            lost = [node for node in self.nodes if self.rng.random() < 0.7]
            self.unreachable |= {(node, machine) for node in lost}
            for connection in self.connections_of(machine):
                if connection.node in lost:
                    connection.break_off()
        self.after(self.rng.choice([0.3, 1.5, 4.0]), self._heal, machine)

    def _heal(self, machine: ControlMachine) -> None:
        machine.cut_off = False
        self.unreachable = {pair for pair in self.unreachable if pair[1] is not machine}

    def _change_leader(self) -> None:
        if self.leader is not None:
            self.leader.crash()
            self.leader = None
            self.after(self.rng.choice([0.1, 0.5, 1.5]), self._new_leader)

    def _new_leader(self) -> None:
        self.term += 1
        self.leader = Leader(self, self.term)

    def _compact(self) -> None:
        """A machine forgets the older part of its history, whole revisions at a time."""
        events = self.rng.choice(self.machines).machine.events
        for _ in range(self.rng.randint(0, len(events))):
            events.popleft()
        while events and events[0].position:
            events.popleft()

    def _install(self) -> None:
        machine = self.rng.choice(self.machines)
        if machine.runs and not machine.paused:
            machine.install()

    def _twin(self) -> None:
        original = self.rng.choice(self.nodes)
        twin = Node(self, original.name, original.region)
        self.twins.append(twin)
        twin.start()
        self.after(self.rng.uniform(0.5, 3.0), self._end_twin, twin)

    def _end_twin(self, twin: Node) -> None:
        if twin.runs:
            twin.crash()
        if twin in self.twins:
            self.twins.remove(twin)
            self.rules.ended(twin)
            # Two processes under one name count as one, as long as machines remember either.
            self.twinned_until[twin.name] = self.now + 2 * LIMITS.disconnected_node_retention_s

    def _leave(self) -> None:
        node = self.rng.choice(self.nodes)
        if node.runs and not node.paused:
            node.subscriber.leave(node.now)
            node.settle()
            node.subscribed_at = NEVER
            self.after(0.1, self._left, node, node.life)

    def _left(self, node: Node, life: int) -> None:
        if node.life == life:
            self._crash(node)

    # The end

    def calm(self) -> None:
        """All faults end; every node must come to the state of the log, and hold a lease."""
        self.faults = replace(NONE, drift=self.faults.drift)
        self.unreachable.clear()
        for twin in list(self.twins):
            self._end_twin(twin)
        for process in (*self.machines, *self.nodes):
            process.go_on()
            if not process.runs:
                process.start()
        for machine in self.machines:
            machine.cut_off = False
        for connection in self.connections.values():
            connection.slow = False
        if self.leader is None:
            self._new_leader()
        elif self.leader.paused:
            self.leader.go_on()
        self.run(LEVEL_S)
        self.writes = False
        self.run(1.0)
        self.rules.level(self.nodes, self.reference.revision)
        verdict = self.in_force(self.reference.revision)
        if not verdict.in_force:
            raise Breach(f"in-force: all is level, and the verdict is {verdict}")
