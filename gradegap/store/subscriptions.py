"""What a member expects of a server of subscriptions, which whoever assembles the process gives it.

The server itself is `gradegap.observer.server.PublisherServer`. The store imports nothing of
`gradegap.observer`, so a member that serves no subscriptions runs without it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from gradegap.metrics import Metrics
from gradegap.store import wire
from gradegap.store.in_force import MachineReport
from gradegap.store.machine import StateMachine
from gradegap.store.pending import ResponseCallback
from gradegap.store.settings import StoreSettings
from gradegap.store.storage import Identity


class RequestHandler(Protocol):
    """Answers requests to the store."""

    def request(
        self,
        body: wire.RequestBody,
        respond: ResponseCallback,
        timeout_s: float = 5.0,
        from_member: bool = False,
    ) -> None:
        """`respond` with one response, at the latest after `timeout_s`."""


class SubscriptionHost(Protocol):
    """The member as a server of subscriptions sees it."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    settings: StoreSettings
    machine: StateMachine

    @property
    def identity(self) -> Identity:
        """Who the member is, and its cluster once it has one."""

    @property
    def requests(self) -> RequestHandler:
        """Who answers what subscribers request of the store."""

    def report_applied(self) -> None:
        """Report a `SubscriptionServer.safe_index` that has risen to the leader."""


class SubscriptionServer(Protocol):
    """Serves subscriptions of nodes on behalf of one member."""

    async def start(self) -> None:
        """Listen; `OSError` where the address can't be had."""

    def stop(self) -> None:
        """Serve no more."""

    def committed(self) -> None:
        """The member has applied more of the log."""

    def lease(self, until: float) -> None:
        """The member's own lease is good until `until` (steady time, s)."""

    def safe_index(self) -> int:
        """The index that the member and every node that still decides by it have applied."""

    def report(self, revision: int) -> MachineReport:
        """Which subscribed nodes lack a revision."""


SubscriptionServerFactory = Callable[[SubscriptionHost, bytes], SubscriptionServer]
"""Makes the server of a member's subscriptions; the bytes are the cluster's secret."""
