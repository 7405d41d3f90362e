"""The publisher's logic: delivery, acknowledgements, rejections, in-force checks and invalid input."""

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

# Delivery


def test_subscriber_receives_snapshot_then_deltas_and_holds_lease() -> None:
    harness = PublisherHarness()
    harness.state.put("config/a", 1)
    harness.state.put("notes/x", 1)
    number = harness.add_node("n1")
    harness.run(1.0)
    node = harness.nodes[number]
    assert harness.message_types(number)[:2] == ["Accepted", "SnapshotPart"]
    assert node.revision == 2 and harness.states[number] == {"config/a": 1}
    assert node.is_fresh(harness.now) and node.age(harness.now) < 0.5 and node.cluster == "cluster"
    harness.state.put("out/s1", {"at_ms": 1})
    harness.state.put("config/a", 2)
    harness.publisher.source_advanced(harness.now)
    harness.settle()
    assert harness.states[number] == harness.expected_state() and node.revision == 4
    harness.run(0.1)
    assert harness.publisher.nodes_behind(harness.now, 4) == []


def test_revision_without_subscribed_keys_is_sent_in_heartbeat_only() -> None:
    harness = PublisherHarness()
    harness.state.put("config/a", 1)
    number = harness.add_node("n1")
    harness.run(1.0)
    harness.received[number].clear()
    revision = harness.state.put("notes/x", 2)
    harness.publisher.source_advanced(harness.now)
    harness.run(1.0)
    assert set(harness.message_types(number)) == {"Heartbeat"} and harness.nodes[number].revision == revision


def test_acknowledgement_follows_apply_within_acknowledge_delay() -> None:
    harness = PublisherHarness()
    number = harness.add_node("n1")
    harness.run(0.5)
    node = harness.nodes[number]
    revision = harness.state.put("config/a", 1)
    harness.publisher.source_advanced(harness.now)
    for output in take_all_outputs(harness.publisher):
        assert isinstance(output, publisher_module.Send)
        node.receive(harness.now, output.message)
    output_types = [type(output) for output in node.take()]
    assert output_types == [Apply]
    node.tick(harness.now + LIMITS.acknowledge_delay_s)
    assert [output.message for output in node.take() if isinstance(output, subscriber_module.Send)] == [
        Renew(node.renewal_serial, revision)
    ]


def test_reconnected_node_receives_missing_changes_as_delta() -> None:
    harness = PublisherHarness()
    harness.state.put("config/a", 1)
    number = harness.add_node("n1")
    harness.run(0.5)
    harness.publisher.disconnected(harness.now, number)
    harness.nodes[number].disconnected(harness.now, "reset")
    harness.state.put("config/a", 2)
    harness.state.put("config/b", 1)
    harness.state.put("config/b", None, delete=True)
    harness.received[number].clear()
    harness.run(1.0)
    assert harness.message_types(number)[:2] == ["Accepted", "Delta"]
    delta = harness.received[number][1]
    assert isinstance(delta, Delta) and [change.key for change in delta.changes] == ["config/a", "config/b"]
    assert harness.states[number] == {"config/a": 2}


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
def test_invalid_subscription_is_rejected_and_counted(message: Subscribe, code: CloseCode) -> None:
    harness = PublisherHarness()
    harness.publisher.subscribe(100.0, 1, message)
    send, close = take_all_outputs(harness.publisher)
    assert isinstance(send, publisher_module.Send) and isinstance(send.message, Rejected)
    assert send.message.code is code and close == publisher_module.Close(1, code)
    assert not harness.publisher.subscriptions and harness.publisher.counts[f"rejected_{code}"] == 1


def test_every_close_code_has_a_remedy() -> None:
    assert set(REMEDIES) == set(CloseCode)
    error = ObserverError(CloseCode.CLUSTER, "m1 is of cluster x")
    assert (
        error.code is CloseCode.CLUSTER and "m1 is of cluster x" in str(error) and error.remedy in str(error)
    )


# In force


