"""Lint rules on names, docstrings and complexity apply to all files but those on a list that may only shrink.

Ruff checks the rules; pyproject.toml lists the exempt files, each with the rule families that it violates.
These tests compare that list with the copy below: a file that violates no rule is removed from both, and none
is added.
"""

from __future__ import annotations

import json
import re
import subprocess
import sys
import tomllib
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

import pytest

from tests.support.node_environment import ROOT

FAMILIES = ("N", "D", "C90", "PLR0915")
WHOLE_TREE = ("ANN", "RET", "PTH", "PERF", "ASYNC", "RUF", "PT", "TRY")  # rules that apply to all files
IGNORED = [  # pyproject.toml gives the reasons
    *("D105", "D107", "ANN401", "ASYNC110", "ASYNC240", "PTH101", "PTH104", "PTH105", "PTH108"),
    *("PT012", "PT018", "RUF001", "TRY003", "TRY004", "TRY301", "TRY400"),
]
TESTS_POLICY = {"tests/**": ["D101", "D102", "D103", "D104", "D2", "D4"]}

# The only exemptions that pyproject.toml may list. Lines may be removed, never added.
RECORDED = """
"""

Exceptions = Mapping[str, frozenset[str]]  # rule families that each file may violate


def recorded() -> Exceptions:
    rows = (line.split(": ") for line in RECORDED.split("\n") if line)
    return {path: frozenset(families.split()) for path, families in rows}


def ruff_settings() -> dict[str, Any]:
    settings: dict[str, Any] = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
    return settings


def exempted(per_file: Mapping[str, list[str]]) -> Exceptions:
    return {path: frozenset(families) for path, families in per_file.items() if path not in TESTS_POLICY}


def violations() -> Exceptions:
    """Violations that ruff finds with the exemptions and all `noqa` comments ignored."""
    policy = ", ".join(f"{json.dumps(glob)} = {json.dumps(codes)}" for glob, codes in TESTS_POLICY.items())
    command = [sys.executable, "-m", "ruff", "check", ".", "--no-cache", "--ignore-noqa", "--exit-zero"]
    command += ["--output-format", "json", "--config", f"lint.per-file-ignores = {{ {policy} }}"]
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert process.returncode == 0, process.stderr
    found: dict[str, set[str]] = defaultdict(set)
    for violation in json.loads(process.stdout):
        for family in FAMILIES:
            if re.fullmatch(rf"{family}\d*", violation["code"]):
                found[violation["filename"].removeprefix(f"{ROOT}/")].add(family)
    return {path: frozenset(families) for path, families in found.items()}


def problems(on_list: Exceptions, on_record: Exceptions, violated: Exceptions) -> list[str]:
    """Errors of the list of exemptions, one line for each file and kind of error."""
    errors: list[str] = []
    for path in sorted({*on_list, *on_record, *violated}):
        allowed = on_list.get(path, frozenset())
        if added := allowed - on_record.get(path, frozenset()):
            errors.append(f"{path}: {sorted(added)} was put on the list, which only shrinks")
        if unneeded := allowed - violated.get(path, frozenset()):
            errors.append(
                f"{path}: {sorted(unneeded)} is kept now, or the file is gone: take it off the list"
            )
        if hidden := violated.get(path, frozenset()) - allowed:
            errors.append(f"{path}: {sorted(hidden)} is broken, and the file is not listed for it")
        if left := on_record.get(path, frozenset()) - allowed:
            errors.append(f"{path}: {sorted(left)} is off the list: take it off RECORDED too")
    return errors


def test_exemptions_match_record_and_violations() -> None:
    on_list = exempted(ruff_settings()["lint"]["per-file-ignores"])
    assert problems(on_list, recorded(), violations()) == []


def test_lint_rules_stay_enabled() -> None:
    settings = ruff_settings()
    lint = settings["lint"]
    assert {*FAMILIES} <= {*lint["select"]}
    assert lint["ignore"] == IGNORED
    assert {*WHOLE_TREE} <= {*lint["select"]}
    assert lint["mccabe"]["max-complexity"] <= 12
    assert lint["pylint"]["max-statements"] <= 50
    assert lint["pydocstyle"]["convention"] == "google"
    assert {path: codes for path, codes in lint["per-file-ignores"].items() if "*" in path} == TESTS_POLICY
    assert settings["extend-exclude"] == ["journal", "found"]
    assert not {"exclude", "extend-per-file-ignores"} & {*settings, *lint}


@pytest.mark.parametrize(
    ("on_list", "on_record", "violated", "problem"),
    [
        ({"a": "D"}, {}, {"a": "D"}, "put on the list"),
        ({"a": "DN"}, {"a": "D"}, {"a": "DN"}, "put on the list"),
        ({"a": "D"}, {"a": "D"}, {}, "kept now"),
        ({"a": "DN"}, {"a": "DN"}, {"a": "D"}, "kept now"),
        ({}, {}, {"a": "N"}, "not listed"),
        ({}, {"a": "D"}, {}, "off RECORDED"),
    ],
)
def test_each_error_of_the_exemptions_is_reported(
    on_list: dict[str, str], on_record: dict[str, str], violated: dict[str, str], problem: str
) -> None:
    arguments = [
        {path: frozenset(letters) for path, letters in exceptions.items()}
        for exceptions in (on_list, on_record, violated)
    ]
    (found,) = problems(arguments[0], arguments[1], arguments[2])
    assert found.startswith("a: ") and problem in found
