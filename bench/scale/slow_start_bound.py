"""What the tests of cold servers say: how many processes they play, and whether one is known to fail."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[2]
TEST = "tests/test_cold_ramp.py"
SIZES = (20, 30, 200, 1_600)  # processes that the test has been played with over time
FAILING_PROCESSES, FAILING_FACTOR = 200, 1.18  # what KNOWN-RED.txt told of its line


@dataclass(frozen=True)
class SlowStartBound:
    """`red`: a test of the bound is known to fail. `played`: the most processes that the test names."""

    red: bool
    played: int


def slow_start_bound(root: Path = ROOT) -> SlowStartBound:
    """As the test file and KNOWN-RED.txt are now."""
    known = root / "KNOWN-RED.txt"
    red = known.exists() and TEST in known.read_text()
    text = (root / TEST).read_text().replace("_", "").replace(",", "")
    played = max((size for size in SIZES if re.search(rf"(?<![\d.]){size}(?![\d.])", text)), default=0)
    return SlowStartBound(red, played)
