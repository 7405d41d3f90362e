"""The list of tests that are known to fail: CI passes over just those, and over three of them at most."""

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
RED = "cases/test_it.py::test_red | a fault | issue 7\n"
EACH = "cases/test_it.py::test_red_each | the same | issue 8\n"
SOUND = "cases/test_it.py::test_sound | none | issue 9\n"


def run(folder: Path, listed: str | None) -> tuple[int, str]:
    (folder / "cases").mkdir()
    (folder / "cases" / "test_it.py").write_text(CASES)
    if listed is not None:
        (folder / known_red.FILE_NAME).write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider"]
    command += ["--rootdir", str(folder), "-c", os.devnull, "cases"]
    env = os.environ | {"PYTHONPATH": str(ROOT)}
    done = subprocess.run(command, capture_output=True, text=True, cwd=folder, env=env, timeout=60)
    return done.returncode, done.stdout + done.stderr


def test_those_on_the_list_are_passed_over_and_printed(tmp_path: Path) -> None:
    code, said = run(tmp_path, RED + "\n" + EACH)
    assert code == 0 and "1 passed, 3 xfailed" in said
    assert "KNOWN RED, passed over: cases/test_it.py::test_red: a fault (issue 7)" in said
    assert "cases/test_it.py::test_red_each: the same (issue 8)" in said


@pytest.mark.parametrize(("listed", "failed"), [(None, 3), ("", 3), (RED, 2)])
def test_a_test_that_is_not_on_the_list_still_fails(tmp_path: Path, listed: str | None, failed: int) -> None:
    code, said = run(tmp_path, listed)
    assert code == pytest.ExitCode.TESTS_FAILED and f"{failed} failed" in said


@pytest.mark.parametrize(
    ("listed", "why"),
    [
        ("cases/test_it.py::test_red_no_more | a fault | issue 7\n", "is no test"),
        ("cases/test_gone.py::test_red | a fault | issue 7\n", "is no test"),
        ("cases/test_it.py | a fault | issue 7\n", "is no test"),
        ("cases/test_it.py::CASES | a fault | issue 7\n", "is no test"),
        ("cases/test_it.py::test_red | a fault\n", "is not `test | cause | issue`"),
        ("cases/test_it.py::test_red | | issue 7\n", "is not `test | cause | issue`"),
        (RED + EACH + SOUND + RED, "4 lines"),
    ],
)
def test_a_list_that_may_not_be_gone_by_ends_the_run(tmp_path: Path, listed: str, why: str) -> None:
    code, said = run(tmp_path, listed)
    assert code == pytest.ExitCode.USAGE_ERROR and why in said and "passed" not in said


def test_the_list_of_this_repository_can_be_gone_by() -> None:
    known_red.read(ROOT)
