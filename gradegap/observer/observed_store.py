"""Connects a node's subscription to its proxy, for a node that is not a member of the store.

Disabled endpoints and configuration come from the subscription. Without a lease the node rejects new requests
at once, with a retry time; established connections stay. With `when_stale = "serve"` the node continues to
decide by the last revision that it has applied, which is counted and logged.
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
    "this node is cut off from the store: use the console of a node that is ready, or check that control "
    "machines are running and reachable from this node"
)


class Replica:
    """The subscribed keys at the last applied revision, read like a `store.machine.StateMachine`."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}

    def get(self, key: str) -> Item | None:
        """Returns the item of one key, or None."""
        return self.items.get(key)

    def list(self, prefix: str = "") -> list[Item]:
        """Returns the items whose keys begin with `prefix`, sorted by key."""
        return [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]

    def apply(self, change: Change) -> None:
        """Apply one change."""
        if change.deleted:
            self.items.pop(change.key, None)
        else:
            self.items[change.key] = Item(change.key, change.value, change.revision, change.revision)


class ObservedStore:
    """One node's subscription, with the interface of `gradegap.store.embedded.EmbeddedStore`."""

    def __init__(
        self,
        settings: ObserverSettings,
        proxy: Proxy,
        dynamic_configuration: DynamicConfiguration,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the subscription, without connecting. `settings.name` must be the node's name.

        Raises:
            OperatorFileError: The file with the secret can't be read.
        """
        self.settings, self.proxy, self.dynamic_configuration, self.metrics = (
            settings,
            proxy,
            dynamic_configuration,
            metrics,
        )
        self.committed = CommittedState(proxy, dynamic_configuration)
        self.machine = Replica()
        self.client = ObserverClient(settings, loop, metrics, self._apply, self._lease_changed)
        self.service = self.client.requests
        self.operations = EndpointOperations(
            self.committed, settings.name, self.client.request, self._describe_remedy
        )
        # Set once the store's keys have replaced the state of an earlier process.
        self.is_synchronized = False
        metrics.gauge("store_fresh", lambda: int(self.is_fresh()))
        metrics.gauge("observer_revision", lambda: self.client.revision)
        metrics.gauge("observer_age_ms", self._age_ms)
        metrics.gauge("observer_machine", lambda: self.client.machine or "none")
        metrics.gauge("observer_bytes_sent", lambda: self.client.traffic.bytes_sent)
        metrics.gauge("observer_bytes_received", lambda: self.client.traffic.bytes_received)

    def _age_ms(self) -> int:
        """Returns the time (ms) since the applied revision was last confirmed; -1 if none is applied."""
        return round(self.client.age_s * 1000) if self.client.revision else -1

    async def start(self) -> None:
        """Start to subscribe. Never raises: machines that can't be reached are retried."""
        self.client.start()
        log.info("subscription started", machines=[machine.name for machine in self.settings.machines])

    @property
    def cluster(self) -> str:
        """The cluster's name; empty until it is known."""
        return self.client.cluster

    # The lease

    def is_fresh(self) -> bool:
        """Whether the lease is valid, so that decisions are based on up-to-date committed state."""
        return self.client.is_fresh()

    def _lease_changed(self, is_fresh: bool) -> None:
        if is_fresh and not self.is_synchronized:
            # A store without subscribed keys sends neither a snapshot nor a delta.
            self._delete_all_but(set(self.machine.items))
        fields: dict[str, object] = {"revision": self.client.revision, "age_ms": self._age_ms()}
        if is_fresh:
            fields["machine"] = self.client.machine
        report_lease_change(self.metrics, is_fresh, self.settings.when_stale, **fields)

    # Committed state

    def _apply(self, revision: int, changes: tuple[Change, ...], is_snapshot: bool) -> None:
        """Apply changes; those of a snapshot also delete the keys that are not among them."""
        if is_snapshot:
            self._delete_all_but({change.key for change in changes})
        for change in changes:
            self._apply_change(change)
        self.metrics.count("observer_snapshots" if is_snapshot else "observer_deltas")

    def _delete_all_but(self, retained_keys: set[str]) -> None:
        if not self.is_synchronized:
            # State that the node had before its first subscription is reset, unless the store contains it.
            self.is_synchronized = True
            for endpoint in list(self.proxy.disabled):
                if DISABLED_PREFIX + endpoint not in retained_keys:
                    self.proxy.enable_endpoint(endpoint)
            for name in list(self.dynamic_configuration.values):
                if CONFIGURATION_PREFIX + name not in retained_keys:
                    self.dynamic_configuration.reset(name)
        for key in self.machine.items.keys() - retained_keys:
            self._apply_change(Change(0, key, deleted=True))

    def _apply_change(self, change: Change) -> None:
        self.machine.apply(change)
        self.committed.apply(change.key, change.value, change.deleted)

    # Operations of the admin API

    def disable_endpoint(self, endpoint: str, done: ResultCallback) -> None:
        """Disable an endpoint; succeeds once committed and in force at every node that decides."""
        self.operations.disable(endpoint, done)

    def enable_endpoint(self, endpoint: str, done: ResultCallback) -> None:
        """Enable an endpoint; succeeds once committed and in force at every node that decides."""
        self.operations.enable(endpoint, done)

    def _describe_remedy(self) -> str:
        return "" if self.is_fresh() else f"; {REMEDY}"

    def describe(self) -> AdminResult:
        """Returns this node's applied revision, its age and its control machine, for the admin API."""
        client = self.client
        if not client.revision:
            text = f"no state received from the store yet; {REMEDY}"
        else:
            source = f"from {client.machine}" if client.machine else "not connected to a control machine"
            text = f"revision {client.revision}, confirmed {client.age_s:.1f} s ago, {source}"
        status = HTTPStatus.OK if self.is_fresh() else HTTPStatus.SERVICE_UNAVAILABLE
        return AdminResult(status, text)

    def report_in_force(self, done: ResultCallback) -> None:
        """Report whether all nodes have this node's revision; the text of a failure names missing nodes."""
        revision = self.client.revision

        def finish(response: wire.Response) -> None:
            if response.outcome == "ok":
                done(AdminResult(HTTPStatus.OK, f"revision {revision} is {response.text}"))
            else:
                done(AdminResult(HTTPStatus.SERVICE_UNAVAILABLE, f"revision {revision}: {response.text}"))

        self.client.request(wire.InForce(revision), finish, ADMIN_CALL_TIMEOUT_S)

    # Shutdown

    def leave(self) -> float:
        """Close for a hot restart, and return the remaining time (s) of the lease.

        The lease is not given up, because the successor process decides under the rest of it. This process
        acknowledges no further changes, so no write is acknowledged that the successor process lacks.
        """
        remaining_s = self.client.lease_remaining_s
        self.client.abandon()
        return remaining_s

    def close(self) -> None:
        """Stop and give up the lease."""
        self.client.leave()
