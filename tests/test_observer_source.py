"""What a publisher reads from a member's state: snapshots and the changes since a revision."""

from __future__ import annotations

from gradegap.observer import publisher as publisher_module
from gradegap.observer.messages import (
    Change,
)
from gradegap.store import records
from tests.support.observer_harness import PublisherHarness, ReplicatedState, send_subscribe, take_all_outputs


def test_a_machine_that_loads_a_snapshot_serves_it_as_one() -> None:
    pair = PublisherHarness()
    publisher, log = pair.publisher, pair.state
    first = log.put("config/a", 1)
    publisher.source_advanced(100.0)
    send_subscribe(publisher, 100.0, 1, first)
    other = ReplicatedState()
    for value in range(5):
        other.put("config/a", value)
    state = other.machine.export_state()
    log.machine.load_state(
        records.StoreState(state.index, state.revision, state.clock_ms, state.items, [], [])
    )
    assert log.source.changes_since(first) is None
    publisher.source_advanced(100.1)
    kinds = [
        type(o.message).__name__ for o in take_all_outputs(publisher) if isinstance(o, publisher_module.Send)
    ]
    assert kinds == ["SnapshotPart"]
    assert publisher.safe_index(100.1) == 5


def test_changes_since_are_those_of_subscribed_keys_in_order() -> None:
    log = ReplicatedState()
    log.transact(
        records.KeyUpdate("config/a", 1), records.KeyUpdate("notes/x", 1), records.KeyUpdate("out/s", 2)
    )
    log.put("notes/x", 2)
    log.put("config/a", None, delete=True)
    changes = log.source.changes_since(0)
    assert changes == [
        Change(1, "config/a", 1),
        Change(1, "out/s", 2),
        Change(3, "config/a", None, True),
    ]
    assert log.source.changes_since(1) == changes[2:] and log.source.changes_since(3) == []
    assert log.source.items() == [Change(1, "out/s", 2)]
