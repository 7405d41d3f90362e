"""Replays: reproducible digest, comparison of states, detection of mutants, and comparison of recordings."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from gradegap.balancing.balancer import Balancer
from gradegap.capture import comparison, frames, recording, replay
from gradegap.capture.frames import Damage, FrameKind
from tests.support.balancer_driver import settings
from tests.support.mutants import mutant
from tests.support.node_environment import ROOT
from tests.support.recorded_workload import RandomWorkload, replay_recording, workload_recording


def test_hundred_replays_give_one_digest_and_match_each_state() -> None:
    data = workload_recording(1)
    report = replay_recording(data)
    assert report.difference is None and not report.state_differs and not report.gaps
    assert report.steps > 600 and report.states == 4
    assert {replay_recording(data).digest for _ in range(100)} == {report.digest}


@pytest.mark.parametrize("seed", range(6))
def test_replay_from_later_state_takes_same_decisions(seed: int) -> None:
    data = workload_recording(100 + seed)
    clocks = [
        frame.first_at
        for frame in frames.read(data)
        if not isinstance(frame, Damage) and frame.kind is FrameKind.STATE
    ]
    for since in clocks[1:4]:
        report = replay_recording(data, since=since)
        assert report.difference is None and not report.state_differs and report.steps > 0


def test_hash_seed_does_not_change_replay(tmp_path: Path) -> None:
    path = tmp_path / "day.ggc"
    path.write_bytes(workload_recording(7))
    outputs = set()
    for seed in ("0", "1", "4242"):
        command_line = [sys.executable, "-m", "gradegap", "replay", str(path)]
        environment = os.environ | {"PYTHONHASHSEED": seed}
        process = subprocess.run(
            command_line, capture_output=True, text=True, cwd=ROOT, env=environment, timeout=60
        )
        assert process.returncode == 0, process.stderr
        outputs.add(process.stdout)
    assert len(outputs) == 1


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
    ("RING_CANDIDATE_COUNT = 8", "RING_CANDIDATE_COUNT = 1"),
    ("GROUP_SETUP_CONNECTIONS = 8.0", "GROUP_SETUP_CONNECTIONS = -1.0"),
    ("MAX_HEALTH_CHECK_BUDGET = 30.0", "MAX_HEALTH_CHECK_BUDGET = 2.0"),
    ("HEALTH_CHECKS_PER_REQUEST = 6.0", "HEALTH_CHECKS_PER_REQUEST = 0.1"),
    ("TOLERATED_FAILURES_PER_S = 1.0", "TOLERATED_FAILURES_PER_S = -8.0"),
    (
        "first if first_load < second_load else second",
        "first if first_load > second_load else second",
    ),
    ("second = self._draw_candidate(request, first) or first", "second = first"),
    ("RECENT_PLACEMENT_MEMORY_S = 1.0", "RECENT_PLACEMENT_MEMORY_S = 0.2"),
    ("return remaining if is_last else", "return remaining if True else"),
    ("remaining - objective)", "remaining - 2 * objective)"),
    ("self.answered_share += ANSWERED_SHARE_GAIN", "self.answered_share += 10 * ANSWERED_SHARE_GAIN"),
]


def test_each_mutant_is_detected_at_its_first_other_decision(tmp_path: Path) -> None:
    data = workload_recording(11, 3000, 1)
    detected_at = []
    for number, (old, new) in enumerate(MUTANTS):
        folder = tmp_path / str(number)
        folder.mkdir()
        module = mutant(folder, old, new)
        report = replay_recording(data, module)
        # The expected result: feed both modules from the start until their actions differ.
        original, mutated = (
            Balancer(settings(connection_groups=True), 11),
            module.Balancer(settings(connection_groups=True), 11),
        )
        first = next(
            (
                item.number
                for item in recording.read(data)
                if isinstance(item, recording.Step)
                and replay.encoded(original.handle(item.at, item.event))
                != replay.encoded(mutated.handle(item.at, item.event))
            ),
            None,
        )
        reported = report.difference.step.number if report.difference is not None else None
        assert reported == first, (old, reported, first)
        if first is None:  # same decisions: the mutant must be detected by its state
            assert report.state_differs, old
        else:
            assert report.difference is not None and report.difference.state
        detected_at.append(first)
    assert sum(step_number is not None for step_number in detected_at) >= 18, detected_at


def test_comparison_reports_first_differing_step() -> None:
    first_recording, second_recording = workload_recording(12, 200, 2), workload_recording(13, 200, 2)
    equal = comparison.compare(recording.read(first_recording), recording.read(first_recording))
    assert equal.first is None and equal.steps > 200 and not equal.gaps
    different = comparison.compare(recording.read(first_recording), recording.read(second_recording))
    assert different.first is not None and different.events_differ
    workload = RandomWorkload(12).run_steps(100)
    rows = list(workload.steps)
    changed_row = next(changed_row for changed_row in range(40, len(rows)) if rows[changed_row][4])
    rows[changed_row] = [*rows[changed_row][:4], []]
    original = workload.start_frame() + frames.pack(FrameKind.STEPS, workload.steps, len(rows), 0)
    altered = workload.start_frame() + frames.pack(FrameKind.STEPS, rows, len(rows), 0)
    changed_actions = comparison.compare(recording.read(original), recording.read(altered))
    assert (
        changed_actions.first is not None
        and not changed_actions.events_differ
        and changed_actions.first[0].number == changed_row
    )
