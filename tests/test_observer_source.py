"""The state that a publisher reads from its member: snapshots, and the changes since a revision."""

from __future__ import annotations

from gradegap.observer import publisher as publisher_module
from gradegap.observer.messages import (
    Change,
)
from gradegap.store import records
from tests.support.observer_harness import PublisherHarness, ReplicatedState, send_subscribe, take_all_outputs


def test_state_loaded_from_snapshot_is_sent_as_snapshot() -> None:
    harness = PublisherHarness()
    publisher, state = harness.publisher, harness.state
    first_revision = state.put("config/a", 1)
    publisher.source_advanced(100.0)
    send_subscribe(publisher, 100.0, 1, first_revision)
    other_state = ReplicatedState()
    for value in range(5):
        other_state.put("config/a", value)
    exported = other_state.machine.export_state()
    state.machine.load_state(
        records.StoreState(exported.index, exported.revision, exported.clock_ms, exported.items, [], [])
    )
    assert state.source.changes_since(first_revision) is None
    publisher.source_advanced(100.1)
    message_types = [
        type(output.message).__name__
        for output in take_all_outputs(publisher)
        if isinstance(output, publisher_module.Send)
    ]
    assert message_types == ["SnapshotPart"]
    assert publisher.safe_index(100.1) == 5


def test_changes_since_returns_subscribed_keys_in_order() -> None:
    state = ReplicatedState()
    state.transact(
        records.KeyUpdate("config/a", 1), records.KeyUpdate("notes/x", 1), records.KeyUpdate("out/s", 2)
    )
    state.put("notes/x", 2)
    state.put("config/a", None, delete=True)
    changes = state.source.changes_since(0)
    assert changes == [
        Change(1, "config/a", 1),
        Change(1, "out/s", 2),
        Change(3, "config/a", None, True),
    ]
    assert state.source.changes_since(1) == changes[2:] and state.source.changes_since(3) == []
    assert state.source.items() == [Change(1, "out/s", 2)]
