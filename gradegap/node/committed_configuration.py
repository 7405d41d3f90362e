"""The source of a node's committed configuration: a member of the store, a subscription, or none.

Determines whether the node may make decisions: without a lease, the configuration that it knows may be out of
date. Each source is imported only if the operator's file enables it, because its libraries need memory.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, cast

import msgspec

from gradegap.errors import ConfigurationError
from gradegap.metrics import Metrics
from gradegap.node.operator_file import OperatorSettings
from gradegap.node.subscriptions import subscription_server_factory
from gradegap.proxy.proxy import Proxy
from gradegap.setting_checks import read_secret
from gradegap.store.dynamic_configuration import DynamicConfiguration
from gradegap.store.settings import StoreSettings
from gradegap.store.subscription_settings import ObserverSettings

if TYPE_CHECKING:
    from gradegap.observer.observed_store import ObservedStore
    from gradegap.store.embedded import EmbeddedStore
    from gradegap.store.machine import StateMachine

STALE_RETRY_AFTER_S = 0.5  # retry delay sent to clients that are rejected because the node has no lease
# Time from the release of a store member to its close; a member that is the leader transfers its leadership
# in this time.
LEADERSHIP_TRANSFER_TIMEOUT_S = 0.3


class CommittedConfiguration:
    """Owns the node's member of the store or its subscription; a node never has both."""

    def __init__(
        self,
        operator: OperatorSettings,
        node_name: str,
        proxy: Proxy,
        dynamic_configuration: DynamicConfiguration,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._operator = operator
        self._node_name = node_name
        self._proxy = proxy
        self._dynamic_configuration = dynamic_configuration
        self._metrics = metrics
        self._loop = loop
        self._inherited_lease_until = 0.0  # monotonic time at which the predecessor's lease expires, s
        self.source: EmbeddedStore | ObservedStore | None = None  # None before the start and after the close

    @property
    def subscription(self) -> ObservedStore | None:
        """The subscription of the node; None if it has none."""
        return cast("ObservedStore", self.source) if self._operator.observer is not None else None

    def store_machine(self) -> StateMachine | None:
        """The state machine that holds the committed keys; None until this node has received them."""
        return cast("StateMachine", self.source.machine) if self.source is not None else None

    def allows_decisions(self) -> bool:
        """Whether this node may base decisions on the committed configuration that it knows."""
        settings = self._operator.committed_source_settings
        if settings is None or settings.when_stale == "serve":
            return True
        is_fresh = self.source is not None and self.source.is_fresh()
        return is_fresh or time.monotonic() < self._inherited_lease_until

    def retry_after(self) -> float | None:
        """Seconds after which a client may retry; None if a decision may be made now."""
        if not self.allows_decisions():
            return STALE_RETRY_AFTER_S
        if self.source is None or not self.source.is_fresh():
            self._metrics.count("decided_stale")
        return None

    def inherit_lease(self, remaining_s: float, disabled_endpoints: Mapping[str, float]) -> None:
        """Base decisions on the configuration that the predecessor had applied, until its lease expires.

        Args:
            remaining_s: Remaining time of the lease in seconds.
            disabled_endpoints: Maps the name of each disabled endpoint to the time when it was disabled.
        """
        self._inherited_lease_until = time.monotonic() + remaining_s
        for endpoint in list(self._proxy.disabled.keys() - disabled_endpoints.keys()):
            self._proxy.enable_endpoint(endpoint)
        for endpoint, disabled_at in disabled_endpoints.items():
            self._proxy.disable_endpoint(endpoint, disabled_at)

    async def start_member(
        self,
        settings: StoreSettings,
        describe_node: Callable[[], dict[str, object]],
        has_endpoint_list: Callable[[], bool],
    ) -> None:
        """Start this node's member of the store.

        Raises:
            ConfigurationError: if its folder, secret or port can't be used.
        """
        from gradegap.store.embedded import EmbeddedStore
        from gradegap.store.errors import FolderError
        from gradegap.store.storage import data_folder

        try:
            member = EmbeddedStore(
                settings,
                read_secret(settings.secret, "store.secret"),
                data_folder(settings),
                self._proxy,
                self._dynamic_configuration,
                self._metrics,
                self._loop,
                describe_node,
                has_endpoint_list,
                subscription_server_factory(settings),
            )
        except FolderError as error:
            raise ConfigurationError(str(error)) from None
        try:
            await member.start()
        except OSError as error:
            member.close()
            raise ConfigurationError(
                f"store.listen: can't listen on {settings.listen}: {error.strerror}"
            ) from None
        self.source = member

    async def start_subscription(self, settings: ObserverSettings) -> None:
        """Start the subscription, unless it is already active.

        Raises:
            ConfigurationError: if the secret can't be read.
        """
        from gradegap.observer.observed_store import ObservedStore

        if self.subscription is not None and not self.subscription.client.is_closed:
            return
        settings = msgspec.structs.replace(settings, name=settings.name or self._node_name)
        subscription = ObservedStore(
            settings, self._proxy, self._dynamic_configuration, self._metrics, self._loop
        )
        await subscription.start()
        self.source = subscription

    def leave(self) -> float:
        """Release the folder and port of the store's member, or the subscription, for the successor.

        Returns:
            The remaining time of the lease in seconds; 0 without a lease.
        """
        if self.source is None:
            return 0.0
        remaining_s = self.source.leave()
        # A subscription uses neither a folder nor a port, so it is closed at once.
        if self._operator.observer is None:
            self._loop.call_later(LEADERSHIP_TRANSFER_TIMEOUT_S, self._close_member)
        return remaining_s

    def _close_member(self) -> None:
        if self.source is not None:
            self.source.close()
            self.source = None

    def close(self) -> None:
        """Close the member or the subscription when the node ends."""
        if self.source is not None:
            self.source.close()
