"""Drives one `Balancer`: reqs, attempts, outcomes, timers and one clock. Knows no wire, decides nothing.

Client sessions hand in reqs, a director hands in the list of backends, and what the module decides
goes out through two ports: `BackendPort` for fetches and probes, `SessionPort` for answers and moves.
The invariants kept here whatever the module says: one final answer for each req, never two attempts
of a req out at once, nothing to a backend whose drain grace is over.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec
import structlog

from gradegap.balancing.actions import (
    CheckHealth,
    Fail,
    Forward,
    LogMessage,
    Migrate,
    Reject,
    SetTimer,
    WatchEndpoints,
)
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import (
    NEVER_RAN,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    ConnectionObserved,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    Event,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.rates import LatencyEstimate
from gradegap.balancing.settings import Settings
from gradegap.metrics import Metrics

log = structlog.get_logger()

HEALTH_CHECK_TIMEOUT_S = (
    0.25  # s until a probe counts as unanswered, at the least; learned from what probes take
)
HEALTH_CHECK_TIMEOUT_MAX_S = 0.5  # s, the same at the most
GRACE_MARGIN = 0.1  # s before a drain grace ends at which a fetch still connecting is abandoned
GRACE_PART = 0.4  # of a short grace, the most that this margin takes
EARLY = 0.008  # s before a deadline at which the last attempt ends, so that the answer is in time
UNRESPONSIVE_AFTER_S = (
    5.0  # s without a line back, with one of the client's unanswered, until the session is moved
)
OUT_STAYS = 2.0  # s that a backend out by hand is held to stay at least: staff stop it in their own time
SWEEP = 0.5  # s between two looks at standing sessions
INHERIT_PAUSE = 0.15  # s between two tries at an inherited connection that could not be made
NEVER = -1e9


class ConnectionRequest(msgspec.Struct, frozen=True):
    """What a client asks for with its first line; a hot restart carries it under the stored field names."""

    class_name: str = msgspec.field(name="cls")
    wait: float | None = None  # s that the client waits for its connection; None: its class's time limit
    key: str = ""
    group: str = msgspec.field(default="", name="team")
    load: float = 0.0  # expected load; 0: not known
    retry: bool = False
    reconnect: bool = False
    inherited_from: str = msgspec.field(default="", name="at")  # endpoint of a connection from before the run
    id: str = ""  # the client's name for this connection, unique among open ones; empty: unnamed
    tenant: str = ""


class InvalidRequestError(ValueError):
    """A req that can't be taken."""


class SessionPort(Protocol):
    """A client session, as the core sees it."""

    def is_disconnected(self) -> bool: ...
    def on_established(self) -> None: ...
    def reject(self, after: float) -> None: ...
    def fail(self) -> None: ...
    def migrate(self) -> None: ...
    def on_endpoint_closed(self) -> None: ...


class ConnectPort(Protocol):
    """One attempt, as the core sees it."""

    @property
    def sent(self) -> bool: ...
    def cancel(self) -> None: ...


class UpstreamPort(Protocol):
    def connect(self, session: Any, backend: Endpoint, wait: float, attempt: Attempt) -> ConnectPort: ...
    def check_health(self, backend: Endpoint, wait: float, done: HealthCheckDone) -> None: ...
    def close_health_check(self, backend: Endpoint) -> None: ...


HealthCheckDone = Callable[[AttemptResult, Mapping[str, float] | None], None]


@dataclass(slots=True, eq=False)
class Endpoint:
    id: str
    address: str = ""
    phase: EndpointPhase = EndpointPhase.REMOVED
    started_at: float = 0.0
    entry: EndpointEntry | None = None  # the last that a director said of it, whatever is laid over that
    drain_notified_at: float = NEVER  # when this node was told that it drains or is gone
    report: Mapping[str, float] | None = None  # the last that a probe brought, and when
    report_at: float = NEVER
    report_from_peer: bool = False  # the report is another node's
    # When a health check of this node's own was last left unanswered, while none was answered since.
    unanswered_at: float = NEVER
    min_message_delay: float = 9.0  # s, the shortest a message took: the way there and back
    slow_message_reported_at: float = NEVER
    connecting: set[Attempt] = field(default_factory=set)  # nothing written yet


