"""The recorder: slow and full disks, the ring of files, reloads; and recordings of real nodes."""

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


def test_recording_is_replayed_to_same_decisions(tmp_path: Path) -> None:
    metrics = record_workload(tmp_path, RandomWorkload(5))
    (path,) = tmp_path.iterdir()
    report = replay_recording(path.read_bytes())
    assert report.difference is None and not report.gaps and report.steps > 15_000
    assert "capture_dropped" not in metrics.counts


def test_slow_disk_drops_whole_batches_and_marks_gaps(tmp_path: Path) -> None:
    metrics = record_workload(tmp_path, RandomWorkload(6), disk_blocked=True)
    (path,) = tmp_path.iterdir()
    report = replay_recording(path.read_bytes())
    valid_frames = [frame for frame in frames.read(path.read_bytes()) if not isinstance(frame, Damage)]
    gaps = [frame.record_count for frame in valid_frames if frame.kind is FrameKind.GAP]
    assert len(gaps) >= 2 and sum(gaps) == metrics.counts["capture_dropped"] > 512
    assert report.gaps and report.difference is None and not report.state_differs and report.steps > 0


def test_settings_change_in_dropped_batch_is_in_next_state(tmp_path: Path) -> None:
    workload, metrics = RandomWorkload(61), Metrics()
    changed = settings(connection_groups=True, max_attempts=1, drain_grace=3.0)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        capture_settings = CaptureSettings(str(tmp_path), state_s=1.0)
        recorder = Recorder(
            capture_settings,
            workload.balancer,
            workload.settings,
            workload.seed,
            metrics,
            loop,
            lambda: workload.now,
            "n",
        )
        recorded_balancer = RecordedBalancer(workload.balancer, recorder)
        workload.balancer = recorded_balancer  # type: ignore[assignment]
        recorder.begin()
        workload.run_steps(300)
        recorder._tick()
        recorder.pending += 100  # more than the limit, as with a slow disk
        workload.run_steps(50)
        recorded_balancer.adopt(changed)
        workload.run_steps(700)
        recorder._flush()
        recorder.pending -= 100
        recorder.state_due_at = 0.0
        recorder._tick()
        workload.run_steps(400)
        recorder.close()
        while not recorder.is_idle:
            await asyncio.sleep(0.01)

    asyncio.run(main())
    assert metrics.counts["capture_dropped"] > 0
    (path,) = tmp_path.iterdir()
    report = replay_recording(path.read_bytes())
    assert report.gaps and report.difference is None and not report.state_differs
    states = [item for item in recording.read(path.read_bytes()) if isinstance(item, recording.State)]
    assert records.settings(states[-1].start["settings"]) == changed


def test_full_disk_ends_only_recording(tmp_path: Path) -> None:
    workload = RandomWorkload(8)
    original_write = RecordingWriter._write

    def fail_when_full(self: RecordingWriter, data: bytes) -> None:
        if self._size > 2000:
            raise OSError(28, "No space left on device")
        original_write(self, data)

    RecordingWriter._write = fail_when_full  # type: ignore[method-assign]
    try:
        metrics = record_workload(tmp_path, workload)
    finally:
        RecordingWriter._write = original_write  # type: ignore[method-assign]
    assert metrics.counts["capture_failed"] == 1 and len(workload.steps) > 15_000


def test_ring_of_files_keeps_size_limit(tmp_path: Path) -> None:
    for number in range(4):
        (tmp_path / f"{number}-old.ggc").write_bytes(b"x" * 700_000)
    record_workload(tmp_path, RandomWorkload(9), total_mb=1, part_mb=1)
    remaining_names = sorted(path.name for path in tmp_path.iterdir())
    assert (
        len(remaining_names) == 2 and remaining_names[-1].startswith("0")
    ) or "3-old.ggc" in remaining_names


def test_hashed_ids_are_consistent_and_contain_no_plain_id() -> None:
    hasher = IdHasher(b"0123456789abcdef")
    first_event = hasher.event(RequestArrived(1, "live", 2.0, key="player-17", group="guild"))
    assert "player" not in str(first_event) and "guild" not in str(first_event)
    second_event = hasher.event(RequestArrived(2, "live", 2.0, group="guild"))
    assert isinstance(first_event, RequestArrived) and isinstance(second_event, RequestArrived)
    assert second_event.group == first_event.group
    assert IdHasher(b"another key of it").hashed("guild") != first_event.group


