"""The simulator's wire: batches of an earlier version have the same replies."""

from __future__ import annotations

import subprocess

from tests.compatibility import surface
from tests.compatibility.fixtures import FILES
from tests.support.node_environment import ROOT


def test_batches_have_the_same_replies() -> None:
    batches = (FILES / "simulator" / "batches.txt").read_text()
    done = subprocess.run(
        surface.SIMULATOR, input=batches, capture_output=True, text=True, cwd=ROOT, timeout=60
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout.splitlines() == (FILES / "simulator" / "replies.txt").read_text().splitlines()