@dataclass(slots=True, eq=False)
class Request:
    """A req from its first line to the end of its connection; a client session's handle on the core."""

    proxy: Proxy
    id: int
    connection_request: ConnectionRequest
    session: SessionPort
    deadline: float
    max_attempts: int = 1  # attempts; like the deadline, by the settings that it came under
    attempt_count: int = 0
    attempt: Attempt | None = None  # the one attempt out, or the one that stands
    established: bool = False
    answered: bool = False
    migrated: bool = False
    deadline_timer: asyncio.TimerHandle | None = None
    last_response_at: float = 0.0  # standing: when the backend last sent something
    unanswered_since: float | None = None  # standing: the client's oldest line that nothing came back for

    def on_disconnect(self) -> None:
        """The client has left."""
        self.proxy.client_gone(self)

    def on_client_line(self) -> None:
        if self.unanswered_since is None:
            self.unanswered_since = self.proxy.now()

    def on_endpoint_data(self, line: bool = True) -> None:
        """Something came back; a whole line of it, or a part."""
        self.last_response_at = self.proxy.now()
        if line:
            self.proxy.heard(self)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt; what its fetch tells comes here, and counts only while the attempt is live."""

    request: Request
    endpoint: Endpoint
    number: int
    started_at: float
    timeout: float
    send_by: float = math.inf  # it may not be written after this
    active: bool = True
    connection: ConnectPort | None = None
    timer: asyncio.TimerHandle | None = None

    def may_send(self) -> bool:
        """Its connection is up: whether the first line may be written."""
        return self.active and self.request.proxy.begins(self)

    def on_sent(self) -> None:
        """The first line is out."""
        self.endpoint.connecting.discard(self)

    def on_established(self) -> None:
        if self.active:
            self.request.proxy.up(self)

    def on_ended(self, result: AttemptResult, report: Mapping[str, float] | None = None) -> None:
        if self.active:
            self.request.proxy.over(self, result, report)

    def on_load(self, value: float) -> None:
        if self.active:
            self.request.proxy.note(self.request, self.endpoint, load=value)


def send_for(settings: Settings) -> float:
    """s after the word that a backend drains in which something may still be begun there."""
    grace = settings.drain_grace
    return grace - min(GRACE_MARGIN, GRACE_PART * grace)


def slow_message(settings: Settings) -> float:
    """How much longer than its shortest a message takes where the module is told of it."""
    aims = [c.message_latency_objective for c in settings.classes.values() if c.message_latency_objective > 0]
    return min(aims, default=0.15) / 3


class Proxy:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        backends: UpstreamPort,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.settings = settings
        self.slow_message = slow_message(settings)
        self.balancer = Balancer(settings, seed)
        self.upstream = backends
        self.metrics = metrics
        self.loop = loop
        self.clock_offset = (
            time.time() - loop.time()
        )  # once: the clock never jumps, yet compares with started_ms
        self.started_at_ms = time.time() * 1000  # when this node started, in Unix time
        self.endpoints: dict[str, Endpoint] = {}
        self.requests: dict[int, Request] = {}
        self.health_check_latency = LatencyEstimate()  # what probes take here
        self.connection_ids: set[str] = set()  # the clients' names of these
        self.next_id = 1
        self.rng = random.Random(seed ^ 0x5EED)
        self.shutting_down = False
        self.disabled: dict[str, float] = {}  # backends taken out by hand, with when
        self.on_disabled_changed: Callable[[], None] | None = None
        # None where a decision may be made now; else the s after which a client that is refused may return.
        self.admission_gate: Callable[[], float | None] | None = None
        self.drain_deadline: float | None = None  # out of service: nothing stands here after this
        self.on_idle: Callable[[], None] | None = None
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            Forward: self._send,
            Reject: self._refuse,
            Fail: self._fail,
            Migrate: self._move,
            SetTimer: self._set_timer,
            CheckHealth: self._probe,
            WatchEndpoints: lambda a: None,  # the director watches always
            LogMessage: lambda a: log.info("module", text=a.text),
        }
        loop.call_later(SWEEP, self._sweep)

    def now(self) -> float:
        return self.loop.time() + self.clock_offset

    def reconfigure(self, settings: Settings) -> None:
        """Settings that hold from now on; a req that is under way keeps its class as it was."""
        self.settings = settings
        self.slow_message = slow_message(settings)
        self.balancer.adopt(settings)

    def feed(self, event: Event) -> None:
        """One event to the module; its actions are carried out in order."""
        for action in self.balancer.handle(self.now(), event):
            self.action_handlers[type(action)](action)

    # The list of backends

    def update_endpoints(self, kind: EndpointListKind, entries: Iterable[tuple[EndpointEntry, str]]) -> None:
        """The director's list: entries with the address of each backend."""
        known = list(entries)
        if kind is not EndpointListKind.DELTA:
            named = {e.name for e, _ in known}
            for b in self.endpoints.values():
                if b.id not in named and b.entry is not None and b.entry.phase is not EndpointPhase.REMOVED:
                    known.append((b.entry._replace(phase=EndpointPhase.REMOVED), ""))
        for e, address in known:
            b = self.endpoints.setdefault(e.name, Endpoint(e.name))
            b.entry = e
            if (address and address != b.address) or e.started_at > b.started_at:
                # Guards against a probe connection to the process that ran there before.
                self.upstream.close_health_check(b)
                b.min_message_delay, b.report = 9.0, None
            b.address = address or b.address
            b.started_at = e.started_at
        self._lay(kind, [e for e, _ in known])

    def _lay(self, kind: EndpointListKind, entries: list[EndpointEntry]) -> None:
        """Entries in force, for the module: who was taken out by hand drains, whatever else is said of it."""
        now = self.now()
        laid = []
        told = []  # who leaves, by this word
        for e in entries:
            if e.phase is EndpointPhase.READY and e.name in self.disabled:
                # It may be stopped soon after nothing new goes to it. Guards against all its clients sent
                # away at once, where the grace is short.
                e = e._replace(
                    phase=EndpointPhase.DRAINING, stops_within=max(OUT_STAYS, self.settings.drain_grace)
                )
            laid.append(e)
            b = self.endpoints[e.name]
            was, b.phase = b.phase, e.phase
            if e.phase is EndpointPhase.READY:
                b.drain_notified_at = NEVER
            elif was is EndpointPhase.READY or b.drain_notified_at == NEVER:
                b.drain_notified_at = self.disabled.get(e.name, now)
                told.append(b)
            if e.phase is EndpointPhase.REMOVED and was is not EndpointPhase.REMOVED:
                self.upstream.close_health_check(b)
        self.feed(EndpointList(kind, tuple(laid)))
        for b in told:
            self._end_connecting(b)

    def disable_endpoint(self, server: str, at: float | None = None) -> bool:
        """Nothing more to this backend until the call back, whatever a director says of it in between.
        Whether there is such a backend. `at` names when it was taken out, by a process before this one."""
        if at is not None and server not in self.endpoints:
            # Guards against a held backend that is not on the list now: it must not come back in service.
            self.endpoints[server] = Endpoint(
                server, entry=EndpointEntry(server, phase=EndpointPhase.REMOVED)
            )
        b = self.endpoints.get(server)
        if b is None or b.entry is None:
            return False
        if server not in self.disabled:
            self.disabled[server] = self.now() if at is None else at
            self.metrics.count("taken_out")
            self._lay(EndpointListKind.DELTA, [b.entry])
            self._out_changed()
        return True

    def enable_endpoint(self, server: str) -> bool:
        """The backend is as it was last told again."""
        b = self.endpoints.get(server)
        if b is None or b.entry is None:
            return False
        if self.disabled.pop(server, None) is not None:
            self.metrics.count("called_back")
            self._lay(EndpointListKind.DELTA, [b.entry])
            self._out_changed()
        return True

    def _out_changed(self) -> None:
        if self.on_disabled_changed is not None:
            self.on_disabled_changed()

    def _end_connecting(self, b: Endpoint) -> None:
        """Guards against a first line written to a backend that leaves: when this node hears of it, the word
        may be as old as its grace. What is connecting is given up unsent, and goes elsewhere."""
        for attempt in list(b.connecting):
            if not attempt.request.connection_request.inherited_from:
                self._give_up_unsent(attempt)

    def _give_up_unsent(self, attempt: Attempt) -> None:
        self._abandon(attempt)
        self.over(attempt, AttemptResult.CONNECT_FAILED)

    def begins(self, attempt: Attempt) -> bool:
        """Whether a first line may be written now. Guards against what came since the module chose: the
        client's end, which the loop has not read yet, the word that the backend leaves, the end of the time
        in which a repeat is dropped there."""
        if attempt.request.session.is_disconnected():
            self.metrics.count("left_unseen")
            self.client_gone(attempt.request)
        elif not self._may_begin(attempt) or self.now() >= attempt.send_by:
            self.metrics.count("begun_too_late")
            self._give_up_unsent(attempt)
        return attempt.active

    def _may_begin(self, attempt: Attempt) -> bool:
        # A connection from before the run stands at its backend already, for as long as the grace allows.
        b = attempt.endpoint
        return b.drain_notified_at == NEVER or bool(
            attempt.request.connection_request.inherited_from and self.within_drain_grace(b)
        )

    def within_drain_grace(self, b: Endpoint) -> bool:
        return b.drain_notified_at == NEVER or self.now() < b.drain_notified_at + send_for(self.settings)

    # Client sessions

    def open_request(self, session: SessionPort, ask: ConnectionRequest) -> Request:
        """A client session's req; `Unfit` where it can't be taken."""
        cls = self.settings.classes.get(ask.class_name)
        if cls is None:
            raise InvalidRequestError("unknown class")
        if ask.id in self.connection_ids:
            # Guards against two connections under one id, of which a backend could serve but one.
            raise InvalidRequestError("the id of another client's req")
        if ask.id:
            self.connection_ids.add(ask.id)
        self.metrics.count("taken")
        now = self.now()
        wait = cls.time_limit if ask.wait is None else ask.wait
        req = Request(self, self.next_id, ask, session, now + wait, self.settings.max_attempts)
        self.next_id += 1
        self.requests[req.id] = req
        # Guards against a module that never answers: the answer is given here, still within the slack.
        req.deadline_timer = self.loop.call_later(max(0.0, wait), self._overdue, req)
        if ask.inherited_from:
            self._inherit(req)
        elif not self._held_back(req):
            self.feed(self._request(req))
        return req

    def _held_back(self, req: Request) -> bool:
        """Refuse at once what could only be decided by state that others may have replaced."""
        wait = self.admission_gate() if self.admission_gate is not None else None
        if wait is None:
            return False
        self.metrics.count("refused_stale")
        self._answer(req, "refused")
        req.session.reject(min(wait, self.settings.max_retry_after))
        self._drop(req)
        return True

    def _request(self, req: Request) -> RequestArrived:
        a = req.connection_request
        return RequestArrived(
            req.id, a.class_name, req.deadline, a.tenant, a.key, a.group, a.load, a.retry, False, a.reconnect
        )

    def client_gone(self, req: Request) -> None:
        if req.id not in self.requests:
            return
        attempt = req.attempt
        if req.established:
            if attempt is not None:
                self._abandon(attempt)
                self.over(attempt, AttemptResult.CANCELLED)
            return
        if req.answered:
            return
        req.answered = True
        self.metrics.count("client_gone")
        self._unguard(req)
        if not req.connection_request.inherited_from:
            self.feed(ClientDisconnected(req.id))
        if attempt is not None:
            self._abandon(attempt)
            self.over(attempt, AttemptResult.CANCELLED)
        else:
            self._drop(req)

    def _overdue(self, req: Request) -> None:
        if req.answered or req.established:
            return
        attempt = req.attempt
        if attempt is not None:
            self._time_out(attempt)
        if not req.answered:
            self.metrics.count("overdue")
            self._answer(req, "failed")
            req.session.fail()
            if not req.connection_request.inherited_from:
                self.feed(ClientDisconnected(req.id))
            self._drop(req)

    # What the module decides

    def _send(self, a: Forward) -> None:
        req, b = self.requests.get(a.request_id), self.endpoints.get(a.endpoint)
        wait = 0.0 if req is None else min(a.timeout, req.deadline - EARLY - self.now())
        if req is None or req.answered or req.attempt is not None or req.established:
            # Guards against two attempts at once, or one after the answer.
            self.metrics.count("moot")
            return
        begin_by = self.now() + a.begin_within
        attempt = Attempt(req, b or Endpoint(a.endpoint), req.attempt_count, self.now(), wait, begin_by)
        req.attempt_count += 1
        req.attempt = attempt
        if self._held_back(req):
            self.over(attempt, AttemptResult.NOT_SENT)
        elif b is None or not self._may_begin(attempt) or attempt.number >= req.max_attempts or wait <= 0:
            self.loop.call_soon(attempt.on_ended, AttemptResult.NOT_SENT)
        elif self.begins(attempt):
            self._fetch(attempt)

    def _fetch(self, attempt: Attempt) -> None:
        self.metrics.count("sent")
        attempt.endpoint.connecting.add(attempt)
        attempt.timer = self.loop.call_later(attempt.timeout, self._time_out, attempt)
        attempt.connection = self.upstream.connect(
            attempt.request.session, attempt.endpoint, attempt.timeout, attempt
        )

    def _answer(self, req: Request, kind: str) -> None:
        req.answered = True
        self._unguard(req)
        self.metrics.count(f"answered_{kind}")

    def _refuse(self, a: Reject) -> None:
        req = self.requests.get(a.request_id)
        if req is not None and not req.answered:
            self._answer(req, "refused")
            req.session.reject(a.retry_after)
            self._finish(req)

    def _fail(self, a: Fail) -> None:
        req = self.requests.get(a.request_id)
        if req is not None and not req.answered:
            self._answer(req, "failed")
            req.session.fail()
            self._finish(req)

    def _finish(self, req: Request) -> None:
        if req.attempt is None:
            self._drop(req)
        else:
            self._abandon(req.attempt)
            self.loop.call_soon(req.attempt.on_ended, AttemptResult.CANCELLED)

    def _move(self, a: Migrate) -> None:
        req = self.requests.get(a.request_id)
        if req is not None:
            self.migrate(req)

    def migrate(self, req: Request) -> None:
        """End a standing session politely; the session says MOVE between two lines."""
        attempt = req.attempt
        if req.established and not req.migrated and attempt is not None:
            req.migrated = True
            self.metrics.count("moved")
            req.session.migrate()
            self.loop.call_soon(attempt.on_ended, AttemptResult.CANCELLED)

    def _set_timer(self, a: SetTimer) -> None:
        self.loop.call_later(max(0.0, a.delay), self.feed, TimerFired(a.token))

    def _probe(self, a: CheckHealth) -> None:
        b = self.endpoints.get(a.endpoint)
        began = self.now()
        self.metrics.count("probes")

        def done(result: AttemptResult, report: Mapping[str, float] | None) -> None:
            self.metrics.count(f"probe_{result.name.lower()}")
            if b is not None and report is not None:
                b.report, b.report_at, b.report_from_peer = report, self.now(), False
                b.unanswered_at = NEVER
            elif b is not None and result is AttemptResult.TIMEOUT:
                b.unanswered_at = self.now()
            if result in (AttemptResult.OK, AttemptResult.TIMEOUT):
                self.health_check_latency.took(self.now() - began)
            self.feed(HealthCheckEnded(a.endpoint, result, self.now() - began, report))

        if b is None or not self.within_drain_grace(b):
            # A backend that drains past its grace gets nothing new, probes included. Guards against that
            # being taken for its silence, on which the module would move all at once: FULL says nothing.
            self.loop.call_soon(done, AttemptResult.FULL, None)
        else:
            self.upstream.check_health(
                b, self.health_check_latency.late(HEALTH_CHECK_TIMEOUT_S, HEALTH_CHECK_TIMEOUT_MAX_S), done
            )

    # What attempts come to

    def up(self, attempt: Attempt) -> None:
        req = attempt.request
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._answer(req, "served")
        req.established = True
        req.last_response_at = self.now()
        req.session.on_established()
        if req.connection_request.inherited_from:
            self.feed(ConnectionInherited(self._request(req), attempt.endpoint.id))
        else:
            spent = self.now() - attempt.started_at
            self.feed(ConnectionEstablished(req.id, attempt.number, attempt.endpoint.id, spent))

    def over(
        self, attempt: Attempt, result: AttemptResult, report: Mapping[str, float] | None = None
    ) -> None:
        """The one outcome of an attempt; whatever its fetch says later is not heard."""
        if not attempt.active:
            return
        attempt.active = False
        attempt.endpoint.connecting.discard(attempt)
        if attempt.timer is not None:
            attempt.timer.cancel()
        req = attempt.request
        req.attempt = None
        self.metrics.count(f"{'ended' if req.established else 'fetch'}_{result.name.lower()}")
        if req.established and not req.migrated:
            req.session.on_endpoint_closed()
        if req.connection_request.inherited_from and not req.established:
            self._inherit_over(req, result)
            return
        settled = req.answered
        spent = self.now() - attempt.started_at
        if settled:
            self._drop(req)
        self.feed(AttemptEnded(req.id, attempt.number, attempt.endpoint.id, result, spent, settled, report))

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.active and not attempt.request.established:
            sent = attempt.connection is not None and attempt.connection.sent
            self._abandon(attempt)
            self.over(attempt, AttemptResult.TIMEOUT if sent else AttemptResult.CONNECT_FAILED)

    def _abandon(self, attempt: Attempt) -> None:
        if attempt.connection is not None:
            attempt.connection.cancel()

    def _unguard(self, req: Request) -> None:
        if req.deadline_timer is not None:
            req.deadline_timer.cancel()
            req.deadline_timer = None

    def _drop(self, req: Request) -> None:
        self._unguard(req)
        if self.requests.pop(req.id, None) is not None:
            self.connection_ids.discard(req.connection_request.id)
        if not self.requests and self.on_idle is not None:
            self.on_idle()

    # Connections from before the run

    def _inherit(self, req: Request) -> None:
        """No decision: the backend is named by the client, and the connection already stands there."""
        b = self.endpoints.get(req.connection_request.inherited_from)
        if req.answered or req.id not in self.requests:
            return
        wait = req.deadline - EARLY - self.now()
        if b is None or not b.address or not self.within_drain_grace(b) or wait <= 0:
            self._answer(req, "failed")
            req.session.fail()
            self._drop(req)
            return
        req.attempt = Attempt(req, b, 0, self.now(), wait)
        self._fetch(req.attempt)

    def _inherit_over(self, req: Request, result: AttemptResult) -> None:
        if req.answered:
            self._drop(req)
        elif result in NEVER_RAN and req.deadline - self.now() > 2 * INHERIT_PAUSE:
            self.loop.call_later(INHERIT_PAUSE, self._inherit, req)
        else:
            self._answer(req, "failed")
            req.session.fail()
            self._drop(req)

    # What another process of this node has passed on

    def restore_drain_times(self, told: Mapping[str, float]) -> None:
        """When backends that drain or are gone were told to: a grace doesn't begin again."""
        for server, at in told.items():
            b = self.endpoints[server]
            if b.drain_notified_at != NEVER:
                b.drain_notified_at = min(b.drain_notified_at, at)

    def record_report(self, at: float, server: str, report: Mapping[str, float]) -> None:
        """A report that came at `at`; the module hears of it with its age."""
        b = self.endpoints[server]
        b.report, b.report_at = report, at
        event = HealthCheckEnded(server, AttemptResult.OK, 0.0, report)
        for action in self.balancer.handle(min(at, self.now()), event):
            self.action_handlers[type(action)](action)

    def adopt_connection(
        self,
        session: SessionPort,
        ask: ConnectionRequest,
        server: str,
        heard_at: float,
        asked_at: float | None,
    ) -> Request | None:
        """A session that stands already at a backend of the list; None where it can't stand here."""
        b = self.endpoints.get(server)
        if b is None or b.phase is EndpointPhase.REMOVED or (ask.id and ask.id in self.connection_ids):
            return None
        now = self.now()
        req = Request(self, self.next_id, ask, session, now, established=True, answered=True)
        req.last_response_at = min(heard_at, now)
        req.unanswered_since = asked_at
        req.attempt = Attempt(req, b, 0, now, 0.0)
        self.next_id += 1
        self.requests[req.id] = req
        if ask.id:
            self.connection_ids.add(ask.id)
        self.metrics.count("adopted")
        self.feed(ConnectionInherited(self._request(req), b.id))
        return req

    def release_connection(self, req: Request) -> None:
        """A standing session is another process's from now on."""
        attempt = req.attempt
        if attempt is not None:
            attempt.active = False
            req.attempt = None
            req.established = False
            self._drop(req)
            spent = self.now() - attempt.started_at
            result = AttemptResult.CANCELLED
            self.feed(AttemptEnded(req.id, attempt.number, attempt.endpoint.id, result, spent, True))

    # Leaving

    def begin_shutdown(self, within: float) -> None:
        """This node stops: the module moves all that stands, in its own pace, within that time."""
        if not self.shutting_down:
            self.shutting_down = True
            self.feed(ProxyDraining(self.now() + within, process_ends=True))

    def start_draining(self, within: float) -> None:
        """This node is out of service: all that stands, or comes to, is moved, and it stays."""
        if self.drain_deadline is None and not self.shutting_down:
            self.drain_deadline = self.now() + within
            self.feed(ProxyDraining(self.drain_deadline))

    def stop_draining(self) -> None:
        """It is in service again."""
        if self.drain_deadline is not None and not self.shutting_down:
            self.drain_deadline = None
            self.feed(ProxyResumed())

    def migrate_all(self) -> None:
        """Guards against connections that still stand when the time to leave is over."""
        for req in list(self.requests.values()):
            self.migrate(req)

    def answer_all(self) -> None:
        """Guards against reqs that outlive this process: a class may wait longer than the platform does
        between SIGTERM and SIGKILL. What is still out has timed out, and its client has its answer now."""
        for req in list(self.requests.values()):
            if not req.established and not req.answered:
                self._overdue(req)

    # Standing sessions

    def heard(self, req: Request) -> None:
        now = self.now()
        asked, req.unanswered_since = req.unanswered_since, None
        if asked is None or req.attempt is None:
            return
        b = req.attempt.endpoint
        delay = now - asked
        b.min_message_delay = min(b.min_message_delay, delay)
        slow = delay - b.min_message_delay
        if slow > self.slow_message and now - b.slow_message_reported_at > 1.0:
            b.slow_message_reported_at = now
            self.note(req, b, delay=slow)

    def note(self, req: Request, b: Endpoint, load: float | None = None, delay: float | None = None) -> None:
        if req.established and not req.migrated:
            self.feed(ConnectionObserved(req.id, b.id, load, delay))

    def _sweep(self) -> None:
        """Guards against a backend that holds a connection and says nothing: its client is told to move
        before the silence has lasted the seven seconds that the protocol allows."""
        self.loop.call_later(SWEEP, self._sweep)
        now = self.now()
        if self.drain_deadline is not None and now > self.drain_deadline:
            self.migrate_all()
        for req in list(self.requests.values()):
            if (
                req.established
                and req.unanswered_since is not None
                and now - req.last_response_at > UNRESPONSIVE_AFTER_S
            ):
                self.metrics.count("silent")
                self.migrate(req)
