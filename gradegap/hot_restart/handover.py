"""One process of a node takes the place of another, while clients stay connected.

The process that serves listens on a Unix socket in the node's own folder. One that starts finds it there, and
is given the clients' listening socket, the list of backends with what their probes said, and what is out by
hand. Once it takes clients, the first stops accepting and passes on its sessions, each with both of its
sockets. It stays, until SIGTERM, to answer its reqs, to move what can't pass, and to serve again if its
successor dies.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Protocol

import structlog

from gradegap.balancing.events import AttemptResult, EndpointEntry, EndpointListKind, EndpointPhase
from gradegap.downstream.framing import Opening
from gradegap.downstream.session import Resuming, TcpChannel
from gradegap.hot_restart.link import Link, close_descriptors
from gradegap.hot_restart.messages import (
    AdminCommand,
    AdminCommandDone,
    DescriptorCount,
    EndpointBatch,
    EndpointState,
    EstablishedSession,
    IdleSession,
    Message,
    Offer,
    QuicPort,
    SessionResult,
    StateComplete,
    StoreLease,
    SuccessorReady,
)
from gradegap.hot_restart.rendezvous import SuccessorListener, connect_to_predecessor
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.transport.descriptors import DescriptorBudget, DialedSocket
from gradegap.upstream.connections import Backends, Fetch

log = structlog.get_logger()

STATE_TIMEOUT_S = 1.5  # for the predecessor to send all that a successor needs
ENDPOINTS_PER_MESSAGE = 50
MAX_SESSIONS_IN_FLIGHT = 8  # sessions sent and not answered: their descriptors are held twice
SESSION_SCAN_INTERVAL_S = 0.02  # between two looks for sessions that can be passed on
DESCRIPTOR_COUNT_INTERVAL_S = 0.1  # between two messages on how many descriptors are held


class Host(Protocol):
    """The node, as a handover sees it."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    proxy: Proxy
    backends: Backends
    descriptors: DescriptorBudget
    channels: set[TcpChannel]
    listening: socket.socket | None
    leaving: bool
    resuming: Resuming | None

    def channel(self) -> TcpChannel: ...
    def stop_accepting(self) -> None: ...
    def accept_again(self) -> None: ...
    def obey(self, what: str, server: str) -> None: ...
    def leave_store(self) -> float: ...
    def inherit(self, left: float, out: Mapping[str, float]) -> None: ...
    def give_port(self) -> tuple[bytes, list[int]] | None: ...
    def take_port(self, told: bytes, fds: list[int]) -> None: ...
    def port_alone(self) -> None: ...


