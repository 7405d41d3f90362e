"""A process's part in hot restarts: it follows the one that serves, and is followed by the next.

The process that serves listens on a Unix socket in the node's own folder. One that starts finds it there, and
is given the clients' listening socket, the endpoint list with load reports, and what operators disabled. Once
it accepts clients, the first stops doing so and passes on its sessions, each with both of its sockets.
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

STATE_TIMEOUT_S = 1.5  # for the predecessor to send all that a successor needs
DESCRIPTOR_COUNT_INTERVAL_S = 0.1  # between two messages on how many descriptors are held
_NOT_SENT = -1


class HotRestart:
    """Owns the link to the other process of this node, of which there is one at a time, and both roles."""

    def __init__(self, host: Host, path: Path | None) -> None:
        """`path` is where a successor finds this process; None: nobody does, and it follows nobody."""
        self._host = host
        self._path = path
        self._loop = host.loop
        self._link: Link | None = None
        self._listener: SuccessorListener | None = None
        self._sent_descriptor_count = _NOT_SENT
        self._predecessor = Predecessor(host)
        self._successor = Successor(host)
        host.metrics.gauge("successor", lambda: self.is_handing_over)

    @property
    def is_connected(self) -> bool:
        """Whether another process of this node is there."""
        return self._link is not None

    @property
    def is_handing_over(self) -> bool:
        """Whether a successor accepts clients, and gets this process's sessions."""
        return self._predecessor.state is PredecessorState.HANDING_OVER

    async def follow(self) -> bool:
        """Get the state of the process that serves; False where there is none, or it does not answer."""
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
        """This process accepts clients: notify the predecessor, and wait for a successor."""
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
            # Without it a successor starts alone, and this process shuts down as at any planned stop.
            self._host.metrics.count("hot_restarts_failed")
            log.error("successors can't find this process", error=str(error))

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _on_successor(self, sock: socket.socket) -> None:
        host = self._host
        if self._link is not None or host.is_leaving or host.listening_socket is None:
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
                self._on_plain_message(link, message)

    def _on_plain_message(self, link: Link, message: Message) -> None:
        """A message without descriptors."""
        match message:
            case EndpointBatch():
                self._successor.receive_endpoints(message)
            case StateComplete():
                self._successor.complete_state()
            case SuccessorReady():
                self._predecessor.hand_over(link)
                self._stop_listening()
                self._predecessor.pass_sessions(link)
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
        """Have an `AdminOperation` take effect in the other process too, where there is one; then `done`."""
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
        self._link, self._sent_descriptor_count = None, _NOT_SENT
        was_handing_over = self.is_handing_over
        if not was_handing_over:
            self._host.keep_quic_port()
        self._host.descriptors.held_by_other_process = 0
        self._successor.lose_predecessor()
        self._predecessor.lose_successor()
        if was_handing_over and not self._host.is_leaving:
            self._listen()

    def close(self) -> None:
        """End: sessions on their way come back, and nobody follows this process any more."""
        self._stop_listening()
        if self._link is not None:
            self._link.close()
