"""The machines that serve subscriptions in the observer model, and the leader that grants them leases."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable

from gradegap.observer import publisher as publishing
from gradegap.observer.messages import FromSubscriber, Subscribe
from gradegap.observer.publisher import Publisher
from gradegap.observer.source import MachineSource
from gradegap.store.leases import LeaseGranter, LeaseHolder
from gradegap.store.machine import StateMachine
from gradegap.verification.observer_connection import Connection, MachineSide
from gradegap.verification.observer_faults import LIMITS, MACHINE_LEASE_S, MAX_CLOCK_DRIFT
from gradegap.verification.observer_process import Process, World


class ControlWorld(World):
    """What control machines and the leader need of their world."""

    log: list[bytes]  # what is committed
    reference: StateMachine  # the state after all of it
    publisher_class: type[Publisher]

    @abstractmethod
    def commit(self) -> int:
        """Put a random change into the log; its index."""

    @abstractmethod
    def connection(self, number: int) -> Connection | None:
        """The connection of this number, while it is open."""

    @abstractmethod
    def holder_name(self, machine: ControlMachine) -> str:
        """The name under which an incarnation of a machine holds its lease."""

    @abstractmethod
    def most_advanced_state(self) -> StateMachine:
        """The replicated state of the machine that has applied most."""

    @abstractmethod
    def to_leader(self, machine: ControlMachine, action: Callable[[Leader], None]) -> None:
        """A message from a machine to whoever leads: lost, late or duplicated."""

    @abstractmethod
    def from_leader(self, machine: ControlMachine, action: Callable[[], None]) -> None:
        """A message from the leader to a machine: lost, late or duplicated."""


class ControlMachine(MachineSide):
    """A member of the store that serves subscriptions; the world plays its part in the consensus."""

    world: ControlWorld

    def __init__(self, world: ControlWorld, name: str, region: str) -> None:
        super().__init__(world, name)
        self.region = region
        self.partitioned = False  # from the leader and the log
        self.applied_index = 0  # as the disk has it
        self.reported_safe_index = 0
        self.machine: StateMachine
        self.holder: LeaseHolder
        self.publisher: Publisher

    def start(self) -> None:
        """Begin from what the disk has, which may be less than was applied."""
        super().start()
        self.machine = StateMachine()
        self.applied_index = max(0, self.applied_index - self.world.rng.choice([0, 0, 1, 5, 20]))
        for index in range(self.applied_index):
            self.machine.apply(index + 1, self.world.log[index])
        self.holder = LeaseHolder(self.world.holder_name(self), MAX_CLOCK_DRIFT)
        self.publisher = self.world.publisher_class(
            "cluster", self.name, MachineSource(self.machine), LIMITS, self.now, self.world.fork_random()
        )
        self.reported_safe_index = 0

    def step(self) -> None:
        """As the driver: apply what came, renew the lease, report what is safe."""
        self._take_log()
        now = self.now
        if self.holder.should_renew(now, MACHINE_LEASE_S) and self.world.rng.random() < 0.3:
            self._request_lease(now)
        self.publisher.tick(now)
        self.settle()
        self._report_safe_index(now)

    def _take_log(self) -> None:
        """A lag of its own: now and then some of what is committed arrives."""
        missing = len(self.world.log) - self.machine.index
        if self.partitioned or not missing or self.world.rng.random() < 0.5:
            return
        for index in range(self.machine.index, self.machine.index + self.world.rng.randint(1, missing)):
            self.machine.apply(index + 1, self.world.log[index])
        self._has_applied()

    def _has_applied(self) -> None:
        self.applied_index = self.machine.index
        self.holder.applied(self.machine.index)
        self.publisher.source_advanced(self.now)
        self.publisher.renew_lease(self.now, self.holder.until)
        self.settle()

    def install(self) -> None:
        """Take a snapshot of another machine in place of the log between."""
        donor = self.world.most_advanced_state()
        if donor.index > self.machine.index:
            self.world.counts["installs"] += 1
            self.machine.load_state(donor.export_state())
            self._has_applied()

    def _request_lease(self, now: float) -> None:
        serial, holder = self.holder.begin_request(now), self.holder
        safe_index = self.publisher.safe_index(now)
        self.reported_safe_index = max(self.reported_safe_index, safe_index)
        incarnation = self.incarnation
        self.world.to_leader(
            self, lambda leader: leader.grant(self, incarnation, holder.name, serial, safe_index)
        )

    def lease_granted(self, serial: int, term: int, index: int, duration_s: float) -> None:
        """The leader granted a lease."""
        self.holder.granted(self.now, serial, term, index, duration_s, self.machine.index)
        self.publisher.renew_lease(self.now, self.holder.until)
        self.settle()

    def _report_safe_index(self, now: float) -> None:
        safe_index = self.publisher.safe_index(now)
        if safe_index > self.reported_safe_index and self.holder.is_fresh(now):
            self.reported_safe_index = safe_index
            name = self.holder.name
            self.world.to_leader(self, lambda leader: leader.applied(name, safe_index))

    def receive(self, connection: Connection, message: FromSubscriber) -> None:
        """A message of a node."""
        if isinstance(message, Subscribe):
            self.publisher.subscribe(self.now, connection.number, message)
        else:
            self.publisher.receive(self.now, connection.number, message)
        self.settle()
        self._report_safe_index(self.now)

    def pause_writing(self, connection: Connection) -> None:
        """Too much is on its way to a node."""
        self.publisher.pause_writing(self.now, connection.number)

    def resume_writing(self, connection: Connection) -> None:
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
                connection = self.world.connection(output.connection_id)
                if connection is None:
                    continue
                if isinstance(output, publishing.Send):
                    connection.to_node(output.message)
                else:
                    self.world.counts[f"closed {output.code.value}"] += 1
                    self.world.after(0.05, connection.close)
        publisher, invariants = self.publisher, self.world.invariants
        invariants.bounded(
            "snapshots at once", len(publisher.delivery.transfers.active), LIMITS.max_snapshot_transfers
        )
        invariants.bounded("marks", len(publisher.lease_grants.pending_changes), LIMITS.max_pending_changes)


class Leader(Process):
    """The leader of a term, with the leases that it has granted."""

    world: ControlWorld

    def __init__(self, world: ControlWorld, term: int) -> None:
        super().__init__(world, f"leader{term}")
        self.term = term
        self.granter = LeaseGranter(self.now, MAX_CLOCK_DRIFT, MACHINE_LEASE_S)
        self.start()

    def step(self) -> None:
        """Acknowledge writes that all who decide have."""
        self.granter.expire(self.now)

    def write(self) -> None:
        """Commit a change and acknowledge it once all that decide have it."""
        index = self.world.commit()
        revision = self.world.reference.revision
        self.granter.when_applied_by_all(
            self.now, index, lambda: self.world.invariants.acknowledged(revision)
        )

    def grant(
        self, machine: ControlMachine, incarnation: int, holder: str, serial: int, applied_index: int
    ) -> None:
        """A machine requests a lease."""
        duration_s = self.granter.grant(self.now, holder, applied_index, self.now + 1.0)
        index = len(self.world.log)
        self.world.from_leader(
            machine,
            lambda: machine.perform(incarnation, machine.lease_granted, serial, self.term, index, duration_s),
        )

    def applied(self, holder: str, index: int) -> None:
        """A machine reports what its nodes have."""
        self.granter.holder_applied(holder, index)
        self.granter.expire(self.now)
