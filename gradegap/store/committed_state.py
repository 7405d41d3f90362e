"""Committed keys that a node decides by, put in force at its proxy and its dynamic configuration."""

from __future__ import annotations

import msgspec

from gradegap.proxy.proxy import Proxy
from gradegap.store import schema
from gradegap.store.dynamic_configuration import DynamicConfiguration
from gradegap.store.records import KeyUpdate

DISABLED_PREFIX = "out/"
CONFIGURATION_PREFIX = "config/"
ADMIN_CALL_TIMEOUT_S = 2.2  # of a call to the admin API; twice the time that others' leases are waited for


class CommittedState:
    """Puts changes of committed keys in force at one node."""

    def __init__(self, proxy: Proxy, dynamic_configuration: DynamicConfiguration) -> None:
        self.proxy, self.dynamic_configuration = proxy, dynamic_configuration

    def apply(self, key: str, value: object, deleted: bool) -> None:
        """One change; keys that a node does not decide by are passed over."""
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
            since = 0.0  # long ago where no time is given: no grace is left, then
        self.proxy.disable_endpoint(endpoint_id, min(since, self.proxy.now()))

    def _apply_configuration(self, name: str, value: object, deleted: bool) -> None:
        if deleted:
            self.dynamic_configuration.reset(name)
        else:
            self.dynamic_configuration.apply(name, value)

    def disabled_by_operator(self, endpoint_id: str, author: str) -> KeyUpdate:
        """The update that takes an endpoint out of use from now on."""
        value = {"at_ms": round(self.proxy.now() * 1000), "by": author}
        return KeyUpdate(DISABLED_PREFIX + endpoint_id, value)

    def enabled_by_operator(self, endpoint_id: str) -> KeyUpdate:
        """The update that takes an endpoint into use again."""
        return KeyUpdate(DISABLED_PREFIX + endpoint_id, delete=True)
