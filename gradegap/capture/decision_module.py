"""The module that decides: the program's own, or a candidate to replay a recording with.

A candidate is a file that defines `Balancer` (usually a subclass), or a folder with a copy of the package
`gradegap.balancing`. A copy is loaded under a name of its own, and what its modules import from
`gradegap.balancing` comes from the copy; only the types of events, actions and settings stay the program's,
since recordings are made of them.
"""

from __future__ import annotations

import ast
import hashlib
import importlib
import importlib.util
import itertools
import sys
from collections.abc import Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import ModuleSpec, SourceFileLoader
from pathlib import Path
from types import CodeType, ModuleType
from typing import Any

from gradegap.capture.errors import BadModuleError

PACKAGE = "gradegap.balancing"
SHARED = ("events", "actions", "settings")  # modules of the package that a copy does not replace
ENTRY = "balancer"  # the module that defines `Balancer`
_numbers = itertools.count(1)


def in_force() -> ModuleType:
    """The program's own module."""
    return importlib.import_module(f"{PACKAGE}.{ENTRY}")


def load(path: str | None) -> ModuleType:
    """The module in force where no path is given, else the candidate there; `BadModuleError` for none."""
    if path is None:
        return in_force()
    name = f"gradegap_candidate_{next(_numbers)}"
    try:
        made = _load_package(name, Path(path)) if Path(path).is_dir() else _load_file(name, path)
    except BadModuleError:
        raise
    except Exception as error:  # whatever the candidate's code does
        raise BadModuleError(f"{path} can't be loaded: {error}") from None
    if not hasattr(made, "Balancer"):
        raise BadModuleError(f"{path} has no Balancer")
    return made


def digest_of(module: Any) -> str:
    """The SHA-256 of what decides, in hexadecimal: of the module's file, or of all files of its package."""
    file = Path(module.__file__)
    if not module.__package__:
        return hashlib.sha256(file.read_bytes()).hexdigest()
    found = hashlib.sha256()
    for each in sorted(file.parent.rglob("*.py")):
        data = each.read_bytes()
        found.update(f"{each.relative_to(file.parent).as_posix()} {len(data)}\n".encode())
        found.update(data)
    return found.hexdigest()


def _load_file(name: str, path: str) -> ModuleType:
    spec = importlib.util.spec_from_file_location(name, path)
    if spec is None or spec.loader is None:
        raise BadModuleError(f"{path} is no Python file")
    made = importlib.util.module_from_spec(spec)
    sys.modules[name] = made  # dataclasses look it up
    spec.loader.exec_module(made)
    return made


def _load_package(name: str, folder: Path) -> ModuleType:
    for file in ("__init__.py", f"{ENTRY}.py"):
        if not (folder / file).is_file():
            raise BadModuleError(f"{folder} has no {file}")
    for module in SHARED:
        sys.modules[f"{name}.{module}"] = importlib.import_module(f"{PACKAGE}.{module}")
    sys.meta_path.insert(0, _CopyFinder(name, folder))  # stays, for imports within functions
    return importlib.import_module(f"{name}.{ENTRY}")


class _CopyFinder(MetaPathFinder):
    """Finds the modules of one copy of the package."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.folder = name, folder

    def find_spec(
        self, fullname: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        root, _, below = fullname.partition(".")
        if root != self.name:
            return None
        place = self.folder.joinpath(*below.split(".")) if below else self.folder
        if place.is_dir():
            file, inner = place / "__init__.py", [str(place)]
        else:
            file, inner = place.with_suffix(".py"), None
        if not file.is_file():
            return None
        loader = _CopyLoader(fullname, str(file), self.name)
        return importlib.util.spec_from_file_location(
            fullname, file, loader=loader, submodule_search_locations=inner
        )


class _CopyLoader(SourceFileLoader):
    """Loads a module of a copy, with its imports from the package turned to the copy."""

    def __init__(self, fullname: str, path: str, root: str) -> None:
        super().__init__(fullname, path)
        self.root = root

    def get_code(self, fullname: str) -> CodeType:
        # No bytecode is read or written: a cached file may be the original's, copied along.
        tree = _TurnImports(self.root).visit(ast.parse(self.get_data(self.path), self.path))
        code: CodeType = compile(ast.fix_missing_locations(tree), self.path, "exec", dont_inherit=True)
        return code


class _TurnImports(ast.NodeTransformer):
    """Puts the name of a copy in the place of the package's in imports."""

    def __init__(self, root: str) -> None:
        self.root = root

    def _turned(self, name: str) -> str:
        if name == PACKAGE or name.startswith(f"{PACKAGE}."):
            return self.root + name[len(PACKAGE) :]
        return name

    def visit_ImportFrom(self, node: ast.ImportFrom) -> ast.ImportFrom:
        """`from gradegap.balancing... import ...`."""
        parent, _, last = PACKAGE.rpartition(".")
        if node.module == parent and any(each.name == last for each in node.names):
            raise BadModuleError(f"line {node.lineno}: write `from {PACKAGE} import ...` in a candidate")
        if node.module is not None and not node.level:
            node.module = self._turned(node.module)
        return node

    def visit_Import(self, node: ast.Import) -> ast.Import:
        """`import gradegap.balancing... as ...`; without a name it would bind the program's."""
        for each in node.names:
            turned = self._turned(each.name)
            if turned != each.name and each.asname is None:
                raise BadModuleError(f"line {node.lineno}: write `from {PACKAGE} import ...` in a candidate")
            each.name = turned
        return node