def test_revision_is_in_force_once_all_machines_report_it() -> None:
    tally = InForceTally(9, ["m0", "m1"])
    tally.add_report(MachineReport("m0", 9, 2, behind=("n1",), lost=("n7", "n8")))
    tally.add_report(MachineReport("m9", 9, 2, behind=("n5",)))
    verdict = tally.verdict()
    assert not verdict.in_force and verdict.unreachable == ("m1",) and verdict.missing == ("n1", "n7", "n8")
    tally.add_report(MachineReport("m1", 9, 3, arrived=("n7", "n8")))
    assert tally.verdict().missing == ("n1",)
    tally.add_report(MachineReport("m0", 9, 2))
    assert tally.verdict().in_force and tally.verdict().subscribers == 5


# Invalid input and limits


def test_acknowledgement_of_unsent_revision_closes_subscription() -> None:
    harness = PublisherHarness()
    publisher = harness.publisher
    send_subscribe(publisher, 100.0, 1, 0)
    publisher.renew_lease(100.0, 101.0)
    (rejected,) = send_renew(publisher, 100.0, 1, 5)
    assert isinstance(rejected, Rejected) and rejected.code is CloseCode.GARBLED
    assert not publisher.subscriptions and publisher.safe_index(100.0) == 0


def test_second_subscribe_closes_and_unknown_connections_are_ignored() -> None:
    harness = PublisherHarness()
    publisher = harness.publisher
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


def test_silent_node_is_closed_and_reported_lost_until_retention_ends() -> None:
    harness = PublisherHarness()
    publisher, state = harness.publisher, harness.state
    send_subscribe(publisher, 100.0, 1, 0)
    revision = state.put("config/a", 1)
    publisher.source_advanced(100.0)
    take_all_outputs(publisher)
    closed_at = 100.0 + LIMITS.subscriber_timeout_s + 1.0
    publisher.tick(closed_at)
    assert publisher_module.Close(1, CloseCode.SILENT) in take_all_outputs(publisher)
    assert publisher.nodes_behind(closed_at + 1.0, revision) == ["n1"]
    report = publisher.report(closed_at + 1.0, revision)
    assert report.lost == ("n1",) and report.behind == () and report.subscribers == 0
    assert publisher.nodes_behind(closed_at + LIMITS.disconnected_node_retention_s, revision) == []


def test_subscriptions_above_rate_get_increasing_retry_times() -> None:
    limits = replace(LIMITS, subscribe_rate=10.0, subscribe_burst=5)
    harness = PublisherHarness(limits)
    waits = []
    for number in range(30):
        harness.publisher.subscribe(100.0, number, Subscribe(VERSION, f"n{number}", "i"))
        for output in take_all_outputs(harness.publisher):
            if isinstance(output, publisher_module.Send) and isinstance(output.message, Rejected):
                assert output.message.code is CloseCode.BUSY
                waits.append(output.message.retry_after_s)
    assert len(waits) == 25 and len(harness.publisher.subscriptions) == 5
    assert all(0.1 * (n + 1) <= wait <= 0.15 * (n + 1) for n, wait in enumerate(waits))
    harness.publisher.subscribe(100.15, 99, Subscribe(VERSION, "n99", "i"))
    assert len(harness.publisher.subscriptions) == 6


def test_full_machine_admits_only_nodes_it_already_has() -> None:
    limits = replace(LIMITS, max_subscribers=2)
    harness = PublisherHarness(limits)
    for number in (1, 2, 3):
        send_subscribe(harness.publisher, 100.0, number, 0)
    assert sorted(harness.publisher.subscriptions) == [1, 2]
    send_subscribe(harness.publisher, 100.0, 4, 0, node="n1")
    assert sorted(harness.publisher.subscriptions) == [2, 4]


def test_pending_changes_are_bounded_and_merged_conservatively() -> None:
    limits = replace(LIMITS, max_pending_changes=4)
    harness = PublisherHarness(limits)
    publisher, state = harness.publisher, harness.state
    for number in (1, 2):
        send_subscribe(publisher, 100.0, number, 0)
        publisher.renew_lease(100.0, 101.0)
        send_renew(publisher, 100.0, number, 0)
    for value in range(10):
        state.put("config/a", value)
        publisher.source_advanced(100.0)
    take_all_outputs(publisher)
    assert len(publisher.lease_grants.pending_changes) == 4 and publisher.safe_index(100.0) == 0
    send_renew(publisher, 100.0, 1, 10)
    send_renew(publisher, 100.0, 2, 6)  # among the changes merged into the last pending one
    assert publisher.safe_index(100.0) == 3
    send_renew(publisher, 100.0, 2, 10)
    assert publisher.safe_index(100.0) == 10
