"""Captures: files that are cut and hostile, states, replays, altered modules, and real nodes."""

from __future__ import annotations

import asyncio
import math
import os
import random
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as tuned
from hypothesis import strategies as st

import gradegap.balancing.balancer
from gradegap.balancing.actions import CheckHealth, Forward, Migrate, Reject, SetTimer, WatchEndpoints
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    ConnectionObserved,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
    TimerFired,
)
from gradegap.capture import comparison, frames, recording, records, replay, state
from gradegap.capture.errors import BadRecordError, BadRecordingError, BadStateError
from gradegap.capture.frames import Damage, FrameKind
from gradegap.capture.recorder import MAX_PENDING_BATCHES, Recorder
from gradegap.capture.redaction import IdHasher, redact
from gradegap.capture.settings import CaptureSettings
from gradegap.capture.switch import RecordedBalancer
from gradegap.capture.writer import RecordingWriter
from gradegap.metrics import Metrics
from tests.helpers import settings
from tests.mutants import mutant, mutated_copy
from tests.world import ROOT, Backend, wait_for, world


class Day:
    """A day of a module's life, made up: lists, arrivals, probes, deaths and drains, as seeded."""

    def __init__(self, seed: int, servers: int = 8, groups: bool = True) -> None:
        self.rng = random.Random(seed)
        self.settings = settings(connection_groups=groups)
        self.balancer = Balancer(self.settings, seed)
        self.seed, self.now, self.next = seed, 1000.0, 0
        self.steps: list[Any] = []
        self.out: dict[int, str] = {}
        self.standing: dict[int, str] = {}
        self.probes: list[str] = []
        self.timers: list[tuple[float, str]] = []
        self.names = [f"s{k}" for k in range(servers)]
        self.phase = dict.fromkeys(self.names, EndpointPhase.READY)
        entries = tuple(EndpointEntry(n, zone="a") for n in self.names)
        self.feed(EndpointList(EndpointListKind.FULL, entries))

    def feed(self, event: Any) -> None:
        did = self.balancer.handle(self.now, event)
        self.steps.append(
            ["s", len(self.steps), self.now, records.plain(event), [records.plain(a) for a in did]]
        )
        for a in did:
            match a:
                case Forward():
                    self.out[a.request_id] = a.endpoint
                case CheckHealth():
                    self.probes.append(a.endpoint)
                case SetTimer():
                    self.timers.append((self.now + a.delay, a.token))
                case Migrate():
                    if (server := self.standing.pop(a.request_id, None)) is not None:
                        result = AttemptResult.CANCELLED
                        self.feed(AttemptEnded(a.request_id, 0, server, result, 1.0, True))

    def live(self, steps: int) -> Day:
        for _ in range(steps):
            self.now += self.rng.expovariate(200.0)
            due = [t for t in self.timers if t[0] <= self.now]
            for t in due:
                self.timers.remove(t)
                self.feed(TimerFired(t[1]))
            self.one()
        return self

    def one(self) -> None:
        what = self.rng.random()
        if what < 0.35:
            self.next += 1
            team = f"g{self.rng.randrange(20)}" if self.rng.random() < 0.3 else ""
            self.feed(RequestArrived(self.next, "live", self.now + 2.0, "", f"k{self.next}", team))
        elif what < 0.65 and self.out:
            ident = self.rng.choice(list(self.out))
            server = self.out.pop(ident)
            if self.rng.random() < 0.9:
                self.standing[ident] = server
                self.feed(ConnectionEstablished(ident, 0, server, 0.01))
            else:
                result = self.rng.choice([AttemptResult.RESET, AttemptResult.FULL, AttemptResult.TIMEOUT])
                self.feed(AttemptEnded(ident, 0, server, result, 0.1, False))
        elif what < 0.85 and self.probes:
            server = self.probes.pop(0)
            load = len([s for s in self.standing.values() if s == server]) / 40
            report = {"x0": load + self.rng.random() * 0.1, "inflight": load * 40}
            good = self.rng.random() < 0.9
            self.feed(
                HealthCheckEnded(server, AttemptResult.OK, 0.001, report)
                if good
                else HealthCheckEnded(server, AttemptResult.TIMEOUT, 0.25)
            )
        elif what < 0.97 and self.standing:
            ident = self.rng.choice(list(self.standing))
            self.feed(AttemptEnded(ident, 0, self.standing.pop(ident), AttemptResult.OK, 5.0, True))
        elif what > 0.99:
            name = self.rng.choice(self.names)
            ready = self.phase[name] is EndpointPhase.READY
            self.phase[name] = phase = EndpointPhase.DRAINING if ready else EndpointPhase.READY
            entry = EndpointEntry(name, zone="a", phase=phase, started_at=0.0 if ready else self.now)
            self.feed(EndpointList(EndpointListKind.DELTA, (entry,)))

    def start(self) -> bytes:
        about = {"settings": records.plain_settings(self.settings), "seed": self.seed, "node": "n"}
        return frames.MAGIC + frames.pack(FrameKind.START, about, 0, 0, 0.0, 0.0)

    def state(self) -> bytes:
        return frames.pack(FrameKind.STATE, state.dump(self.balancer), 0, len(self.steps), self.now, self.now)


