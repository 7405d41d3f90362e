"""A node that decides by committed configuration and is no member: its subscription joined to its proxy.

Disabled endpoints and configuration come from the subscription. Without a lease the node rejects new requests
at once, with a time to retry; established connections stay. With `when_stale = "serve"` it goes on by the
last revision that it has, which is counted and logged.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import structlog

from gradegap.admin.operations import AdminResult, ResultCallback
from gradegap.metrics import Metrics
from gradegap.observer.client import ObserverClient
from gradegap.observer.messages import Change
from gradegap.proxy.proxy import Proxy
from gradegap.store import wire
from gradegap.store.committed_state import (
    ADMIN_CALL_TIMEOUT_S,
    CONFIGURATION_PREFIX,
    DISABLED_PREFIX,
    CommittedState,
)
from gradegap.store.dynamic_configuration import DynamicConfiguration
from gradegap.store.endpoint_operations import EndpointOperations, report_lease_change
from gradegap.store.records import Item
from gradegap.store.subscription_settings import ObserverSettings

log = structlog.get_logger()

REMEDY = (
    "this node is cut off from the store: use the console of a node that is ready, or see that control "
    "machines are up and reachable from here"
)


class Replica:
    """The subscribed keys as of the last applied revision; read as `store.machine.StateMachine` is."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}

    def get(self, key: str) -> Item | None:
        """One key."""
        return self.items.get(key)

    def list(self, prefix: str = "") -> list[Item]:
        """The keys that begin so, in order."""
        return [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]

    def apply(self, change: Change) -> None:
        """Apply one change."""
        if change.deleted:
            self.items.pop(change.key, None)
        else:
            self.items[change.key] = Item(change.key, change.value, change.revision, change.revision)


class ObservedStore:
    """One node's subscription, with the surface of `gradegap.store.embedded.EmbeddedStore`."""

    def __init__(
        self,
        settings: ObserverSettings,
        proxy: Proxy,
        live: DynamicConfiguration,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """`settings.name` is set. `OperatorFileError` where the secret can't be read."""
        self.settings, self.proxy, self.live, self.metrics = settings, proxy, live, metrics
        self.committed = CommittedState(proxy, live)
        self.machine = Replica()
        self.client = ObserverClient(settings, loop, metrics, self._apply, self._lease_changed)
        self.service = self.client.requests
        self.operations = EndpointOperations(
            self.committed, settings.name, self.client.request, self._describe_remedy
        )
        self.synced = False
        metrics.gauge("store_fresh", lambda: int(self.is_fresh()))
        metrics.gauge("observer_revision", lambda: self.client.revision)
        metrics.gauge("observer_age_ms", self._age_ms)
        metrics.gauge("observer_machine", lambda: self.client.machine or "none")
        metrics.gauge("observer_bytes_sent", lambda: self.client.traffic.bytes_sent)
        metrics.gauge("observer_bytes_received", lambda: self.client.traffic.bytes_received)

    def _age_ms(self) -> int:
        """How old this node's knowledge is; -1: it has none."""
        return round(self.client.age * 1000) if self.client.revision else -1

    async def start(self) -> None:
        """Begin to subscribe. It fails for nothing but settings: a machine that is away is tried again."""
        self.client.start()
        log.info("subscription started", machines=[machine.name for machine in self.settings.machines])

    @property
    def cluster(self) -> str:
        """The cluster's name, once it is known."""
        return self.client.cluster

    # The lease

    def is_fresh(self) -> bool:
        """Whether a decision made now is by committed state."""
        return self.client.is_fresh()

    def _lease_changed(self, fresh: bool) -> None:
        if fresh and not self.synced:
            self._delete_all_but(set(self.machine.items))  # a store without keys has nothing to send
        fields: dict[str, object] = {"revision": self.client.revision, "age_ms": self._age_ms()}
        if fresh:
            fields["machine"] = self.client.machine
        report_lease_change(self.metrics, fresh, self.settings.when_stale, **fields)

    # Committed state

    def _apply(self, revision: int, changes: tuple[Change, ...], is_snapshot: bool) -> None:
        """Deltas change what they name; a snapshot also ends what it does not name."""
        if is_snapshot:
            self._delete_all_but({change.key for change in changes})
        for change in changes:
            self._apply_change(change)
        self.metrics.count("observer_snapshots" if is_snapshot else "observer_deltas")

    def _delete_all_but(self, kept: set[str]) -> None:
        if not self.synced:
            # What was in force before this subscription ends, unless the store has it.
            self.synced = True
            for server in list(self.proxy.disabled):
                if DISABLED_PREFIX + server not in kept:
                    self.proxy.enable_endpoint(server)
            for name in list(self.live.values):
                if CONFIGURATION_PREFIX + name not in kept:
                    self.live.reset(name)
        for key in self.machine.items.keys() - kept:
            self._apply_change(Change(0, key, deleted=True))

    def _apply_change(self, change: Change) -> None:
        self.machine.apply(change)
        self.committed.apply(change.key, change.value, change.deleted)

    # The operators' calls of the admin API

    def disable_endpoint(self, server: str, done: ResultCallback) -> None:
        """Yes, once it is committed and no node decides without it."""
        self.operations.disable(server, done)

    def enable_endpoint(self, server: str, done: ResultCallback) -> None:
        """Yes, once it is committed and in force at every node that decides."""
        self.operations.enable(server, done)

    def _describe_remedy(self) -> str:
        return "" if self.is_fresh() else f"; {REMEDY}"

    def describe(self) -> AdminResult:
        """Which revision is in force here, how old that is, and who serves it, for the admin API."""
        client = self.client
        if not client.revision:
            text = f"nothing is known of the store yet; {REMEDY}"
        else:
            by = f"from {client.machine}" if client.machine else "no machine serves it"
            text = f"revision {client.revision}, confirmed {client.age:.1f} s ago, {by}"
        status = HTTPStatus.OK if self.is_fresh() else HTTPStatus.SERVICE_UNAVAILABLE
        return AdminResult(status, text)

    def report_in_force(self, done: ResultCallback) -> None:
        """Yes, once all nodes have the revision that this one has; else who is missing."""
        revision = self.client.revision

        def answered(answer: wire.Response) -> None:
            if answer.outcome == "ok":
                done(AdminResult(HTTPStatus.OK, f"revision {revision} is {answer.text}"))
            else:
                done(AdminResult(HTTPStatus.SERVICE_UNAVAILABLE, f"revision {revision}: {answer.text}"))

        self.client.request(wire.InForce(revision), answered, ADMIN_CALL_TIMEOUT_S)

    # Shutdown

    def leave(self) -> float:
        """Another process of this node serves on: the seconds for which the lease still holds.

        It is not given up, as that process decides by what is left of it. Nothing more is acknowledged here,
        so no write passes that process by.
        """
        left = self.client.lease_remaining_s
        self.client.abandon()
        return left

    def close(self) -> None:
        """The node stops: its lease is given up."""
        self.client.leave()
