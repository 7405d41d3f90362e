"""Subscribers that read slowly or not at all: coalescing, turns, bounded memory, the byte budget."""

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


def test_nothing_is_sent_while_blocked_and_then_one_delta_with_the_last_of_each_key() -> None:
    pair = PublisherHarness()
    publisher, log = pair.publisher, pair.state
    first = log.put("config/a", 0)
    publisher.source_advanced(100.0)
    send_subscribe(publisher, 100.0, 1, first)
    publisher.pause_writing(100.0, 1)
    for value in range(100):
        log.put("config/a", value)
        log.put("config/b", -value)
        publisher.source_advanced(100.0)
    assert send_renew(publisher, 100.1, 1, first) == []
    publisher.resume_writing(100.2, 1)
    delta, heartbeat = [
        o.message for o in take_all_outputs(publisher) if isinstance(o, publisher_module.Send)
    ]
    assert isinstance(delta, Delta) and [(c.key, c.value) for c in delta.changes] == [
        ("config/a", 99),
        ("config/b", -99),
    ]
    assert delta.after == first and delta.revision == log.machine.revision
    assert isinstance(heartbeat, Heartbeat) and heartbeat.revision == delta.revision


def test_an_answer_never_says_more_than_was_sent() -> None:
    pair = PublisherHarness()
    publisher, log = pair.publisher, pair.state
    send_subscribe(publisher, 100.0, 1, 0)
    publisher.pause_writing(100.0, 1)
    log.put("config/a", 1)
    publisher.source_advanced(100.0)
    publisher.receive(100.0, 1, Renew(1, 0))
    assert take_all_outputs(publisher) == []
    publisher.resume_writing(100.0, 1)
    heartbeat, part = [o.message for o in take_all_outputs(publisher) if isinstance(o, publisher_module.Send)]
    assert heartbeat == Heartbeat(1, 0, 0.0) and isinstance(part, SnapshotPart) and part.revision == 1


def test_a_compacted_history_or_a_delta_larger_than_its_limit_goes_as_a_snapshot() -> None:
    pair = PublisherHarness()
    publisher, log = pair.publisher, pair.state
    first = log.put("config/a", 0)
    publisher.source_advanced(100.0)
    send_subscribe(publisher, 100.0, 1, first)
    send_subscribe(publisher, 100.0, 2, first)
    publisher.pause_writing(100.0, 1)
    for number in range(5):
        log.put(f"config/{number}", "x" * 30_000)
    publisher.source_advanced(100.0)
    kinds = [
        type(o.message).__name__ for o in take_all_outputs(publisher) if isinstance(o, publisher_module.Send)
    ]
    assert kinds == ["SnapshotPart"] * 3  # to the second only
    log.machine.events.clear()
    log.put("config/9", 1)
    publisher.source_advanced(100.1)
    publisher.resume_writing(100.2, 1)
    parts = [
        o.message
        for o in take_all_outputs(publisher)
        if isinstance(o, publisher_module.Send) and o.connection_id == 1
    ]
    assert {type(part) for part in parts} == {SnapshotPart}
    assert sum(len(part.items) for part in parts if isinstance(part, SnapshotPart)) == 7


def test_a_part_is_sent_only_when_the_transport_has_room_and_other_subscribers_go_on() -> None:
    pair = PublisherHarness()
    publisher, log = pair.publisher, pair.state
    for number in range(6):
        log.put(f"config/{number}", "x" * 40_000)
    publisher.source_advanced(100.0)
    publisher.subscribe(100.0, 1, Subscribe(VERSION, "n1", "i1"))
    subscribed_at = log.machine.revision
    assert len(publisher.take()) == 2  # accepted, and one part
    publisher.pause_writing(100.0, 1)
    assert publisher.take() == []
    send_subscribe(publisher, 100.0, 2, subscribed_at)
    log.put("config/0", "y")
    publisher.source_advanced(100.0)
    (only,) = publisher.take()
    assert only.connection_id == 2
    publisher.resume_writing(100.1, 1)
    messages = [o.message for o in take_all_outputs(publisher) if isinstance(o, publisher_module.Send)]
    assert [type(m).__name__ for m in messages] == ["SnapshotPart"] * 5 + ["Delta"]
    assert {m.revision for m in messages if isinstance(m, SnapshotPart)} == {subscribed_at}


def test_a_delta_and_the_parts_of_a_snapshot_are_the_same_objects_for_all() -> None:
    pair = PublisherHarness()
    publisher, log = pair.publisher, pair.state
    log.put("config/a", "x" * 40_000)
    log.put("config/b", "x" * 40_000)
    publisher.source_advanced(100.0)
    for number in range(1, 11):
        publisher.subscribe(100.0, number, Subscribe(VERSION, f"n{number}", f"i{number}"))
    parts = [o.message for o in take_all_outputs(publisher) if isinstance(o, publisher_module.Send)]
    assert len({id(part) for part in parts if isinstance(part, SnapshotPart)}) == 2
    assert publisher.counts["snapshots_made"] == 1
    revision = log.machine.revision
    send_renew(publisher, 100.0, 1, revision)
    log.put("notes/x", 1)  # some are moved up by a heartbeat, some are not
    publisher.source_advanced(100.0)
    send_renew(publisher, 100.0, 1, revision)
    log.put("config/a", 1)
    publisher.source_advanced(100.0)
    deltas = [o.message for o in take_all_outputs(publisher) if isinstance(o, publisher_module.Send)]
    assert len(deltas) == 10 and len({id(delta) for delta in deltas}) == 1


