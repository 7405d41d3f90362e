"""Which connections are evicted when descriptors run short."""

from __future__ import annotations

from gradegap.metrics import Metrics
from gradegap.transport.descriptors import (
    DIAL_RESERVE_DIVISOR,
    DISMISSAL_MARGIN_DIVISOR,
    PROCESS_RESERVE,
    DescriptorBudget,
    EvictionRank,
)

LIMIT = 512
MOST = LIMIT - PROCESS_RESERVE - LIMIT // DIAL_RESERVE_DIVISOR


class Connection:
    """A connection that closes when it is asked to."""

    def __init__(self, descriptors: DescriptorBudget) -> None:
        self.descriptors = descriptors
        self.dismissed = self.closed = False

    def dismiss(self) -> None:
        self.dismissed = True
        self.descriptors.set_rank(self, EvictionRank.ANSWERED)

    def evict(self) -> None:
        self.closed = True
        self.descriptors.on_closed(self)


def test_a_client_that_pings_on_outlasts_a_crowd_that_sends_nothing() -> None:
    """A client that only sent PING was once closed before all that had sent nothing yet."""
    budget = DescriptorBudget(LIMIT, Metrics())
    pinging = Connection(budget)
    budget.on_accepted(pinging)
    crowd = []
    for _ in range(3 * LIMIT):
        budget.set_rank(pinging, EvictionRank.PINGED)
        crowd.append(Connection(budget))
        budget.on_accepted(crowd[-1])
        assert budget.held_count <= MOST
    assert not pinging.dismissed and not pinging.closed
    closed = [each.closed for each in crowd]
    assert closed == sorted(closed, reverse=True) and sum(closed) > 2 * LIMIT  # the oldest activity first


def test_connections_are_dismissed_while_descriptors_are_left_and_closed_when_none_is() -> None:
    budget = DescriptorBudget(LIMIT, Metrics())
    crowd = [Connection(budget) for _ in range(2 * LIMIT)]
    for each in crowd:
        budget.on_accepted(each)
    assert all(each.dismissed for each in crowd if each.closed)
    waiting = sum(each.dismissed and not each.closed for each in crowd)
    assert waiting >= LIMIT // DISMISSAL_MARGIN_DIVISOR - 1


def test_a_dial_uses_what_is_kept_from_clients() -> None:
    """Discovery, attempts and health checks find descriptors in a node that idle clients have filled."""
    budget = DescriptorBudget(LIMIT, Metrics())
    for _ in range(2 * LIMIT):
        budget.on_accepted(Connection(budget))
    held = budget.held_count
    dials = [budget.open_socket(2) for _ in range(LIMIT // DIAL_RESERVE_DIVISOR)]
    assert budget.held_count == held + LIMIT // DIAL_RESERVE_DIVISOR
    for sock in dials:
        sock.close()
    assert budget.held_count == held


def test_established_connections_are_never_closed_and_the_next_client_is_evicted_at_once() -> None:
    budget = DescriptorBudget(LIMIT, Metrics())
    established = [Connection(budget) for _ in range(MOST)]
    for each in established:
        budget.on_accepted(each)
        budget.set_rank(each, None)
    late = Connection(budget)
    budget.on_accepted(late)
    assert late.closed and not any(each.dismissed or each.closed for each in established)
