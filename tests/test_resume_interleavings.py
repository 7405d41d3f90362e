"""Resumable sessions without sockets, under random interleavings of failures, migrations and returns."""

from __future__ import annotations

from collections import deque

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from gradegap.resume import lines
from gradegap.resume.errors import LineError, WindowFullError
from gradegap.resume.lines import Acknowledgement, Answer, Request
from gradegap.resume.window import (
    ClientWindow,
    NodeWindow,
    ServerWindow,
)
from tests.support.resume_windows import accepts_request


class SaveStore:
    """The shared save store: a session's epoch, its last executed request and its unacknowledged answers."""

    def __init__(self) -> None:
        self.epoch = 0
        self.executed = 0
        self.answers: dict[int, bytes] = {}
        self.effects: list[bytes] = []

    def claim(self, epoch: int) -> ServerWindow | None:
        if epoch <= self.epoch:
            return None
        self.epoch = epoch
        return ServerWindow(self.executed, self.answers)

    def write(self, epoch: int, window: ServerWindow, effect: bytes | None) -> bool:
        """Writes the window and the request's effect in one step; a write under an older epoch is fenced."""
        if epoch != self.epoch:
            return False
        self.executed, self.answers = window.executed, dict(window.answers)
        if effect is not None:
            self.effects.append(effect)
        return True


class ServerConnection:
    """A node's connection to a server that has claimed the session."""

    def __init__(self, store: SaveStore, epoch: int, seen: int) -> None:
        self.store, self.epoch = store, epoch
        window = store.claim(epoch)
        assert window is not None
        self.window = window
        self.executed = window.executed
        self.to_server: deque[lines.Line] = deque()
        self.to_node: deque[lines.Line] = deque(window.resume(seen))
        self.is_dead = False

    def execute_next(self, failure_point: str = "") -> None:
        """Executes one line at the server, which may fail before or after it has written the result."""
        if self.is_dead or not self.to_server:
            return
        line = self.to_server.popleft()
        if isinstance(line, Acknowledgement):
            self.window.acknowledge(line.number)
            self.is_dead = not self.store.write(self.epoch, self.window, None)
            return
        assert isinstance(line, Request)
        stored_answer = self.window.request(line)
        if stored_answer is not None:
            self.to_node.append(stored_answer)
            return
        if failure_point == "before":
            self.is_dead = True
            return
        answer = self.window.record_answer(line.number, b"done " + line.text)
        if not self.store.write(self.epoch, self.window, line.text):
            self.is_dead = True  # fenced: the server writes nothing and sends no answer
            return
        if failure_point == "after":
            self.is_dead = True
        else:
            self.to_node.append(answer)