def taken(seed: int, steps: int = 600, parts: int = 4) -> bytes:
    """A capture of a day, with states in between."""
    day = Day(seed)
    first = Balancer(day.settings, seed)
    held = frames.pack(FrameKind.STATE, state.dump(first), 0, 0, 0.0, 0.0)
    data, written = day.start() + held, 0
    for _ in range(parts):
        day.live(steps // parts)
        rows = day.steps[written:]
        data += frames.pack(FrameKind.STEPS, rows, len(rows), written, rows[0][2], rows[-1][2]) + day.state()
        written = len(day.steps)
    return data


def again(
    data: bytes, module: ModuleType = gradegap.balancing.balancer, since: float = -1e18
) -> replay.Report:
    return replay.replay(recording.read(data), module, since)


def test_a_hundred_replays_give_one_digest_and_each_state_is_met() -> None:
    data = taken(1)
    found = again(data)
    assert found.difference is None and not found.state_differs and not found.gaps
    assert found.steps > 600 and found.states == 4
    assert {again(data).digest for _ in range(100)} == {found.digest}


@pytest.mark.parametrize("seed", range(6))
def test_a_replay_that_starts_at_a_state_decides_the_same(seed: int) -> None:
    data = taken(100 + seed)
    clocks = [
        f.first_at for f in frames.read(data) if not isinstance(f, Damage) and f.kind is FrameKind.STATE
    ]
    for since in clocks[1:4]:
        found = again(data, since=since)
        assert found.difference is None and not found.state_differs and found.steps > 0


def test_hash_order_of_another_process_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "day.ggc"
    path.write_bytes(taken(7))
    said = set()
    for seed in ("0", "1", "4242"):
        line = [sys.executable, "-m", "gradegap", "replay", str(path)]
        env = os.environ | {"PYTHONHASHSEED": seed}
        done = subprocess.run(line, capture_output=True, text=True, cwd=ROOT, env=env, timeout=60)
        assert done.returncode == 0, done.stderr
        said.add(done.stdout)
    assert len(said) == 1


MUTANTS = [
    ("FRESH_REPORT_SHARE = 0.5", "FRESH_REPORT_SHARE = 0.4"),
    ("HEALTH_CHECK_WAIT_SHARE = 0.16", "HEALTH_CHECK_WAIT_SHARE = 0.17"),
    ("FULL_LOAD = 0.9\n", "FULL_LOAD = 0.05\n"),
    ("BETA_SCALE = 1.0", "BETA_SCALE = 0.3"),
    ("HEALTH_CHECK_INTERVAL_FULL_S = 0.7", "HEALTH_CHECK_INTERVAL_FULL_S = 0.71"),
    ("EJECTION_FAILURES = 2", "EJECTION_FAILURES = 1"),
    ("FIRST_EJECTION_S = 0.5", "FIRST_EJECTION_S = 0.05"),
    ("DRAIN_ROUND_S = 0.1", "DRAIN_ROUND_S = 0.2"),
    ("\nDRAIN_START_SHARE = 0.75", "\nDRAIN_START_SHARE = 0.7"),
    ("RING_CANDIDATES = 8", "RING_CANDIDATES = 1"),
    ("GROUP_SETUP_CONNECTIONS = 8.0", "GROUP_SETUP_CONNECTIONS = -1.0"),
    ("MAX_HEALTH_CHECK_BUDGET = 30.0", "MAX_HEALTH_CHECK_BUDGET = 2.0"),
    ("HEALTH_CHECKS_PER_REQUEST = 6.0", "HEALTH_CHECKS_PER_REQUEST = 0.1"),
    ("TOLERATED_FAILURES_PER_S = 1.0", "TOLERATED_FAILURES_PER_S = -8.0"),
    (
        "first if first_load < second_load else second",
        "first if first_load > second_load else second",
    ),
    ("second = self._pick(request, first) or first", "second = first"),
    ("RECENT_PLACEMENT_MEMORY_S = 1.0", "RECENT_PLACEMENT_MEMORY_S = 0.2"),
    ("timeout = left if last else", "timeout = left if True else"),
    ("left - objective)", "left - 2 * objective)"),
    ("self.answered_share += ANSWERED_SHARE_GAIN", "self.answered_share += 10 * ANSWERED_SHARE_GAIN"),
]


def test_twenty_altered_modules_are_each_found_at_their_first_other_decision(tmp_path: Path) -> None:
    data = taken(11, 3000, 1)
    found_in = []
    for k, (old, new) in enumerate(MUTANTS):
        folder = tmp_path / str(k)
        folder.mkdir()
        module = mutant(folder, old, new)
        found = again(data, module)
        # The same by hand: both modules from the beginning, until one decides otherwise.
        plain, other = (
            Balancer(settings(connection_groups=True), 11),
            module.Balancer(settings(connection_groups=True), 11),
        )
        first = next(
            (
                i.number
                for i in recording.read(data)
                if isinstance(i, recording.Step)
                and replay.encoded(plain.handle(i.at, i.event)) != replay.encoded(other.handle(i.at, i.event))
            ),
            None,
        )
        named = found.difference.step.number if found.difference is not None else None
        assert named == first, (old, named, first)
        if first is None:  # it decides alike, and then its state tells
            assert found.state_differs, old
        else:
            assert found.difference is not None and found.difference.state
        found_in.append(first)
    assert sum(f is not None for f in found_in) >= 18, found_in


# Files


def test_a_file_cut_at_any_byte_of_a_frame_replays_what_was_whole() -> None:
    data = taken(3, 60, 3)
    whole = [f for f in frames.read(data) if not isinstance(f, Damage)]
    *_, before, last = [k for k in range(len(data)) if data.startswith(frames.MARK, k)]
    for end in range(before + 1, len(data), 7):
        found = list(frames.read(data[:end]))
        sound = [f for f in found if not isinstance(f, Damage)]
        assert len(sound) == len(whole) - (2 if end < last else 1)
        assert again(data[:end]).difference is None
        assert [d.reason for d in found if isinstance(d, Damage)] == ([] if end == last else ["cut off"])


@tuned(max_examples=150, deadline=None)
@given(st.data())
def test_a_turned_bit_costs_its_frame_alone(data: st.DataObject) -> None:
    raw = bytearray(taken(4, 60, 3))
    k = data.draw(st.integers(len(frames.MAGIC), len(raw) - 1))
    raw[k] ^= 1 << data.draw(st.integers(0, 7))
    found = list(frames.read(bytes(raw)))
    assert sum(isinstance(f, Damage) for f in found) == 1
    assert sum(not isinstance(f, Damage) for f in found) == 7
    report = again(bytes(raw))
    assert report.difference is None and not report.state_differs


@tuned(max_examples=300, deadline=None)
@given(st.binary(max_size=400), st.booleans())
def test_a_hostile_file_ends_in_plain_errors(raw: bytes, framed: bool) -> None:
    data = frames.MAGIC + (frames.MARK + raw if framed else raw)
    assert all(isinstance(f, Damage) for f in frames.read(data))
    assert again(data).steps == 0


def test_declared_sizes_and_bombs_take_no_memory() -> None:
    import zlib

    import zstandard

    bomb = zstandard.ZstdCompressor(level=19).compress(b"\0" * (512 * 1024 * 1024))
    for packed, plain in ((len(bomb), 2**32 - 1), (len(bomb), 100), (2**32 - 1, 100)):
        head = frames._HEADER.pack(frames.MARK, 2, packed, plain, 1, 0, 0.0, 0.0, 0)
        crc = zlib.crc32(bomb, zlib.crc32(head))
        (found,) = frames.read(frames.MAGIC + head[:-4] + crc.to_bytes(4, "little") + bomb)
        assert isinstance(found, Damage)


def test_another_kind_of_file_and_a_later_version_are_one_plain_error() -> None:
    with pytest.raises(BadRecordingError, match="no capture"):
        list(frames.read(b"{}"))
    with pytest.raises(BadRecordingError, match="version 9"):
        list(frames.read(b"gradegap capture 9\nxyz"))


@pytest.mark.parametrize(
    "raw",
    [
        {},
        {"objects": []},
        {"objects": [["Balancer", []], ["Popen", []]]},
        {"objects": [["_Server", []]]},
        {"names": {"Balancer": ["now"]}, "objects": [["Balancer", [["o", 99]]]]},
        {"names": {"Balancer": ["now"]}, "objects": [["Balancer", [["r", 3, [1], None]]]]},
        {"names": 5, "objects": [["Balancer", [1]], ["ClassSettings", 3]]},
    ],
)
def test_a_state_that_is_none_is_refused(raw: Any) -> None:
    with pytest.raises(BadStateError):
        state.load(gradegap.balancing.balancer, raw, settings())


@pytest.mark.parametrize(
    "value", [math.inf, -math.inf, math.nan, 5e-324, 1.7976931348623157e308, 0.1 + 0.2, -0.0]
)
def test_floats_at_the_edges_come_back_as_they_were(value: float) -> None:
    event = HealthCheckEnded("s", AttemptResult.OK, value, {"x0": value})
    frame = frames.pack(FrameKind.STEPS, [["s", 0, 1.0, records.plain(event), []]], 1)
    (read,) = frames.read(frames.MAGIC + frame)
    assert not isinstance(read, Damage)
    back = records.event(read.body[0][3])
    assert msgspec.msgpack.encode(records.plain(back)) == msgspec.msgpack.encode(records.plain(event))


def test_every_kind_of_event_and_action_comes_back() -> None:
    request = RequestArrived(1, "live", 2.0, "t", "k", "g", 0.5, True, False, True)
    for event in (
        EndpointList(
            EndpointListKind.DELTA, (EndpointEntry("s", "z", 1, EndpointPhase.DRAINING, 2.0, 3.0, 4.0),)
        ),
        request,
        ConnectionInherited(request, "s"),
        ConnectionEstablished(1, 0, "s", 0.1),
        ConnectionObserved(1, "s", None, 0.2),
        AttemptEnded(1, 0, "s", AttemptResult.RESET, 0.1, True, {"x0": 1.0}),
        ClientDisconnected(1),
        TimerFired("look"),
        HealthCheckEnded("s", AttemptResult.OK, 0.1, None),
        ProxyDraining(3.0),
        ProxyResumed(),
    ):
        raw = msgspec.msgpack.decode(msgspec.msgpack.encode(records.plain(event)))
        assert records.event(raw) == event and type(records.event(raw)) is type(event)
    for action in (
        Forward(1, "s", 0.5),
        Reject(1, 0.3),
        Migrate(2),
        SetTimer(0.1, "h1"),
        WatchEndpoints(),
    ):
        raw = msgspec.msgpack.decode(msgspec.msgpack.encode(records.plain(action)))
        assert records.action(raw) == action
    with pytest.raises(BadRecordError):
        records.event(["Send", [1, "s", 0.5]])


def test_two_captures_are_compared_step_by_step() -> None:
    one, other = taken(12, 200, 2), taken(13, 200, 2)
    same = comparison.compare(recording.read(one), recording.read(one))
    assert same.first is None and same.steps > 200 and not same.gaps
    told = comparison.compare(recording.read(one), recording.read(other))
    assert told.first is not None and told.events_differ
    day = Day(12).live(100)
    rows = list(day.steps)
    k = next(k for k in range(40, len(rows)) if rows[k][4])
    rows[k] = [*rows[k][:4], []]
    plain = day.start() + frames.pack(FrameKind.STEPS, day.steps, len(rows), 0)
    changed = day.start() + frames.pack(FrameKind.STEPS, rows, len(rows), 0)
    did = comparison.compare(recording.read(plain), recording.read(changed))
    assert did.first is not None and not did.events_differ and did.first[0].number == k


@pytest.mark.parametrize("groups", [False, True])
def test_a_redacted_capture_names_nobody_and_replays_where_names_place_nothing(groups: bool) -> None:
    day = Day(14, groups=groups)
    held = day.state()
    day.live(400)
    steps = frames.pack(FrameKind.STEPS, day.steps[1:], len(day.steps) - 1, 1)
    data = day.start() + held + steps + day.state()
    hidden = redact(data, IdHasher(b"0123456789abcdef").hashed)
    shown = msgspec.msgpack.encode([f.body for f in frames.read(hidden) if not isinstance(f, Damage)])
    for word in ("k17", "k40", "g1", "g7"):
        assert msgspec.msgpack.encode(word) not in shown
    assert again(data).difference is None and not again(data).state_differs
    if not groups:
        found = again(hidden)
        assert found.difference is None and not found.state_differs and found.steps > 400


# The recorder


class HeldDisk:
    """Writes of a recorder that wait until the test lets them go."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder, self.put = recorder, recorder.writer._write
        self.free = threading.Event()
        recorder.writer._write = self.write  # type: ignore[method-assign]

    def write(self, data: bytes) -> None:
        assert self.free.wait(60.0), "the test never let the disk go"
        self.put(data)

    async def catch_up(self) -> None:
        self.free.set()
        while self.recorder.pending:
            await asyncio.sleep(0.001)


def recorded(folder: Path, day: Day, held: bool = False, **changes: Any) -> Metrics:
    """A day under a recorder; `held`: twice the disk takes nothing until batches were dropped."""
    metrics = Metrics()

    async def main() -> None:
        loop = asyncio.get_running_loop()
        set_up = CaptureSettings(str(folder), state_s=1.0, **changes)
        made = Recorder(set_up, day.balancer, day.settings, day.seed, metrics, loop, lambda: day.now, "n")
        disk = HeldDisk(made) if held else None
        day.balancer = RecordedBalancer(day.balancer, made)  # type: ignore[assignment]
        made.begin()
        for part in range(60):
            day.live(300)
            await asyncio.sleep(0)
            while disk is None and made.pending > MAX_PENDING_BATCHES // 2:
                await asyncio.sleep(0.001)  # this day is faster than any node's, and a thread is held up
            if disk is not None and part in (29, 59):
                await disk.catch_up()
                made._tick()
                disk.free.clear()
        if disk is not None:
            await disk.catch_up()
            day.live(300)
        made.close()
        while not made.is_idle:
            await asyncio.sleep(0.01)

    asyncio.run(main())
    return metrics


def test_a_recording_replays_to_the_same_decisions(tmp_path: Path) -> None:
    metrics = recorded(tmp_path, Day(5))
    (path,) = tmp_path.iterdir()
    found = again(path.read_bytes())
    assert found.difference is None and not found.gaps and found.steps > 15_000
    assert "capture_dropped" not in metrics.counts


def test_a_slow_disk_costs_whole_batches_marked_as_gaps_and_no_decision(tmp_path: Path) -> None:
    metrics = recorded(tmp_path, Day(6), held=True)
    (path,) = tmp_path.iterdir()
    found = again(path.read_bytes())
    read = [f for f in frames.read(path.read_bytes()) if not isinstance(f, Damage)]
    gaps = [f.record_count for f in read if f.kind is FrameKind.GAP]
    assert len(gaps) >= 2 and sum(gaps) == metrics.counts["capture_dropped"] > 512
    assert found.gaps and found.difference is None and not found.state_differs and found.steps > 0


def test_a_reload_in_a_batch_that_was_dropped_is_in_the_next_state(tmp_path: Path) -> None:
    day, metrics = Day(61), Metrics()
    changed = settings(connection_groups=True, max_attempts=1, drain_grace=3.0)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        set_up = CaptureSettings(str(tmp_path), state_s=1.0)
        made = Recorder(set_up, day.balancer, day.settings, day.seed, metrics, loop, lambda: day.now, "n")
        tap = RecordedBalancer(day.balancer, made)
        day.balancer = tap  # type: ignore[assignment]
        made.begin()
        day.live(300)
        made._tick()
        made.pending += 100  # the disk is behind
        day.live(50)
        tap.adopt(changed)
        day.live(700)
        made._flush()
        made.pending -= 100
        made.state_due_at = 0.0
        made._tick()
        day.live(400)
        made.close()
        while not made.is_idle:
            await asyncio.sleep(0.01)

    asyncio.run(main())
    assert metrics.counts["capture_dropped"] > 0
    (path,) = tmp_path.iterdir()
    found = again(path.read_bytes())
    assert found.gaps and found.difference is None and not found.state_differs
    states = [i for i in recording.read(path.read_bytes()) if isinstance(i, recording.State)]
    assert records.settings(states[-1].start["settings"]) == changed


def test_a_full_disk_ends_the_recording_alone(tmp_path: Path) -> None:
    day = Day(8)
    before = RecordingWriter._write

    def full(self: RecordingWriter, data: bytes) -> None:
        if self._size > 2000:
            raise OSError(28, "No space left on device")
        before(self, data)

    RecordingWriter._write = full  # type: ignore[method-assign]
    try:
        metrics = recorded(tmp_path, day)
    finally:
        RecordingWriter._write = before  # type: ignore[method-assign]
    assert metrics.counts["capture_failed"] == 1 and len(day.steps) > 15_000


def test_the_ring_keeps_its_limits(tmp_path: Path) -> None:
    for k in range(4):
        (tmp_path / f"{k}-old.ggc").write_bytes(b"x" * 700_000)
    recorded(tmp_path, Day(9), total_mb=1, part_mb=1)
    left = sorted(p.name for p in tmp_path.iterdir())
    assert len(left) == 2 and left[-1].startswith("0") or "3-old.ggc" in left


def test_hidden_ids_are_decided_by_and_say_nothing() -> None:
    hasher = IdHasher(b"0123456789abcdef")
    one = hasher.event(RequestArrived(1, "live", 2.0, key="player-17", group="guild"))
    assert "player" not in str(one) and "guild" not in str(one)
    assert hasher.event(RequestArrived(2, "live", 2.0, group="guild")).group == one.group
    assert IdHasher(b"another key of it").hashed("guild") != one.group


# A real node


@pytest.fixture
def day(tmp_path: Path) -> Iterator[tuple[Path, Path]]:
    folder = tmp_path / "captures"
    servers = [Backend(n) for n in "abc"]
    operator = f'[capture]\nfolder = "{folder}"\nstate_s = 1.0\n'
    with world(tmp_path, servers, operator) as w:
        clients = [w.client() for _ in range(12)]
        for c in clients:
            assert c.ask().startswith("UP")
        w.director.tell(servers[0], state="Terminating")
        settings_now = w.config.read_text()
        w.config.write_text(settings_now.replace('"MaxAttempts": 4', '"MaxAttempts": 3'))
        w.process.send_signal(signal.SIGHUP)
        wait_for(lambda: w.counters().get("reloads") == "1")
        for _ in range(10):
            assert w.client().ask().startswith("UP")
        w.process.send_signal(signal.SIGUSR2)
        wait_for(lambda: w.counters()["capture_on"] == "0")
        assert w.client().ask().startswith("UP")
        w.process.send_signal(signal.SIGUSR2)
        wait_for(lambda: w.counters()["capture_on"] == "1")
        assert w.client().ask().startswith("UP")
        wait_for(lambda: len(list(folder.iterdir())) == 2)
        second = max(folder.iterdir())
        wait_for(lambda: any(isinstance(i, recording.Step) for i in recording.read(second.read_bytes())))
        w.process.kill()  # while it writes
        w.process.wait()
        w.process.returncode = 0
    first, second = sorted(folder.iterdir())
    yield first, second


def cli(*words: str) -> subprocess.CompletedProcess[str]:
    line = [sys.executable, "-m", "gradegap", *words]
    return subprocess.run(line, capture_output=True, text=True, cwd=ROOT, timeout=60)


def test_a_node_s_day_is_replayed_cut_and_explained(day: tuple[Path, Path], tmp_path: Path) -> None:
    first, _ = day
    for path in day:
        done = cli("replay", str(path))
        assert done.returncode == 0, done.stdout + done.stderr
    info = msgspec.json.decode(cli("capture", "info", str(first), "--json").stdout)
    assert info["events"]["Request"] == 22 and not info["gaps"] and info["node"] == "n0"
    lines = cli("capture", "filter", str(first), "--kind", "Request").stdout.splitlines()
    assert len(lines) == 22
    last = msgspec.json.decode(lines[-1])
    said = cli("explain", str(first), str(last["event"][1][0])).stdout
    assert "draws a pair" in said and "kept s-" in said and "-> Send" in said and "Established" in said
    assert cli("explain", str(first), "999").returncode == 1
    part = tmp_path / "part.ggc"
    assert cli("capture", "cut", str(first), "--out", str(part), "--from", "0.5").returncode == 0
    assert cli("replay", str(part)).returncode == 0
    assert cli("capture", "cut", str(first), "--out", str(part)).returncode == 2  # it is there
    merged = cli(
        "capture", "merge", str(first), str(first), "--shift", "0", "--shift", "5"
    ).stdout.splitlines()
    clocks = [msgspec.json.decode(line)["at"] for line in merged]
    assert clocks == sorted(clocks) and len(clocks) == 2 * info["steps"]
    other = mutated_copy(tmp_path, "HEALTH_CHECK_WAIT_SHARE = 0.16", "HEALTH_CHECK_WAIT_SHARE = 0.17")
    done = cli("replay", str(first), "--module", str(other))
    assert done.returncode == 1 and "differs: Request" in done.stdout and "SetTimer" in done.stdout


def test_what_is_no_capture_is_one_line(tmp_path: Path) -> None:
    (tmp_path / "x").write_text("hello")
    for words in (("replay", "x"), ("capture", "info", "x"), ("explain", "x", "1"), ("replay", "nowhere")):
        done = cli(*(str(tmp_path / w) if w in ("x", "nowhere") else w for w in words))
        assert done.returncode == 2 and done.stderr.count("\n") == 1 and "Traceback" not in done.stderr
