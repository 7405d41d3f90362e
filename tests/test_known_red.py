"""The list of tests that are known to fail: CI skips only these, and at most three entries are allowed."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red
from tests.support.node_environment import ROOT

CASES = """
import pytest

def test_sound():
    pass

def test_red():
    raise AssertionError("the fault")

@pytest.mark.parametrize("k", [1, 2])
def test_red_each(k):
    raise AssertionError("the fault")
"""
FAILING_LINE = "cases/test_it.py::test_red | a fault | issue 7\n"
PARAMETRIZED_LINE = "cases/test_it.py::test_red_each | the same | issue 8\n"
PASSING_LINE = "cases/test_it.py::test_sound | none | issue 9\n"


def run(folder: Path, listed: str | None) -> tuple[int, str]:
    (folder / "cases").mkdir()
    (folder / "cases" / "test_it.py").write_text(CASES)
    if listed is not None:
        (folder / known_red.FILE_NAME).write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider"]
    command += ["--rootdir", str(folder), "-c", os.devnull, "cases"]
    env = os.environ | {"PYTHONPATH": str(ROOT)}
    process = subprocess.run(command, capture_output=True, text=True, cwd=folder, env=env, timeout=60)
    return process.returncode, process.stdout + process.stderr


def test_listed_tests_are_expected_to_fail_and_printed(tmp_path: Path) -> None:
    code, output = run(tmp_path, FAILING_LINE + "\n" + PARAMETRIZED_LINE)
    assert code == 0 and "1 passed, 3 xfailed" in output
    assert "KNOWN RED, passed over: cases/test_it.py::test_red: a fault (issue 7)" in output
    assert "cases/test_it.py::test_red_each: the same (issue 8)" in output


@pytest.mark.parametrize(("listed", "failed"), [(None, 3), ("", 3), (FAILING_LINE, 2)])
def test_failing_test_that_is_not_listed_fails_the_run(
    tmp_path: Path, listed: str | None, failed: int
) -> None:
    code, output = run(tmp_path, listed)
    assert code == pytest.ExitCode.TESTS_FAILED and f"{failed} failed" in output


@pytest.mark.parametrize(
    ("listed", "reason"),
    [
        ("cases/test_it.py::test_red_no_more | a fault | issue 7\n", "is no test"),
        ("cases/test_gone.py::test_red | a fault | issue 7\n", "is no test"),
        ("cases/test_it.py | a fault | issue 7\n", "is no test"),
        ("cases/test_it.py::CASES | a fault | issue 7\n", "is no test"),
        ("cases/test_it.py::test_red | a fault\n", "is not `test | cause | issue`"),
        ("cases/test_it.py::test_red | | issue 7\n", "is not `test | cause | issue`"),
        (FAILING_LINE + PARAMETRIZED_LINE + PASSING_LINE + FAILING_LINE, "4 lines"),
    ],
)
def test_invalid_list_ends_the_run(tmp_path: Path, listed: str, reason: str) -> None:
    code, output = run(tmp_path, listed)
    assert code == pytest.ExitCode.USAGE_ERROR and reason in output and "passed" not in output


def test_list_of_this_repository_is_valid() -> None:
    known_red.read(ROOT)
