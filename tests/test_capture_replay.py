"""Replays: one digest, every state met, altered modules found, and two recordings compared."""

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


def test_a_hundred_replays_give_one_digest_and_each_state_is_met() -> None:
    data = workload_recording(1)
    found = replay_recording(data)
    assert found.difference is None and not found.state_differs and not found.gaps
    assert found.steps > 600 and found.states == 4
    assert {replay_recording(data).digest for _ in range(100)} == {found.digest}


@pytest.mark.parametrize("seed", range(6))
def test_a_replay_that_starts_at_a_state_decides_the_same(seed: int) -> None:
    data = workload_recording(100 + seed)
    clocks = [
        f.first_at for f in frames.read(data) if not isinstance(f, Damage) and f.kind is FrameKind.STATE
    ]
    for since in clocks[1:4]:
        found = replay_recording(data, since=since)
        assert found.difference is None and not found.state_differs and found.steps > 0


def test_hash_order_of_another_process_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "day.ggc"
    path.write_bytes(workload_recording(7))
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


def test_twenty_altered_modules_are_each_found_at_their_first_other_decision(tmp_path: Path) -> None:
    data = workload_recording(11, 3000, 1)
    found_in = []
    for k, (old, new) in enumerate(MUTANTS):
        folder = tmp_path / str(k)
        folder.mkdir()
        module = mutant(folder, old, new)
        found = replay_recording(data, module)
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


def test_two_captures_are_compared_step_by_step() -> None:
    one, other = workload_recording(12, 200, 2), workload_recording(13, 200, 2)
    same = comparison.compare(recording.read(one), recording.read(one))
    assert same.first is None and same.steps > 200 and not same.gaps
    told = comparison.compare(recording.read(one), recording.read(other))
    assert told.first is not None and told.events_differ
    day = RandomWorkload(12).run_steps(100)
    rows = list(day.steps)
    k = next(k for k in range(40, len(rows)) if rows[k][4])
    rows[k] = [*rows[k][:4], []]
    plain = day.start_frame() + frames.pack(FrameKind.STEPS, day.steps, len(rows), 0)
    changed = day.start_frame() + frames.pack(FrameKind.STEPS, rows, len(rows), 0)
    did = comparison.compare(recording.read(plain), recording.read(changed))
    assert did.first is not None and not did.events_differ and did.first[0].number == k
