"""Fault injection for the simulator: faults are drawn every 0.1 s of virtual time."""

from __future__ import annotations

from gradegap.raft import Member, RequestRejectedError
from gradegap.verification.raft_cluster import SimulatedCluster
from gradegap.verification.raft_member import SimulatedMember

DRAW_INTERVAL_S = 0.1
MAX_MEMBERS = 5


class FaultInjector:
    """Crashes, pauses, partitions and reconfigures a cluster, with a probability for each kind of fault."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster

    def inject(self) -> None:
        """Draw each kind of fault once, and schedule the next draw."""
        cluster, faults = self.cluster, self.cluster.faults
        for probability, action in (
            (faults.crash, self._crash),
            (faults.pause, self._pause),
            (faults.partition, self._partition),
            (faults.membership_change, self._change_membership),
            (faults.transfer, self._transfer),
            (faults.compact, self._compact),
        ):
            if cluster.rng.random() < probability * DRAW_INTERVAL_S:
                action()
        cluster.after(DRAW_INTERVAL_S, self.inject)

    def _choose_member(self) -> SimulatedMember:
        """Returns the leader with probability 0.5, otherwise a random member."""
        cluster = self.cluster
        leader = cluster.leader()
        if leader is not None and cluster.rng.random() < 0.5:
            return leader
        return cluster.rng.choice(list(cluster.members.values()))

    def _crash(self) -> None:
        cluster, member = self.cluster, self._choose_member()
        if member.raft is not None:
            cluster.counts["crashes"] += 1
            member.crash()
            cluster.after(cluster.rng.choice(cluster.faults.restart_delays_s), self._restart, member)

    def _restart(self, member: SimulatedMember) -> None:
        if member.raft is None:
            member.start()

    def _pause(self) -> None:
        cluster, member = self.cluster, self._choose_member()
        if member.is_running:
            cluster.counts["pauses"] += 1
            member.is_paused = True
            cluster.after(cluster.rng.choice([0.1, 0.5, 1.5]), member.resume)

    def _partition(self) -> None:
        cluster, rng = self.cluster, self.cluster.rng
        cluster.counts["partitions"] += 1
        names = list(cluster.members)
        name = self._choose_member().name
        others = [other for other in names if other != name]
        kind = rng.choice(["in", "out", "both", "link", "half"])
        if kind == "link":
            others = others[:1]
        links: set[tuple[str, str]] = set()
        if kind != "out":
            links |= {(other, name) for other in others}
        if kind != "in":
            links |= {(name, other) for other in others}
        if kind == "half":
            half = set(rng.sample(names, max(1, len(names) // 2)))
            links = {
                (sender, recipient)
                for sender in names
                for recipient in names
                if (sender in half) != (recipient in half)
            }
        cluster.broken_links |= links
        cluster.after(rng.choice([0.2, 1.0, 3.0]), self._heal, links)

    def _heal(self, links: set[tuple[str, str]]) -> None:
        self.cluster.broken_links -= links

    def _change_membership(self) -> None:
        leader = self.cluster.leader()
        if leader is None or leader.raft is None:
            return
        try:
            self._propose_change(leader)
            self.cluster.counts["membership changes"] += 1
        except RequestRejectedError as error:
            self.cluster.count_rejection(error)
        leader.process_ready()

    def _propose_change(self, leader: SimulatedMember) -> None:
        """Promote a learner, add a learner, or remove a member."""
        cluster, rng, raft = self.cluster, self.cluster.rng, leader.raft
        assert raft is not None
        members = raft.configuration.members
        learners = [member for member in members if not member.voter]
        if learners:
            learner = rng.choice(learners)
            raft.add_member(leader.now, Member(learner.id, learner.name, learner.address))
        elif len(members) < MAX_MEMBERS and rng.random() < 0.6:
            name = cluster.new_name()
            raft.add_member(leader.now, Member(name, name, name, voter=False))
            cluster.start_member(name, ())
        elif len(members) > 1:
            raft.remove_member(leader.now, rng.choice(members).id)

    def _transfer(self) -> None:
        cluster, leader = self.cluster, self.cluster.leader()
        if leader is None or leader.raft is None:
            return
        others = [voter for voter in leader.raft.configuration.voters if voter != leader.name]
        if not others:
            return
        try:
            leader.raft.transfer_leadership(leader.now, cluster.rng.choice(others))
            cluster.counts["transfers"] += 1
        except RequestRejectedError:
            pass
        leader.process_ready()

    def _compact(self) -> None:
        member = self._choose_member()
        if member.is_running:
            self.cluster.counts["compactions"] += 1
            member.compact()
