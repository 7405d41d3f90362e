"""The parts of the store without processes: state machine, frames, leases, folder, history checker."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gradegap.errors import OperatorFileError
from gradegap.node.operator_file import load_operator
from gradegap.raft import ClusterConfiguration, Entry, EntryKind, HardState, Member, SnapshotMetadata
from gradegap.store import schema, wire
from gradegap.store.bootstrap import Bootstrap
from gradegap.store.channel import MAX_FRAME_BYTES, MAX_HELLO_BYTES, LinkChannel
from gradegap.store.errors import CommandError, FolderError, LinkError
from gradegap.store.leases import DEFAULT_LEASE_S, LeaseGranter, LeaseHolder
from gradegap.store.machine import MAX_HISTORY_EVENTS, StateMachine
from gradegap.store.records import Command, Compare, Event, Expire, KeyUpdate, LogRecord, Result, encode
from gradegap.store.settings import Peer, StoreSettings
from gradegap.store.state_snapshot import decode_snapshot, encode_snapshot
from gradegap.store.storage import MemberStorage, WriteBatch

# The state machine


class Log:
    """Feeds a machine, and counts the entries."""

    def __init__(self) -> None:
        self.machine = StateMachine()
        self.entries: list[bytes] = []
        self.client = 0

    def add(self, body: Command | Expire, time_ms: int = 1000) -> Result:
        data = encode(LogRecord(time_ms, 0, body))
        self.entries.append(data)
        return self.machine.apply(len(self.entries), data)

    def write(
        self, *ops: KeyUpdate, compares: tuple[Compare, ...] = (), at: int = 1000, **more: Any
    ) -> Result:
        self.client += 1
        client, seq = more.get("client", f"c{self.client}"), more.get("seq", 1)
        return self.add(Command(client, seq, at + 60_000, "t", compares, ops), at)


def test_a_transaction_is_done_whole_or_not_at_all() -> None:
    log = Log()
    assert log.write(KeyUpdate("a", 1), KeyUpdate("b", 2)).revision == 1
    assert log.write(KeyUpdate("a", 3), KeyUpdate("", 4)).error.startswith("bad_key")
    assert log.write(KeyUpdate("a", 3), KeyUpdate("a", 4)).error.startswith("twice")
    held = (Compare("a", 1), Compare("c", 0))
    assert log.write(KeyUpdate("c", 5), KeyUpdate("a", delete=True), compares=held).succeeded
    assert not log.write(KeyUpdate("a", 9), compares=held).succeeded
    assert {i.key: i.value for i in log.machine.list()} == {"b": 2, "c": 5}
    assert log.machine.revision == 2
    assert log.machine.values_at(1, "") == {"a": 1, "b": 2} and log.machine.values_at(0, "") == {}


def test_a_write_that_is_tried_again_is_applied_once() -> None:
    log = Log()
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


def test_keys_end_when_the_log_says_so_and_not_before() -> None:
    log = Log()
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
    log = Log()
    for k in range(MAX_HISTORY_EVENTS + 10):
        log.write(KeyUpdate("k", k), client="one", seq=k + 1)
    assert len(log.machine.events) == MAX_HISTORY_EVENTS and log.machine.first_retained_revision == 11
    with pytest.raises(CommandError, match="^compacted"):
        log.machine.events_since(10)
    with pytest.raises(CommandError, match="^compacted"):
        log.machine.values_at(9, "")
    assert log.machine.values_at(10, "") == {"k": 9}
    with pytest.raises(CommandError, match="^no_such_revision"):
        log.machine.values_at(MAX_HISTORY_EVENTS + 11, "")


def test_a_state_that_is_loaded_tells_watchers_what_it_changed() -> None:
    log, other = Log(), Log()
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
        self.log = Log()
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

# Frames


def pair(secrets: tuple[bytes, bytes] = (b"s" * 16, b"s" * 16)) -> tuple[LinkChannel, LinkChannel]:
    a = LinkChannel.open(secrets[0], "member", True, Member("1", "n1", "x"), "c")
    b = LinkChannel.open(secrets[1], "member", False, Member("2", "n2", "y"), "c")
    return a, b


def shake(a: LinkChannel, b: LinkChannel) -> None:
    to_b, to_a = a.begin(), b""
    while to_a or to_b:
        _, to_a = b.receive(to_b)
        _, to_b = a.receive(to_a)
    assert a.authenticated and b.authenticated


WORDS = [wire.Join(Member("1", "n", "a")), wire.LeaseApplied("h", 7), wire.LinkRejected("why")]


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(WORDS), max_size=5), st.lists(st.integers(1, 40), min_size=1))
def test_words_come_whole_however_they_are_cut(words: list[wire.LinkMessage], cuts: list[int]) -> None:
    a, b = pair()
    shake(a, b)
    data = b"".join(a.send(w) for w in words)
    got, at, k = [], 0, 0
    while at < len(data):
        size = cuts[k % len(cuts)]
        got += b.receive(data[at : at + size])[0]
        at, k = at + size, k + 1
    assert got == words


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_what_is_changed_on_the_way_ends_the_link(data: st.DataObject) -> None:
    a, b = pair()
    shake(a, b)
    frames = [a.send(wire.LeaseApplied("holder", k)) for k in range(4)]
    how = data.draw(st.sampled_from(["flip", "twice", "swap", "leave out", "other link"]))
    if how == "flip":
        at = data.draw(st.integers(0, len(frames[1]) - 1))
        bit = 1 << data.draw(st.integers(0, 7))
        frames[1] = frames[1][:at] + bytes([frames[1][at] ^ bit]) + frames[1][at + 1 :]
    elif how == "twice":
        frames.insert(1, frames[0])
    elif how == "swap":
        frames[1], frames[2] = frames[2], frames[1]
    elif how == "leave out":
        del frames[1]
    else:
        c, d = pair()
        shake(c, d)
        frames[1] = c.send(wire.LeaseApplied("holder", 1))
    got: list[wire.LinkMessage] = []
    with pytest.raises(LinkError, match="^garbled"):
        for frame in frames:
            got += b.receive(frame)[0]
        b.receive(b"\0" * MAX_FRAME_BYTES)  # a longer length only waits for more: what comes is none of it
    assert got == [wire.LeaseApplied("holder", 0)]


@pytest.mark.parametrize(
    ("mine", "theirs", "clusters", "reason"),
    [
        (b"a" * 16, b"b" * 16, ("c", "c"), "secret"),
        (b"a" * 16, b"", ("c", "c"), "secret"),
        (b"a" * 16, b"a" * 16, ("c", "d"), "cluster"),
    ],
)
def test_strays_are_turned_away(mine: bytes, theirs: bytes, clusters: tuple[str, str], reason: str) -> None:
    a = LinkChannel.open(mine, "member", True, Member("1", "n1", "x"), clusters[0])
    b = LinkChannel.open(theirs, "member", False, Member("2", "n2", "y"), clusters[1])
    with pytest.raises(LinkError, match=f"^{reason}"):
        shake(a, b)
    assert not b.authenticated


def test_a_proof_can_t_be_sent_back() -> None:
    a, _ = pair()
    begin = a.begin()
    with pytest.raises(LinkError):
        a.receive(begin)
    b = LinkChannel.open(b"s" * 16, "member", False, Member("2", "n2", "y"), "c")
    b.receive(begin)
    with pytest.raises(LinkError):
        b.receive(LinkChannel.open(b"s" * 16, "member", True).begin())


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=200))
def test_noise_ends_a_link_or_waits(noise: bytes) -> None:
    _, b = pair()
    try:
        words, _ = b.receive(noise)
        assert not words and not b.authenticated and len(b.buffer) <= MAX_HELLO_BYTES + 4
    except LinkError:
        pass


# Leases


def test_a_write_waits_for_those_who_hold_a_lease_and_for_no_others() -> None:
    granter = LeaseGranter(0.0, 0.1)
    now = granter.unknown_until
    seen: list[str] = []
    assert granter.grant(now, "a", 5, now + 1) == DEFAULT_LEASE_S
    assert granter.grant(now, "b", 4, now) == 0.0  # the leader's own lease is over: it gives none
    granter.when_applied_by_all(now, 6, lambda: seen.append("6"))
    assert not seen
    granter.holder_applied("a", 6)
    granter.expire(now)
    assert seen == ["6"]
    granter.when_applied_by_all(now, 7, lambda: seen.append("7"))
    granter.expire(now + DEFAULT_LEASE_S)
    assert len(seen) == 1
    granter.expire(now + DEFAULT_LEASE_S / 0.9 + 0.001)  # it has run out, by whatever clock
    assert seen == ["6", "7"]


def test_a_new_leader_waits_for_leases_that_it_knows_nothing_of() -> None:
    granter, seen = LeaseGranter(0.0, 0.1), []
    granter.when_applied_by_all(0.0, 1, lambda: seen.append(1))
    granter.expire(DEFAULT_LEASE_S)
    assert not seen
    granter.expire(granter.next_expiry() or 0.0)
    assert seen


def test_a_lease_is_good_only_once_what_it_was_given_for_is_applied() -> None:
    holder = LeaseHolder("a", 0.1)
    serial = holder.begin_request(10.0)
    holder.granted(10.3, serial, 2, 8, DEFAULT_LEASE_S, applied=7)
    assert not holder.is_fresh(10.3)
    holder.applied(8)
    assert holder.is_fresh(10.3) and not holder.is_fresh(10.0 + DEFAULT_LEASE_S * 0.9)
    holder.granted(10.4, serial, 2, 8, DEFAULT_LEASE_S, applied=8)  # an answer that comes twice
    late = holder.begin_request(10.5)
    holder.granted(30.0, late, 2, 8, DEFAULT_LEASE_S, applied=8)  # the process was stopped meanwhile
    assert not holder.is_fresh(30.0)


class LeaseWorld:
    """A leader, its successor and a node, clocks at the edge of the bound, words late."""

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.rates = [rng.choice([1.0, 1.0 / 0.9]) for _ in range(3)]
        self.offsets = [rng.uniform(0, 100) for _ in range(3)]
        self.t = 0.0
        self.leader = 0  # whose clock leads
        self.granter = LeaseGranter(self.clock(0) - 99.0, 0.1)
        self.holder = LeaseHolder("h", 0.1)
        self.applied = self.committed = self.acked = 0
        self.todo: list[tuple[float, Callable[[], None]]] = []

    def clock(self, k: int) -> float:
        return self.offsets[k] + self.rates[k] * self.t

    def later(self, most: float, action: Callable[[], None]) -> None:
        self.todo.append((self.t + self.rng.uniform(0, most), action))

    def write(self, index: int) -> None:
        self.granter.when_applied_by_all(self.clock(self.leader), index, lambda: self.ack(index))

    def ack(self, index: int) -> None:
        self.acked = max(self.acked, index)

    def ask(self) -> None:
        serial, has = self.holder.begin_request(self.clock(2)), self.applied

        def grant() -> None:
            now = self.clock(self.leader)
            given = self.granter.grant(now, "h", has, now + 1)
            term, index = 1 + self.leader, self.committed

            def granted() -> None:
                self.holder.granted(self.clock(2), serial, term, index, given, self.applied)

            self.later(0.8, granted)

        self.later(0.4, grant)

    def apply(self) -> None:
        self.applied += 1
        self.holder.applied(self.applied)
        has = self.applied
        self.later(0.5, lambda: self.granter.holder_applied("h", has))

    def depose(self) -> None:
        waiting = [index for index, _ in self.granter.waiting]
        self.leader = 1
        self.granter = LeaseGranter(self.clock(1), 0.1)
        for index in waiting:
            self.write(index)

    def step(self) -> None:
        self.t += self.rng.uniform(0.0, 0.2)
        for due in [x for x in self.todo if x[0] <= self.t]:
            self.todo.remove(due)
            due[1]()
        self.granter.expire(self.clock(self.leader))
        what = self.rng.random()
        if what < 0.4:
            self.ask()
        elif what < 0.6:
            self.committed += 1
            self.write(self.committed)
        elif what < 0.75 and self.applied < self.committed:
            self.apply()
        elif what < 0.78 and not self.leader:
            self.depose()


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 10_000))
def test_no_one_decides_by_what_is_replaced_whatever_the_clocks(seed: int) -> None:
    world = LeaseWorld(seed)
    while world.t < 12.0:
        world.step()
        if world.holder.is_fresh(world.clock(2)):
            assert world.applied >= world.acked, (
                f"it decides at {world.applied}, {world.acked} was acknowledged"
            )


# The folder


def write_some(disk: MemberStorage) -> None:
    log = Log()
    log.write(KeyUpdate("a", 1))
    log.write(KeyUpdate("b", [1, None, "x"]))
    entries = [Entry(k, 1, EntryKind.COMMAND, d) for k, d in enumerate(log.entries, 1)]
    m = log.machine
    applied = (m.index, m.revision, m.clock_ms)
    disk.write(WriteBatch(HardState(1, "x"), entries=entries, unsaved=m.take_unsaved(), applied=applied))


def test_a_folder_gives_back_what_was_written(tmp_path: Path) -> None:
    disk = MemberStorage(tmp_path / "d")
    first = disk.start()
    write_some(disk)
    disk.write(
        WriteBatch(
            entries=[Entry(2, 3, EntryKind.NO_OP), Entry(3, 3, EntryKind.NO_OP)], hard=HardState(3, "")
        )
    )
    disk.close()
    disk = MemberStorage(tmp_path / "d")
    found = disk.start()
    assert found.identity == first.identity and found.hard == HardState(3, "")
    assert [(e.index, e.term) for e in found.entries] == [(1, 1), (2, 3), (3, 3)]
    assert {i.key: i.value for i in found.state.items} == {"a": 1, "b": [1, None, "x"]}
    disk.write(WriteBatch(base=SnapshotMetadata(2, 3, ClusterConfiguration())))
    disk.close()
    disk = MemberStorage(tmp_path / "d")
    assert [e.index for e in disk.start().entries] == [3]
    disk.close()


def test_a_second_process_is_turned_away(tmp_path: Path) -> None:
    disk = MemberStorage(tmp_path)
    with pytest.raises(FolderError, match="another process"):
        MemberStorage(tmp_path)
    disk.close()


def damage(path: Path, change: Callable[[bytearray], None]) -> None:
    raw = bytearray(path.read_bytes())
    change(raw)
    path.write_bytes(bytes(raw))


def flip_state(raw: bytearray) -> None:
    at = raw.index(b"\xa1b\x93\x01\xc0\xa1x")  # the value of "b"
    while at >= 0:
        raw[at + 3] ^= 0x01
        at = raw.find(b"\xa1b\x93\x01\xc0\xa1x", at + 1)


@pytest.mark.parametrize(
    "change",
    [
        lambda raw: raw.__delitem__(slice(3 * 4096, None)),
        lambda raw: raw.__delitem__(slice(100, None)),
        lambda raw: raw.__setitem__(slice(0, 8192), b"\0" * 8192),
        flip_state,
    ],
    ids=["cut", "cut to nothing", "no head", "one bit"],
)
def test_a_damaged_folder_is_one_error_that_says_how_to_rejoin(
    tmp_path: Path, change: Callable[[bytearray], None]
) -> None:
    disk = MemberStorage(tmp_path)
    disk.start()
    write_some(disk)
    disk.close()
    damage(tmp_path / "data.mdb", change)
    with pytest.raises(FolderError, match="damaged.*to rejoin"):
        MemberStorage(tmp_path).start()


def test_a_folder_of_a_newer_version_is_left_alone(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gradegap.store.storage.FORMAT_VERSION", 9)
    disk = MemberStorage(tmp_path)
    disk.start()
    disk.close()
    monkeypatch.undo()
    with pytest.raises(FolderError, match="format 9"):
        MemberStorage(tmp_path).start()


def test_a_full_folder_fails_the_batch_whole(tmp_path: Path) -> None:
    disk = MemberStorage(tmp_path, map_size=256 * 1024)
    disk.start()
    write_some(disk)
    big = [Entry(3 + k, 1, EntryKind.COMMAND, b"x" * 50_000) for k in range(20)]
    with pytest.raises(FolderError, match="is full"):
        disk.write(WriteBatch(HardState(9, "z"), entries=big))
    disk.close()
    disk = MemberStorage(tmp_path, map_size=256 * 1024)
    found = disk.start()
    assert found.hard == HardState(1, "x") and len(found.entries) == 2
    disk.close()


# Forming, settings, schema


def hello(name: str, cluster: str = "") -> wire.Hello:
    return wire.Hello(1, "member", b"n" * 16, f"id-{name}", name, "x", cluster)


def test_a_cluster_is_begun_by_one_member_that_saw_all_others_without_one() -> None:
    peers = tuple(Peer(n, f"127.0.0.1:{k}") for k, n in enumerate(("a", "b", "c"), 1))
    made = {n: Bootstrap(StoreSettings(n, "l", peers), Member(f"id-{n}", n, "l")) for n in "abc"}
    for n, forming in made.items():
        for other in set("abc") - {n}:
            assert forming.form() is None
            forming.met(hello(other))
    assert made["b"].form() is None and made["c"].form() is None
    formed = made["a"].form()
    assert formed is not None and {m.id for m in formed[1].members} == {"id-a", "id-b", "id-c"}
    made["a"].met(hello("c", "theirs"))  # one of them belongs to a cluster: this one lost its disk
    assert made["a"].form() is None and made["a"].alone() is None


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('listen = "127.0.0.1:1"\npeers = ["127.0.0.1:2"]', "peers = [{ name ="),
        ('listen = "127.0.0.1:1"', "store has no name"),
        ('name = "a b"\nlisten = "127.0.0.1:1"', "no name of letters"),
        ('name = "a"\nlisten = "10.0.0.1:1"', "no loopback address"),
        (
            'name = "a"\nlisten = "127.0.0.1:1"\npeers = [{name = "a", address = "127.0.0.1:2"}]',
            "is and is not",
        ),
        ('name = "a"\nlisten = "127.0.0.1:1"\nwhen_stale = "maybe"', "when_stale"),
        ('name = "a"\nlisten = "127.0.0.1:1"\nfoo = 1', "foo"),
    ],
)
def test_a_wrong_store_table_is_one_plain_line(tmp_path: Path, text: str, said: str) -> None:
    path = tmp_path / "o.toml"
    path.write_text(f"[store]\n{text}\n")
    with pytest.raises(OperatorFileError) as error:
        load_operator(str(path))
    assert said in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("key", "value", "good"),
    [
        ("config/log_level", "debug", True),
        ("config/log_level", "loud", False),
        ("config/quic_max_sessions", -1, False),
        ("config/quic_max_sessions", True, False),
        ("config/nothing", 1, False),
        ("out/s-1", {"at_ms": 5}, True),
        ("out/s-1", {"when": 5}, False),
        ("cluster/invited/n9", {"address": "nowhere"}, False),
        ("anything/else", [1], True),
        ("keys/resume", {"keys": []}, True),
        ("keys/resume", {"keys": [{"id": "0", "secret": "x"}]}, False),
    ],
)
def test_values_fit_their_keys(key: str, value: Any, good: bool) -> None:
    if good:
        schema.check(KeyUpdate(key, value))
    else:
        with pytest.raises(CommandError, match="^invalid: "):
            schema.check(KeyUpdate(key, value))


def test_the_schema_is_json_schema() -> None:
    made = schema.json_schema()
    config = made["$defs"]["Settings"]["properties"]
    assert config["log_level"]["enum"] == ["debug", "error", "info", "warning"]
    assert config["quic_max_sessions"]["maximum"] == 1_000_000
