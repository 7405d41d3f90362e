"""Eviction of connections when descriptors run short."""

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
CLIENT_LIMIT = LIMIT - PROCESS_RESERVE - LIMIT // DIAL_RESERVE_DIVISOR


class Connection:
    """A connection that follows the requests of the budget at once."""

    def __init__(self, descriptors: DescriptorBudget) -> None:
        self.descriptors = descriptors
        self.dismissed = self.closed = False

    def dismiss(self) -> None:
        self.dismissed = True
        self.descriptors.set_rank(self, EvictionRank.ANSWERED)

    def evict(self) -> None:
        self.closed = True
        self.descriptors.on_closed(self)


def test_client_that_keeps_pinging_outlasts_silent_clients() -> None:
    """A client that sends only PING must not be closed before clients that have sent nothing."""
    budget = DescriptorBudget(LIMIT, Metrics())
    pinging_connection = Connection(budget)
    budget.on_accepted(pinging_connection)
    silent_connections = []
    for _ in range(3 * LIMIT):
        budget.set_rank(pinging_connection, EvictionRank.PINGED)
        silent_connections.append(Connection(budget))
        budget.on_accepted(silent_connections[-1])
        assert budget.held_count <= CLIENT_LIMIT
    assert not pinging_connection.dismissed and not pinging_connection.closed
    closed = [connection.closed for connection in silent_connections]
    # Connections were closed in the order of their last activity.
    assert closed == sorted(closed, reverse=True) and sum(closed) > 2 * LIMIT


def test_connections_are_dismissed_before_the_budget_is_exhausted_and_closed_after() -> None:
    budget = DescriptorBudget(LIMIT, Metrics())
    silent_connections = [Connection(budget) for _ in range(2 * LIMIT)]
    for connection in silent_connections:
        budget.on_accepted(connection)
    assert all(connection.dismissed for connection in silent_connections if connection.closed)
    dismissed_count = sum(connection.dismissed and not connection.closed for connection in silent_connections)
    assert dismissed_count >= LIMIT // DISMISSAL_MARGIN_DIVISOR - 1


def test_dialed_sockets_use_the_reserve_withheld_from_clients() -> None:
    """Discovery, attempts and health checks get descriptors even if idle clients use all others."""
    budget = DescriptorBudget(LIMIT, Metrics())
    for _ in range(2 * LIMIT):
        budget.on_accepted(Connection(budget))
    held_before = budget.held_count
    dialed_sockets = [budget.open_socket(2) for _ in range(LIMIT // DIAL_RESERVE_DIVISOR)]
    assert budget.held_count == held_before + LIMIT // DIAL_RESERVE_DIVISOR
    for sock in dialed_sockets:
        sock.close()
    assert budget.held_count == held_before


def test_established_connections_are_kept_and_a_new_client_is_evicted() -> None:
    budget = DescriptorBudget(LIMIT, Metrics())
    established = [Connection(budget) for _ in range(CLIENT_LIMIT)]
    for connection in established:
        budget.on_accepted(connection)
        budget.set_rank(connection, None)
    last_connection = Connection(budget)
    budget.on_accepted(last_connection)
    assert last_connection.closed and not any(
        connection.dismissed or connection.closed for connection in established
    )
