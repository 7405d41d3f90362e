"""Where a node's committed configuration comes from: a member of the store, a subscription, or nowhere.

Says whether the node may decide: without a lease, what it knows may be out of date. Either source is loaded
only where the operator has it, for its libraries' memory.
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

STALE_RETRY_AFTER_S = 0.5  # after which a client that was rejected for want of a lease may come again
LEADERSHIP_TRANSFER_TIMEOUT_S = 0.3  # in which a leader of the store hands over before its process leaves


class CommittedConfiguration:
    """Owns the node's member of the store, or its subscription; never both."""

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
        self._inherited_lease_until = 0.0  # monotonic time; the predecessor's lease
        self.source: EmbeddedStore | ObservedStore | None = None  # None: not started, or left

    @property
    def subscription(self) -> ObservedStore | None:
        """The node's subscription, where it has one."""
        return cast("ObservedStore", self.source) if self._operator.observer is not None else None

    def store_machine(self) -> StateMachine | None:
        """The committed keys, where this node knows them by now."""
        return cast("StateMachine", self.source.machine) if self.source is not None else None

    def allows_decisions(self) -> bool:
        """Whether decisions may be made by what is known of the store here."""
        settings = self._operator.decides_by
        if settings is None or settings.when_stale == "serve":
            return True
        is_fresh = self.source is not None and self.source.is_fresh()
        return is_fresh or time.monotonic() < self._inherited_lease_until

    def retry_after(self) -> float | None:
        """None where a decision may be made now; else the s after which a client may come again."""
        if not self.allows_decisions():
            return STALE_RETRY_AFTER_S
        if self.source is None or not self.source.is_fresh():
            self._metrics.count("decided_stale")
        return None

    def inherit_lease(self, remaining_s: float, disabled_endpoints: Mapping[str, float]) -> None:
        """Decide by what the predecessor had applied, for as long as its lease holds."""
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
            ConfigurationError: where its folder, secret or port can't be used.
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
                f"the store can't listen on {settings.listen}: {error.strerror}"
            ) from None
        self.source = member

    async def start_subscription(self, settings: ObserverSettings) -> None:
        """Subscribe, unless this node does already.

        Raises:
            ConfigurationError: where the secret can't be read.
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
        """Leave the store's folder and port, or the subscription, to the successor.

        Returns:
            The s of the lease that remain; 0 where there is none.
        """
        if self.source is None:
            return 0.0
        remaining_s = self.source.leave()
        if self._operator.observer is None:  # a subscription has neither folder nor port, and is over at once
            self._loop.call_later(LEADERSHIP_TRANSFER_TIMEOUT_S, self._close_member)
        return remaining_s

    def _close_member(self) -> None:
        if self.source is not None:
            self.source.close()
            self.source = None

    def close(self) -> None:
        """The node ends."""
        if self.source is not None:
            self.source.close()
