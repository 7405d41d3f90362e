"""The recorder: slow and full disks, the ring, reloads; and recordings of real nodes."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import msgspec
import pytest

from gradegap.balancing.events import (
    RequestArrived,
)
from gradegap.capture import frames, recording, records
from gradegap.capture.frames import Damage, FrameKind
from gradegap.capture.recorder import Recorder
from gradegap.capture.redaction import IdHasher
from gradegap.capture.settings import CaptureSettings
from gradegap.capture.switch import RecordedBalancer
from gradegap.capture.writer import RecordingWriter
from gradegap.metrics import Metrics
from tests.support.balancer_driver import settings
from tests.support.mutants import mutated_copy
from tests.support.node_environment import EndpointServer, running_node, wait_for
from tests.support.recorded_workload import RandomWorkload, record_workload, replay_recording, run_gradegap


def test_a_recording_replays_to_the_same_decisions(tmp_path: Path) -> None:
    metrics = record_workload(tmp_path, RandomWorkload(5))
    (path,) = tmp_path.iterdir()
    found = replay_recording(path.read_bytes())
    assert found.difference is None and not found.gaps and found.steps > 15_000
    assert "capture_dropped" not in metrics.counts


def test_a_slow_disk_costs_whole_batches_marked_as_gaps_and_no_decision(tmp_path: Path) -> None:
    metrics = record_workload(tmp_path, RandomWorkload(6), disk_blocked=True)
    (path,) = tmp_path.iterdir()
    found = replay_recording(path.read_bytes())
    read = [f for f in frames.read(path.read_bytes()) if not isinstance(f, Damage)]
    gaps = [f.record_count for f in read if f.kind is FrameKind.GAP]
    assert len(gaps) >= 2 and sum(gaps) == metrics.counts["capture_dropped"] > 512
    assert found.gaps and found.difference is None and not found.state_differs and found.steps > 0


def test_a_reload_in_a_batch_that_was_dropped_is_in_the_next_state(tmp_path: Path) -> None:
    day, metrics = RandomWorkload(61), Metrics()
    changed = settings(connection_groups=True, max_attempts=1, drain_grace=3.0)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        set_up = CaptureSettings(str(tmp_path), state_s=1.0)
        made = Recorder(set_up, day.balancer, day.settings, day.seed, metrics, loop, lambda: day.now, "n")
        tap = RecordedBalancer(day.balancer, made)
        day.balancer = tap  # type: ignore[assignment]
        made.begin()
        day.run_steps(300)
        made._tick()
        made.pending += 100  # the disk is behind
        day.run_steps(50)
        tap.adopt(changed)
        day.run_steps(700)
        made._flush()
        made.pending -= 100
        made.state_due_at = 0.0
        made._tick()
        day.run_steps(400)
        made.close()
        while not made.is_idle:
            await asyncio.sleep(0.01)

    asyncio.run(main())
    assert metrics.counts["capture_dropped"] > 0
    (path,) = tmp_path.iterdir()
    found = replay_recording(path.read_bytes())
    assert found.gaps and found.difference is None and not found.state_differs
    states = [i for i in recording.read(path.read_bytes()) if isinstance(i, recording.State)]
    assert records.settings(states[-1].start["settings"]) == changed


def test_a_full_disk_ends_the_recording_alone(tmp_path: Path) -> None:
    day = RandomWorkload(8)
    before = RecordingWriter._write

    def full(self: RecordingWriter, data: bytes) -> None:
        if self._size > 2000:
            raise OSError(28, "No space left on device")
        before(self, data)

    RecordingWriter._write = full  # type: ignore[method-assign]
    try:
        metrics = record_workload(tmp_path, day)
    finally:
        RecordingWriter._write = before  # type: ignore[method-assign]
    assert metrics.counts["capture_failed"] == 1 and len(day.steps) > 15_000


def test_the_ring_keeps_its_limits(tmp_path: Path) -> None:
    for k in range(4):
        (tmp_path / f"{k}-old.ggc").write_bytes(b"x" * 700_000)
    record_workload(tmp_path, RandomWorkload(9), total_mb=1, part_mb=1)
    left = sorted(p.name for p in tmp_path.iterdir())
    assert (len(left) == 2 and left[-1].startswith("0")) or "3-old.ggc" in left


def test_hidden_ids_are_decided_by_and_say_nothing() -> None:
    hasher = IdHasher(b"0123456789abcdef")
    one = hasher.event(RequestArrived(1, "live", 2.0, key="player-17", group="guild"))
    assert "player" not in str(one) and "guild" not in str(one)
    other = hasher.event(RequestArrived(2, "live", 2.0, group="guild"))
    assert isinstance(one, RequestArrived) and isinstance(other, RequestArrived)
    assert other.group == one.group
    assert IdHasher(b"another key of it").hashed("guild") != one.group


@pytest.fixture
def day(tmp_path: Path) -> tuple[Path, Path]:
    folder = tmp_path / "captures"
    servers = [EndpointServer(n) for n in "abc"]
    operator = f'[capture]\nfolder = "{folder}"\nstate_s = 1.0\n'
    with running_node(tmp_path, servers, operator) as w:
        clients = [w.client() for _ in range(12)]
        for c in clients:
            assert c.open_request().startswith("UP")
        w.discovery.announce(servers[0], state="Terminating")
        settings_now = w.config.read_text()
        w.config.write_text(settings_now.replace('"MaxAttempts": 4', '"MaxAttempts": 3'))
        w.process.send_signal(signal.SIGHUP)
        wait_for(lambda: w.counters().get("reloads") == "1")
        for _ in range(10):
            assert w.client().open_request().startswith("UP")
        w.process.send_signal(signal.SIGUSR2)
        wait_for(lambda: w.counters()["capture_on"] == "0")
        assert w.client().open_request().startswith("UP")
        w.process.send_signal(signal.SIGUSR2)
        wait_for(lambda: w.counters()["capture_on"] == "1")
        assert w.client().open_request().startswith("UP")
        wait_for(lambda: len(list(folder.iterdir())) == 2)
        second = max(folder.iterdir())
        wait_for(lambda: any(isinstance(i, recording.Step) for i in recording.read(second.read_bytes())))
        w.process.kill()  # while it writes
        w.process.wait()
        w.process.returncode = 0
    first, second = sorted(folder.iterdir())
    return first, second


def test_a_node_s_day_is_replayed_cut_and_explained(day: tuple[Path, Path], tmp_path: Path) -> None:
    first, _ = day
    for path in day:
        done = run_gradegap("replay", str(path))
        assert done.returncode == 0, done.stdout + done.stderr
    info = msgspec.json.decode(run_gradegap("capture", "info", str(first), "--json").stdout)
    assert info["events"]["Request"] == 22 and not info["gaps"] and info["node"] == "n0"
    lines = run_gradegap("capture", "filter", str(first), "--kind", "Request").stdout.splitlines()
    assert len(lines) == 22
    last = msgspec.json.decode(lines[-1])
    said = run_gradegap("explain", str(first), str(last["event"][1][0])).stdout
    assert "draws a pair" in said and "kept s-" in said and "-> Send" in said and "Established" in said
    assert run_gradegap("explain", str(first), "999").returncode == 1
    part = tmp_path / "part.ggc"
    assert run_gradegap("capture", "cut", str(first), "--out", str(part), "--from", "0.5").returncode == 0
    assert run_gradegap("replay", str(part)).returncode == 0
    assert run_gradegap("capture", "cut", str(first), "--out", str(part)).returncode == 2  # it is there
    merged = run_gradegap(
        "capture", "merge", str(first), str(first), "--shift", "0", "--shift", "5"
    ).stdout.splitlines()
    clocks = [msgspec.json.decode(line)["at"] for line in merged]
    assert clocks == sorted(clocks) and len(clocks) == 2 * info["steps"]
    other = mutated_copy(tmp_path, "HEALTH_CHECK_WAIT_SHARE = 0.16", "HEALTH_CHECK_WAIT_SHARE = 0.17")
    done = run_gradegap("replay", str(first), "--module", str(other))
    assert done.returncode == 1 and "differs: Request" in done.stdout and "SetTimer" in done.stdout


def test_what_is_no_capture_is_one_line(tmp_path: Path) -> None:
    (tmp_path / "x").write_text("hello")
    for words in (("replay", "x"), ("capture", "info", "x"), ("explain", "x", "1"), ("replay", "nowhere")):
        done = run_gradegap(*(str(tmp_path / w) if w in ("x", "nowhere") else w for w in words))
        assert done.returncode == 2 and done.stderr.count("\n") == 1 and "Traceback" not in done.stderr
