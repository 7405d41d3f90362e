"""Tests that batches on the simulator's wire get the same replies as from an earlier version."""

from __future__ import annotations

import subprocess

from tests.compatibility import surface
from tests.compatibility.fixtures import FILES
from tests.support.node_environment import ROOT


def test_batches_get_the_same_replies() -> None:
    batches = (FILES / "simulator" / "batches.txt").read_text()
    completed = subprocess.run(
        surface.SIMULATOR, input=batches, capture_output=True, text=True, cwd=ROOT, timeout=60
    )
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.splitlines() == (FILES / "simulator" / "replies.txt").read_text().splitlines()
