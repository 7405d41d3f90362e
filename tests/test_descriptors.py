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


class Guest:
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
    """Who only ever said PING was closed before all that had said nothing yet: the front among the first."""
    d = DescriptorBudget(LIMIT, Metrics())
    front = Guest(d)
    d.on_accepted(front)
    crowd = []
    for _ in range(3 * LIMIT):
        d.set_rank(front, EvictionRank.PINGED)
        crowd.append(Guest(d))
        d.on_accepted(crowd[-1])
        assert d.held <= MOST
    assert not front.dismissed and not front.closed
    gone = [each.closed for each in crowd]
    assert gone == sorted(gone, reverse=True) and sum(gone) > 2 * LIMIT  # the oldest word first


def test_connections_are_dismissed_while_descriptors_are_left_and_closed_when_none_is() -> None:
    d = DescriptorBudget(LIMIT, Metrics())
    crowd = [Guest(d) for _ in range(2 * LIMIT)]
    for each in crowd:
        d.on_accepted(each)
    assert all(each.dismissed for each in crowd if each.closed)
    waiting = sum(each.dismissed and not each.closed for each in crowd)
    assert waiting >= LIMIT // DISMISSAL_MARGIN_DIVISOR - 1


def test_a_dial_takes_what_only_clients_are_kept_from() -> None:
    """Discovery, attempts and probes find room in a node that idle clients have filled."""
    d = DescriptorBudget(LIMIT, Metrics())
    for _ in range(2 * LIMIT):
        d.on_accepted(Guest(d))
    held = d.held
    dials = [d.open_socket(2) for _ in range(LIMIT // DIAL_RESERVE_DIVISOR)]
    assert d.held == held + LIMIT // DIAL_RESERVE_DIVISOR
    for sock in dials:
        sock.close()
    assert d.held == held


def test_who_stands_is_never_closed_and_the_next_client_makes_way_at_once() -> None:
    d = DescriptorBudget(LIMIT, Metrics())
    standing = [Guest(d) for _ in range(MOST)]
    for each in standing:
        d.on_accepted(each)
        d.set_rank(each, None)
    late = Guest(d)
    d.on_accepted(late)
    assert late.closed and not any(each.dismissed or each.closed for each in standing)
