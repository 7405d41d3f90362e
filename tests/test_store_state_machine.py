"""The replicated state: transactions, sessions, expiry, history and snapshots."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gradegap.store.errors import CommandError
from gradegap.store.machine import MAX_HISTORY_EVENTS, StateMachine
from gradegap.store.records import Command, Compare, Event, Expire, KeyUpdate, encode
from gradegap.store.state_snapshot import decode_snapshot, encode_snapshot
from tests.support.state_machine_driver import StateMachineDriver


def test_transaction_is_applied_atomically() -> None:
    driver = StateMachineDriver()
    assert driver.write(KeyUpdate("a", 1), KeyUpdate("b", 2)).revision == 1
    assert driver.write(KeyUpdate("a", 3), KeyUpdate("", 4)).error.startswith("bad_key")
    assert driver.write(KeyUpdate("a", 3), KeyUpdate("a", 4)).error.startswith("twice")
    conditions = (Compare("a", 1), Compare("c", 0))
    assert driver.write(KeyUpdate("c", 5), KeyUpdate("a", delete=True), compares=conditions).succeeded
    assert not driver.write(KeyUpdate("a", 9), compares=conditions).succeeded
    assert {item.key: item.value for item in driver.machine.list()} == {"b": 2, "c": 5}
    assert driver.machine.revision == 2
    assert driver.machine.values_at(1, "") == {"a": 1, "b": 2} and driver.machine.values_at(0, "") == {}


def test_retried_write_is_applied_once() -> None:
    driver = StateMachineDriver()
    command = Command("me", 4, 61_000, "t", (), (KeyUpdate("n", 1),))
    assert driver.add(command).revision == 1
    driver.write(KeyUpdate("n", 2))
    assert driver.add(command).revision == 1 and driver.machine.items["n"].value == 2
    earlier_command = Command("me", 3, 61_000, "t", (), (KeyUpdate("n", 0),))
    assert driver.add(earlier_command).error.startswith("stale")
    driver.write(KeyUpdate("x", 1), at=61_001)  # the session ends at its deadline
    assert "me" not in driver.machine.sessions
    assert driver.add(command, 61_001).error.startswith("too_old")
    assert driver.machine.items["n"].value == 2


def test_key_with_ttl_expires_at_its_log_time() -> None:
    driver = StateMachineDriver()
    driver.write(KeyUpdate("t", 1, ttl_ms=500), KeyUpdate("u", 1))
    assert driver.machine.next_expiry() == 1500
    driver.add(Expire(), 1499)
    assert "t" in driver.machine.items
    driver.write(KeyUpdate("t", 2, ttl_ms=2000), at=1499)  # this write replaces the first expiry
    driver.add(Expire(), 1600)
    assert "t" in driver.machine.items and driver.machine.next_expiry() == 3499
    driver.add(Expire(), 3500)
    assert "t" not in driver.machine.items and driver.machine.events[-1].cause == "expired"
    assert driver.machine.next_expiry() is None


def test_history_over_its_limit_is_compacted_and_names_its_first_revision() -> None:
    driver = StateMachineDriver()
    for number in range(MAX_HISTORY_EVENTS + 10):
        driver.write(KeyUpdate("k", number), client="one", seq=number + 1)
    assert len(driver.machine.events) == MAX_HISTORY_EVENTS and driver.machine.first_retained_revision == 11
    with pytest.raises(CommandError, match=r"^compacted"):
        driver.machine.events_since(10)
    with pytest.raises(CommandError, match=r"^compacted"):
        driver.machine.values_at(9, "")
    assert driver.machine.values_at(10, "") == {"k": 9}
    with pytest.raises(CommandError, match=r"^no_such_revision"):
        driver.machine.values_at(MAX_HISTORY_EVENTS + 11, "")


def test_load_state_notifies_listeners_of_differences() -> None:
    driver, other = StateMachineDriver(), StateMachineDriver()
    driver.write(KeyUpdate("a", 1), KeyUpdate("b", 1))
    other.write(KeyUpdate("a", 1), KeyUpdate("b", 1))
    other.write(KeyUpdate("a", 2), KeyUpdate("b", delete=True))
    notified: list[Event] = []
    driver.machine.listeners.append(notified.extend)
    driver.machine.load_state(decode_snapshot(encode_snapshot(other.machine.export_state())))
    assert {(event.key, event.value, event.deleted) for event in notified} == {
        ("a", 2, False),
        ("b", None, True),
    }
    assert driver.machine.digest() == other.machine.digest()


class RandomEntriesAgainstModel(RuleBasedStateMachine):
    """Random entries: the state matches a dict, and a replica that replays the entries has the same state."""

    def __init__(self) -> None:
        super().__init__()
        self.driver = StateMachineDriver()
        self.model: dict[str, Any] = {}
        self.now_ms = 1000
        self.notified: list[Event] = []
        self.driver.machine.listeners.append(self.notified.extend)

    @rule(
        values=st.dictionaries(st.sampled_from("abcd"), st.none() | st.integers(0, 3), max_size=3),
        expected=st.none() | st.tuples(st.sampled_from("abcd"), st.integers(0, 3)),
    )
    def write(self, values: dict[str, int | None], expected: tuple[str, int] | None) -> None:
        compares = (Compare(expected[0], None, expected[1]),) if expected is not None else ()
        updates = tuple(KeyUpdate(key, value, delete=value is None) for key, value in values.items())
        result = self.driver.write(*updates, compares=compares, at=self.now_ms)
        holds = expected is None or self.model.get(expected[0]) == expected[1]
        assert result.succeeded is holds and not result.error
        if holds:
            for key, value in values.items():
                if value is None:
                    self.model.pop(key, None)
                else:
                    self.model[key] = value

    @rule(step_ms=st.integers(1, 100_000))
    def advance_clock(self, step_ms: int) -> None:
        self.now_ms += step_ms

    @rule()
    def apply_last_entry_again(self) -> None:
        if self.driver.entries:
            digest_before = self.driver.machine.digest()
            self.driver.entries.append(self.driver.entries[-1])
            self.driver.machine.apply(len(self.driver.entries), self.driver.entries[-1])
            assert self.driver.machine.digest() == digest_before

    @invariant()
    def matches_model(self) -> None:
        assert {item.key: item.value for item in self.driver.machine.list()} == self.model
        total_bytes = sum(
            len(item.key) + len(encode(item.value)) for item in self.driver.machine.items.values()
        )
        assert self.driver.machine.size_bytes == total_bytes
        assert len({(event.revision, event.position) for event in self.notified}) == len(self.notified)

    def teardown(self) -> None:
        replica = StateMachine()
        snapshot_index = len(self.driver.entries) // 2
        for index, data in enumerate(self.driver.entries, 1):
            replica.apply(index, data)
            if index == snapshot_index:  # the replica continues from a snapshot
                replica.load_state(decode_snapshot(encode_snapshot(replica.export_state())))
        assert replica.export_state() == self.driver.machine.export_state()


RandomEntriesAgainstModel.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
TestRandomEntriesAgainstModel = RandomEntriesAgainstModel.TestCase
