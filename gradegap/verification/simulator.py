"""Simulator of a Raft cluster in virtual time, with faults of the network, disks, clocks and processes.

A run is determined by its seed. The members are the cores that daemons run, driven in the way daemons drive
them: durable state is written to a simulated disk with latency, which loses unsynced writes in a crash. The
design follows the simulators of FoundationDB and TigerBeetle.
"""

from __future__ import annotations

import msgspec

from gradegap.raft import EntryKind, Raft, RaftSettings, RequestRejectedError
from gradegap.verification.errors import InvariantError
from gradegap.verification.raft_cluster import SimulatedCluster
from gradegap.verification.raft_fault_injector import FaultInjector
from gradegap.verification.raft_faults import NO_FAULTS, SMALL_LIMITS, Faults
from gradegap.verification.raft_member import SimulatedMember

LEASE_CHECK_INTERVAL_S = 0.01
# Time within which a cluster without faults must have a leader, and its members must have caught up.
CONVERGENCE_TIMEOUT_S = 9.0
MAX_LAG_ENTRIES = 40  # entries that a member may then still lack, because proposals continue


class Simulation(SimulatedCluster):
    """One run of a cluster under load and faults. Leases are checked at short intervals."""

    def __init__(
        self,
        seed: int,
        members: int = 3,
        raft_class: type[Raft] = Raft,
        faults: Faults | None = None,
        raft_settings: RaftSettings | None = None,
    ) -> None:
        super().__init__(seed, members, raft_class, faults or Faults(), raft_settings or SMALL_LIMITS)
        self.proposed: dict[bytes, tuple[int, int]] = {}  # command to index and term of its entry
        self.after(0.0, self._propose)
        self.after(0.0, FaultInjector(self).inject)
        self.after(0.0, self._check_leases)

    def _propose(self) -> None:
        leader = self.leader()
        if leader is not None and leader.raft is not None:
            try:
                self._issue_requests(leader, leader.raft)
            except RequestRejectedError as error:
                self.count_rejection(error)
            leader.process_ready()
        self.after(self.rng.expovariate(self.faults.proposals_per_s), self._propose)

    def _issue_requests(self, leader: SimulatedMember, raft: Raft) -> None:
        """Propose one or three commands, and request a read with probability 0.5."""
        for _ in range(self.rng.choice([1, 1, 3])):
            command = b"c%d" % len(self.proposed)
            index = raft.propose(leader.now, command)
            self.proposed[command] = (index, raft.term)
        raft.flush(leader.now)
        if self.rng.random() < 0.5:
            request_id = len(self.reads)
            self.reads[request_id] = self.invariants.last_committed
            raft.read_index(leader.now, request_id)

    def _check_leases(self) -> None:
        self.invariants.check_leases(
            (member.raft, member.now)
            for member in self.members.values()
            if member.raft is not None and member.is_running
        )
        self.after(LEASE_CHECK_INTERVAL_S, self._check_leases)

    # End of a run

    def check_convergence(self) -> None:
        """End all faults, and check that the cluster elects a leader and that all members catch up.

        Raises:
            InvariantError: There is no leader, a member does not catch up, or the run confirmed no read.
        """
        self.faults = NO_FAULTS
        self.broken_links.clear()
        for member in self.members.values():
            member.resume()
            if member.raft is None:
                member.start()
        self.run(CONVERGENCE_TIMEOUT_S - 1.0)
        leader = self.leader()
        if leader is None or leader.raft is None:
            raise InvariantError("liveness: no leader after all faults ended")
        self.run(1.0)
        members = [self.members[member.id] for member in leader.raft.configuration.members]
        min_applied_index = min(member.raft.applied_index for member in members if member.raft is not None)
        if min_applied_index < self.invariants.last_committed - MAX_LAG_ENTRIES:
            raise InvariantError(
                "liveness: a member does not catch up: "
                f"applied {min_applied_index} of {self.invariants.last_committed} entries"
            )
        if not self.counts["reads"]:
            raise InvariantError("liveness: no read was confirmed")

    def acknowledged(self) -> list[bytes]:
        """Returns the proposed commands whose entries were committed."""
        committed = self.invariants.committed.values()
        committed_positions = {
            (entry.index, entry.term) for entry in committed if entry.kind is EntryKind.COMMAND
        }
        return [command for command, entry in self.proposed.items() if entry in committed_positions]

    def digest(self) -> str:
        """Returns a digest of the run, which is equal for runs that are the same."""
        content = msgspec.msgpack.encode(sorted(self.counts.items())) + b"".join(self.invariants.commands())
        return f"{sum(content)}-{len(content)}-{len(self.invariants.leaders)}"
