"""Python examples of README.md and of the operators' pages print the output that the pages show."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = [
    pytest.param(code, expected, id=f"{page.stem}-{example_index}")
    for page in sorted((ROOT / "docs" / "operators").glob("*.md"))
    for example_index, (code, expected) in enumerate(
        re.findall(r"```python\n(.*?)```\s+prints\s+```text\n(.*?)```", page.read_text(), re.S)
    )
]


def run_example(code: str) -> str:
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60
    )
    assert process.stderr == ""
    return process.stdout


def test_readme_example_runs() -> None:
    found = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert found is not None
    expected = r"open a connection to 10\.0\.0\.[1-4]:443, give it 1\.5 s\n"
    assert re.fullmatch(expected, run_example(found.group(1)))


@pytest.mark.parametrize(("code", "expected"), EXAMPLES)
def test_example_prints_output_shown_on_its_page(code: str, expected: str) -> None:
    assert run_example(code) == expected


def test_pages_have_examples() -> None:
    assert EXAMPLES
