"""Windows of unanswered requests and unacknowledged answers at the client, the node and the server."""

from __future__ import annotations

import pytest

from gradegap.resume import lines
from gradegap.resume.errors import LineError, WindowFullError
from gradegap.resume.lines import Answer, Request
from gradegap.resume.window import (
    MAX_HELD_ANSWERS,
    MAX_UNANSWERED,
    ClientWindow,
    NodeWindow,
    ServerWindow,
)
from tests.support.resume_windows import accepts_request


def test_full_window_rejects_requests_until_an_answer() -> None:
    client, node = ClientWindow(), NodeWindow()
    for _ in range(MAX_UNANSWERED):
        assert accepts_request(node, client.request(b"x"))
    with pytest.raises(WindowFullError):
        client.request(b"x")
    assert node.is_full and node.unanswered_bytes == sum(
        len(lines.encode(Request(number, b"x"))) for number in range(1, MAX_UNANSWERED + 1)
    )
    with pytest.raises(LineError, match=r"^window"):
        accepts_request(node, Request(MAX_UNANSWERED + 1, b"x"))
    assert node.answer(1) and client.answer(Answer(1, b"y"))
    assert accepts_request(node, client.request(b"x"))


def test_server_limits_unacknowledged_answers() -> None:
    server = ServerWindow()
    for number in range(1, MAX_HELD_ANSWERS + 1):
        assert server.request(Request(number, b"")) is None
        server.record_answer(number, b"")
    with pytest.raises(LineError, match=r"^window"):
        server.request(Request(MAX_HELD_ANSWERS + 1, b""))
    server.acknowledge(10)
    assert server.request(Request(MAX_HELD_ANSWERS + 1, b"")) is None


def test_wrong_position_or_order_raises_line_error() -> None:
    node, server, client = NodeWindow(), ServerWindow(), ClientWindow()
    for number in range(1, 6):
        accepts_request(node, client.request(b""))
        server.record_answer(number, b"")
    for number in range(1, 4):
        node.answer(number)
        client.answer(Answer(number, b""))
    for violate_protocol in (
        lambda: node.acknowledge(4),
        lambda: node.unexecuted(2),
        lambda: node.unexecuted(6),
        lambda: node.answer(5),
        lambda: accepts_request(node, Request(9, b"")),
        lambda: client.resume(2),
        lambda: client.resume(6),
        lambda: client.answer(Answer(5, b"")),
        lambda: server.acknowledge(6),
        lambda: server.resume(6),
    ):
        with pytest.raises(LineError, match=r"^(position|order)"):
            violate_protocol()
    assert server.resume(3) == [Answer(4, b""), Answer(5, b"")]
    assert len(server.resume(1)) == 4  # a node's position does not drop answers
    server.acknowledge(3)  # the client's acknowledgement does
    with pytest.raises(LineError, match=r"^position"):
        server.resume(1)
    assert client.resume(4) == [Request(5, b"")] and node.unexecuted(4) == [lines.encode(Request(5, b""))]
