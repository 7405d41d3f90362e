"""Leases: which holders a write waits for, and that no holder decides by stale state."""

from __future__ import annotations

import random
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from gradegap.store.leases import DEFAULT_LEASE_S, LeaseGranter, LeaseHolder


def test_write_waits_only_for_holders_of_valid_leases() -> None:
    granter = LeaseGranter(0.0, 0.1)
    now = granter.unknown_until
    acknowledged: list[str] = []
    assert granter.grant(now, "a", 5, now + 1) == DEFAULT_LEASE_S
    assert granter.grant(now, "b", 4, now) == 0.0  # the leader's own lease has expired, so it grants none
    granter.when_applied_by_all(now, 6, lambda: acknowledged.append("6"))
    assert not acknowledged
    granter.holder_applied("a", 6)
    granter.expire(now)
    assert acknowledged == ["6"]
    granter.when_applied_by_all(now, 7, lambda: acknowledged.append("7"))
    granter.expire(now + DEFAULT_LEASE_S)
    assert len(acknowledged) == 1
    granter.expire(now + DEFAULT_LEASE_S / 0.9 + 0.001)  # expired by every clock within the drift bound
    assert acknowledged == ["6", "7"]


def test_new_leader_waits_until_leases_of_its_predecessor_expire() -> None:
    granter, acknowledged = LeaseGranter(0.0, 0.1), []
    granter.when_applied_by_all(0.0, 1, lambda: acknowledged.append(1))
    granter.expire(DEFAULT_LEASE_S)
    assert not acknowledged
    granter.expire(granter.next_expiry() or 0.0)
    assert acknowledged


def test_lease_is_valid_only_after_its_index_is_applied() -> None:
    holder = LeaseHolder("a", 0.1)
    serial = holder.begin_request(10.0)
    holder.granted(10.3, serial, 2, 8, DEFAULT_LEASE_S, applied=7)
    assert not holder.is_fresh(10.3)
    holder.applied(8)
    assert holder.is_fresh(10.3) and not holder.is_fresh(10.0 + DEFAULT_LEASE_S * 0.9)
    holder.granted(10.4, serial, 2, 8, DEFAULT_LEASE_S, applied=8)  # a duplicate response
    late_serial = holder.begin_request(10.5)
    # The process was suspended in between.
    holder.granted(30.0, late_serial, 2, 8, DEFAULT_LEASE_S, applied=8)
    assert not holder.is_fresh(30.0)


class LeaseSimulation:
    """A leader, its successor and a lease holder, with clocks at the drift bound and delayed messages."""

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.rates = [rng.choice([1.0, 1.0 / 0.9]) for _ in range(3)]
        self.offsets = [rng.uniform(0, 100) for _ in range(3)]
        self.now = 0.0
        self.leader = 0  # index of the leader's clock
        self.granter = LeaseGranter(self.clock(0) - 99.0, 0.1)
        self.holder = LeaseHolder("h", 0.1)
        self.applied = self.committed = self.acknowledged = 0
        self.scheduled: list[tuple[float, Callable[[], None]]] = []

    def clock(self, index: int) -> float:
        return self.offsets[index] + self.rates[index] * self.now

    def schedule(self, max_delay_s: float, action: Callable[[], None]) -> None:
        self.scheduled.append((self.now + self.rng.uniform(0, max_delay_s), action))

    def write(self, index: int) -> None:
        self.granter.when_applied_by_all(self.clock(self.leader), index, lambda: self.acknowledge(index))

    def acknowledge(self, index: int) -> None:
        self.acknowledged = max(self.acknowledged, index)

    def request_lease(self) -> None:
        serial, applied = self.holder.begin_request(self.clock(2)), self.applied

        def grant() -> None:
            now = self.clock(self.leader)
            duration_s = self.granter.grant(now, "h", applied, now + 1)
            term, index = 1 + self.leader, self.committed

            def granted() -> None:
                self.holder.granted(self.clock(2), serial, term, index, duration_s, self.applied)

            self.schedule(0.8, granted)

        self.schedule(0.4, grant)

    def apply(self) -> None:
        self.applied += 1
        self.holder.applied(self.applied)
        applied = self.applied
        self.schedule(0.5, lambda: self.granter.holder_applied("h", applied))

    def change_leader(self) -> None:
        waiting = [index for index, _ in self.granter.waiting]
        self.leader = 1
        self.granter = LeaseGranter(self.clock(1), 0.1)
        for index in waiting:
            self.write(index)

    def step(self) -> None:
        self.now += self.rng.uniform(0.0, 0.2)
        for due in [action for action in self.scheduled if action[0] <= self.now]:
            self.scheduled.remove(due)
            due[1]()
        self.granter.expire(self.clock(self.leader))
        choice = self.rng.random()
        if choice < 0.4:
            self.request_lease()
        elif choice < 0.6:
            self.committed += 1
            self.write(self.committed)
        elif choice < 0.75 and self.applied < self.committed:
            self.apply()
        elif choice < 0.78 and not self.leader:
            self.change_leader()


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 10_000))
def test_valid_lease_implies_that_acknowledged_writes_are_applied(seed: int) -> None:
    simulation = LeaseSimulation(seed)
    while simulation.now < 12.0:
        simulation.step()
        if simulation.holder.is_fresh(simulation.clock(2)):
            assert simulation.applied >= simulation.acknowledged, (
                f"holder decides at index {simulation.applied}, but {simulation.acknowledged} is acknowledged"
            )
