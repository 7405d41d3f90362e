"""The hot restarts of a process: it starts as a successor, and later serves as a predecessor.

The serving process (the predecessor) listens on a Unix socket in the node's private folder. A starting
process (the successor) connects to this socket, and receives the listening socket for clients, the endpoint
list with load reports, and the endpoints that operators have disabled. When the successor accepts clients,
the predecessor stops accepting, and sends its sessions, each with the sockets of its client and its endpoint.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path

import structlog

from gradegap.hot_restart.host import Host
from gradegap.hot_restart.link import Link, close_descriptors
from gradegap.hot_restart.messages import (
    AdminCommand,
    AdminCommandDone,
    DescriptorCount,
    EndpointBatch,
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
from gradegap.hot_restart.predecessor import Predecessor, PredecessorState
from gradegap.hot_restart.rendezvous import SuccessorListener, connect_to_predecessor
from gradegap.hot_restart.successor import Successor

log = structlog.get_logger()

STATE_TIMEOUT_S = 1.5  # limits how long the predecessor may take to send its state
# Interval at which the number of open descriptors is sent to the other process.
DESCRIPTOR_COUNT_INTERVAL_S = 0.1
_NO_COUNT_SENT = -1


class HotRestart:
    """Owns both roles of this process, and the link to the other process; there is at most one."""

    def __init__(self, host: Host, path: Path | None) -> None:
        """`path` is that of the Unix socket to which a successor connects; None disables hot restarts."""
        self._host = host
        self._path = path
        self._loop = host.loop
        self._link: Link | None = None
        self._listener: SuccessorListener | None = None
        self._sent_descriptor_count = _NO_COUNT_SENT
        self._predecessor = Predecessor(host)
        self._successor = Successor(host)
        host.metrics.gauge("successor", lambda: self.is_handing_over)

    @property
    def is_connected(self) -> bool:
        """Whether this process is connected to another process of the node."""
        return self._link is not None

    @property
    def is_handing_over(self) -> bool:
        """Whether a successor accepts clients, and this process transfers its sessions to it."""
        return self._predecessor.state is PredecessorState.HANDING_OVER

    async def follow(self) -> bool:
        """Receive the serving process's state; False if no process serves, or after `STATE_TIMEOUT_S`."""
        sock = await connect_to_predecessor(self._loop, self._path) if self._path is not None else None
        if sock is None:
            return False
        state_received = self._successor.begin()
        self._link = link = Link(self._loop, sock, self._on_message, self._on_link_closed)
        try:
            received = await asyncio.wait_for(asyncio.shield(state_received), STATE_TIMEOUT_S)
        except TimeoutError:
            received = False
        if not received:
            self._host.metrics.count("hot_restarts_failed")
            log.warning("predecessor did not answer, starting alone")
            link.close()
        return received

    def begin_serving(self) -> None:
        """Notify the predecessor that this process accepts clients, and start to listen for a successor."""
        if self._link is not None:
            self._link.send(SuccessorReady())
            self._send_descriptor_count()
        self._listen()

    def _listen(self) -> None:
        if self._path is None or self._listener is not None:
            return
        try:
            self._listener = SuccessorListener(self._loop, self._path, self._on_successor)
        except OSError as error:
            # If this socket can't be opened, a later successor starts without the state of this process, and
            # this process migrates its clients when it shuts down.
            self._host.metrics.count("hot_restarts_failed")
            log.error("hot restart socket not opened", path=str(self._path), error=str(error))

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _on_successor(self, sock: socket.socket) -> None:
        host = self._host
        if self._link is not None or host.is_shutting_down or host.listening_socket is None:
            sock.close()
            return
        self._link = link = Link(self._loop, sock, self._on_message, self._on_link_closed)
        self._predecessor.offer(link)
        self._send_descriptor_count()

    def _on_message(self, link: Link, message: Message, descriptors: list[int]) -> None:
        match message:
            case Offer():
                self._successor.receive_offer(message, descriptors)
            case IdleSession() | EstablishedSession():
                accepted = self._successor.adopt(message, descriptors)
                link.send(SessionResult(message.serial, accepted))
            case QuicPort():
                self._host.adopt_quic_port(message.state, descriptors)
            case _:
                close_descriptors(descriptors)
                self._on_message_without_descriptors(link, message)

    def _on_message_without_descriptors(self, link: Link, message: Message) -> None:
        """Handle a message that was received without descriptors."""
        match message:
            case EndpointBatch():
                self._successor.receive_endpoints(message)
            case StateComplete():
                self._successor.complete_state()
            case SuccessorReady():
                self._predecessor.hand_over(link)
                self._stop_listening()
                self._predecessor.transfer_sessions(link)
            case SessionResult():
                self._predecessor.finish_session(message.serial, message.accepted)
            case AdminCommand():
                self._host.apply_admin_operation(message.operation, message.endpoint)
                link.send(AdminCommandDone(message.serial))
            case DescriptorCount():
                self._host.descriptors.held_by_other_process = message.count
            case StoreLease():
                self._host.inherit_store_lease(message.remaining_s, message.disabled_endpoints)

    def apply_everywhere(self, operation: str, endpoint: str, done: Callable[[], None]) -> None:
        """Apply an `AdminOperation` in the other process too, if there is one, and then call `done`."""
        if self._link is None:
            done()
        else:
            self._link.send_admin_command(operation, endpoint, done)

    def _send_descriptor_count(self) -> None:
        if self._link is None:
            return
        count = self._host.descriptors.owned_count()
        if count != self._sent_descriptor_count:
            self._sent_descriptor_count = count
            self._link.send(DescriptorCount(count))
        self._loop.call_later(DESCRIPTOR_COUNT_INTERVAL_S, self._send_descriptor_count)

    def _on_link_closed(self, link: Link) -> None:
        if link is not self._link:
            return
        self._link, self._sent_descriptor_count = None, _NO_COUNT_SENT
        was_handing_over = self.is_handing_over
        if not was_handing_over:
            self._host.forget_quic_predecessor()
        self._host.descriptors.held_by_other_process = 0
        self._successor.lose_predecessor()
        self._predecessor.lose_successor()
        if was_handing_over and not self._host.is_shutting_down:
            self._listen()

    def close(self) -> None:
        """Take back sessions in transfer, and close the link and the socket by which a successor connects."""
        self._stop_listening()
        if self._link is not None:
            self._link.close()
