"""The publisher's and the subscriber's logic, joined without sockets and driven by a told clock."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from gradegap.observer import publisher as publisher_module
from gradegap.observer import subscriber as subscriber_module
from gradegap.observer.changes import encoded_size, is_subscribed
from gradegap.observer.errors import REMEDIES, ObserverError
from gradegap.observer.limits import Limits
from gradegap.observer.messages import (
    VERSION,
    Accepted,
    Change,
    CloseCode,
    Delta,
    FromPublisher,
    FromSubscriber,
    Heartbeat,
    Leave,
    Rejected,
    Renew,
    SnapshotPart,
    Subscribe,
)
from gradegap.observer.publisher import Publisher
from gradegap.observer.selection import Backoff, MachineAddress, Selection, rendezvous_order
from gradegap.observer.source import MachineSource
from gradegap.observer.subscriber import Apply, Connect, Disconnect, LeaseChanged, Subscriber
from gradegap.store import records
from gradegap.store.in_force import InForceTally, MachineReport
from gradegap.store.machine import StateMachine

LIMITS = Limits()
MACHINES = [
    MachineAddress(f"m{number}", f"127.0.0.1:{7500 + number}", f"r{number % 3}") for number in range(6)
]


class Log:
    """A member's state, with entries written straight into it."""

    def __init__(self) -> None:
        self.machine = StateMachine()
        self.source = MachineSource(self.machine)
        self.seq = 0

    def put(self, key: str, value: object, delete: bool = False) -> int:
        """Commit one change; its revision."""
        return self.transact(records.KeyUpdate(key, value, delete))

    def transact(self, *ops: records.KeyUpdate) -> int:
        self.seq += 1
        command = records.Command(f"c{self.seq}", 1, 10**12, "test", (), ops)
        logged = records.LogRecord(0, 0, command)
        self.machine.apply(self.machine.index + 1, records.encode(logged))
        return self.machine.revision


