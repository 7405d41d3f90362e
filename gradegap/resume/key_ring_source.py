"""Provides the key ring with which a node seals and opens tokens, and the cluster that they are bound to."""

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
    """Read access to the committed keys that this node has applied."""

    def get(self, key: str) -> Item | None:
        """Return the item of a key, or None if the key is not set."""


class RequestSender(Protocol):
    """Sends requests to the store."""

    def request(
        self, body: wire.RequestBody, respond: Callable[[wire.Response], None], timeout_s: float = 5.0
    ) -> None:
        """Send a request; `respond` is called with exactly one response within `timeout_s` seconds."""


class SessionStore(Protocol):
    """The part of the node's store that resumable sessions use."""

    @property
    def machine(self) -> StateReader:
        """The committed keys."""

    @property
    def service(self) -> RequestSender:
        """The sender of requests to the store."""

    @property
    def cluster(self) -> str:
        """The cluster's name; empty until the node knows it."""

    def is_fresh(self) -> bool:
        """Return whether this node's copy of the committed keys is current, so that decisions may use it."""


StoreLookup = Callable[[], SessionStore | None]
"""Returns the node's store, or None while the store is not started."""


class KeyRingSource:
    """The cluster's key ring from the store, or a ring local to the node if the node has no store."""

    def __init__(self, node: str, store: StoreLookup | None, metrics: Metrics) -> None:
        self.node, self.store, self.metrics = node, store, metrics
        self.local = KeyRing().rotated(time.time_ns() // 1_000_000)  # used only without a store

    def ring(self) -> KeyRing:
        """Return the key ring in force; it is empty if the store has no ring or an invalid one."""
        if self.store is None:
            return self.local
        store = self.store()
        item = store.machine.get(KEY_RING_KEY) if store is not None else None
        try:
            return msgspec.convert(item.value, KeyRing) if item is not None else KeyRing()
        except msgspec.ValidationError:
            self.metrics.count("resume_ring_unfit")
            return KeyRing()

    def cluster(self) -> str:
        """Return the name that tokens are bound to: the cluster's, or this node's if it has no store."""
        store = self.store() if self.store is not None else None
        return store.cluster if store is not None else f"node {self.node}"

    def is_current(self) -> bool:
        """Return whether the key ring is up to date; without a lease, the node may have an old one."""
        if self.store is None:
            return True
        store = self.store()
        return store is not None and store.is_fresh()

    def export_local(self) -> bytes:
        """Return the local ring, encoded for the successor process; empty if the store has the ring."""
        return msgspec.msgpack.encode(self.local) if self.store is None else b""

    def import_local(self, exported: bytes) -> None:
        """Adopt the predecessor process's local ring, so that the tokens that it sealed stay valid."""
        if not exported or self.store is not None:
            return
        try:
            ring = msgspec.msgpack.decode(exported, type=KeyRing)
            ring.check()
        except ValueError:
            self.metrics.count("resume_ring_unfit")
            return
        self.local = ring
