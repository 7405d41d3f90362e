"""Resumable sessions without sockets, under interleavings of crashes, moves and returns."""

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
    """What save servers share: a session's epoch, how far it has run, and what is not acknowledged."""

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
        """In one step with what the request did; refused under an older epoch (the fence)."""
        if epoch != self.epoch:
            return False
        self.executed, self.answers = window.executed, dict(window.answers)
        if effect is not None:
            self.effects.append(effect)
        return True


class Line:
    """A node's line to a server that has claimed the session."""

    def __init__(self, store: SaveStore, epoch: int, seen: int) -> None:
        self.store, self.epoch = store, epoch
        window = store.claim(epoch)
        assert window is not None
        self.window = window
        self.executed = window.executed
        self.forth: deque[lines.Line] = deque()
        self.back: deque[lines.Line] = deque(window.resume(seen))
        self.dead = False

    def step(self, dies: str = "") -> None:
        """The server takes one line; it may die before or after it has written what it did."""
        if self.dead or not self.forth:
            return
        line = self.forth.popleft()
        if isinstance(line, Acknowledgement):
            self.window.acknowledge(line.number)
            self.dead = not self.store.write(self.epoch, self.window, None)
            return
        assert isinstance(line, Request)
        again = self.window.request(line)
        if again is not None:
            self.back.append(again)
            return
        if dies == "before":
            self.dead = True
            return
        answer = self.window.record_answer(line.number, b"done " + line.text)
        if not self.store.write(self.epoch, self.window, line.text):
            self.dead = True  # fenced: it writes nothing, and says nothing
            return
        if dies == "after":
            self.dead = True
        else:
            self.back.append(answer)


class Sessions(RuleBasedStateMachine):
    """A client, a node, servers and a save store; all that may die, does, at any point."""

    saves: type[SaveStore] = SaveStore
    windows: type[NodeWindow] = NodeWindow

    def __init__(self) -> None:
        super().__init__()
        self.store = self.saves()
        self.client = ClientWindow()
        self.got: list[bytes] = []
        self.epoch = 1
        self.node: NodeWindow | None = self.windows()
        self.line = Line(self.store, 1, 0)
        self.frozen: list[Line] = []
        self.up: deque[lines.Line] = deque()  # client to node
        self.down: deque[lines.Line] = deque()  # node to client

    @rule()
    def ask(self) -> None:
        try:
            made = self.client.request(b"r%d" % (self.client.last_request + 1))
        except WindowFullError:
            return
        if self.node is not None:
            self.up.append(made)

    @rule(times=st.integers(1, 6))
    def node_up(self, times: int) -> None:
        for _ in range(times):
            if self.node is None or not self.up or (isinstance(self.up[0], Request) and self.node.is_full):
                return
            line = self.up.popleft()
            if isinstance(line, Acknowledgement):
                self.node.acknowledge(line.number)
                self.line.forth.append(line)
            elif isinstance(line, Request) and accepts_request(self.node, line):
                self.line.forth.append(line)

    @rule(times=st.integers(1, 6))
    def server(self, times: int) -> None:
        for _ in range(times):
            self.line.step()

    @rule(how=st.sampled_from(["before", "after"]))
    def server_dies(self, how: str) -> None:
        self.line.step(how)
        self.line.dead = True

    @rule(times=st.integers(1, 6))
    def node_down(self, times: int) -> None:
        for _ in range(times):
            if self.node is None or not self.line.back:
                return
            line = self.line.back.popleft()
            assert isinstance(line, Answer)
            if self.node.answer(line.number):
                self.down.append(line)

    @rule(times=st.integers(1, 6))
    def client_reads(self, times: int) -> None:
        for _ in range(times):
            if not self.down:
                return
            line = self.down.popleft()
            assert isinstance(line, Answer)
            if self.client.answer(line):
                self.got.append(line.text)
            seen = self.client.to_acknowledge()
            if seen is not None and self.node is not None:
                self.up.append(Acknowledgement(seen))

    @precondition(lambda self: self.node is not None)
    @rule(lost=st.booleans())
    def in_place(self, lost: bool) -> None:
        """To the next server; the old one may go on, frozen, with what it was sent."""
        assert self.node is not None
        if not lost and not self.line.dead:
            while self.line.back:
                self.node_down(1)
        self.frozen.append(self.line)
        self.epoch += 1
        self.line = Line(self.store, self.epoch, self.node.last_answered)
        for raw in self.node.unexecuted(self.line.executed):
            line = lines.decode(raw.rstrip(b"\r\n"))
            assert isinstance(line, Request)
            self.line.forth.append(line)

    @rule()
    def node_dies(self) -> None:
        self.node = None
        self.up.clear()
        self.down.clear()
        self.frozen.append(self.line)

    @precondition(lambda self: self.node is None)
    @rule()
    def returns(self) -> None:
        """The client comes to any node with its token: its epoch is claimed, its place is proven."""
        self.epoch += 1
        self.line = Line(self.store, self.epoch, self.client.seen)
        self.node = self.windows(self.client.seen, self.line.executed)
        self.client.acknowledged = self.client.seen
        self.up.extend(self.client.resume(self.line.executed))

    @precondition(lambda self: bool(self.frozen))
    @rule()
    def frozen_goes_on(self) -> None:
        old = self.frozen[-1]
        before = len(self.store.effects)
        while old.forth and not old.dead and old is not self.line:
            old.step()
        if old.epoch != self.store.epoch:
            assert len(self.store.effects) == before, "a fenced server wrote"

    def teardown(self) -> None:
        if self.node is None:
            self.returns()
        if self.line.dead:
            self.in_place(True)
        for _ in range(400):
            self.node_up(6)
            self.server(6)
            self.node_down(6)
            self.client_reads(6)
        asked = [b"r%d" % k for k in range(1, self.client.last_request + 1)]
        assert self.store.effects == asked, "each ran exactly once, in order"
        assert self.got == [b"done " + r for r in asked], "each got exactly one final answer, in order"
        assert not self.client.unanswered


Sessions.TestCase.settings = settings(max_examples=500, stateful_step_count=60, deadline=None)
TestSessions = Sessions.TestCase


class NoFence(SaveStore):
    """Planted: a server that was frozen may go on writing."""

    def write(self, epoch: int, window: ServerWindow, effect: bytes | None) -> bool:
        self.epoch, kept = epoch, self.epoch
        done = super().write(epoch, window, effect)
        self.epoch = kept
        return done


class AnswersForgotten(SaveStore):
    """Planted: what ran is kept, and what it answered is not."""

    def claim(self, epoch: int) -> ServerWindow | None:
        window = super().claim(epoch)
        if window is not None:
            window.answers = {}
        return window


class SendsAllAgain(NodeWindow):
    """Planted: the node trusts that nothing ran."""

    def unexecuted(self, executed: int) -> list[bytes]:
        return [lines.encode(Request(n + 10_000, raw)) for n, raw in sorted(self.unanswered.items())]


@pytest.mark.parametrize("planted", [NoFence, AnswersForgotten, SendsAllAgain])
def test_interleavings_find_what_is_planted(planted: type) -> None:
    made = type("Planted", (Sessions,), {"saves" if issubclass(planted, SaveStore) else "windows": planted})
    with pytest.raises((AssertionError, LineError)):
        quick = settings(
            max_examples=400,
            stateful_step_count=60,
            deadline=None,
            database=None,
            phases=(Phase.generate,),  # found is enough: the example need not be a short one
            report_multiple_bugs=False,
        )
        run_state_machine_as_test(made, settings=quick)
