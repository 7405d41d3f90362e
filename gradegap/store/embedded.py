"""A member of the store in a node's own process.

The node takes administratively disabled endpoints and its dynamic configuration from committed keys, and may
decide only while it has a lease. Without one it rejects new requests at once, with a time after which to
retry, and answers `PING` as not ready; established sessions stay. With `when_stale = "serve"` it keeps
serving, which is counted and logged.
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
    """Connects a node's member of the store to its proxy and its dynamic configuration."""

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
        """Create the member and connect it, without starting it.

        `state` returns the state that the node reports to other nodes, `has_endpoint_list` whether discovery
        has provided an endpoint list.

        Raises:
            FolderError: The data folder can't be used.
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
        self.member.leases.is_needed = True
        self.member.leases.changed = self._lease_changed
        self.member.gossip_received = self._gossip_received
        self.member.peer_linked = self._peer_linked
        self.member.machine.listeners.append(self._apply_events)
        self.gossip = GossipExchange(settings.name, proxy, metrics, has_endpoint_list)
        self._was_fresh: bool | None = None
        self._is_synchronized = False  # set once the store's keys were applied, at the first lease
        self._gossip_timer: asyncio.TimerHandle | None = None
        metrics.gauge("store_fresh", lambda: int(self.is_fresh()))

    @property
    def machine(self) -> StateMachine:
        """The replicated state, as applied at this member."""
        return self.member.machine

    @property
    def service(self) -> RequestService:
        """The service that answers requests to the store."""
        return self.member.requests

    @property
    def cluster(self) -> str:
        """The cluster's name; empty before a cluster is formed."""
        return self.member.identity.cluster

    async def start(self) -> None:
        """Start the member and gossip.

        Raises:
            OSError: An address can't be bound.
        """
        await self.member.start()
        self._send_gossip()
        self._lease_changed()

    # Lease

    def is_fresh(self) -> bool:
        """Whether the lease is valid, so that decisions are based on up-to-date committed state."""
        return self.member.is_fresh()

    def _lease_changed(self) -> None:
        is_fresh = self.is_fresh()
        if is_fresh and not self._is_synchronized:
            self._is_synchronized = True
            self._apply_state()
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            report_lease_change(self.metrics, is_fresh, self.settings.when_stale)

    def _member_failed(self, error: FolderError) -> None:
        # The lease will expire, and the node then rejects new requests. Established sessions stay.
        log.error("store failed, node continues without it", error=str(error))

    # Committed state

    def _apply_state(self) -> None:
        """Apply the store's keys to this node at the first lease, replacing state of an earlier process."""
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

    # Operator requests

    def disable_endpoint(self, server: str, done: ResultCallback) -> None:
        """Disable an endpoint; succeeds once committed and in force at every node with a lease."""
        self.operations.disable(server, done)

    def enable_endpoint(self, server: str, done: ResultCallback) -> None:
        """Enable an endpoint; succeeds once committed and in force at every node with a lease."""
        self.operations.enable(server, done)

    # Gossip

    def _send_gossip(self) -> None:
        if not self.member.closed:
            self.member.links.send_to_all(self.gossip.message(self.state()))
            self._gossip_timer = self.loop.call_later(GOSSIP_PERIOD_S, self._send_gossip)

    def _peer_linked(self, link: Link) -> None:
        """Send a message at once to a newly connected member, which may just have started to serve."""
        link.send(self.gossip.message(self.state()))

    def _gossip_received(self, gossip: wire.Gossip) -> None:
        self.gossip.receive(gossip)
        self.service.node_reported(gossip.node, gossip.state)

    # Stop

    def leave(self) -> float:
        """Prepare to release folder and port to the successor process; returns the rest of the lease (s).

        The member stops reporting its applied index, so writes that it hasn't reported as applied are
        acknowledged only after its lease has expired.
        """
        left_s = max(0.0, self.member.leases.holder.until - time.monotonic())
        self.member.transfer_leadership()
        self.member.leases.is_needed = False
        return left_s

    def close(self) -> None:
        """Stop gossip and close the member."""
        if self._gossip_timer is not None:
            self._gossip_timer.cancel()
        self.member.close()
