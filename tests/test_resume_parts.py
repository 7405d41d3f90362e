"""Resumable sessions without sockets: lines, windows, tokens, claims, and all of them under interleavings."""

from __future__ import annotations

import base64
from collections import deque

import msgspec
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from gradegap.resume import lines
from gradegap.resume.errors import LineError, SessionClaimedError, TokenError, WindowFullError
from gradegap.resume.lines import Answer, NewToken, Over, Request, Seen
from gradegap.resume.reservations import (
    RESERVATION_PREFIX,
    RETURN_RETRY_S,
    LocalReservations,
    Reservation,
    reserve,
    secret_digest,
)
from gradegap.resume.token import (
    MAX_CLOCK_SKEW_S,
    MAX_TOKEN_CHARS,
    TOKEN_LIFETIME_S,
    KeyRing,
    Place,
    digest,
    open_token,
    seal_token,
)
from gradegap.resume.window import (
    MAX_HELD_ANSWERS,
    MAX_UNANSWERED,
    ClientWindow,
    NodeWindow,
    ServerWindow,
)
from gradegap.store.machine import StateMachine
from gradegap.store.records import Command, LogRecord, encode

# Lines

TEXT = st.binary(max_size=60).filter(lambda b: b"\r" not in b and b"\n" not in b)
NUMBER = st.integers(1, lines.NUMBER_LIMIT - 1)
LINES = st.one_of(
    st.builds(Request, NUMBER, TEXT),
    st.builds(Answer, NUMBER, TEXT),
    st.builds(Seen, st.integers(0, lines.NUMBER_LIMIT - 1)),
    st.builds(NewToken, st.text("abcXYZ019-_", min_size=1, max_size=400)),
    st.builds(Over, st.sampled_from(["claimed", "fenced", "expired"])),
)


@settings(max_examples=200, deadline=None)
@given(LINES)
def test_lines_are_read_as_they_were_written(line: lines.Line) -> None:
    assert lines.decode(lines.encode(line)[:-2]) == line


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (b"Q 0 x", "malformed"),
        (b"Q 01 x", "malformed"),
        (b"Q -1 x", "malformed"),
        (b"Q 1", "malformed"),
        (b"K 1 x", "malformed"),
        (b"Q 99999999999999999 x", "malformed"),
        (b"A x y", "malformed"),
        (b"T a b", "malformed"),
        (b"T " + b"x" * 401, "malformed"),
        (b"Q 1 " + b"x" * 4096, "long"),
    ],
)
def test_lines_that_are_none_are_refused(raw: bytes, reason: str) -> None:
    with pytest.raises(LineError, match=f"^{reason}"):
        lines.decode(raw)


def test_other_lines_are_not_the_extension_s() -> None:
    assert [lines.decode(raw) for raw in (b"LOAD 3.5", b"BYE", b"MOVE", b"", b"Quit")] == [None] * 5


# Windows


def passes(node: NodeWindow, request: Request) -> bool:
    return node.request(request.number, lines.encode(request))


def test_a_full_window_holds_its_client_back() -> None:
    client, node = ClientWindow(), NodeWindow()
    for _ in range(MAX_UNANSWERED):
        assert passes(node, client.request(b"x"))
    with pytest.raises(WindowFullError):
        client.request(b"x")
    assert node.is_full and node.unanswered_bytes == sum(
        len(lines.encode(Request(n, b"x"))) for n in range(1, MAX_UNANSWERED + 1)
    )
    with pytest.raises(LineError, match=r"^window"):
        passes(node, Request(MAX_UNANSWERED + 1, b"x"))
    assert node.answer(1) and client.answer(Answer(1, b"y"))
    assert passes(node, client.request(b"x"))


def test_a_client_that_acknowledges_nothing_is_held_no_answers_for_without_end() -> None:
    server = ServerWindow()
    for n in range(1, MAX_HELD_ANSWERS + 1):
        assert server.request(Request(n, b"")) is None
        server.record_answer(n, b"")
    with pytest.raises(LineError, match=r"^window"):
        server.request(Request(MAX_HELD_ANSWERS + 1, b""))
    server.acknowledge(10)
    assert server.request(Request(MAX_HELD_ANSWERS + 1, b"")) is None