class Handover:
    """A node's part in it: as the process that follows one, and as the one that is followed."""

    def __init__(self, node: Host, path: Path | None) -> None:
        self.node = node
        self.path = path
        self.loop = node.loop
        self.link: Link | None = None
        self.waiting: SuccessorListener | None = None
        self.begun: asyncio.Future[bool] | None = None
        self.offer: Offer | None = None
        self.listed: list[EndpointState] = []
        self.gave_way = False  # the successor takes clients, this process no new ones
        self.serial = 0
        # By serial, until they are taken.
        self.given: dict[int, tuple[TcpChannel, Fetch | None, EstablishedSession | None]] = {}
        self.told_held = -1
        node.metrics.gauge("successor", lambda: self.link is not None and self.gave_way)

    # As the process that follows

    async def follow(self) -> bool:
        """Be told what the process that serves knows; False where there is none, or it says too little."""
        sock = await connect_to_predecessor(self.loop, self.path) if self.path is not None else None
        if sock is None:
            return False
        self.begun = self.loop.create_future()
        self.link = link = Link(self.loop, sock, self._heard, self._lost)
        try:
            good = await asyncio.wait_for(asyncio.shield(self.begun), STATE_TIMEOUT_S)
        except TimeoutError:
            good = False
        if not good:
            self.node.metrics.count("handovers_failed")
            log.warning("the process of this node that serves did not answer; starting alone")
            link.close()
        return good

    def _begin(self) -> None:
        proxy = self.node.proxy
        entries = []
        for k in self.listed:
            phase = EndpointPhase(k.phase)
            entry = EndpointEntry(k.id, k.zone, k.cell, phase, k.weight, k.started_at)
            entries.append((entry, k.address))
        proxy.update_endpoints(EndpointListKind.CACHED, entries)
        proxy.restore_drain_times(
            {k.id: k.drain_notified_at for k in self.listed if k.drain_notified_at is not None}
        )
        for server, at in (self.offer.disabled_endpoints if self.offer is not None else {}).items():
            proxy.disable_endpoint(server, at)
        reports = sorted((k.report_at, k.id, k.report) for k in self.listed if k.report is not None)
        for at, server, report in reports:
            proxy.record_report(at, server, report)
        self.listed = []
        if self.begun is not None and not self.begun.done():
            self.begun.set_result(True)

    def serves(self) -> None:
        """This process takes clients: tell the one before it, and wait for the next."""
        if self.link is not None:
            self.link.send(SuccessorReady())
            self._tell_held()
        self._wait_for_next()

    def _wait_for_next(self) -> None:
        if self.path is None or self.waiting is not None:
            return
        try:
            self.waiting = SuccessorListener(self.loop, self.path, self._came)
        except OSError as error:
            # Without it the next process starts alone, and this one leaves as at any planned stop.
            self.node.metrics.count("handovers_failed")
            log.error("a next process can't find this one", error=str(error))

    def _adopt(self, message: IdleSession | EstablishedSession, fds: list[int]) -> bool:
        """Take a session over; its lines go on where they were."""
        if len(fds) != (1 if isinstance(message, IdleSession) else 2):
            close_descriptors(fds)
            return False
        node, channel = self.node, self.node.channel()
        session, dialer = channel.session, self.node.backends.dialer
        channel.adopted = True
        client = socket.socket(fileno=fds[0])
        client.setblocking(False)
        if isinstance(message, IdleSession):
            session.buffer += message.buffer
            session.idle = message.pinged
            session.wait(message.first_line_timeout_s)
            dialer.adopt(client, channel)
            node.metrics.count("taken_over_door")
            return True
        session.unwait()
        session.opening = Opening(message.request, message.opening_before_wait, message.opening_after_wait)
        req = node.proxy.adopt_connection(
            session, message.request, message.endpoint, message.last_response_at, message.unanswered_since
        )
        if req is None or req.attempt is None:
            client.close()
            os.close(fds[1])
            return False
        fetch = Fetch(session, req.attempt, 0.0)
        fetch.sent = fetch.up = True
        fetch.said = None if message.announced_result is None else AttemptResult(message.announced_result)
        fetch.report = message.report
        req.attempt.connection = fetch
        session.req, session.pipe, session.standing = req, fetch, True
        session.watch.part = message.partial_line
        backend = DialedSocket(node.descriptors, client.family, fds[1])
        backend.setblocking(False)
        # The backend's side first: whatever the client says then finds it there.
        dialer.adopt(backend, fetch)
        dialer.adopt(client, channel)
        node.metrics.count("taken_over_standing")
        return True

    # As the process that is followed

    def _came(self, sock: socket.socket) -> None:
        node = self.node
        if self.link is not None or node.leaving or node.listening is None:
            sock.close()
            return
        self.link = link = Link(self.loop, sock, self._heard, self._lost)
        node.metrics.count("handovers_begun")
        ring = node.resuming.handed() if node.resuming is not None else b""
        link.send(Offer(dict(node.proxy.disabled), node.descriptors.own(), ring), node.listening.fileno())
        known = []
        for b in node.proxy.endpoints.values():
            if (e := b.entry) is not None:
                k = EndpointState(b.id, b.address, e.zone, e.cell, int(e.phase), e.weight, e.started_at)
                k.drain_notified_at = b.drain_notified_at if b.phase is not EndpointPhase.READY else None
                k.report, k.report_at = dict(b.report) if b.report is not None else None, b.report_at
                known.append(k)
        for start in range(0, len(known), ENDPOINTS_PER_MESSAGE):
            link.send(EndpointBatch(known[start : start + ENDPOINTS_PER_MESSAGE]))
        link.send(StateComplete())
        self._tell_held()

    def _give_way(self) -> None:
        log.info("the next process takes clients", sessions=len(self.node.channels))
        self.node.metrics.count("handovers")
        self.gave_way = True
        self.node.stop_accepting()
        if self.link is not None and (left := self.node.leave_store()) > 0:
            self.link.send(StoreLease(left, dict(self.node.proxy.disabled)))
        port = self.node.give_port()
        if self.link is not None and port is not None:
            self.link.send(QuicPort(port[0]), *port[1])
        if self.waiting is not None:
            self.waiting.close()
            self.waiting = None
        self._pass_on()

    def _pass_on(self) -> None:
        """Guards against moves, and the wave of returns that they bring the save store: what stands goes to
        the next process as it is. What can't yet is looked at again, until this one ends and moves it."""
        if self.link is None or not self.gave_way:
            return
        for channel in list(self.node.channels):
            if len(self.given) >= MAX_SESSIONS_IN_FLIGHT:
                break
            self._give(channel)
        self.loop.call_later(SESSION_SCAN_INTERVAL_S, self._pass_on)

    def _give(self, channel: TcpChannel) -> None:
        session, transport, link = channel.session, channel.transport, self.link
        if transport is None or link is None or session.closed or not channel.at_rest():
            return
        fd = transport.get_extra_info("socket").fileno()
        self.serial += 1
        if session.opening is None:
            message = IdleSession(self.serial, bytes(session.buffer), session.idle, session.time_left())
            self.given[self.serial] = channel, None, None
            transport.pause_reading()
            session.closed = True
            session.unwait()
            self.node.descriptors.set_rank(channel, None)
            link.send(message, fd)
            return
        fetch, req = session.pipe, session.req
        if not isinstance(fetch, Fetch) or req is None or req.attempt is None or fetch.transport is None:
            return
        fit = req.established and not req.migrated and not session.moving and fetch.at_rest()
        if not fit or req.attempt.endpoint.phase is not EndpointPhase.READY:
            return
        standing = EstablishedSession(
            self.serial,
            req.connection_request,
            session.opening.before,
            session.opening.after,
            req.attempt.endpoint.id,
            session.watch.part,
            req.last_response_at,
            req.unanswered_since,
            None if fetch.said is None else int(fetch.said),
            fetch.report,
        )
        self.given[self.serial] = channel, fetch, standing
        transport.pause_reading()
        fetch.transport.pause_reading()
        session.closed = fetch.over = True
        self.node.proxy.release_connection(req)
        link.send(standing, fd, fetch.transport.get_extra_info("socket").fileno())

    def _taken(self, serial: int, good: bool) -> None:
        channel, fetch, standing = self.given.pop(serial, (None, None, None))
        if channel is None:
            return
        if not good:
            self._take_back(channel, fetch, standing)
            return
        self.node.metrics.count("passed_on_door" if fetch is None else "passed_on_standing")
        for each in (fetch, channel):
            # Our descriptors only: the connections live on in the other process.
            if each is not None and each.transport is not None:
                each.transport.abort()

    def _take_back(
        self, channel: TcpChannel, fetch: Fetch | None, standing: EstablishedSession | None
    ) -> None:
        """Guards against a successor that could not take a session, or died before it said so."""
        self.node.metrics.count("taken_back")
        session = channel.session
        session.closed = False
        if fetch is None or standing is None:
            session.wait(1.0)
            self.node.descriptors.on_taken_back(channel, session.idle)
        else:
            fetch.over = False
            args = (standing.request, standing.endpoint, standing.last_response_at, standing.unanswered_since)
            session.req = req = self.node.proxy.adopt_connection(session, *args)
            if req is None or req.attempt is None:
                session.lost()
                return
            fetch.attempt, req.attempt.connection = req.attempt, fetch
        for each in (fetch, channel):
            if each is not None and each.transport is not None:
                each.transport.resume_reading()

    # Both

    def _heard(self, link: Link, message: Message, fds: list[int]) -> None:
        match message:
            case Offer() if len(fds) == 1 and self.begun is not None:
                self.offer = message
                self.node.descriptors.held_by_other_process = message.descriptor_count
                if self.node.resuming is not None:
                    self.node.resuming.take_over(message.sealing_keys)
                self.node.listening = socket.socket(fileno=fds[0])
                return
            case EndpointBatch():
                self.listed += message.endpoints
            case StateComplete():
                self._begin()
            case SuccessorReady():
                self._give_way()
            case IdleSession() | EstablishedSession():
                link.send(SessionResult(message.serial, self._adopt(message, fds)))
                return
            case SessionResult():
                self._taken(message.serial, message.accepted)
            case AdminCommand():
                self.node.obey(message.operation, message.endpoint)
                link.send(AdminCommandDone(message.serial))
            case DescriptorCount():
                self.node.descriptors.held_by_other_process = message.count
            case QuicPort():
                self.node.take_port(message.state, fds)
                return
            case StoreLease():
                self.node.inherit(message.remaining_s, message.disabled_endpoints)
        close_descriptors(fds)

    def order(self, what: str, server: str, done: Callable[[], None]) -> None:
        """A call binds both processes."""
        if self.link is None:
            done()
        else:
            self.link.send_admin_command(what, server, done)

    def _tell_held(self) -> None:
        if self.link is not None:
            held = self.node.descriptors.own()
            if held != self.told_held:
                self.told_held = held
                self.link.send(DescriptorCount(held))
            self.loop.call_later(DESCRIPTOR_COUNT_INTERVAL_S, self._tell_held)

    def _lost(self, link: Link) -> None:
        """The other process is gone. Guards against a successor's death: what it has not taken stays, and
        unless this process is leaving, it serves again."""
        if link is not self.link:
            return
        self.link, self.told_held = None, -1
        if not self.gave_way:
            self.node.port_alone()
        self.node.descriptors.held_by_other_process = 0
        if self.begun is not None and not self.begun.done():
            self.begun.set_result(False)
        given, self.given = self.given, {}
        for channel, fetch, standing in given.values():
            self._take_back(channel, fetch, standing)
        if self.gave_way and not self.node.leaving:
            self.gave_way = False
            log.warning("the next process has gone; this one serves again")
            self.node.metrics.count("handovers_undone")
            self.node.accept_again()
            self._wait_for_next()

    def close(self) -> None:
        if self.waiting is not None:
            self.waiting.close()
            self.waiting = None
        if self.link is not None:
            self.link.close()
