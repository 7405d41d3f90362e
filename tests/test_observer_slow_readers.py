"""Subscribers that read slowly or not at all: coalescing, transfer limits, bounded memory, byte budget."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gradegap.observer import publisher as publisher_module
from gradegap.observer.changes import encoded_size
from gradegap.observer.messages import (
    VERSION,
    CloseCode,
    Delta,
    Heartbeat,
    Renew,
    SnapshotPart,
    Subscribe,
)
from tests.support.observer_harness import (
    LIMITS,
    PublisherHarness,
    send_renew,
    send_subscribe,
    take_all_outputs,
)

# Slow readers


def test_paused_subscriber_gets_one_coalesced_delta_when_resumed() -> None:
    harness = PublisherHarness()
    publisher, state = harness.publisher, harness.state
    first_revision = state.put("config/a", 0)
    publisher.source_advanced(100.0)
    send_subscribe(publisher, 100.0, 1, first_revision)
    publisher.pause_writing(100.0, 1)
    for value in range(100):
        state.put("config/a", value)
        state.put("config/b", -value)
        publisher.source_advanced(100.0)
    assert send_renew(publisher, 100.1, 1, first_revision) == []
    publisher.resume_writing(100.2, 1)
    delta, heartbeat = [
        output.message for output in take_all_outputs(publisher) if isinstance(output, publisher_module.Send)
    ]
    assert isinstance(delta, Delta) and [(change.key, change.value) for change in delta.changes] == [
        ("config/a", 99),
        ("config/b", -99),
    ]
    assert delta.after == first_revision and delta.revision == state.machine.revision
    assert isinstance(heartbeat, Heartbeat) and heartbeat.revision == delta.revision


def test_heartbeat_never_confirms_more_than_was_sent() -> None:
    harness = PublisherHarness()
    publisher, state = harness.publisher, harness.state
    send_subscribe(publisher, 100.0, 1, 0)
    publisher.pause_writing(100.0, 1)
    state.put("config/a", 1)
    publisher.source_advanced(100.0)
    publisher.receive(100.0, 1, Renew(1, 0))
    assert take_all_outputs(publisher) == []
    publisher.resume_writing(100.0, 1)
    heartbeat, part = [
        output.message for output in take_all_outputs(publisher) if isinstance(output, publisher_module.Send)
    ]
    assert heartbeat == Heartbeat(1, 0, 0.0) and isinstance(part, SnapshotPart) and part.revision == 1


def test_compacted_history_or_oversized_delta_is_sent_as_snapshot() -> None:
    harness = PublisherHarness()
    publisher, state = harness.publisher, harness.state
    first_revision = state.put("config/a", 0)
    publisher.source_advanced(100.0)
    send_subscribe(publisher, 100.0, 1, first_revision)
    send_subscribe(publisher, 100.0, 2, first_revision)
    publisher.pause_writing(100.0, 1)
    for number in range(5):
        state.put(f"config/{number}", "x" * 30_000)
    publisher.source_advanced(100.0)
    message_types = [
        type(output.message).__name__
        for output in take_all_outputs(publisher)
        if isinstance(output, publisher_module.Send)
    ]
    assert message_types == ["SnapshotPart"] * 3  # to the second node only
    state.machine.events.clear()
    state.put("config/9", 1)
    publisher.source_advanced(100.1)
    publisher.resume_writing(100.2, 1)
    parts = [
        output.message
        for output in take_all_outputs(publisher)
        if isinstance(output, publisher_module.Send) and output.connection_id == 1
    ]
    assert {type(part) for part in parts} == {SnapshotPart}
    assert sum(len(part.items) for part in parts if isinstance(part, SnapshotPart)) == 7


def test_snapshot_part_waits_for_transport_without_delaying_others() -> None:
    harness = PublisherHarness()
    publisher, state = harness.publisher, harness.state
    for number in range(6):
        state.put(f"config/{number}", "x" * 40_000)
    publisher.source_advanced(100.0)
    publisher.subscribe(100.0, 1, Subscribe(VERSION, "n1", "i1"))
    subscribed_at = state.machine.revision
    assert len(publisher.take()) == 2  # Accepted and one part
    publisher.pause_writing(100.0, 1)
    assert publisher.take() == []
    send_subscribe(publisher, 100.0, 2, subscribed_at)
    state.put("config/0", "y")
    publisher.source_advanced(100.0)
    (send,) = publisher.take()
    assert send.connection_id == 2
    publisher.resume_writing(100.1, 1)
    messages = [
        output.message for output in take_all_outputs(publisher) if isinstance(output, publisher_module.Send)
    ]
    assert [type(message).__name__ for message in messages] == ["SnapshotPart"] * 5 + ["Delta"]
    assert {message.revision for message in messages if isinstance(message, SnapshotPart)} == {subscribed_at}


def test_deltas_and_snapshot_parts_are_shared_objects() -> None:
    harness = PublisherHarness()
    publisher, state = harness.publisher, harness.state
    state.put("config/a", "x" * 40_000)
    state.put("config/b", "x" * 40_000)
    publisher.source_advanced(100.0)
    for number in range(1, 11):
        publisher.subscribe(100.0, number, Subscribe(VERSION, f"n{number}", f"i{number}"))
    parts = [
        output.message for output in take_all_outputs(publisher) if isinstance(output, publisher_module.Send)
    ]
    assert len({id(part) for part in parts if isinstance(part, SnapshotPart)}) == 2
    assert publisher.counts["snapshots_made"] == 1
    revision = state.machine.revision
    send_renew(publisher, 100.0, 1, revision)
    state.put("notes/x", 1)  # a heartbeat brings only the first node to this revision
    publisher.source_advanced(100.0)
    send_renew(publisher, 100.0, 1, revision)
    state.put("config/a", 1)
    publisher.source_advanced(100.0)
    deltas = [
        output.message for output in take_all_outputs(publisher) if isinstance(output, publisher_module.Send)
    ]
    assert len(deltas) == 10 and len({id(delta) for delta in deltas}) == 1


def test_snapshot_transfers_above_limit_wait_in_order() -> None:
    limits = replace(LIMITS, max_snapshot_transfers=2, subscriber_timeout_s=60.0)
    harness = PublisherHarness(limits)
    publisher, state = harness.publisher, harness.state
    state.put("config/a", "x" * 40_000)
    state.put("config/b", "x" * 40_000)
    publisher.source_advanced(100.0)
    for number in range(1, 6):
        publisher.subscribe(100.0, number, Subscribe(VERSION, f"n{number}", f"i{number}"))
    publisher.take()
    for number in (1, 2):
        publisher.pause_writing(100.0, number)
    assert (
        publisher.take() == []
        and len(publisher.delivery.transfers.active) == 2
        and len(publisher.delivery.transfers.waiting) == 3
    )
    publisher.disconnected(100.0, 3)  # a waiting node disconnects
    publisher.tick(100.0 + limits.write_stall_timeout_s + 1.0)  # nodes that don't read are disconnected
    outputs = take_all_outputs(publisher)
    assert [output.code for output in outputs if isinstance(output, publisher_module.Close)] == [
        CloseCode.SLOW,
        CloseCode.SLOW,
    ]
    served_connection_ids = [
        output.connection_id for output in outputs if isinstance(output, publisher_module.Send)
    ]
    assert sorted(set(served_connection_ids)) == [4, 5] and publisher.counts["snapshots_sent"] == 2
    assert publisher.delivery.transfers.snapshot is None and not publisher.delivery.transfers.waiting


def test_subscriber_that_never_reads_uses_no_memory_and_is_closed() -> None:
    harness = PublisherHarness()
    publisher, state = harness.publisher, harness.state
    send_subscribe(publisher, 100.0, 1, 0)
    publisher.pause_writing(100.0, 1)
    now = 100.0
    while publisher.subscriptions:
        now += 0.1
        state.put("config/a", now)
        publisher.source_advanced(now)
        publisher.receive(now, 1, Renew(1, 0))
        publisher.tick(now)
        assert len(publisher.outputs) <= 1
    assert now < 100.0 + LIMITS.write_stall_timeout_s + 1.0
    assert take_all_outputs(publisher) == [publisher_module.Close(1, CloseCode.SLOW)]
    assert publisher.counts[f"closed_{CloseCode.SLOW}"] == 1


# The byte budget


def test_byte_budget_limits_rate_and_delayed_changes_are_coalesced() -> None:
    limits = replace(
        LIMITS, subscriber_bytes_per_s=1000.0, subscriber_burst_bytes=2000, subscriber_timeout_s=60.0
    )
    harness = PublisherHarness(limits)
    publisher, state = harness.publisher, harness.state
    first_revision = state.put("config/a", "x")
    publisher.source_advanced(100.0)
    send_subscribe(publisher, 100.0, 1, first_revision)
    now, sent_bytes, last_revision = 100.0, 0, first_revision
    for step in range(1000):  # 10 s with 5 KB per second of changes to one key
        now = 100.0 + 0.01 * (step + 1)
        last_revision = state.put("config/a", f"{step:04}" * 12)
        publisher.source_advanced(now)
        publisher.tick(now)
        for output in take_all_outputs(publisher):
            assert isinstance(output, publisher_module.Send) and isinstance(output.message, Delta)
            sent_bytes += encoded_size(output.message.changes)
            assert len(output.message.changes) == 1
    assert 9_000 <= sent_bytes <= 2_000 + 10_000 + 200
    assert publisher.counts["delayed"] > 50
    publisher.tick(now + limits.max_delta_delay_s)
    *_, final = take_all_outputs(publisher)
    assert isinstance(final, publisher_module.Send) and isinstance(final.message, Delta)
    assert final.message.revision == last_revision and publisher.delivery.delayed == {}


def test_budget_debt_is_bounded_and_dropped_with_the_connection() -> None:
    limits = replace(
        LIMITS, subscriber_bytes_per_s=1000.0, subscriber_burst_bytes=2000, max_delta_delay_s=4.0
    )
    harness = PublisherHarness(limits)
    publisher, state = harness.publisher, harness.state
    state.put("config/a", "x" * 50_000)
    publisher.source_advanced(100.0)
    assert send_subscribe(publisher, 100.0, 1, 0) == ["Accepted", "SnapshotPart"]  # never delayed
    state.put("config/a", "y" * 50_000)
    publisher.source_advanced(100.0)
    assert len(take_all_outputs(publisher)) == 1  # the snapshot left no debt, this delta does
    state.put("config/b", 1)
    publisher.source_advanced(100.0)
    assert take_all_outputs(publisher) == [] and publisher.deadline() == pytest.approx(100.1)
    publisher.tick(103.9)
    assert take_all_outputs(publisher) == []
    publisher.tick(104.01)
    (send,) = take_all_outputs(publisher)
    assert isinstance(send, publisher_module.Send) and isinstance(send.message, Delta)
    state.put("config/a", "x" * 50_000)
    publisher.source_advanced(110.0)
    state.put("config/b", 2)
    publisher.source_advanced(110.0)
    take_all_outputs(publisher)
    assert list(publisher.delivery.delayed) == [1]
    publisher.disconnected(110.0, 1)
    assert publisher.delivery.delayed == {}


def test_delta_cache_is_bounded_for_subscribers_at_many_revisions() -> None:
    limits = replace(LIMITS, max_cached_deltas=4)
    harness = PublisherHarness(limits)
    publisher, state = harness.publisher, harness.state
    for value in range(1, 21):
        state.put("config/a", value)
        publisher.source_advanced(100.0)
        send_subscribe(publisher, 100.0, value, value)
        publisher.pause_writing(100.0, value)
    for number in range(1, 21):
        publisher.resume_writing(100.0, number)
        assert len(publisher.delivery.deltas) <= 4
    sends = [output for output in take_all_outputs(publisher) if isinstance(output, publisher_module.Send)]
    assert len(sends) == 19 and {type(send.message) for send in sends} == {Delta}
