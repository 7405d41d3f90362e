"""A node's part in a resumable session, byte by byte: lines cut anywhere, servers changed at any moment."""

from __future__ import annotations

import contextlib
import random

import pytest

from gradegap.resume import lines
from gradegap.resume.errors import WindowFullError
from gradegap.resume.lines import Acknowledgement, Answer, Request, SessionEnded
from gradegap.resume.session_relay import RelayOutput, RelayState, SessionRelay
from gradegap.resume.window import MAX_UNANSWERED, ClientWindow, ServerWindow


class Shared:
    """The save store: what ran, in order, and what is not acknowledged."""

    def __init__(self) -> None:
        self.epoch = self.executed = 0
        self.answers: dict[int, bytes] = {}
        self.ran: list[bytes] = []


class Server:
    def __init__(self, shared: Shared, epoch: int, seen: int) -> None:
        shared.epoch = epoch
        self.shared, self.epoch = shared, epoch
        self.window = ServerWindow(shared.executed, shared.answers)
        self.executed = shared.executed
        self.part = b""
        self.out = b"".join(lines.encode(a) for a in self.window.resume(seen))

    def feed(self, data: bytes) -> None:
        *whole, self.part = (self.part + data).split(b"\n")
        for raw in whole:
            if self.epoch != self.shared.epoch:
                return  # fenced
            line = lines.decode(raw.rstrip(b"\r"))
            if isinstance(line, Acknowledgement):
                self.window.acknowledge(line.number)
            elif isinstance(line, Request):
                answer = self.window.request(line)
                if answer is None:
                    self.shared.ran.append(line.text)
                    answer = self.window.record_answer(line.number, b"done " + line.text)
                self.out += lines.encode(answer)
            self.shared.executed = self.window.executed
            self.shared.answers = dict(self.window.answers)


class World:
    """A client, a node's part and a chain of servers, with bytes in pieces of any size between them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.shared, self.client, self.node = Shared(), ClientWindow(), SessionRelay()
        self.epoch = 1
        self.server = Server(self.shared, 1, 0)
        self.left: list[tuple[Server, int]] = []  # servers that were left, and their line
        self.up = self.down = self.to_server = b""
        self.part = b""
        self.got: list[bytes] = []
        self.next: Server | None = None
        self.reads = True

    def take(self, out: RelayOutput) -> None:
        self.down += out.to_client
        self.to_server += out.to_endpoint
        self.reads = out.read_client
        assert not out.end_reason, out.end_reason

    def cut(self, data: bytes) -> tuple[bytes, bytes]:
        k = self.rng.randrange(1, len(data) + 1) if data else 0
        return data[:k], data[k:]

    def step(self, calm: bool = False) -> None:
        what = self.rng.random()
        if what < 0.25 and not calm:
            with contextlib.suppress(WindowFullError):
                self.up += lines.encode(self.client.request(b"r%d" % (self.client.last_request + 1)))
        elif what < 0.45 and self.reads and self.up:
            data, self.up = self.cut(self.up)
            self.take(self.node.from_client(data))
        elif what < 0.65 and self.to_server:
            data, self.to_server = self.cut(self.to_server)
            self.server.feed(data)
        elif what < 0.82 and self.server.out:
            data, self.server.out = self.cut(self.server.out)
            self.take(self.node.from_endpoint(data, self.node.endpoint_number))
        elif what < 0.95 and self.down:
            data, self.down = self.cut(self.down)
            self.read(data)
        elif not calm:
            self.trouble()

    def read(self, data: bytes) -> None:
        *whole, self.part = (self.part + data).split(b"\n")
        for raw in whole:
            line = lines.decode(raw.rstrip(b"\r"))
            assert isinstance(line, Answer), raw
            if self.client.answer(line):
                self.got.append(line.text)
            if (seen := self.client.to_acknowledge()) is not None:
                self.up += lines.encode(Acknowledgement(seen))

    def trouble(self) -> None:
        if self.node.state is RelayState.PASSING:
            self.node.hold_client()
            return
        # The next server claims the session, and has what the old one did; what flies to the old is lost.
        self.epoch += 1
        old, line = self.server, self.node.endpoint_number
        self.server = Server(self.shared, self.epoch, self.node.position)
        old.feed(self.to_server)
        self.to_server = b""
        self.take(self.node.switch_endpoint(self.server.executed))
        # The old one's last words, whole or half, are not heard any more.
        out = self.node.from_endpoint(old.out, line)
        assert not out.to_client and not out.to_endpoint


@pytest.mark.parametrize("batch", range(4))
def test_servers_change_at_any_byte_and_nothing_is_lost_or_doubled(batch: int) -> None:
    for seed in range(batch * 75, batch * 75 + 75):
        world = World(seed)
        for _ in range(400):
            world.step()
        if world.node.state is RelayState.HELD:
            world.take(world.node.release_client())
        for _ in range(20_000):
            world.step(calm=True)
            if not world.client.unanswered:
                break
        asked = [b"r%d" % k for k in range(1, world.client.last_request + 1)]
        assert world.shared.ran == asked, f"seed {seed}"
        assert world.got == [b"done " + r for r in asked], f"seed {seed}"


def test_a_client_is_not_read_on_while_its_window_is_full() -> None:
    node = SessionRelay()
    many = b"".join(lines.encode(Request(n, b"x")) for n in range(1, MAX_UNANSWERED + 3))
    out = node.from_client(many)
    assert out.to_endpoint.count(b"\n") == MAX_UNANSWERED and not out.read_client
    out = node.from_endpoint(lines.encode(Answer(1, b"y")), 0)
    assert out.to_endpoint == lines.encode(Request(MAX_UNANSWERED + 1, b"x")) and not out.read_client
    out = node.from_endpoint(lines.encode(Answer(2, b"y")), 0)
    assert out.read_client


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (b"Q 3 gap\r\n", "order"),
        (b"A 1 what only servers say\r\n", "malformed"),
        (b"K 7\r\n", "position"),
        (b"x" * 5000, "long"),
        (b"Q 1 " + b"x" * 5000 + b"\r\n", "long"),
    ],
)
def test_a_client_that_breaks_the_rules_is_told_why_once(raw: bytes, reason: str) -> None:
    node = SessionRelay()
    out = node.from_client(raw)
    assert out.end_reason == reason and out.to_client == b"X %b\r\n" % reason.encode() and not out.to_endpoint
    assert node.from_client(b"Q 1 x\r\n") == RelayOutput(read_client=False)
    assert node.from_endpoint(b"A 1 x\r\n", 0) == RelayOutput()


def test_a_server_s_own_lines_pass_and_its_last_word_ends_it() -> None:
    node = SessionRelay()
    assert node.from_endpoint(b"LOAD 3.5\r\nhello\r\n", 0).to_client == b"LOAD 3.5\r\nhello\r\n"
    assert node.from_endpoint(b"A 5 never asked\r\n", 0).end_reason == "order"
    node = SessionRelay()
    out = node.from_endpoint(lines.encode(SessionEnded("fenced")), 0)
    assert out.end_reason == "fenced" and node.state is RelayState.ENDED


def test_a_server_that_has_lost_what_it_answered_is_not_gone_on_with() -> None:
    node = SessionRelay()
    node.from_client(b"Q 1 a\r\nQ 2 b\r\n")
    node.from_endpoint(b"A 1 x\r\nA 2 ", 0)
    out = node.switch_endpoint(0)
    assert out.end_reason == "position" and node.state is RelayState.ENDED
