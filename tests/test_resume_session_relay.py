"""The relay of a resumable session: lines split at any byte, and a switch of servers at any moment."""

from __future__ import annotations

import contextlib
import random

import pytest

from gradegap.resume import lines
from gradegap.resume.errors import WindowFullError
from gradegap.resume.lines import Acknowledgement, Answer, Request, SessionEnded
from gradegap.resume.session_relay import RelayOutput, RelayState, SessionRelay
from gradegap.resume.window import MAX_UNANSWERED, ClientWindow, ServerWindow


class SharedStore:
    """The save store: the executed requests in order, and the unacknowledged answers."""

    def __init__(self) -> None:
        self.epoch = self.executed = 0
        self.answers: dict[int, bytes] = {}
        self.executed_requests: list[bytes] = []


class Server:
    def __init__(self, shared: SharedStore, epoch: int, seen: int) -> None:
        shared.epoch = epoch
        self.shared, self.epoch = shared, epoch
        self.window = ServerWindow(shared.executed, shared.answers)
        self.executed = shared.executed
        self.remainder = b""
        self.outgoing = b"".join(lines.encode(a) for a in self.window.resume(seen))

    def receive(self, data: bytes) -> None:
        *complete_lines, self.remainder = (self.remainder + data).split(b"\n")
        for raw in complete_lines:
            if self.epoch != self.shared.epoch:
                return  # fenced
            line = lines.decode(raw.rstrip(b"\r"))
            if isinstance(line, Acknowledgement):
                self.window.acknowledge(line.number)
            elif isinstance(line, Request):
                answer = self.window.request(line)
                if answer is None:
                    self.shared.executed_requests.append(line.text)
                    answer = self.window.record_answer(line.number, b"done " + line.text)
                self.outgoing += lines.encode(answer)
            self.shared.executed = self.window.executed
            self.shared.answers = dict(self.window.answers)


