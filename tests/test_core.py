"""What the core keeps whatever the module says, on a clock and ports of the test's own."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping
from itertools import count
from typing import Any

import pytest

from gradegap.balancing.actions import Action, CheckHealth, Forward, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionInherited,
    ConnectionObserved,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    Event,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from gradegap.metrics import Metrics
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.proxy import Proxy
from gradegap.proxy.request import Attempt, ConnectionRequest, Request
from gradegap.proxy.unresponsive import UNRESPONSIVE_AFTER_S
from tests.helpers import settings


class Handle:
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Clock:
    """The loop's clock and timers, moved on by hand."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.order = count()
        self.timers: list[tuple[float, int, Handle, Callable[..., Any], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, wait: float, call: Callable[..., Any], *args: Any) -> Handle:
        handle = Handle()
        heapq.heappush(self.timers, (self.now + wait, next(self.order), handle, call, args))
        return handle

    def call_soon(self, call: Callable[..., Any], *args: Any) -> Handle:
        return self.call_later(0.0, call, *args)

    def run(self, length: float) -> None:
        end = self.now + length
        while self.timers and self.timers[0][0] <= end:
            at, _, handle, call, args = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            if not handle.cancelled:
                call(*args)
        self.now = end


class Session:
    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.said: list[tuple[str, float]] = []
        self.gone = False  # its client's end has come, and was not read yet

    def is_disconnected(self) -> bool:
        return self.gone

    def _say(self, word: str) -> None:
        self.said.append((word, self.clock.now))

    def on_established(self) -> None:
        self._say("up")

    def reject(self, after: float) -> None:
        self._say("busy")

    def fail(self) -> None:
        self._say("fail")

    def migrate(self) -> None:
        self._say("move")

    def on_endpoint_closed(self) -> None:
        self._say("end")

    @property
    def words(self) -> list[str]:
        return [word for word, _ in self.said]


class Fetch:
    def __init__(self, attempt: Attempt, backend: Endpoint) -> None:
        self.attempt, self.backend = attempt, backend
        self.sent = self.abandoned = False

    def write(self) -> None:
        self.sent = True
        self.attempt.on_sent()

    def cancel(self) -> None:
        self.abandoned = True


class Ports:
    def __init__(self) -> None:
        self.fetches: list[Fetch] = []
        self.probed: list[str] = []
        self.forgotten: list[str] = []

    def connect(self, session: Any, backend: Endpoint, wait: float, attempt: Attempt) -> Fetch:
        self.fetches.append(Fetch(attempt, backend))
        return self.fetches[-1]

    def check_health(
        self,
        backend: Endpoint,
        wait: float,
        done: Callable[[AttemptResult, Mapping[str, float] | None], None],
    ) -> None:
        self.probed.append(backend.id)

    def close_health_check(self, backend: Endpoint) -> None:
        self.forgotten.append(backend.id)


class Script:
    """A module that does as the test says, and keeps what it is told."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.answers: dict[type, Callable[[Any], list[Action]]] = {}

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        return self.answers.get(type(event), lambda e: [])(event)

    def outcomes(self) -> list[AttemptResult]:
        return [e.result for e in self.events if isinstance(e, AttemptEnded)]


class Rig:
    def __init__(self) -> None:
        self.clock, self.ports, self.script = Clock(), Ports(), Script()
        made: Any = self.clock
        self.proxy = Proxy(settings(drain_grace=2.0), 1, self.ports, Metrics(), made)
        self.proxy.balancer = self.script  # type: ignore[assignment]
        self.tell("a", EndpointListKind.FULL)
        self.script.answers[RequestArrived] = lambda e: [Forward(e.request_id, "a", 5.0)]

    def tell(self, name: str, kind: EndpointListKind = EndpointListKind.DELTA, **fields: Any) -> None:
        self.proxy.update_endpoints(kind, [(EndpointEntry(name, **fields), f"{name}:1")])

    def take(self, wait: float = 2.0, at: str = "") -> tuple[Session, Request]:
        session = Session(self.clock)
        req = self.proxy.open_request(session, ConnectionRequest("live", wait, inherited_from=at))
        assert req is not None
        return session, req

    def standing(self) -> tuple[Session, Request, Fetch]:
        session, req = self.take()
        fetch = self.ports.fetches[-1]
        fetch.write()
        fetch.attempt.on_established()
        return session, req, fetch


def test_a_second_send_while_one_is_out_goes_nowhere() -> None:
    rig = Rig()
    rig.script.answers[RequestArrived] = lambda e: [Forward(e.request_id, "a", 1.0)] * 2
    rig.take()
    assert len(rig.ports.fetches) == 1 and rig.proxy.metrics.counts["moot"] == 1


def test_a_module_that_never_answers_is_answered_for_at_the_deadline() -> None:
    rig = Rig()
    rig.script.answers.clear()
    began = rig.clock.now
    session, _ = rig.take(wait=1.5)
    rig.clock.run(5.0)
    assert session.said == [("fail", began + 1.5)] and not rig.proxy.requests


def test_an_attempt_ends_before_the_deadline_so_that_the_answer_is_in_time() -> None:
    rig = Rig()
    rig.script.answers[AttemptEnded] = lambda e: [Reject(e.request_id, 0.5)]
    began = rig.clock.now
    session, _ = rig.take(wait=1.5)
    rig.ports.fetches[0].write()
    rig.clock.run(5.0)
    ((word, at),) = session.said
    assert word == "busy" and at <= began + 1.5
    assert rig.script.outcomes() == [AttemptResult.TIMEOUT] and rig.ports.fetches[0].abandoned


def test_words_that_come_late_touch_nothing() -> None:
    rig = Rig()
    rig.script.answers[AttemptEnded] = lambda e: [Reject(e.request_id, 0.5)]
    session, req = rig.take(wait=1.0)
    attempt = rig.ports.fetches[0].attempt
    rig.clock.run(1.2)
    attempt.on_established()
    attempt.on_ended(AttemptResult.OK)
    attempt.on_load(0.5)
    req.on_disconnect()
    rig.clock.run(1.0)
    assert session.words == ["busy"] and len(rig.script.outcomes()) == 1


@pytest.mark.parametrize("phase", [EndpointPhase.DRAINING, EndpointPhase.REMOVED])
def test_a_fetch_still_connecting_when_its_backend_leaves_is_abandoned_unsent(phase: EndpointPhase) -> None:
    """At once, and not at the end of the grace: when this node hears of it, the word may be as old as that.
    The module is told of the list first, or it would choose that backend again."""
    rig = Rig()
    rig.script.answers[AttemptEnded] = lambda e: [Forward(e.request_id, "b", 5.0)]
    rig.tell("b")
    session, _ = rig.take(wait=9.0)
    rig.tell("a", phase=phase)
    assert rig.ports.fetches[0].abandoned and not rig.ports.fetches[0].sent
    assert rig.script.outcomes() == [AttemptResult.CONNECT_FAILED]
    assert [type(e) for e in rig.script.events[-2:]] == [EndpointList, AttemptEnded]
    assert [f.backend.id for f in rig.ports.fetches] == ["a", "b"]
    del rig.script.answers[AttemptEnded], rig.ports.fetches[1]
    rig.take(wait=9.0)  # and nothing new is sent there, though the module asks for it
    rig.clock.run(0.1)
    assert len(rig.ports.fetches) == 1 and rig.script.outcomes()[1:] == [AttemptResult.NOT_SENT]


def test_a_connection_from_before_the_run_has_the_grace_of_its_backend() -> None:
    rig = Rig()
    rig.take(wait=40.0, at="a")
    rig.tell("a", phase=EndpointPhase.DRAINING)
    assert not rig.ports.fetches[0].abandoned and rig.ports.fetches[0].attempt.may_send()
    rig.clock.run(1.95)
    assert not rig.ports.fetches[0].attempt.may_send() and rig.ports.fetches[0].abandoned


def test_a_client_that_left_unseen_while_it_waited_is_not_sent_on() -> None:
    """Its end lies in the socket as a timer lets the module choose: the loop was busy and did not read it."""
    rig = Rig()
    rig.script.answers = {TimerFired: lambda e: [Forward(1, "a", 1.0)]}
    session, _ = rig.take()
    session.gone = True
    rig.proxy.feed(TimerFired("h1"))
    rig.clock.run(3.0)
    assert not rig.ports.fetches and not session.said and not rig.proxy.requests
    gone, outcome = rig.script.events[-2:]
    assert isinstance(gone, ClientDisconnected) and isinstance(outcome, AttemptEnded) and outcome.settled


def test_a_client_that_left_unseen_during_the_dial_is_not_written_for() -> None:
    rig = Rig()
    session, _ = rig.take()
    session.gone = True
    assert not rig.ports.fetches[0].attempt.may_send()
    rig.clock.run(3.0)
    assert rig.ports.fetches[0].abandoned and not session.said and not rig.proxy.requests


def test_a_repeat_that_could_not_be_written_within_its_window_is_not_written_after_it() -> None:
    """It was decided in time, and its connection came up late: servers drop repeats for so long only."""
    rig = Rig()
    rig.script.answers[RequestArrived] = lambda e: [Forward(e.request_id, "a", 5.0, begin_within=0.1)]
    rig.take()
    rig.take()
    rig.clock.run(0.09)
    assert rig.ports.fetches[0].attempt.may_send()
    rig.clock.run(0.02)
    assert not rig.ports.fetches[1].attempt.may_send()
    assert rig.script.outcomes() == [AttemptResult.CONNECT_FAILED]


def test_a_req_held_back_as_it_is_sent_is_over_for_the_module() -> None:
    """The module was told that its client had gone, while an attempt that it held for out never came back."""
    rig = Rig()
    rig.script.answers = {TimerFired: lambda e: [Forward(1, "a", 1.0)]}
    session, _ = rig.take()
    rig.proxy.set_admission_gate(lambda: 0.5)
    rig.proxy.feed(TimerFired("h1"))
    assert session.words == ["busy"] and not rig.proxy.requests
    assert isinstance(rig.script.events[-1], AttemptEnded) and rig.script.events[-1].settled


def test_a_backend_restarted_under_its_id_is_a_new_one_for_what_was_known_of_it() -> None:
    """Its drain is over, its report and its probe connection are the old process's."""
    rig = Rig()
    rig.tell("a", phase=EndpointPhase.DRAINING)
    rig.proxy.record_report(rig.proxy.now(), "a", {"x0": 0.9})
    rig.clock.run(5.0)
    rig.ports.forgotten.clear()
    rig.tell("a", started_at=rig.proxy.now())
    b = rig.proxy.endpoints["a"]
    assert rig.ports.forgotten == ["a"] and b.report is None and rig.proxy.within_drain_grace(b)
    rig.take()
    assert [f.backend.id for f in rig.ports.fetches] == ["a"]


def test_a_list_told_again_does_not_begin_the_grace_anew() -> None:
    rig = Rig()
    rig.tell("a", phase=EndpointPhase.DRAINING)
    rig.clock.run(1.5)
    rig.tell("a", phase=EndpointPhase.DRAINING)
    rig.clock.run(0.5)
    rig.take()
    assert not rig.ports.fetches


def test_a_client_that_leaves_abandons_its_fetch_and_is_not_answered() -> None:
    rig = Rig()
    session, req = rig.take()
    req.on_disconnect()
    rig.clock.run(3.0)
    assert rig.ports.fetches[0].abandoned and not session.said and not rig.proxy.requests


def test_a_standing_session_without_a_line_back_is_moved_before_seven_seconds() -> None:
    rig = Rig()
    session, req, _ = rig.standing()
    rig.clock.run(2.0)
    req.on_client_line()
    rig.clock.run(UNRESPONSIVE_AFTER_S)
    assert session.words == ["up", "move"] and rig.clock.now - session.said[0][1] <= 7.0


def test_a_standing_session_that_is_idle_or_answered_stays() -> None:
    rig = Rig()
    session, req, _ = rig.standing()
    rig.clock.run(20.0)
    req.on_client_line()
    req.on_endpoint_data()
    rig.clock.run(20.0)
    assert session.words == ["up"]


def test_slow_messages_are_noted_once_a_second() -> None:
    rig = Rig()
    _, req, _ = rig.standing()
    for k in range(10):
        req.on_client_line()
        rig.clock.run(0.01 if k == 0 else 0.4)
        req.on_endpoint_data()
    notes = [e for e in rig.script.events if isinstance(e, ConnectionObserved)]
    assert 2 <= len(notes) <= 4 and all(n.message_delay == pytest.approx(0.39) for n in notes)


def test_a_connection_from_before_the_run_is_tried_again_where_it_could_not_be_made() -> None:
    rig = Rig()
    session, _ = rig.take(wait=40.0, at="a")
    rig.ports.fetches[0].attempt.on_ended(AttemptResult.CONNECT_FAILED)
    rig.clock.run(0.5)
    rig.ports.fetches[1].write()
    rig.ports.fetches[1].attempt.on_established()
    assert session.words == ["up"]
    assert [type(e) for e in rig.script.events[1:]] == [ConnectionInherited]


def test_a_draining_backend_is_not_probed_past_its_grace_nor_held_to_be_silent() -> None:
    """It once counted as silent, and its connections were moved in one wave."""
    rig = Rig()
    rig.script.answers[TimerFired] = lambda e: [CheckHealth("a")]
    rig.tell("a", phase=EndpointPhase.DRAINING)
    rig.proxy.feed(TimerFired("look"))
    rig.clock.run(2.5)
    rig.proxy.feed(TimerFired("look"))
    rig.clock.run(0.1)
    assert rig.ports.probed == ["a"]
    assert [e.result for e in rig.script.events if isinstance(e, HealthCheckEnded)] == [AttemptResult.FULL]


@pytest.mark.parametrize(("grace", "stays"), [(0.25, 2.0), (2.0, 2.0), (6.0, 6.0)])
def test_a_backend_out_by_hand_is_emptied_in_seconds_however_short_the_grace(
    grace: float, stays: float
) -> None:
    """With a grace of 250 ms all its clients were told to move within a fifth of a second."""
    rig = Rig()
    rig.proxy.settings = settings(drain_grace=grace)
    assert rig.proxy.disable_endpoint("a")
    (told,) = [e for e in rig.script.events if isinstance(e, EndpointList)][-1].entries
    assert told.phase is EndpointPhase.DRAINING and told.stops_within == stays


@pytest.mark.parametrize(("grace", "sends_for"), [(0.05, 0.03), (0.25, 0.15), (2.0, 1.9)])
def test_a_short_grace_leaves_some_of_it_to_send_in(grace: float, sends_for: float) -> None:
    rig = Rig()
    rig.proxy.settings = settings(drain_grace=grace)
    rig.tell("a", phase=EndpointPhase.DRAINING)
    b = rig.proxy.endpoints["a"]
    rig.clock.run(sends_for - 0.001)
    assert rig.proxy.within_drain_grace(b)
    rig.clock.run(0.002)
    assert not rig.proxy.within_drain_grace(b)
