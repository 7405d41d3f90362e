"""Tests that recordings of an earlier version replay to the same decisions."""

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
    """Runs a command of the program and returns its output."""
    command = [sys.executable, "-m", "gradegap", *arguments]
    completed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=60)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    return completed.stdout


@pytest.mark.parametrize("path", RECORDINGS, ids=lambda path: path.stem)
def test_replay_of_a_recording_gives_its_stored_digest(path: Path) -> None:
    found: dict[str, Any] = json.loads(run("replay", "--json", str(path)))
    expected: dict[str, Any] = json.loads(path.with_suffix(".json").read_text())
    # The digest covers all actions; the replay also compares the states in the file with its own.
    assert found == expected


@pytest.mark.parametrize("path", RECORDINGS, ids=lambda path: path.stem)
def test_replay_from_a_state_in_the_middle_gives_the_same_decisions(path: Path) -> None:
    info = json.loads(run("capture", "info", "--json", str(path)))
    since = info["from"] + info["seconds"] * 0.9
    found = json.loads(run("replay", "--json", "--from", str(since), str(path)))
    whole = json.loads(path.with_suffix(".json").read_text())
    assert 0 < found["steps"] < whole["steps"]
    assert found["differs_at"] is None
    assert not found["gaps"]


def test_recordings_contain_states_in_the_middle() -> None:
    assert len(RECORDINGS) >= 2
    for path in RECORDINGS:
        assert json.loads(path.with_suffix(".json").read_text())["states"] >= 2


@pytest.mark.parametrize("path", RECORDINGS, ids=lambda path: path.stem)
def test_redaction_removes_players_and_groups(path: Path, tmp_path: Path) -> None:
    out, key = tmp_path / "redacted.ggc", tmp_path / "key"
    key.write_bytes(b"a key of this test")
    assert "player100" in recorded_text(path)
    assert "team1" in recorded_text(path)
    run("capture", "redact", str(path), "--out", str(out), "--key", str(key))
    assert "player" not in recorded_text(out)
    assert "team1" not in recorded_text(out)


def recorded_text(path: Path) -> str:
    """Returns all steps and states of a recording as text."""
    return "\n".join(json.dumps(body) for body in readers.frame_bodies(path.read_bytes()))
