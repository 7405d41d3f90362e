"""The role of a starting process in a hot restart: it receives the serving process's state and sessions."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

from gradegap.balancing.events import EndpointEntry, EndpointListKind, EndpointPhase
from gradegap.hot_restart.errors import SessionNotAdoptedError
from gradegap.hot_restart.host import Host
from gradegap.hot_restart.link import close_descriptors
from gradegap.hot_restart.messages import EndpointBatch, EndpointState, EstablishedSession, IdleSession, Offer
from gradegap.hot_restart.session_adoption import adopt_session
from gradegap.proxy.proxy import Proxy


class SuccessorState(Enum):
    """The progress of this process in following a predecessor."""

    ALONE = "alone"
    RECEIVING_STATE = "receiving state"
    FOLLOWING = "following"  # state received; sessions follow once this process accepts clients


class Successor:
    """The role of this process while it follows a predecessor.

    ALONE -> RECEIVING_STATE (`begin`) -> FOLLOWING (`complete_state`), and back to ALONE from each
    (`lose_predecessor`).
    """

    def __init__(self, host: Host) -> None:
        self._host = host
        self._state_received: asyncio.Future[bool] | None = None
        self._disabled_endpoints: dict[str, float] = {}
        self._endpoints: list[EndpointState] = []
        self.state = SuccessorState.ALONE

    def begin(self) -> asyncio.Future[bool]:
        """Expect a predecessor's state.

        The future's result is False if the predecessor ends before it has sent all of its state.
        """
        self.state = SuccessorState.RECEIVING_STATE
        self._state_received = self._host.loop.create_future()
        return self._state_received

    def receive_offer(self, offer: Offer, descriptors: list[int]) -> None:
        """Store the predecessor's listening socket and the state in its offer; owns the descriptors."""
        if self.state is not SuccessorState.RECEIVING_STATE or len(descriptors) != 1:
            close_descriptors(descriptors)
            return
        self._disabled_endpoints = offer.disabled_endpoints
        self._host.descriptors.held_by_other_process = offer.descriptor_count
        if self._host.resuming is not None:
            self._host.resuming.import_keys(offer.sealing_keys)
        self._host.listening_socket = socket.socket(fileno=descriptors[0])

    def receive_endpoints(self, batch: EndpointBatch) -> None:
        """Store some endpoints of the predecessor's endpoint list until the list is complete."""
        self._endpoints += batch.endpoints

    def complete_state(self) -> None:
        """Put the received state in force, because it is complete."""
        _restore_endpoints(self._host.proxy, self._endpoints, self._disabled_endpoints)
        self._endpoints = []
        if self._state_received is not None and not self._state_received.done():
            self.state = SuccessorState.FOLLOWING
            self._state_received.set_result(True)

    def adopt(self, message: IdleSession | EstablishedSession, descriptors: list[int]) -> bool:
        """Continue a session in this process if possible, and return whether it was; owns the descriptors."""
        try:
            adopt_session(self._host, message, descriptors)
        except SessionNotAdoptedError:
            return False
        return True

    def lose_predecessor(self) -> None:
        """Handle the end of the predecessor or of the connection to it."""
        self.state = SuccessorState.ALONE
        if self._state_received is not None and not self._state_received.done():
            self._state_received.set_result(False)


def _restore_endpoints(proxy: Proxy, endpoints: list[EndpointState], disabled: dict[str, float]) -> None:
    """Restore the predecessor's endpoint list, and its load reports with their times, the oldest first."""
    entries = []
    for state in endpoints:
        phase = EndpointPhase(state.phase)
        entry = EndpointEntry(state.id, state.zone, state.cell, phase, state.weight, state.started_at)
        entries.append((entry, state.address))
    proxy.update_endpoints(EndpointListKind.CACHED, entries)
    proxy.restore_drain_times(
        {state.id: state.drain_notified_at for state in endpoints if state.drain_notified_at is not None}
    )
    for endpoint, disabled_at in disabled.items():
        proxy.disable_endpoint(endpoint, disabled_at)
    reports = sorted(
        (state.report_at, state.id, state.report) for state in endpoints if state.report is not None
    )
    for reported_at, endpoint, report in reports:
        proxy.record_report(reported_at, endpoint, report)
