"""The interface between a member and the subscription server that is passed to it.

The implementation is `gradegap.observer.server.PublisherServer`. The store doesn't import
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
        """Call `respond` with one response within `timeout_s`."""


class SubscriptionHost(Protocol):
    """The member, as the subscription server uses it."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    settings: StoreSettings
    machine: StateMachine

    @property
    def identity(self) -> Identity:
        """The member's id, and the id of its cluster once it belongs to one."""

    @property
    def requests(self) -> RequestHandler:
        """The handler for subscribers' requests to the store."""

    def report_applied(self) -> None:
        """Report an increased `SubscriptionServer.safe_index` to the leader."""


class SubscriptionServer(Protocol):
    """Serves subscriptions of nodes on behalf of one member."""

    async def start(self) -> None:
        """Listen for subscriptions.

        Raises:
            OSError: The address can't be bound.
        """

    def stop(self) -> None:
        """Stop serving subscriptions."""

    def committed(self) -> None:
        """Handle newly applied entries of the log."""

    def lease(self, until: float) -> None:
        """Handle an extension of the member's own lease to `until` (steady time, s)."""

    def safe_index(self) -> int:
        """Returns the log index applied by the member and by every node that may decide under its lease."""

    def report(self, revision: int) -> MachineReport:
        """Returns which subscribed nodes lack a revision."""


SubscriptionServerFactory = Callable[[SubscriptionHost, bytes], SubscriptionServer]
"""Creates a member's subscription server; the second argument is the cluster's secret."""
