"""Reads the committed files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

FILES = Path(__file__).parent / "files"


def load(name: str) -> Any:
    """Returns a JSON fixture."""
    return json.loads((FILES / name).read_text())


def messages() -> list[dict[str, Any]]:
    """Returns all encoded messages; each later version has its own file."""
    return [entry for path in sorted(FILES.glob("messages*.json")) for entry in json.loads(path.read_text())]


def exact(value: Any) -> str:
    """Returns a plain value as JSON text, so that 1, 1.0 and True differ and the order of fields counts."""
    return json.dumps(value, indent=1)
