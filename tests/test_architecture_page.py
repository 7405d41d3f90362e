"""docs/ARCHITECTURE.md agrees with the code: it lists all packages, their imports, and existing modules."""

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
    """Packages and modules directly in `gradegap`."""
    folders = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    return folders | {path.stem for path in PACKAGE.glob("*.py")} - {"__init__", "__main__"}


def imported_units(unit: str) -> set[str]:
    """Units of the project that a unit imports, also inside functions."""
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


def listed_imports() -> dict[str, set[str]]:
    """Units that each unit may import, from the page's table."""
    return {unit: set(re.findall(r"`(\w+)`", imports)) for unit, _, imports in ROW.findall(PAGE)}


def test_page_lists_all_packages_and_modules() -> None:
    assert listed_imports().keys() == units()


@pytest.mark.parametrize("unit", sorted(units()))
def test_unit_imports_exactly_what_the_page_lists(unit: str) -> None:
    assert imported_units(unit) == listed_imports()[unit]


def test_listed_imports_are_not_circular() -> None:
    assert set(TopologicalSorter(listed_imports()).static_order()) == units()


def test_modules_named_on_the_page_exist() -> None:
    named = {name for name in re.findall(r"`([a-z_]+(?:/[a-z_]+)+)`", PAGE) if name.split("/")[0] in units()}
    assert len(named) >= 8
    for name in sorted(named):
        assert (PACKAGE / f"{name}.py").is_file() or (PACKAGE / name / "__init__.py").is_file(), name
    for name in re.findall(r"gradegap((?:\.[a-z_]+)+)", PAGE):
        path = PACKAGE.joinpath(*name.strip(".").split("."))
        assert path.with_suffix(".py").is_file() or path.is_dir(), name
