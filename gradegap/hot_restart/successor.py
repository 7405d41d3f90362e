"""The process that takes the place of one that serves: it gets that one's state before it accepts clients."""

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
    """How far this process has come in following another."""

    ALONE = "alone"
    RECEIVING_STATE = "receiving state"
    FOLLOWING = "following"  # it has the state, and is sent sessions once it accepts clients


class Successor:
    """This process's part as the one that follows.

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
        """Wait for a predecessor's state: whether it came, before that process ended."""
        self.state = SuccessorState.RECEIVING_STATE
        self._state_received = self._host.loop.create_future()
        return self._state_received

    def receive_offer(self, offer: Offer, descriptors: list[int]) -> None:
        """The predecessor's listening socket, and what it holds; owns the descriptors."""
        if self.state is not SuccessorState.RECEIVING_STATE or len(descriptors) != 1:
            close_descriptors(descriptors)
            return
        self._disabled_endpoints = offer.disabled_endpoints
        self._host.descriptors.held_by_other_process = offer.descriptor_count
        if self._host.resuming is not None:
            self._host.resuming.import_keys(offer.sealing_keys)
        self._host.listening_socket = socket.socket(fileno=descriptors[0])

    def receive_endpoints(self, batch: EndpointBatch) -> None:
        """A part of the predecessor's endpoint list."""
        self._endpoints += batch.endpoints

    def complete_state(self) -> None:
        """The state is complete: it is in force from here on."""
        _restore_endpoints(self._host.proxy, self._endpoints, self._disabled_endpoints)
        self._endpoints = []
        if self._state_received is not None and not self._state_received.done():
            self.state = SuccessorState.FOLLOWING
            self._state_received.set_result(True)

    def adopt(self, message: IdleSession | EstablishedSession, descriptors: list[int]) -> bool:
        """Whether a session goes on here; owns the descriptors."""
        try:
            adopt_session(self._host, message, descriptors)
        except SessionNotAdoptedError:
            return False
        return True

    def lose_predecessor(self) -> None:
        """The predecessor has ended, or was given up."""
        self.state = SuccessorState.ALONE
        if self._state_received is not None and not self._state_received.done():
            self._state_received.set_result(False)


def _restore_endpoints(proxy: Proxy, endpoints: list[EndpointState], disabled: dict[str, float]) -> None:
    """The endpoint list as the predecessor knew it, and each load report with its age, the oldest first."""
    entries = []
    for each in endpoints:
        phase = EndpointPhase(each.phase)
        entry = EndpointEntry(each.id, each.zone, each.cell, phase, each.weight, each.started_at)
        entries.append((entry, each.address))
    proxy.update_endpoints(EndpointListKind.CACHED, entries)
    proxy.restore_drain_times(
        {each.id: each.drain_notified_at for each in endpoints if each.drain_notified_at is not None}
    )
    for endpoint, disabled_at in disabled.items():
        proxy.disable_endpoint(endpoint, disabled_at)
    reports = sorted((each.report_at, each.id, each.report) for each in endpoints if each.report is not None)
    for reported_at, endpoint, report in reports:
        proxy.record_report(reported_at, endpoint, report)
