"""The role of the serving process in a hot restart: it sends its state and then its sessions.

The process continues to run until SIGTERM: it answers its pending requests, migrates sessions that can't be
transferred, and serves again if the successor dies.
"""

from __future__ import annotations

from enum import Enum

import structlog

from gradegap.balancing.events import EndpointPhase
from gradegap.hot_restart.host import Host
from gradegap.hot_restart.link import Link
from gradegap.hot_restart.messages import (
    EndpointBatch,
    EndpointState,
    Offer,
    QuicPort,
    StateComplete,
    StoreLease,
)
from gradegap.hot_restart.session_transfer import SessionTransfer
from gradegap.proxy.endpoint import Endpoint

log = structlog.get_logger()

ENDPOINTS_PER_MESSAGE = 50
SESSION_SCAN_INTERVAL_S = 0.02  # time between two searches for sessions that can be transferred


class PredecessorState(Enum):
    """The progress of a successor."""

    NO_SUCCESSOR = "no successor"
    STATE_SENT = "state sent"  # the successor has all state that it needs to start
    HANDING_OVER = "handing over"  # the successor accepts clients, this process does not


class Predecessor:
    """The role of this process towards its successor.

    NO_SUCCESSOR -> STATE_SENT (`offer`) -> HANDING_OVER (`hand_over`) -> NO_SUCCESSOR (`lose_successor`);
    STATE_SENT -> NO_SUCCESSOR as well, if the successor dies before it is ready.
    """

    def __init__(self, host: Host) -> None:
        self._host = host
        self._transfer = SessionTransfer(host)
        self.state = PredecessorState.NO_SUCCESSOR

    def offer(self, link: Link) -> None:
        """Send a successor the state that it needs to start."""
        host = self._host
        listening_socket = host.listening_socket
        assert listening_socket is not None, "a successor connected before this process listens for clients"
        self.state = PredecessorState.STATE_SENT
        host.metrics.count("hot_restarts_begun")
        sealing_keys = host.resuming.export_keys() if host.resuming is not None else b""
        offer = Offer(dict(host.proxy.disabled), host.descriptors.owned_count(), sealing_keys)
        link.send(offer, listening_socket.fileno())
        states = [
            state
            for endpoint in host.proxy.endpoints.values()
            if (state := _endpoint_state(endpoint)) is not None
        ]
        for start in range(0, len(states), ENDPOINTS_PER_MESSAGE):
            link.send(EndpointBatch(states[start : start + ENDPOINTS_PER_MESSAGE]))
        link.send(StateComplete())

    def hand_over(self, link: Link) -> None:
        """Stop accepting, because the successor accepts clients; send it the store lease and QUIC port."""
        host = self._host
        log.info("successor accepts clients", sessions=len(host.channels))
        host.metrics.count("hot_restarts")
        self.state = PredecessorState.HANDING_OVER
        host.stop_accepting()
        remaining_s = host.leave_store()
        if remaining_s > 0:
            link.send(StoreLease(remaining_s, dict(host.proxy.disabled)))
        port = host.release_quic_port()
        if port is not None:
            link.send(QuicPort(port.state), *port.descriptors)

    def transfer_sessions(self, link: Link) -> None:
        """Transfer the sessions that can be transferred, and repeat this until the successor has ended."""
        if link.is_closed or self.state is not PredecessorState.HANDING_OVER:
            return
        self._transfer.send_sessions(link)
        self._host.loop.call_later(SESSION_SCAN_INTERVAL_S, self.transfer_sessions, link)

    def finish_session(self, serial: int, accepted: bool) -> None:
        """Handle the successor's answer for a session."""
        self._transfer.finish(serial, accepted)

    def lose_successor(self) -> None:
        """Handle the end of the successor, or of the connection to it.

        Guards against a successor that dies: sessions that it has not accepted stay in this process, which
        accepts clients again unless it is shutting down.
        """
        previous_state, self.state = self.state, PredecessorState.NO_SUCCESSOR
        self._transfer.take_back_all()
        if previous_state is PredecessorState.HANDING_OVER and not self._host.is_shutting_down:
            log.warning("successor lost, service resumed")
            self._host.metrics.count("hot_restarts_undone")
            self._host.resume_service()


def _endpoint_state(endpoint: Endpoint) -> EndpointState | None:
    entry = endpoint.entry
    if entry is None:
        return None
    drains = endpoint.phase is not EndpointPhase.READY
    return EndpointState(
        id=endpoint.id,
        address=endpoint.address,
        zone=entry.zone,
        cell=entry.cell,
        phase=int(entry.phase),
        weight=entry.weight,
        started_at=entry.started_at,
        drain_notified_at=endpoint.drain_notified_at if drains else None,
        report=dict(endpoint.report) if endpoint.report is not None else None,
        report_at=endpoint.report_at,
    )
