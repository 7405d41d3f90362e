"""The interface of a member that its request handlers use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Protocol

from gradegap.metrics import Metrics
from gradegap.raft import Member, Raft
from gradegap.store import wire
from gradegap.store.in_force import MachineReport
from gradegap.store.leases import LeaseGranter, LeaseHolder
from gradegap.store.machine import StateMachine
from gradegap.store.records import Command
from gradegap.store.settings import StoreSettings
from gradegap.store.storage import Identity


class RequestHost(Protocol):
    """The interface of the member, as its request handlers use it."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    settings: StoreSettings
    identity: Identity
    machine: StateMachine
    raft: Raft | None
    thread: ThreadPoolExecutor

    @property
    def removed(self) -> bool:
        """Whether the member has left the cluster for good: it was removed, or its folder failed."""

    @property
    def granter(self) -> LeaseGranter | None:
        """The leases that this member has granted; None while it doesn't lead."""

    @property
    def holder(self) -> LeaseHolder:
        """This member's own lease."""

    def log_clock(self) -> int:
        """The log time in ms at the leader."""

    def propose(self, body: Command) -> int:
        """Proposes an entry and returns its log index.

        Raises:
            RequestRejectedError: if the entry can't be proposed now.
        """

    def settle(self) -> None:
        """Processes the output that the consensus core has ready."""

    def flush(self) -> None:
        """Makes the core send the proposed entries, then calls `settle`."""

    def report(self, revision: int) -> MachineReport:
        """Returns which of the nodes subscribed to this member have not acknowledged a revision."""

    def send_to_member(self, member: Member, request: wire.Request) -> bool:
        """Sends a request to this member, leader or not, and returns whether it was sent."""

    def send_to_leader(self, message: wire.LinkMessage) -> bool:
        """Sends a message to the leader, and returns whether it was sent."""

    def run_in_thread(self, work: Future[Any], done: Callable[[Any], None]) -> None:
        """Calls `done` on the event loop with the result of `work`, which runs in `thread`."""
