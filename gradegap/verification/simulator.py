"""A cluster of consensus cores in virtual time, under a network, disks, clocks and processes that fail.

One seed gives one run. Members are the very cores that daemons run, driven as daemons drive them: what is
to be durable is written by a disk that takes its time and forgets, at a crash, what it had not synced.
Models: FoundationDB's and TigerBeetle's simulators.
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
CALM_S = 9.0  # within which a cluster without faults has a leader, and its members have caught up
MAX_LAG = 40  # entries that a member may be behind then: proposals go on


class Simulation(SimulatedCluster):
    """One run: a cluster under load and faults, with its leases checked all the time."""

    def __init__(
        self,
        seed: int,
        members: int = 3,
        raft_class: type[Raft] = Raft,
        faults: Faults | None = None,
        raft_settings: RaftSettings | None = None,
    ) -> None:
        super().__init__(seed, members, raft_class, faults or Faults(), raft_settings or SMALL_LIMITS)
        self.proposed: dict[bytes, tuple[int, int]] = {}  # by command: the index and term of its entry
        self.after(0.0, self._propose)
        self.after(0.0, FaultInjector(self).inject)
        self.after(0.0, self._check_leases)

    def _propose(self) -> None:
        leader = self.leader()
        if leader is not None and leader.raft is not None:
            try:
                self._request(leader, leader.raft)
            except RequestRejectedError as error:
                self.count_rejection(error)
            leader.settle()
        self.after(self.rng.expovariate(self.faults.proposals_per_s), self._propose)

    def _request(self, leader: SimulatedMember, raft: Raft) -> None:
        """A few commands at once, and now and then a read."""
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
        self.invariants.leases(
            (member.raft, member.now)
            for member in self.members.values()
            if member.raft is not None and member.running
        )
        self.after(LEASE_CHECK_INTERVAL_S, self._check_leases)

    # The end

    def calm(self) -> None:
        """End all faults; every member must come to the same state, with all that was acknowledged.

        Raises:
            InvariantError: There is no leader, a member does not catch up, or no read was ever confirmed.
        """
        self.faults = NO_FAULTS
        self.broken_links.clear()
        for member in self.members.values():
            member.resume()
            if member.raft is None:
                member.start()
        self.run(CALM_S - 1.0)
        leader = self.leader()
        if leader is None or leader.raft is None:
            raise InvariantError("liveness: no leader once all faults have ended")
        self.run(1.0)
        members = [self.members[member.id] for member in leader.raft.configuration.members]
        least = min(member.raft.applied_index for member in members if member.raft is not None)
        if least < self.invariants.last_committed - MAX_LAG:
            raise InvariantError("liveness: a member does not catch up")
        if not self.counts["reads"]:
            raise InvariantError("liveness: no read was confirmed")

    def acknowledged(self) -> list[bytes]:
        """The commands whose entries were committed."""
        committed = self.invariants.committed.values()
        done = {(entry.index, entry.term) for entry in committed if entry.kind is EntryKind.COMMAND}
        return [command for command, entry in self.proposed.items() if entry in done]

    def digest(self) -> str:
        """What tells two runs apart."""
        body = msgspec.msgpack.encode(sorted(self.counts.items())) + b"".join(self.invariants.commands())
        return f"{sum(body)}-{len(body)}-{len(self.invariants.leaders)}"
