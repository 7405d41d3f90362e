"""Applies committed keys that a node decides by to its proxy and its dynamic configuration."""

from __future__ import annotations

import msgspec

from gradegap.proxy.proxy import Proxy
from gradegap.store import schema
from gradegap.store.dynamic_configuration import DynamicConfiguration
from gradegap.store.records import KeyUpdate

DISABLED_PREFIX = "out/"
CONFIGURATION_PREFIX = "config/"
# Timeout of admin API requests: twice the time (1.0 s lease plus clock drift) that a write waits for the
# leases of failed nodes to expire.
ADMIN_CALL_TIMEOUT_S = 2.2


class CommittedState:
    """Applies changes of committed keys at one node."""

    def __init__(self, proxy: Proxy, dynamic_configuration: DynamicConfiguration) -> None:
        self.proxy, self.dynamic_configuration = proxy, dynamic_configuration

    def apply(self, key: str, value: object, deleted: bool) -> None:
        """Apply one change; keys that a node does not decide by are ignored."""
        if key.startswith(DISABLED_PREFIX):
            self._apply_disabled(key.removeprefix(DISABLED_PREFIX), value, deleted)
        elif key.startswith(CONFIGURATION_PREFIX):
            self._apply_configuration(key.removeprefix(CONFIGURATION_PREFIX), value, deleted)

    def _apply_disabled(self, endpoint_id: str, value: object, deleted: bool) -> None:
        if deleted:
            self.proxy.enable_endpoint(endpoint_id)
            return
        try:
            since = msgspec.convert(value, schema.DisabledEndpoint).at_ms / 1000
        except msgspec.ValidationError:
            # the stored time is invalid: the endpoint counts as disabled long ago, without a grace period
            since = 0.0
        self.proxy.disable_endpoint(endpoint_id, min(since, self.proxy.now()))

    def _apply_configuration(self, name: str, value: object, deleted: bool) -> None:
        if deleted:
            self.dynamic_configuration.reset(name)
        else:
            self.dynamic_configuration.apply(name, value)

    def disable_update(self, endpoint_id: str, author: str) -> KeyUpdate:
        """Returns the update that disables an endpoint from now on."""
        value = {"at_ms": round(self.proxy.now() * 1000), "by": author}
        return KeyUpdate(DISABLED_PREFIX + endpoint_id, value)

    def enable_update(self, endpoint_id: str) -> KeyUpdate:
        """Returns the update that enables an endpoint again."""
        return KeyUpdate(DISABLED_PREFIX + endpoint_id, delete=True)
