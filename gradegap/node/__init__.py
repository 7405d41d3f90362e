"""Assembles a node and runs it as a process: configuration, operator's file, start, reload, shutdown.

This package stores nothing that outlives the process; each part that it assembles keeps its own state. Other
programs create a `Node` on their own event loop, or call `run` to serve as a node until a signal arrives.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from gradegap.node.node import Node
    from gradegap.node.process import run

__all__ = ["Node", "run"]


def __getattr__(name: str) -> Any:
    # Imported on first use: `gradegap store` only reads the operator's file, and importing a whole node would
    # cost it memory.
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from gradegap.node import node, process

    return {"Node": node.Node, "run": process.run}[name]
