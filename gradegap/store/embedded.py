"""The store in a node's own process: what the node decides by, and whether it may decide.

Servers out by hand and configuration come from committed keys. A node without a lease refuses new reqs at
once, with a time to come again, and says no to `PING`; what stands stays. With `when_stale = "serve"` it goes
on, which is counted and logged.
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
    """One node's store. `changed` is called when it may decide again, or no more."""

    def __init__(
        self,
        settings: StoreSettings,
        secret: bytes,
        folder: Path,
        proxy: Proxy,
        live: DynamicConfiguration,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
        state: Callable[[], dict[str, object]],
        told: Callable[[], bool],
        make_subscription_server: SubscriptionServerFactory | None = None,
    ) -> None:
        self.settings, self.proxy, self.live, self.metrics, self.loop = settings, proxy, live, metrics, loop
        self.state = state
        self.committed = CommittedState(proxy, live)
        self.daemon = StoreMember(
            settings,
            secret,
            folder,
            loop,
            metrics,
            self._failed,
            make_subscription_server=make_subscription_server,
        )
        self.operations = EndpointOperations(self.committed, settings.name, self.daemon.service.request)
        self.daemon.want_lease = True
        self.daemon.lease_changed = self._look
        self.daemon.gossiped = self._gossiped
        self.daemon.met = self._met
        self.daemon.machine.listeners.append(self._events)
        self.learner = GossipExchange(settings.name, proxy, metrics, told)
        self.was_fresh: bool | None = None
        self.synced = False
        self.timer: asyncio.TimerHandle | None = None
        metrics.gauge("store_fresh", lambda: int(self.fresh()))

    @property
    def machine(self) -> StateMachine:
        return self.daemon.machine

    @property
    def service(self) -> RequestService:
        return self.daemon.service

    @property
    def cluster(self) -> str:
        return self.daemon.identity.cluster

    async def start(self) -> None:
        await self.daemon.start()
        self._gossip()
        self._look()

    # May it decide?

    def fresh(self) -> bool:
        """Whether a decision made now is by committed state."""
        return self.daemon.fresh()

    def _look(self) -> None:
        fresh = self.fresh()
        if fresh and not self.synced:
            self.synced = True
            self._take_over_all()
        if fresh != self.was_fresh:
            self.was_fresh = fresh
            report_lease_change(self.metrics, fresh, self.settings.when_stale)

    def _failed(self, error: FolderError) -> None:
        # The lease runs out, and the node refuses; its clients stay.
        log.error("the node goes on without its store", error=str(error))

    # What it decides by

    def _take_over_all(self) -> None:
        """At the first lease the store is what holds, whatever an earlier life kept."""
        machine = self.daemon.machine
        held = {i.key.removeprefix(DISABLED_PREFIX): i.value for i in machine.list(DISABLED_PREFIX)}
        for server, value in held.items():
            self.committed.apply(DISABLED_PREFIX + server, value, deleted=False)
        for server in list(self.proxy.disabled.keys() - held.keys()):
            self.proxy.enable_endpoint(server)
        for item in machine.list(CONFIGURATION_PREFIX):
            self.live.apply(item.key.removeprefix(CONFIGURATION_PREFIX), item.value)

    def _events(self, events: list[Event]) -> None:
        for e in events:
            self.committed.apply(e.key, e.value, e.deleted)

    # What operators ask of the node

    def disable_endpoint(self, server: str, done: ResultCallback) -> None:
        """Yes, once it is committed and every node with a lease obeys it."""
        self.operations.disable(server, done)

    def enable_endpoint(self, server: str, done: ResultCallback) -> None:
        """Yes, once it is committed and every node with a lease obeys it."""
        self.operations.enable(server, done)

    # What nodes tell each other

    def _gossip(self) -> None:
        if not self.daemon.closed:
            self.daemon.to_all(self.learner.tell(self.state()))
            self.timer = self.loop.call_later(GOSSIP_PERIOD_S, self._gossip)

    def _met(self, link: Link) -> None:
        """A sibling that starts anew is told at once: it is about to serve."""
        link.send(self.learner.tell(self.state()))

    def _gossiped(self, gossip: wire.Gossip) -> None:
        self.learner.hear(gossip)
        self.daemon.service.nodes[gossip.node] = (time.monotonic(), gossip.state)

    # The end

    def leave(self) -> float:
        """Give the folder and the port up, for the next process; s of the lease that are left. Nothing
        more is said of what this node has applied, so no write is acknowledged that it does not know."""
        left = max(0.0, self.daemon.holder.until - time.monotonic())
        self.daemon.hand_over()
        self.daemon.want_lease = False
        return left

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.daemon.close()
