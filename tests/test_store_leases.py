"""Leases: what a write waits for, and that nobody decides by replaced state."""

from __future__ import annotations

import random
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from gradegap.store.leases import DEFAULT_LEASE_S, LeaseGranter, LeaseHolder


def test_a_write_waits_for_lease_holders_and_no_others() -> None:
    granter = LeaseGranter(0.0, 0.1)
    now = granter.unknown_until
    seen: list[str] = []
    assert granter.grant(now, "a", 5, now + 1) == DEFAULT_LEASE_S
    assert granter.grant(now, "b", 4, now) == 0.0  # the leader's own lease is over: it gives none
    granter.when_applied_by_all(now, 6, lambda: seen.append("6"))
    assert not seen
    granter.holder_applied("a", 6)
    granter.expire(now)
    assert seen == ["6"]
    granter.when_applied_by_all(now, 7, lambda: seen.append("7"))
    granter.expire(now + DEFAULT_LEASE_S)
    assert len(seen) == 1
    granter.expire(now + DEFAULT_LEASE_S / 0.9 + 0.001)  # it has run out, by whatever clock
    assert seen == ["6", "7"]


def test_a_new_leader_waits_out_the_leases_of_its_predecessor() -> None:
    granter, seen = LeaseGranter(0.0, 0.1), []
    granter.when_applied_by_all(0.0, 1, lambda: seen.append(1))
    granter.expire(DEFAULT_LEASE_S)
    assert not seen
    granter.expire(granter.next_expiry() or 0.0)
    assert seen


def test_a_lease_is_valid_only_once_its_index_is_applied() -> None:
    holder = LeaseHolder("a", 0.1)
    serial = holder.begin_request(10.0)
    holder.granted(10.3, serial, 2, 8, DEFAULT_LEASE_S, applied=7)
    assert not holder.is_fresh(10.3)
    holder.applied(8)
    assert holder.is_fresh(10.3) and not holder.is_fresh(10.0 + DEFAULT_LEASE_S * 0.9)
    holder.granted(10.4, serial, 2, 8, DEFAULT_LEASE_S, applied=8)  # an answer that comes twice
    late = holder.begin_request(10.5)
    holder.granted(30.0, late, 2, 8, DEFAULT_LEASE_S, applied=8)  # the process was stopped meanwhile
    assert not holder.is_fresh(30.0)


class LeaseWorld:
    """A leader, its successor and a node, clocks at the edge of the bound, words late."""

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.rates = [rng.choice([1.0, 1.0 / 0.9]) for _ in range(3)]
        self.offsets = [rng.uniform(0, 100) for _ in range(3)]
        self.t = 0.0
        self.leader = 0  # whose clock leads
        self.granter = LeaseGranter(self.clock(0) - 99.0, 0.1)
        self.holder = LeaseHolder("h", 0.1)
        self.applied = self.committed = self.acked = 0
        self.todo: list[tuple[float, Callable[[], None]]] = []

    def clock(self, k: int) -> float:
        return self.offsets[k] + self.rates[k] * self.t

    def later(self, most: float, action: Callable[[], None]) -> None:
        self.todo.append((self.t + self.rng.uniform(0, most), action))

    def write(self, index: int) -> None:
        self.granter.when_applied_by_all(self.clock(self.leader), index, lambda: self.ack(index))

    def ack(self, index: int) -> None:
        self.acked = max(self.acked, index)

    def ask(self) -> None:
        serial, has = self.holder.begin_request(self.clock(2)), self.applied

        def grant() -> None:
            now = self.clock(self.leader)
            given = self.granter.grant(now, "h", has, now + 1)
            term, index = 1 + self.leader, self.committed

            def granted() -> None:
                self.holder.granted(self.clock(2), serial, term, index, given, self.applied)

            self.later(0.8, granted)

        self.later(0.4, grant)

    def apply(self) -> None:
        self.applied += 1
        self.holder.applied(self.applied)
        has = self.applied
        self.later(0.5, lambda: self.granter.holder_applied("h", has))

    def depose(self) -> None:
        waiting = [index for index, _ in self.granter.waiting]
        self.leader = 1
        self.granter = LeaseGranter(self.clock(1), 0.1)
        for index in waiting:
            self.write(index)

    def step(self) -> None:
        self.t += self.rng.uniform(0.0, 0.2)
        for due in [x for x in self.todo if x[0] <= self.t]:
            self.todo.remove(due)
            due[1]()
        self.granter.expire(self.clock(self.leader))
        what = self.rng.random()
        if what < 0.4:
            self.ask()
        elif what < 0.6:
            self.committed += 1
            self.write(self.committed)
        elif what < 0.75 and self.applied < self.committed:
            self.apply()
        elif what < 0.78 and not self.leader:
            self.depose()


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 10_000))
def test_nobody_decides_by_replaced_state_whatever_the_clocks(seed: int) -> None:
    world = LeaseWorld(seed)
    while world.t < 12.0:
        world.step()
        if world.holder.is_fresh(world.clock(2)):
            assert world.applied >= world.acked, (
                f"it decides at {world.applied}, {world.acked} was acknowledged"
            )
