"""Leases of nodes and of control machines, and the safe index that the publisher reports meanwhile."""

from __future__ import annotations

import random

import pytest

from gradegap.observer import subscriber as subscriber_module
from gradegap.observer.messages import (
    VERSION,
    Accepted,
    Heartbeat,
    Leave,
)
from gradegap.observer.subscriber import Disconnect, LeaseChanged, Subscriber
from tests.support.observer_harness import (
    LIMITS,
    MACHINES,
    PublisherHarness,
    send_renew,
    send_subscribe,
    take_all_outputs,
)


def test_lease_counts_from_renewal_and_is_shortened_by_drift() -> None:
    node = Subscriber("n", "i", "r0", MACHINES[:1], LIMITS, 0.0, random.Random(1))
    node.tick(0.0)
    node.connected(0.0)
    node.receive(0.0, Accepted(VERSION, "c", "m0", 0.3))
    node.receive(0.25, Heartbeat(1, 0, 1.0))
    assert node.lease_until == pytest.approx(0.9)
    node.receive(0.26, Heartbeat(1, 0, 5.0))  # a duplicate response
    node.receive(0.27, Heartbeat(7, 0, 5.0))  # a response without a request
    assert node.lease_until == pytest.approx(0.9) and node.counts["unasked_heartbeats"] == 2
    node.take()
    node.tick(0.9)
    assert LeaseChanged(False) in node.take() and not node.is_fresh(0.9)


def test_granted_lease_never_exceeds_the_machines_own() -> None:
    harness = PublisherHarness()
    send_subscribe(harness.publisher, 100.0, 1, 0)
    assert send_renew(harness.publisher, 100.0, 1, 0) == [Heartbeat(1, 0, 0.0)]
    harness.publisher.renew_lease(100.0, 100.75)
    assert send_renew(harness.publisher, 100.25, 1, 0) == [Heartbeat(1, 0, 0.5)]
    assert send_renew(harness.publisher, 100.75, 1, 0) == [Heartbeat(1, 0, 0.0)]


def test_safe_index_waits_for_each_node_that_may_still_decide() -> None:
    harness = PublisherHarness()
    publisher = harness.publisher
    revision = harness.state.put("config/a", 1)
    publisher.source_advanced(100.0)
    for number in (1, 2, 3):
        send_subscribe(publisher, 100.0, number, revision)
    publisher.renew_lease(100.0, 101.0)
    for number in (1, 2):  # node 3 has no lease
        send_renew(publisher, 100.0, number, revision)
    assert publisher.safe_index(100.0) == 1
    later_revision = harness.state.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    take_all_outputs(publisher)
    assert publisher.safe_index(100.1) == 1
    send_renew(publisher, 100.2, 1, later_revision)
    assert publisher.safe_index(100.2) == 1
    publisher.disconnected(100.3, 2)  # node 2 may still decide under its lease
    assert publisher.safe_index(100.9) == 1
    assert publisher.nodes_behind(100.9, later_revision) == ["n2", "n3"]
    assert publisher.safe_index(101.0) == 2


def test_safe_index_does_not_wait_for_node_that_left() -> None:
    harness = PublisherHarness()
    publisher = harness.publisher
    send_subscribe(publisher, 100.0, 1, 0)
    publisher.renew_lease(100.0, 101.0)
    send_renew(publisher, 100.0, 1, 0)
    harness.state.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    assert publisher.safe_index(100.1) == 0
    publisher.receive(100.2, 1, Leave())
    assert publisher.safe_index(100.2) == 1 and publisher.nodes_behind(100.2, 1) == []


def test_node_behind_reported_safe_index_gets_no_lease() -> None:
    harness = PublisherHarness()
    publisher = harness.publisher
    send_subscribe(publisher, 100.0, 1, 0)
    publisher.renew_lease(100.0, 101.0)
    harness.state.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    take_all_outputs(publisher)
    assert publisher.safe_index(100.1) == 1  # no node holds a lease
    assert send_renew(publisher, 100.2, 1, 0, serial=2) == [Heartbeat(2, 1, 0.0)]
    heartbeat = send_renew(publisher, 100.3, 1, 1, serial=3)[0]
    assert isinstance(heartbeat, Heartbeat) and heartbeat.lease_s == pytest.approx(0.7)


def test_renewed_machine_lease_requires_its_applied_state() -> None:
    """Guards against leases for nodes that lack a write which may have been acknowledged without them.

    The machine's lease can be renewed without a call of `safe_index` between the write and the renewal.
    """
    harness = PublisherHarness()
    publisher = harness.publisher
    send_subscribe(publisher, 100.0, 1, 0)
    harness.state.put("out/s", {"at_ms": 1})
    publisher.renew_lease(100.0, 101.0)
    take_all_outputs(publisher)
    assert send_renew(publisher, 100.1, 1, 0, serial=2) == [Heartbeat(2, 1, 0.0)]
    publisher.renew_lease(100.2, 101.0)  # without an extension
    heartbeat = send_renew(publisher, 100.2, 1, 1, serial=3)[0]
    assert isinstance(heartbeat, Heartbeat) and heartbeat.lease_s == pytest.approx(0.8)


def test_new_process_of_node_does_not_end_lease_of_earlier_one() -> None:
    harness = PublisherHarness()
    publisher = harness.publisher
    send_subscribe(publisher, 100.0, 1, 0, node="n")
    publisher.renew_lease(100.0, 101.0)
    send_renew(publisher, 100.0, 1, 0)
    harness.state.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    take_all_outputs(publisher)
    send_subscribe(publisher, 100.2, 2, 0, node="n")
    send_renew(publisher, 100.2, 2, 1)
    assert publisher.counts["duplicates"] == 1
    assert publisher.safe_index(100.3) == 0
    assert publisher.safe_index(101.0) == 1


def test_planned_stop_gives_up_lease_before_leave() -> None:
    harness = PublisherHarness()
    number = harness.add_node("n1")
    harness.run(1.0)
    node = harness.nodes[number]
    assert node.is_fresh(harness.now)
    node.leave(harness.now)
    assert not node.is_fresh(harness.now)
    output_types = [type(output) for output in node.take()]
    assert output_types == [LeaseChanged, subscriber_module.Send, Disconnect]