def test_whoever_lies_about_a_position_is_found_out() -> None:
    node, server, client = NodeWindow(), ServerWindow(), ClientWindow()
    for n in range(1, 6):
        passes(node, client.request(b""))
        server.record_answer(n, b"")
    for n in range(1, 4):
        node.answer(n)
        client.answer(Answer(n, b""))
    for wrong in (
        lambda: node.acknowledge(4),
        lambda: node.unexecuted(2),
        lambda: node.unexecuted(6),
        lambda: node.answer(5),
        lambda: passes(node, Request(9, b"")),
        lambda: client.resume(2),
        lambda: client.resume(6),
        lambda: client.answer(Answer(5, b"")),
        lambda: server.acknowledge(6),
        lambda: server.resume(6),
    ):
        with pytest.raises(LineError, match=r"^(position|order)"):
            wrong()
    assert server.resume(3) == [Answer(4, b""), Answer(5, b"")]
    assert len(server.resume(1)) == 4  # a node's word lets nothing go
    server.acknowledge(3)  # the client's does
    with pytest.raises(LineError, match=r"^position"):
        server.resume(1)
    assert client.resume(4) == [Request(5, b"")] and node.unexecuted(4) == [lines.encode(Request(5, b""))]


# Tokens

PLACE = Place("5c0f6e1a2b3d4c59", "7f3a", "live", "s-1", 17, 3, 10_000)


def test_a_token_proves_what_was_sealed_until_its_key_is_retired() -> None:
    ring = KeyRing().rotated(1)
    token = seal_token(ring, "c", PLACE)
    assert open_token(ring, "c", token, 10_000 - TOKEN_LIFETIME_S) == PLACE and len(token) <= MAX_TOKEN_CHARS
    newer = ring.rotated(2)
    assert open_token(newer, "c", token, 9_900) == PLACE  # rolled over while a client held it
    old = ring.keys[0].id
    with pytest.raises(TokenError, match=r"^retired_key"):
        open_token(newer.retired(old), "c", token, 9_900)
    with pytest.raises(ValueError, match="seals"):
        ring.retired(old)
    with pytest.raises(ValueError, match="no key"):
        ring.retired("00000000")
    assert PLACE.session not in token and digest(token) != digest(seal_token(ring, "c", PLACE))
    with pytest.raises(ValueError, match="characters"):
        seal_token(ring, "c", Place("s" * 400, "c", "l", "s", 0, 0, 0))


@pytest.mark.parametrize(
    ("now", "cluster", "reason"),
    [
        (10_001 + MAX_CLOCK_SKEW_S, "c", "expired"),
        (9_999 - TOKEN_LIFETIME_S - MAX_CLOCK_SKEW_S, "c", "early"),
        (9_900, "other", "forged"),
    ],
)
def test_a_token_out_of_time_or_place_proves_nothing(now: float, cluster: str, reason: str) -> None:
    ring = KeyRing().rotated(1)
    with pytest.raises(TokenError, match=f"^{reason}"):
        open_token(ring, cluster, seal_token(ring, "c", PLACE), now)
    assert (
        open_token(ring, "c", seal_token(ring, "c", PLACE), 10_000 + MAX_CLOCK_SKEW_S) == PLACE
    )  # a clock that is behind


@settings(max_examples=200, deadline=None)
@given(st.data())
def test_a_token_that_was_changed_proves_nothing(data: st.DataObject) -> None:
    ring = KeyRing().rotated(1).rotated(2)
    token = seal_token(ring, "c", PLACE)
    raw = bytearray(base64.urlsafe_b64decode(token + "=" * (-len(token) % 4)))
    at = data.draw(st.integers(0, len(raw) - 1))
    how = data.draw(st.sampled_from(["flip", "cut", "noise"]))
    if how == "flip":
        raw[at] ^= data.draw(st.integers(1, 255))
        changed = base64.urlsafe_b64encode(raw).decode().rstrip("=")
    elif how == "cut":
        changed = token[: data.draw(st.integers(0, len(token) - 2))]
    else:
        changed = data.draw(st.text(max_size=500).filter(lambda x: x != token))
    with pytest.raises(TokenError):
        open_token(ring, "c", changed, 9_900)


def test_a_ring_is_bounded_and_checked() -> None:
    ring = KeyRing()
    for k in range(40):
        ring = ring.rotated(k)
    ring.check()
    assert len(ring.keys) == 16 and ring.sealing is not None and ring.sealing.made_ms == 39
    with pytest.raises(ValueError, match="an id of its own"):
        KeyRing((ring.keys[0], ring.keys[0])).check()
    with pytest.raises(ValueError, match="no key that seals"):
        seal_token(KeyRing(), "c", PLACE)


