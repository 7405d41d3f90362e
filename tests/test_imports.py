"""Modules have no circular imports, not even for type checking; the Raft package imports no other package."""

from __future__ import annotations

import ast
import graphlib
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.support.node_environment import ROOT

PACKAGE = "gradegap"


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def imported_names(path: Path) -> Iterator[str]:
    """Full names of all imports of a module, also inside functions; some of them are modules."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def imports() -> dict[str, set[str]]:
    paths = {module_name(path): path for path in (ROOT / PACKAGE).rglob("*.py")}
    return {name: {*imported_names(path)} & paths.keys() - {name} for name, path in paths.items()}


def test_package_has_no_circular_imports() -> None:
    try:
        graphlib.TopologicalSorter(imports()).prepare()
    except graphlib.CycleError as error:
        raise AssertionError(f"circular import: {' <- '.join(error.args[1])}") from error


def test_circular_import_is_detected() -> None:
    graph = imports() | {"gradegap.raft.role": {"gradegap.raft.core"}}
    with pytest.raises(graphlib.CycleError) as caught:
        graphlib.TopologicalSorter(graph).prepare()
    assert {"gradegap.raft.role", "gradegap.raft.core"} <= {*caught.value.args[1]}


def test_raft_imports_no_other_package() -> None:
    for name, imported in imports().items():
        if name.startswith(f"{PACKAGE}.raft"):
            assert all(other.startswith(f"{PACKAGE}.raft") for other in imported), (name, imported)


def test_no_module_outside_verification_imports_it() -> None:
    for name, imported in imports().items():
        if not name.startswith(f"{PACKAGE}.verification"):
            assert not [other for other in imported if other.startswith(f"{PACKAGE}.verification")], name