class RelaySimulation:
    """A client, a node's relay and a sequence of servers, which exchange bytes in pieces of random size."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.shared, self.client, self.node = SharedStore(), ClientWindow(), SessionRelay()
        self.epoch = 1
        self.server = Server(self.shared, 1, 0)
        self.left_servers: list[tuple[Server, int]] = []  # previous servers with their endpoint numbers
        self.client_to_node = self.node_to_client = self.node_to_server = b""
        self.remainder = b""
        self.received: list[bytes] = []
        self.next_server: Server | None = None
        self.may_read_client = True

    def apply_output(self, output: RelayOutput) -> None:
        self.node_to_client += output.to_client
        self.node_to_server += output.to_endpoint
        self.may_read_client = output.read_client
        assert not output.end_reason, output.end_reason

    def split_randomly(self, data: bytes) -> tuple[bytes, bytes]:
        index = self.rng.randrange(1, len(data) + 1) if data else 0
        return data[:index], data[index:]

    def step(self, is_draining: bool = False) -> None:
        choice = self.rng.random()
        if choice < 0.25 and not is_draining:
            with contextlib.suppress(WindowFullError):
                self.client_to_node += lines.encode(
                    self.client.request(b"r%d" % (self.client.last_request + 1))
                )
        elif choice < 0.45 and self.may_read_client and self.client_to_node:
            data, self.client_to_node = self.split_randomly(self.client_to_node)
            self.apply_output(self.node.from_client(data))
        elif choice < 0.65 and self.node_to_server:
            data, self.node_to_server = self.split_randomly(self.node_to_server)
            self.server.receive(data)
        elif choice < 0.82 and self.server.outgoing:
            data, self.server.outgoing = self.split_randomly(self.server.outgoing)
            self.apply_output(self.node.from_endpoint(data, self.node.endpoint_number))
        elif choice < 0.95 and self.node_to_client:
            data, self.node_to_client = self.split_randomly(self.node_to_client)
            self.client_read(data)
        elif not is_draining:
            self.hold_or_switch()

    def client_read(self, data: bytes) -> None:
        *complete_lines, self.remainder = (self.remainder + data).split(b"\n")
        for raw in complete_lines:
            line = lines.decode(raw.rstrip(b"\r"))
            assert isinstance(line, Answer), raw
            if self.client.answer(line):
                self.received.append(line.text)
            if (seen := self.client.to_acknowledge()) is not None:
                self.client_to_node += lines.encode(Acknowledgement(seen))

    def hold_or_switch(self) -> None:
        if self.node.state is RelayState.PASSING:
            self.node.hold_client()
            return
        # The next server claims the session and continues from the state that the previous server stored.
        # Data on the way to the previous server is lost.
        self.epoch += 1
        previous_server, previous_number = self.server, self.node.endpoint_number
        self.server = Server(self.shared, self.epoch, self.node.position)
        previous_server.receive(self.node_to_server)
        self.node_to_server = b""
        self.apply_output(self.node.switch_endpoint(self.server.executed))
        # Remaining lines of the previous server, complete or not, are ignored.
        output = self.node.from_endpoint(previous_server.outgoing, previous_number)
        assert not output.to_client and not output.to_endpoint


@pytest.mark.parametrize("batch", range(4))
def test_switch_of_servers_at_any_byte_executes_each_request_once(batch: int) -> None:
    for seed in range(batch * 75, batch * 75 + 75):
        simulation = RelaySimulation(seed)
        for _ in range(400):
            simulation.step()
        if simulation.node.state is RelayState.HELD:
            simulation.apply_output(simulation.node.release_client())
        for _ in range(20_000):
            simulation.step(is_draining=True)
            if not simulation.client.unanswered:
                break
        requests = [b"r%d" % index for index in range(1, simulation.client.last_request + 1)]
        assert simulation.shared.executed_requests == requests, f"seed {seed}"
        assert simulation.received == [b"done " + r for r in requests], f"seed {seed}"


def test_client_is_not_read_while_its_window_is_full() -> None:
    node = SessionRelay()
    requests = b"".join(lines.encode(Request(n, b"x")) for n in range(1, MAX_UNANSWERED + 3))
    output = node.from_client(requests)
    assert output.to_endpoint.count(b"\n") == MAX_UNANSWERED and not output.read_client
    output = node.from_endpoint(lines.encode(Answer(1, b"y")), 0)
    assert output.to_endpoint == lines.encode(Request(MAX_UNANSWERED + 1, b"x")) and not output.read_client
    output = node.from_endpoint(lines.encode(Answer(2, b"y")), 0)
    assert output.read_client


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
def test_invalid_client_data_ends_the_session_with_one_reason(raw: bytes, reason: str) -> None:
    node = SessionRelay()
    output = node.from_client(raw)
    assert (
        output.end_reason == reason
        and output.to_client == b"X %b\r\n" % reason.encode()
        and not output.to_endpoint
    )
    assert node.from_client(b"Q 1 x\r\n") == RelayOutput(read_client=False)
    assert node.from_endpoint(b"A 1 x\r\n", 0) == RelayOutput()


def test_other_server_lines_are_forwarded_and_end_line_ends_the_session() -> None:
    node = SessionRelay()
    assert node.from_endpoint(b"LOAD 3.5\r\nhello\r\n", 0).to_client == b"LOAD 3.5\r\nhello\r\n"
    assert node.from_endpoint(b"A 5 never asked\r\n", 0).end_reason == "order"
    node = SessionRelay()
    output = node.from_endpoint(lines.encode(SessionEnded("fenced")), 0)
    assert output.end_reason == "fenced" and node.state is RelayState.ENDED


def test_switch_to_server_that_lost_answered_requests_ends_the_session() -> None:
    node = SessionRelay()
    node.from_client(b"Q 1 a\r\nQ 2 b\r\n")
    node.from_endpoint(b"A 1 x\r\nA 2 ", 0)
    output = node.switch_endpoint(0)
    assert output.end_reason == "position" and node.state is RelayState.ENDED
