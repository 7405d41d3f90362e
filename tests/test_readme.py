"""The example of README.md runs as written."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_example_runs() -> None:
    found = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert found is not None
    command = [sys.executable, "-c", found.group(1)]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=60)
    assert done.stderr == ""
    assert re.fullmatch(r"open a connection to 10\.0\.0\.[1-4]:443, give it 1\.5 s\n", done.stdout)
