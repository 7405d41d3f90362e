"""The publisher's logic: snapshots, deltas, acknowledgements, rejections, what is in force, bad input."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gradegap.observer import publisher as publisher_module
from gradegap.observer import subscriber as subscriber_module
from gradegap.observer.errors import REMEDIES, ObserverError
from gradegap.observer.messages import (
    VERSION,
    CloseCode,
    Delta,
    Rejected,
    Renew,
    Subscribe,
)
from gradegap.observer.subscriber import Apply
from gradegap.store.in_force import InForceTally, MachineReport
from tests.support.observer_harness import (
    LIMITS,
    PublisherHarness,
    send_renew,
    send_subscribe,
    take_all_outputs,
)

# The main path


def test_a_node_gets_a_snapshot_then_deltas_and_holds_a_lease() -> None:
    pair = PublisherHarness()
    pair.state.put("config/a", 1)
    pair.state.put("notes/x", 1)
    number = pair.add_node("n1")
    pair.run(1.0)
    node = pair.nodes[number]
    assert pair.message_types(number)[:2] == ["Accepted", "SnapshotPart"]
    assert node.revision == 2 and pair.states[number] == {"config/a": 1}
    assert node.is_fresh(pair.now) and node.age(pair.now) < 0.5 and node.cluster == "cluster"
    pair.state.put("out/s1", {"at_ms": 1})
    pair.state.put("config/a", 2)
    pair.publisher.source_advanced(pair.now)
    pair.settle()
    assert pair.states[number] == pair.expected_state() and node.revision == 4
    pair.run(0.1)
    assert pair.publisher.nodes_behind(pair.now, 4) == []


def test_a_revision_without_subscribed_keys_comes_with_a_heartbeat_only() -> None:
    pair = PublisherHarness()
    pair.state.put("config/a", 1)
    number = pair.add_node("n1")
    pair.run(1.0)
    pair.received[number].clear()
    revision = pair.state.put("notes/x", 2)
    pair.publisher.source_advanced(pair.now)
    pair.run(1.0)
    assert set(pair.message_types(number)) == {"Heartbeat"} and pair.nodes[number].revision == revision


def test_an_acknowledgement_comes_after_the_apply_and_within_the_batch() -> None:
    pair = PublisherHarness()
    number = pair.add_node("n1")
    pair.run(0.5)
    node = pair.nodes[number]
    revision = pair.state.put("config/a", 1)
    pair.publisher.source_advanced(pair.now)
    for output in take_all_outputs(pair.publisher):
        assert isinstance(output, publisher_module.Send)
        node.receive(pair.now, output.message)
    kinds = [type(output) for output in node.take()]
    assert kinds == [Apply]
    node.tick(pair.now + LIMITS.acknowledge_delay_s)
    assert [o.message for o in node.take() if isinstance(o, subscriber_module.Send)] == [
        Renew(node.renewal_serial, revision)
    ]


def test_a_node_that_comes_back_gets_what_it_lacks() -> None:
    pair = PublisherHarness()
    pair.state.put("config/a", 1)
    number = pair.add_node("n1")
    pair.run(0.5)
    pair.publisher.disconnected(pair.now, number)
    pair.nodes[number].disconnected(pair.now, "reset")
    pair.state.put("config/a", 2)
    pair.state.put("config/b", 1)
    pair.state.put("config/b", None, delete=True)
    pair.received[number].clear()
    pair.run(1.0)
    assert pair.message_types(number)[:2] == ["Accepted", "Delta"]
    delta = pair.received[number][1]
    assert isinstance(delta, Delta) and [c.key for c in delta.changes] == ["config/a", "config/b"]
    assert pair.states[number] == {"config/a": 2}


# Rejections


@pytest.mark.parametrize(
    ("message", "code"),
    [
        (Subscribe(VERSION + 1, "n", "i"), CloseCode.VERSION),
        (Subscribe(VERSION, "n", "i", "r", "another"), CloseCode.CLUSTER),
        (Subscribe(VERSION, "n", "i", "r", "cluster", 7), CloseCode.BEHIND),
        (Subscribe(VERSION, "", "i"), CloseCode.GARBLED),
    ],
)
def test_a_subscription_that_does_not_fit_is_rejected_and_counted(
    message: Subscribe, code: CloseCode
) -> None:
    pair = PublisherHarness()
    pair.publisher.subscribe(100.0, 1, message)
    send, close = take_all_outputs(pair.publisher)
    assert isinstance(send, publisher_module.Send) and isinstance(send.message, Rejected)
    assert send.message.code is code and close == publisher_module.Close(1, code)
    assert not pair.publisher.subscriptions and pair.publisher.counts[f"rejected_{code}"] == 1


def test_every_code_says_what_an_operator_can_do() -> None:
    assert set(REMEDIES) == set(CloseCode)
    error = ObserverError(CloseCode.CLUSTER, "m1 is of cluster x")
    assert (
        error.code is CloseCode.CLUSTER and "m1 is of cluster x" in str(error) and error.remedy in str(error)
    )


# In force


def test_a_revision_is_in_force_when_all_machines_say_so() -> None:
    gathering = InForceTally(9, ["m0", "m1"])
    gathering.add_report(MachineReport("m0", 9, 2, behind=("n1",), lost=("n7", "n8")))
    gathering.add_report(MachineReport("m9", 9, 2, behind=("n5",)))
    verdict = gathering.verdict()
    assert not verdict.in_force and verdict.unreachable == ("m1",) and verdict.missing == ("n1", "n7", "n8")
    gathering.add_report(MachineReport("m1", 9, 3, arrived=("n7", "n8")))
    assert gathering.verdict().missing == ("n1",)
    gathering.add_report(MachineReport("m0", 9, 2))
    assert gathering.verdict().in_force and gathering.verdict().subscribers == 5


# Bad input


def test_an_acknowledgement_of_what_was_not_sent_closes_the_subscription() -> None:
    pair = PublisherHarness()
    publisher = pair.publisher
    send_subscribe(publisher, 100.0, 1, 0)
    publisher.renew_lease(100.0, 101.0)
    (rejected,) = send_renew(publisher, 100.0, 1, 5)
    assert isinstance(rejected, Rejected) and rejected.code is CloseCode.GARBLED
    assert not publisher.subscriptions and publisher.safe_index(100.0) == 0


def test_a_second_subscribe_and_words_of_strangers() -> None:
    pair = PublisherHarness()
    publisher = pair.publisher
    publisher.receive(100.0, 9, Renew(1, 0))  # never subscribed
    publisher.pause_writing(100.0, 9)
    publisher.resume_writing(100.0, 9)
    publisher.disconnected(100.0, 9)
    assert take_all_outputs(publisher) == []
    send_subscribe(publisher, 100.0, 1, 0)
    publisher.subscribe(100.0, 1, Subscribe(VERSION, "n2", "i2"))
    assert (
        publisher_module.Close(1, CloseCode.GARBLED) in take_all_outputs(publisher)
        and not publisher.subscriptions
    )


def test_a_silent_node_is_closed_and_remembered_as_behind_for_a_time() -> None:
    pair = PublisherHarness()
    publisher, log = pair.publisher, pair.state
    send_subscribe(publisher, 100.0, 1, 0)
    revision = log.put("config/a", 1)
    publisher.source_advanced(100.0)
    take_all_outputs(publisher)
    closed_at = 100.0 + LIMITS.subscriber_timeout_s + 1.0
    publisher.tick(closed_at)
    assert publisher_module.Close(1, CloseCode.SILENT) in take_all_outputs(publisher)
    assert publisher.nodes_behind(closed_at + 1.0, revision) == ["n1"]
    report = publisher.report(closed_at + 1.0, revision)
    assert report.lost == ("n1",) and report.behind == () and report.subscribers == 0
    assert publisher.nodes_behind(closed_at + LIMITS.disconnected_node_retention_s, revision) == []


def test_over_the_rate_nodes_are_told_to_come_again_each_later_than_the_last() -> None:
    limits = replace(LIMITS, subscribe_rate=10.0, subscribe_burst=5)
    pair = PublisherHarness(limits)
    waits = []
    for number in range(30):
        pair.publisher.subscribe(100.0, number, Subscribe(VERSION, f"n{number}", "i"))
        for output in take_all_outputs(pair.publisher):
            if isinstance(output, publisher_module.Send) and isinstance(output.message, Rejected):
                assert output.message.code is CloseCode.BUSY
                waits.append(output.message.retry_after_s)
    assert len(waits) == 25 and len(pair.publisher.subscriptions) == 5
    assert all(0.1 * (n + 1) <= wait <= 0.15 * (n + 1) for n, wait in enumerate(waits))
    pair.publisher.subscribe(100.15, 99, Subscribe(VERSION, "n99", "i"))
    assert len(pair.publisher.subscriptions) == 6


def test_a_full_machine_admits_no_more_but_nodes_that_it_has() -> None:
    limits = replace(LIMITS, max_subscribers=2)
    pair = PublisherHarness(limits)
    for number in (1, 2, 3):
        send_subscribe(pair.publisher, 100.0, number, 0)
    assert sorted(pair.publisher.subscriptions) == [1, 2]
    send_subscribe(pair.publisher, 100.0, 4, 0, node="n1")
    assert sorted(pair.publisher.subscriptions) == [2, 4]


def test_the_book_of_grants_is_bounded_and_errs_to_the_safe_side() -> None:
    limits = replace(LIMITS, max_pending_changes=4)
    pair = PublisherHarness(limits)
    publisher, log = pair.publisher, pair.state
    for number in (1, 2):
        send_subscribe(publisher, 100.0, number, 0)
        publisher.renew_lease(100.0, 101.0)
        send_renew(publisher, 100.0, number, 0)
    for value in range(10):
        log.put("config/a", value)
        publisher.source_advanced(100.0)
    take_all_outputs(publisher)
    assert len(publisher.lease_grants.pending_changes) == 4 and publisher.safe_index(100.0) == 0
    send_renew(publisher, 100.0, 1, 10)
    send_renew(publisher, 100.0, 2, 6)  # within what the last mark stands for
    assert publisher.safe_index(100.0) == 3
    send_renew(publisher, 100.0, 2, 10)
    assert publisher.safe_index(100.0) == 10