def test_so_many_snapshots_at_once_and_the_others_wait_in_turn() -> None:
    limits = replace(LIMITS, max_snapshot_transfers=2, subscriber_timeout_s=60.0)
    pair = PublisherHarness(limits)
    publisher, log = pair.publisher, pair.state
    log.put("config/a", "x" * 40_000)
    log.put("config/b", "x" * 40_000)
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
    publisher.disconnected(100.0, 3)  # one that waited is gone
    publisher.tick(100.0 + limits.write_stall_timeout_s + 1.0)  # those that don't read lose their place
    outputs = take_all_outputs(publisher)
    assert [o.code for o in outputs if isinstance(o, publisher_module.Close)] == [
        CloseCode.SLOW,
        CloseCode.SLOW,
    ]
    served = [o.connection_id for o in outputs if isinstance(o, publisher_module.Send)]
    assert sorted(set(served)) == [4, 5] and publisher.counts["snapshots_sent"] == 2
    assert publisher.delivery.transfers.snapshot is None and not publisher.delivery.transfers.waiting


def test_a_reader_that_never_reads_costs_no_memory_and_is_closed() -> None:
    pair = PublisherHarness()
    publisher, log = pair.publisher, pair.state
    send_subscribe(publisher, 100.0, 1, 0)
    publisher.pause_writing(100.0, 1)
    now = 100.0
    while publisher.subscriptions:
        now += 0.1
        log.put("config/a", now)
        publisher.source_advanced(now)
        publisher.receive(now, 1, Renew(1, 0))
        publisher.tick(now)
        assert len(publisher.outputs) <= 1
    assert now < 100.0 + LIMITS.write_stall_timeout_s + 1.0
    assert take_all_outputs(publisher) == [publisher_module.Close(1, CloseCode.SLOW)]
    assert publisher.counts[f"closed_{CloseCode.SLOW}"] == 1


# The budget


def test_what_a_node_is_sent_is_capped_and_what_waits_is_coalesced() -> None:
    limits = replace(
        LIMITS, subscriber_bytes_per_s=1000.0, subscriber_burst_bytes=2000, subscriber_timeout_s=60.0
    )
    pair = PublisherHarness(limits)
    publisher, log = pair.publisher, pair.state
    first = log.put("config/a", "x")
    publisher.source_advanced(100.0)
    send_subscribe(publisher, 100.0, 1, first)
    now, sent, last = 100.0, 0, first
    for step in range(1000):  # 10 s with 5 KB a second of changes to one key
        now = 100.0 + 0.01 * (step + 1)
        last = log.put("config/a", f"{step:04}" * 12)
        publisher.source_advanced(now)
        publisher.tick(now)
        for output in take_all_outputs(publisher):
            assert isinstance(output, publisher_module.Send) and isinstance(output.message, Delta)
            sent += encoded_size(output.message.changes)
            assert len(output.message.changes) == 1
    assert 9_000 <= sent <= 2_000 + 10_000 + 200
    assert publisher.counts["delayed"] > 50
    publisher.tick(now + limits.max_delta_delay_s)
    *_, final = take_all_outputs(publisher)
    assert isinstance(final, publisher_module.Send) and isinstance(final.message, Delta)
    assert final.message.revision == last and publisher.delivery.delayed == {}


def test_a_debt_is_bounded_and_a_lost_node_waits_no_more() -> None:
    limits = replace(
        LIMITS, subscriber_bytes_per_s=1000.0, subscriber_burst_bytes=2000, max_delta_delay_s=4.0
    )
    pair = PublisherHarness(limits)
    publisher, log = pair.publisher, pair.state
    log.put("config/a", "x" * 50_000)
    publisher.source_advanced(100.0)
    assert send_subscribe(publisher, 100.0, 1, 0) == ["Accepted", "SnapshotPart"]  # never delayed
    log.put("config/a", "y" * 50_000)
    publisher.source_advanced(100.0)
    assert len(take_all_outputs(publisher)) == 1  # a snapshot leaves no debt, this delta does
    log.put("config/b", 1)
    publisher.source_advanced(100.0)
    assert take_all_outputs(publisher) == [] and publisher.deadline() == pytest.approx(100.1)
    publisher.tick(103.9)
    assert take_all_outputs(publisher) == []
    publisher.tick(104.01)
    (send,) = take_all_outputs(publisher)
    assert isinstance(send, publisher_module.Send) and isinstance(send.message, Delta)
    log.put("config/a", "x" * 50_000)
    publisher.source_advanced(110.0)
    log.put("config/b", 2)
    publisher.source_advanced(110.0)
    take_all_outputs(publisher)
    assert list(publisher.delivery.delayed) == [1]
    publisher.disconnected(110.0, 1)
    assert publisher.delivery.delayed == {}


def test_deltas_for_readers_at_many_revisions_are_not_all_kept() -> None:
    limits = replace(LIMITS, max_cached_deltas=4)
    pair = PublisherHarness(limits)
    publisher, log = pair.publisher, pair.state
    for value in range(1, 21):
        log.put("config/a", value)
        publisher.source_advanced(100.0)
        send_subscribe(publisher, 100.0, value, value)
        publisher.pause_writing(100.0, value)
    for number in range(1, 21):
        publisher.resume_writing(100.0, number)
        assert len(publisher.delivery.deltas) <= 4
    sends = [o for o in take_all_outputs(publisher) if isinstance(o, publisher_module.Send)]
    assert len(sends) == 19 and {type(send.message) for send in sends} == {Delta}
