"""Control machines of the observer model, which serve subscriptions, and the leader that grants leases."""

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
    """The interface of the world that control machines and the leader use."""

    log: list[bytes]  # committed entries
    reference: StateMachine  # the state after all entries of the log
    publisher_class: type[Publisher]

    @abstractmethod
    def commit(self) -> int:
        """Append a random change to the log and return its index."""

    @abstractmethod
    def connection(self, number: int) -> Connection | None:
        """Returns the connection with this number, or None after its end."""

    @abstractmethod
    def holder_name(self, machine: ControlMachine) -> str:
        """Returns the holder name that the machine's current incarnation uses for its lease."""

    @abstractmethod
    def most_advanced_state(self) -> StateMachine:
        """Returns the replicated state of the machine with the highest applied index."""

    @abstractmethod
    def to_leader(self, machine: ControlMachine, action: Callable[[Leader], None]) -> None:
        """Transmit a message from a machine to the current leader: it may be lost, delayed or duplicated."""

    @abstractmethod
    def from_leader(self, machine: ControlMachine, action: Callable[[], None]) -> None:
        """Transmit a message from the leader to a machine: it may be lost, delayed or duplicated."""


class ControlMachine(MachineSide):
    """A member of the store that serves subscriptions. The world stands in for the consensus."""

    world: ControlWorld

    def __init__(self, world: ControlWorld, name: str, region: str) -> None:
        super().__init__(world, name)
        self.region = region
        self.is_partitioned = False  # from the leader and the log
        self.applied_index = 0  # as stored on the disk
        self.reported_safe_index = 0
        self.machine: StateMachine
        self.holder: LeaseHolder
        self.publisher: Publisher

    def start(self) -> None:
        """Start from the state on the disk, which may lag behind the state applied before the crash."""
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
        """Apply new entries, renew the lease and report the safe index, as the driver does."""
        self._apply_committed_entries()
        now = self.now
        if self.holder.should_renew(now, MACHINE_LEASE_S) and self.world.rng.random() < 0.3:
            self._request_lease(now)
        self.publisher.tick(now)
        self.process_outputs()
        self._report_safe_index(now)

    def _apply_committed_entries(self) -> None:
        """Apply a random number of missing entries with probability 0.5, so that the lags differ."""
        missing_count = len(self.world.log) - self.machine.index
        if self.is_partitioned or not missing_count or self.world.rng.random() < 0.5:
            return
        for index in range(self.machine.index, self.machine.index + self.world.rng.randint(1, missing_count)):
            self.machine.apply(index + 1, self.world.log[index])
        self._propagate_applied_state()

    def _propagate_applied_state(self) -> None:
        self.applied_index = self.machine.index
        self.holder.applied(self.machine.index)
        self.publisher.source_advanced(self.now)
        self.publisher.renew_lease(self.now, self.holder.until)
        self.process_outputs()

    def install_snapshot(self) -> None:
        """Install a snapshot of the most advanced machine in place of the missing entries."""
        donor = self.world.most_advanced_state()
        if donor.index > self.machine.index:
            self.world.counts["installs"] += 1
            self.machine.load_state(donor.export_state())
            self._propagate_applied_state()

    def _request_lease(self, now: float) -> None:
        serial, holder = self.holder.begin_request(now), self.holder
        safe_index = self.publisher.safe_index(now)
        self.reported_safe_index = max(self.reported_safe_index, safe_index)
        incarnation = self.incarnation
        self.world.to_leader(
            self, lambda leader: leader.grant(self, incarnation, holder.name, serial, safe_index)
        )

    def lease_granted(self, serial: int, term: int, index: int, duration_s: float) -> None:
        """Handle a lease grant of the leader."""
        self.holder.granted(self.now, serial, term, index, duration_s, self.machine.index)
        self.publisher.renew_lease(self.now, self.holder.until)
        self.process_outputs()

    def _report_safe_index(self, now: float) -> None:
        safe_index = self.publisher.safe_index(now)
        if safe_index > self.reported_safe_index and self.holder.is_fresh(now):
            self.reported_safe_index = safe_index
            name = self.holder.name
            self.world.to_leader(self, lambda leader: leader.applied(name, safe_index))

    def receive(self, connection: Connection, message: FromSubscriber) -> None:
        """Handle a message of a node."""
        if isinstance(message, Subscribe):
            self.publisher.subscribe(self.now, connection.number, message)
        else:
            self.publisher.receive(self.now, connection.number, message)
        self.process_outputs()
        self._report_safe_index(self.now)

    def pause_writing(self, connection: Connection) -> None:
        """Stop sending: too many messages are in flight to the node."""
        self.publisher.pause_writing(self.now, connection.number)

    def resume_writing(self, connection: Connection) -> None:
        """Continue sending: the node has read messages."""
        self.publisher.resume_writing(self.now, connection.number)
        self.process_outputs()

    def connection_lost(self, connection: Connection) -> None:
        """Handle the end of a connection."""
        self.publisher.disconnected(self.now, connection.number)
        self.process_outputs()

    def process_outputs(self) -> None:
        """Process the publisher's outputs in order."""
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
        invariants.check_bound(
            "concurrent snapshot transfers",
            len(publisher.delivery.transfers.active),
            LIMITS.max_snapshot_transfers,
        )
        invariants.check_bound(
            "pending changes", len(publisher.lease_grants.pending_changes), LIMITS.max_pending_changes
        )


class Leader(Process):
    """The leader of a term, with the leases that it granted."""

    world: ControlWorld

    def __init__(self, world: ControlWorld, term: int) -> None:
        super().__init__(world, f"leader{term}")
        self.term = term
        self.granter = LeaseGranter(self.now, MAX_CLOCK_DRIFT, MACHINE_LEASE_S)
        self.start()

    def step(self) -> None:
        """Expire leases, which acknowledges the writes that all remaining lease holders have applied."""
        self.granter.expire(self.now)

    def write(self) -> None:
        """Commit a change, and acknowledge it when all lease holders have applied it."""
        index = self.world.commit()
        revision = self.world.reference.revision
        self.granter.when_applied_by_all(
            self.now, index, lambda: self.world.invariants.record_acknowledged(revision)
        )

    def grant(
        self, machine: ControlMachine, incarnation: int, holder: str, serial: int, applied_index: int
    ) -> None:
        """Grant the lease that a machine requests."""
        duration_s = self.granter.grant(self.now, holder, applied_index, self.now + 1.0)
        index = len(self.world.log)
        self.world.from_leader(
            machine,
            lambda: machine.perform(incarnation, machine.lease_granted, serial, self.term, index, duration_s),
        )

    def applied(self, holder: str, index: int) -> None:
        """Record a machine's report of the index that its nodes have applied."""
        self.granter.holder_applied(holder, index)
        self.granter.expire(self.now)
