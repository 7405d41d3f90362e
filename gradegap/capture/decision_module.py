"""Loads the decision module: the program's own, or a candidate with which a recording is replayed.

A candidate is a file that defines `Balancer` (usually a subclass), or a folder with a copy of the package
`gradegap.balancing`. A copy is loaded under a generated module name, and imports of `gradegap.balancing` in
its modules are redirected to the copy. Only the modules of events, actions and settings are shared with the
program, because recordings are decoded into these types.
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
SHARED = ("events", "actions", "settings")  # modules that a copy shares with the program
ENTRY = "balancer"  # the module that defines `Balancer`
_candidate_numbers = itertools.count(1)


def in_force() -> ModuleType:
    """Returns the program's own decision module."""
    return importlib.import_module(f"{PACKAGE}.{ENTRY}")


def load(path: str | None) -> ModuleType:
    """Returns the candidate at `path`, or the module in force if `path` is None.

    Raises `BadModuleError` if the candidate can't be loaded or defines no `Balancer`.
    """
    if path is None:
        return in_force()
    name = f"gradegap_candidate_{next(_candidate_numbers)}"
    try:
        module = _load_package(name, Path(path)) if Path(path).is_dir() else _load_file(name, path)
    except BadModuleError:
        raise
    except Exception as error:  # the code of a candidate may raise anything
        raise BadModuleError(f"{path} can't be loaded: {error}") from None
    if not hasattr(module, "Balancer"):
        raise BadModuleError(f"{path} has no Balancer")
    return module


def digest_of(module: Any) -> str:
    """Returns the SHA-256, in hexadecimal, of the module's file or of all files of its package."""
    file = Path(module.__file__)
    if not module.__package__:
        return hashlib.sha256(file.read_bytes()).hexdigest()
    digest = hashlib.sha256()
    for path in sorted(file.parent.rglob("*.py")):
        data = path.read_bytes()
        digest.update(f"{path.relative_to(file.parent).as_posix()} {len(data)}\n".encode())
        digest.update(data)
    return digest.hexdigest()


def _load_file(name: str, path: str) -> ModuleType:
    spec = importlib.util.spec_from_file_location(name, path)
    if spec is None or spec.loader is None:
        raise BadModuleError(f"{path} is not a Python file")
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module  # the dataclass decorator looks up a class's module in `sys.modules`
    spec.loader.exec_module(module)
    return module


def _load_package(name: str, folder: Path) -> ModuleType:
    for file in ("__init__.py", f"{ENTRY}.py"):
        if not (folder / file).is_file():
            raise BadModuleError(f"{folder} has no {file}")
    for module in SHARED:
        sys.modules[f"{name}.{module}"] = importlib.import_module(f"{PACKAGE}.{module}")
    sys.meta_path.insert(0, _CopyFinder(name, folder))  # never removed: the copy's functions may import later
    return importlib.import_module(f"{name}.{ENTRY}")


class _CopyFinder(MetaPathFinder):
    """Finds the modules of one loaded copy of the package."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.folder = name, folder

    def find_spec(
        self, fullname: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        root, _, submodule = fullname.partition(".")
        if root != self.name:
            return None
        location = self.folder.joinpath(*submodule.split(".")) if submodule else self.folder
        if location.is_dir():
            file, search_locations = location / "__init__.py", [str(location)]
        else:
            file, search_locations = location.with_suffix(".py"), None
        if not file.is_file():
            return None
        loader = _CopyLoader(fullname, str(file), self.name)
        return importlib.util.spec_from_file_location(
            fullname, file, loader=loader, submodule_search_locations=search_locations
        )


class _CopyLoader(SourceFileLoader):
    """Loads a module of a copy, and redirects its imports of the package to the copy."""

    def __init__(self, fullname: str, path: str, root: str) -> None:
        super().__init__(fullname, path)
        self.root = root

    def get_code(self, fullname: str) -> CodeType:
        # Bytecode is neither read nor written: a cache file in the copy may belong to the original module.
        tree = _ImportRedirection(self.root).visit(ast.parse(self.get_data(self.path), self.path))
        code: CodeType = compile(ast.fix_missing_locations(tree), self.path, "exec", dont_inherit=True)
        return code


class _ImportRedirection(ast.NodeTransformer):
    """Replaces the package's name by the name of a copy in import statements."""

    def __init__(self, root: str) -> None:
        self.root = root

    def _redirected(self, name: str) -> str:
        if name == PACKAGE or name.startswith(f"{PACKAGE}."):
            return self.root + name[len(PACKAGE) :]
        return name

    def visit_ImportFrom(self, node: ast.ImportFrom) -> ast.ImportFrom:
        """Redirects `from gradegap.balancing... import ...`."""
        parent, _, last = PACKAGE.rpartition(".")
        if node.module == parent and any(alias.name == last for alias in node.names):
            raise BadModuleError(f"line {node.lineno}: write `from {PACKAGE} import ...` in a candidate")
        if node.module is not None and not node.level:
            node.module = self._redirected(node.module)
        return node

    def visit_Import(self, node: ast.Import) -> ast.Import:
        """Redirects `import gradegap.balancing... as ...`; without `as` it binds the program's package."""
        for alias in node.names:
            redirected = self._redirected(alias.name)
            if redirected != alias.name and alias.asname is None:
                raise BadModuleError(f"line {node.lineno}: write `from {PACKAGE} import ...` in a candidate")
            alias.name = redirected
        return node