# Claims


def test_of_two_nodes_with_one_token_one_wins() -> None:
    machine, index = StateMachine(), 0

    def write(node: str, place: Place, found_now: bool = True) -> bool:
        nonlocal index
        index += 1
        _, compare, op = reserve(place, node, machine.get(RESERVATION_PREFIX + place.session))
        return commit(compare, op)

    def commit(compare: object, op: object) -> bool:
        nonlocal index
        index += 1
        body = Command(f"c{index}", 1, 99_000, "n", (compare,), (op,))  # type: ignore[arg-type]
        return machine.apply(index, encode(LogRecord(0, 0, body))).succeeded

    first = [reserve(PLACE, n, machine.get(RESERVATION_PREFIX + PLACE.session)) for n in ("n1", "n2")]
    assert [commit(*each[1:]) for each in first] == [True, False]  # at the same moment
    with pytest.raises(SessionClaimedError, match=r"^claimed"):
        write("n2", PLACE)  # a second later
    later = msgspec.structs.replace(PLACE, generation=4)
    second = [reserve(later, n, machine.get(RESERVATION_PREFIX + PLACE.session)) for n in ("n1", "n2")]
    assert [commit(*each[1:]) for each in second] == [True, False]
    held = msgspec.convert(machine.items[RESERVATION_PREFIX + PLACE.session].value, Reservation)
    assert (held.generation, held.node, held.claimed_generation) == (5, "n1", 4)
    assert machine.items[RESERVATION_PREFIX + PLACE.session].expires_at_ms > TOKEN_LIFETIME_S * 1000


def test_a_node_alone_takes_a_token_once() -> None:
    claims = LocalReservations()
    assert claims.reserve(PLACE, 0.0) == 4
    with pytest.raises(SessionClaimedError):
        claims.reserve(PLACE, 1.0)
    for k in range(30_000):
        claims.reserve(Place(f"s{k}", "c", "l", "s", 0, 0, 0), 2.0)
    assert len(claims.held) <= 20_000


def test_a_client_that_tries_again_is_known_by_its_secret_for_a_while() -> None:
    """Its node was killed, or no server took it, after its token was claimed and before it had another."""
    mine, other = secret_digest("ab" * 8), secret_digest("cd" * 8)
    claims = LocalReservations()
    assert claims.reserve(PLACE, 0.0, mine) == 4
    assert claims.reserve(PLACE, 1.0, mine) == 5 and claims.reserve(PLACE, 20.0, mine) == 6
    for by in ("", other):
        with pytest.raises(SessionClaimedError):
            claims.reserve(PLACE, 21.0, by)
    with pytest.raises(SessionClaimedError):
        claims.reserve(
            PLACE, 20.0 + RETURN_RETRY_S + MAX_CLOCK_SKEW_S + 1, mine
        )  # too late: it may be somebody who saw it pass
    # A node claimed the next life in place, with the secret of its session, and ended before it told of it.
    moved = LocalReservations()
    assert moved.reserve(PLACE, 0.0, mine) == 4
    with pytest.raises(SessionClaimedError):
        moved.reserve(PLACE, 1.0, other)
    assert moved.reserve(PLACE, 1.0, mine) == 5
    with pytest.raises(
        SessionClaimedError
    ):  # its client is back elsewhere: a node that still moves it takes nothing
        moved.reserve(PLACE, 2.0, mine, returns=False)
    latest = msgspec.structs.replace(PLACE, generation=6)
    assert claims.reserve(latest, 30.0) == 7  # in place, or at its next return
    with pytest.raises(SessionClaimedError):
        claims.reserve(PLACE, 31.0, mine)
    for bad in ("short", "xy" * 8, "ab" * 40, "AB" * 8):
        with pytest.raises(ValueError, match=r"^ra"):
            secret_digest(bad)


# All of it, in every order that comes up


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
        if isinstance(line, Seen):
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
            made = self.client.request(b"r%d" % (self.client.last + 1))
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
            if isinstance(line, Seen):
                self.node.acknowledge(line.number)
                self.line.forth.append(line)
            elif isinstance(line, Request) and passes(self.node, line):
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
                self.up.append(Seen(seen))

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
        self.line = Line(self.store, self.epoch, self.node.answered)
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
        asked = [b"r%d" % k for k in range(1, self.client.last + 1)]
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
