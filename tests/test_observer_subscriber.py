"""The subscriber's logic: the choice of a machine, and what it does not accept from one."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from gradegap.observer import subscriber as subscriber_module
from gradegap.observer.messages import (
    VERSION,
    Accepted,
    Change,
    CloseCode,
    Delta,
    FromPublisher,
    Heartbeat,
    Rejected,
    Renew,
    SnapshotPart,
)
from gradegap.observer.selection import Backoff, MachineAddress, Selection, rendezvous_order
from gradegap.observer.subscriber import Apply, Connect, Disconnect, Subscriber
from tests.support.observer_harness import LIMITS, MACHINES

# Selection


def test_nodes_prefer_their_region_and_spread_over_its_machines() -> None:
    first = [rendezvous_order(f"n{number}", "r1", MACHINES)[0].name for number in range(600)]
    assert set(first) == {"m1", "m4"} and 240 < first.count("m1") < 360


def test_the_nodes_of_a_dead_machine_spread_over_all_others() -> None:
    machines = [MachineAddress(f"m{number}", "") for number in range(6)]
    orders = [rendezvous_order(f"n{number}", "", machines) for number in range(1600)]
    seconds = [order[1].name for order in orders if order[0].name == "m0"]
    assert len(set(seconds)) == 5 and max(seconds.count(name) for name in set(seconds)) < 90


def test_a_machine_that_failed_is_avoided_for_a_time() -> None:
    selection = Selection("n", "r0", MACHINES, LIMITS)
    best, second = selection.order[:2]
    assert selection.pick(0.0) == best
    selection.failed(0.0, best)
    assert selection.pick(1.0) == second
    assert selection.pick(LIMITS.machine_avoidance_s) == best
    for number, machine in enumerate(selection.order):
        selection.failed(50.0 - number, machine)
    assert selection.pick(51.0) == selection.order[-1]


# A subscriber's own care


def accepted_node(revision: int = 0) -> Subscriber:
    """A node whose subscription stands, with this revision applied."""
    node = Subscriber("n", "i", "r0", MACHINES, LIMITS, 0.0, random.Random(1))
    node.tick(0.0)
    node.connected(0.0)
    node.receive(0.0, Accepted(VERSION, "c", "m0", 0.3))
    if revision:
        node.receive(0.0, SnapshotPart(revision, 0, True, ()))
    node.take()
    return node


def codes(node: Subscriber) -> list[CloseCode]:
    """The codes of the disconnections that the node asks for."""
    return [output.code for output in node.take() if isinstance(output, Disconnect)]


def test_a_delta_with_a_gap_ends_the_connection_and_the_same_machine_is_asked_again() -> None:
    node = accepted_node(5)
    machine = node.machine
    node.receive(0.1, Delta(6, 7, (Change(7, "config/a", 1),)))
    assert codes(node) == [CloseCode.GAP] and node.revision == 5
    node.tick(node.deadline())
    assert node.take() == [Connect(machine)] if machine else False


def test_an_old_delta_is_ignored_and_one_that_overlaps_is_cut() -> None:
    node = accepted_node(5)
    node.receive(0.1, Delta(2, 4, (Change(4, "config/a", 1),)))
    assert node.take() == [] and node.counts["old_deltas"] == 1
    node.receive(0.1, Delta(2, 7, (Change(4, "config/a", 1), Change(7, "config/b", 2))))
    assert node.take() == [Apply(7, (Change(7, "config/b", 2),), is_snapshot=False)]


def test_a_snapshot_older_than_what_was_applied_is_an_error() -> None:
    node = accepted_node(5)
    node.receive(0.1, SnapshotPart(4, 0, True, ()))
    assert codes(node) == [CloseCode.BACKWARDS] and node.revision == 5


@pytest.mark.parametrize(
    "parts",
    [
        [SnapshotPart(7, 1, False, ())],
        [SnapshotPart(7, 0, False, ()), SnapshotPart(7, 2, True, ())],
        [SnapshotPart(7, 0, False, ()), SnapshotPart(8, 1, True, ())],
        [SnapshotPart(7, 0, False, ()), Delta(5, 8, ())],
    ],
)
def test_parts_that_do_not_follow_are_a_gap_and_nothing_is_applied(parts: list[FromPublisher]) -> None:
    node = accepted_node(5)
    for part in parts:
        node.receive(0.1, part)
    assert codes(node) == [CloseCode.GAP] and node.revision == 5 and node.snapshot_parts == []


def test_a_snapshot_without_end_is_cut_off() -> None:
    node = accepted_node()
    node.limits = replace(LIMITS, max_snapshot_bytes=100_000)
    for number in range(100):
        node.receive(0.1, SnapshotPart(7, number, False, (Change(7, f"config/{number}", "x" * 30_000),)))
    assert codes(node) == [CloseCode.GARBLED] and node.snapshot_parts == []


def test_what_comes_before_accepted_or_twice_is_garbled() -> None:
    node = accepted_node()
    node.receive(0.1, Accepted(VERSION, "c", "m0", 0.3))
    assert codes(node) == [CloseCode.GARBLED]
    other = Subscriber("n", "i", "r0", MACHINES, LIMITS, 0.0, random.Random(1))
    other.tick(0.0)
    other.connected(0.0)
    other.receive(0.0, Heartbeat(1, 9, 1.0))
    assert codes(other) == [CloseCode.GARBLED] and not other.is_fresh(0.0) and other.revision == 0


def test_a_lease_without_end_is_not_believed_nor_another_cluster() -> None:
    node = accepted_node()
    node.receive(0.1, Heartbeat(1, 0, 1e9))
    assert node.lease_until <= LIMITS.max_lease_s
    node.disconnected(0.2, "reset")
    node.take()
    node.tick(node.deadline())
    node.connected(0.3)
    node.receive(0.3, Accepted(VERSION, "another", "m0", 0.3))
    assert CloseCode.GARBLED in codes(node)


def test_a_node_moves_on_when_its_machine_is_silent() -> None:
    node = accepted_node()
    first = node.machine
    node.tick(LIMITS.publisher_timeout_s)
    assert codes(node) == [CloseCode.SILENT]
    node.tick(node.deadline())
    assert first is not None and node.machine is not None and node.machine.name != first.name


def test_a_node_moves_on_when_its_machine_has_no_lease_for_long() -> None:
    node = accepted_node()
    first, now = node.machine, 0.0
    while node.machine is first and now < 10.0:
        now += 0.05
        node.tick(now)
        for output in node.take():
            if isinstance(output, subscriber_module.Send) and isinstance(output.message, Renew):
                node.receive(now, Heartbeat(output.message.serial, 0, 0.0))
    assert LIMITS.stale_timeout_s * (1 - LIMITS.jitter) <= now <= LIMITS.stale_timeout_s + 0.5
    assert node.counts["moved_stale"] == 1 and not node.is_fresh(now)


def test_busy_is_a_lower_bound_of_the_wait_and_the_machine_stays_the_first_choice() -> None:
    node = accepted_node()
    first = node.machine
    node.receive(0.1, Rejected(CloseCode.BUSY, "", 2.0))
    assert codes(node) == [CloseCode.BUSY] and 2.1 <= node.deadline() <= 2.2
    node.tick(node.deadline())
    assert node.machine is first


def test_a_machine_that_is_behind_is_left_for_the_next() -> None:
    node = accepted_node(5)
    first = node.machine
    node.receive(0.1, Rejected(CloseCode.BEHIND, "", 0.3))
    node.tick(node.deadline())
    assert node.machine is not first and node.revision == 5


def test_two_processes_of_one_name_do_not_displace_each_other_at_once() -> None:
    node = accepted_node()
    node.receive(0.1, Rejected(CloseCode.DUPLICATE))
    assert node.deadline() >= 0.1 + LIMITS.backoff_cap_s


def test_waits_have_full_jitter_up_to_the_cap() -> None:
    waits = [Backoff(LIMITS, random.Random(seed)) for seed in range(400)]
    for attempt in range(10):
        longest = min(LIMITS.backoff_cap_s, LIMITS.backoff_base_s * 2**attempt)
        drawn = [backoff.wait() for backoff in waits]
        assert max(drawn) <= longest and min(drawn) < 0.1 * longest and max(drawn) > 0.9 * longest
