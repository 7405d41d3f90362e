"""The members of a simulated cluster, and the network between them."""

from __future__ import annotations

import random

from gradegap.raft import Member, Message, Raft, RaftSettings, RequestRejectedError, initial_snapshot
from gradegap.verification.raft_faults import Faults
from gradegap.verification.raft_invariants import RaftInvariants
from gradegap.verification.raft_member import MemberWorld, SimulatedDisk, SimulatedMember


class SimulatedCluster(MemberWorld):
    """All members of a run and their network.

    `raft_class` is the class of the members' cores: `Raft` or a mutation of it.
    """

    def __init__(
        self, seed: int, members: int, raft_class: type[Raft], faults: Faults, raft_settings: RaftSettings
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.raft_class = raft_class
        self.faults = faults
        self.raft_settings = raft_settings
        self.invariants = RaftInvariants()
        self.broken_links: set[tuple[str, str]] = set()  # from sender to recipient
        self.reads: dict[int, int] = {}  # request id to the last index committed at the time of the request
        self.members: dict[str, SimulatedMember] = {}
        self.name_count = 0
        names = [self.new_name() for _ in range(members)]
        for name in names:
            self.start_member(
                name, tuple(Member(member_name, member_name, member_name) for member_name in names)
            )

    def new_name(self) -> str:
        """Returns a name that no member has had."""
        self.name_count += 1
        return f"m{self.name_count}"

    def start_member(self, name: str, first_members: tuple[Member, ...]) -> None:
        """Start a member with an empty disk."""
        # Clock rates are at the limits of the allowed drift: a fast clock gains the maximum on a slow one.
        max_clock_rate = 1.0 / (1.0 - self.raft_settings.max_clock_drift)
        clock_rate = self.rng.choice([1.0, max_clock_rate]) if self.faults.has_clock_drift else 1.0
        disk = SimulatedDisk(initial_snapshot(first_members))
        member = SimulatedMember(self, name, disk, self.rng.uniform(0, 1e6), clock_rate)
        self.members[name] = member
        member.start()

    def leader(self) -> SimulatedMember | None:
        """Returns a running member that considers itself the leader, at random if there are several."""
        leaders = [
            member
            for member in self.members.values()
            if member.is_running and member.raft is not None and member.raft.is_leader
        ]
        return self.rng.choice(leaders) if leaders else None

    def send(self, sender: str, recipient: str, message: Message) -> None:
        """Transmit a message. It may be lost, delayed or duplicated."""
        self.counts[type(message).__name__] += 1
        faults, rng = self.faults, self.rng
        is_undeliverable = (sender, recipient) in self.broken_links or recipient not in self.members
        if is_undeliverable or rng.random() < faults.drop:
            return
        for _ in range(2 if rng.random() < faults.duplicate else 1):
            delay_s = rng.uniform(0.0005, 0.01)
            if rng.random() < faults.delay:
                delay_s += rng.expovariate(1.0 / faults.mean_delay_s)
            self.after(delay_s, self.members[recipient].receive, sender, message)

    def read_confirmed(self, member: str, request_id: int, commit_index: int) -> None:
        """Handle a read that a member confirmed."""
        self.counts["reads"] += 1
        self.invariants.check_read(member, commit_index, self.reads[request_id])

    def count_rejection(self, error: RequestRejectedError) -> None:
        """Count a rejected request under the reason at the beginning of the error message."""
        self.counts[f"rejected {str(error).split(':')[0]}"] += 1