@pytest.fixture
def node_recordings(tmp_path: Path) -> tuple[Path, Path]:
    folder = tmp_path / "captures"
    servers = [EndpointServer(name) for name in "abc"]
    operator = f'[capture]\nfolder = "{folder}"\nstate_s = 1.0\n'
    with running_node(tmp_path, servers, operator) as node:
        clients = [node.client() for _ in range(12)]
        for client in clients:
            assert client.open_request().startswith("UP")
        node.discovery.announce(servers[0], state="Terminating")
        configuration = node.config.read_text()
        node.config.write_text(configuration.replace('"MaxAttempts": 4', '"MaxAttempts": 3'))
        node.process.send_signal(signal.SIGHUP)
        wait_for(lambda: node.counters().get("reloads") == "1")
        for _ in range(10):
            assert node.client().open_request().startswith("UP")
        node.process.send_signal(signal.SIGUSR2)
        wait_for(lambda: node.counters()["capture_on"] == "0")
        assert node.client().open_request().startswith("UP")
        node.process.send_signal(signal.SIGUSR2)
        wait_for(lambda: node.counters()["capture_on"] == "1")
        assert node.client().open_request().startswith("UP")
        wait_for(lambda: len(list(folder.iterdir())) == 2)
        second = max(folder.iterdir())
        wait_for(
            lambda: any(isinstance(item, recording.Step) for item in recording.read(second.read_bytes()))
        )
        node.process.kill()  # while the recorder writes
        node.process.wait()
        node.process.returncode = 0
    first, second = sorted(folder.iterdir())
    return first, second


def test_node_recording_is_replayed_cut_and_explained(
    node_recordings: tuple[Path, Path], tmp_path: Path
) -> None:
    first, _ = node_recordings
    for path in node_recordings:
        process = run_gradegap("replay", str(path))
        assert process.returncode == 0, process.stdout + process.stderr
    info = msgspec.json.decode(run_gradegap("capture", "info", str(first), "--json").stdout)
    assert info["events"]["Request"] == 22 and not info["gaps"] and info["node"] == "n0"
    lines = run_gradegap("capture", "filter", str(first), "--kind", "Request").stdout.splitlines()
    assert len(lines) == 22
    last_request = msgspec.json.decode(lines[-1])
    explanation = run_gradegap("explain", str(first), str(last_request["event"][1][0])).stdout
    assert (
        "draws a pair" in explanation
        and "kept s-" in explanation
        and "-> Send" in explanation
        and "Established" in explanation
    )
    assert run_gradegap("explain", str(first), "999").returncode == 1
    part = tmp_path / "part.ggc"
    assert run_gradegap("capture", "cut", str(first), "--out", str(part), "--from", "0.5").returncode == 0
    assert run_gradegap("replay", str(part)).returncode == 0
    assert run_gradegap("capture", "cut", str(first), "--out", str(part)).returncode == 2  # the file exists
    merged = run_gradegap(
        "capture", "merge", str(first), str(first), "--shift", "0", "--shift", "5"
    ).stdout.splitlines()
    clocks = [msgspec.json.decode(line)["at"] for line in merged]
    assert clocks == sorted(clocks) and len(clocks) == 2 * info["steps"]
    mutated_package = mutated_copy(
        tmp_path, "HEALTH_CHECK_WAIT_SHARE = 0.16", "HEALTH_CHECK_WAIT_SHARE = 0.17"
    )
    process = run_gradegap("replay", str(first), "--module", str(mutated_package))
    assert process.returncode == 1 and "differs: Request" in process.stdout and "SetTimer" in process.stdout


def test_file_that_is_not_a_recording_gives_one_line_error(tmp_path: Path) -> None:
    (tmp_path / "x").write_text("hello")
    for words in (("replay", "x"), ("capture", "info", "x"), ("explain", "x", "1"), ("replay", "nowhere")):
        process = run_gradegap(
            *(str(tmp_path / word) if word in ("x", "nowhere") else word for word in words)
        )
        assert (
            process.returncode == 2 and process.stderr.count("\n") == 1 and "Traceback" not in process.stderr
        )
