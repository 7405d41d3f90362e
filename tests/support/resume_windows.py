"""A helper shared by the tests of a resumable session's windows."""

from __future__ import annotations

from gradegap.resume import lines
from gradegap.resume.lines import Request
from gradegap.resume.window import NodeWindow


def accepts_request(node: NodeWindow, request: Request) -> bool:
    """Returns whether the node's window passes this request on to the save server."""
    return node.request(request.number, lines.encode(request))
