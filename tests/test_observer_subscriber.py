"""The subscriber's logic: the choice of a control machine, and messages that it does not accept."""

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


def test_nodes_of_failed_machine_spread_over_all_others() -> None:
    machines = [MachineAddress(f"m{number}", "") for number in range(6)]
    orders = [rendezvous_order(f"n{number}", "", machines) for number in range(1600)]
    second_choices = [order[1].name for order in orders if order[0].name == "m0"]
    assert (
        len(set(second_choices)) == 5 and max(second_choices.count(name) for name in set(second_choices)) < 90
    )


def test_failed_machine_is_avoided_until_avoidance_ends() -> None:
    selection = Selection("n", "r0", MACHINES, LIMITS)
    best, second = selection.order[:2]
    assert selection.pick(0.0) == best
    selection.failed(0.0, best)
    assert selection.pick(1.0) == second
    assert selection.pick(LIMITS.machine_avoidance_s) == best
    for number, machine in enumerate(selection.order):
        selection.failed(50.0 - number, machine)
    assert selection.pick(51.0) == selection.order[-1]


# Messages and timeouts


def subscribed_node(revision: int = 0) -> Subscriber:
    """Returns a node whose subscription is accepted, with this revision applied."""
    node = Subscriber("n", "i", "r0", MACHINES, LIMITS, 0.0, random.Random(1))
    node.tick(0.0)
    node.connected(0.0)
    node.receive(0.0, Accepted(VERSION, "c", "m0", 0.3))
    if revision:
        node.receive(0.0, SnapshotPart(revision, 0, True, ()))
    node.take()
    return node


def take_disconnect_codes(node: Subscriber) -> list[CloseCode]:
    """Returns the codes of the node's `Disconnect` outputs."""
    return [output.code for output in node.take() if isinstance(output, Disconnect)]


def test_delta_with_gap_reconnects_to_same_machine() -> None:
    node = subscribed_node(5)
    machine = node.machine
    node.receive(0.1, Delta(6, 7, (Change(7, "config/a", 1),)))
    assert take_disconnect_codes(node) == [CloseCode.GAP] and node.revision == 5
    node.tick(node.deadline())
    assert node.take() == [Connect(machine)] if machine else False


def test_old_delta_is_ignored_and_overlapping_one_is_trimmed() -> None:
    node = subscribed_node(5)
    node.receive(0.1, Delta(2, 4, (Change(4, "config/a", 1),)))
    assert node.take() == [] and node.counts["old_deltas"] == 1
    node.receive(0.1, Delta(2, 7, (Change(4, "config/a", 1), Change(7, "config/b", 2))))
    assert node.take() == [Apply(7, (Change(7, "config/b", 2),), is_snapshot=False)]


def test_snapshot_older_than_applied_revision_closes_connection() -> None:
    node = subscribed_node(5)
    node.receive(0.1, SnapshotPart(4, 0, True, ()))
    assert take_disconnect_codes(node) == [CloseCode.BACKWARDS] and node.revision == 5


@pytest.mark.parametrize(
    "parts",
    [
        [SnapshotPart(7, 1, False, ())],
        [SnapshotPart(7, 0, False, ()), SnapshotPart(7, 2, True, ())],
        [SnapshotPart(7, 0, False, ()), SnapshotPart(8, 1, True, ())],
        [SnapshotPart(7, 0, False, ()), Delta(5, 8, ())],
    ],
)
def test_snapshot_parts_out_of_sequence_are_a_gap_and_not_applied(parts: list[FromPublisher]) -> None:
    node = subscribed_node(5)
    for part in parts:
        node.receive(0.1, part)
    assert take_disconnect_codes(node) == [CloseCode.GAP] and node.revision == 5 and node.snapshot_parts == []


def test_snapshot_above_size_limit_closes_connection() -> None:
    node = subscribed_node()
    node.limits = replace(LIMITS, max_snapshot_bytes=100_000)
    for number in range(100):
        node.receive(0.1, SnapshotPart(7, number, False, (Change(7, f"config/{number}", "x" * 30_000),)))
    assert take_disconnect_codes(node) == [CloseCode.GARBLED] and node.snapshot_parts == []


def test_message_before_accepted_or_second_accepted_is_garbled() -> None:
    node = subscribed_node()
    node.receive(0.1, Accepted(VERSION, "c", "m0", 0.3))
    assert take_disconnect_codes(node) == [CloseCode.GARBLED]
    other = Subscriber("n", "i", "r0", MACHINES, LIMITS, 0.0, random.Random(1))
    other.tick(0.0)
    other.connected(0.0)
    other.receive(0.0, Heartbeat(1, 9, 1.0))
    assert (
        take_disconnect_codes(other) == [CloseCode.GARBLED]
        and not other.is_fresh(0.0)
        and other.revision == 0
    )


def test_lease_is_capped_and_other_cluster_is_rejected() -> None:
    node = subscribed_node()
    node.receive(0.1, Heartbeat(1, 0, 1e9))
    assert node.lease_until <= LIMITS.max_lease_s
    node.disconnected(0.2, "reset")
    node.take()
    node.tick(node.deadline())
    node.connected(0.3)
    node.receive(0.3, Accepted(VERSION, "another", "m0", 0.3))
    assert CloseCode.GARBLED in take_disconnect_codes(node)


def test_node_changes_machine_when_it_is_silent() -> None:
    node = subscribed_node()
    first = node.machine
    node.tick(LIMITS.publisher_timeout_s)
    assert take_disconnect_codes(node) == [CloseCode.SILENT]
    node.tick(node.deadline())
    assert first is not None and node.machine is not None and node.machine.name != first.name


def test_node_changes_machine_that_grants_no_lease() -> None:
    node = subscribed_node()
    first, now = node.machine, 0.0
    while node.machine is first and now < 10.0:
        now += 0.05
        node.tick(now)
        for output in node.take():
            if isinstance(output, subscriber_module.Send) and isinstance(output.message, Renew):
                node.receive(now, Heartbeat(output.message.serial, 0, 0.0))
    assert LIMITS.stale_timeout_s * (1 - LIMITS.jitter) <= now <= LIMITS.stale_timeout_s + 0.5
    assert node.counts["moved_stale"] == 1 and not node.is_fresh(now)


def test_busy_retry_time_is_minimum_wait_and_machine_is_kept() -> None:
    node = subscribed_node()
    first = node.machine
    node.receive(0.1, Rejected(CloseCode.BUSY, "", 2.0))
    assert take_disconnect_codes(node) == [CloseCode.BUSY] and 2.1 <= node.deadline() <= 2.2
    node.tick(node.deadline())
    assert node.machine is first


def test_node_changes_machine_that_is_behind() -> None:
    node = subscribed_node(5)
    first = node.machine
    node.receive(0.1, Rejected(CloseCode.BEHIND, "", 0.3))
    node.tick(node.deadline())
    assert node.machine is not first and node.revision == 5


def test_displaced_process_waits_before_it_subscribes_again() -> None:
    node = subscribed_node()
    node.receive(0.1, Rejected(CloseCode.DUPLICATE))
    assert node.deadline() >= 0.1 + LIMITS.backoff_cap_s


def test_backoff_has_full_jitter_up_to_cap() -> None:
    backoffs = [Backoff(LIMITS, random.Random(seed)) for seed in range(400)]
    for attempt in range(10):
        max_wait_s = min(LIMITS.backoff_cap_s, LIMITS.backoff_base_s * 2**attempt)
        waits = [backoff.wait() for backoff in backoffs]
        assert max(waits) <= max_wait_s and min(waits) < 0.1 * max_wait_s and max(waits) > 0.9 * max_wait_s
