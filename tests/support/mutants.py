"""Changed copies of the package that decides, to replay recordings with."""

from __future__ import annotations

import shutil
from pathlib import Path
from types import ModuleType

import gradegap.balancing
from gradegap.capture import decision_module

BALANCING = Path(gradegap.balancing.__path__[0])


def mutated_copy(folder: Path, old: str, new: str) -> Path:
    """A copy of `gradegap/balancing` in `folder` with `new` in the place of `old`, wherever that is.

    `old` must be in exactly one file, and not in one of those that a copy does not replace.
    """
    copy = folder / "balancing"
    shutil.copytree(BALANCING, copy, ignore=shutil.ignore_patterns("__pycache__"))
    found = [path for path in sorted(copy.rglob("*.py")) if old in path.read_text()]
    assert len(found) == 1, (old, [path.name for path in found])
    (path,) = found
    assert path.stem not in decision_module.SHARED, (old, path.name)
    path.write_text(path.read_text().replace(old, new))
    return copy


def mutant(folder: Path, old: str, new: str) -> ModuleType:
    """The decision module of such a copy."""
    return decision_module.load(str(mutated_copy(folder, old, new)))
