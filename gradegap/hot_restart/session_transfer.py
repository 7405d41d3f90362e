"""Transfers sessions with their sockets from a predecessor to its successor.

Guards against migrating all clients at a restart, after which they would all reconnect at once and load the
save store: established sessions continue in the successor unchanged. Sessions that can't be transferred yet
are tried again until this process shuts down, which migrates the remaining sessions.
"""

from __future__ import annotations

from dataclasses import dataclass

from gradegap.balancing.events import EndpointPhase
from gradegap.downstream.session_state import SessionState
from gradegap.downstream.tcp_channel import TcpChannel
from gradegap.hot_restart.host import Host
from gradegap.hot_restart.link import Link
from gradegap.hot_restart.messages import EstablishedSession, IdleSession
from gradegap.proxy.request import Request, RequestState
from gradegap.upstream.connection import UpstreamConnection

# Limit of sessions that were sent and neither accepted nor rejected yet; their descriptors are open in both
# processes.
MAX_SESSIONS_IN_FLIGHT = 8
FIRST_LINE_TIMEOUT_S = 1.0  # timeout of the first line on an idle connection that was taken back


@dataclass(slots=True, frozen=True)
class _IdleInFlight:
    channel: TcpChannel


@dataclass(slots=True, frozen=True)
class _EstablishedInFlight:
    channel: TcpChannel
    connection: UpstreamConnection
    message: EstablishedSession


class SessionTransfer:
    """Transfers sessions, and owns those for which the successor has not answered yet."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._last_serial = 0
        # Sessions without an answer of the successor, by the serial of their message.
        self._in_flight: dict[int, _IdleInFlight | _EstablishedInFlight] = {}

    def send_sessions(self, link: Link) -> None:
        """Send sessions that can be transferred now, until `MAX_SESSIONS_IN_FLIGHT` have no answer yet."""
        for channel in list(self._host.channels):
            if len(self._in_flight) >= MAX_SESSIONS_IN_FLIGHT:
                break
            self._send(link, channel)

    def _send(self, link: Link, channel: TcpChannel) -> None:
        session, transport = channel.session, channel.transport
        if transport is None or session.closed or not channel.is_idle():
            return
        if session.opening is None:
            self._send_idle(link, channel)
            return
        connection, request = session.upstream, session.request
        if (
            isinstance(connection, UpstreamConnection)
            and request is not None
            and self._can_transfer(channel, connection)
        ):
            self._send_established(link, channel, connection, request)

    def _can_transfer(self, channel: TcpChannel, connection: UpstreamConnection) -> bool:
        request = channel.session.request
        if request is None or request.attempt is None or connection.transport is None:
            return False
        if request.state is not RequestState.ESTABLISHED or channel.session.state is SessionState.MIGRATING:
            return False
        return connection.is_idle() and request.attempt.endpoint.phase is EndpointPhase.READY

    def _next_serial(self) -> int:
        self._last_serial += 1
        return self._last_serial

    def _send_idle(self, link: Link, channel: TcpChannel) -> None:
        session, transport = channel.session, channel.transport
        assert transport is not None
        message = IdleSession(
            self._next_serial(),
            buffer=bytes(session.first_line.buffer),
            pinged=session.first_line.pinged,
            first_line_timeout_s=session.first_line.deadline.time_left(),
        )
        self._in_flight[message.serial] = _IdleInFlight(channel)
        transport.pause_reading()
        session.release()
        session.first_line.deadline.stop()
        self._host.descriptors.set_rank(channel, None)
        link.send(message, transport.get_extra_info("socket").fileno())

    def _send_established(
        self, link: Link, channel: TcpChannel, connection: UpstreamConnection, request: Request
    ) -> None:
        session, transport = channel.session, channel.transport
        assert transport is not None
        assert connection.transport is not None
        assert session.opening is not None
        assert request.attempt is not None
        message = EstablishedSession(
            self._next_serial(),
            request=request.connection_request,
            opening_before_wait=session.opening.before_wait,
            opening_after_wait=session.opening.after_wait,
            endpoint=request.attempt.endpoint.id,
            partial_line=session.scanner.partial,
            last_response_at=request.last_response_at,
            unanswered_since=request.unanswered_since,
            announced_result=None
            if connection.announced_result is None
            else int(connection.announced_result),
            report=connection.announced_report,
        )
        self._in_flight[message.serial] = _EstablishedInFlight(channel, connection, message)
        transport.pause_reading()
        connection.transport.pause_reading()
        session.release()
        connection.release()
        self._host.proxy.release_connection(request)
        client_descriptor = transport.get_extra_info("socket").fileno()
        endpoint_descriptor = connection.transport.get_extra_info("socket").fileno()
        link.send(message, client_descriptor, endpoint_descriptor)

    def finish(self, serial: int, accepted: bool) -> None:
        """Handle the successor's answer for a session; an unknown serial is ignored."""
        transfer = self._in_flight.pop(serial, None)
        if transfer is None:
            return
        if not accepted:
            self._take_back(transfer)
            return
        # Aborting closes only this process's descriptors; the connections stay open in the other process.
        if isinstance(transfer, _EstablishedInFlight):
            self._host.metrics.count("established_sessions_passed")
            _abort(transfer.connection)
        else:
            self._host.metrics.count("idle_sessions_passed")
        _abort(transfer.channel)

    def take_back_all(self) -> None:
        """Take back all unanswered sessions, because the successor has ended."""
        in_flight, self._in_flight = self._in_flight, {}
        for transfer in in_flight.values():
            self._take_back(transfer)

    def _take_back(self, transfer: _IdleInFlight | _EstablishedInFlight) -> None:
        """Continue a session in this process: the successor rejected it or died before it answered."""
        self._host.metrics.count("sessions_taken_back")
        transfer.channel.session.take_back()
        if isinstance(transfer, _EstablishedInFlight):
            if not self._restore(transfer):
                return
            _resume_reading(transfer.connection)
        else:
            session = transfer.channel.session
            session.first_line.deadline.start(FIRST_LINE_TIMEOUT_S)
            self._host.descriptors.on_taken_back(transfer.channel, session.first_line.pinged)
        _resume_reading(transfer.channel)

    def _restore(self, transfer: _EstablishedInFlight) -> bool:
        """Return a session to the proxy; if that fails, end its client's connection and return False."""
        session, connection, message = transfer.channel.session, transfer.connection, transfer.message
        connection.take_back()
        session.request = request = self._host.proxy.adopt_connection(
            session, message.request, message.endpoint, message.last_response_at, message.unanswered_since
        )
        if request is None or request.attempt is None:
            session.on_channel_closed()
            return False
        connection.attempt, request.attempt.connection = request.attempt, connection
        return True


def _abort(connection: TcpChannel | UpstreamConnection) -> None:
    if connection.transport is not None:
        connection.transport.abort()


def _resume_reading(connection: TcpChannel | UpstreamConnection) -> None:
    if connection.transport is not None:
        connection.transport.resume_reading()
