"""Mutated copies of the balancing package, to replay recordings with."""

from __future__ import annotations

import shutil
from pathlib import Path
from types import ModuleType

import gradegap.balancing
from gradegap.capture import decision_module

BALANCING = Path(gradegap.balancing.__path__[0])


def mutated_copy(folder: Path, old: str, new: str) -> Path:
    """Copies `gradegap/balancing` into `folder` and replaces `old` by `new` in the copy.

    `old` must occur in exactly one file, and not in one of the modules that a loaded copy shares with the
    original.
    """
    copy = folder / "balancing"
    shutil.copytree(BALANCING, copy, ignore=shutil.ignore_patterns("__pycache__"))
    matches = [path for path in sorted(copy.rglob("*.py")) if old in path.read_text()]
    assert len(matches) == 1, (old, [path.name for path in matches])
    (path,) = matches
    assert path.stem not in decision_module.SHARED, (old, path.name)
    path.write_text(path.read_text().replace(old, new))
    return copy


def mutant(folder: Path, old: str, new: str) -> ModuleType:
    """Loads the decision module of a mutated copy."""
    return decision_module.load(str(mutated_copy(folder, old, new)))
