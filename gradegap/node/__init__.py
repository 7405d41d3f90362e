"""A node assembled and its life as a process: configuration, operator's file, start, reload, shutdown.

Owns nothing that outlives the process; each part that it assembles keeps its own state. Another program
embeds a node by `Node`, or serves as one by `run`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from gradegap.node.node import Node
    from gradegap.node.process import run

__all__ = ["Node", "run"]


def __getattr__(name: str) -> Any:
    # Loaded where they are used: `gradegap store` reads the operator's file and does without a node's memory.
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from gradegap.node import node, process

    return {"Node": node.Node, "run": process.run}[name]