class SessionMachine(RuleBasedStateMachine):
    """A client, a node, servers and a save store. The node and the servers may fail at any point."""

    store_class: type[SaveStore] = SaveStore
    window_class: type[NodeWindow] = NodeWindow

    def __init__(self) -> None:
        super().__init__()
        self.store = self.store_class()
        self.client = ClientWindow()
        self.received: list[bytes] = []
        self.epoch = 1
        self.node: NodeWindow | None = self.window_class()
        self.connection = ServerConnection(self.store, 1, 0)
        self.left_connections: list[ServerConnection] = []
        self.client_to_node: deque[lines.Line] = deque()
        self.node_to_client: deque[lines.Line] = deque()

    @rule()
    def send_request(self) -> None:
        try:
            request = self.client.request(b"r%d" % (self.client.last_request + 1))
        except WindowFullError:
            return
        if self.node is not None:
            self.client_to_node.append(request)

    @rule(times=st.integers(1, 6))
    def node_reads_client(self, times: int) -> None:
        for _ in range(times):
            if (
                self.node is None
                or not self.client_to_node
                or (isinstance(self.client_to_node[0], Request) and self.node.is_full)
            ):
                return
            line = self.client_to_node.popleft()
            if isinstance(line, Acknowledgement):
                self.node.acknowledge(line.number)
                self.connection.to_server.append(line)
            elif isinstance(line, Request) and accepts_request(self.node, line):
                self.connection.to_server.append(line)

    @rule(times=st.integers(1, 6))
    def server_executes(self, times: int) -> None:
        for _ in range(times):
            self.connection.execute_next()

    @rule(failure_point=st.sampled_from(["before", "after"]))
    def server_fails(self, failure_point: str) -> None:
        self.connection.execute_next(failure_point)
        self.connection.is_dead = True

    @rule(times=st.integers(1, 6))
    def node_reads_server(self, times: int) -> None:
        for _ in range(times):
            if self.node is None or not self.connection.to_node:
                return
            line = self.connection.to_node.popleft()
            assert isinstance(line, Answer)
            if self.node.answer(line.number):
                self.node_to_client.append(line)

    @rule(times=st.integers(1, 6))
    def client_reads(self, times: int) -> None:
        for _ in range(times):
            if not self.node_to_client:
                return
            line = self.node_to_client.popleft()
            assert isinstance(line, Answer)
            if self.client.answer(line):
                self.received.append(line.text)
            seen = self.client.to_acknowledge()
            if seen is not None and self.node is not None:
                self.client_to_node.append(Acknowledgement(seen))

    @precondition(lambda self: self.node is not None)
    @rule(is_data_lost=st.booleans())
    def migrate_in_place(self, is_data_lost: bool) -> None:
        """Migrates to the next server; the old one may later continue with the lines that it was sent."""
        assert self.node is not None
        if not is_data_lost and not self.connection.is_dead:
            while self.connection.to_node:
                self.node_reads_server(1)
        self.left_connections.append(self.connection)
        self.epoch += 1
        self.connection = ServerConnection(self.store, self.epoch, self.node.last_answered)
        for raw in self.node.unexecuted(self.connection.executed):
            line = lines.decode(raw.rstrip(b"\r\n"))
            assert isinstance(line, Request)
            self.connection.to_server.append(line)

    @rule()
    def node_fails(self) -> None:
        self.node = None
        self.client_to_node.clear()
        self.node_to_client.clear()
        self.left_connections.append(self.connection)

    @precondition(lambda self: self.node is None)
    @rule()
    def client_returns(self) -> None:
        """The client returns to any node with its token; the next epoch is claimed at the server."""
        self.epoch += 1
        self.connection = ServerConnection(self.store, self.epoch, self.client.seen)
        self.node = self.window_class(self.client.seen, self.connection.executed)
        self.client.acknowledged = self.client.seen
        self.client_to_node.extend(self.client.resume(self.connection.executed))

    @precondition(lambda self: bool(self.left_connections))
    @rule()
    def left_server_continues(self) -> None:
        left_connection = self.left_connections[-1]
        before = len(self.store.effects)
        while (
            left_connection.to_server
            and not left_connection.is_dead
            and left_connection is not self.connection
        ):
            left_connection.execute_next()
        if left_connection.epoch != self.store.epoch:
            assert len(self.store.effects) == before, "a fenced server has written an effect"

    def teardown(self) -> None:
        if self.node is None:
            self.client_returns()
        if self.connection.is_dead:
            self.migrate_in_place(True)
        for _ in range(400):
            self.node_reads_client(6)
            self.server_executes(6)
            self.node_reads_server(6)
            self.client_reads(6)
        requests = [b"r%d" % index for index in range(1, self.client.last_request + 1)]
        assert self.store.effects == requests, "each request must be executed exactly once, in order"
        assert self.received == [b"done " + request for request in requests], (
            "each request must get exactly one final answer, in order"
        )
        assert not self.client.unanswered


SessionMachine.TestCase.settings = settings(max_examples=500, stateful_step_count=60, deadline=None)
TestSessionMachine = SessionMachine.TestCase


class StoreWithoutFence(SaveStore):
    """A planted fault: a server that continues under an older epoch may still write."""

    def write(self, epoch: int, window: ServerWindow, effect: bytes | None) -> bool:
        self.epoch, kept = epoch, self.epoch
        done = super().write(epoch, window, effect)
        self.epoch = kept
        return done


class StoreWithoutAnswers(SaveStore):
    """A planted fault: executed requests are stored, but their answers are not."""

    def claim(self, epoch: int) -> ServerWindow | None:
        window = super().claim(epoch)
        if window is not None:
            window.answers = {}
        return window


class WindowWithoutExecuted(NodeWindow):
    """A planted fault: the node assumes that no request was executed and sends all of them again."""

    def unexecuted(self, executed: int) -> list[bytes]:
        return [
            lines.encode(Request(number + 10_000, raw)) for number, raw in sorted(self.unanswered.items())
        ]


@pytest.mark.parametrize("faulty_class", [StoreWithoutFence, StoreWithoutAnswers, WindowWithoutExecuted])
def test_interleavings_find_planted_faults(faulty_class: type) -> None:
    faulty_machine = type(
        "FaultyMachine",
        (SessionMachine,),
        {"store_class" if issubclass(faulty_class, SaveStore) else "window_class": faulty_class},
    )
    with pytest.raises((AssertionError, LineError)):
        quick = settings(
            max_examples=400,
            stateful_step_count=60,
            deadline=None,
            database=None,
            phases=(Phase.generate,),  # finding a failure is enough; it is not shrunk
            report_multiple_bugs=False,
        )
        run_state_machine_as_test(faulty_machine, settings=quick)