class Pair:
    """One publisher, and nodes that talk to it over lossless links."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        self.log = Log()
        self.now = 100.0
        self.limits = limits
        self.publisher = Publisher("cluster", "m0", self.log.source, limits, self.now, random.Random(1))
        self.nodes: dict[int, Subscriber] = {}
        self.states: dict[int, dict[str, object]] = {}
        self.received: dict[int, list[FromPublisher]] = {}
        self.sent: dict[int, list[FromSubscriber]] = {}
        self.closed: dict[int, CloseCode] = {}
        self.blocked: set[int] = set()

    def node(self, name: str, instance: str = "") -> int:
        """A new node; its connection's number."""
        number = len(self.nodes) + 1
        node = Subscriber(
            name, instance or f"i{number}", "r0", MACHINES[:1], self.limits, self.now, random.Random(number)
        )
        self.nodes[number] = node
        self.states[number] = {}
        self.received[number] = []
        self.sent[number] = []
        return number

    def run(self, seconds: float, lease: bool = True) -> None:
        """Let time pass in steps of 10 ms."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.01
            if lease:
                self.publisher.renew_lease(self.now, self.now + 0.9)
            self.publisher.tick(self.now)
            for node in self.nodes.values():
                if self.now >= node.deadline():
                    node.tick(self.now)
            self.settle()

    def settle(self) -> None:
        busy = True
        while busy:
            busy = self._from_publisher()
            for number in list(self.nodes):
                busy |= self._from_node(number)

    def _from_publisher(self) -> bool:
        outputs = self.publisher.take()
        for output in outputs:
            node = self.nodes[output.connection_id]
            if isinstance(output, publisher_module.Send):
                self.received[output.connection_id].append(output.message)
                node.receive(self.now, output.message)
            else:
                self.closed[output.connection_id] = output.code
                node.disconnected(self.now, output.code)
        return bool(outputs)

    def _from_node(self, number: int) -> bool:
        node = self.nodes[number]
        outputs = node.take()
        for output in outputs:
            match output:
                case Connect():
                    node.connected(self.now)
                case Disconnect():
                    self.publisher.disconnected(self.now, number)
                case subscriber_module.Send():
                    self.sent[number].append(output.message)
                    if isinstance(output.message, Subscribe):
                        self.publisher.subscribe(self.now, number, output.message)
                    else:
                        self.publisher.receive(self.now, number, output.message)
                case Apply():
                    self._apply(number, output)
        return bool(outputs)

    def _apply(self, number: int, apply: Apply) -> None:
        if apply.is_snapshot:
            self.states[number] = {}
        for change in apply.changes:
            if change.deleted:
                self.states[number].pop(change.key, None)
            else:
                self.states[number][change.key] = change.value

    def kinds(self, number: int) -> list[str]:
        return [type(message).__name__ for message in self.received[number]]

    def expected(self) -> dict[str, object]:
        return {k: i.value for k, i in self.log.machine.items.items() if is_subscribed(k)}


def renewed(
    publisher: Publisher, now: float, number: int, revision: int, serial: int = 1
) -> list[FromPublisher]:
    """Send a Renew; the messages that answer it."""
    publisher.receive(now, number, Renew(serial, revision))
    return [o.message for o in drained(publisher) if isinstance(o, publisher_module.Send)]


def drained(publisher: Publisher) -> list[publisher_module.Output]:
    outputs: list[publisher_module.Output] = []
    while more := publisher.take():
        outputs += more
    return outputs


def subscribed(publisher: Publisher, now: float, number: int, revision: int, node: str = "") -> list[str]:
    """Subscribe and drain; the kinds of what is answered."""
    message = Subscribe(VERSION, node or f"n{number}", f"i{number}", "r0", "", revision)
    publisher.subscribe(now, number, message)
    return [type(o.message).__name__ for o in drained(publisher) if isinstance(o, publisher_module.Send)]


# The main path


def test_a_node_gets_a_snapshot_then_deltas_and_holds_a_lease() -> None:
    pair = Pair()
    pair.log.put("config/a", 1)
    pair.log.put("notes/x", 1)
    number = pair.node("n1")
    pair.run(1.0)
    node = pair.nodes[number]
    assert pair.kinds(number)[:2] == ["Accepted", "SnapshotPart"]
    assert node.revision == 2 and pair.states[number] == {"config/a": 1}
    assert node.fresh(pair.now) and node.age(pair.now) < 0.5 and node.cluster == "cluster"
    pair.log.put("out/s1", {"at_ms": 1})
    pair.log.put("config/a", 2)
    pair.publisher.source_advanced(pair.now)
    pair.settle()
    assert pair.states[number] == pair.expected() and node.revision == 4
    pair.run(0.1)
    assert pair.publisher.nodes_behind(pair.now, 4) == []


def test_a_revision_without_subscribed_keys_comes_with_a_heartbeat_only() -> None:
    pair = Pair()
    pair.log.put("config/a", 1)
    number = pair.node("n1")
    pair.run(1.0)
    pair.received[number].clear()
    revision = pair.log.put("notes/x", 2)
    pair.publisher.source_advanced(pair.now)
    pair.run(1.0)
    assert set(pair.kinds(number)) == {"Heartbeat"} and pair.nodes[number].revision == revision


def test_an_acknowledgement_comes_after_the_apply_and_within_the_batch() -> None:
    pair = Pair()
    number = pair.node("n1")
    pair.run(0.5)
    node = pair.nodes[number]
    revision = pair.log.put("config/a", 1)
    pair.publisher.source_advanced(pair.now)
    for output in drained(pair.publisher):
        assert isinstance(output, publisher_module.Send)
        node.receive(pair.now, output.message)
    kinds = [type(output) for output in node.take()]
    assert kinds == [Apply]
    node.tick(pair.now + LIMITS.acknowledge_delay_s)
    assert [o.message for o in node.take() if isinstance(o, subscriber_module.Send)] == [
        Renew(node.renewal_serial, revision)
    ]


def test_a_node_that_comes_back_gets_what_it_lacks() -> None:
    pair = Pair()
    pair.log.put("config/a", 1)
    number = pair.node("n1")
    pair.run(0.5)
    pair.publisher.disconnected(pair.now, number)
    pair.nodes[number].disconnected(pair.now, "reset")
    pair.log.put("config/a", 2)
    pair.log.put("config/b", 1)
    pair.log.put("config/b", None, delete=True)
    pair.received[number].clear()
    pair.run(1.0)
    assert pair.kinds(number)[:2] == ["Accepted", "Delta"]
    delta = pair.received[number][1]
    assert isinstance(delta, Delta) and [c.key for c in delta.changes] == ["config/a", "config/b"]
    assert pair.states[number] == {"config/a": 2}


# Leases


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
    assert LeaseChanged(False) in node.take() and not node.fresh(0.9)


def test_a_machine_without_a_lease_grants_none_and_one_with_grants_no_more_than_it_has() -> None:
    pair = Pair()
    subscribed(pair.publisher, 100.0, 1, 0)
    assert renewed(pair.publisher, 100.0, 1, 0) == [Heartbeat(1, 0, 0.0)]
    pair.publisher.renew_lease(100.0, 100.75)
    assert renewed(pair.publisher, 100.25, 1, 0) == [Heartbeat(1, 0, 0.5)]
    assert renewed(pair.publisher, 100.75, 1, 0) == [Heartbeat(1, 0, 0.0)]


def test_safe_index_waits_for_each_node_that_may_still_decide() -> None:
    pair = Pair()
    publisher = pair.publisher
    revision = pair.log.put("config/a", 1)
    publisher.source_advanced(100.0)
    for number in (1, 2, 3):
        subscribed(publisher, 100.0, number, revision)
    publisher.renew_lease(100.0, 101.0)
    for number in (1, 2):  # the third has no lease
        renewed(publisher, 100.0, number, revision)
    assert publisher.safe_index(100.0) == 1
    later = pair.log.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    drained(publisher)
    assert publisher.safe_index(100.1) == 1
    renewed(publisher, 100.2, 1, later)
    assert publisher.safe_index(100.2) == 1
    publisher.disconnected(100.3, 2)  # it may still decide
    assert publisher.safe_index(100.9) == 1
    assert publisher.nodes_behind(100.9, later) == ["n2", "n3"]
    assert publisher.safe_index(101.0) == 2


def test_a_node_that_leaves_is_not_waited_for() -> None:
    pair = Pair()
    publisher = pair.publisher
    subscribed(publisher, 100.0, 1, 0)
    publisher.renew_lease(100.0, 101.0)
    renewed(publisher, 100.0, 1, 0)
    pair.log.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    assert publisher.safe_index(100.1) == 0
    publisher.receive(100.2, 1, Leave())
    assert publisher.safe_index(100.2) == 1 and publisher.nodes_behind(100.2, 1) == []


def test_no_lease_for_a_node_that_lacks_what_was_told_as_safe() -> None:
    pair = Pair()
    publisher = pair.publisher
    subscribed(publisher, 100.0, 1, 0)
    publisher.renew_lease(100.0, 101.0)
    pair.log.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    drained(publisher)
    assert publisher.safe_index(100.1) == 1  # nobody holds a lease
    assert renewed(publisher, 100.2, 1, 0, serial=2) == [Heartbeat(2, 1, 0.0)]
    answer = renewed(publisher, 100.3, 1, 1, serial=3)[0]
    assert isinstance(answer, Heartbeat) and answer.lease_s == pytest.approx(0.7)


def test_a_lease_of_the_machine_needs_all_that_it_has_applied_by_then() -> None:
    """Also where nobody asked for the safe index in between: writes may have been acknowledged without it."""
    pair = Pair()
    publisher = pair.publisher
    subscribed(publisher, 100.0, 1, 0)
    pair.log.put("out/s", {"at_ms": 1})
    publisher.renew_lease(100.0, 101.0)
    drained(publisher)
    assert renewed(publisher, 100.1, 1, 0, serial=2) == [Heartbeat(2, 1, 0.0)]
    publisher.renew_lease(100.2, 101.0)  # the same lease again
    answer = renewed(publisher, 100.2, 1, 1, serial=3)[0]
    assert isinstance(answer, Heartbeat) and answer.lease_s == pytest.approx(0.8)


def test_another_life_of_a_node_does_not_end_the_lease_of_the_one_before() -> None:
    pair = Pair()
    publisher = pair.publisher
    subscribed(publisher, 100.0, 1, 0, node="n")
    publisher.renew_lease(100.0, 101.0)
    renewed(publisher, 100.0, 1, 0)
    pair.log.put("out/s", {"at_ms": 1})
    publisher.source_advanced(100.1)
    drained(publisher)
    subscribed(publisher, 100.2, 2, 0, node="n")
    renewed(publisher, 100.2, 2, 1)
    assert publisher.counts["duplicates"] == 1
    assert publisher.safe_index(100.3) == 0
    assert publisher.safe_index(101.0) == 1


def test_a_planned_stop_of_a_node_gives_the_lease_up_first() -> None:
    pair = Pair()
    number = pair.node("n1")
    pair.run(1.0)
    node = pair.nodes[number]
    assert node.fresh(pair.now)
    node.leave(pair.now)
    assert not node.fresh(pair.now)
    kinds = [type(output) for output in node.take()]
    assert kinds == [LeaseChanged, subscriber_module.Send, Disconnect]


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
    pair = Pair()
    pair.publisher.subscribe(100.0, 1, message)
    send, close = drained(pair.publisher)
    assert isinstance(send, publisher_module.Send) and isinstance(send.message, Rejected)
    assert send.message.code is code and close == publisher_module.Close(1, code)
    assert not pair.publisher.subscriptions and pair.publisher.counts[f"rejected_{code}"] == 1


def test_every_code_says_what_an_operator_can_do() -> None:
    assert set(REMEDIES) == set(CloseCode)
    error = ObserverError(CloseCode.CLUSTER, "m1 is of cluster x")
    assert (
        error.code is CloseCode.CLUSTER and "m1 is of cluster x" in str(error) and error.remedy in str(error)
    )


# Selection


def test_nodes_prefer_their_region_and_spread_over_its_machines() -> None:
    first = [rendezvous_order(f"n{number}", "r1", MACHINES)[0].name for number in range(600)]
    assert set(first) == {"m1", "m4"} and 240 < first.count("m1") < 360


def test_the_nodes_of_a_dead_machine_spread_over_all_others() -> None:
    machines = [MachineAddress(f"m{number}", "") for number in range(6)]
    orders = [rendezvous_order(f"n{number}", "", machines) for number in range(1600)]
    seconds = [order[1].name for order in orders if order[0].name == "m0"]
    assert len(set(seconds)) == 5 and max(seconds.count(name) for name in set(seconds)) < 90


def test_a_machine_that_failed_is_avoided_for_a_time() -> None:
    selection = Selection("n", "r0", MACHINES, LIMITS)
    best, second = selection.order[:2]
    assert selection.pick(0.0) == best
    selection.failed(0.0, best)
    assert selection.pick(1.0) == second
    assert selection.pick(LIMITS.machine_avoidance_s) == best
    for number, machine in enumerate(selection.order):
        selection.failed(50.0 - number, machine)
    assert selection.pick(51.0) == selection.order[-1]


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


# Slow readers


def test_nothing_is_sent_while_blocked_and_then_one_delta_with_the_last_of_each_key() -> None:
    pair = Pair()
    publisher, log = pair.publisher, pair.log
    first = log.put("config/a", 0)
    publisher.source_advanced(100.0)
    subscribed(publisher, 100.0, 1, first)
    publisher.pause_writing(100.0, 1)
    for value in range(100):
        log.put("config/a", value)
        log.put("config/b", -value)
        publisher.source_advanced(100.0)
    assert renewed(publisher, 100.1, 1, first) == []
    publisher.resume_writing(100.2, 1)
    delta, heartbeat = [o.message for o in drained(publisher) if isinstance(o, publisher_module.Send)]
    assert isinstance(delta, Delta) and [(c.key, c.value) for c in delta.changes] == [
        ("config/a", 99),
        ("config/b", -99),
    ]
    assert delta.after == first and delta.revision == log.machine.revision
    assert isinstance(heartbeat, Heartbeat) and heartbeat.revision == delta.revision


def test_an_answer_never_says_more_than_was_sent() -> None:
    pair = Pair()
    publisher, log = pair.publisher, pair.log
    subscribed(publisher, 100.0, 1, 0)
    publisher.pause_writing(100.0, 1)
    log.put("config/a", 1)
    publisher.source_advanced(100.0)
    publisher.receive(100.0, 1, Renew(1, 0))
    assert drained(publisher) == []
    publisher.resume_writing(100.0, 1)
    heartbeat, part = [o.message for o in drained(publisher) if isinstance(o, publisher_module.Send)]
    assert heartbeat == Heartbeat(1, 0, 0.0) and isinstance(part, SnapshotPart) and part.revision == 1


def test_a_compacted_history_or_a_delta_larger_than_its_limit_goes_as_a_snapshot() -> None:
    pair = Pair()
    publisher, log = pair.publisher, pair.log
    first = log.put("config/a", 0)
    publisher.source_advanced(100.0)
    subscribed(publisher, 100.0, 1, first)
    subscribed(publisher, 100.0, 2, first)
    publisher.pause_writing(100.0, 1)
    for number in range(5):
        log.put(f"config/{number}", "x" * 30_000)
    publisher.source_advanced(100.0)
    kinds = [type(o.message).__name__ for o in drained(publisher) if isinstance(o, publisher_module.Send)]
    assert kinds == ["SnapshotPart"] * 3  # to the second only
    log.machine.events.clear()
    log.put("config/9", 1)
    publisher.source_advanced(100.1)
    publisher.resume_writing(100.2, 1)
    parts = [
        o.message for o in drained(publisher) if isinstance(o, publisher_module.Send) and o.connection_id == 1
    ]
    assert {type(part) for part in parts} == {SnapshotPart}
    assert sum(len(part.items) for part in parts if isinstance(part, SnapshotPart)) == 7


def test_a_part_is_sent_only_when_the_transport_has_room_and_other_subscribers_go_on() -> None:
    pair = Pair()
    publisher, log = pair.publisher, pair.log
    for number in range(6):
        log.put(f"config/{number}", "x" * 40_000)
    publisher.source_advanced(100.0)
    publisher.subscribe(100.0, 1, Subscribe(VERSION, "n1", "i1"))
    subscribed_at = log.machine.revision
    assert len(publisher.take()) == 2  # accepted, and one part
    publisher.pause_writing(100.0, 1)
    assert publisher.take() == []
    subscribed(publisher, 100.0, 2, subscribed_at)
    log.put("config/0", "y")
    publisher.source_advanced(100.0)
    (only,) = publisher.take()
    assert only.connection_id == 2
    publisher.resume_writing(100.1, 1)
    messages = [o.message for o in drained(publisher) if isinstance(o, publisher_module.Send)]
    assert [type(m).__name__ for m in messages] == ["SnapshotPart"] * 5 + ["Delta"]
    assert {m.revision for m in messages if isinstance(m, SnapshotPart)} == {subscribed_at}


def test_a_delta_and_the_parts_of_a_snapshot_are_the_same_objects_for_all() -> None:
    pair = Pair()
    publisher, log = pair.publisher, pair.log
    log.put("config/a", "x" * 40_000)
    log.put("config/b", "x" * 40_000)
    publisher.source_advanced(100.0)
    for number in range(1, 11):
        publisher.subscribe(100.0, number, Subscribe(VERSION, f"n{number}", f"i{number}"))
    parts = [o.message for o in drained(publisher) if isinstance(o, publisher_module.Send)]
    assert len({id(part) for part in parts if isinstance(part, SnapshotPart)}) == 2
    assert publisher.counts["snapshots_made"] == 1
    revision = log.machine.revision
    renewed(publisher, 100.0, 1, revision)
    log.put("notes/x", 1)  # some are moved up by a heartbeat, some are not
    publisher.source_advanced(100.0)
    renewed(publisher, 100.0, 1, revision)
    log.put("config/a", 1)
    publisher.source_advanced(100.0)
    deltas = [o.message for o in drained(publisher) if isinstance(o, publisher_module.Send)]
    assert len(deltas) == 10 and len({id(delta) for delta in deltas}) == 1


def test_so_many_snapshots_at_once_and_the_others_wait_in_turn() -> None:
    limits = replace(LIMITS, max_snapshot_transfers=2, subscriber_timeout_s=60.0)
    pair = Pair(limits)
    publisher, log = pair.publisher, pair.log
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
    outputs = drained(publisher)
    assert [o.code for o in outputs if isinstance(o, publisher_module.Close)] == [
        CloseCode.SLOW,
        CloseCode.SLOW,
    ]
    served = [o.connection_id for o in outputs if isinstance(o, publisher_module.Send)]
    assert sorted(set(served)) == [4, 5] and publisher.counts["snapshots_sent"] == 2
    assert publisher.delivery.transfers.snapshot is None and not publisher.delivery.transfers.waiting


def test_a_reader_that_never_reads_costs_no_memory_and_is_closed() -> None:
    pair = Pair()
    publisher, log = pair.publisher, pair.log
    subscribed(publisher, 100.0, 1, 0)
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
    assert drained(publisher) == [publisher_module.Close(1, CloseCode.SLOW)]
    assert publisher.counts[f"closed_{CloseCode.SLOW}"] == 1


# Bad input


def test_an_acknowledgement_of_what_was_not_sent_closes_the_subscription() -> None:
    pair = Pair()
    publisher = pair.publisher
    subscribed(publisher, 100.0, 1, 0)
    publisher.renew_lease(100.0, 101.0)
    (rejected,) = renewed(publisher, 100.0, 1, 5)
    assert isinstance(rejected, Rejected) and rejected.code is CloseCode.GARBLED
    assert not publisher.subscriptions and publisher.safe_index(100.0) == 0


def test_a_second_subscribe_and_words_of_strangers() -> None:
    pair = Pair()
    publisher = pair.publisher
    publisher.receive(100.0, 9, Renew(1, 0))  # never subscribed
    publisher.pause_writing(100.0, 9)
    publisher.resume_writing(100.0, 9)
    publisher.disconnected(100.0, 9)
    assert drained(publisher) == []
    subscribed(publisher, 100.0, 1, 0)
    publisher.subscribe(100.0, 1, Subscribe(VERSION, "n2", "i2"))
    assert publisher_module.Close(1, CloseCode.GARBLED) in drained(publisher) and not publisher.subscriptions


def test_a_silent_node_is_closed_and_remembered_as_behind_for_a_time() -> None:
    pair = Pair()
    publisher, log = pair.publisher, pair.log
    subscribed(publisher, 100.0, 1, 0)
    revision = log.put("config/a", 1)
    publisher.source_advanced(100.0)
    drained(publisher)
    closed_at = 100.0 + LIMITS.subscriber_timeout_s + 1.0
    publisher.tick(closed_at)
    assert publisher_module.Close(1, CloseCode.SILENT) in drained(publisher)
    assert publisher.nodes_behind(closed_at + 1.0, revision) == ["n1"]
    report = publisher.report(closed_at + 1.0, revision)
    assert report.lost == ("n1",) and report.behind == () and report.subscribers == 0
    assert publisher.nodes_behind(closed_at + LIMITS.disconnected_node_retention_s, revision) == []


def test_over_the_rate_nodes_are_told_to_come_again_each_later_than_the_last() -> None:
    limits = replace(LIMITS, subscribe_rate=10.0, subscribe_burst=5)
    pair = Pair(limits)
    waits = []
    for number in range(30):
        pair.publisher.subscribe(100.0, number, Subscribe(VERSION, f"n{number}", "i"))
        for output in drained(pair.publisher):
            if isinstance(output, publisher_module.Send) and isinstance(output.message, Rejected):
                assert output.message.code is CloseCode.BUSY
                waits.append(output.message.retry_after_s)
    assert len(waits) == 25 and len(pair.publisher.subscriptions) == 5
    assert all(0.1 * (n + 1) <= wait <= 0.15 * (n + 1) for n, wait in enumerate(waits))
    pair.publisher.subscribe(100.15, 99, Subscribe(VERSION, "n99", "i"))
    assert len(pair.publisher.subscriptions) == 6


def test_a_full_machine_admits_no_more_but_nodes_that_it_has() -> None:
    limits = replace(LIMITS, max_subscribers=2)
    pair = Pair(limits)
    for number in (1, 2, 3):
        subscribed(pair.publisher, 100.0, number, 0)
    assert sorted(pair.publisher.subscriptions) == [1, 2]
    subscribed(pair.publisher, 100.0, 4, 0, node="n1")
    assert sorted(pair.publisher.subscriptions) == [2, 4]


def test_the_book_of_grants_is_bounded_and_errs_to_the_safe_side() -> None:
    limits = replace(LIMITS, max_pending_changes=4)
    pair = Pair(limits)
    publisher, log = pair.publisher, pair.log
    for number in (1, 2):
        subscribed(publisher, 100.0, number, 0)
        publisher.renew_lease(100.0, 101.0)
        renewed(publisher, 100.0, number, 0)
    for value in range(10):
        log.put("config/a", value)
        publisher.source_advanced(100.0)
    drained(publisher)
    assert len(publisher.lease_grants.pending_changes) == 4 and publisher.safe_index(100.0) == 0
    renewed(publisher, 100.0, 1, 10)
    renewed(publisher, 100.0, 2, 6)  # within what the last mark stands for
    assert publisher.safe_index(100.0) == 3
    renewed(publisher, 100.0, 2, 10)
    assert publisher.safe_index(100.0) == 10


# A subscriber's own care


def accepted_node(revision: int = 0) -> Subscriber:
    """A node whose subscription stands, with this revision applied."""
    node = Subscriber("n", "i", "r0", MACHINES, LIMITS, 0.0, random.Random(1))
    node.tick(0.0)
    node.connected(0.0)
    node.receive(0.0, Accepted(VERSION, "c", "m0", 0.3))
    if revision:
        node.receive(0.0, SnapshotPart(revision, 0, True, ()))
    node.take()
    return node


def codes(node: Subscriber) -> list[CloseCode]:
    """The codes of the disconnections that the node asks for."""
    return [output.code for output in node.take() if isinstance(output, Disconnect)]


def test_a_delta_with_a_gap_ends_the_connection_and_the_same_machine_is_asked_again() -> None:
    node = accepted_node(5)
    machine = node.machine
    node.receive(0.1, Delta(6, 7, (Change(7, "config/a", 1),)))
    assert codes(node) == [CloseCode.GAP] and node.revision == 5
    node.tick(node.deadline())
    assert node.take() == [Connect(machine)] if machine else False


def test_an_old_delta_is_ignored_and_one_that_overlaps_is_cut() -> None:
    node = accepted_node(5)
    node.receive(0.1, Delta(2, 4, (Change(4, "config/a", 1),)))
    assert node.take() == [] and node.counts["old_deltas"] == 1
    node.receive(0.1, Delta(2, 7, (Change(4, "config/a", 1), Change(7, "config/b", 2))))
    assert node.take() == [Apply(7, (Change(7, "config/b", 2),), is_snapshot=False)]


def test_a_snapshot_older_than_what_was_applied_is_an_error() -> None:
    node = accepted_node(5)
    node.receive(0.1, SnapshotPart(4, 0, True, ()))
    assert codes(node) == [CloseCode.BACKWARDS] and node.revision == 5


@pytest.mark.parametrize(
    "parts",
    [
        [SnapshotPart(7, 1, False, ())],
        [SnapshotPart(7, 0, False, ()), SnapshotPart(7, 2, True, ())],
        [SnapshotPart(7, 0, False, ()), SnapshotPart(8, 1, True, ())],
        [SnapshotPart(7, 0, False, ()), Delta(5, 8, ())],
    ],
)
def test_parts_that_do_not_follow_are_a_gap_and_nothing_is_applied(parts: list[FromPublisher]) -> None:
    node = accepted_node(5)
    for part in parts:
        node.receive(0.1, part)
    assert codes(node) == [CloseCode.GAP] and node.revision == 5 and node.snapshot_parts == []


def test_a_snapshot_without_end_is_cut_off() -> None:
    node = accepted_node()
    node.limits = replace(LIMITS, max_snapshot_bytes=100_000)
    for number in range(100):
        node.receive(0.1, SnapshotPart(7, number, False, (Change(7, f"config/{number}", "x" * 30_000),)))
    assert codes(node) == [CloseCode.GARBLED] and node.snapshot_parts == []


def test_what_comes_before_accepted_or_twice_is_garbled() -> None:
    node = accepted_node()
    node.receive(0.1, Accepted(VERSION, "c", "m0", 0.3))
    assert codes(node) == [CloseCode.GARBLED]
    other = Subscriber("n", "i", "r0", MACHINES, LIMITS, 0.0, random.Random(1))
    other.tick(0.0)
    other.connected(0.0)
    other.receive(0.0, Heartbeat(1, 9, 1.0))
    assert codes(other) == [CloseCode.GARBLED] and not other.fresh(0.0) and other.revision == 0


def test_a_lease_without_end_is_not_believed_nor_another_cluster() -> None:
    node = accepted_node()
    node.receive(0.1, Heartbeat(1, 0, 1e9))
    assert node.lease_until <= LIMITS.max_lease_s
    node.disconnected(0.2, "reset")
    node.take()
    node.tick(node.deadline())
    node.connected(0.3)
    node.receive(0.3, Accepted(VERSION, "another", "m0", 0.3))
    assert CloseCode.GARBLED in codes(node)


def test_a_node_moves_on_when_its_machine_is_silent() -> None:
    node = accepted_node()
    first = node.machine
    node.tick(LIMITS.publisher_timeout_s)
    assert codes(node) == [CloseCode.SILENT]
    node.tick(node.deadline())
    assert first is not None and node.machine is not None and node.machine.name != first.name


def test_a_node_moves_on_when_its_machine_has_no_lease_for_long() -> None:
    node = accepted_node()
    first, now = node.machine, 0.0
    while node.machine is first and now < 10.0:
        now += 0.05
        node.tick(now)
        for output in node.take():
            if isinstance(output, subscriber_module.Send) and isinstance(output.message, Renew):
                node.receive(now, Heartbeat(output.message.serial, 0, 0.0))
    assert LIMITS.stale_timeout_s * (1 - LIMITS.jitter) <= now <= LIMITS.stale_timeout_s + 0.5
    assert node.counts["moved_stale"] == 1 and not node.fresh(now)


def test_busy_is_a_lower_bound_of_the_wait_and_the_machine_stays_the_first_choice() -> None:
    node = accepted_node()
    first = node.machine
    node.receive(0.1, Rejected(CloseCode.BUSY, "", 2.0))
    assert codes(node) == [CloseCode.BUSY] and 2.1 <= node.deadline() <= 2.2
    node.tick(node.deadline())
    assert node.machine is first


def test_a_machine_that_is_behind_is_left_for_the_next() -> None:
    node = accepted_node(5)
    first = node.machine
    node.receive(0.1, Rejected(CloseCode.BEHIND, "", 0.3))
    node.tick(node.deadline())
    assert node.machine is not first and node.revision == 5


def test_two_processes_of_one_name_do_not_displace_each_other_at_once() -> None:
    node = accepted_node()
    node.receive(0.1, Rejected(CloseCode.DUPLICATE))
    assert node.deadline() >= 0.1 + LIMITS.backoff_cap_s


def test_waits_have_full_jitter_up_to_the_cap() -> None:
    waits = [Backoff(LIMITS, random.Random(seed)) for seed in range(400)]
    for attempt in range(10):
        longest = min(LIMITS.backoff_cap_s, LIMITS.backoff_base_s * 2**attempt)
        drawn = [backoff.wait() for backoff in waits]
        assert max(drawn) <= longest and min(drawn) < 0.1 * longest and max(drawn) > 0.9 * longest


# The source


def test_a_machine_that_loads_a_snapshot_serves_it_as_one() -> None:
    pair = Pair()
    publisher, log = pair.publisher, pair.log
    first = log.put("config/a", 1)
    publisher.source_advanced(100.0)
    subscribed(publisher, 100.0, 1, first)
    other = Log()
    for value in range(5):
        other.put("config/a", value)
    state = other.machine.export_state()
    log.machine.load_state(
        records.StoreState(state.index, state.revision, state.clock_ms, state.items, [], [])
    )
    assert log.source.changes_since(first) is None
    publisher.source_advanced(100.1)
    kinds = [type(o.message).__name__ for o in drained(publisher) if isinstance(o, publisher_module.Send)]
    assert kinds == ["SnapshotPart"]
    assert publisher.safe_index(100.1) == 5


def test_changes_since_are_those_of_subscribed_keys_in_order() -> None:
    log = Log()
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


# The budget


def test_what_a_node_is_sent_is_capped_and_what_waits_is_coalesced() -> None:
    limits = replace(
        LIMITS, subscriber_bytes_per_s=1000.0, subscriber_burst_bytes=2000, subscriber_timeout_s=60.0
    )
    pair = Pair(limits)
    publisher, log = pair.publisher, pair.log
    first = log.put("config/a", "x")
    publisher.source_advanced(100.0)
    subscribed(publisher, 100.0, 1, first)
    now, sent, last = 100.0, 0, first
    for step in range(1000):  # 10 s with 5 KB a second of changes to one key
        now = 100.0 + 0.01 * (step + 1)
        last = log.put("config/a", f"{step:04}" * 12)
        publisher.source_advanced(now)
        publisher.tick(now)
        for output in drained(publisher):
            assert isinstance(output, publisher_module.Send) and isinstance(output.message, Delta)
            sent += encoded_size(output.message.changes)
            assert len(output.message.changes) == 1
    assert 9_000 <= sent <= 2_000 + 10_000 + 200
    assert publisher.counts["delayed"] > 50
    publisher.tick(now + limits.max_delta_delay_s)
    *_, final = drained(publisher)
    assert isinstance(final, publisher_module.Send) and isinstance(final.message, Delta)
    assert final.message.revision == last and publisher.delivery.delayed == {}


def test_a_debt_is_bounded_and_a_lost_node_waits_no_more() -> None:
    limits = replace(
        LIMITS, subscriber_bytes_per_s=1000.0, subscriber_burst_bytes=2000, max_delta_delay_s=4.0
    )
    pair = Pair(limits)
    publisher, log = pair.publisher, pair.log
    log.put("config/a", "x" * 50_000)
    publisher.source_advanced(100.0)
    assert subscribed(publisher, 100.0, 1, 0) == ["Accepted", "SnapshotPart"]  # never delayed
    log.put("config/a", "y" * 50_000)
    publisher.source_advanced(100.0)
    assert len(drained(publisher)) == 1  # a snapshot leaves no debt, this delta does
    log.put("config/b", 1)
    publisher.source_advanced(100.0)
    assert drained(publisher) == [] and publisher.deadline() == pytest.approx(100.1)
    publisher.tick(103.9)
    assert drained(publisher) == []
    publisher.tick(104.01)
    (send,) = drained(publisher)
    assert isinstance(send, publisher_module.Send) and isinstance(send.message, Delta)
    log.put("config/a", "x" * 50_000)
    publisher.source_advanced(110.0)
    log.put("config/b", 2)
    publisher.source_advanced(110.0)
    drained(publisher)
    assert list(publisher.delivery.delayed) == [1]
    publisher.disconnected(110.0, 1)
    assert publisher.delivery.delayed == {}


def test_deltas_for_readers_at_many_revisions_are_not_all_kept() -> None:
    limits = replace(LIMITS, max_cached_deltas=4)
    pair = Pair(limits)
    publisher, log = pair.publisher, pair.log
    for value in range(1, 21):
        log.put("config/a", value)
        publisher.source_advanced(100.0)
        subscribed(publisher, 100.0, value, value)
        publisher.pause_writing(100.0, value)
    for number in range(1, 21):
        publisher.resume_writing(100.0, number)
        assert len(publisher.delivery.deltas) <= 4
    sends = [o for o in drained(publisher) if isinstance(o, publisher_module.Send)]
    assert len(sends) == 19 and {type(send.message) for send in sends} == {Delta}
