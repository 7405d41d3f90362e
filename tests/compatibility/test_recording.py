"""Recordings of an earlier version replay to the decisions that it made."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.compatibility import readers
from tests.compatibility.fixtures import FILES
from tests.support.node_environment import ROOT

RECORDINGS = sorted((FILES / "recordings").glob("*.ggc"))


def run(*arguments: str) -> str:
    """What a command of the program prints."""
    line = [sys.executable, "-m", "gradegap", *arguments]
    done = subprocess.run(line, capture_output=True, text=True, cwd=ROOT, timeout=60)
    assert done.returncode == 0, done.stdout + done.stderr
    return done.stdout


@pytest.mark.parametrize("path", RECORDINGS, ids=lambda path: path.stem)
def test_a_recording_of_an_earlier_version_replays_to_its_digest(path: Path) -> None:
    found: dict[str, Any] = json.loads(run("replay", "--json", str(path)))
    expected: dict[str, Any] = json.loads(path.with_suffix(".json").read_text())
    # Its digest is of all actions; states within the file were held against the replay's own.
    assert found == expected


@pytest.mark.parametrize("path", RECORDINGS, ids=lambda path: path.stem)
def test_a_replay_from_a_state_within_a_recording_decides_the_same(path: Path) -> None:
    about = json.loads(run("capture", "info", "--json", str(path)))
    since = about["from"] + about["seconds"] * 0.9
    found = json.loads(run("replay", "--json", "--from", str(since), str(path)))
    whole = json.loads(path.with_suffix(".json").read_text())
    assert 0 < found["steps"] < whole["steps"]
    assert found["differs_at"] is None
    assert not found["gaps"]


def test_there_are_recordings_with_states_in_the_middle() -> None:
    assert len(RECORDINGS) >= 2
    for path in RECORDINGS:
        assert json.loads(path.with_suffix(".json").read_text())["states"] >= 2


@pytest.mark.parametrize("path", RECORDINGS, ids=lambda path: path.stem)
def test_players_and_groups_are_redacted_in_a_recording_of_an_earlier_version(
    path: Path, tmp_path: Path
) -> None:
    out, key = tmp_path / "redacted.ggc", tmp_path / "key"
    key.write_bytes(b"a key of this test")
    assert "player100" in held_in(path)
    assert "team1" in held_in(path)
    run("capture", "redact", str(path), "--out", str(out), "--key", str(key))
    assert "player" not in held_in(out)
    assert "team1" not in held_in(out)


def held_in(path: Path) -> str:
    """All steps and states of a recording, as text."""
    return "\n".join(json.dumps(body) for body in readers.frame_bodies(path.read_bytes()))
