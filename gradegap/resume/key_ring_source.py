"""Which ring of keys a node seals and opens tokens with, and for which cluster."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import msgspec

from gradegap.metrics import Metrics
from gradegap.resume.token import KEY_RING_KEY, KeyRing
from gradegap.store import wire
from gradegap.store.records import Item


class StateReader(Protocol):
    """The committed keys as this node has them."""

    def get(self, key: str) -> Item | None:
        """One key."""


class RequestSender(Protocol):
    """Requests to the store."""

    def request(
        self, body: wire.RequestBody, respond: Callable[[wire.Response], None], timeout_s: float = 5.0
    ) -> None:
        """`respond` with one response, within `timeout_s`."""


class SessionStore(Protocol):
    """The node's store, as far as it is needed here."""

    @property
    def machine(self) -> StateReader:
        """The committed keys."""

    @property
    def service(self) -> RequestSender:
        """Requests to the store."""

    @property
    def cluster(self) -> str:
        """The cluster's name; empty until it is known."""

    def is_fresh(self) -> bool:
        """Whether a decision made now is by committed state."""


StoreLookup = Callable[[], SessionStore | None]
"""The node's store, where there is one by now."""


class KeyRingSource:
    """The cluster's ring from the store; or the node's own, where it has no store."""

    def __init__(self, node: str, store: StoreLookup | None, metrics: Metrics) -> None:
        self.node, self.store, self.metrics = node, store, metrics
        self.own = KeyRing().rotated(time.time_ns() // 1_000_000)  # where there is no store

    def ring(self) -> KeyRing:
        """The ring in force; empty where the store has none, or none that can be read."""
        if self.store is None:
            return self.own
        store = self.store()
        item = store.machine.get(KEY_RING_KEY) if store is not None else None
        try:
            return msgspec.convert(item.value, KeyRing) if item is not None else KeyRing()
        except msgspec.ValidationError:
            self.metrics.count("resume_ring_unfit")
            return KeyRing()

    def cluster(self) -> str:
        """For whom tokens are sealed: the cluster, or this node alone."""
        store = self.store() if self.store is not None else None
        return store.cluster if store is not None else f"node {self.node}"

    def is_current(self) -> bool:
        """Whether the ring can be relied on: a node without a lease may not have read it yet."""
        if self.store is None:
            return True
        store = self.store()
        return store is not None and store.is_fresh()

    def export_own(self) -> bytes:
        """The node's own ring, for its next process; empty where the store has the ring."""
        return msgspec.msgpack.encode(self.own) if self.store is None else b""

    def import_own(self, exported: bytes) -> None:
        """Go on with the ring of the process before, so that its tokens stay good."""
        if not exported or self.store is not None:
            return
        try:
            ring = msgspec.msgpack.decode(exported, type=KeyRing)
            ring.check()
        except ValueError:
            self.metrics.count("resume_ring_unfit")
            return
        self.own = ring
