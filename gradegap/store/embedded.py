"""The store in a node's own process: what the node decides by, and whether it may decide.

Administratively disabled endpoints and configuration come from committed keys. A node without a lease rejects
new requests at once, with a time to come again, and says no to `PING`; what is established stays. With
`when_stale = "serve"` it continues, which is counted and logged.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import structlog

from gradegap.admin.operations import ResultCallback
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.store import wire
from gradegap.store.committed_state import (
    CONFIGURATION_PREFIX,
    DISABLED_PREFIX,
    CommittedState,
)
from gradegap.store.dynamic_configuration import DynamicConfiguration
from gradegap.store.endpoint_operations import EndpointOperations, report_lease_change
from gradegap.store.errors import FolderError
from gradegap.store.gossip import GOSSIP_PERIOD_S, GossipExchange
from gradegap.store.links import Link
from gradegap.store.machine import StateMachine
from gradegap.store.member import StoreMember
from gradegap.store.records import Event
from gradegap.store.service import RequestService
from gradegap.store.settings import StoreSettings
from gradegap.store.subscriptions import SubscriptionServerFactory

log = structlog.get_logger()


class EmbeddedStore:
    """One node's member of the store, joined to its proxy and its dynamic configuration."""

    def __init__(
        self,
        settings: StoreSettings,
        secret: bytes,
        folder: Path,
        proxy: Proxy,
        dynamic_configuration: DynamicConfiguration,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
        state: Callable[[], dict[str, object]],
        has_endpoint_list: Callable[[], bool],
        make_subscription_server: SubscriptionServerFactory | None = None,
    ) -> None:
        """`state` is what siblings get to know of the node; `has_endpoint_list`: discovery gave one.

        Raises:
            FolderError: where the folder can't be started with.
        """
        self.settings, self.proxy, self.metrics, self.loop = settings, proxy, metrics, loop
        self.dynamic_configuration = dynamic_configuration
        self.state = state
        self.committed = CommittedState(proxy, dynamic_configuration)
        self.member = StoreMember(
            settings,
            secret,
            folder,
            loop,
            metrics,
            self._member_failed,
            make_subscription_server=make_subscription_server,
        )
        self.operations = EndpointOperations(self.committed, settings.name, self.service.request)
        self.member.leases.wanted = True
        self.member.leases.changed = self._follow_lease
        self.member.gossip_received = self._gossip_received
        self.member.peer_linked = self._peer_linked
        self.member.machine.listeners.append(self._apply_events)
        self.gossip = GossipExchange(settings.name, proxy, metrics, has_endpoint_list)
        self._was_fresh: bool | None = None
        self._is_synchronized = False  # once the first lease has put the store's keys in force
        self._gossip_timer: asyncio.TimerHandle | None = None
        metrics.gauge("store_fresh", lambda: int(self.fresh()))

    @property
    def machine(self) -> StateMachine:
        """The replicated state as it is applied here."""
        return self.member.machine

    @property
    def service(self) -> RequestService:
        """Who answers requests to the store."""
        return self.member.requests

    @property
    def cluster(self) -> str:
        """The cluster's name; empty before there is one."""
        return self.member.identity.cluster

    async def start(self) -> None:
        """Take part; `OSError` where the address can't be had."""
        await self.member.start()
        self._send_gossip()
        self._follow_lease()

    # May it decide?

    def fresh(self) -> bool:
        """Whether a decision made now is by committed state."""
        return self.member.is_fresh()

    def _follow_lease(self) -> None:
        fresh = self.fresh()
        if fresh and not self._is_synchronized:
            self._is_synchronized = True
            self._apply_state()
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            report_lease_change(self.metrics, fresh, self.settings.when_stale)

    def _member_failed(self, error: FolderError) -> None:
        # The lease runs out, and the node rejects requests; its clients stay.
        log.error("store failed, node continues without it", error=str(error))

    # What it decides by

    def _apply_state(self) -> None:
        """At the first lease the store is what is in force, whatever an earlier process kept."""
        disabled = {
            item.key.removeprefix(DISABLED_PREFIX): item.value for item in self.machine.list(DISABLED_PREFIX)
        }
        for endpoint_id, value in disabled.items():
            self.committed.apply(DISABLED_PREFIX + endpoint_id, value, deleted=False)
        for endpoint_id in list(self.proxy.disabled.keys() - disabled.keys()):
            self.proxy.enable_endpoint(endpoint_id)
        for item in self.machine.list(CONFIGURATION_PREFIX):
            self.dynamic_configuration.apply(item.key.removeprefix(CONFIGURATION_PREFIX), item.value)

    def _apply_events(self, events: list[Event]) -> None:
        for event in events:
            self.committed.apply(event.key, event.value, event.deleted)

    # Operators' calls

    def disable_endpoint(self, server: str, done: ResultCallback) -> None:
        """Yes, once it is committed and every node with a lease decides by it."""
        self.operations.disable(server, done)

    def enable_endpoint(self, server: str, done: ResultCallback) -> None:
        """Yes, once it is committed and every node with a lease decides by it."""
        self.operations.enable(server, done)

    # Gossip

    def _send_gossip(self) -> None:
        if not self.member.closed:
            self.member.links.send_to_all(self.gossip.message(self.state()))
            self._gossip_timer = self.loop.call_later(GOSSIP_PERIOD_S, self._send_gossip)

    def _peer_linked(self, link: Link) -> None:
        """A sibling that has just started gets a message at once: it is about to serve."""
        link.send(self.gossip.message(self.state()))

    def _gossip_received(self, gossip: wire.Gossip) -> None:
        self.gossip.receive(gossip)
        self.service.node_reported(gossip.node, gossip.state)

    # The end

    def leave(self) -> float:
        """Give the folder and the port up, for the next process; s of the lease that are left.

        This node's applied index is not reported any more, so no write is acknowledged that it does not know.
        """
        left_s = max(0.0, self.member.leases.holder.until - time.monotonic())
        self.member.transfer_leadership()
        self.member.leases.wanted = False
        return left_s

    def close(self) -> None:
        """End this process's part in the store."""
        if self._gossip_timer is not None:
            self._gossip_timer.cancel()
        self.member.close()
