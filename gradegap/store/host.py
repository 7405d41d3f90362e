"""The member as its parts see it."""

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
    """The member whose requests are answered."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    settings: StoreSettings
    identity: Identity
    machine: StateMachine
    raft: Raft | None
    thread: ThreadPoolExecutor

    @property
    def removed(self) -> bool:
        """Whether the member takes no part any more: it was removed, or its folder failed."""

    @property
    def granter(self) -> LeaseGranter | None:
        """The leases that this member granted, while it leads."""

    @property
    def holder(self) -> LeaseHolder:
        """This member's own lease."""

    def log_clock(self) -> int:
        """The log time (ms) as the leader has it."""

    def propose(self, body: Command) -> int:
        """The index of a proposed entry; `RequestRejectedError` where it can't be."""

    def settle(self) -> None:
        """Carry out what the consensus core has ready."""

    def flush(self) -> None:
        """Have the core send what was proposed, then `settle`."""

    def report(self, revision: int) -> MachineReport:
        """Which nodes that subscribe here lack a revision."""

    def send_to_member(self, member: Member, request: wire.Request) -> bool:
        """Whether the request was sent to this member, whoever leads."""

    def send_to_leader(self, message: wire.LinkMessage) -> bool:
        """Whether the message was sent to the leader."""

    def run_in_thread(self, work: Future[Any], done: Callable[[Any], None]) -> None:
        """`done` on the loop with the result of work in `thread`."""
