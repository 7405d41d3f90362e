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


def test_a_transaction_is_applied_whole_or_not_at_all() -> None:
    log = StateMachineDriver()
    assert log.write(KeyUpdate("a", 1), KeyUpdate("b", 2)).revision == 1
    assert log.write(KeyUpdate("a", 3), KeyUpdate("", 4)).error.startswith("bad_key")
    assert log.write(KeyUpdate("a", 3), KeyUpdate("a", 4)).error.startswith("twice")
    held = (Compare("a", 1), Compare("c", 0))
    assert log.write(KeyUpdate("c", 5), KeyUpdate("a", delete=True), compares=held).succeeded
    assert not log.write(KeyUpdate("a", 9), compares=held).succeeded
    assert {i.key: i.value for i in log.machine.list()} == {"b": 2, "c": 5}
    assert log.machine.revision == 2
    assert log.machine.values_at(1, "") == {"a": 1, "b": 2} and log.machine.values_at(0, "") == {}


def test_a_retried_write_is_applied_once() -> None:
    log = StateMachineDriver()
    once = Command("me", 4, 61_000, "t", (), (KeyUpdate("n", 1),))
    assert log.add(once).revision == 1
    log.write(KeyUpdate("n", 2))
    assert log.add(once).revision == 1 and log.machine.items["n"].value == 2
    early = Command("me", 3, 61_000, "t", (), (KeyUpdate("n", 0),))
    assert log.add(early).error.startswith("stale")
    log.write(KeyUpdate("x", 1), at=61_001)  # time goes by, and the session is forgotten
    assert "me" not in log.machine.sessions
    assert log.add(once, 61_001).error.startswith("too_old")
    assert log.machine.items["n"].value == 2


def test_keys_expire_by_log_time_and_not_before() -> None:
    log = StateMachineDriver()
    log.write(KeyUpdate("t", 1, ttl_ms=500), KeyUpdate("u", 1))
    assert log.machine.next_expiry() == 1500
    log.add(Expire(), 1499)
    assert "t" in log.machine.items
    log.write(KeyUpdate("t", 2, ttl_ms=2000), at=1499)  # renewed: the first end is void
    log.add(Expire(), 1600)
    assert "t" in log.machine.items and log.machine.next_expiry() == 3499
    log.add(Expire(), 3500)
    assert "t" not in log.machine.items and log.machine.events[-1].cause == "expired"
    assert log.machine.next_expiry() is None


def test_history_is_bounded_and_says_where_it_begins() -> None:
    log = StateMachineDriver()
    for k in range(MAX_HISTORY_EVENTS + 10):
        log.write(KeyUpdate("k", k), client="one", seq=k + 1)
    assert len(log.machine.events) == MAX_HISTORY_EVENTS and log.machine.first_retained_revision == 11
    with pytest.raises(CommandError, match=r"^compacted"):
        log.machine.events_since(10)
    with pytest.raises(CommandError, match=r"^compacted"):
        log.machine.values_at(9, "")
    assert log.machine.values_at(10, "") == {"k": 9}
    with pytest.raises(CommandError, match=r"^no_such_revision"):
        log.machine.values_at(MAX_HISTORY_EVENTS + 11, "")


def test_a_loaded_state_notifies_listeners_of_what_changed() -> None:
    log, other = StateMachineDriver(), StateMachineDriver()
    log.write(KeyUpdate("a", 1), KeyUpdate("b", 1))
    other.write(KeyUpdate("a", 1), KeyUpdate("b", 1))
    other.write(KeyUpdate("a", 2), KeyUpdate("b", delete=True))
    seen: list[Event] = []
    log.machine.listeners.append(seen.extend)
    log.machine.load_state(decode_snapshot(encode_snapshot(other.machine.export_state())))
    assert {(e.key, e.value, e.deleted) for e in seen} == {("a", 2, False), ("b", None, True)}
    assert log.machine.digest() == other.machine.digest()


class Replay(RuleBasedStateMachine):
    """Any entries, in any order: the machine follows a plain dict, and every replica comes out the same."""

    def __init__(self) -> None:
        super().__init__()
        self.log = StateMachineDriver()
        self.model: dict[str, Any] = {}
        self.now = 1000
        self.seen: list[Event] = []
        self.log.machine.listeners.append(self.seen.extend)

    @rule(
        ops=st.dictionaries(st.sampled_from("abcd"), st.none() | st.integers(0, 3), max_size=3),
        if_is=st.none() | st.tuples(st.sampled_from("abcd"), st.integers(0, 3)),
    )
    def write(self, ops: dict[str, int | None], if_is: tuple[str, int] | None) -> None:
        compares = (Compare(if_is[0], None, if_is[1]),) if if_is is not None else ()
        made = tuple(KeyUpdate(k, v, delete=v is None) for k, v in ops.items())
        result = self.log.write(*made, compares=compares, at=self.now)
        holds = if_is is None or self.model.get(if_is[0]) == if_is[1]
        assert result.succeeded is holds and not result.error
        if holds:
            for k, v in ops.items():
                if v is None:
                    self.model.pop(k, None)
                else:
                    self.model[k] = v

    @rule(ms=st.integers(1, 100_000))
    def time(self, ms: int) -> None:
        self.now += ms

    @rule()
    def again(self) -> None:
        if self.log.entries:
            before = self.log.machine.digest()
            self.log.entries.append(self.log.entries[-1])
            self.log.machine.apply(len(self.log.entries), self.log.entries[-1])
            assert self.log.machine.digest() == before

    @invariant()
    def as_the_model(self) -> None:
        assert {i.key: i.value for i in self.log.machine.list()} == self.model
        size = sum(len(i.key) + len(encode(i.value)) for i in self.log.machine.items.values())
        assert self.log.machine.size_bytes == size
        assert len({(e.revision, e.position) for e in self.seen}) == len(self.seen)

    def teardown(self) -> None:
        again = StateMachine()
        half = len(self.log.entries) // 2
        for index, data in enumerate(self.log.entries, 1):
            again.apply(index, data)
            if index == half:  # a replica that came by a snapshot
                again.load_state(decode_snapshot(encode_snapshot(again.export_state())))
        assert again.export_state() == self.log.machine.export_state()


Replay.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
TestReplay = Replay.TestCase
