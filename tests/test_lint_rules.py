"""The rules on names, docstrings and complexity hold everywhere, but for a list of files that only shrinks.

Ruff applies the rules; pyproject.toml lists the files that are not yet brought over, each with the families
of rules that it still breaks. Here the list is held to its record: a file is taken off both when it is
clean, and none is put on.
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
WHOLE_TREE = ("ANN", "RET", "PTH", "PERF", "ASYNC", "RUF", "PT", "TRY")  # kept by every file
IGNORED = [  # pyproject.toml says why of each
    *("D105", "D107", "ANN401", "ASYNC110", "ASYNC240", "PTH101", "PTH104", "PTH105", "PTH108"),
    *("PT012", "PT018", "RUF001", "TRY003", "TRY004", "TRY301", "TRY400"),
]
TESTS_POLICY = {"tests/**": ["D101", "D102", "D103", "D104", "D2", "D4"]}

# What pyproject.toml may list, and no more. Take lines away; never add one.
RECORDED = """
"""

Exceptions = Mapping[str, frozenset[str]]  # by file: the families of rules that it does not keep


def recorded() -> Exceptions:
    rows = (line.split(": ") for line in RECORDED.split("\n") if line)
    return {path: frozenset(families.split()) for path, families in rows}


def ruff_settings() -> dict[str, Any]:
    settings: dict[str, Any] = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
    return settings


def listed(per_file: Mapping[str, list[str]]) -> Exceptions:
    return {path: frozenset(families) for path, families in per_file.items() if path not in TESTS_POLICY}


def broken() -> Exceptions:
    """What ruff finds when neither the list nor a comment on a line hides anything."""
    policy = ", ".join(f"{json.dumps(glob)} = {json.dumps(codes)}" for glob, codes in TESTS_POLICY.items())
    command = [sys.executable, "-m", "ruff", "check", ".", "--no-cache", "--ignore-noqa", "--exit-zero"]
    command += ["--output-format", "json", "--config", f"lint.per-file-ignores = {{ {policy} }}"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    found: dict[str, set[str]] = defaultdict(set)
    for breach in json.loads(done.stdout):
        for family in FAMILIES:
            if re.fullmatch(rf"{family}\d*", breach["code"]):
                found[breach["filename"].removeprefix(f"{ROOT}/")].add(family)
    return {path: frozenset(families) for path, families in found.items()}


def problems(on_list: Exceptions, on_record: Exceptions, not_kept: Exceptions) -> list[str]:
    """What is wrong with the list, one line for each file."""
    wrong: list[str] = []
    for path in sorted({*on_list, *on_record, *not_kept}):
        allowed = on_list.get(path, frozenset())
        if added := allowed - on_record.get(path, frozenset()):
            wrong.append(f"{path}: {sorted(added)} was put on the list, which only shrinks")
        if kept := allowed - not_kept.get(path, frozenset()):
            wrong.append(f"{path}: {sorted(kept)} is kept now, or the file is gone: take it off the list")
        if hidden := not_kept.get(path, frozenset()) - allowed:
            wrong.append(f"{path}: {sorted(hidden)} is broken, and the file is not listed for it")
        if left := on_record.get(path, frozenset()) - allowed:
            wrong.append(f"{path}: {sorted(left)} is off the list: take it off RECORDED too")
    return wrong


def test_the_list_of_files_not_brought_over_is_what_it_was_or_shorter() -> None:
    on_list = listed(ruff_settings()["lint"]["per-file-ignores"])
    assert problems(on_list, recorded(), broken()) == []


def test_the_rules_stay_switched_on() -> None:
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
    ("on_list", "on_record", "not_kept", "problem"),
    [
        ({"a": "D"}, {}, {"a": "D"}, "put on the list"),
        ({"a": "DN"}, {"a": "D"}, {"a": "DN"}, "put on the list"),
        ({"a": "D"}, {"a": "D"}, {}, "kept now"),
        ({"a": "DN"}, {"a": "DN"}, {"a": "D"}, "kept now"),
        ({}, {}, {"a": "N"}, "not listed"),
        ({}, {"a": "D"}, {}, "off RECORDED"),
    ],
)
def test_each_way_of_the_list_to_be_wrong_is_seen(
    on_list: dict[str, str], on_record: dict[str, str], not_kept: dict[str, str], problem: str
) -> None:
    sides = [
        {path: frozenset(letters) for path, letters in side.items()}
        for side in (on_list, on_record, not_kept)
    ]
    (found,) = problems(sides[0], sides[1], sides[2])
    assert found.startswith("a: ") and problem in found
