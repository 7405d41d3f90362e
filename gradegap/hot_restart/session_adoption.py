"""Continues a session that a predecessor has sent, from the state that it had in the predecessor."""

from __future__ import annotations

import socket

from gradegap.balancing.events import AttemptResult
from gradegap.downstream.framing import Opening
from gradegap.downstream.tcp_channel import TcpChannel
from gradegap.hot_restart.errors import SessionNotAdoptedError
from gradegap.hot_restart.host import Host
from gradegap.hot_restart.link import close_descriptors
from gradegap.hot_restart.messages import EstablishedSession, IdleSession
from gradegap.transport.descriptors import DialedSocket
from gradegap.upstream.connection import UpstreamConnection


def adopt_session(host: Host, message: IdleSession | EstablishedSession, descriptors: list[int]) -> None:
    """Continue a session in this process; becomes the owner of the descriptors.

    Raises:
        SessionNotAdoptedError: if the session can't be continued here; its descriptors are closed.
    """
    expected = 1 if isinstance(message, IdleSession) else 2
    if len(descriptors) != expected:
        close_descriptors(descriptors)
        raise SessionNotAdoptedError(f"session must have {expected} descriptors, got {len(descriptors)}")
    channel = host.create_channel()
    channel.expect_adoption()
    if isinstance(message, IdleSession):
        _adopt_idle(host, message, channel, descriptors[0])
    else:
        _adopt_established(host, message, channel, descriptors[0], descriptors[1])


def _client_socket(descriptor: int) -> socket.socket:
    client = socket.socket(fileno=descriptor)
    client.setblocking(False)
    return client


def _adopt_idle(host: Host, message: IdleSession, channel: TcpChannel, client_descriptor: int) -> None:
    session = channel.session
    session.first_line.buffer += message.buffer
    session.first_line.pinged = message.pinged
    session.first_line.deadline.start(message.first_line_timeout_s)
    host.upstream.dialer.adopt(_client_socket(client_descriptor), channel)
    host.metrics.count("idle_sessions_adopted")


def _adopt_established(
    host: Host,
    message: EstablishedSession,
    channel: TcpChannel,
    client_descriptor: int,
    endpoint_descriptor: int,
) -> None:
    session, dialer = channel.session, host.upstream.dialer
    session.accept_opening(Opening(message.request, message.opening_before_wait, message.opening_after_wait))
    request = host.proxy.adopt_connection(
        session, message.request, message.endpoint, message.last_response_at, message.unanswered_since
    )
    if request is None or request.attempt is None:
        close_descriptors([client_descriptor, endpoint_descriptor])
        raise SessionNotAdoptedError(f"session can't be continued at endpoint {message.endpoint}")
    announced = None if message.announced_result is None else AttemptResult(message.announced_result)
    connection = UpstreamConnection.adopt(session, request.attempt, announced, message.report)
    request.attempt.connection = connection
    session.adopt(request, connection, message.partial_line)
    client = _client_socket(client_descriptor)
    endpoint = DialedSocket(host.descriptors, client.family, endpoint_descriptor)
    endpoint.setblocking(False)
    # The endpoint's connection is attached first, because data from the client is forwarded to it at once.
    dialer.adopt(endpoint, connection)
    dialer.adopt(client, channel)
    host.metrics.count("established_sessions_adopted")
