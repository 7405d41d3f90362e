"""Committed keys that a node decides by, carried over to its core and to its live configuration."""

from __future__ import annotations

import msgspec

from gradegap.proxy.proxy import Proxy
from gradegap.store import schema
from gradegap.store.dynamic_configuration import DynamicConfiguration
from gradegap.store.records import KeyUpdate

DISABLED_PREFIX = "out/"
CONFIGURATION_PREFIX = "config/"
ADMIN_CALL_TIMEOUT_S = (
    2.2  # s that a call at the console may take; leases of others are waited for for half as long
)


class CommittedState:
    """Applies changes of committed keys to one node."""

    def __init__(self, proxy: Proxy, live: DynamicConfiguration) -> None:
        self.proxy, self.live = proxy, live

    def apply(self, key: str, value: object, deleted: bool) -> None:
        """One change; keys that a node does not decide by are passed over."""
        if key.startswith(DISABLED_PREFIX):
            self._apply_out(key.removeprefix(DISABLED_PREFIX), value, deleted)
        elif key.startswith(CONFIGURATION_PREFIX):
            self._apply_config(key.removeprefix(CONFIGURATION_PREFIX), value, deleted)

    def _apply_out(self, server: str, value: object, deleted: bool) -> None:
        if deleted:
            self.proxy.enable_endpoint(server)
            return
        try:
            since = msgspec.convert(value, schema.Out).at_ms / 1000
        except msgspec.ValidationError:
            since = 0.0  # long ago where nobody said when: no grace is left, then
        self.proxy.disable_endpoint(server, min(since, self.proxy.now()))

    def _apply_config(self, name: str, value: object, deleted: bool) -> None:
        if deleted:
            self.live.reset(name)
        else:
            self.live.apply(name, value)

    def out_by_hand(self, server: str, author: str) -> KeyUpdate:
        """The write that takes a save server out from now on."""
        return KeyUpdate(DISABLED_PREFIX + server, {"at_ms": round(self.proxy.now() * 1000), "by": author})

    def back_by_hand(self, server: str) -> KeyUpdate:
        """The write that calls a save server back."""
        return KeyUpdate(DISABLED_PREFIX + server, delete=True)
