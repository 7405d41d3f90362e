"""What the tests of a session's windows share."""

from __future__ import annotations

from gradegap.resume import lines
from gradegap.resume.lines import Request
from gradegap.resume.window import (
    NodeWindow,
)


def accepts_request(node: NodeWindow, request: Request) -> bool:
    return node.request(request.number, lines.encode(request))
