"""The leases of nodes and machines, and the index that is safe while they last."""

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


def test_the_lease_is_counted_from_the_question_and_shortened_by_drift() -> None:
    node = Subscriber("n", "i", "r0", MACHINES[:1], LIMITS, 0.0, random.Random(1))
    node.tick(0.0)
    node.connected(0.0)
    node.receive(0.0, Accepted(VERSION, "c", "m0", 0.3))
    node.receive(0.25, Heartbeat(1, 0, 1.0))
    assert node.lease_until == pytest.approx(0.9)
    node.receive(0.26, Heartbeat(1, 0, 5.0))  # the same answer again
    node.receive(0.27, Heartbeat(7, 0, 5.0))  # an answer to nothing
    assert node.lease_until == pytest.approx(0.9) and node.counts["unasked_heartbeats"] == 2
    node.take()
    node.tick(0.9)
    assert LeaseChanged(False) in node.take() and not node.is_fresh(0.9)


def test_a_machine_without_a_lease_grants_none_and_one_with_grants_no_more_than_it_has() -> None:
    pair = PublisherHarness()
    send_subscribe(pair.publisher, 100.0, 1, 0)
    assert send_renew(pair.publisher, 100.0, 1, 0) == [Heartbeat(1, 0, 0.0)]
    pair.publisher.renew_lease(100.0, 100.75)
    assert send_renew(pair.publisher, 100.25, 1, 0) == [Heartbeat(1, 0, 0.5)]
    assert send_renew(pair.publisher, 100.75, 1, 0) == [Heartbeat(1, 0, 0.0)]


def test_safe_index_waits_for_each_node_that_may_still_decide() -> None:
    pair = PublisherHarness()
    publisher = pair.publisher
    revision = pair.state.put("config/a", 1)
    publisher.source_advanced(100.0)
    for number in (1, 2, 3):
        send_subscribe(publisher, 100.0, number, revision)
    publisher.renew_lease(100.0, 101.0)
    for number in (1, 2):  # the third has no lease
        send_renew(publisher, 100.0, number, revision)
    assert publisher.safe_index(100.0) == 1
    later = pair.state.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    take_all_outputs(publisher)
    assert publisher.safe_index(100.1) == 1
    send_renew(publisher, 100.2, 1, later)
    assert publisher.safe_index(100.2) == 1
    publisher.disconnected(100.3, 2)  # it may still decide
    assert publisher.safe_index(100.9) == 1
    assert publisher.nodes_behind(100.9, later) == ["n2", "n3"]
    assert publisher.safe_index(101.0) == 2


def test_a_node_that_leaves_is_not_waited_for() -> None:
    pair = PublisherHarness()
    publisher = pair.publisher
    send_subscribe(publisher, 100.0, 1, 0)
    publisher.renew_lease(100.0, 101.0)
    send_renew(publisher, 100.0, 1, 0)
    pair.state.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    assert publisher.safe_index(100.1) == 0
    publisher.receive(100.2, 1, Leave())
    assert publisher.safe_index(100.2) == 1 and publisher.nodes_behind(100.2, 1) == []


def test_no_lease_for_a_node_that_lacks_what_was_told_as_safe() -> None:
    pair = PublisherHarness()
    publisher = pair.publisher
    send_subscribe(publisher, 100.0, 1, 0)
    publisher.renew_lease(100.0, 101.0)
    pair.state.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    take_all_outputs(publisher)
    assert publisher.safe_index(100.1) == 1  # nobody holds a lease
    assert send_renew(publisher, 100.2, 1, 0, serial=2) == [Heartbeat(2, 1, 0.0)]
    answer = send_renew(publisher, 100.3, 1, 1, serial=3)[0]
    assert isinstance(answer, Heartbeat) and answer.lease_s == pytest.approx(0.7)


def test_a_lease_of_the_machine_needs_all_that_it_has_applied_by_then() -> None:
    """Also where nobody asked for the safe index in between: writes may have been acknowledged without it."""
    pair = PublisherHarness()
    publisher = pair.publisher
    send_subscribe(publisher, 100.0, 1, 0)
    pair.state.put("out/s", {"at_ms": 1})
    publisher.renew_lease(100.0, 101.0)
    take_all_outputs(publisher)
    assert send_renew(publisher, 100.1, 1, 0, serial=2) == [Heartbeat(2, 1, 0.0)]
    publisher.renew_lease(100.2, 101.0)  # the same lease again
    answer = send_renew(publisher, 100.2, 1, 1, serial=3)[0]
    assert isinstance(answer, Heartbeat) and answer.lease_s == pytest.approx(0.8)


def test_another_life_of_a_node_does_not_end_the_lease_of_the_one_before() -> None:
    pair = PublisherHarness()
    publisher = pair.publisher
    send_subscribe(publisher, 100.0, 1, 0, node="n")
    publisher.renew_lease(100.0, 101.0)
    send_renew(publisher, 100.0, 1, 0)
    pair.state.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    take_all_outputs(publisher)
    send_subscribe(publisher, 100.2, 2, 0, node="n")
    send_renew(publisher, 100.2, 2, 1)
    assert publisher.counts["duplicates"] == 1
    assert publisher.safe_index(100.3) == 0
    assert publisher.safe_index(101.0) == 1


def test_a_planned_stop_of_a_node_gives_the_lease_up_first() -> None:
    pair = PublisherHarness()
    number = pair.add_node("n1")
    pair.run(1.0)
    node = pair.nodes[number]
    assert node.is_fresh(pair.now)
    node.leave(pair.now)
    assert not node.is_fresh(pair.now)
    kinds = [type(output) for output in node.take()]
    assert kinds == [LeaseChanged, subscriber_module.Send, Disconnect]
