"""docs/ARCHITECTURE.md is held to the code: the modules it names, all packages, the imports it allows."""

from __future__ import annotations

import ast
import re
from graphlib import TopologicalSorter

import pytest

from tests.support.node_environment import ROOT

PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
PACKAGE = ROOT / "gradegap"
ROW = re.compile(r"^\| `(\w+)` \| ([^|]+) \| ([^|]+) \|$", re.M)


def units() -> set[str]:
    """The packages and modules that stand directly in `gradegap`."""
    folders = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    return folders | {path.stem for path in PACKAGE.glob("*.py")} - {"__init__", "__main__"}


def imported(unit: str) -> set[str]:
    """What a unit imports of the project, the imports inside functions included."""
    files = PACKAGE.glob(f"{unit}/**/*.py") if (PACKAGE / unit).is_dir() else [PACKAGE / f"{unit}.py"]
    found: set[str] = set()
    for path in files:
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.ImportFrom(module="gradegap"):
                    found |= {alias.name for alias in node.names}
                case ast.ImportFrom(module=str(name)) if name.startswith("gradegap."):
                    found.add(name.split(".")[1])
                case ast.Import():
                    names = [alias.name for alias in node.names if alias.name.startswith("gradegap.")]
                    found |= {name.split(".")[1] for name in names}
                case _:
                    pass
    return (found & units()) - {unit}


def told() -> dict[str, set[str]]:
    """The table of the page: each unit with what it may import."""
    return {unit: set(re.findall(r"`(\w+)`", imports)) for unit, _, imports in ROW.findall(PAGE)}


def test_each_package_and_module_stands_on_the_page() -> None:
    assert told().keys() == units()


@pytest.mark.parametrize("unit", sorted(units()))
def test_a_unit_imports_what_the_page_says_and_nothing_else(unit: str) -> None:
    assert imported(unit) == told()[unit]


def test_imports_go_round_in_no_circle() -> None:
    assert set(TopologicalSorter(told()).static_order()) == units()


def test_each_module_that_the_page_names_exists() -> None:
    named = {name for name in re.findall(r"`([a-z_]+(?:/[a-z_]+)+)`", PAGE) if name.split("/")[0] in units()}
    assert len(named) >= 8
    for name in sorted(named):
        assert (PACKAGE / f"{name}.py").is_file() or (PACKAGE / name / "__init__.py").is_file(), name
    for name in re.findall(r"gradegap((?:\.[a-z_]+)+)", PAGE):
        path = PACKAGE.joinpath(*name.strip(".").split("."))
        assert path.with_suffix(".py").is_file() or path.is_dir(), name
