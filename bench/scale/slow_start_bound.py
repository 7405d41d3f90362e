"""Result of the slow start tests: the simulated number of processes, and whether a test is known to fail."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[2]
TEST = "tests/test_cold_ramp.py"
# Numbers of processes that the test simulates or has simulated; only these are looked for in its text.
PROCESS_COUNTS = (20, 30, 200, 1_600)
# Process count at which the test failed, and factor by which it missed its bound, as KNOWN-RED.txt gave them.
FAILING_PROCESSES, FAILING_FACTOR = 200, 1.18


@dataclass(frozen=True)
class SlowStartBound:
    """Result of the test of the bound."""

    is_known_to_fail: bool
    process_count: int  # the largest number of processes that the test simulates


def slow_start_bound(root: Path = ROOT) -> SlowStartBound:
    """Reads the result from the test file and from KNOWN-RED.txt."""
    known_failures = root / "KNOWN-RED.txt"
    is_known_to_fail = known_failures.exists() and TEST in known_failures.read_text()
    text = (root / TEST).read_text().replace("_", "").replace(",", "")
    process_count = max(
        (count for count in PROCESS_COUNTS if re.search(rf"(?<![\d.]){count}(?![\d.])", text)), default=0
    )
    return SlowStartBound(is_known_to_fail, process_count)
